//! Discovery: dialling of addresses at which no member is known, which are seeds, addresses of the
//! platform's VM list and the last addresses of members that are gone.
//!
//! One address is dialled at a time, with a jittered exponential backoff, so that the members of a
//! fleet do not all dial at the same time after a partition heals.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;

/// The backoff between the first two attempts, also after a reset, before jitter.
const MIN_BACKOFF: Span = Span::from_millis(300);

/// The candidate addresses and the time of the next attempt.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    seeds: Vec<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    backoff: Span,
    next_at: MonoTime,
}

impl DiscoverySchedule {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: MonoTime) -> Self {
        Self {
            seeds,
            listed: BTreeSet::new(),
            backoff: MIN_BACKOFF,
            next_at: now,
        }
    }

    /// Replaces the addresses of the VM list, and resets the backoff if there is a new one.
    pub(crate) fn set_listed(&mut self, listed: BTreeSet<SocketAddr>, now: MonoTime) {
        if !listed.is_subset(&self.listed) {
            self.reset_backoff(now);
        }
        self.listed = listed;
    }

    /// Resets the backoff to its minimum and moves the next attempt forward accordingly.
    pub(crate) fn reset_backoff(&mut self, now: MonoTime) {
        self.backoff = MIN_BACKOFF;
        self.next_at = self.next_at.min(now + MIN_BACKOFF);
    }

    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        self.next_at <= now
    }

    /// Returns the address to dial now, if any, and schedules the next attempt.
    ///
    /// `former` holds the last addresses of local members that are gone, `excluded` returns whether
    /// an address must not be dialled, and `max_backoff` is the maximum backoff before jitter.
    pub(crate) fn choose(
        &mut self,
        former: &[SocketAddr],
        excluded: impl Fn(SocketAddr) -> bool,
        max_backoff: Span,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let all: BTreeSet<_> = self
            .seeds
            .iter()
            .chain(&self.listed)
            .chain(former)
            .copied()
            .filter(|address| !excluded(*address))
            .collect();
        let all: Vec<_> = all.into_iter().collect();
        let jitter = rng.random_range(0.7..1.3);
        self.backoff = self.backoff.min(max_backoff);
        self.next_at = now + Span((self.backoff.0 as f64 * jitter) as u64);
        self.backoff = Span(self.backoff.0.saturating_mul(2)).min(max_backoff);
        all.choose(rng).copied()
    }
}
