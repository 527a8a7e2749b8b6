//! Slots that lower tiers leave free for higher ones.
//!
//! Without preemption a ticket of the highest tier waits for a release when lower tiers hold all
//! slots. In a small pool releases are rare, so that a few tickets in a row miss a short target
//! although the tier asks for little. Trunk reservation (Kelly, "Loss Networks", 1991) keeps the
//! last few free slots from lower tiers.
//!
//! The number is the smallest that keeps the chance of a late first token under a bound. If the
//! tiers down to this one load the pool by `rho` and slots are released at the rate `mu`, a ticket
//! finds all slots taken, and then waits longer than `s`, with the chance
//! `rho^r * exp(-s * mu * (1 - rho))`. Large pools release so often that the number is 0, and it
//! is 0 where a tier loads the pool so much that idle slots would cost more than they give.

use oleander_base::prelude::*;

/// The bound on the chance that a ticket misses its target for want of a free slot.
const MISS_PROBABILITY: f64 = 0.004;

/// The load from which no slots are reserved for a tier.
const LOAD_LIMIT: f64 = 0.75;

/// The most slots that are reserved, as a share of the pool's.
const SLOT_SHARE: f64 = 0.125;

/// What one tier asks of the pool.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TierDemand {
    /// Work that arrives in a second.
    pub(crate) work_rate: f64,
    /// How long a ticket may wait for a slot, in seconds.
    pub(crate) slack: f64,
}

/// What the pool can give.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSupply {
    /// Work done in a second with all slots in use.
    pub(crate) capacity: f64,
    /// Slots released in a second.
    pub(crate) release_rate: f64,
    /// Slots that may be in use at once.
    pub(crate) slots: u32,
}

/// The slots that a grant of each tier must leave free.
#[derive(Debug, Default)]
pub(crate) struct SlotReserve {
    slots: [u32; Tier::COUNT],
    lightly_loaded: [bool; Tier::COUNT],
}

impl SlotReserve {
    /// Computes the reserve from what the tiers ask for.
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

    /// Returns whether the tiers down to this index load the pool so little that their queue is
    /// empty again and again.
    pub(crate) fn is_lightly_loaded(&self, index: usize) -> bool {
        self.lightly_loaded[index]
    }

    /// Returns the slots that a grant to the tier with this index must leave free.
    pub(crate) fn get(&self, index: usize) -> u32 {
        self.slots[index]
    }
}

/// Returns the slots to reserve for tiers of this load, if so many releases fit into the slack.
fn needed_slots(load: f64, releases: f64) -> u32 {
    if load <= 0.0 || load >= LOAD_LIMIT {
        return 0;
    }
    let missing = -MISS_PROBABILITY.ln() - releases * (1.0 - load);
    (missing / -load.ln()).ceil().max(0.0) as u32
}
