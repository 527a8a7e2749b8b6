//! Counters of one entry VM, by customer and class.
//!
//! Counting comes before logging: everything that screens, metrics and reports show is counted
//! here, and a log line is written only for a change of state.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_base::prelude::*;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What is counted for one customer and class.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceCount {
    /// Requests that were accepted for dispatch.
    pub accepted: u64,
    /// Requests refused because the customer is over its own limit.
    pub over_limit: u64,
    /// Requests that a dispatcher gave up.
    pub shed: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Whole answers that met the class's targets.
    pub on_time: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose caller left.
    pub cancelled: u64,
    /// Goodput: completed requests by their class's weight.
    pub goodput: f64,
    /// Tokens in whole answers.
    pub useful_tokens: u64,
    /// Tokens that were generated for an answer that nobody got whole.
    pub wasted_tokens: u64,
}

impl ServiceCount {
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

/// A customer's use of one request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceKey {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: ClassId,
}

/// One line of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLine {
    /// Whose requests.
    pub key: ServiceKey,
    /// What was counted.
    pub count: ServiceCount,
}

/// Counts of the process as a whole.
#[derive(Debug, Default)]
pub struct ProcessCounters {
    /// Grants that nobody waited for any more.
    pub unwanted_grants: AtomicU64,
    /// Attempts that were sent again after they were known not to have run.
    pub retries: AtomicU64,
    /// Answers that went on at another engine.
    pub resumes: AtomicU64,
    /// Tickets that were sent to another data centre.
    pub spilled: AtomicU64,
    /// Tickets that were offered again to another dispatcher.
    pub repointed: AtomicU64,
    /// Requests with a malformed call or an unknown key.
    pub bad_requests: AtomicU64,
    /// Requests that were forwarded to the instance that holds them.
    pub forwarded: AtomicU64,
}

/// Adds one to a counter.
pub(crate) fn bump(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Shards of the counters, each under its own lock.
const SHARD_COUNT: usize = 16;

/// The counters of one entry VM.
#[derive(Debug)]
pub struct EntryCounters {
    /// Counts of the process as a whole.
    pub process: ProcessCounters,
    shards: [Mutex<FastMap<ServiceKey, ServiceCount>>; SHARD_COUNT],
}

impl Default for EntryCounters {
    fn default() -> Self {
        Self {
            process: ProcessCounters::default(),
            shards: std::array::from_fn(|_| Mutex::new(FastMap::default())),
        }
    }
}

impl EntryCounters {
    /// Changes the count of a customer and class.
    pub fn count(&self, key: ServiceKey, change: impl FnOnce(&mut ServiceCount)) {
        let shard = &self.shards[key.customer.0 as usize % SHARD_COUNT];
        change(shard.lock().entry(key).or_default());
    }

    /// Returns all counts in the order of their keys.
    pub fn lines(&self) -> Vec<ServiceLine> {
        let mut lines = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            lines.extend(shard.iter().map(|(key, count)| ServiceLine {
                key: *key,
                count: *count,
            }));
        }
        lines.sort_unstable_by_key(|line| line.key);
        lines
    }
}
