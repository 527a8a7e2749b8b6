//! What the dispatcher tells a policy about records, backend servers and entry VMs.

use oleander_base::prelude::*;

pub use oleander_base::{HeldGrant, ProgressNotice};

/// A backend server of the pool, from the records and from what is known of its state.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendView {
    /// The backend server.
    pub backend: BackendId,
    /// The most requests that may be in flight there, of all entry VMs.
    pub slots: u32,
    /// Its speed against the others; 1 is the reference.
    pub speed: f64,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// Whether the entry VMs of this data centre can reach it.
    pub reachable: bool,
}

/// A request class, as far as the policy needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassView {
    /// The class.
    pub class: ClassId,
    /// Target for the first token, or for the answer of a plain service.
    pub first_token_target: Span,
    /// Target for the time between tokens.
    pub token_gap_target: Span,
    /// The smallest share of a saturated pool's grants that the class gets, 0 to 1.
    pub minimum_share: f64,
}

/// A customer's weight inside a tier.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerView {
    /// The customer.
    pub customer: CustomerId,
    /// The weight against the other customers' weights.
    pub weight: f64,
}
