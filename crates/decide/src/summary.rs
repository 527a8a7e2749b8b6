//! Statistics of a pool for screens and for spill-over.

use std::fmt;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::spill::{LocalLoad, SpillOption};

/// The statistics of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The pool.
    pub pool: PoolId,
    /// Slots that may be in use at the same time, over all usable backend servers.
    pub slots_total: u32,
    /// Slots in use, by this pool's grants and by other senders.
    pub slots_used: u32,
    /// Backend servers that may take new work, including ejected ones.
    pub backends_usable: u32,
    /// Usable backend servers that are ejected because of failures.
    pub backends_ejected: u32,
    /// Whether tickets wait for a free slot.
    pub saturated: bool,
    /// The tiers that have queued tickets, highest first.
    pub tiers: Vec<TierSummary>,
    /// The classes seen so far, ordered by id.
    pub classes: Vec<ClassSummary>,
}

/// The statistics of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BackendSummary {
    /// The backend server.
    pub backend: BackendId,
    /// Requests there that this pool granted.
    pub running: u32,
    /// The current limit on concurrent requests there.
    pub limit: u32,
    /// Its recorded speed relative to the reference speed.
    pub speed: f64,
    /// Whether it gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether it is ejected because of failures and gets no work.
    pub ejected: bool,
}

/// The queue statistics of one tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TierSummary {
    /// The tier.
    pub tier: Tier,
    /// Queued tickets.
    pub queued: u32,
    /// The expected wait of a new ticket.
    pub expected_wait: Span,
}

/// The counters of one class since the policy was created.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// The class.
    pub class: ClassId,
    /// Queued tickets.
    pub queued: u32,
    /// Slots in use.
    pub running: u32,
    /// Grants so far.
    pub granted: u64,
    /// Grants out of tier order, because of the minimum share.
    pub granted_by_share: u64,
    /// Tickets shed so far.
    pub shed: u64,
}

impl PoolSummary {
    /// Returns the number of queued tickets.
    pub fn queued(&self) -> u32 {
        self.tiers.iter().map(|tier| tier.queued).sum()
    }

    /// Returns the number of free slots.
    pub fn slots_free(&self) -> u32 {
        self.slots_total.saturating_sub(self.slots_used)
    }

    /// Returns the expected wait of a new ticket of this tier.
    ///
    /// If its own tier has no tickets, this is the expected wait of the nearest higher tier that
    /// has some.
    pub fn expected_wait(&self, tier: Tier) -> Span {
        let ahead = self
            .tiers
            .iter()
            .filter(|summary| !tier.is_above(summary.tier));
        ahead
            .max_by_key(|summary| summary.tier)
            .map_or(Span::ZERO, |summary| summary.expected_wait)
    }

    /// Returns the load of this pool as the local one, for the spill-over of a ticket of this tier.
    pub fn local_load(&self, tier: Tier) -> LocalLoad {
        LocalLoad {
            backends_usable: self.backends_usable,
            expected_wait: self.expected_wait(tier),
        }
    }

    /// Returns this pool as a spill-over target for a ticket of this tier.
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
