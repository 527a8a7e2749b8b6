//! The decision whether a second attempt is started in parallel to the first one.
//!
//! A hedge doubles the work, so it is limited to idempotent requests, to answers that are expected
//! to be short, to pools with free slots, and to the retry budget. It starts once the first token
//! is later than for nearly all answers. That quantile is tracked by stochastic approximation,
//! which needs a single number instead of a histogram.

use oleander_base::prelude::*;

use crate::retry_budget::RetryBudget;

/// The quantile of first-token times after which a hedge starts.
const DELAY_QUANTILE: f64 = 0.95;

/// The step of the quantile estimate, as a fraction of the estimate.
const DELAY_STEP: f64 = 0.05;

/// The number of samples from which the estimate is used.
const SAMPLE_FLOOR: u32 = 40;

/// The limits of a [`HedgePolicy`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeConfig {
    /// The longest expected answer that is hedged, in tokens.
    pub token_limit: u32,
    /// The shortest delay before a hedge.
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

/// The input of one hedging decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgeQuery {
    /// Whether the request is idempotent and may run twice.
    pub idempotent: bool,
    /// The expected length of the answer, in tokens.
    pub expected_tokens: u32,
    /// The time since the first attempt was sent, without a first token so far.
    pub waited: Span,
    /// Whether tickets are queued in the pool.
    pub saturated: bool,
}

/// The hedging state of one pool at one entry VM.
#[derive(Debug)]
pub struct HedgePolicy {
    config: HedgeConfig,
    delay_micros: f64,
    samples: u32,
}

impl HedgePolicy {
    /// Creates a policy without samples, which does not hedge until it has enough.
    pub fn open(config: HedgeConfig) -> Self {
        Self {
            config,
            delay_micros: 0.0,
            samples: 0,
        }
    }

    /// Records a time to the first token.
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

    /// Returns the delay after which a hedge starts, once there are enough samples.
    pub fn delay(&self) -> Option<Span> {
        if self.samples < SAMPLE_FLOOR {
            return None;
        }
        Some(Span(self.delay_micros as u64).max(self.config.delay_floor))
    }

    /// Returns whether to start a hedge now, and if so takes it from the budget.
    pub fn try_hedge(&self, query: &HedgeQuery, budget: &mut RetryBudget) -> bool {
        query.idempotent
            && !query.saturated
            && query.expected_tokens <= self.config.token_limit
            && self.delay().is_some_and(|delay| query.waited >= delay)
            && budget.try_take()
    }
}
