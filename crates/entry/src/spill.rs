//! Which data centre's pool serves a request.
//!
//! Dispatchers tell the other data centres how full their pools are. A request goes to its own
//! data centre unless that has no backend server for it, or is saturated while another one has
//! free slots. A ticket that was spilled over never moves again, so two full data centres cannot
//! pass it to and fro.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::PoolSummary;
use parking_lot::RwLock;

use crate::view::FleetView;

/// A summary that is older says nothing.
const SUMMARY_LIFE: Span = Span::from_secs(3);

/// The pool that a request's ticket goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolChoice {
    /// The pool.
    pub pool: PoolId,
    /// Whether it is in another data centre.
    pub spilled: bool,
}

#[derive(Debug, Clone)]
struct SeenSummary {
    summary: PoolSummary,
    seen: MonoTime,
}

/// What is known of the pools of all data centres.
#[derive(Debug, Default)]
pub struct SpillBoard {
    seen: RwLock<FastMap<PoolId, SeenSummary>>,
}

impl SpillBoard {
    /// Returns the bytes that tell other entry VMs of pools.
    pub fn encode(summaries: &[PoolSummary]) -> Bytes {
        postcard::to_allocvec(summaries)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Takes in the summaries of another entry VM.
    pub fn on_message(&self, bytes: &[u8]) {
        if let Ok(summaries) = postcard::from_bytes::<Vec<PoolSummary>>(bytes) {
            self.note(summaries);
        }
    }

    /// Notes summaries.
    pub fn note(&self, summaries: Vec<PoolSummary>) {
        let now = monotonic_now();
        let mut seen = self.seen.write();
        for summary in summaries {
            seen.insert(summary.pool, SeenSummary { summary, seen: now });
        }
    }

    /// Returns the summary of a pool, unless it is too old.
    pub fn summary(&self, pool: PoolId) -> Option<PoolSummary> {
        let now = monotonic_now();
        let seen = self.seen.read();
        let seen = seen.get(&pool)?;
        (now.since(seen.seen) < SUMMARY_LIFE).then(|| seen.summary.clone())
    }

    /// Chooses the pool of a request.
    pub fn choose(
        &self,
        view: &FleetView,
        centre: CentreId,
        model: ModelId,
        spill: bool,
    ) -> Option<PoolChoice> {
        let pools = view.pools_of(model);
        let own = pools.iter().copied().find(|pool| pool.centre == centre);
        let is_usable = |pool: PoolId| view.has_work_for(pool);
        match own.filter(|pool| is_usable(*pool)) {
            Some(own) if !spill || !self.is_full(own) => Some(PoolChoice {
                pool: own,
                spilled: false,
            }),
            Some(own) => {
                let other = self.roomiest(
                    pools
                        .iter()
                        .copied()
                        .filter(|pool| *pool != own && is_usable(*pool)),
                );
                Some(other.map_or(
                    PoolChoice {
                        pool: own,
                        spilled: false,
                    },
                    spilled,
                ))
            }
            None => {
                let others = || {
                    pools
                        .iter()
                        .copied()
                        .filter(|pool| pool.centre != centre && is_usable(*pool))
                };
                let other = self.roomiest(others()).or_else(|| others().next());
                other.map(spilled).or_else(|| {
                    own.map(|pool| PoolChoice {
                        pool,
                        spilled: false,
                    })
                })
            }
        }
    }

    fn is_full(&self, pool: PoolId) -> bool {
        self.summary(pool)
            .is_some_and(|summary| summary.saturated || summary.slots_free() == 0)
    }

    fn roomiest(&self, pools: impl Iterator<Item = PoolId>) -> Option<PoolId> {
        pools
            .filter_map(|pool| self.summary(pool))
            .filter(|summary| !summary.saturated && summary.slots_free() > summary.slots_total / 4)
            .max_by_key(|summary| (summary.slots_free(), summary.pool))
            .map(|summary| summary.pool)
    }
}

fn spilled(pool: PoolId) -> PoolChoice {
    PoolChoice {
        pool,
        spilled: true,
    }
}
