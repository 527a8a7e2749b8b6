//! When a second attempt may run beside the first one.
//!
//! A hedge doubles work, so it is limited to requests that may run twice, to answers that are
//! expected to be short, to pools with free slots, and to the retry budget. It starts once the
//! first token is later than it is for nearly all answers; that quantile is tracked by stochastic
//! approximation, which needs one number in place of a histogram.

use oleander_base::prelude::*;

use crate::retry_budget::RetryBudget;

/// The quantile of first-token times after which a hedge starts.
const DELAY_QUANTILE: f64 = 0.95;

/// The step of the quantile's estimate, as a part of the estimate.
const DELAY_STEP: f64 = 0.05;

/// The samples before the estimate is used.
const SAMPLE_FLOOR: u32 = 40;

/// The bounds of a [`HedgePolicy`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeConfig {
    /// The longest expected answer that is hedged, in tokens.
    pub token_limit: u32,
    /// The shortest time before a hedge.
    pub delay_floor: Span,
}

impl Default for HedgeConfig {
    fn default() -> Self {
        Self {
            token_limit: 64,
            delay_floor: Span::from_millis(50),
        }
    }
}

/// What decides about one hedge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeQuery {
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// The expected length of the answer, in tokens.
    pub expected_tokens: u32,
    /// Time since the first attempt was sent, without a first token so far.
    pub waited: Span,
    /// Whether tickets wait in the pool.
    pub saturated: bool,
}

/// The hedging of one pool at one entry VM.
#[derive(Debug)]
pub struct HedgePolicy {
    config: HedgeConfig,
    delay_micros: f64,
    samples: u32,
}

impl HedgePolicy {
    /// Opens a policy that knows no times yet and hedges nothing until it does.
    pub fn open(config: HedgeConfig) -> Self {
        Self {
            config,
            delay_micros: 0.0,
            samples: 0,
        }
    }

    /// Learns the time to a first token.
    pub fn observe(&mut self, first_token: Span) {
        let seen = first_token.0 as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.delay_micros = seen;
            return;
        }
        let step = (self.delay_micros * DELAY_STEP).max(1.0);
        if seen > self.delay_micros {
            self.delay_micros += step * DELAY_QUANTILE;
        } else {
            self.delay_micros -= step * (1.0 - DELAY_QUANTILE);
        }
    }

    /// Returns how long the first attempt may take before a hedge, once that is known.
    pub fn delay(&self) -> Option<Span> {
        if self.samples < SAMPLE_FLOOR {
            return None;
        }
        Some(Span(self.delay_micros as u64).max(self.config.delay_floor))
    }

    /// Returns whether to start a hedge now, and takes it from the budget if so.
    pub fn try_hedge(&self, query: &HedgeQuery, budget: &mut RetryBudget) -> bool {
        query.idempotent
            && !query.saturated
            && query.expected_tokens <= self.config.token_limit
            && self.delay().is_some_and(|delay| query.waited >= delay)
            && budget.try_take()
    }
}
