//! The budget of retries and hedges.
//!
//! Each success earns a part of a retry, and each retry takes a whole one, so that retries stay a
//! fixed share of the successes and dry up when a backend server or a pool fails altogether. The
//! budget that can be saved up is bounded, and it is full at first, so that a quiet entry VM can
//! retry its first failure.

/// The bounds of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryConfig {
    /// Retries earned by one success.
    pub earned: f64,
    /// The most retries that are saved up.
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

/// The retries that may be made now.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryConfig,
    saved: f64,
}

impl RetryBudget {
    /// Opens a full budget.
    pub fn open(config: RetryConfig) -> Self {
        Self {
            saved: config.saved_limit,
            config,
        }
    }

    /// Earns a part of a retry.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.config.earned).min(self.config.saved_limit);
    }

    /// Takes one retry, or returns false if the budget has none.
    pub fn try_take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns how many retries the budget holds.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}
