//! The board: which document of each record is in force, in the order of the store's revisions.
//!
//! Deliveries come from the store's listings and watches and from peers, late, twice and out of
//! order. A delivery for a key counts only if its revision is above the one on the board, so the
//! board never reverts and any order of the same deliveries ends in the same state.
//!
//! A deletion leaves a tombstone. The board also knows a revision up to which it is informed of
//! every key: a delivery at or below it for a key that is not on the board is old news of a
//! record that was deleted, so a tombstone may be dropped once it lies below that revision.
//!
//! A document that does not parse leaves the last good one in force and is listed as a fault.
//! Peers pass the good document on beside the bad one (docs/RECORDS.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use oleander_base::prelude::*;

use crate::board_entry::{Applied, BoardEntry, RecordDelivery, RecordFault, read_good};
use crate::data::RecordSet;
use crate::document::{RecordDocument, parse_with};
use crate::key::RecordKey;
use crate::schema::SchemaCatalog;
use crate::set_builder::{SetFault, build_set};

/// How many tombstones are kept; peers further behind get a whole copy.
const TOMBSTONE_LIMIT: usize = 20_000;

/// The records in force at one process.
#[derive(Debug, Clone)]
pub struct RecordBoard {
    pub(crate) catalog: SchemaCatalog,
    pub(crate) entries: BTreeMap<RecordKey, BoardEntry>,
    pub(crate) informed: Revision,
    pub(crate) floor: Revision,
    /// The sum of the hashes of the records that are not deleted.
    pub(crate) hash: u64,
    tombstones: usize,
    tombstone_limit: usize,
    built: Option<(Arc<RecordSet>, Vec<SetFault>)>,
}

impl Default for RecordBoard {
    fn default() -> Self {
        Self::new(SchemaCatalog::current())
    }
}

impl RecordBoard {
    /// Returns an empty board that reads documents with these schemas.
    pub fn new(catalog: SchemaCatalog) -> Self {
        Self {
            catalog,
            entries: BTreeMap::new(),
            informed: Revision::default(),
            floor: Revision::default(),
            hash: 0,
            tombstones: 0,
            tombstone_limit: TOMBSTONE_LIMIT,
            built: None,
        }
    }

    /// Returns the same board with another limit for tombstones.
    #[must_use]
    pub fn with_tombstone_limit(mut self, limit: usize) -> Self {
        self.tombstone_limit = limit;
        self
    }

    /// Returns the schemas that the board reads documents with.
    pub fn catalog(&self) -> &SchemaCatalog {
        &self.catalog
    }

    /// Returns the revision up to which the board knows every record.
    pub fn informed(&self) -> Revision {
        self.informed
    }

