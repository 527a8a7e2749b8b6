//! Limits the rate of calls to the platform's services, without I/O.
//!
//! The services count every call against rate limits that grow more slowly than the fleet, so every
//! process limits itself. Reads and writes have one token bucket each, which holds the tokens of
//! one second, or a few tokens at a very low rate. A call may take a token only if its class's
//! reserve is left in the bucket, so that a burst of claims cannot starve the renewal of leases,
//! which may empty the bucket.

use std::time::Duration;

use oleander_base::prelude::*;

/// Minimum capacity of a bucket, in tokens.
const MIN_CAPACITY: f64 = 4.0;

/// Classifies a call by its purpose, in descending order of importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallClass {
    /// Calls on leases and on the keys of lease holders.
    Lease,
    /// Calls on records and the VM list.
    Record,
    /// Claims of requests, and all other calls.
    Claim,
}

impl CallClass {
    /// Returns the share of a bucket's capacity that this class leaves to more important classes.
    fn reserve(self) -> f64 {
        match self {
            Self::Lease => 0.0,
            Self::Record => 0.1,
            Self::Claim => 0.25,
        }
    }
}

/// Distinguishes calls that read from calls that write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A get, list, watch or read of the VM list.
    Read,
    /// A put, a delete or a call on a lease.
    Write,
}

/// Limits the rate of a process's calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// The number of reads per second.
    pub reads_per_second: f64,
    /// The number of writes per second.
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

/// Limits a rate and allows bursts of up to its capacity.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: MonoTime,
}

impl TokenBucket {
    /// Minimum rate in tokens per second, so that the time until the next token is finite.
    const MIN_RATE: f64 = 1e-3;

    /// Returns a full bucket that gains `rate` tokens per second.
    pub fn full(rate: f64, capacity: f64) -> Self {
        Self {
            rate: rate.max(Self::MIN_RATE),
            capacity,
            tokens: capacity,
            refilled_at: MonoTime::default(),
        }
    }

    /// Returns an empty bucket that starts to fill at `now`.
    pub fn empty(rate: f64, capacity: f64, now: MonoTime) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            ..Self::full(rate, capacity)
        }
    }

    /// Takes a token if a share `reserve` of the capacity is left after it, or returns the time to
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

/// Limits the calls of one process.
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

    /// Takes a token, or returns the time to wait for one.
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

    /// Refuses all calls except those for leases until `retry_after` has passed, because the
    /// service refused a call for its rate.
    pub fn pause(&mut self, now: MonoTime, retry_after: Duration) {
        self.paused_until = self.paused_until.max(now + retry_after.into());
    }
}

/// Returns a bucket that holds the tokens of one second, or [`MIN_CAPACITY`] tokens if that is
/// more.
fn one_second_bucket(rate: f64) -> TokenBucket {
    TokenBucket::full(rate, rate.max(MIN_CAPACITY))
}
