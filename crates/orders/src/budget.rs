//! The budget of loads from the weight store.

use std::fmt;

use oleander_base::prelude::*;

/// How orders are limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderLimits {
    /// How many engines of the data centre may load at once.
    pub loads_at_once: usize,
    /// How many loads may begin a minute.
    pub loads_per_minute: f64,
    /// After how long an order is sent again if the reports do not show its effect.
    pub repeat: Span,
    /// How long a load counts as running if no report shows its end.
    pub load_limit: Span,
    /// How old a report may be to act on it.
    pub report_limit: Span,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            loads_at_once: 4,
            loads_per_minute: 6.0,
            repeat: Span::from_secs(15),
            load_limit: Span::from_secs(600),
            report_limit: Span::from_secs(10),
        }
    }
}

/// A token bucket that starts empty.
#[derive(Debug, Clone)]
pub(crate) struct LoadBudget {
    limits: OrderLimits,
    tokens: f64,
    filled: MonoTime,
}

impl LoadBudget {
    pub(crate) fn new(limits: OrderLimits, now: MonoTime) -> Self {
        Self {
            limits,
            tokens: 0.0,
            filled: now,
        }
    }

    /// Takes a token for one load, if there is one.
    pub(crate) fn take(&mut self, now: MonoTime) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * self.limits.loads_per_minute / 60.0;
        let capacity = self.limits.loads_at_once.max(1) as f64;
        self.tokens = (self.tokens + gained).min(capacity);
        self.filled = self.filled.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl fmt::Display for LoadBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} loads left", self.tokens)
    }
}
