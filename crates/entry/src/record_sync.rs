//! Keeps the records of this entry VM in sync with the key-value store and with its peers.
//!
//! Every VM holds all records in a [`RecordReplica`], ordered only by the store's revision. One or
//! two VMs of each data centre read the store; the others get changes from their peers. So do a VM
//! that starts while the store is unavailable, and a data centre that reaches its peers but not the
//! store. VMs compare digests, and the one that is behind fetches what it lacks.
//!
//! Invariants: a revision in force here never goes back; changes from peers and from the store are
//! merged into the same replica.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_operator::{ChangeDone, ChangeRefusal, FaultLine, RecordChange, RecordLine};
use oleander_peer::{PeerCall, PeerEndpoint, PeerMessage, PeerReply};
use oleander_platform::{
    CompletedWrite, Expected, KeyValueStore, RecordWriter, StoreError, WriteError,
};
use oleander_records::{
    DigestOrder, RecordDelivery, RecordDelta, RecordDigest, RecordDocument, RecordKey, RecordKind,
    RecordReplica, RecordSet, SchemaCatalog, parse_document,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::node::EntryNode;

/// Limit on the size of one delta, in bytes.
const DELTA_LIMIT: usize = 256 * 1024;
/// Timeout for fetching a delta from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct SyncState {
    replica: RecordReplica,
    /// Whether a fetch from a peer is in progress; only one runs at a time.
    fetching: bool,
    /// The time at which any reader last reached the store, as far as this VM knows.
    store_contact: Option<MonoTime>,
    /// Backend servers that the VM list called leaving, as last known.
    leaving: FastSet<BackendId>,
    /// Whether this VM reads the store for its data centre.
    reading: bool,
}

/// The message by which VMs compare their records.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RecordGossip {
    digest: RecordDigest,
    /// Time since a reader that the sender knows of reached the store.
    contact_age: Option<Span>,
    /// Backend servers that the VM list called leaving when that reader read it.
    leaving: Vec<BackendId>,
}

/// Keeps the records of one entry VM in sync.
pub struct RecordSync {
    node: Arc<EntryNode>,
    peers: PeerEndpoint,
    store: Arc<dyn KeyValueStore>,
    state: Mutex<SyncState>,
    publishing: Mutex<()>,
}

impl fmt::Debug for RecordSync {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RecordSync")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl RecordSync {
    /// Creates the state of a VM without records.
    pub fn new(node: Arc<EntryNode>, peers: PeerEndpoint, store: Arc<dyn KeyValueStore>) -> Self {
        Self {
            node,
            peers,
            store,
            state: Mutex::new(SyncState::default()),
            publishing: Mutex::new(()),
        }
    }

