//! When a lease is held, as pure data.
//!
//! A lease is counted from before the call that took it or renewed it was sent, so its end here
//! never lies after its end at the service. A margin covers clocks that run at slightly different
//! rates. Whoever uses the lease asks right before each use, with the time of that moment, so a
//! process that was paused finds out before it acts.

use std::fmt;

use oleander_base::prelude::*;

use crate::store::LeaseId;

/// The share of a lease's time that is not used, in parts of a hundred.
const CLOCK_MARGIN_PERCENT: u64 = 10;
/// A lease is renewed this many times within its time.
const RENEWALS_PER_TERM: u64 = 3;

/// A lease that was taken, and until when it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease.
    pub lease: LeaseId,
    /// The fencing number: the revision of the write that made this holder the holder.
    pub fencing: Revision,
    /// How long the lease lasts without renewal.
    pub time_to_live: Span,
    /// When the last call that succeeded was sent.
    pub sent: MonoTime,
}

impl HeldLease {
    /// Returns when the lease no longer counts.
    pub fn expires_at(&self) -> MonoTime {
        let margin = Span(self.time_to_live.0 * CLOCK_MARGIN_PERCENT / 100);
        self.sent + self.time_to_live.saturating_sub(margin)
    }

    /// Returns whether the lease counts at `now`.
    pub fn is_held(&self, now: MonoTime) -> bool {
        now < self.expires_at()
    }

    /// Returns when to renew the lease.
    pub fn renewal_due(&self) -> MonoTime {
        self.sent + Span(self.time_to_live.0 / RENEWALS_PER_TERM)
    }

    /// Notes a renewal that was sent at `sent` and succeeded.
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
