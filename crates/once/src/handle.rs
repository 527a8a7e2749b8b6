//! The claim book as a running service: claims a key before the send, once over the fleet.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_platform::{Expected, KeyValueStore, StoreError};
use parking_lot::Mutex;

use crate::answer::{KeptAnswer, KeptResult};
use crate::book::{BookStep, ClaimOutcome, ClaimRecords};
use crate::gate::MonoClock;
use crate::hash::{BodyHash, KeyHash};
use crate::route::{ClaimEntry, ClaimReply, ClaimRoute, CommitPlace, NotWritten, ShardId};
use crate::settings::ClaimSettings;

/// A request's wish to claim a key.
#[derive(Debug, Clone, Copy)]
pub struct KeyClaim {
    /// The key in the scope of its customer.
    pub key: KeyHash,
    /// The hash of method, path and body.
    pub body: BodyHash,
    /// The request that claims.
    pub request: RequestId,
    /// When it arrived.
    pub arrived: MonoTime,
}

/// What the owner's book or the log says of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The owner's book knew it.
    Book(BookStep),
    /// The log was asked.
    Log(ClaimOutcome),
}

/// Starts claim books.
#[derive(Debug)]
pub struct ClaimBook;

impl ClaimBook {
    /// Starts the claim book of an instance.
    pub fn spawn(
        store: Arc<dyn KeyValueStore>,
        me: InstanceId,
        clock: Arc<dyn MonoClock>,
        route: Arc<dyn ClaimRoute>,
        settings: ClaimSettings,
    ) -> ClaimHandle {
        let records = ClaimRecords::new(me, settings.book_limits());
        let shared = ClaimShared {
            store,
            clock,
            route,
            settings,
            records: Mutex::new(records),
        };
        ClaimHandle {
            shared: Arc::new(shared),
        }
    }
}

struct ClaimShared {
    store: Arc<dyn KeyValueStore>,
    clock: Arc<dyn MonoClock>,
    route: Arc<dyn ClaimRoute>,
    settings: ClaimSettings,
    records: Mutex<ClaimRecords>,
}

/// The handle of a running claim book.
#[derive(Clone)]
pub struct ClaimHandle {
    shared: Arc<ClaimShared>,
}

impl ClaimHandle {
    /// Claims a key for a request, or tells what is known of it.
    pub async fn claim(&self, wish: KeyClaim) -> ClaimAnswer {
        let now = self.shared.clock.now();
        let step =
            self.shared
                .records
                .lock()
                .begin(wish.key, wish.body, wish.request, wish.arrived, now);
        if step != BookStep::Claim {
            return ClaimAnswer::Book(step);
        }
        let guard = AbandonGuard {
            shared: &self.shared,
            wish,
        };
        let entry = ClaimEntry {
            key: wish.key,
            body: wish.body,
            request: wish.request,
        };
        let wait = self.shared.settings.claim_wait;
        let reply = tokio::time::timeout(wait, self.reach_log(entry)).await;
        let reply = reply.unwrap_or(ClaimReply::Unknown);
        let now = self.shared.clock.now();
        let mut records = self.shared.records.lock();
        let outcome = records.settle(wish.key, wish.request, reply, now);
        drop(records);
        drop(guard);
        ClaimAnswer::Log(outcome)
    }

    async fn reach_log(&self, entry: ClaimEntry) -> ClaimReply {
        let shard = ShardId::of(entry.key, self.shared.settings.shards);
        if let CommitPlace::Peer(peer) = self.shared.route.place(shard) {
            let carried = self.shared.route.carry(peer, entry).await;
            if let Ok(reply) = carried {
                return reply;
            }
        }
        self.commit(entry).await
    }

    /// Commits a claim here, for this instance or for a peer.
    pub async fn commit(&self, entry: ClaimEntry) -> ClaimReply {
        let key = format!("claims/{}", entry.key);
        let value = postcard::to_allocvec(&entry).map(Bytes::from);
        let Ok(value) = value else {
            return ClaimReply::NotWritten(NotWritten::Overloaded);
        };
        let put = self.shared.store.put(&key, Expected::Absent, value, None);
        match put.await {
            Ok(_) => ClaimReply::Granted,
            Err(StoreError::Conflict { .. }) => self.read_holder(&key, entry).await,
            Err(error) if error.verdict() == Verdict::NotRun => {
                ClaimReply::NotWritten(NotWritten::StoreAway)
            }
            Err(_) => self.read_holder(&key, entry).await,
        }
    }

    async fn read_holder(&self, key: &str, entry: ClaimEntry) -> ClaimReply {
        let Ok(Some(found)) = self.shared.store.get(key).await else {
            return ClaimReply::Unknown;
        };
        match postcard::from_bytes::<ClaimEntry>(&found.value) {
            Ok(holder) if holder.request == entry.request => ClaimReply::Granted,
            Ok(holder) => ClaimReply::Taken {
                holder: holder.request,
                body: holder.body,
            },
            Err(_) => ClaimReply::Unknown,
        }
    }

    /// Records how a request under a claim ended.
    pub fn finish(
        &self,
        key: KeyHash,
        request: RequestId,
        verdict: Verdict,
        answer: Option<KeptAnswer>,
    ) {
        let mut records = self.shared.records.lock();
        records.finish(key, request, verdict, answer);
    }

    /// Returns the kept result under a key of ours.
    pub fn result(&self, key: KeyHash) -> Option<KeptResult> {
        self.shared.records.lock().result(key).cloned()
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        self.shared.records.lock().dump()
    }
}

impl fmt::Debug for ClaimHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.dump())
    }
}

/// Gives a claim up if its caller stops waiting for it.
struct AbandonGuard<'a> {
    shared: &'a ClaimShared,
    wish: KeyClaim,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        let mut records = self.shared.records.lock();
        records.abandon(self.wish.key, self.wish.request);
    }
}
