//! The state of one key in the replica, and the deliveries that change it.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use oleander_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::document::{RecordBody, parse_with};
use crate::error::RecordError;
use crate::key::RecordKey;
use crate::schema::SchemaCatalog;

/// The value of one key at one revision, as received from the key-value store or a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordDelivery<'a> {
    /// The key in the key-value store.
    pub key: &'a str,
    /// The revision of the change.
    pub revision: Revision,
    /// The document, or none if the record was deleted.
    pub text: Option<&'a [u8]>,
}

/// The effect of applying a delivery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record changed.
    Changed,
    /// The replica already has this revision or a newer one.
    Stale,
    /// The document is invalid, so the last valid one stays in force.
    Invalid(RecordError),
    /// The key is not the key of a record.
    NotARecord,
}

/// A valid document and its revision.
///
/// Its original fields are parsed from the text again on demand. Stored beside the body, they would
/// take most of a replica's memory.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ValidDocument {
    pub(crate) revision: Revision,
    pub(crate) version: u32,
    pub(crate) text: Arc<[u8]>,
    pub(crate) body: RecordBody,
}

/// The state of one key in the replica.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ReplicaEntry {
    pub(crate) revision: Revision,
    /// The document's text at that revision, or none for a tombstone.
    pub(crate) text: Option<Arc<[u8]>>,
    /// The newest valid document, which is in force.
    pub(crate) last_valid: Option<ValidDocument>,
    /// The error if the text is not valid.
    pub(crate) fault: Option<RecordError>,
    /// The revision of the newest known deletion; a valid document must be newer to be in force.
    ///
    /// It is maintained only for tombstones and invalid documents.
    pub(crate) deleted_at: Revision,
}

/// Sums of the hashes of all entries that are not tombstones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RecordSums {
    /// The sum over keys and revisions, which is the same in every program version.
    pub(crate) records: u64,
    /// The sum that also covers the revisions in force, which depend on the schemas that a program
    /// knows.
    pub(crate) in_force: u64,
}

impl RecordSums {
    pub(crate) fn add(&mut self, key: &RecordKey, entry: &ReplicaEntry) {
        let (record, in_force) = entry.hashes(key);
        self.records = self.records.wrapping_add(record);
        self.in_force = self.in_force.wrapping_add(in_force);
    }

    pub(crate) fn remove(&mut self, key: &RecordKey, entry: &ReplicaEntry) {
        let (record, in_force) = entry.hashes(key);
        self.records = self.records.wrapping_sub(record);
        self.in_force = self.in_force.wrapping_sub(in_force);
    }
}

impl ReplicaEntry {
    /// Returns the hash of the record and the hash that includes the revision in force.
    ///
    /// Both are zero for a tombstone.
    fn hashes(&self, key: &RecordKey) -> (u64, u64) {
        if self.text.is_none() {
            return (0, 0);
        }
        let mut hasher = Xxh3::new();
        key.hash(&mut hasher);
        self.revision.hash(&mut hasher);
        let record = hasher.finish();
        let last_valid = self
            .last_valid
            .as_ref()
            .map(|last_valid| last_valid.revision);
        last_valid.hash(&mut hasher);
        (record, hasher.finish())
    }
}

/// A record with a problem that an operator should resolve, as shown on the screens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordFault {
    /// The key of the record.
    pub key: RecordKey,
    /// The revision of the record's newest document.
    pub revision: Revision,
    /// The revision of the document in force for this record, if there is one.
    pub in_force: Option<Revision>,
    /// A description of the problem.
    pub problem: String,
}

/// Parses a document and checks that its name matches its key.
pub(crate) fn read_valid(
    catalog: &SchemaCatalog,
    key: &RecordKey,
    revision: Revision,
    text: &Arc<[u8]>,
) -> Result<ValidDocument, RecordError> {
    let document = parse_with(catalog, key.kind, text)?;
    if document.key != *key {
        let wanted = format!("`{}`, the last part of the key", key.name);
        return Err(RecordError::field("name", document.key.name, wanted));
    }
    Ok(ValidDocument {
        revision,
        text: Arc::clone(text),
        version: document.version,
        body: document.body,
    })
}
