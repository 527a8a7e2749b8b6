//! What the screens show, as plain data.
//!
//! Every figure that comes from another entry VM carries its age, so that the page can say how
//! old it is and mark what can no longer be seen.

use serde::{Deserialize, Serialize};

/// The state of the fleet as one entry VM can see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetScreen {
    /// When the state was put together, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The entry VM that shows it.
    pub shown_by: String,
    /// The newest record revision that is in force at this entry VM.
    pub revision: u64,
    /// The name of the policy of the pools.
    pub policy: String,
    /// Customers by name.
    pub customers: Vec<CustomerLine>,
    /// Request classes, the highest tier first.
    pub classes: Vec<ClassLine>,
    /// Pools.
    pub pools: Vec<PoolLine>,
    /// Backend servers by data centre and name.
    pub backends: Vec<BackendLine>,
    /// Entry VMs by data centre and name.
    pub entries: Vec<EntryLine>,
    /// Data centres.
    pub centres: Vec<CentreLine>,
    /// Planned stops.
    pub stops: Vec<StopLine>,
    /// Records that are not in force because they cannot be read.
    pub faults: Vec<FaultLine>,
    /// The last changes of state, the newest first.
    pub changes: Vec<ChangeLine>,
}

/// Counts of requests since the entry VMs began.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Requests accepted for dispatch.
    pub accepted: u64,
    /// Requests refused for the customer's own limit.
    pub over_limit: u64,
    /// Requests given up by a dispatcher.
    pub shed: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers on time.
    pub on_time: u64,
    /// Failed requests.
    pub failed: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// Goodput, weighted.
    pub goodput: f64,
    /// Tokens in whole answers.
    pub useful_tokens: u64,
    /// Tokens generated in vain.
    pub wasted_tokens: u64,
}

impl TrafficCount {
    /// Returns the share of ended requests that met their targets, or none if none ended.
    ///
    /// A request that was shed or failed counts as missed; one whose caller left does not count.
    pub fn attainment(&self) -> Option<f64> {
        let ended = self.whole + self.shed + self.failed;
        (ended > 0).then(|| self.on_time as f64 / ended as f64)
    }

    /// Returns the share of generated tokens that were wasted, or none if none were generated.
    pub fn waste(&self) -> Option<f64> {
        let generated = self.useful_tokens + self.wasted_tokens;
        (generated > 0).then(|| self.wasted_tokens as f64 / generated as f64)
    }

    /// Adds another count.
    pub fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.over_limit += other.over_limit;
        self.shed += other.shed;
        self.whole += other.whole;
        self.on_time += other.on_time;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.goodput += other.goodput;
        self.useful_tokens += other.useful_tokens;
        self.wasted_tokens += other.wasted_tokens;
    }
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerLine {
    /// The name.
    pub name: String,
    /// Its weight against the other customers.
    pub share: f64,
    /// What was counted.
    pub count: TrafficCount,
}

/// One request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassLine {
    /// The name.
    pub name: String,
    /// The tier.
    pub tier: u8,
    /// Target for the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Tickets that wait, in all pools that can be seen.
    pub queued: u32,
    /// Requests at backend servers.
    pub running: u32,
    /// What was counted.
    pub count: TrafficCount,
}

/// One pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolLine {
    /// The data centre and the model or service.
    pub name: String,
    /// The entry VM that holds its queue.
    pub dispatcher: String,
    /// Slots in use.
    pub slots_used: u32,
    /// Slots in all.
    pub slots_total: u32,
    /// Tickets that wait.
    pub queued: u32,
    /// Whether the pool is saturated.
    pub saturated: bool,
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
}

/// The stage of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendStage {
    /// On record, and nothing has been seen of it yet.
    Joining,
    /// Takes work.
    Serving,
    /// Gets no new work for failures.
    Ejected,
    /// Gets no new work and finishes what it has.
    Leaving,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendLine {
    /// The name.
    pub name: String,
    /// The data centre.
    pub centre: String,
    /// The stage.
    pub stage: BackendStage,
    /// Why it is in this stage.
    pub reason: String,
    /// Requests of the system there.
    pub running: u32,
    /// Requests that it may have at a time now.
    pub limit: u32,
    /// Its measured speed against the reference.
    pub speed: f64,
    /// How old the figures are, in milliseconds; none if no dispatcher was seen to report on it.
    pub age_ms: Option<u64>,
}

/// One entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryLine {
    /// The name, or the address as long as its status was not seen.
    pub name: String,
    /// The instance.
    pub instance: String,
    /// The data centre.
    pub centre: String,
    /// Its stage as the membership has it.
    pub stage: String,
    /// The newest record revision in force there.
    pub revision: u64,
    /// Tickets that wait there.
    pub pending: u64,
    /// Requests at backend servers.
    pub held: u64,
    /// How old the figures are, in milliseconds; none if its status was not seen.
    pub age_ms: Option<u64>,
}

/// One data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentreLine {
    /// The name.
    pub name: String,
    /// Whether any of its entry VMs can be seen.
    pub seen: bool,
    /// Since when not, in milliseconds.
    pub unseen_ms: u64,
    /// Live entry VMs.
    pub entries: u32,
}

/// One planned stop.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopLine {
    /// The name of the record.
    pub name: String,
    /// What stops.
    pub target: String,
    /// Why.
    pub reason: String,
    /// Requests that still run there.
    pub streams_left: u32,
}

/// A record that cannot be read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultLine {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

/// One change of state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeLine {
    /// When, in milliseconds since the Unix epoch by the clock of the VM that saw it.
    pub at_unix_ms: u64,
    /// The entry VM that saw it.
    pub seen_by: String,
    /// What changed.
    pub what: String,
    /// Why: the record, failure or decision behind it.
    pub reason: String,
}
