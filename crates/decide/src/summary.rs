//! A pool's figures for screens and for spill-over.

use std::fmt;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::spill::{LocalLoad, SpillOption};

/// The state of a pool in figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The pool.
    pub pool: PoolId,
    /// Slots that may be in use at once, over the backend servers that take new work.
    pub slots_total: u32,
    /// Slots in use, of this pool's grants and of other senders.
    pub slots_used: u32,
    /// Backend servers that take new work.
    pub backends_usable: u32,
    /// Backend servers that were ejected for failures.
    pub backends_ejected: u32,
    /// Whether tickets wait because no slot is free.
    pub saturated: bool,
    /// The queue by tier, the highest first; only tiers with tickets.
    pub tiers: Vec<TierSummary>,
    /// Classes that have been seen, by reference.
    pub classes: Vec<ClassSummary>,
}

/// The state of one backend server in figures.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BackendSummary {
    /// The backend server.
    pub backend: BackendId,
    /// Requests of this pool's grants there.
    pub running: u32,
    /// Requests that may be there at a time now.
    pub limit: u32,
    /// Its speed against the reference, as measured or, before that, as recorded.
    pub speed: f64,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether it gets no new work, or only probes, for failures.
    pub ejected: bool,
}

/// The queue of one tier in figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TierSummary {
    /// The tier.
    pub tier: Tier,
    /// Tickets that wait.
    pub queued: u32,
    /// How long a ticket that comes now is expected to wait.
    pub expected_wait: Span,
}

/// The counters of one class since the policy was opened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// The class.
    pub class: ClassId,
    /// Tickets that wait.
    pub queued: u32,
    /// Slots in use.
    pub running: u32,
    /// Grants so far.
    pub granted: u64,
    /// Grants out of tier order, for the minimum share.
    pub granted_by_share: u64,
    /// Tickets shed so far.
    pub shed: u64,
}

impl PoolSummary {
    /// Returns how many tickets wait.
    pub fn queued(&self) -> u32 {
        self.tiers.iter().map(|tier| tier.queued).sum()
    }

    /// Returns how many slots are free.
    pub fn slots_free(&self) -> u32 {
        self.slots_total.saturating_sub(self.slots_used)
    }

    /// Returns how long a ticket of this tier that comes now is expected to wait.
    ///
    /// Without tickets of its own tier it waits as long as one of the next higher tier that has
    /// any.
    pub fn expected_wait(&self, tier: Tier) -> Span {
        let ahead = self
            .tiers
            .iter()
            .filter(|summary| !tier.is_above(summary.tier));
        ahead
            .max_by_key(|summary| summary.tier)
            .map_or(Span::ZERO, |summary| summary.expected_wait)
    }

    /// Returns what spill-over needs to know of this pool for a ticket of this tier.
    pub fn local_load(&self, tier: Tier) -> LocalLoad {
        LocalLoad {
            backends_usable: self.backends_usable,
            expected_wait: self.expected_wait(tier),
        }
    }

    /// Returns this pool as a target of spill-over for a ticket of this tier.
    pub fn spill_option(
        &self,
        tier: Tier,
        distance: Span,
        in_transit: u32,
        age: Span,
    ) -> SpillOption {
        SpillOption {
            centre: self.pool.centre,
            distance,
            expected_wait: self.expected_wait(tier),
            backends_usable: self.backends_usable,
            slots_total: self.slots_total,
            slots_free: self.slots_free(),
            in_transit,
            age,
        }
    }
}

impl fmt::Display for PoolSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "pool {} slots {}/{} backends {} ejected {}{}",
            self.pool,
            self.slots_used,
            self.slots_total,
            self.backends_usable,
            self.backends_ejected,
            if self.saturated { " saturated" } else { "" },
        )?;
        for tier in &self.tiers {
            writeln!(
                f,
                "  {} queued {} expected wait {}",
                tier.tier, tier.queued, tier.expected_wait
            )?;
        }
        for class in &self.classes {
            writeln!(
                f,
                "  {} queued {} running {} granted {} by share {} shed {}",
                class.class,
                class.queued,
                class.running,
                class.granted,
                class.granted_by_share,
                class.shed
            )?;
        }
        Ok(())
    }
}
