//! The records in force, as plain data types.
//!
//! The rest of the system reads records through these types. Documents of every schema version are
//! parsed into them, and fields that an older version lacks take the defaults of the newest known
//! schema version.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use oleander_base::{EngineRole, StopId};
use serde::{Deserialize, Serialize};

use crate::key_index::KeyIndex;

/// A customer, with its API keys, limits and share of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerRecord {
    /// The name of the record; its hash is the identifier.
    pub name: String,
    /// The SHA-256 hashes of the API keys, in lower-case hexadecimal.
    pub key_hashes: Vec<String>,
    /// The customer's weight within a tier, relative to the weights of other customers.
    pub share: f64,
    /// The maximum rate over the whole fleet, in requests per second; none means unlimited.
    pub rate_limit: Option<f64>,
    /// The maximum number of concurrent requests over the whole fleet; none means unlimited.
    pub concurrency_limit: Option<u32>,
    /// The class of a request that does not specify one.
    pub default_class: String,
}

/// A request class, with its tier and its service-level targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The name of the record; its hash is the identifier.
    pub name: String,
    /// The tier, unless a priority record overrides it.
    pub tier: Tier,
    /// The latency target in milliseconds: for the first token, or for the complete answer of a
    /// plain service.
    pub first_token_target_ms: u64,
    /// The target for the time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// The queue timeout of a request, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one completed request in the goodput.
    pub goodput_weight: f64,
    /// The minimum share of a saturated pool's slots that this class gets, from 0 to 1.
    pub minimum_share: f64,
}

/// A priority, which overrides the tier of one class for one customer or for all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PriorityRecord {
    /// The name of the record.
    pub name: String,
    /// The name of the customer, or none for all customers.
    pub customer: Option<String>,
    /// The name of the class.
    pub class: String,
    /// The tier that replaces the tier of the class.
    pub tier: Tier,
}

/// The kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// An engine that runs a model.
    Engine,
    /// A plain service.
    Service,
}

/// A route of a plain service, with whether its calls may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path below the prefix of the service; a trailing `*` matches any remainder.
    pub path: String,
    /// Whether a repeated call has no further effect.
    pub idempotent: bool,
}

/// The wanted memory state of an engine, which the order sender compares with its reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedState {
    /// The public name of the model.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// The names of the adapters.
    pub adapters: Vec<String>,
    /// The role of the engine.
    pub role: EngineRole,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The name of the record; its hash is the identifier.
    pub name: String,
    /// The kind of the backend server.
    pub kind: BackendKind,
    /// The name of its data centre.
    pub centre: String,
    /// The HTTP address.
    pub address: SocketAddr,
    /// The public model names of an engine, or the single service name of a plain service.
    pub serves: Vec<String>,
    /// The maximum number of requests in flight there, over all entry VMs.
    pub slots: u32,
    /// The speed relative to the reference speed, which is 1.
    pub speed: f64,
    /// Whether the engine refuses an order with an outdated fencing number.
    pub checks_fencing: bool,
    /// The wanted memory state, if the order sender manages this engine.
    pub wanted: Option<WantedState>,
    /// The routes of a plain service; a route that is not listed is not idempotent.
    pub routes: Vec<ServiceRoute>,
}

/// The target that a planned stop takes out of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "name")]
pub enum StopTarget {
    /// One backend server, by name.
    Backend(String),
    /// One entry VM, by the address of its peer socket.
    Entry(SocketAddr),
    /// Every backend server and entry VM of one data centre, by its name.
    Centre(String),
}

/// A planned stop, which is a graceful shutdown that an operator can cancel by deleting the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRecord {
    /// The name of the record.
    pub name: String,
    /// The target of the stop.
    pub target: StopTarget,
    /// The reason, which is shown on the screens.
    pub reason: String,
}

/// All records in force at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RecordSet {
    /// The revision up to which the set contained every change when it was built.
    pub revision: Revision,
    /// Customers by identifier.
    pub customers: BTreeMap<CustomerId, CustomerRecord>,
    /// Request classes by identifier.
    pub classes: BTreeMap<ClassId, ClassRecord>,
    /// Priorities by name.
    pub priorities: BTreeMap<String, PriorityRecord>,
    /// Backend servers by identifier.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// Planned stops by identifier.
    pub stops: BTreeMap<StopId, StopRecord>,
    /// Customers by API key; without it, [`RecordSet::customer_by_key`] searches all customers.
    #[serde(skip)]
    pub key_index: KeyIndex,
}

impl RecordSet {
    /// Returns the tier of a customer's requests of one class.
    ///
    /// A priority for this customer overrides one for all customers, which overrides the tier of
    /// the class.
    pub fn tier(&self, customer: CustomerId, class: &ClassRecord) -> Tier {
        let mut tier = class.tier;
        for priority in self.priorities.values().filter(|p| p.class == class.name) {
            match &priority.customer {
                Some(name) if CustomerId::from_name(name) == customer => return priority.tier,
                Some(_) => {}
                None => tier = priority.tier,
            }
        }
        tier
    }
}
