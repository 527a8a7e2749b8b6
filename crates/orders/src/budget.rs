//! Limits the loads from the weight store.

use oleander_base::prelude::*;
use oleander_platform::TokenBucket;

const SECONDS_PER_MINUTE: f64 = 60.0;

/// Limits the orders of a data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderLimits {
    /// The maximum number of engines of the data centre that may load at once.
    pub max_concurrent_loads: usize,
    /// The maximum number of loads that may start per minute.
    pub loads_per_minute: f64,
    /// The time after which an order is sent again if no report shows its effect.
    pub repeat_interval: Span,
    /// The time after which a load no longer counts as running if no report shows its end.
    pub load_timeout: Span,
    /// The maximum age of a report that orders are based on.
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
    /// Returns the load budget of a lease holder that starts at `now`; it is empty at first.
    pub(crate) fn new_load_budget(&self, now: MonoTime) -> TokenBucket {
        let rate = self.loads_per_minute / SECONDS_PER_MINUTE;
        let capacity = self.max_concurrent_loads.max(1) as f64;
        TokenBucket::empty(rate, capacity, now)
    }
}
