//! The replica: which document of each record is in force, in the order of the store's revisions.
//!
//! Deliveries come from the store's listings and watches and from peers, late, twice and out of
//! order. A delivery for a key counts only if its revision is above the one on the replica, so the
//! replica never reverts and any order of the same deliveries ends in the same state.
//!
//! A deletion leaves a tombstone. The replica also knows a revision up to which it is informed of
//! every key: a delivery at or below it for a key that is not on the replica is old news of a
//! record that was deleted, so a tombstone may be dropped once it lies below that revision.
//!
//! A document that does not parse leaves the last good one in force and is listed as a fault.
//! Peers pass the good document on beside the bad one (docs/RECORDS.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use oleander_base::prelude::*;

use crate::data::RecordSet;
use crate::document::{RecordDocument, parse_with};
use crate::key::RecordKey;
use crate::replica_entry::{
    ApplyOutcome, RecordDelivery, RecordFault, RecordSums, ReplicaEntry, read_valid,
};
use crate::schema::SchemaCatalog;
use crate::set_builder::{SetFault, build_set};

/// How many tombstones are kept; peers further behind get a whole copy.
const MAX_TOMBSTONES: usize = 20_000;

/// The records in force at one process.
#[derive(Debug, Clone)]
pub struct RecordReplica {
    pub(crate) catalog: SchemaCatalog,
    pub(crate) entries: BTreeMap<RecordKey, ReplicaEntry>,
    pub(crate) synced: Revision,
    pub(crate) pruned_to: Revision,
    /// The newest revision of a change on the replica.
    newest: Revision,
    pub(crate) sums: RecordSums,
    tombstones: usize,
    max_tombstones: usize,
    built_set: Option<(Arc<RecordSet>, Vec<SetFault>)>,
}

impl Default for RecordReplica {
    fn default() -> Self {
        Self::new(SchemaCatalog::current())
    }
}

impl RecordReplica {
    /// Returns an empty replica that reads documents with these schemas.
    pub fn new(catalog: SchemaCatalog) -> Self {
        Self {
            catalog,
            entries: BTreeMap::new(),
            synced: Revision::default(),
            pruned_to: Revision::default(),
            newest: Revision::default(),
            sums: RecordSums::default(),
            tombstones: 0,
            max_tombstones: MAX_TOMBSTONES,
            built_set: None,
        }
    }

    /// Returns the same replica with another limit for tombstones.
    #[must_use]
    pub fn with_max_tombstones(mut self, limit: usize) -> Self {
        self.max_tombstones = limit;
        self
    }

    /// Returns the schemas that the replica reads documents with.
    pub fn catalog(&self) -> &SchemaCatalog {
        &self.catalog
    }

    /// Returns the revision up to which the replica knows every record.
    pub fn synced_revision(&self) -> Revision {
        self.synced
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
        let last_valid = self.entries.get(key)?.last_valid.as_ref()?;
        let document = parse_with(&self.catalog, key.kind, &last_valid.text).ok()?;
        Some((last_valid.revision, document))
    }

    /// Returns the revision that the next write of a key has to expect; none if it is absent.
    pub fn revision_of(&self, key: &RecordKey) -> Option<Revision> {
        let entry = self.entries.get(key)?;
        entry.text.as_ref().map(|_| entry.revision)
    }

    /// Takes in one delivery.
    pub fn apply(&mut self, delivery: &RecordDelivery<'_>) -> ApplyOutcome {
        self.apply_newer(delivery, self.synced)
    }

    /// Takes in one entry of a listing that the store made at `listing`.
    ///
    /// A listing that is not older than the replica also brings back what the replica lacks.
    pub fn apply_listed(
        &mut self,
        delivery: &RecordDelivery<'_>,
        listing: Revision,
    ) -> ApplyOutcome {
        let floor = if listing >= self.synced {
            Revision::default()
        } else {
            self.synced
        };
        self.apply_newer(delivery, floor)
    }

    /// Takes in a delivery; for a key that is not on the replica it must be above `floor`.
    fn apply_newer(&mut self, delivery: &RecordDelivery<'_>, floor: Revision) -> ApplyOutcome {
        let Ok(key) = delivery.key.parse::<RecordKey>() else {
            return ApplyOutcome::NotARecord;
        };
        let known = self.entries.get(&key).map_or(floor, |entry| entry.revision);
        if delivery.revision <= known {
            return ApplyOutcome::Stale;
        }
        let previous = self.remove_entry(&key);
        let entry = self.read_entry(&key, delivery, previous);
        let fault = entry.fault.clone();
        self.insert(key, entry);
        fault.map_or(ApplyOutcome::Changed, ApplyOutcome::Invalid)
    }

