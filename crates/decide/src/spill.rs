//! The choice of another data centre for a ticket that the local one cannot serve in time.
//!
//! The cost of a data centre is the round trip plus the expected wait of the ticket's tier there. A
//! ticket spills to a data centre whose cost is lower than the local expected wait by a margin, and
//! only once: a ticket that came from another data centre stays. Spill-over starts when the local
//! wait exceeds a threshold and ends at a lower one, so that small changes of the queue do not
//! toggle it. A target must have more free slots than it reserves for its own traffic, after
//! subtracting the tickets sent there since it reported; only a data centre without any backend
//! server sends to a full one. Among targets of similar cost, tickets are spread by their ids in
//! proportion to the free slots, because all senders see the same delayed statistics and would
//! otherwise all choose the same target.

use oleander_base::prelude::*;

/// The thresholds and margins of a [`SpillPolicy`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillConfig {
    /// The local expected wait above which spill-over starts.
    pub start_wait: Span,
    /// The local expected wait at or below which spill-over ends.
    pub stop_wait: Span,
    /// How much cheaper another data centre must be.
    pub margin: Span,
    /// The fraction of its slots that a target reserves for its own traffic, 0 to 1.
    pub reserve: f64,
    /// The greatest age of a target's statistics that is accepted.
    pub stale: Span,
}

impl Default for SpillConfig {
    fn default() -> Self {
        Self {
            start_wait: Span::from_millis(250),
            stop_wait: Span::from_millis(100),
            margin: Span::from_millis(50),
            reserve: 0.1,
            stale: Span::from_secs(5),
        }
    }
}

/// The load of the local pool, as needed for spill-over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalLoad {
    /// Backend servers that may take new work.
    pub backends_usable: u32,
    /// The expected wait of the ticket's tier.
    pub expected_wait: Span,
}

/// The pool of the same model in another data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillOption {
    /// The data centre.
    pub centre: CentreId,
    /// The one-way latency to it.
    pub distance: Span,
    /// The expected wait of the ticket's tier there.
    pub expected_wait: Span,
    /// Backend servers there that may take new work.
    pub backends_usable: u32,
    /// The number of slots there that may be in use at the same time.
    pub slots_total: u32,
    /// The number of free slots there.
    pub slots_free: u32,
    /// Tickets sent there since the statistics were taken.
    pub in_transit: u32,
    /// The age of the statistics.
    pub age: Span,
}

/// The spill-over state of one tier of one pool.
#[derive(Debug)]
pub struct SpillPolicy {
    config: SpillConfig,
    spilling: bool,
}

impl SpillPolicy {
    /// Creates a policy that does not spill yet.
    pub fn open(config: SpillConfig) -> Self {
        Self {
            config,
            spilling: false,
        }
    }

    /// Returns whether spill-over is active.
    pub fn is_spilling(&self) -> bool {
        self.spilling
    }

    /// Returns the data centre for a ticket, or none if the ticket should stay.
    pub fn choose(
        &mut self,
        ticket: &Ticket,
        local: &LocalLoad,
        options: &[SpillOption],
    ) -> Option<CentreId> {
        self.update(local);
        if !self.spilling {
            return None;
        }
        spill_target(&self.config, ticket, local, options)
    }

    fn update(&mut self, local: &LocalLoad) {
        let threshold = if self.spilling {
            self.config.stop_wait
        } else {
            self.config.start_wait
        };
        self.spilling = local.backends_usable == 0 || local.expected_wait > threshold;
    }
}

/// Returns the data centre that a ticket should be sent to, or none if it should stay.
pub fn spill_target(
    config: &SpillConfig,
    ticket: &Ticket,
    local: &LocalLoad,
    options: &[SpillOption],
) -> Option<CentreId> {
    if ticket.spilled {
        return None;
    }
    let has_no_backend = local.backends_usable == 0;
    let local_cost = if has_no_backend {
        Span(u64::MAX)
    } else {
        local.expected_wait
    };
    let usable = || {
        options
            .iter()
            .filter(|option| option.backends_usable > 0 && option.age <= config.stale)
            .filter(|option| spill_cost(option) + config.margin < local_cost)
            .filter(|option| option.centre != ticket.pool.centre)
    };
    let with_spare_slots = || usable().filter(|option| spare_slots(config, option) > 0);
    let cheapest = with_spare_slots().map(spill_cost).min();
    if let Some(cheapest) = cheapest {
        let close =
            with_spare_slots().filter(|option| spill_cost(option) <= cheapest + config.margin);
        return choose_weighted(config, ticket.request, close);
    }
    if !has_no_backend {
        return None;
    }
    usable()
        .min_by_key(|option| spill_cost(option))
        .map(|option| option.centre)
}

fn spill_cost(option: &SpillOption) -> Span {
    option.distance + option.distance + option.expected_wait
}

/// Returns the number of further tickets that a target can take.
fn spare_slots(config: &SpillConfig, option: &SpillOption) -> u32 {
    let reserve = (f64::from(option.slots_total) * config.reserve).ceil() as u32;
    option
        .slots_free
        .saturating_sub(reserve)
        .saturating_sub(option.in_transit)
}

/// Chooses among targets in proportion to their spare slots, by weighted rendezvous hashing.
fn choose_weighted<'a>(
    config: &SpillConfig,
    request: RequestId,
    options: impl Iterator<Item = &'a SpillOption>,
) -> Option<CentreId> {
    let score = |option: &SpillOption| {
        let mut hash = crate::rendezvous::splitmix64(request.serial ^ request.origin.incarnation);
        hash = crate::rendezvous::splitmix64(hash ^ u64::from(option.centre.0));
        let uniform = crate::rendezvous::unit_interval(hash);
        -f64::from(spare_slots(config, option)) / uniform.ln()
    };
    options
        .max_by(|a, b| score(a).total_cmp(&score(b)))
        .map(|option| option.centre)
}
