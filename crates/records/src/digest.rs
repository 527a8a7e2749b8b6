//! What peers tell each other about their boards.
//!
//! A digest is a few bytes in a heartbeat. A process that sees a higher revision in a peer's
//! digest asks for the delta since its own. A delta in the order of revisions may be cut at any
//! place; its end says up to where it is whole. If the peer has dropped tombstones that the
//! asker needs, the delta is a whole copy, and records that are not in it are gone.

use std::cmp::Ordering;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::board::RecordBoard;
use crate::board_entry::{Applied, BoardEntry, RecordDelivery};
use crate::key::RecordKey;

/// The least bytes that an entry counts for, beside its texts.
const ENTRY_BYTES: usize = 64;

/// The state of a board in a few bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordDigest {
    /// The revision up to which the board knows every record.
    pub revision: Revision,
    /// A hash of the keys and revisions of the records in force.
    pub hash: u64,
}

/// How a peer's board compares with ours.
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
    pub good: Option<GoodEntry>,
    /// The newest deletion before a bad text; no older document may be in force.
    pub cleared: Revision,
}

/// The document in force in place of a bad one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoodEntry {
    /// The revision that it came with.
    pub revision: Revision,
    /// The text.
    pub text: Vec<u8>,
}

/// Changes of a board between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// The revision after which the changes begin.
    pub since: Revision,
    /// The revision up to which they are whole.
    pub until: Revision,
    /// Whether this is a copy of the whole board at `until`.
    pub is_whole: bool,
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
    /// Whether there is a gap between our board and the delta; ask again from our revision.
    pub has_gap: bool,
}

impl RecordBoard {
    /// Returns the digest of the board.
    pub fn digest(&self) -> RecordDigest {
        RecordDigest {
            revision: self.informed,
            hash: self.hash,
        }
    }

    /// Compares a peer's digest with our own.
    pub fn compare(&self, peer: RecordDigest) -> DigestOrder {
        let own = self.digest();
        match peer.revision.cmp(&own.revision) {
            Ordering::Greater => DigestOrder::PeerAhead,
            Ordering::Less => DigestOrder::PeerBehind,
            Ordering::Equal if peer.hash == own.hash => DigestOrder::Same,
            Ordering::Equal => DigestOrder::Diverged,
        }
    }

    /// Returns the changes after `since`, of about `limit` bytes at most.
    ///
    /// A whole copy is not cut.
    pub fn delta(&self, since: Revision, limit: usize) -> RecordDelta {
        let is_fresh = since == Revision::default();
        if since < self.floor && !is_fresh {
            return self.whole();
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
            _ => self.informed,
        };
        RecordDelta {
            since,
            until: until.min(self.informed),
            is_whole: false,
            entries,
        }
    }

    /// Returns a copy of the whole board.
    pub fn whole(&self) -> RecordDelta {
        RecordDelta {
            since: Revision::default(),
            until: self.informed,
            is_whole: true,
            entries: self.entries_after(Revision::default()),
        }
    }

    /// Takes in a peer's delta.
    pub fn merge(&mut self, delta: &RecordDelta) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for entry in &delta.entries {
            match self.merge_entry(entry) {
                Applied::Changed => outcome.changed += 1,
                Applied::Faulty(_) => outcome.faulty += 1,
                Applied::Old | Applied::Foreign => {}
            }
        }
        if delta.is_whole {
            let listed = delta.entries.iter().map(|entry| entry.key.to_string());
            self.finish_listing(delta.until, &listed.collect());
        } else if delta.since <= self.informed {
            self.advance(delta.until);
        } else {
            outcome.has_gap = true;
        }
        outcome
    }

    fn merge_entry(&mut self, entry: &DeltaEntry) -> Applied {
        let key = entry.key.to_string();
        let applied = self.apply(&RecordDelivery {
            key: &key,
            revision: entry.revision,
            text: entry.text.as_deref(),
        });
        let good = entry.good.as_ref();
        let good = good.map(|good| (good.revision, good.text.as_slice()));
        self.offer_good(&entry.key, entry.cleared, good);
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

fn delta_entry(key: &RecordKey, entry: &BoardEntry) -> DeltaEntry {
    let good = entry.good.as_ref().filter(|_| entry.fault.is_some());
    DeltaEntry {
        key: key.clone(),
        revision: entry.revision,
        text: entry.text.as_ref().map(|text| text.to_vec()),
        good: good.map(|good| GoodEntry {
            revision: good.revision,
            text: good.text.to_vec(),
        }),
        cleared: entry.cleared,
    }
}

fn entry_size(entry: &DeltaEntry) -> usize {
    let text = entry.text.as_ref().map_or(0, Vec::len);
    let good = entry.good.as_ref().map_or(0, |good| good.text.len());
    ENTRY_BYTES + entry.key.name.len() + text + good
}
