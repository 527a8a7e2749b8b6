//! Slots that lower tiers leave free for higher ones.
//!
//! Without preemption a ticket of the highest tier waits for a release when lower tiers hold all
//! slots. In a small pool releases are rare, so that several tickets in a row miss a short target
//! although the tier demands little. Trunk reservation (Kelly, "Loss Networks", 1991) keeps the
//! last few free slots from lower tiers.
//!
//! The number is the smallest that keeps the probability of a late first token below a bound. If
//! this tier and those above it load the pool by `rho`, and slots are released at rate `mu`, then
//! the probability that a ticket finds all slots taken and waits longer than `s` is
//! `rho^r * exp(-s * mu * (1 - rho))`, where `r` is the number of reserved slots. Large pools
//! release so often that the number is 0. It is also 0 where a tier loads the pool so much that
//! idle slots would cost more than they gain.

use oleander_base::prelude::*;

/// The largest accepted probability that a ticket misses its target for lack of a free slot.
const MISS_PROBABILITY: f64 = 0.004;

/// The load from which no slots are reserved for a tier.
const LOAD_LIMIT: f64 = 0.75;

/// The largest fraction of the pool's slots that is reserved.
const SLOT_SHARE: f64 = 0.125;

/// The demand of one tier.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TierDemand {
    /// The work that arrives per second.
    pub(crate) work_rate: f64,
    /// How long a ticket may wait for a slot, in seconds.
    pub(crate) slack: f64,
}

/// The capacity of the pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSupply {
    /// The work done per second with all slots in use.
    pub(crate) capacity: f64,
    /// The slots released per second.
    pub(crate) release_rate: f64,
    /// The number of slots that may be in use at the same time.
    pub(crate) slots: u32,
}

/// The slots that a grant of each tier must leave free.
#[derive(Debug, Default)]
pub(crate) struct SlotReserve {
    slots: [u32; Tier::COUNT],
    lightly_loaded: [bool; Tier::COUNT],
}

impl SlotReserve {
    /// Recomputes the reserve from the tiers' demands and the pool's capacity.
    pub(crate) fn update(&mut self, demands: &[TierDemand; Tier::COUNT], supply: &PoolSupply) {
        let bound = (f64::from(supply.slots) * SLOT_SHARE) as u32;
        let mut work_rate = 0.0;
        let mut reserve = 0;
        for (index, demand) in demands.iter().enumerate() {
            self.slots[index] = reserve;
            work_rate += demand.work_rate;
            let load = work_rate / supply.capacity.max(1e-9);
            self.lightly_loaded[index] = load < LOAD_LIMIT;
            if demand.work_rate > 0.0 {
                let needed = needed_slots(load, demand.slack * supply.release_rate);
                reserve = reserve.max(needed.min(bound));
            }
        }
    }

    /// Returns whether this tier and those above it load the pool so little that their queues empty
    /// repeatedly.
    pub(crate) fn is_lightly_loaded(&self, index: usize) -> bool {
        self.lightly_loaded[index]
    }

    /// Returns the slots that a grant to the tier with this index must leave free.
    pub(crate) fn get(&self, index: usize) -> u32 {
        self.slots[index]
    }
}

/// Returns the number of slots to reserve at this load if `releases` slots are released within the
/// slack.
fn needed_slots(load: f64, releases: f64) -> u32 {
    if load <= 0.0 || load >= LOAD_LIMIT {
        return 0;
    }
    let missing = -MISS_PROBABILITY.ln() - releases * (1.0 - load);
    (missing / -load.ln()).ceil().max(0.0) as u32
}
