//! The budget of retries and hedges.
//!
//! Each success earns a fraction of a retry and each retry costs a whole one, so that retries stay
//! a fixed share of the successes and stop when a backend server or a pool fails completely. The
//! budget is bounded, and it starts full, so that an entry VM with little traffic can retry its
//! first failure.

/// The parameters of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryConfig {
    /// The retries earned by one success.
    pub earned: f64,
    /// The most retries that can be saved.
    pub saved_limit: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            earned: 0.1,
            saved_limit: 10.0,
        }
    }
}

/// The number of retries that may be made now.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn open(config: RetryConfig) -> Self {
        Self {
            saved: config.saved_limit,
            config,
        }
    }

    /// Records a success, which earns a fraction of a retry.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.config.earned).min(self.config.saved_limit);
    }

    /// Takes one retry, or returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the number of saved retries.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}
