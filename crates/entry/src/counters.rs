//! Counters of one entry VM, by customer and class.
//!
//! Screens, metrics and reports show only what is counted here; a log line is written only for a
//! change of state.

use std::sync::atomic::{AtomicU64, Ordering};

use oleander_base::prelude::*;
use oleander_operator::TrafficCount;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// A customer and one of the request classes that it uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TrafficKey {
    /// The customer.
    pub customer: CustomerId,
    /// The request class.
    pub class: ClassId,
}

/// The counts of one customer and class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TrafficLine {
    /// The customer and class.
    pub key: TrafficKey,
    /// The counts.
    pub count: TrafficCount,
}

/// Counters of the process as a whole.
#[derive(Debug, Default)]
pub struct ProcessCounters {
    /// Grants that no request waited for any more.
    pub unwanted_grants: AtomicU64,
    /// Retries: further attempts of idempotent requests, or after attempts that did not run.
    pub retries: AtomicU64,
    /// Answers that were resumed at another engine.
    pub resumes: AtomicU64,
    /// Tickets that spilled over to another data centre.
    pub spilled: AtomicU64,
    /// Tickets that were offered again to a new dispatcher.
    pub repointed: AtomicU64,
    /// Completion requests that were malformed or had an unknown key or class.
    pub bad_requests: AtomicU64,
    /// Calls and reconnects that were forwarded to the instance that decides or holds them.
    pub forwarded: AtomicU64,
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Number of shards of the counters, each under its own lock.
const SHARD_COUNT: usize = 16;

/// The counters of one entry VM.
#[derive(Debug)]
pub struct EntryCounters {
    /// Counters of the process as a whole.
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
    /// Updates the counts of a customer and class.
    pub fn count(&self, key: TrafficKey, change: impl FnOnce(&mut TrafficCount)) {
        let shard = &self.shards[key.customer.0 as usize % SHARD_COUNT];
        change(shard.lock().entry(key).or_default());
    }

    /// Returns all counts, ordered by key.
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
