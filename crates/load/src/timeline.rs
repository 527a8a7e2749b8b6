//! What fails in a scenario, and when.

use oleander_base::prelude::*;
use oleander_standin::{EngineFault, ServiceFault};
use serde::{Deserialize, Serialize};

/// One fault and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    /// When it happens, in seconds from the start.
    pub at_s: f64,
    /// What happens.
    pub action: FaultAction,
}

/// What happens; the driver of the deployment carries it out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "on")]
pub enum FaultAction {
    /// A fault of one engine, by name.
    Engine {
        /// The engine.
        name: String,
        /// The fault.
        fault: EngineFault,
    },
    /// A fault of one plain service's server, by name.
    Service {
        /// The server.
        name: String,
        /// The fault.
        fault: ServiceFault,
    },
    /// An entry VM dies without notice.
    EntryCrash {
        /// Its number.
        entry: u32,
    },
    /// An entry VM is stopped in an orderly way.
    EntryStop {
        /// Its number.
        entry: u32,
    },
    /// A data centre loses the others and the platform.
    CentreCut {
        /// Its name.
        centre: String,
    },
    /// A data centre is back.
    CentreHeal {
        /// Its name.
        centre: String,
    },
    /// The platform's store goes away.
    StoreDown,
    /// The platform's store is back.
    StoreUp,
}

impl FaultEvent {
    /// Returns its time from the start.
    pub fn at(&self) -> Span {
        Span((self.at_s.max(0.0) * 1_000_000.0) as u64)
    }
}
