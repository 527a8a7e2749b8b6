//! Counters of one entry VM, by customer and class.
//!
//! Counting comes before logging: everything that screens, metrics and reports show is counted
//! here, and a log line is written only for a change of state.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_base::prelude::*;
use oleander_operator::TrafficCount;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// A customer's use of one request class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrafficKey {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
    pub class: ClassId,
}

/// One line of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TrafficLine {
    /// Whose requests.
    pub key: TrafficKey,
    /// What was counted.
    pub count: TrafficCount,
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
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Shards of the counters, each under its own lock.
const SHARD_COUNT: usize = 16;

/// The counters of one entry VM.
#[derive(Debug)]
pub struct EntryCounters {
    /// Counts of the process as a whole.
    pub process: ProcessCounters,
    shards: [Mutex<FastMap<TrafficKey, TrafficCount>>; SHARD_COUNT],
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
    pub fn count(&self, key: TrafficKey, change: impl FnOnce(&mut TrafficCount)) {
        let shard = &self.shards[key.customer.0 as usize % SHARD_COUNT];
        change(shard.lock().entry(key).or_default());
    }

    /// Returns all counts in the order of their keys.
    pub fn lines(&self) -> Vec<TrafficLine> {
        let mut lines = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            lines.extend(shard.iter().map(|(key, count)| TrafficLine {
                key: *key,
                count: *count,
            }));
        }
        lines.sort_unstable_by_key(|line| line.key);
        lines
    }
}
