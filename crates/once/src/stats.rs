//! Counters of the claim log, for metrics and measurements.

use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that only rises.
#[derive(Debug, Default)]
pub(crate) struct RisingCounter(AtomicU64);

impl RisingCounter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters that the tasks of all shards share.
#[derive(Debug, Default)]
pub(crate) struct ClaimCounters {
    pub(crate) claims: RisingCounter,
    pub(crate) carried: RisingCounter,
    pub(crate) tail_writes: RisingCounter,
    pub(crate) archive_writes: RisingCounter,
    pub(crate) deletes: RisingCounter,
    pub(crate) written_bytes: RisingCounter,
    pub(crate) conflicts: RisingCounter,
    pub(crate) failures: RisingCounter,
}

/// A reading of the claim log's counters at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimStats {
    /// Claims that were asked for here.
    pub claims: u64,
    /// Claims that went to a peer.
    pub carried: u64,
    /// Writes of a tail, with those that failed.
    pub tail_writes: u64,
    /// Writes of an archive.
    pub archive_writes: u64,
    /// Deletions of an archive.
    pub deletes: u64,
    /// Bytes of all these writes.
    pub written_bytes: u64,
    /// Writes of a tail that another writer had moved on.
    pub conflicts: u64,
    /// Groups of claims that were refused because of the store.
    pub failures: u64,
}

impl ClaimCounters {
    pub(crate) fn read(&self) -> ClaimStats {
        ClaimStats {
            claims: self.claims.get(),
            carried: self.carried.get(),
            tail_writes: self.tail_writes.get(),
            archive_writes: self.archive_writes.get(),
            deletes: self.deletes.get(),
            written_bytes: self.written_bytes.get(),
            conflicts: self.conflicts.get(),
            failures: self.failures.get(),
        }
    }
}
