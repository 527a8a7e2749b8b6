//! What the board knows of one key, and what reaches it.

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
pub enum Applied {
    /// The record changed.
    Changed,
    /// The board has this revision or a newer one.
    Old,
    /// The document does not parse, so the last good one stays in force.
    Faulty(RecordError),
    /// The key is not one of a record.
    Foreign,
}

/// A document that parsed, with the revision that it came with.
///
/// The fields as they were written are read from the text again when they are asked for; kept
/// beside the body they would take most of a board's memory.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct GoodDocument {
    pub(crate) revision: Revision,
    pub(crate) version: u32,
    pub(crate) text: Arc<[u8]>,
    pub(crate) body: RecordBody,
}

/// What the board knows of one key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct BoardEntry {
    pub(crate) revision: Revision,
    /// The text at that revision, or none for a tombstone.
    pub(crate) text: Option<Arc<[u8]>>,
    /// The newest document that parsed.
    pub(crate) good: Option<GoodDocument>,
    /// Why the text does not parse.
    pub(crate) fault: Option<RecordError>,
    /// The newest deletion before this entry, as far as it matters for which document is good.
    pub(crate) cleared: Revision,
}

impl BoardEntry {
    /// Returns a hash of what is in force for a key.
    pub(crate) fn hash(&self, key: &RecordKey) -> u64 {
        let mut hasher = Xxh3::new();
        key.hash(&mut hasher);
        self.revision.hash(&mut hasher);
        let good = self.good.as_ref().map(|good| good.revision);
        good.hash(&mut hasher);
        hasher.finish()
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
pub(crate) fn read_good(
    catalog: &SchemaCatalog,
    key: &RecordKey,
    revision: Revision,
    text: &Arc<[u8]>,
) -> Result<GoodDocument, RecordError> {
    let document = parse_with(catalog, key.kind, text)?;
    if document.key != *key {
        let wanted = format!("`{}`, the last part of the key", key.name);
        return Err(RecordError::field("name", document.key.name, wanted));
    }
    Ok(GoodDocument {
        revision,
        text: Arc::clone(text),
        version: document.version,
        body: document.body,
    })
}
