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
const FIRST_WAIT: Span = Span::from_millis(300);

/// When and where to try next.
#[derive(Debug)]
pub(crate) struct ContactPlan {
    seeds: Vec<SocketAddr>,
    listed: BTreeSet<SocketAddr>,
    wait: Span,
    next: MonoTime,
}

impl ContactPlan {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: MonoTime) -> Self {
        Self {
            seeds,
            listed: BTreeSet::new(),
            wait: FIRST_WAIT,
            next: now,
        }
    }

    /// Takes the addresses of the VM list; a new one is tried soon.
    pub(crate) fn list(&mut self, listed: BTreeSet<SocketAddr>, now: MonoTime) {
        if !listed.is_subset(&self.listed) {
            self.hurry(now);
        }
        self.listed = listed;
    }

    /// Starts over with short waits.
    pub(crate) fn hurry(&mut self, now: MonoTime) {
        self.wait = FIRST_WAIT;
        self.next = self.next.min(now + FIRST_WAIT);
    }

    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        self.next <= now
    }

    /// Returns the address to try now, and plans the next attempt.
    ///
    /// `former` are last addresses of members that went, `taken` tells where nothing is to be
    /// tried, and `bound` is the longest wait.
    pub(crate) fn choose(
        &mut self,
        former: &[SocketAddr],
        taken: impl Fn(SocketAddr) -> bool,
        bound: Span,
        now: MonoTime,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let all: BTreeSet<_> = self
            .seeds
            .iter()
            .chain(&self.listed)
            .chain(former)
            .copied()
            .filter(|address| !taken(*address))
            .collect();
        let all: Vec<_> = all.into_iter().collect();
        let spread = rng.random_range(0.7..1.3);
        self.wait = self.wait.min(bound);
        self.next = now + Span((self.wait.0 as f64 * spread) as u64);
        self.wait = Span(self.wait.0.saturating_mul(2)).min(bound);
        all.choose(rng).copied()
    }
}
