//! The retry budget of one entry VM.

use oleander_decide::{RetryBudget, RetryConfig};
use parking_lot::Mutex;

/// The retry budget, shared by all threads.
#[derive(Debug)]
pub struct RetryControl {
    budget: Mutex<RetryBudget>,
}

impl Default for RetryControl {
    fn default() -> Self {
        Self {
            budget: Mutex::new(RetryBudget::open(RetryConfig::default())),
        }
    }
}

impl RetryControl {
    /// Credits the budget for one successful request.
    pub fn succeeded(&self) {
        self.budget.lock().succeeded();
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take(&self) -> bool {
        self.budget.lock().try_take()
    }
}
