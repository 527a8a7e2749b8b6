//! Operators' records: customers, request classes, priorities, backend servers, planned stops.
//!
//! A record is a small document with a schema version. [`parse_document`] parses one, [`check`]
//! validates a change against the records in force, and [`RecordReplica`] holds one process's copy
//! of the records, ordered by the revisions of the key-value store, and provides it to the rest of
//! the system as a [`RecordSet`]. This crate does no I/O; crates/platform reads and writes the
//! key-value store (docs/RECORDS.md).

mod check;
mod data;
mod digest;
mod document;
mod error;
mod fields;
mod key;
mod key_index;
mod reader_role;
mod replica;
mod replica_dump;
mod replica_entry;
mod schema;
mod schema_table;
mod set_builder;

pub use check::{MAX_MINIMUM_SHARE_SUM, RecordChange, check};
pub use data::{
    BackendKind, BackendRecord, ClassRecord, CustomerRecord, PriorityRecord, RecordSet,
    ServiceRoute, StopRecord, StopTarget, WantedState,
};
pub use digest::{DeltaEntry, DigestOrder, MergeOutcome, RecordDelta, RecordDigest, ValidEntry};
pub use document::{MAX_DOCUMENT_BYTES, RecordBody, RecordDocument, parse_document, parse_with};
pub use error::{CheckError, FieldFault, RecordError};
pub use key::{MAX_NAME_BYTES, ParseKeyError, RECORD_PREFIX, RecordKey, RecordKind, is_name};
pub use key_index::{KeyIndex, hash_key};
pub use reader_role::{READER_COUNT, ReaderLimits, ReaderRole};
pub use replica::RecordReplica;
pub use replica_entry::{ApplyOutcome, RecordDelivery, RecordFault};
pub use schema::{FieldForm, FieldNeed, FieldSchema, RecordSchema, SchemaCatalog, schemas};
