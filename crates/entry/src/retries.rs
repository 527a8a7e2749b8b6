//! The budget of repeated attempts of one entry VM.

use oleander_decide::{RetryBudget, RetryConfig};
use parking_lot::Mutex;

/// The budget, shared by all threads.
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
    /// Earns what one success pays for.
    pub fn succeeded(&self) {
        self.budget.lock().succeeded();
    }

    /// Takes one retry, if the budget has one.
    pub fn try_take(&self) -> bool {
        self.budget.lock().try_take()
    }
}
