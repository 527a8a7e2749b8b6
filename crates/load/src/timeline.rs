//! The timed faults of a scenario.

use oleander_base::prelude::*;
use oleander_standin::{EngineFault, ServiceFault};
use serde::{Deserialize, Serialize};

/// One fault and the time at which it happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// The time of the fault, in seconds from the start of the schedule.
    pub at_s: f64,
    /// The fault to inject.
    pub action: FaultAction,
}

/// A fault, or the end of one; the driver of the deployment injects it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "on")]
pub enum FaultAction {
    /// Sets a fault of one engine.
    Engine {
        /// The name of the engine.
        name: String,
        /// The fault to set.
        fault: EngineFault,
    },
    /// Sets a fault of one server of a plain service.
    Service {
        /// The name of the server.
        name: String,
        /// The fault to set.
        fault: ServiceFault,
    },
    /// Crashes an entry VM without notice.
    EntryCrash {
        /// The index of the entry VM.
        entry: u32,
    },
    /// Shuts an entry VM down gracefully.
    EntryStop {
        /// The index of the entry VM.
        entry: u32,
    },
    /// Disconnects a data centre from the other data centres and the platform.
    CentreCut {
        /// The name of the data centre.
        centre: String,
    },
    /// Reconnects a data centre.
    CentreHeal {
        /// The name of the data centre.
        centre: String,
    },
    /// Makes the platform's key-value store unavailable.
    StoreDown,
    /// Makes the platform's key-value store available again.
    StoreUp,
}

impl FaultEvent {
    /// Returns the time of the fault from the start of the schedule; a negative time counts as 0.
    pub fn at(&self) -> Span {
        Span((self.at_s.max(0.0) * 1_000_000.0) as u64)
    }
}
