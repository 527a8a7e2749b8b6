//! The records in force at this entry VM, and how they get here.
//!
//! Every VM holds all records on a [`RecordReplica`], ordered by the store's revision only. One or
//! two VMs of a data centre read the store for all; the others get what is new from their peers,
//! and so does a VM that starts while the store is away, or a data centre that is cut off from
//! the store and not from its peers. VMs compare digests, and the one that is behind asks.
//!
//! Invariants: a revision that is in force here never goes back; what was learnt from a peer and
//! what was read from the store meet in the same board.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_operator::{ChangeDone, ChangeRefusal, FaultLine, RecordChange, RecordLine};
use oleander_peer::{PeerCall, PeerEndpoint, PeerMessage, PeerReply};
use oleander_platform::{Expected, KeyValueStore, RecordWriter, StoreError, WriteDone, WriteError};
use oleander_records::{
    DigestOrder, RecordDelivery, RecordDelta, RecordDigest, RecordDocument, RecordKey, RecordKind,
    RecordReplica, RecordSet, SchemaCatalog, parse_document,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::node::EntryNode;

/// The most bytes of one delta.
const DELTA_LIMIT: usize = 256 * 1024;
/// How long a peer has for a delta.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct FeedState {
    board: RecordReplica,
    /// When a peer is being asked for what is missing, so that it is asked once at a time.
    fetching: bool,
    /// When a reader of this data centre last reached the store, as far as this VM knows.
    contact: Option<MonoTime>,
    /// What the VM list said at that time.
    leaving: FastSet<BackendId>,
    /// Whether this VM is a reader now.
    reading: bool,
}

/// What VMs tell each other of their records.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RecordGossip {
    digest: RecordDigest,
    /// How long ago a reader that the sender knows of reached the store.
    contact_age: Option<Span>,
    /// Backend servers that the VM list called leaving when that reader read it.
    leaving: Vec<BackendId>,
}

/// The records of one entry VM.
pub struct RecordFeed {
    node: Arc<EntryNode>,
    peers: PeerEndpoint,
    store: Arc<dyn KeyValueStore>,
    state: Mutex<FeedState>,
    publishing: Mutex<()>,
}