    /// Notes that the replica has taken in every change up to a revision.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.synced {
            self.synced = revision;
            self.invalidate_outdated_set();
        }
        self.prune_tombstones();
    }

    /// Takes in what a whole listing at `revision` says about absent records.
    ///
    /// The listing's own entries have been applied before. Records that are not in it and are
    /// not newer than it were deleted. A listing older than the replica says nothing.
    pub fn finish_listing(&mut self, revision: Revision, listed: &FastSet<String>) {
        if revision < self.synced {
            return;
        }
        let is_deleted = |key: &RecordKey, entry: &ReplicaEntry| {
            entry.text.is_some() && entry.revision < revision && !listed.contains(&key.to_string())
        };
        let deleted: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, entry)| is_deleted(key, entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in deleted {
            self.insert_tombstone(key, revision);
        }
        self.advance(revision);
    }

    /// Returns the set in force; it is built again only after a change.
    ///
    /// Its revision is the one that the replica was informed of at that time.
    pub fn set(&mut self) -> Arc<RecordSet> {
        Arc::clone(&self.build().0)
    }

    /// Returns the records that are not as an operator wants them.
    pub fn faults(&mut self) -> Vec<RecordFault> {
        let set_faults = self.build().1.clone();
        let invalid = self.entries.iter().filter_map(|(key, entry)| {
            let fault = entry.fault.as_ref()?;
            Some(RecordFault {
                key: key.clone(),
                revision: entry.revision,
                in_force: entry
                    .last_valid
                    .as_ref()
                    .map(|last_valid| last_valid.revision),
                problem: fault.to_string(),
            })
        });
        let mut faults: Vec<_> = invalid.collect();
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

    pub(crate) fn insert(&mut self, key: RecordKey, entry: ReplicaEntry) {
        self.sums.add(&key, &entry);
        self.tombstones += usize::from(entry.text.is_none());
        self.newest = self.newest.max(entry.revision);
        self.entries.insert(key, entry);
        self.built_set = None;
    }

    /// Takes an entry off the replica.
    fn remove_entry(&mut self, key: &RecordKey) -> Option<ReplicaEntry> {
        let entry = self.entries.remove(key)?;
        self.sums.remove(key, &entry);
        self.tombstones -= usize::from(entry.text.is_none());
        Some(entry)
    }

    pub(crate) fn insert_tombstone(&mut self, key: RecordKey, revision: Revision) {
        self.remove_entry(&key);
        let tombstone = ReplicaEntry {
            revision,
            text: None,
            last_valid: None,
            fault: None,
            deleted_at: revision,
        };
        self.insert(key, tombstone);
    }

    /// Takes in what a peer knows of the documents before a bad one.
    ///
    /// The newest good document after the newest deletion is in force; both only grow, so any
    /// order of offers ends in the same state.
    pub(crate) fn merge_last_valid(
        &mut self,
        key: &RecordKey,
        deleted_at: Revision,
        last_valid: Option<(Revision, &[u8])>,
    ) {
        let is_invalid = |entry: &ReplicaEntry| entry.fault.is_some();
        if !self.entries.get(key).is_some_and(is_invalid) {
            return;
        }
        let Some(mut entry) = self.remove_entry(key) else {
            return;
        };
        if deleted_at < entry.revision {
            entry.deleted_at = entry.deleted_at.max(deleted_at);
        }
        let own = entry
            .last_valid
            .as_ref()
            .map(|last_valid| last_valid.revision);
        let offered = last_valid.filter(|(revision, _)| {
            *revision < entry.revision && own.is_none_or(|own| own < *revision)
        });
        if let Some((revision, text)) = offered
            && let Ok(last_valid) = read_valid(&self.catalog, key, revision, &text.into())
        {
            entry.last_valid = Some(last_valid);
        }
        entry.last_valid = entry
            .last_valid
            .take()
            .filter(|last_valid| last_valid.revision > entry.deleted_at);
        self.insert(key.clone(), entry);
    }

    fn read_entry(
        &self,
        key: &RecordKey,
        delivery: &RecordDelivery<'_>,
        previous: Option<ReplicaEntry>,
    ) -> ReplicaEntry {
        let mut entry = ReplicaEntry {
            revision: delivery.revision,
            text: delivery.text.map(Into::into),
            last_valid: None,
            fault: None,
            deleted_at: Revision::default(),
        };
        let Some(text) = &entry.text else {
            entry.deleted_at = delivery.revision;
            return entry;
        };
        match read_valid(&self.catalog, key, delivery.revision, text) {
            Ok(last_valid) => entry.last_valid = Some(last_valid),
            Err(error) => {
                entry.fault = Some(error);
                if let Some(previous) = previous {
                    entry.last_valid = previous.last_valid;
                    entry.deleted_at = previous.deleted_at;
                }
            }
        }
        entry
    }

    /// Drops the oldest tombstones over the limit, as far as the replica is informed above them.
    fn prune_tombstones(&mut self) {
        if self.tombstones <= self.max_tombstones {
            return;
        }
        let tombstones = self.entries.values().filter(|entry| entry.text.is_none());
        let mut revisions: Vec<_> = tombstones.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        // Half of them go at once, so that the next prune is far off.
        let surplus = self.tombstones - self.max_tombstones / 2;
        let floor = revisions[surplus - 1].min(self.synced);
        self.entries
            .retain(|_, entry| entry.text.is_some() || entry.revision > floor);
        self.tombstones = self.entries.values().filter(|e| e.text.is_none()).count();
        self.pruned_to = self.pruned_to.max(floor);
    }

    /// Lets the set be built again if it lies before a change that the replica is informed of.
    ///
    /// The store's revision moves with every write of anybody, and most of them are no records;
    /// the set is not built again for those.
    fn invalidate_outdated_set(&mut self) {
        let built_revision = self.built_set.as_ref().map(|(set, _)| set.revision);
        if built_revision.is_some_and(|revision| revision < self.newest) {
            self.built_set = None;
        }
    }

    fn build(&mut self) -> &(Arc<RecordSet>, Vec<SetFault>) {
        if self.built_set.is_none() {
            let bodies = self.entries.iter().filter_map(|(key, entry)| {
                let last_valid = entry.last_valid.as_ref()?;
                Some((key, &last_valid.body))
            });
            let (set, faults) = build_set(self.synced, bodies);
            self.built_set = Some((Arc::new(set), faults));
        }
        self.built_set.as_ref().expect("it was just built")
    }
}
