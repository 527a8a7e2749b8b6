//! What the replica knows of one key, and what reaches it.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use oleander_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::document::{RecordBody, parse_with};
use crate::error::RecordError;
use crate::key::RecordKey;
use crate::schema::SchemaCatalog;

/// One value of one key, as the store or a peer delivers it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordDelivery<'a> {
    /// The key in the store.
    pub key: &'a str,
    /// The revision of the change.
    pub revision: Revision,
    /// The document, or none if the record was deleted.
    pub text: Option<&'a [u8]>,
}

/// What a delivery did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record changed.
    Changed,
    /// The replica has this revision or a newer one.
    Stale,
    /// The document does not parse, so the last good one stays in force.
    Invalid(RecordError),
    /// The key is not one of a record.
    NotARecord,
}

/// A document that parsed, with the revision that it came with.
///
/// The fields as they were written are read from the text again when they are asked for; kept
/// beside the body they would take most of a replica's memory.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ValidDocument {
    pub(crate) revision: Revision,
    pub(crate) version: u32,
    pub(crate) text: Arc<[u8]>,
    pub(crate) body: RecordBody,
}

/// What the replica knows of one key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ReplicaEntry {
    pub(crate) revision: Revision,
    /// The text at that revision, or none for a tombstone.
    pub(crate) text: Option<Arc<[u8]>>,
    /// The newest document that parsed.
    pub(crate) last_valid: Option<ValidDocument>,
    /// Why the text does not parse.
    pub(crate) fault: Option<RecordError>,
    /// The newest deletion before this entry, as far as it matters for which document is good.
    pub(crate) deleted_at: Revision,
}

/// Sums of hashes over the records that are not deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct RecordSums {
    /// Of keys and revisions, the same in every program.
    pub(crate) records: u64,
    /// Of the revisions in force, which depend on the schemas that a program knows.
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
    /// Returns hashes of the record and of what is in force for it; none for a tombstone.
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

/// A record that is not as an operator wants it, for the screens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordFault {
    /// The record.
    pub key: RecordKey,
    /// The revision of the faulty document.
    pub revision: Revision,
    /// The revision of the document in force in its place, if there is one.
    pub in_force: Option<Revision>,
    /// What is wrong.
    pub problem: String,
}

/// Reads a document and compares its name with its key.
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