impl fmt::Debug for RecordFeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RecordFeed")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl RecordFeed {
    /// Makes a feed without records.
    pub fn new(node: Arc<EntryNode>, peers: PeerEndpoint, store: Arc<dyn KeyValueStore>) -> Self {
        Self {
            node,
            peers,
            store,
            state: Mutex::new(FeedState::default()),
            publishing: Mutex::new(()),
        }
    }

    /// Changes the board, and puts what changed into force.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut RecordReplica) -> R) -> R {
        let mut state = self.state.lock();
        let before = state.board.digest();
        let result = change(&mut state.board);
        let after = state.board.digest();
        if after == before {
            return result;
        }
        drop(state);
        self.put_in_force();
        result
    }

    /// Puts the newest set of the board into force.
    ///
    /// One thread at a time does so and reads the board inside, so that an older set cannot
    /// follow a newer one.
    fn put_in_force(&self) {
        let _publishing = self.publishing.lock();
        let mut state = self.state.lock();
        let after = state.board.digest();
        let set = state.board.set();
        drop(state);
        if !Arc::ptr_eq(&set, &self.node.view().records) {
            self.node.set_records(set);
        }
        self.node.set_informed(after.revision);
        self.peers.set_revision(after.revision);
        self.spread(after);
        if self.node.life.begin_serving() {
            self.node.changes.note(
                "requests are served",
                format!("records up to {} are in force", after.revision),
            );
            self.peers.serve();
        }
    }

    /// Tells the peers of this data centre and one of each other one which records are here.
    fn spread(&self, digest: RecordDigest) {
        let now = monotonic_now();
        let state = self.state.lock();
        let contact_age = state.contact.map(|contact| now.since(contact));
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
    pub(crate) fn spread_again(&self) {
        let digest = self.state.lock().board.digest();
        self.spread(digest);
    }

    /// Compares a peer's digest with the board, and asks the peer if it knows more.
    pub(crate) fn on_gossip(self: &Arc<Self>, from: InstanceId, bytes: &[u8]) {
        let Ok(gossip) = postcard::from_bytes::<RecordGossip>(bytes) else {
            return;
        };
        let mut state = self.state.lock();
        if let Some(age) = gossip.contact_age {
            let contact = monotonic_now() - age;
            if state.contact.is_none_or(|known| known < contact) {
                state.contact = Some(contact);
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
        let order = self.meet(gossip.digest);
        let wanted = matches!(order, DigestOrder::PeerAhead | DigestOrder::Diverged);
        let mut state = self.state.lock();
        if !wanted || state.fetching {
            return;
        }
        state.fetching = true;
        drop(state);
        let feed = Arc::clone(self);
        tokio::spawn(async move {
            feed.fetch_from(from, order).await;
            feed.state.lock().fetching = false;
        });
    }

    /// Compares a peer's digest with the board, which may learn a higher revision from it.
    fn meet(&self, digest: RecordDigest) -> DigestOrder {
        let mut state = self.state.lock();
        let before = state.board.synced_revision();
        let order = state.board.compare_and_advance(digest);
        let informed = state.board.synced_revision();
        drop(state);
        if informed > before {
            self.node.set_informed(informed);
            self.peers.set_revision(informed);
        }
        order
    }

    /// Asks a peer for what this board lacks, until there is no more.
    async fn fetch_from(&self, peer: InstanceId, order: DigestOrder) {
        let mut whole = order == DigestOrder::Diverged;
        loop {
            let since = self.state.lock().board.synced_revision();
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
            let outcome = self.update(|board| board.merge(&delta));
            if outcome.has_gap && !whole {
                whole = true;
                continue;
            }
            if whole || outcome.changed == 0 {
                return;
            }
        }
    }

    /// Notes that this VM reached the store.
    pub(crate) fn note_contact(&self) {
        self.state.lock().contact = Some(monotonic_now());
    }

    /// Notes what the VM list says of backend servers.
    pub(crate) fn note_leaving(&self, leaving: FastSet<BackendId>) {
        let mut state = self.state.lock();
        state.contact = Some(monotonic_now());
        if state.leaving == leaving {
            return;
        }
        state.leaving.clone_from(&leaving);
        drop(state);
        self.node.set_listed_leaving(leaving);
        self.spread_again();
    }

    /// Notes whether this VM reads the platform for its data centre.
    pub(crate) fn set_reading(&self, reading: bool) {
        self.state.lock().reading = reading;
    }

    /// Returns whether this VM reads the platform for its data centre.
    pub(crate) fn is_reader(&self) -> bool {
        self.state.lock().reading
    }

    /// Returns how long ago a reader of this data centre reached the store.
    pub(crate) fn contact_age(&self) -> Span {
        let now = monotonic_now();
        let contact = self.state.lock().contact;
        contact.map_or(Span(now.0), |contact| now.since(contact))
    }

    /// Returns the revision up to which every record is known here.
    pub(crate) fn informed(&self) -> Revision {
        self.state.lock().board.synced_revision()
    }

    /// Returns the changes after a peer's revision.
    pub(crate) fn delta_after(&self, after: &[u8]) -> Bytes {
        let since = postcard::from_bytes::<Revision>(after).unwrap_or_default();
        let delta = self.state.lock().board.delta(since, DELTA_LIMIT);
        postcard::to_allocvec(&delta)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Returns a copy of the whole board.
    pub(crate) fn snapshot(&self) -> Bytes {
        let delta = self.state.lock().board.full_copy();
        postcard::to_allocvec(&delta)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Returns the records that are not in force because they cannot be read.
    pub fn faults(&self) -> Vec<FaultLine> {
        let faults = self.state.lock().board.faults();
        let line = |fault: oleander_records::RecordFault| FaultLine {
            key: fault.key.to_string(),
            message: fault.problem,
        };
        faults.into_iter().map(line).collect()
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        self.state.lock().board.dump()
    }

    /// Returns the documents in force.
    pub fn lines(&self) -> Vec<RecordLine> {
        let state = self.state.lock();
        let line = |key: &RecordKey| {
            let (revision, document) = state.board.document(key)?;
            Some(RecordLine {
                kind: key.kind.as_str().to_owned(),
                name: key.name.clone(),
                revision: revision.0,
                document: document.to_json(),
            })
        };
        state.board.keys().filter_map(line).collect()
    }

    /// Checks a change against the records in force.
    pub fn check(&self, change: &RecordChange) -> Result<(), ChangeRefusal> {
        self.checked(change).map(drop)
    }

    fn checked(&self, change: &RecordChange) -> Result<CheckedChange, ChangeRefusal> {
        let kind: RecordKind = change.kind.parse().map_err(invalid)?;
        let key = RecordKey::new(kind, &change.name).map_err(invalid)?;
        let wish = match &change.document {
            None => oleander_records::RecordChange::Delete(key.clone()),
            Some(text) => {
                let document = parse_document(kind, text.as_bytes()).map_err(invalid)?;
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
        oleander_records::check(&set, &wish).map_err(|errors| ChangeRefusal::Invalid {
            messages: errors.iter().map(ToString::to_string).collect(),
        })?;
        let document = match wish {
            oleander_records::RecordChange::Put(document) => Some(*document),
            oleander_records::RecordChange::Delete(_) => None,
        };
        Ok(CheckedChange { key, document, set })
    }

    /// Makes a change by compare-and-swap and puts it into force here at once.
    ///
    /// An unknown outcome is settled by reading the key again, within the writer's time limit.
    pub async fn change(&self, change: RecordChange) -> Result<ChangeDone, ChangeRefusal> {
        let checked = self.checked(&change)?;
        let done = self.write(&checked, change.expected.map(Revision)).await?;
        let key = checked.key.to_string();
        let text = done.value.as_deref();
        let revision = done.revision;
        self.update(|board| {
            board.apply(&RecordDelivery {
                key: &key,
                revision,
                text,
            })
        });
        self.node.changes.note(
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
    ) -> Result<WriteDone, ChangeRefusal> {
        let writer = RecordWriter::new(Arc::clone(&self.store), SchemaCatalog::current());
        let set = &checked.set;
        let written = match (&checked.document, expected) {
            (Some(document), expected) => {
                let kept = self.kept_fields(&checked.key);
                let expected = expected.map_or(Expected::Absent, Expected::At);
                let put = writer.put_over(set, document.clone(), expected, &kept);
                put.await
            }
            (None, Some(revision)) => writer.delete(set, &checked.key, revision).await,
            (None, None) => {
                let message = "`expected`: a deletion needs the revision that was seen";
                return Err(invalid(message));
            }
        };
        written.map_err(write_refusal)
    }

    /// Returns the fields of a record in force that its own schema version does not have.
    fn kept_fields(&self, key: &RecordKey) -> Vec<String> {
        let state = self.state.lock();
        let current = state.board.document(key);
        current.map_or_else(Vec::new, |(_, document)| {
            document.unknown_fields(&SchemaCatalog::current())
        })
    }
}

/// A change that was found to be right.
struct CheckedChange {
    key: RecordKey,
    document: Option<RecordDocument>,
    /// The records in force that it was checked against.
    set: Arc<RecordSet>,
}

fn invalid(error: impl fmt::Display) -> ChangeRefusal {
    ChangeRefusal::Invalid {
        messages: vec![error.to_string()],
    }
}

fn write_refusal(error: WriteError) -> ChangeRefusal {
    match error {
        WriteError::Refused(errors) => ChangeRefusal::Invalid {
            messages: errors.iter().map(ToString::to_string).collect(),
        },
        WriteError::Document(error) => invalid(error),
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
        WriteError::Unsettled { reason } => ChangeRefusal::Unknown { reason },
    }
}