    /// Applies a change to the replica and publishes the records if it changed them.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut RecordReplica) -> R) -> R {
        let mut state = self.state.lock();
        let before = state.replica.digest();
        let result = change(&mut state.replica);
        let after = state.replica.digest();
        if after == before {
            return result;
        }
        drop(state);
        self.publish_records();
        result
    }

    /// Puts the current records of the replica into force.
    ///
    /// Publishing is serialized and reads the replica under its lock, so that an older set cannot
    /// replace a newer one.
    fn publish_records(&self) {
        let _publishing = self.publishing.lock();
        let mut state = self.state.lock();
        let after = state.replica.digest();
        let set = state.replica.set();
        drop(state);
        if !Arc::ptr_eq(&set, &self.node.view().records) {
            self.node.set_records(set);
        }
        self.node.set_known_revision(after.revision);
        self.peers.set_revision(after.revision);
        self.broadcast_digest(after);
        if self.node.life.begin_serving() {
            self.node.changes.record(
                "requests are served",
                format!("records up to {} are in force", after.revision),
            );
            self.peers.serve();
        }
    }

    /// Sends the digest to the peers of this data centre and to one peer of each other data centre.
    fn broadcast_digest(&self, digest: RecordDigest) {
        let now = monotonic_now();
        let state = self.state.lock();
        let contact_age = state
            .store_contact
            .map(|store_contact| now.since(store_contact));
        let leaving = state.leaving.iter().copied().collect();
        drop(state);
        let gossip = RecordGossip {
            digest,
            contact_age,
            leaving,
        };
        let Ok(bytes) = postcard::to_allocvec(&gossip) else {
            return;
        };
        let message = PeerMessage::Records(Bytes::from(bytes));
        for instance in self.node.gossip_targets() {
            self.peers.send(instance, &message);
        }
    }

    /// Repeats the digest, so that a VM that missed it catches up.
    pub(crate) fn rebroadcast_digest(&self) {
        let digest = self.state.lock().replica.digest();
        self.broadcast_digest(digest);
    }

    /// Compares a peer's digest with the replica, and fetches from the peer if it knows more.
    pub(crate) fn on_gossip(self: &Arc<Self>, from: InstanceId, bytes: &[u8]) {
        let Ok(gossip) = postcard::from_bytes::<RecordGossip>(bytes) else {
            return;
        };
        let mut state = self.state.lock();
        if let Some(age) = gossip.contact_age {
            let store_contact = monotonic_now() - age;
            if state
                .store_contact
                .is_none_or(|known| known < store_contact)
            {
                state.store_contact = Some(store_contact);
                let leaving: FastSet<BackendId> = gossip.leaving.iter().copied().collect();
                if state.leaving != leaving {
                    state.leaving.clone_from(&leaving);
                    drop(state);
                    self.node.set_listed_leaving(leaving);
                    state = self.state.lock();
                }
            }
        }
        drop(state);
        let order = self.compare_digest(gossip.digest);
        let wanted = matches!(order, DigestOrder::PeerAhead | DigestOrder::Diverged);
        let mut state = self.state.lock();
        if !wanted || state.fetching {
            return;
        }
        state.fetching = true;
        drop(state);
        let sync = Arc::clone(self);
        tokio::spawn(async move {
            sync.fetch_from(from, order).await;
            sync.state.lock().fetching = false;
        });
    }

    /// Compares a peer's digest with the replica, which may learn a higher revision from it.
    fn compare_digest(&self, digest: RecordDigest) -> DigestOrder {
        let mut state = self.state.lock();
        let before = state.replica.synced_revision();
        let order = state.replica.compare_and_advance(digest);
        let synced = state.replica.synced_revision();
        drop(state);
        if synced > before {
            self.node.set_known_revision(synced);
            self.peers.set_revision(synced);
        }
        order
    }

    /// Fetches from a peer until the replica lacks nothing that the peer has.
    async fn fetch_from(&self, peer: InstanceId, order: DigestOrder) {
        let mut whole = order == DigestOrder::Diverged;
        loop {
            let since = self.state.lock().replica.synced_revision();
            let call = if whole {
                PeerCall::FetchSnapshot(Bytes::new())
            } else {
                PeerCall::FetchRecords(postcard::to_allocvec(&since).unwrap_or_default().into())
            };
            let Ok(PeerReply::Answer(bytes)) = self.peers.call(peer, call, FETCH_TIMEOUT).await
            else {
                return;
            };
            let Ok(delta) = postcard::from_bytes::<RecordDelta>(&bytes) else {
                return;
            };
            let outcome = self.update(|replica| replica.merge(&delta));
            if outcome.has_gap && !whole {
                whole = true;
                continue;
            }
            if whole || outcome.changed == 0 {
                return;
            }
        }
    }

    /// Records that this VM reached the store.
    pub(crate) fn on_store_contact(&self) {
        self.state.lock().store_contact = Some(monotonic_now());
    }

    /// Applies the set of backend servers that the VM list calls leaving.
    pub(crate) fn on_listed_leaving(&self, leaving: FastSet<BackendId>) {
        let mut state = self.state.lock();
        state.store_contact = Some(monotonic_now());
        if state.leaving == leaving {
            return;
        }
        state.leaving.clone_from(&leaving);
        drop(state);
        self.node.set_listed_leaving(leaving);
        self.rebroadcast_digest();
    }

    /// Sets whether this VM reads the platform for its data centre.
    pub(crate) fn set_reading(&self, reading: bool) {
        self.state.lock().reading = reading;
    }

    /// Returns whether this VM reads the platform for its data centre.
    pub(crate) fn is_reader(&self) -> bool {
        self.state.lock().reading
    }

    /// Returns the time since any known reader reached the store, or since the clock's origin if
    /// none has.
    pub(crate) fn contact_age(&self) -> Span {
        let now = monotonic_now();
        let store_contact = self.state.lock().store_contact;
        store_contact.map_or(Span(now.0), |store_contact| now.since(store_contact))
    }

    /// Returns the revision up to which every record is known here.
    pub(crate) fn known_revision(&self) -> Revision {
        self.state.lock().replica.synced_revision()
    }

    /// Returns the encoded changes after a peer's revision.
    pub(crate) fn delta_after(&self, after: &[u8]) -> Bytes {
        let since = postcard::from_bytes::<Revision>(after).unwrap_or_default();
        let delta = self.state.lock().replica.delta(since, DELTA_LIMIT);
        postcard::to_allocvec(&delta)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Returns an encoded copy of the whole replica.
    pub(crate) fn snapshot(&self) -> Bytes {
        let delta = self.state.lock().replica.full_copy();
        postcard::to_allocvec(&delta)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Returns the records that cannot be parsed and are therefore not in force.
    pub fn faults(&self) -> Vec<FaultLine> {
        let faults = self.state.lock().replica.faults();
        let line = |fault: oleander_records::RecordFault| FaultLine {
            key: fault.key.to_string(),
            message: fault.problem,
        };
        faults.into_iter().map(line).collect()
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        self.state.lock().replica.dump()
    }

    /// Returns the documents in force.
    pub fn lines(&self) -> Vec<RecordLine> {
        let state = self.state.lock();
        let line = |key: &RecordKey| {
            let (revision, document) = state.replica.document(key)?;
            Some(RecordLine {
                kind: key.kind.as_str().to_owned(),
                name: key.name.clone(),
                revision: revision.0,
                document: document.to_json(),
            })
        };
        state.replica.keys().filter_map(line).collect()
    }

    /// Validates a change against the records in force.
    pub fn check(&self, change: &RecordChange) -> Result<(), ChangeRefusal> {
        self.validate(change).map(drop)
    }

    fn validate(&self, change: &RecordChange) -> Result<CheckedChange, ChangeRefusal> {
        let kind: RecordKind = change.kind.parse().map_err(invalid_change)?;
        let key = RecordKey::new(kind, &change.name).map_err(invalid_change)?;
        let requested = match &change.document {
            None => oleander_records::RecordChange::Delete(key.clone()),
            Some(text) => {
                let document = parse_document(kind, text.as_bytes()).map_err(invalid_change)?;
                if document.key != key {
                    let message = format!("the document is of {}, not of {key}", document.key);
                    return Err(ChangeRefusal::Invalid {
                        messages: vec![message],
                    });
                }
                oleander_records::RecordChange::Put(Box::new(document))
            }
        };
        let set = Arc::clone(&self.node.view().records);
        oleander_records::check(&set, &requested).map_err(|errors| ChangeRefusal::Invalid {
            messages: errors.iter().map(ToString::to_string).collect(),
        })?;
        let document = match requested {
            oleander_records::RecordChange::Put(document) => Some(*document),
            oleander_records::RecordChange::Delete(_) => None,
        };
        Ok(CheckedChange { key, document, set })
    }

    /// Writes a change by compare-and-swap and puts it into force here at once.
    ///
    /// An unknown outcome is resolved by reading the key again, within the writer's time limit.
    pub async fn change(&self, change: RecordChange) -> Result<ChangeDone, ChangeRefusal> {
        let checked = self.validate(&change)?;
        let done = self.write(&checked, change.expected.map(Revision)).await?;
        let key = checked.key.to_string();
        let text = done.value.as_deref();
        let revision = done.revision;
        self.update(|replica| {
            replica.apply(&RecordDelivery {
                key: &key,
                revision,
                text,
            })
        });
        self.node.changes.record(
            format!("record {key} is at revision {revision}"),
            if text.is_some() {
                "an operator wrote it here"
            } else {
                "an operator deleted it here"
            },
        );
        Ok(ChangeDone {
            revision: revision.0,
            was_unknown: done.was_unknown,
        })
    }

    async fn write(
        &self,
        checked: &CheckedChange,
        expected: Option<Revision>,
    ) -> Result<CompletedWrite, ChangeRefusal> {
        let writer = RecordWriter::new(Arc::clone(&self.store), SchemaCatalog::current());
        let set = &checked.set;
        let written = match (&checked.document, expected) {
            (Some(document), expected) => {
                let kept = self.preserved_fields(&checked.key);
                let expected = expected.map_or(Expected::Absent, Expected::At);
                let put = writer.put_with_kept_fields(set, document.clone(), expected, &kept);
                put.await
            }
            (None, Some(revision)) => writer.delete(set, &checked.key, revision).await,
            (None, None) => {
                let message = "`expected`: a deletion needs the revision that was seen";
                return Err(invalid_change(message));
            }
        };
        written.map_err(write_refusal)
    }

    /// Returns the fields of the record in force that its own schema version does not define.
    fn preserved_fields(&self, key: &RecordKey) -> Vec<String> {
        let state = self.state.lock();
        let current = state.replica.document(key);
        current.map_or_else(Vec::new, |(_, document)| {
            document.unknown_fields(&SchemaCatalog::current())
        })
    }
}

/// A change that passed validation.
struct CheckedChange {
    key: RecordKey,
    document: Option<RecordDocument>,
    /// The records in force that it was validated against.
    set: Arc<RecordSet>,
}

/// Returns the refusal of a change that is not valid.
pub fn invalid_change(error: impl fmt::Display) -> ChangeRefusal {
    ChangeRefusal::Invalid {
        messages: vec![error.to_string()],
    }
}

/// Returns the refusal of a change that could not be written.
pub fn write_refusal(error: WriteError) -> ChangeRefusal {
    match error {
        WriteError::Refused(errors) => ChangeRefusal::Invalid {
            messages: errors.iter().map(ToString::to_string).collect(),
        },
        WriteError::Document(error) => invalid_change(error),
        WriteError::Missing(_) => ChangeRefusal::Conflict { current: None },
        WriteError::Conflict { current } => ChangeRefusal::Conflict {
            current: current.map(|entry| entry.revision.0),
        },
        WriteError::Store(StoreError::Conflict { current }) => ChangeRefusal::Conflict {
            current: current.map(|revision| revision.0),
        },
        WriteError::Store(error) => ChangeRefusal::Unavailable {
            reason: error.to_string(),
        },
        WriteError::Unresolved { reason } => ChangeRefusal::Unknown { reason },
    }
}
