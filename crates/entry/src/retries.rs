//! The budget of repeated attempts: a share of the successes, so that retries cannot multiply the
//! load of backend servers that fail.

use oleander_base::prelude::*;
use parking_lot::Mutex;

/// Retries that one success pays for.
const RETRIES_PER_SUCCESS: f64 = 0.2;
/// Retries that can be saved up.
const BUDGET_CEILING: f64 = 100.0;
/// Retries a second that are allowed without any success.
const RESERVE_PER_SECOND: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct BudgetState {
    balance: f64,
    refilled: MonoTime,
}

impl BudgetState {
    fn refill(&mut self, now: MonoTime) {
        let gained = RESERVE_PER_SECOND * now.since(self.refilled).as_secs_f64();
        self.balance = (self.balance + gained).min(BUDGET_CEILING);
        self.refilled = now;
    }
}

/// The budget of one entry VM.
#[derive(Debug)]
pub struct RetryDesk {
    state: Mutex<BudgetState>,
}

impl RetryDesk {
    /// Makes a budget with some retries saved up.
    pub(crate) fn new(now: MonoTime) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                balance: BUDGET_CEILING / 10.0,
                refilled: now,
            }),
        }
    }

    /// Adds what one success pays for.
    pub(crate) fn deposit(&self, now: MonoTime) {
        let mut state = self.state.lock();
        state.refill(now);
        state.balance = (state.balance + RETRIES_PER_SUCCESS).min(BUDGET_CEILING);
    }

    /// Takes one retry, if the budget has one.
    pub(crate) fn try_spend(&self, now: MonoTime) -> bool {
        let mut state = self.state.lock();
        state.refill(now);
        if state.balance < 1.0 {
            return false;
        }
        state.balance -= 1.0;
        true
    }
}
