//! Simulates continuous batching without clock or I/O.
//!
//! An engine works in steps. A step generates one token for every decoding sequence and prefills a
//! bounded number of prompt tokens; its duration grows with both. Sequences that do not fit into
//! the batch wait in order of priority and then of arrival; a running sequence is never preempted.
//! The caller asks for the duration of the next step ([`EngineBatch::plan_step`]), waits that long,
//! and then takes the step's tokens ([`EngineBatch::finish_step`]).

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;

use crate::answer::AnswerPlan;

/// The maximum number of prompt tokens that one step prefills, over all sequences.
const MAX_PREFILL_TOKENS: u32 = 512;

/// The id of a sequence, unique within an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// The speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpeed {
    /// Tokens per second of a sequence that runs alone.
    pub alone: f64,
    /// Tokens per second of each sequence in a full batch.
    pub full: f64,
    /// Prompt tokens prefilled per second.
    pub prefill: f64,
    /// The maximum number of sequences in the batch.
    pub batch_limit: u32,
}

impl BatchSpeed {
    /// Returns the time of one token of each sequence in a batch of this size, in seconds.
    pub fn token_seconds(&self, batch: u32) -> f64 {
        let alone = 1.0 / self.alone;
        let full = 1.0 / self.full;
        if self.batch_limit <= 1 || batch <= 1 {
            return alone;
        }
        let fill = f64::from(batch - 1) / f64::from(self.batch_limit - 1);
        alone + (full - alone) * fill.min(1.0)
    }

    /// Returns the tokens per second of the whole engine with a full batch.
    pub fn capacity(&self) -> f64 {
        f64::from(self.batch_limit) / self.token_seconds(self.batch_limit)
    }
}

/// The progress of one request in the batch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSequence {
    /// The id of the sequence.
    pub id: SequenceId,
    /// The priority; smaller numbers are admitted first.
    pub priority: u8,
    /// The answer to generate.
    pub plan: AnswerPlan,
    /// The index of the next token to generate; a resumed answer starts above zero.
    pub next_token: u32,
    /// The number of prompt tokens that remain to be prefilled.
    pub prompt_left: u32,
}

/// One generated token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepToken {
    /// The sequence that the token belongs to.
    pub id: SequenceId,
    /// The position of the token in the answer.
    pub index: u32,
    /// Whether it is the last token of the answer.
    pub last: bool,
}

/// The running and waiting sequences of one engine.
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

    /// Adds a sequence, which is admitted to the first step that has room for it.
    pub fn submit(&mut self, sequence: BatchSequence) {
        self.arrivals += 1;
        self.waiting
            .insert((sequence.priority, self.arrivals), sequence);
    }

    /// Removes a sequence and returns it, or `None` if the batch does not hold it.
    pub fn cancel(&mut self, id: SequenceId) -> Option<BatchSequence> {
        if let Some(position) = self.running.iter().position(|s| s.id == id) {
            return Some(self.running.remove(position));
        }
        let key = *self.waiting.iter().find(|(_, s)| s.id == id)?.0;
        self.waiting.remove(&key)
    }

    /// Removes all sequences, as a crash does.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// Admits waiting sequences and returns the duration of the next step, or `None` if there is no
    /// sequence.
    ///
    /// The duration is multiplied by `slowdown`; 1 is the engine's normal speed.
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

    /// Appends the tokens of the finished step to `tokens` and removes completed sequences.
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

    /// Returns one line of text for each sequence.
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

    /// Checks the invariants and returns a description of the first violation.
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