    /// Returns the number of records that are not deleted.
    pub fn len(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the keys of all records, deleted ones included.
    pub fn keys(&self) -> impl Iterator<Item = &RecordKey> {
        self.entries.keys()
    }

    /// Returns the document in force and its revision.
    pub fn document(&self, key: &RecordKey) -> Option<(Revision, RecordDocument)> {
        let good = self.entries.get(key)?.good.as_ref()?;
        let document = parse_with(&self.catalog, key.kind, &good.text).ok()?;
        Some((good.revision, document))
    }

    /// Returns the revision that the next write of a key has to expect; none if it is absent.
    pub fn revision_of(&self, key: &RecordKey) -> Option<Revision> {
        let entry = self.entries.get(key)?;
        entry.text.as_ref().map(|_| entry.revision)
    }

    /// Takes in one delivery.
    pub fn apply(&mut self, delivery: &RecordDelivery<'_>) -> Applied {
        self.apply_above(delivery, self.informed)
    }

    /// Takes in one entry of a listing that the store made at `listing`.
    ///
    /// A listing that is not older than the board also brings back what the board lacks.
    pub fn apply_listed(&mut self, delivery: &RecordDelivery<'_>, listing: Revision) -> Applied {
        let floor = if listing >= self.informed {
            Revision::default()
        } else {
            self.informed
        };
        self.apply_above(delivery, floor)
    }

    /// Takes in a delivery; for a key that is not on the board it must be above `floor`.
    fn apply_above(&mut self, delivery: &RecordDelivery<'_>, floor: Revision) -> Applied {
        let Ok(key) = delivery.key.parse::<RecordKey>() else {
            return Applied::Foreign;
        };
        let known = self.entries.get(&key).map_or(floor, |entry| entry.revision);
        if delivery.revision <= known {
            return Applied::Old;
        }
        let previous = self.take(&key);
        let entry = self.read_entry(&key, delivery, previous);
        let fault = entry.fault.clone();
        self.insert(key, entry);
        fault.map_or(Applied::Changed, Applied::Faulty)
    }

    /// Notes that the board has taken in every change up to a revision.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.informed {
            self.informed = revision;
            self.built = None;
        }
        self.prune();
    }

    /// Takes in what a whole listing at `revision` says about absent records.
    ///
    /// The listing's own entries have been applied before. Records that are not in it and are
    /// not newer than it were deleted. A listing older than the board says nothing.
    pub fn finish_listing(&mut self, revision: Revision, listed: &FastSet<String>) {
        if revision < self.informed {
            return;
        }
        let is_gone = |key: &RecordKey, entry: &BoardEntry| {
            entry.text.is_some() && entry.revision < revision && !listed.contains(&key.to_string())
        };
        let gone: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, entry)| is_gone(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.insert_tombstone(key, revision);
        }
        self.advance(revision);
    }

    /// Returns the set in force; it is built again only after a change.
    pub fn set(&mut self) -> Arc<RecordSet> {
        Arc::clone(&self.build().0)
    }

    /// Returns the records that are not as an operator wants them.
    pub fn faults(&mut self) -> Vec<RecordFault> {
        let set_faults = self.build().1.clone();
        let bad = self.entries.iter().filter_map(|(key, entry)| {
            let fault = entry.fault.as_ref()?;
            Some(RecordFault {
                key: key.clone(),
                revision: entry.revision,
                in_force: entry.good.as_ref().map(|good| good.revision),
                problem: fault.to_string(),
            })
        });
        let mut faults: Vec<_> = bad.collect();
        faults.extend(set_faults.into_iter().filter_map(|fault| {
            let revision = self.entries.get(&fault.key)?.revision;
            Some(RecordFault {
                revision,
                in_force: fault.is_in_force.then_some(revision),
                key: fault.key,
                problem: fault.problem,
            })
        }));
        faults
    }

    pub(crate) fn insert(&mut self, key: RecordKey, entry: BoardEntry) {
        match entry.text {
            Some(_) => self.hash = self.hash.wrapping_add(entry.hash(&key)),
            None => self.tombstones += 1,
        }
        self.entries.insert(key, entry);
        self.built = None;
    }

    /// Takes an entry off the board.
    fn take(&mut self, key: &RecordKey) -> Option<BoardEntry> {
        let entry = self.entries.remove(key)?;
        match entry.text {
            Some(_) => self.hash = self.hash.wrapping_sub(entry.hash(key)),
            None => self.tombstones -= 1,
        }
        Some(entry)
    }

    pub(crate) fn insert_tombstone(&mut self, key: RecordKey, revision: Revision) {
        self.take(&key);
        let tombstone = BoardEntry {
            revision,
            text: None,
            good: None,
            fault: None,
            cleared: revision,
        };
        self.insert(key, tombstone);
    }

    /// Takes in what a peer knows of the documents before a bad one.
    ///
    /// The newest good document after the newest deletion is in force; both only grow, so any
    /// order of offers ends in the same state.
    pub(crate) fn offer_good(
        &mut self,
        key: &RecordKey,
        cleared: Revision,
        good: Option<(Revision, &[u8])>,
    ) {
        let is_bad = |entry: &BoardEntry| entry.fault.is_some();
        if !self.entries.get(key).is_some_and(is_bad) {
            return;
        }
        let Some(mut entry) = self.take(key) else {
            return;
        };
        if cleared < entry.revision {
            entry.cleared = entry.cleared.max(cleared);
        }
        let own = entry.good.as_ref().map(|good| good.revision);
        let offered = good.filter(|(revision, _)| {
            *revision < entry.revision && own.is_none_or(|own| own < *revision)
        });
        if let Some((revision, text)) = offered
            && let Ok(good) = read_good(&self.catalog, key, revision, &text.into())
        {
            entry.good = Some(good);
        }
        entry.good = entry
            .good
            .take()
            .filter(|good| good.revision > entry.cleared);
        self.insert(key.clone(), entry);
    }

    fn read_entry(
        &self,
        key: &RecordKey,
        delivery: &RecordDelivery<'_>,
        previous: Option<BoardEntry>,
    ) -> BoardEntry {
        let mut entry = BoardEntry {
            revision: delivery.revision,
            text: delivery.text.map(Into::into),
            good: None,
            fault: None,
            cleared: Revision::default(),
        };
        let Some(text) = &entry.text else {
            entry.cleared = delivery.revision;
            return entry;
        };
        match read_good(&self.catalog, key, delivery.revision, text) {
            Ok(good) => entry.good = Some(good),
            Err(error) => {
                entry.fault = Some(error);
                if let Some(previous) = previous {
                    entry.good = previous.good;
                    entry.cleared = previous.cleared;
                }
            }
        }
        entry
    }

    /// Drops the oldest tombstones over the limit, as far as the board is informed above them.
    fn prune(&mut self) {
        if self.tombstones <= self.tombstone_limit {
            return;
        }
        let tombstones = self.entries.values().filter(|entry| entry.text.is_none());
        let mut revisions: Vec<_> = tombstones.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        // Half of them go at once, so that the next prune is far off.
        let surplus = self.tombstones - self.tombstone_limit / 2;
        let floor = revisions[surplus - 1].min(self.informed);
        self.entries
            .retain(|_, entry| entry.text.is_some() || entry.revision > floor);
        self.tombstones = self.entries.values().filter(|e| e.text.is_none()).count();
        self.floor = self.floor.max(floor);
    }

    fn build(&mut self) -> &(Arc<RecordSet>, Vec<SetFault>) {
        if self.built.is_none() {
            let bodies = self.entries.iter().filter_map(|(key, entry)| {
                let good = entry.good.as_ref()?;
                Some((key, &good.body))
            });
            let (set, faults) = build_set(self.informed, bodies);
            self.built = Some((Arc::new(set), faults));
        }
        self.built.as_ref().expect("it was just built")
    }
}
