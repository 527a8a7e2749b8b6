//! The inputs and the results of a play.

use oleander_base::prelude::*;

/// Trouble of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GatewayFault {
    /// It handles nothing for a while, and then what has come meanwhile.
    Pause(Span),
    /// It ends; the others notice after seconds.
    Kill,
    /// It is new: the others ask it as soon as they know of it.
    Join,
    /// It sends and gets no messages of other gateways for a while.
    Cut(Span),
}

/// The inputs of a play.
#[derive(Debug, Clone)]
pub(crate) struct FleetPlan {
    pub(crate) gateways: usize,
    pub(crate) backends: usize,
    pub(crate) slots: u32,
    pub(crate) threshold: u32,
    /// Requests in relation to what all slots can run.
    pub(crate) load: f64,
    pub(crate) work: Span,
    /// The mean time of a message between two gateways.
    pub(crate) delay: Span,
    /// The share of messages that are lost.
    pub(crate) loss: f64,
    pub(crate) length: Span,
    /// When requests begin to count.
    pub(crate) counts_from: Span,
    /// Faults at times; each strikes the first owner of a random backend server.
    pub(crate) faults: Vec<(Span, GatewayFault)>,
    pub(crate) seed: u64,
}

/// The results of a play.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FleetResult {
    pub(crate) arrived: usize,
    pub(crate) served: usize,
    pub(crate) rejected: usize,
    pub(crate) falls: usize,
    pub(crate) messages: usize,
    /// The requests that one chooser with perfect knowledge serves, of as many that arrive there.
    pub(crate) perfect: usize,
    pub(crate) perfect_arrived: usize,
}

impl FleetResult {
    /// Returns the share of its requests that is served, against the share that perfect knowledge serves.
    pub(crate) fn relative_share(&self) -> f64 {
        let share = self.served as f64 / self.arrived as f64;
        share / (self.perfect as f64 / self.perfect_arrived as f64)
    }
}
