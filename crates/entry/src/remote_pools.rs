//! Which data centre's pool serves a request.
//!
//! Dispatchers tell the other data centres how full their pools are, and [`SpillPolicy`] decides.
//! A request goes to its own data centre unless that has no backend server for it, or makes it
//! wait while another one has room. A ticket that was spilled over never moves again, so two full
//! data centres cannot pass it to and fro.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{HomeLoad, PoolSummary, SpillConfig, SpillOption, SpillPolicy};
use parking_lot::Mutex;

use crate::view::FleetView;

/// The time of a message between two data centres, one way, while none has been measured.
const CENTRE_LATENCY: Span = Span(1_500);

#[derive(Debug, Clone)]
struct ReceivedSummary {
    summary: PoolSummary,
    received: MonoTime,
    /// Tickets sent there since then.
    in_transit: u32,
}

/// The spill-over of one tier of one pool is decided by itself.
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

/// What is known of the pools of all data centres.
#[derive(Debug, Default)]
pub struct RemotePools {
    state: Mutex<SpillState>,
}

impl RemotePools {
    /// Returns the bytes that tell other entry VMs of pools.
    pub fn encode(summaries: &[PoolSummary]) -> Bytes {
        postcard::to_allocvec(summaries)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Takes in the summaries of another entry VM.
    pub fn on_message(&self, bytes: &[u8]) {
        if let Ok(summaries) = postcard::from_bytes::<Vec<PoolSummary>>(bytes) {
            self.record_summaries(summaries);
        }
    }

    /// Notes summaries.
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

    /// Returns the data centre's pool that a ticket should go to in place of its own, if another
    /// one serves it better.
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
) -> HomeLoad {
    if !view.has_usable_backend(ticket.pool) {
        return HomeLoad {
            backends_usable: 0,
            expected_wait: Span::ZERO,
        };
    }
    let stale = SpillConfig::default().stale;
    let fresh = seen
        .get(&ticket.pool)
        .filter(|seen| now.since(seen.received) <= stale);
    match fresh {
        Some(seen) => HomeLoad {
            backends_usable: seen.summary.backends_usable,
            expected_wait: seen.summary.expected_wait(ticket.tier),
        },
        // A pool that nothing is known of is tried.
        None => HomeLoad {
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
