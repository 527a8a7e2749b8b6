//! Writes records by compare-and-swap.
//!
//! Every put stores a random write ID in the document. If the outcome of a write is unknown, the
//! key is read again; for a put, the write ID tells whether it took effect. If the key is
//! unchanged, a write that expects a revision is sent again. This is safe: both copies expect the
//! same revision, and revisions are never reused, so at most one copy can take effect. A write that
//! expects an absent key is not sent again: a key can become absent a second time, and a late copy
//! would restore a record that has been deleted since. If the key has changed, the history of
//! changes tells whether the write was among them. A writer that loses a race gets a conflict with
//! the newer revision and its document.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_records::{
    CheckError, FieldFault, RecordChange, RecordDocument, RecordError, RecordKey, RecordSet,
    SchemaCatalog, check, parse_with,
};
use rand::Rng;
use serde_json::{Map, Value};
use thiserror::Error;

use crate::store::{Expected, KeyValueStore, StoreEntry, StoreError};

/// Maximum number of attempts to resolve an unknown outcome.
const MAX_RESOLVE_ATTEMPTS: usize = 5;
/// Delay before the first attempt to resolve an unknown outcome; it doubles after each attempt.
const FIRST_RESOLVE_DELAY: Duration = Duration::from_millis(200);

/// Describes a write that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedWrite {
    /// The revision of the write.
    pub revision: Revision,
    /// The value that was written, with its write ID, or `None` for a deletion. The caller can
    /// apply it to a replica at once.
    pub value: Option<Bytes>,
    /// Whether the outcome was unknown at first and had to be resolved.
    pub was_unknown: bool,
}

/// Reports why a write did not take effect, or that its outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The change is not valid with the current records; nothing was written.
    #[error("{}", join_errors(.0))]
    Refused(Vec<CheckError>),
    /// The stored document that an edit would change, or the edited one, is invalid; nothing was
    /// written.
    #[error("{0}")]
    Document(#[from] RecordError),
    /// The record to edit or delete does not exist.
    #[error("{0} is not there")]
    Missing(RecordKey),
    /// Another write took effect first; nothing was written.
    #[error("conflict: {}", describe_current(.current.as_ref()))]
    Conflict {
        /// The current record, or `None` if it was deleted.
        current: Option<StoreEntry>,
    },
    /// The write did not take effect.
    #[error("{0}")]
    Store(StoreError),
    /// The write may have taken effect, and its outcome could not be resolved.
    #[error("the outcome is unknown and could not be settled: {reason}")]
    Unresolved {
        /// The result of the last attempt to resolve the outcome.
        reason: String,
    },
}

impl WriteError {
    /// Returns whether the write may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unresolved { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Writes records to the key-value store.
#[derive(Clone)]
pub struct RecordWriter {
    store: Arc<dyn KeyValueStore>,
    catalog: SchemaCatalog,
}

impl std::fmt::Debug for RecordWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RecordWriter").finish_non_exhaustive()
    }
}

/// Describes one write, which may be sent more than once.
struct WritePlan {
    key: String,
    expected: Expected,
    /// The new value with its write ID, or `None` for a deletion.
    value: Option<Bytes>,
    /// A revision before the write, after which the history is read.
    history_start: Revision,
}

impl WritePlan {
    fn completed(&self, revision: Revision) -> CompletedWrite {
        CompletedWrite {
            revision,
            value: self.value.clone(),
            was_unknown: true,
        }
    }
}

impl RecordWriter {
    /// Returns a writer that knows the schemas of `catalog`.
    pub fn new(store: Arc<dyn KeyValueStore>, catalog: SchemaCatalog) -> Self {
        Self { store, catalog }
    }

    /// Writes a document if it is valid with the current records in `set` and the stored record is
    /// as expected.
    pub async fn put(
        &self,
        set: &RecordSet,
        document: RecordDocument,
        expected: Expected,
    ) -> Result<CompletedWrite, WriteError> {
        self.put_with_kept_fields(set, document, expected, &[])
            .await
    }

    /// Deletes a record if no current record in `set` needs it and the stored record is as
    /// expected.
    pub async fn delete(
        &self,
        set: &RecordSet,
        key: &RecordKey,
        expected: Revision,
    ) -> Result<CompletedWrite, WriteError> {
        check(set, &RecordChange::Delete(key.clone())).map_err(WriteError::Refused)?;
        let plan = WritePlan {
            key: key.to_string(),
            expected: Expected::At(expected),
            value: None,
            history_start: expected,
        };
        self.write(plan).await
    }

    /// Replaces some fields of a record, starting from its current value in the key-value store; a
    /// null removes a field.
    pub async fn edit(
        &self,
        set: &RecordSet,
        key: &RecordKey,
        changes: &Map<String, Value>,
    ) -> Result<CompletedWrite, WriteError> {
        let entry = self.store.get(&key.to_string()).await;
        let entry = entry.map_err(WriteError::Store)?;
        let Some(entry) = entry else {
            return Err(WriteError::Missing(key.clone()));
        };
        let current = parse_with(&self.catalog, key.kind, &entry.value)?;
        let edited = current.edited(&self.catalog, changes)?;
        let kept = current.unknown_fields(&self.catalog);
        let expected = Expected::At(entry.revision);
        self.put_with_kept_fields(set, edited, expected, &kept)
            .await
    }

