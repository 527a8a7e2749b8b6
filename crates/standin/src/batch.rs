//! Continuous batching on a virtual clock, as pure code.
//!
//! An engine works in steps. A step gives every decoding sequence one token and moves sequences
//! through their prompts by a chunk of bounded size; its duration grows with both. Sequences that
//! find no place in the batch wait by priority and then by arrival; a running one is never
//! preempted. The driver asks for the duration of the next step ([`EngineBatch::plan_step`]),
//! lets that time pass, and then takes the step's tokens ([`EngineBatch::finish_step`]).

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;

use crate::answer::AnswerPlan;

/// The largest part of prompts that one step reads, in tokens.
const MAX_PREFILL_TOKENS: u32 = 512;

/// One request inside an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// The speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpeed {
    /// Tokens a second of a sequence that has the engine for itself.
    pub alone: f64,
    /// Tokens a second of each sequence of a full batch.
    pub full: f64,
    /// Prompt tokens read a second.
    pub prefill: f64,
    /// The largest batch.
    pub batch_limit: u32,
}

impl BatchSpeed {
    /// Returns the seconds that one token takes in a batch of this size.
    pub fn token_seconds(&self, batch: u32) -> f64 {
        let alone = 1.0 / self.alone;
        let full = 1.0 / self.full;
        if self.batch_limit <= 1 || batch <= 1 {
            return alone;
        }
        let fill = f64::from(batch - 1) / f64::from(self.batch_limit - 1);
        alone + (full - alone) * fill.min(1.0)
    }

    /// Returns the tokens a second that the whole engine generates with a full batch.
    pub fn capacity(&self) -> f64 {
        f64::from(self.batch_limit) / self.token_seconds(self.batch_limit)
    }
}

/// A request as the batch sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSequence {
    /// Its identity.
    pub id: SequenceId,
    /// Its priority; a smaller number goes first.
    pub priority: u8,
    /// What it generates.
    pub plan: AnswerPlan,
    /// The first token to generate; larger than zero after a resume.
    pub next_token: u32,
    /// Prompt tokens that are still to be read.
    pub prompt_left: u32,
}

/// One generated token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepToken {
    /// The sequence.
    pub id: SequenceId,
    /// The position in the answer.
    pub index: u32,
    /// Whether it is the last one.
    pub last: bool,
}

/// The sequences of one engine.
#[derive(Debug)]
pub struct EngineBatch {
    speed: BatchSpeed,
    running: Vec<BatchSequence>,
    waiting: BTreeMap<(u8, u64), BatchSequence>,
    arrivals: u64,
    decoding: u32,
}

impl EngineBatch {
    /// Returns an empty batch.
    pub fn new(speed: BatchSpeed) -> Self {
        Self {
            speed,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            decoding: 0,
        }
    }

    /// Returns the number of running sequences.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of waiting sequences.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Adds a sequence; it takes part in the next step that has room for it.
    pub fn submit(&mut self, sequence: BatchSequence) {
        self.arrivals += 1;
        self.waiting
            .insert((sequence.priority, self.arrivals), sequence);
    }

    /// Removes a sequence and returns it, or none if it is not known any more.
    pub fn cancel(&mut self, id: SequenceId) -> Option<BatchSequence> {
        if let Some(position) = self.running.iter().position(|s| s.id == id) {
            return Some(self.running.remove(position));
        }
        let key = *self.waiting.iter().find(|(_, s)| s.id == id)?.0;
        self.waiting.remove(&key)
    }

    /// Removes everything, as a crash does.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Takes waiting sequences in and returns the duration of the next step, or none if idle.
    ///
    /// `slowness` stretches the step; 1 is the engine's own speed.
    pub fn plan_step(&mut self, slowdown: f64) -> Option<Span> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.run_prefill();
        self.decoding = self.running.iter().filter(|s| s.prompt_left == 0).count() as u32;
        let mut seconds = f64::from(prefilled) / self.speed.prefill;
        if self.decoding > 0 {
            seconds += self.speed.token_seconds(self.decoding);
        }
        Some(Span((seconds * slowdown * 1_000_000.0) as u64))
    }

    /// Appends the tokens of the step that has passed and removes finished sequences.
    pub fn finish_step(&mut self, tokens: &mut Vec<StepToken>) {
        for sequence in self.running.iter_mut().filter(|s| s.prompt_left == 0) {
            let index = sequence.next_token;
            sequence.next_token += 1;
            tokens.push(StepToken {
                id: sequence.id,
                index,
                last: sequence.next_token >= sequence.plan.length,
            });
        }
        self.running.retain(|s| s.next_token < s.plan.length);
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for sequence in &self.running {
            dump_line(&mut text, "running", sequence);
        }
        for sequence in self.waiting.values() {
            dump_line(&mut text, "waiting", sequence);
        }
        text
    }

    /// Checks the invariants and returns the first that does not hold.
    pub fn verify(&self) -> Result<(), String> {
        if self.running() > self.speed.batch_limit {
            return Err(format!("{} sequences run", self.running()));
        }
        let all = self.running.iter().chain(self.waiting.values());
        let mut seen = FastSet::default();
        for sequence in all {
            if !seen.insert(sequence.id) {
                return Err(format!("sequence {:?} stands twice", sequence.id));
            }
            if sequence.next_token >= sequence.plan.length {
                return Err(format!("sequence {:?} is past its end", sequence.id));
            }
        }
        Ok(())
    }

    fn admit(&mut self) {
        while self.running() < self.speed.batch_limit {
            let Some((_, sequence)) = self.waiting.pop_first() else {
                return;
            };
            self.running.push(sequence);
        }
    }

    fn run_prefill(&mut self) -> u32 {
        let mut budget = MAX_PREFILL_TOKENS;
        for sequence in &mut self.running {
            let chunk = sequence.prompt_left.min(budget);
            sequence.prompt_left -= chunk;
            budget -= chunk;
        }
        MAX_PREFILL_TOKENS - budget
    }
}

fn dump_line(text: &mut String, state: &str, sequence: &BatchSequence) {
    let _ = writeln!(
        text,
        "{state} seq={} priority={} token={}/{} prompt-left={}",
        sequence.id.0,
        sequence.priority,
        sequence.next_token,
        sequence.plan.length,
        sequence.prompt_left,
    );
}
