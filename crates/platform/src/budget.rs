//! The budget of calls to the platform's services, as plain numbers.
//!
//! The services count each call and their rates grow more slowly than the fleet, so a process
//! limits itself. One token bucket each for reads and writes holds at most one second of the
//! rate. A call may take a token only while more than its class's reserve is left, so that a
//! burst of claims cannot starve the renewal of leases, which may empty the bucket.

use std::time::Duration;

use oleander_base::prelude::*;

/// The least tokens that a bucket of the budget holds.
const MIN_CAPACITY: f64 = 4.0;

/// What a call is for; the order is the order of importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases and what keeps them.
    Lease,
    /// Records and the VM list.
    Record,
    /// Claims of requests, and all else.
    Claim,
}

impl CallClass {
    /// Returns the share of the bucket that this class leaves to the classes above it.
    fn reserve(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Record => 0.1,
            Self::Claim => 0.25,
        }
    }
}

/// Whether a call reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Get, list, watch, VM list.
    Read,
    /// Put, delete and the calls on leases.
    Write,
}

/// How many calls a process may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Reads a second.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            reads_per_second: 100.0,
            writes_per_second: 50.0,
        }
    }
}

/// A rate with a burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// The smallest rate in tokens a second, so that a wait can always be told.
    const MIN_RATE: f64 = 1e-3;

    /// Returns a full bucket of `rate` tokens a second.
    pub fn full(rate: f64, capacity: f64) -> Self {
        Self {
            rate: rate.max(Self::MIN_RATE),
            capacity,
            tokens: capacity,
            refilled_at: MonoTime::default(),
        }
    }

    /// Returns an empty bucket that begins to fill at `now`.
    pub fn empty(rate: f64, capacity: f64, now: MonoTime) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            ..Self::full(rate, capacity)
        }
    }

    /// Takes a token if a share `reserve` of the capacity is left after it, or says how long to
    /// wait.
    pub fn take(&mut self, now: MonoTime, reserve: f64) -> Result<(), Duration> {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = self.capacity * reserve;
        if self.tokens >= reserved + 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = reserved + 1.0 - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate))
    }
}

/// The budget of one process.
#[derive(Debug, Clone)]
pub struct CallBudget {
    reads: TokenBucket,
    writes: TokenBucket,
    paused_until: MonoTime,
}

impl CallBudget {
    /// Returns a full budget.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            reads: one_second_bucket(limits.reads_per_second),
            writes: one_second_bucket(limits.writes_per_second),
            paused_until: MonoTime::default(),
        }
    }

    /// Takes a token, or says how long to wait for one.
    pub fn take(
        &mut self,
        now: MonoTime,
        class: CallClass,
        kind: CallKind,
    ) -> Result<(), Duration> {
        if class != CallClass::Lease && now < self.paused_until {
            return Err(self.paused_until.since(now).into());
        }
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        bucket.take(now, class.reserve())
    }

    /// Holds back all calls but those for leases, because the service refused one for its rate.
    pub fn pause(&mut self, now: MonoTime, retry_after: Duration) {
        self.paused_until = self.paused_until.max(now + retry_after.into());
    }
}

/// Returns a bucket that holds a second of the rate, or a few tokens if that is less.
fn one_second_bucket(rate: f64) -> TokenBucket {
    TokenBucket::full(rate, rate.max(MIN_CAPACITY))
}
