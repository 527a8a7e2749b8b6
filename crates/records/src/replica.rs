//! One process's replica of the records, ordered by the revisions of the key-value store.
//!
//! Deliveries come from listings and watches of the key-value store and from peers, and may be
//! delayed, duplicated or reordered. A delivery for a key is applied only if its revision is above
//! the replica's, so the replica never reverts, and the same deliveries in any order end in the
//! same state.
//!
//! A deletion leaves a tombstone. The replica also tracks the revision up to which it has applied
//! every change. A delivery at or below that revision for a key that the replica lacks is an
//! outdated message about a deleted record, so a tombstone may be dropped once it is not above
//! that revision.
//!
//! A document that does not parse leaves the last valid one in force and is listed as a fault.
//! Peers send the last valid document along with the invalid one (docs/RECORDS.md).

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

/// The default maximum number of tombstones. A peer that may lack a dropped one gets a full copy.
const MAX_TOMBSTONES: usize = 20_000;

/// Holds the newest known revision and document of every record.
#[derive(Debug, Clone)]
pub struct RecordReplica {
    pub(crate) catalog: SchemaCatalog,
    pub(crate) entries: BTreeMap<RecordKey, ReplicaEntry>,
    /// The revision up to which every change has been applied.
    pub(crate) synced: Revision,
    /// The revision up to which tombstones may have been dropped.
    pub(crate) pruned_to: Revision,
    /// The newest revision of any entry.
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
    /// Returns an empty replica that parses documents with these schemas.
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

    /// Sets the maximum number of tombstones.
    #[must_use]
    pub fn with_max_tombstones(mut self, limit: usize) -> Self {
        self.max_tombstones = limit;
        self
    }

    /// Returns the schemas that the replica parses documents with.
    pub fn catalog(&self) -> &SchemaCatalog {
        &self.catalog
    }

    /// Returns the revision up to which the replica has applied every change.
    pub fn synced_revision(&self) -> Revision {
        self.synced
    }

    /// Returns the number of records, without tombstones.
    pub fn len(&self) -> usize {
        self.entries.len() - self.tombstones
    }

    /// Returns whether there are no records other than tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the keys of all entries, including tombstones.
    pub fn keys(&self) -> impl Iterator<Item = &RecordKey> {
        self.entries.keys()
    }

    /// Returns the document in force for a key and its revision.
    pub fn document(&self, key: &RecordKey) -> Option<(Revision, RecordDocument)> {
        let last_valid = self.entries.get(key)?.last_valid.as_ref()?;
        let document = parse_with(&self.catalog, key.kind, &last_valid.text).ok()?;
        Some((last_valid.revision, document))
    }

    /// Returns the expected revision for a conditional write of a key; none if it does not exist.
    pub fn revision_of(&self, key: &RecordKey) -> Option<Revision> {
        let entry = self.entries.get(key)?;
        entry.text.as_ref().map(|_| entry.revision)
    }

    /// Applies one delivery.
    pub fn apply(&mut self, delivery: &RecordDelivery<'_>) -> ApplyOutcome {
        self.apply_newer(delivery, self.synced)
    }

    /// Applies one entry of a listing that the key-value store made at revision `listing`.
    ///
    /// A listing that is not older than the replica also adds keys that the replica lacks.
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

    /// Applies a delivery; for a key that the replica lacks, its revision must be above `floor`.
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

    /// Marks every change up to a revision as applied.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.synced {
            self.synced = revision;
            self.invalidate_outdated_set();
        }
        self.prune_tombstones();
    }

    /// Deletes the records that a complete listing at `revision` does not contain.
    ///
    /// The caller applies the entries of the listing first. A record that is missing from the
    /// listing and older than it was deleted. A listing older than the replica is ignored.
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

    /// Returns the set of records in force, which is rebuilt only after a change.
    ///
    /// The revision of the set is [`Self::synced_revision`] at the time of the build.
    pub fn set(&mut self) -> Arc<RecordSet> {
        Arc::clone(&self.build().0)
    }

    /// Returns the records that are invalid, shadowed by another name or refer to missing records.
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

    /// Removes and returns an entry.
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

    /// Merges a peer's knowledge of the documents before an invalid one.
    ///
    /// The newest valid document after the newest deletion is in force. The revisions of both only
    /// increase, so merges in any order end in the same state.
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

    /// Drops the oldest tombstones once there are more than the limit, but none above the synced
    /// revision.
    fn prune_tombstones(&mut self) {
        if self.tombstones <= self.max_tombstones {
            return;
        }
        let tombstones = self.entries.values().filter(|entry| entry.text.is_none());
        let mut revisions: Vec<_> = tombstones.map(|entry| entry.revision).collect();
        revisions.sort_unstable();
        // Prunes to half the limit, so that the sort is not repeated for each new tombstone.
        let surplus = self.tombstones - self.max_tombstones / 2;
        let floor = revisions[surplus - 1].min(self.synced);
        self.entries
            .retain(|_, entry| entry.text.is_some() || entry.revision > floor);
        self.tombstones = self.entries.values().filter(|e| e.text.is_none()).count();
        self.pruned_to = self.pruned_to.max(floor);
    }

    /// Discards the built set if its revision is below that of the newest entry.
    ///
    /// The revision of the key-value store increases with every write of any client. Most of those
    /// writes do not concern records, and the set is not rebuilt for them.
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
        self.built_set.as_ref().expect("the set is built above")
    }
}
