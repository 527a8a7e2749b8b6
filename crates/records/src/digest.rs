//! What peers tell each other about their boards.
//!
//! A digest is a few bytes in a heartbeat. A process that sees a higher revision in a peer's
//! digest asks for the delta since its own. A delta in the order of revisions may be cut at any
//! place; its end says up to where it is whole. If the peer has dropped tombstones that the
//! asker needs, the delta is a whole copy, and records that are not in it are gone.

use std::cmp::Ordering;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::key::RecordKey;
use crate::replica::RecordReplica;
use crate::replica_entry::{ApplyOutcome, RecordDelivery, ReplicaEntry};

/// The least bytes that an entry counts for, beside its texts.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The state of a replica in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordDigest {
    /// The revision up to which the replica knows every record.
    pub revision: Revision,
    /// A hash of the keys and revisions of the records that are not deleted.
    pub hash: u64,
    /// A hash of the revisions in force, which differ from the newest ones after a bad document.
    pub in_force: u64,
    /// Which schemas the program knows.
    pub catalog: u32,
}

impl RecordDigest {
    /// Returns whether both boards hold the same records.
    ///
    /// What is in force is compared only between programs that know the same schemas: an old
    /// program cannot read some documents of a new one, however often it gets them.
    fn has_same_records(&self, other: &Self) -> bool {
        let is_same_in_force = self.in_force == other.in_force || self.catalog != other.catalog;
        self.hash == other.hash && is_same_in_force
    }
}

/// How a peer's replica compares with ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DigestOrder {
    /// Both are the same.
    Same,
    /// The peer knows more; ask it for the delta since our revision.
    PeerAhead,
    /// We know more.
    PeerBehind,
    /// Both claim the same revision with other records; each asks for a whole copy.
    Diverged,
}

/// One record of a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaEntry {
    /// The key.
    pub key: RecordKey,
    /// The revision.
    pub revision: Revision,
    /// The text, or none if the record was deleted.
    pub text: Option<Vec<u8>>,
    /// The document in force if the text is a bad one.
    pub last_valid: Option<ValidEntry>,
    /// The newest deletion before a bad text; no older document may be in force.
    pub deleted_at: Revision,
}

/// The document in force in place of a bad one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidEntry {
    /// The revision that it came with.
    pub revision: Revision,
    /// The text.
    pub text: Vec<u8>,
}

/// Changes of a replica between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// The revision after which the changes begin.
    pub since: Revision,
    /// The revision up to which they are whole.
    pub until: Revision,
    /// Whether this is a copy of the whole replica at `until`.
    pub is_full_copy: bool,
    /// The records, in the order of their revisions.
    pub entries: Vec<DeltaEntry>,
}

/// What merging a delta did.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MergeOutcome {
    /// Records that changed.
    pub changed: usize,
    /// Documents that do not parse.
    pub faulty: usize,
    /// Whether there is a gap between our replica and the delta; ask again from our revision.
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

    /// Compares a peer's digest with our own.
    pub fn compare(&self, peer: RecordDigest) -> DigestOrder {
        let own = self.digest();
        match peer.revision.cmp(&own.revision) {
            Ordering::Greater => DigestOrder::PeerAhead,
            Ordering::Less => DigestOrder::PeerBehind,
            Ordering::Equal if own.has_same_records(&peer) => DigestOrder::Same,
            Ordering::Equal => DigestOrder::Diverged,
        }
    }

    /// Compares a peer's digest with our own, and learns from it if the records are the same.
    ///
    /// The store's revision moves with every write of anybody. A peer that is informed of a higher
    /// revision with the same records tells that none of them changed up to there.
    pub fn compare_and_advance(&mut self, peer: RecordDigest) -> DigestOrder {
        let order = self.compare(peer);
        if order == DigestOrder::PeerAhead && self.digest().has_same_records(&peer) {
            self.advance(peer.revision);
            return DigestOrder::Same;
        }
        order
    }

    /// Returns the changes after `since`, of about `limit` bytes at most.
    ///
    /// A whole copy is not cut.
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
        // Tombstones of one listing share its revision, so there is no cut between equal ones.
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

    /// Returns a copy of the whole replica.
    pub fn full_copy(&self) -> RecordDelta {
        RecordDelta {
            since: Revision::default(),
            until: self.synced,
            is_full_copy: true,
            entries: self.entries_after(Revision::default()),
        }
    }

    /// Takes in a peer's delta.
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
