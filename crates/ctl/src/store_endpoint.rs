//! The platform's key-value store as an endpoint for records, for use when no entry VM can be
//! reached.
//!
//! Changes pass the same checks as at an entry VM, against the records read from the store.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_entry::{invalid_change, write_refusal};
use oleander_operator::{ChangeDone, ChangeRefusal, RecordChange, RecordLine};
use oleander_platform::{
    ClientSettings, Expected, KeyValueStore, PlatformClient, ReaderEvent, RecordWriter, StoreEntry,
    StoreError, WriteError,
};
use oleander_records::{
    RECORD_PREFIX, RecordDocument, RecordKey, RecordKind, RecordReplica, SchemaCatalog,
    parse_document,
};
use tokio::runtime::{Builder, Runtime};

use crate::endpoint::RecordEndpoint;
use crate::failure::CommandFailure;

/// A client of the platform's key-value store with its own runtime.
pub(crate) struct StoreEndpoint {
    address: SocketAddr,
    store: Arc<dyn KeyValueStore>,
    runtime: Runtime,
}

impl std::fmt::Debug for StoreEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StorePlace")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A parsed change of one record.
enum StoreChange {
    Put(Box<RecordDocument>),
    Delete(RecordKey),
}

impl StoreEndpoint {
    /// Opens a client of the store at an address.
    pub(crate) fn open(address: SocketAddr) -> Result<Self, CommandFailure> {
        let client = PlatformClient::open(ClientSettings::new(address))?;
        Ok(Self {
            address,
            store: Arc::new(client),
            runtime: Builder::new_current_thread().enable_all().build()?,
        })
    }

    fn replica(&self) -> Result<RecordReplica, StoreError> {
        let (revision, entries) = self.runtime.block_on(list_records(self.store.as_ref()))?;
        let mut replica = RecordReplica::default();
        ReaderEvent::Listing { revision, entries }.apply_to(&mut replica);
        Ok(replica)
    }

    fn replica_for_change(&self) -> Result<RecordReplica, ChangeRefusal> {
        self.replica().map_err(|error| ChangeRefusal::Unavailable {
            reason: format!("{}: {error}", self.address),
        })
    }
}

impl RecordEndpoint for StoreEndpoint {
    fn name(&self) -> String {
        format!("the platform's service {}", self.address)
    }

    fn records(&self) -> Result<Vec<RecordLine>, CommandFailure> {
        let replica = self.replica().map_err(|error| {
            CommandFailure::Unreachable(format!("the platform's service {}: {error}", self.address))
        })?;
        let line = |key: &RecordKey| {
            let (revision, document) = replica.document(key)?;
            Some(RecordLine {
                kind: key.kind.to_string(),
                name: key.name.clone(),
                revision: revision.0,
                document: document.to_json(),
            })
        };
        Ok(replica.keys().filter_map(line).collect())
    }

    fn check(&self, change: &RecordChange) -> Result<(), ChangeRefusal> {
        let store_change = match read_change(change)? {
            StoreChange::Put(document) => oleander_records::RecordChange::Put(document),
            StoreChange::Delete(key) => oleander_records::RecordChange::Delete(key),
        };
        let set = self.replica_for_change()?.set();
        oleander_records::check(&set, &store_change)
            .map_err(|errors| write_refusal(WriteError::Refused(errors)))
    }

    fn change(&self, change: &RecordChange) -> Result<ChangeDone, ChangeRefusal> {
        let store_change = read_change(change)?;
        let catalog = SchemaCatalog::current();
        let mut replica = self.replica_for_change()?;
        let set = replica.set();
        let writer = RecordWriter::new(Arc::clone(&self.store), catalog.clone());
        let expected = change.expected.map(Revision);
        let written = self.runtime.block_on(async {
            match (store_change, expected) {
                (StoreChange::Put(document), expected) => {
                    let current = replica.document(&document.key);
                    let preserved_fields = current
                        .map_or_else(Vec::new, |(_, current)| current.unknown_fields(&catalog));
                    let expected = expected.map_or(Expected::Absent, Expected::At);
                    writer
                        .put_with_kept_fields(&set, *document, expected, &preserved_fields)
                        .await
                }
                (StoreChange::Delete(key), Some(expected)) => {
                    writer.delete(&set, &key, expected).await
                }
                (StoreChange::Delete(key), None) => Err(WriteError::Missing(key)),
            }
        });
        let done = written.map_err(write_refusal)?;
        Ok(ChangeDone {
            revision: done.revision.0,
            was_unknown: done.was_unknown,
        })
    }
}

fn read_change(change: &RecordChange) -> Result<StoreChange, ChangeRefusal> {
    let kind: RecordKind = change.kind.parse().map_err(invalid_change)?;
    let key = RecordKey::new(kind, &change.name).map_err(invalid_change)?;
    let Some(text) = &change.document else {
        return Ok(StoreChange::Delete(key));
    };
    let document = parse_document(kind, text.as_bytes()).map_err(invalid_change)?;
    if document.key != key {
        return Err(invalid_change(format!(
            "the document is of {}, not of {key}",
            document.key
        )));
    }
    Ok(StoreChange::Put(Box::new(document)))
}

/// Reads all pages of records; the listing's revision is that of the first page.
async fn list_records(
    store: &dyn KeyValueStore,
) -> Result<(Revision, Vec<StoreEntry>), StoreError> {
    let mut entries: Vec<StoreEntry> = Vec::new();
    let mut first = None;
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = store.list(RECORD_PREFIX, after.as_deref()).await?;
        let revision = *first.get_or_insert(page.revision);
        let is_last = !page.more || page.entries.is_empty();
        entries.extend(page.entries);
        if is_last {
            return Ok((revision, entries));
        }
    }
}
