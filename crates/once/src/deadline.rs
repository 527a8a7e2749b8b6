//! The deadline check before a send, and the detection of pauses of this process.
//!
//! A process can be paused at any point and resume minutes later. Claims are kept in the store for
//! a bounded time, so a request must not be sent when its claim may be about to be deleted. The
//! deadline is checked on the monotonic clock right before the send. A pause between the check and
//! the send remains possible; docs/AT-MOST-ONCE.md, "A paused process", explains why it is
//! harmless while it is shorter than the retention less the send limit.

use std::time::Instant;

use oleander_base::prelude::*;
use thiserror::Error;

/// Reads a monotonic clock.
pub trait MonoClock: Send + Sync {
    /// Returns the time since the clock's origin.
    fn now(&self) -> MonoTime;
}

/// Reads the monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Returns a clock that counts from `origin`.
    pub fn from_origin(origin: Instant) -> Self {
        Self { origin }
    }
}

impl MonoClock for ProcessClock {
    fn now(&self) -> MonoTime {
        let elapsed = Span::from(self.origin.elapsed());
        MonoTime(elapsed.0)
    }
}

/// Reports that the send deadline has passed; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the leave to send lapsed {late} ago; this process was paused or the queue was long")]
pub struct StaleSend {
    /// How long ago the deadline passed.
    pub late: Span,
}

/// Holds the time until which a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendDeadline {
    send_until: MonoTime,
}

impl SendDeadline {
    /// Returns the deadline of a request: `limit` after it arrived.
    pub fn new(arrived: MonoTime, limit: Span) -> Self {
        Self {
            send_until: arrived + limit,
        }
    }

    /// Returns an error if the deadline has passed.
    pub fn check(&self, now: MonoTime) -> Result<(), StaleSend> {
        if now < self.send_until {
            return Ok(());
        }
        let late = now.since(self.send_until);
        Err(StaleSend { late })
    }
}

/// Detects that this process did not run for a long time.
///
/// After such a pause the sockets may still hold requests that callers sent before it and have
/// since repeated elsewhere. Their true age is unknown, so keyed requests are refused for a time
/// in which the sockets are drained.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    limit: Span,
    quiet: Span,
    last_seen: MonoTime,
    quiet_until: MonoTime,
}

impl PauseDetector {
    /// Returns a detector that takes a gap of more than `limit` for a pause, after which keyed
    /// requests are refused for `quiet`.
    pub fn new(limit: Span, quiet: Span, now: MonoTime) -> Self {
        Self {
            limit,
            quiet,
            last_seen: now,
            quiet_until: MonoTime(0),
        }
    }

    /// Records that the process runs; must be called several times within the limit.
    pub fn observe(&mut self, now: MonoTime) {
        if now.since(self.last_seen) > self.limit {
            self.quiet_until = now + self.quiet;
        }
        self.last_seen = self.last_seen.max(now);
    }

    /// Returns how long keyed requests must still be refused.
    pub fn remaining_quiet(&self, now: MonoTime) -> Span {
        self.quiet_until.since(now)
    }
}
