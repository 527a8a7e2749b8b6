//! The token memory that requests need at a model engine.
//!
//! An engine holds the prompt of a request and each token that it has generated until the request ends. A prompt part
//! that several requests share is held once, but which of them overlap is known only afterwards. So it is counted for
//! each request, which may be too much and is never too little.

use std::collections::VecDeque;

use oleander_base::prelude::*;

/// The answer tokens that are assumed where the caller names neither a limit nor a hint.
const DEFAULT_ANSWER_TOKENS: u32 = 1_024;

/// The factor on a hint that stands without a limit: a hint is an estimate, and an answer may be longer.
const HINT_FACTOR: u32 = 2;

/// The bytes of a body that count as one token of a prompt whose size the caller does not name. Most texts have four
/// bytes a token, so this estimate is an upper one.
const BYTES_PER_TOKEN: usize = 3;

/// The least weight of one request in the moving averages of a [`NeedModel`].
const SAMPLE_WEIGHT: f64 = 0.05;

/// The number of requests that [`DEFAULT_NEED`] counts as in the averages. Without it, a long first prompt would decide
/// the averages alone.
const PRIOR_SAMPLES: f64 = 4.0;

/// How long a send is remembered: as long as load reports count.
const SEND_RETENTION: Span = Span::from_millis(2_500);

/// The greatest number of sends that are remembered; one gateway sends fewer in that time.
const MAX_SENDS: usize = 2_048;

/// The need that is assumed before any request was seen, in tokens, and as the standard deviation too.
const DEFAULT_NEED: f64 = 8_192.0;

/// The properties of a request that its need for memory depends on.
#[derive(Debug, Clone, Copy, Default)]
pub struct NeedQuery {
    /// The prompt's size as the caller names it; 0 if it does not.
    pub prompt_tokens: u32,
    /// The sum of the prompt's listed parts.
    pub part_tokens: u32,
    /// The length of the body.
    pub body_bytes: usize,
    /// The greatest number of tokens that the answer may have; 0 if the caller names none.
    pub answer_limit: u32,
    /// The caller's estimate of the answer's size, in tokens.
    pub answer_hint: Option<u32>,
}

impl NeedQuery {
    /// Returns the greatest number of tokens that an engine holds for the request.
    ///
    /// The limit counts and not the hint, because an answer may go up to its limit.
    pub fn tokens(&self) -> u32 {
        let named = self.prompt_tokens.max(self.part_tokens);
        let prompt = match named {
            0 => u32::try_from(self.body_bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX),
            named => named,
        };
        let answer = match (self.answer_limit, self.answer_hint) {
            (0, Some(hint)) => hint.saturating_mul(HINT_FACTOR),
            (0, None) => DEFAULT_ANSWER_TOKENS,
            (limit, _) => limit,
        };
        prompt.saturating_add(answer).max(1)
    }
}

/// The mean and the spread of what the requests of one service need, from those of this gateway.
#[derive(Debug, Clone)]
pub struct NeedModel {
    mean: f64,
    variance: f64,
    /// The number of requests so far, the assumed ones included. The first ones have larger weights.
    samples: f64,
    /// The times of recent sends, the newest last.
    sends: VecDeque<MonoTime>,
}

impl Default for NeedModel {
    fn default() -> Self {
        Self {
            mean: DEFAULT_NEED,
            variance: DEFAULT_NEED * DEFAULT_NEED,
            samples: PRIOR_SAMPLES,
            sends: VecDeque::new(),
        }
    }
}

impl NeedModel {
    /// Adds the need of one request.
    pub fn observe(&mut self, tokens: u32) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(SAMPLE_WEIGHT);
        let distance = f64::from(tokens) - self.mean;
        self.mean += weight * distance;
        self.variance += weight * (distance * distance - self.variance);
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: MonoTime) {
        let is_old = |at: &MonoTime| now.since(*at) >= SEND_RETENTION;
        while self.sends.front().is_some_and(is_old) || self.sends.len() >= MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Returns how many requests were sent after a time, as far as that is remembered.
    pub fn sent_since(&self, at: MonoTime) -> usize {
        self.sends
            .iter()
            .rev()
            .take_while(|sent| **sent > at)
            .count()
    }

    /// Returns the mean need of a request, in tokens.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the standard deviation of the needs of single requests, in tokens.
    pub fn spread(&self) -> f64 {
        self.variance.sqrt()
    }
}

/// The number of requests that a backend server has, by its own report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldCount {
    /// Those that run and those that wait.
    pub requests: u32,
    /// When it said so.
    pub at: MonoTime,
}
