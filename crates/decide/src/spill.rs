//! The choice of another data centre for a ticket that the own one cannot serve in time.
//!
//! The cost of a data centre is the way there and back plus the expected wait of the ticket's tier.
//! A ticket spills where the cost is lower than at home by a margin, and only once: one that came
//! from elsewhere stays. Spill-over starts when the own wait passes a threshold and ends at a
//! lower one, so that it does not switch with every small change of the queue. A target must have
//! more free slots than it keeps for its own traffic, less what was sent there since it reported;
//! only a data centre without any backend server sends to a full one. Among targets whose costs
//! are close, tickets are spread by their ids in proportion to the free slots, because all senders
//! see the same late figures and would otherwise choose the same one.

use oleander_base::prelude::*;

/// The bounds of a [`SpillPolicy`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillConfig {
    /// The own expected wait at which spill-over starts.
    pub start_wait: Span,
    /// The own expected wait at which spill-over ends.
    pub stop_wait: Span,
    /// By how much another data centre has to be cheaper.
    pub margin: Span,
    /// The share of its slots that a target keeps for its own traffic, 0 to 1.
    pub reserve: f64,
    /// How old the figures of a target may be.
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

/// The own pool, as far as spill-over needs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeLoad {
    /// Backend servers that take new work.
    pub backends_usable: u32,
    /// The expected wait of the ticket's tier.
    pub expected_wait: Span,
}

/// The same model's pool in another data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillOption {
    /// The data centre.
    pub centre: CentreId,
    /// The time of a message there, one way.
    pub distance: Span,
    /// The expected wait of the ticket's tier there.
    pub expected_wait: Span,
    /// Backend servers that take new work there.
    pub backends_usable: u32,
    /// Slots there that may be in use at once.
    pub slots_total: u32,
    /// Slots there that are free.
    pub slots_free: u32,
    /// Tickets sent there since the figures were taken.
    pub in_transit: u32,
    /// How old the figures are.
    pub age: Span,
}

/// The spill-over of one tier of one pool.
#[derive(Debug)]
pub struct SpillPolicy {
    config: SpillConfig,
    spilling: bool,
}

impl SpillPolicy {
    /// Opens a policy that does not spill yet.
    pub fn open(config: SpillConfig) -> Self {
        Self {
            config,
            spilling: false,
        }
    }

    /// Returns whether spill-over is on.
    pub fn is_spilling(&self) -> bool {
        self.spilling
    }

    /// Returns the data centre for a ticket, or none if it should stay.
    pub fn choose(
        &mut self,
        ticket: &Ticket,
        home: &HomeLoad,
        options: &[SpillOption],
    ) -> Option<CentreId> {
        self.update(home);
        if !self.spilling {
            return None;
        }
        spill_target(&self.config, ticket, home, options)
    }

    fn update(&mut self, home: &HomeLoad) {
        let threshold = if self.spilling {
            self.config.stop_wait
        } else {
            self.config.start_wait
        };
        self.spilling = home.backends_usable == 0 || home.expected_wait > threshold;
    }
}

/// Returns the data centre that a ticket should go to, or none if it should stay.
pub fn spill_target(
    config: &SpillConfig,
    ticket: &Ticket,
    home: &HomeLoad,
    options: &[SpillOption],
) -> Option<CentreId> {
    if ticket.spilled {
        return None;
    }
    let is_homeless = home.backends_usable == 0;
    let home_cost = if is_homeless {
        Span(u64::MAX)
    } else {
        home.expected_wait
    };
    let usable = || {
        options
            .iter()
            .filter(|option| option.backends_usable > 0 && option.age <= config.stale)
            .filter(|option| cost(option) + config.margin < home_cost)
            .filter(|option| option.centre != ticket.pool.centre)
    };
    let with_room = || usable().filter(|option| room(config, option) > 0);
    let cheapest = with_room().map(cost).min();
    if let Some(cheapest) = cheapest {
        let close = with_room().filter(|option| cost(option) <= cheapest + config.margin);
        return spread(config, ticket.request, close);
    }
    if !is_homeless {
        return None;
    }
    usable()
        .min_by_key(|option| cost(option))
        .map(|option| option.centre)
}

fn cost(option: &SpillOption) -> Span {
    option.distance + option.distance + option.expected_wait
}

/// Returns how many tickets a target can still take.
fn room(config: &SpillConfig, option: &SpillOption) -> u32 {
    let reserve = (f64::from(option.slots_total) * config.reserve).ceil() as u32;
    option
        .slots_free
        .saturating_sub(reserve)
        .saturating_sub(option.in_transit)
}

/// Chooses among the targets in proportion to their room, by weighted rendezvous hashing.
fn spread<'a>(
    config: &SpillConfig,
    request: RequestId,
    options: impl Iterator<Item = &'a SpillOption>,
) -> Option<CentreId> {
    let score = |option: &SpillOption| {
        let mut hash = crate::rendezvous::scramble(request.serial ^ request.origin.incarnation);
        hash = crate::rendezvous::scramble(hash ^ u64::from(option.centre.0));
        let uniform = crate::rendezvous::unit_interval(hash);
        -f64::from(room(config, option)) / uniform.ln()
    };
    options
        .max_by(|a, b| score(a).total_cmp(&score(b)))
        .map(|option| option.centre)
}
