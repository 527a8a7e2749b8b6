//! The records in force, as plain data.
//!
//! These are the shapes that the rest of the system reads. The wire forms of each schema version
//! are read into them, and an older version's missing fields take the defaults stated here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oleander_base::prelude::*;
use oleander_base::{EngineRole, StopId};
use serde::{Deserialize, Serialize};

use crate::key_index::KeyIndex;

/// A customer: who may call, and how much of the fleet they may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerRecord {
    /// The name; the reference is its hash.
    pub name: String,
    /// Lower-case hexadecimal SHA-256 hashes of the API keys.
    pub key_hashes: Vec<String>,
    /// The weight of this customer inside a tier, against the other customers' weights.
    pub share: f64,
    /// Requests a second over the whole fleet; none is unlimited.
    pub rate_limit: Option<f64>,
    /// Requests at a time over the whole fleet; none is unlimited.
    pub concurrency_limit: Option<u32>,
    /// The class of a request that names none.
    pub default_class: String,
}

/// A request class: its tier and its service level.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The name; the reference is its hash.
    pub name: String,
    /// The tier if no priority record says otherwise.
    pub tier: Tier,
    /// Target for the first token, or for the whole answer of a plain service, in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub token_gap_target_ms: u64,
    /// How long a request may wait before it is given up, in milliseconds.
    pub patience_ms: u64,
    /// The weight of one completed request in goodput.
    pub goodput_weight: f64,
    /// The smallest share of a saturated pool's slots that this class gets, 0 to 1.
    pub minimum_share: f64,
}

/// A priority: the tier of one class for one customer, in place of the class's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PriorityRecord {
    /// The name of the record.
    pub name: String,
    /// The customer, or none for all customers.
    pub customer: Option<String>,
    /// The class.
    pub class: String,
    /// The tier that applies.
    pub tier: Tier,
}

/// What a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A route of a plain service and whether its calls may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The path below the service's prefix; a trailing `*` matches any rest.
    pub path: String,
    /// Whether a repeat has no further effect.
    pub idempotent: bool,
}

/// What an engine should have in memory; compared with its reports by the order sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedState {
    /// The model's public name.
    pub model: String,
    /// The version of the weights.
    pub version: String,
    /// Adapters by name.
    pub adapters: Vec<String>,
    /// The role.
    pub role: EngineRole,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The name; the reference is its hash.
    pub name: String,
    /// What it is.
    pub kind: BackendKind,
    /// The name of its data centre.
    pub centre: String,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Public model names of an engine, or the one service name of a plain service.
    pub serves: Vec<String>,
    /// The most requests that may be in flight there, of all entry VMs.
    pub slots: u32,
    /// Its speed against the others; 1 is the reference.
    pub speed: f64,
    /// Whether its engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// What it should have in memory, if the order sender is to see to it.
    pub wanted: Option<WantedState>,
    /// Routes of a plain service; a route that is not listed is not idempotent.
    pub routes: Vec<ServiceRoute>,
}

/// What a planned stop takes out of service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "name")]
pub enum StopTarget {
    /// One backend server, by name.
    Backend(String),
    /// One entry VM, by the address of its peers' socket.
    Entry(SocketAddr),
    /// Every backend server and entry VM of one data centre, by its name.
    Centre(String),
}

/// A planned stop: a graceful shutdown that an operator can take back by deleting the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRecord {
    /// The name of the record.
    pub name: String,
    /// What stops.
    pub target: StopTarget,
    /// Why, for the screens.
    pub reason: String,
}

/// Every record in force at one revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RecordSet {
    /// The newest revision that is part of this set.
    pub revision: Revision,
    /// Customers by reference.
    pub customers: BTreeMap<CustomerId, CustomerRecord>,
    /// Request classes by reference.
    pub classes: BTreeMap<ClassId, ClassRecord>,
    /// Priorities by name.
    pub priorities: BTreeMap<String, PriorityRecord>,
    /// Backend servers by reference.
    pub backends: BTreeMap<BackendId, BackendRecord>,
    /// Planned stops by reference.
    pub stops: BTreeMap<StopId, StopRecord>,
    /// Customers by API key; [`RecordSet::customer_by_key`] searches every customer without it.
    #[serde(skip)]
    pub key_index: KeyIndex,
}

impl RecordSet {
    /// Returns the tier of a customer's requests of one class.
    ///
    /// A priority for this customer goes before one for all customers, and that one before the
    /// class's own tier.
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
