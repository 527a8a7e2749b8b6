//! The dispatcher's input to a policy about records, backend servers and entry VMs.

use oleander_base::prelude::*;

pub use oleander_base::{HeldGrant, ProgressNotice};

/// A backend server of the pool, from its record and its known state.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendView {
    /// The backend server.
    pub backend: BackendId,
    /// The most concurrent requests there, from all entry VMs together.
    pub slots: u32,
    /// Its speed relative to the reference speed of 1.
    pub speed: f64,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// Whether the entry VMs of this data centre can reach it.
    pub reachable: bool,
}

/// The parameters of a request class that a policy needs.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassView {
    /// The class.
    pub class: ClassId,
    /// The target for the first token, or for the whole answer of a plain service.
    pub first_token_target: Span,
    /// The target for the time between tokens.
    pub token_gap_target: Span,
    /// The minimum share of a saturated pool's grants that the class gets, 0 to 1.
    pub minimum_share: f64,
}

/// The weight of a customer within a tier.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerView {
    /// The customer.
    pub customer: CustomerId,
    /// The weight relative to those of other customers.
    pub weight: f64,
}
