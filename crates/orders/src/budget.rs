//! The budget of loads from the weight store.

use oleander_base::prelude::*;
use oleander_platform::TokenBucket;

const SECONDS_PER_MINUTE: f64 = 60.0;

/// How orders are limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderLimits {
    /// How many engines of the data centre may load at once.
    pub max_concurrent_loads: usize,
    /// How many loads may begin a minute.
    pub loads_per_minute: f64,
    /// After how long an order is sent again if the reports do not show its effect.
    pub repeat_interval: Span,
    /// How long a load counts as running if no report shows its end.
    pub load_timeout: Span,
    /// How old a report may be to act on it.
    pub max_report_age: Span,
}

impl Default for OrderLimits {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 4,
            loads_per_minute: 6.0,
            repeat_interval: Span::from_secs(15),
            load_timeout: Span::from_secs(600),
            max_report_age: Span::from_secs(10),
        }
    }
}

impl OrderLimits {
    /// Returns the budget of loads of a holder that begins at `now`; it starts empty.
    pub(crate) fn new_load_budget(&self, now: MonoTime) -> TokenBucket {
        let rate = self.loads_per_minute / SECONDS_PER_MINUTE;
        let capacity = self.max_concurrent_loads.max(1) as f64;
        TokenBucket::empty(rate, capacity, now)
    }
}