    /// Writes a document like [`Self::put`], but accepts the fields in `kept` although the
    /// document's schema version lacks them, because the record had them before.
    pub async fn put_with_kept_fields(
        &self,
        set: &RecordSet,
        document: RecordDocument,
        expected: Expected,
        kept: &[String],
    ) -> Result<CompletedWrite, WriteError> {
        self.check_unknown(&document, kept)?;
        let change = RecordChange::Put(Box::new(document.clone()));
        check(set, &change).map_err(WriteError::Refused)?;
        let write_id = format!("{:032x}", rand::rng().random::<u128>());
        let plan = WritePlan {
            key: document.key.to_string(),
            expected,
            value: Some(document.with_write_id(&write_id).to_json().into()),
            history_start: match expected {
                Expected::At(revision) => revision,
                Expected::Absent => set.revision,
            },
        };
        self.write(plan).await
    }

    /// Returns an error if the document has fields that its schema version lacks, except those in
    /// `kept`.
    fn check_unknown(&self, document: &RecordDocument, kept: &[String]) -> Result<(), WriteError> {
        let unknown = document.unknown_fields(&self.catalog);
        let added = unknown.into_iter().filter(|field| !kept.contains(field));
        let errors: Vec<_> = added
            .map(|field| CheckError {
                key: document.key.clone(),
                fault: FieldFault {
                    wanted: format!(
                        "a field of {} schema {}",
                        document.key.kind, document.version
                    ),
                    value: "an unknown field".to_owned(),
                    field,
                },
            })
            .collect();
        if errors.is_empty() {
            return Ok(());
        }
        Err(WriteError::Refused(errors))
    }

    async fn write(&self, plan: WritePlan) -> Result<CompletedWrite, WriteError> {
        match self.send(&plan).await {
            Ok(revision) => Ok(CompletedWrite {
                revision,
                value: plan.value,
                was_unknown: false,
            }),
            Err(StoreError::Conflict { .. }) => Err(self.read_conflict(&plan).await),
            Err(StoreError::Unknown { reason }) => self.resolve(&plan, reason).await,
            Err(error) => Err(WriteError::Store(error)),
        }
    }

    async fn send(&self, plan: &WritePlan) -> Result<Revision, StoreError> {
        match &plan.value {
            Some(value) => {
                let put = self
                    .store
                    .put(&plan.key, plan.expected, value.clone(), None);
                put.await
            }
            None => self.store.delete(&plan.key, plan.expected).await,
        }
    }

    async fn read_conflict(&self, plan: &WritePlan) -> WriteError {
        match self.store.get(&plan.key).await {
            Ok(current) => WriteError::Conflict { current },
            Err(error) => WriteError::Store(error),
        }
    }

    /// Resolves the outcome of a write whose outcome is unknown.
    async fn resolve(
        &self,
        plan: &WritePlan,
        reason: String,
    ) -> Result<CompletedWrite, WriteError> {
        let mut reason = reason;
        let mut delay = FIRST_RESOLVE_DELAY;
        for _ in 0..MAX_RESOLVE_ATTEMPTS {
            tokio::time::sleep(delay).await;
            delay *= 2;
            match self.query_outcome(plan).await {
                Ok(Some(resolved)) => return resolved,
                Ok(None) => reason = "the record is as it was; the write may still come".to_owned(),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(WriteError::Unresolved { reason })
    }

    /// Reads the key once, and sends the write again if that is safe. Returns `None` if the outcome
    /// is still unknown.
    async fn query_outcome(
        &self,
        plan: &WritePlan,
    ) -> Result<Option<Result<CompletedWrite, WriteError>>, StoreError> {
        let current = self.store.get(&plan.key).await?;
        let is_own = current
            .as_ref()
            .is_some_and(|entry| Some(&entry.value) == plan.value.as_ref());
        if let Some(entry) = current.as_ref().filter(|_| is_own) {
            return Ok(Some(Ok(plan.completed(entry.revision))));
        }
        if plan.expected == expected_for(current.as_ref()) {
            if plan.expected == Expected::Absent {
                return Ok(None);
            }
            return match self.send(plan).await {
                Ok(revision) => Ok(Some(Ok(plan.completed(revision)))),
                // The first copy took effect after all, or another write did.
                Err(StoreError::Conflict { .. }) => Ok(None),
                Err(error) => Err(error),
            };
        }
        self.search_history(plan, current).await.map(Some)
    }

    /// Searches the history for the write after the key has changed.
    async fn search_history(
        &self,
        plan: &WritePlan,
        current: Option<StoreEntry>,
    ) -> Result<Result<CompletedWrite, WriteError>, StoreError> {
        let history = self
            .store
            .watch(&plan.key, plan.history_start, Duration::ZERO);
        let events = match history.await {
            Ok(batch) => batch.events,
            Err(StoreError::Compacted { .. }) => {
                let reason = "another write came after, and the history is gone".to_owned();
                return Ok(Err(WriteError::Unresolved { reason }));
            }
            Err(error) => return Err(error),
        };
        let mut events = events.into_iter().filter(|event| event.key == plan.key);
        // A deletion expects a revision, so only the first change after that revision can be it.
        let own = match &plan.value {
            Some(_) => events.find(|event| event.value == plan.value),
            None => events.next().filter(|event| event.value.is_none()),
        };
        Ok(match own {
            Some(event) => Ok(plan.completed(event.revision)),
            None => Err(WriteError::Conflict { current }),
        })
    }
}

fn expected_for(current: Option<&StoreEntry>) -> Expected {
    current.map_or(Expected::Absent, |entry| Expected::At(entry.revision))
}

fn join_errors(errors: &[CheckError]) -> String {
    let lines: Vec<_> = errors.iter().map(CheckError::to_string).collect();
    lines.join("; ")
}

fn describe_current(current: Option<&StoreEntry>) -> String {
    match current {
        Some(entry) => format!("the record is now at revision {}", entry.revision),
        None => "the record is not there now".to_owned(),
    }
}
