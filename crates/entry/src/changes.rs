//! The latest changes of state, each with its reason.
//!
//! One call writes a change to the log and keeps it for the screens, so that operators read the
//! same sentence in both places.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Number of changes that are kept.
const CHANGE_LIMIT: usize = 200;

/// One change of state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// The time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The description of the change.
    pub what: String,
    /// The reason.
    pub reason: String,
}

/// A bounded list of changes, which also writes each to the log.
#[derive(Debug, Default)]
pub struct ChangeLog {
    entries: Mutex<VecDeque<ChangeEntry>>,
}

impl ChangeLog {
    /// Records a change and logs it.
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

    /// Returns up to `limit` changes, newest first.
    pub fn latest(&self, limit: usize) -> Vec<ChangeEntry> {
        self.entries.lock().iter().take(limit).cloned().collect()
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It is only displayed; no
/// decision depends on it.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
