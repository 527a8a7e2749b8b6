//! Attempts to reach addresses where no member is known: seeds, the platform's VM list and the last
//! addresses of members that went.
//!
//! One address is tried at a time, after a wait that doubles up to a bound and is spread at random,
//! so that a fleet that finds itself again after a partition does not dial all at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;

/// The first wait between attempts.
const MIN_BACKOFF: Span = Span::from_millis(300);

/// When and where to try next.
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

    /// Takes the addresses of the VM list; a new one is tried soon.
    pub(crate) fn set_listed(&mut self, listed: BTreeSet<SocketAddr>, now: MonoTime) {
        if !listed.is_subset(&self.listed) {
            self.reset_backoff(now);
        }
        self.listed = listed;
    }

    /// Starts over with short waits.
    pub(crate) fn reset_backoff(&mut self, now: MonoTime) {
        self.backoff = MIN_BACKOFF;
        self.next_at = self.next_at.min(now + MIN_BACKOFF);
    }

    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        self.next_at <= now
    }

    /// Returns the address to try now, and plans the next attempt.
    ///
    /// `former` are last addresses of members that went, `excluded` tells where nothing is to be
    /// tried, and `max_backoff` is the longest wait.
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
