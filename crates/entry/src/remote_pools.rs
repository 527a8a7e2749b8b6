//! Chooses the data centre whose pool serves a request.
//!
//! Dispatchers send summaries of their pools to the other entry VMs, and [`SpillPolicy`] decides. A
//! request stays in its own data centre unless that one has no backend server for it, or would make
//! it wait while another data centre has free slots. A ticket that was spilled over is never moved
//! again, so that two full data centres cannot send it back and forth.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{LocalLoad, PoolSummary, SpillConfig, SpillOption, SpillPolicy};
use parking_lot::Mutex;

use crate::view::FleetView;

/// Assumed one-way latency between two data centres, in microseconds.
const CENTRE_LATENCY: Span = Span(1_500);

#[derive(Debug, Clone)]
struct ReceivedSummary {
    summary: PoolSummary,
    received: MonoTime,
    /// Number of tickets sent to the pool since the summary was received.
    in_transit: u32,
}

/// The key of a spill-over policy: each tier of each pool has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct TierPool {
    pool: PoolId,
    tier: Tier,
}

#[derive(Debug, Default)]
struct SpillState {
    seen: FastMap<PoolId, ReceivedSummary>,
    policies: FastMap<TierPool, SpillPolicy>,
}

/// The latest summaries of the pools of all data centres.
#[derive(Debug, Default)]
pub struct RemotePools {
    state: Mutex<SpillState>,
}

impl RemotePools {
    /// Encodes pool summaries for the other entry VMs.
    pub fn encode(summaries: &[PoolSummary]) -> Bytes {
        postcard::to_allocvec(summaries)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Stores the summaries that another entry VM sent.
    pub fn on_message(&self, bytes: &[u8]) {
        if let Ok(summaries) = postcard::from_bytes::<Vec<PoolSummary>>(bytes) {
            self.record_summaries(summaries);
        }
    }

    /// Stores pool summaries.
    pub fn record_summaries(&self, summaries: Vec<PoolSummary>) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        for summary in summaries {
            let seen = ReceivedSummary {
                summary,
                received: now,
                in_transit: 0,
            };
            state.seen.insert(seen.summary.pool, seen);
        }
    }

    /// Returns the pool of another data centre that a ticket should go to, if that serves it better
    /// than the ticket's own pool.
    pub fn choose_pool(&self, view: &FleetView, ticket: &Ticket) -> Option<PoolId> {
        let now = monotonic_now();
        let mut state = self.state.lock();
        let SpillState { seen, policies } = &mut *state;
        let local = local_load(view, ticket, seen, now);
        let pools = view.pools_of(ticket.pool.model).iter().copied();
        let others = pools.filter(|pool| *pool != ticket.pool && view.has_usable_backend(*pool));
        let options: Vec<SpillOption> = others
            .filter_map(|pool| spill_option(seen.get(&pool)?, ticket.tier, now))
            .collect();
        let key = TierPool {
            pool: ticket.pool,
            tier: ticket.tier,
        };
        let policy = policies
            .entry(key)
            .or_insert_with(|| SpillPolicy::open(SpillConfig::default()));
        let centre = policy.choose(ticket, &local, &options)?;
        let target = PoolId {
            centre,
            model: ticket.pool.model,
        };
        if let Some(seen) = seen.get_mut(&target) {
            seen.in_transit += 1;
        }
        Some(target)
    }
}

fn local_load(
    view: &FleetView,
    ticket: &Ticket,
    seen: &FastMap<PoolId, ReceivedSummary>,
    now: MonoTime,
) -> LocalLoad {
    if !view.has_usable_backend(ticket.pool) {
        return LocalLoad {
            backends_usable: 0,
            expected_wait: Span::ZERO,
        };
    }
    let stale = SpillConfig::default().stale;
    let fresh = seen
        .get(&ticket.pool)
        .filter(|seen| now.since(seen.received) <= stale);
    match fresh {
        Some(seen) => LocalLoad {
            backends_usable: seen.summary.backends_usable,
            expected_wait: seen.summary.expected_wait(ticket.tier),
        },
        // A pool without a fresh summary is assumed to be usable, so that requests try it.
        None => LocalLoad {
            backends_usable: 1,
            expected_wait: Span::ZERO,
        },
    }
}

fn spill_option(seen: &ReceivedSummary, tier: Tier, now: MonoTime) -> Option<SpillOption> {
    let summary = &seen.summary;
    Some(SpillOption {
        centre: summary.pool.centre,
        distance: CENTRE_LATENCY,
        expected_wait: summary.expected_wait(tier),
        backends_usable: summary.backends_usable,
        slots_total: summary.slots_total,
        slots_free: summary.slots_free(),
        in_transit: seen.in_transit,
        age: now.since(seen.received),
    })
}
