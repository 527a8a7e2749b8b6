//! Orders to engines: what they should have in memory.

use oleander_base::EngineRole;
use serde::{Deserialize, Serialize};

/// An order in the form of the wanted end state, so that sending it again is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender's lease.
    pub fencing: u64,
    /// Public names of the models.
    pub models: Vec<String>,
    /// The version of the weights.
    pub version: String,
    /// Adapters by name.
    pub adapters: Vec<String>,
    /// The role.
    pub role: EngineRole,
}

/// What an engine did with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out; its reports tell when that is done.
    Accepted,
    /// It has seen an order with a newer fencing number.
    StaleFencing {
        /// The newest number that it has seen.
        newest: u64,
    },
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct OrderRefusal {
    pub(crate) error: OrderRefusalReason,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct OrderRefusalReason {
    #[serde(default)]
    pub(crate) newest: u64,
}
