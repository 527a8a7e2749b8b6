//! The data that the screens show, as plain types.
//!
//! Each line with values from another entry VM has their age, so that the page can show how old
//! they are and mark outdated ones.

use serde::{Deserialize, Serialize};

/// The state of the fleet as one entry VM sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetScreen {
    /// The time at which the state was collected, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The name of the entry VM that collected the state.
    pub shown_by: String,
    /// The revision up to which this entry VM has applied every change of the records.
    pub revision: u64,
    /// The name of the dispatch policy of the pools.
    pub policy: String,
    /// The customers, in the order of their identifiers.
    pub customers: Vec<CustomerLine>,
    /// The request classes, the highest tier first.
    pub classes: Vec<ClassLine>,
    /// The pools.
    pub pools: Vec<PoolLine>,
    /// The backend servers, sorted by data centre and name.
    pub backends: Vec<BackendLine>,
    /// The entry VMs, sorted by data centre and name.
    pub entries: Vec<EntryLine>,
    /// The data centres.
    pub centres: Vec<CentreLine>,
    /// The planned stops.
    pub stops: Vec<StopLine>,
    /// The records with problems: invalid documents, name collisions and missing references.
    pub faults: Vec<FaultLine>,
    /// The most recent state changes, the newest first.
    pub changes: Vec<ChangeLine>,
}

/// Counts of requests since the entry VMs started.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TrafficCount {
    /// Requests accepted for dispatch.
    pub accepted: u64,
    /// Requests refused because of the customer's own limit.
    pub over_limit: u64,
    /// Requests that a dispatcher shed.
    pub shed: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Requests with a complete answer that met its targets.
    pub on_time: u64,
    /// Failed requests.
    pub failed: u64,
    /// Requests cancelled because the caller disconnected.
    pub cancelled: u64,
    /// The weighted goodput.
    pub goodput: f64,
    /// Tokens in complete answers.
    pub useful_tokens: u64,
    /// Generated tokens that were wasted.
    pub wasted_tokens: u64,
}

impl TrafficCount {
    /// Returns the share of ended requests that met their targets, or none if none ended.
    ///
    /// A shed or failed request counts as missed; a cancelled one is not counted.
    pub fn attainment(&self) -> Option<f64> {
        let ended = self.whole + self.shed + self.failed;
        (ended > 0).then(|| self.on_time as f64 / ended as f64)
    }

    /// Returns the share of generated tokens that were wasted, or none if none were generated.
    pub fn waste(&self) -> Option<f64> {
        let generated = self.useful_tokens + self.wasted_tokens;
        (generated > 0).then(|| self.wasted_tokens as f64 / generated as f64)
    }

    /// Adds the values of another count.
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

/// The screen line of a customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerLine {
    /// The name of the customer.
    pub name: String,
    /// The weight relative to the other customers.
    pub share: f64,
    /// The counts of its requests.
    pub count: TrafficCount,
}

/// The screen line of a request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassLine {
    /// The name of the class.
    pub name: String,
    /// The tier of the class.
    pub tier: u8,
    /// The target for the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Queued tickets in all visible pools.
    pub queued: u32,
    /// Requests that are running on backend servers.
    pub running: u32,
    /// The counts of its requests.
    pub count: TrafficCount,
}

/// The screen line of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolLine {
    /// The data centre and the model or service of the pool.
    pub name: String,
    /// The entry VM that runs the pool's dispatcher and holds its queue.
    pub dispatcher: String,
    /// Slots in use.
    pub slots_used: u32,
    /// The total number of slots.
    pub slots_total: u32,
    /// Queued tickets.
    pub queued: u32,
    /// Whether the pool is saturated.
    pub saturated: bool,
    /// The age of the values, in milliseconds.
    pub age_ms: u64,
}

/// The stage of a backend server in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendStage {
    /// The server has a record, but no dispatcher has reported on it yet.
    Joining,
    /// The server gets new work.
    Serving,
    /// The server has failed and gets only a few requests, which test whether it has recovered.
    Ejected,
    /// The server gets no new work and completes its current work.
    Leaving,
}

/// The screen line of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendLine {
    /// The name of the backend server.
    pub name: String,
    /// The data centre.
    pub centre: String,
    /// The current stage.
    pub stage: BackendStage,
    /// The reason for the stage.
    pub reason: String,
    /// Requests of the system that are running there.
    pub running: u32,
    /// The current limit of concurrent requests, or the recorded slots until a report has been
    /// seen.
    pub limit: u32,
    /// The measured speed relative to the reference speed, or the recorded one until a report has
    /// been seen.
    pub speed: f64,
    /// The age of the values, in milliseconds; none if no report of a dispatcher has been seen.
    pub age_ms: Option<u64>,
}

/// The screen line of an entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryLine {
    /// The name, or the address until a status has been seen.
    pub name: String,
    /// The identifier of the instance.
    pub instance: String,
    /// The data centre.
    pub centre: String,
    /// The stage according to the membership.
    pub stage: String,
    /// The revision up to which it has applied every change of the records.
    pub revision: u64,
    /// Tickets that are pending there.
    pub pending: u64,
    /// Requests that are running on backend servers.
    pub held: u64,
    /// The age of the values, in milliseconds; none if no status has been seen.
    pub age_ms: Option<u64>,
}

/// The screen line of a data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentreLine {
    /// The name of the data centre.
    pub name: String,
    /// Whether any of its entry VMs is visible.
    pub seen: bool,
    /// The time since the data centre was last visible, in milliseconds; 0 if it is visible.
    pub unseen_ms: u64,
    /// The number of live entry VMs.
    pub entries: u32,
}

/// The screen line of a planned stop.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StopLine {
    /// The name of the record.
    pub name: String,
    /// The target of the stop.
    pub target: String,
    /// The reason for the stop.
    pub reason: String,
    /// Requests that are still running there.
    pub streams_left: u32,
}

/// The screen line of a record with a problem.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FaultLine {
    /// The key of the record.
    pub key: String,
    /// The description of the problem.
    pub message: String,
}

/// The screen line of a state change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeLine {
    /// The time of the change, in milliseconds since the Unix epoch, by the clock of the entry VM
    /// that observed it.
    pub at_unix_ms: u64,
    /// The entry VM that observed the change.
    pub seen_by: String,
    /// The description of the change.
    pub what: String,
    /// The record, failure or decision that caused the change.
    pub reason: String,
}
