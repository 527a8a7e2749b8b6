//! Orders that state which models and adapters an engine should have in memory.

use oleander_base::EngineRole;
use serde::{Deserialize, Serialize};

/// The desired state of an engine. Sending the same order again has no further effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number of the sender's lease.
    pub fencing: u64,
    /// The public names of the models.
    pub models: Vec<String>,
    /// The version of the models' weights.
    pub version: String,
    /// The names of the adapters.
    pub adapters: Vec<String>,
    /// The phases of a request that the engine serves.
    pub role: EngineRole,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries the order out; its load reports show when that is done.
    Accepted,
    /// The engine has seen an order with a newer fencing number and refuses this one.
    StaleFencing {
        /// The newest fencing number that the engine has seen.
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
