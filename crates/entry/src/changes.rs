//! The last changes of state, each with its reason.
//!
//! A change is written to the log and kept for the screens by the same call, so that operators
//! read the same sentence in both places.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Changes that are kept.
const CHANGE_LIMIT: usize = 200;

/// One change of state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// What changed.
    pub what: String,
    /// Why.
    pub reason: String,
}

/// A bounded list of changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    entries: Mutex<VecDeque<ChangeEntry>>,
}

impl ChangeLog {
    /// Notes a change and logs it.
    pub fn record(&self, what: impl Into<String>, reason: impl Into<String>) {
        let entry = ChangeEntry {
            at_unix_ms: unix_ms(),
            what: what.into(),
            reason: reason.into(),
        };
        log::info!("{}: {}", entry.what, entry.reason);
        let mut entries = self.entries.lock();
        if entries.len() == CHANGE_LIMIT {
            entries.pop_back();
        }
        entries.push_front(entry);
    }

    /// Returns up to `limit` changes, the newest first.
    pub fn latest(&self, limit: usize) -> Vec<ChangeEntry> {
        self.entries.lock().iter().take(limit).cloned().collect()
    }
}

/// Returns the wall clock's time, for people; nothing is decided by it.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
