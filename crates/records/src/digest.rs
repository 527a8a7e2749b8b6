//! Synchronisation of replicas between peers, by digests and deltas.
//!
//! A digest is a few bytes in a heartbeat. A process that sees a higher revision in a peer's
//! digest requests the delta since its own revision. A delta is ordered by revision and may be cut
//! between two revisions; `until` is the revision up to which it is complete. If the peer has
//! dropped tombstones that the requester may need, the delta is a full copy, and records that it
//! does not contain were deleted.

use std::cmp::Ordering;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::key::RecordKey;
use crate::replica::RecordReplica;
use crate::replica_entry::{ApplyOutcome, RecordDelivery, ReplicaEntry};

/// The size in bytes that an entry counts for in a delta, in addition to its name and texts.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// A summary of a replica's state in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordDigest {
    /// The revision up to which the replica has applied every change.
    pub revision: Revision,
    /// A hash of the keys and revisions of all records, without tombstones.
    pub hash: u64,
    /// A hash that also covers the revisions in force, which are older than the newest ones after
    /// an invalid document.
    pub in_force: u64,
    /// The signature of the schema catalog.
    pub catalog: u32,
}

impl RecordDigest {
    /// Returns whether both replicas hold the same records.
    ///
    /// The revisions in force are compared only between programs that know the same schemas. An
    /// older program cannot parse some documents of a newer one, so they could never become equal.
    fn has_same_records(&self, other: &Self) -> bool {
        let is_same_in_force = self.in_force == other.in_force || self.catalog != other.catalog;
        self.hash == other.hash && is_same_in_force
    }
}

/// The result of comparing a peer's replica with the local one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOrder {
    /// Both replicas are the same.
    Same,
    /// The peer is at a higher revision; request the delta since the local revision.
    PeerAhead,
    /// The local replica is at a higher revision.
    PeerBehind,
    /// The revisions are equal but the records differ; each side requests a full copy.
    Diverged,
}

/// One record of a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// The key of the record.
    pub key: RecordKey,
    /// The revision of its newest change.
    pub revision: Revision,
    /// The text of the document, or none if the record was deleted.
    pub text: Option<Vec<u8>>,
    /// The document in force if the text is invalid.
    pub last_valid: Option<ValidEntry>,
    /// The revision of the newest deletion; no older document may be in force in place of an
    /// invalid text.
    pub deleted_at: Revision,
}

/// The document in force in place of an invalid one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidEntry {
    /// The revision of the document.
    pub revision: Revision,
    /// The text of the document.
    pub text: Vec<u8>,
}

/// The changes of a replica between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// The revision after which the changes start.
    pub since: Revision,
    /// The revision up to which the changes are complete.
    pub until: Revision,
    /// Whether this is a full copy of the replica at `until`.
    pub is_full_copy: bool,
    /// The records, in the order of their revisions.
    pub entries: Vec<DeltaEntry>,
}

/// The effect of merging a delta.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MergeOutcome {
    /// The number of records that changed.
    pub changed: usize,
    /// The number of invalid documents.
    pub faulty: usize,
    /// Whether the delta starts above the local revision, so that a new one must be requested.
    pub has_gap: bool,
}

impl RecordReplica {
    /// Returns the digest of the replica.
    pub fn digest(&self) -> RecordDigest {
        RecordDigest {
            revision: self.synced,
            hash: self.sums.records,
            in_force: self.sums.in_force,
            catalog: self.catalog.signature(),
        }
    }

    /// Compares a peer's digest with the local one.
    pub fn compare(&self, peer: RecordDigest) -> DigestOrder {
        let own = self.digest();
        match peer.revision.cmp(&own.revision) {
            Ordering::Greater => DigestOrder::PeerAhead,
            Ordering::Less => DigestOrder::PeerBehind,
            Ordering::Equal if own.has_same_records(&peer) => DigestOrder::Same,
            Ordering::Equal => DigestOrder::Diverged,
        }
    }

