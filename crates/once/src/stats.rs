//! The counters of the guard and of the claim log, for metrics and measurements.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::guard::Admission;

/// Counts events; the count never decreases.
#[derive(Debug, Default)]
pub(crate) struct MonotonicCounter(AtomicU64);

impl MonotonicCounter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Holds the claim log's counters, shared by the claim handle and the tasks of all shards.
#[derive(Debug, Default)]
pub(crate) struct ClaimCounters {
    pub(crate) claims: MonotonicCounter,
    pub(crate) forwarded: MonotonicCounter,
    pub(crate) tail_writes: MonotonicCounter,
    pub(crate) archive_writes: MonotonicCounter,
    pub(crate) deletes: MonotonicCounter,
    pub(crate) written_bytes: MonotonicCounter,
    pub(crate) conflicts: MonotonicCounter,
    pub(crate) failures: MonotonicCounter,
}

/// Holds a snapshot of the claim log's counters at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStats {
    /// Claims that this instance sent to the log.
    pub claims: u64,
    /// Claims that were forwarded to a peer.
    pub forwarded: u64,
    /// Writes of a tail, including failed ones.
    pub tail_writes: u64,
    /// Writes of an archive, including failed ones.
    pub archive_writes: u64,
    /// Deletions of an archive, including failed ones.
    pub deletes: u64,
    /// Bytes of all tail and archive writes.
    pub written_bytes: u64,
    /// Writes of a tail or an archive that met a conflict.
    pub conflicts: u64,
    /// Groups of claims that could not be committed.
    pub failures: u64,
}

impl ClaimCounters {
    pub(crate) fn read(&self) -> ClaimStats {
        ClaimStats {
            claims: self.claims.get(),
            forwarded: self.forwarded.get(),
            tail_writes: self.tail_writes.get(),
            archive_writes: self.archive_writes.get(),
            deletes: self.deletes.get(),
            written_bytes: self.written_bytes.get(),
            conflicts: self.conflicts.get(),
            failures: self.failures.get(),
        }
    }
}

/// Holds the counters of a guard.
#[derive(Debug, Default)]
pub(crate) struct GuardCounters {
    pub(crate) issued: MonotonicCounter,
    run: MonotonicCounter,
    forwarded: MonotonicCounter,
    answered: MonotonicCounter,
    refused: MonotonicCounter,
}

/// Holds a snapshot of a guard's counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct GuardStats {
    /// Tokens that were issued.
    pub issued: u64,
    /// Requests that were permitted to run.
    pub run: u64,
    /// Requests that were forwarded to the instance that decides.
    pub forwarded: u64,
    /// Repeats that were answered with a kept answer.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// The claim log's counters.
    pub claims: ClaimStats,
}

impl GuardCounters {
    pub(crate) fn count(&self, admission: &Admission) {
        let counter = match admission {
            Admission::Run(_) => &self.run,
            Admission::Forward(_) => &self.forwarded,
            Admission::Answer(_) => &self.answered,
            Admission::Refuse(_) => &self.refused,
        };
        counter.add(1);
    }

    pub(crate) fn read(&self, claims: ClaimStats) -> GuardStats {
        GuardStats {
            issued: self.issued.get(),
            run: self.run.get(),
            forwarded: self.forwarded.get(),
            answered: self.answered.get(),
            refused: self.refused.get(),
            claims,
        }
    }
}
