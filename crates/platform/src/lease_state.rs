//! Computes whether a lease is held, without I/O.
//!
//! The duration of a lease is measured from just before the call that acquired or renewed it was
//! sent, so it ends here no later than at the key-value store. A margin allows for clocks that run
//! at slightly different rates. Users of the lease check it right before each use, with the time of
//! that moment, so that a process that was paused detects an expired lease before it acts.

use std::fmt;

use oleander_base::prelude::*;

use crate::store::LeaseId;

/// Percentage of a lease's duration that is left unused, because clocks run at slightly different
/// rates.
const CLOCK_MARGIN_PERCENT: u64 = 10;
/// Number of renewal intervals in a lease's duration: a renewal is due after each third.
const RENEWALS_PER_TERM: u64 = 3;

/// Describes a lease that was acquired and the time until which it is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The ID of the lease.
    pub lease: LeaseId,
    /// The fencing number: the revision of the write by which this holder acquired the lease.
    pub fencing: Revision,
    /// The duration of the lease without renewal.
    pub time_to_live: Span,
    /// The time at which the last successful grant or renewal was sent.
    pub sent: MonoTime,
}

impl HeldLease {
    /// Returns the time from which the lease no longer counts as held.
    pub fn expires_at(&self) -> MonoTime {
        let margin = Span(self.time_to_live.0 * CLOCK_MARGIN_PERCENT / 100);
        self.sent + self.time_to_live.saturating_sub(margin)
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: MonoTime) -> bool {
        now < self.expires_at()
    }

    /// Returns the time at which the next renewal is due.
    pub fn renewal_due(&self) -> MonoTime {
        self.sent + Span(self.time_to_live.0 / RENEWALS_PER_TERM)
    }

    /// Records a successful renewal that was sent at `sent`. An earlier time than the recorded one
    /// is ignored.
    pub fn renew(&mut self, sent: MonoTime) {
        self.sent = self.sent.max(sent);
    }
}

impl fmt::Display for HeldLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { lease, fencing, .. } = self;
        write!(
            f,
            "lease {} with fencing number {fencing}, until {}",
            lease.0,
            self.expires_at()
        )
    }
}