    /// Compares a peer's digest with the local one, and advances if only the revision differs.
    ///
    /// The revision of the key-value store increases with every write of any client. A peer at a
    /// higher revision with the same records shows that no record changed up to that revision.
    pub fn compare_and_advance(&mut self, peer: RecordDigest) -> DigestOrder {
        let order = self.compare(peer);
        if order == DigestOrder::PeerAhead && self.digest().has_same_records(&peer) {
            self.advance(peer.revision);
            return DigestOrder::Same;
        }
        order
    }

    /// Returns the changes after `since`, limited to about `limit` bytes.
    ///
    /// A full copy is not limited.
    pub fn delta(&self, since: Revision, limit: usize) -> RecordDelta {
        let is_initial = since == Revision::default();
        if since < self.pruned_to && !is_initial {
            return self.full_copy();
        }
        let mut entries = self.entries_after(since);
        let mut size = 0;
        let fitting = entries.iter().take_while(|entry| {
            let fits = size == 0 || size + entry_size(entry) <= limit;
            size += entry_size(entry);
            fits
        });
        let mut count = fitting.count();
        // All tombstones of one listing have its revision, so a delta is not cut within a revision.
        while count > 0
            && count < entries.len()
            && entries[count].revision == entries[count - 1].revision
        {
            count += 1;
        }
        let is_cut = count < entries.len();
        entries.truncate(count);
        let until = match entries.last() {
            Some(last) if is_cut => last.revision,
            _ => self.synced,
        };
        RecordDelta {
            since,
            until: until.min(self.synced),
            is_full_copy: false,
            entries,
        }
    }

    /// Returns a full copy of the replica.
    pub fn full_copy(&self) -> RecordDelta {
        RecordDelta {
            since: Revision::default(),
            until: self.synced,
            is_full_copy: true,
            entries: self.entries_after(Revision::default()),
        }
    }

    /// Merges a peer's delta into the replica.
    pub fn merge(&mut self, delta: &RecordDelta) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for entry in &delta.entries {
            match self.merge_entry(entry) {
                ApplyOutcome::Changed => outcome.changed += 1,
                ApplyOutcome::Invalid(_) => outcome.faulty += 1,
                ApplyOutcome::Stale | ApplyOutcome::NotARecord => {}
            }
        }
        if delta.is_full_copy {
            let listed = delta.entries.iter().map(|entry| entry.key.to_string());
            self.finish_listing(delta.until, &listed.collect());
        } else if delta.since <= self.synced {
            self.advance(delta.until);
        } else {
            outcome.has_gap = true;
        }
        outcome
    }

    fn merge_entry(&mut self, entry: &DeltaEntry) -> ApplyOutcome {
        let key = entry.key.to_string();
        let applied = self.apply(&RecordDelivery {
            key: &key,
            revision: entry.revision,
            text: entry.text.as_deref(),
        });
        let last_valid = entry.last_valid.as_ref();
        let last_valid =
            last_valid.map(|last_valid| (last_valid.revision, last_valid.text.as_slice()));
        self.merge_last_valid(&entry.key, entry.deleted_at, last_valid);
        applied
    }

    fn entries_after(&self, since: Revision) -> Vec<DeltaEntry> {
        let newer = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > since);
        let mut entries: Vec<_> = newer.map(|(key, entry)| delta_entry(key, entry)).collect();
        entries.sort_by_key(|entry| entry.revision);
        entries
    }
}

fn delta_entry(key: &RecordKey, entry: &ReplicaEntry) -> DeltaEntry {
    let last_valid = entry.last_valid.as_ref().filter(|_| entry.fault.is_some());
    DeltaEntry {
        key: key.clone(),
        revision: entry.revision,
        text: entry.text.as_ref().map(|text| text.to_vec()),
        last_valid: last_valid.map(|last_valid| ValidEntry {
            revision: last_valid.revision,
            text: last_valid.text.to_vec(),
        }),
        deleted_at: entry.deleted_at,
    }
}

fn entry_size(entry: &DeltaEntry) -> usize {
    let text = entry.text.as_ref().map_or(0, Vec::len);
    let last_valid = entry
        .last_valid
        .as_ref()
        .map_or(0, |last_valid| last_valid.text.len());
    ENTRY_OVERHEAD_BYTES + entry.key.name.len() + text + last_valid
}
