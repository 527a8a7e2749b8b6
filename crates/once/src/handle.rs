//! The claim book as a running service: claims a key before the send, once over the fleet.

use std::fmt::{self, Write as _};
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_platform::KeyValueStore;
use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::answer::{KeptAnswer, KeptResult};
use crate::book::ClaimRecords;
use crate::door::{ShardDoor, ShardParts};
use crate::gate::MonoClock;
use crate::hash::{BodyHash, KeyHash};
use crate::health::{ProbePlan, StoreHealth, probe_store};
use crate::outcome::{BookStep, ClaimOutcome};
use crate::route::{ClaimEntry, ClaimReply, ClaimRoute, CommitPlace, NotWritten, ShardId};
use crate::settings::ClaimSettings;
use crate::shard::LAYOUT_KEY;
use crate::stats::{ClaimCounters, ClaimStats};

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
        let counters = Arc::new(ClaimCounters::default());
        let health = Arc::new(StoreHealth::default());
        let plan = ProbePlan {
            key: LAYOUT_KEY,
            interval: settings.probe_interval,
            limit: settings.store_timeout,
        };
        let probe = probe_store(Arc::clone(&health), Arc::clone(&store), plan);
        let probe = tokio::spawn(probe).abort_handle();
        let parts = Arc::new(ShardParts {
            store,
            clock: Arc::clone(&clock),
            settings,
            counters: Arc::clone(&counters),
            health: Arc::clone(&health),
        });
        let shards = (0..settings.shards.max(1))
            .map(|shard| ShardDoor::spawn(ShardId(shard), Arc::clone(&parts)))
            .collect();
        let shared = ClaimShared {
            clock,
            route,
            settings,
            counters,
            health,
            probe,
            shards,
            records: Mutex::new(records),
        };
        ClaimHandle {
            shared: Arc::new(shared),
        }
    }
}

struct ClaimShared {
    clock: Arc<dyn MonoClock>,
    route: Arc<dyn ClaimRoute>,
    settings: ClaimSettings,
    counters: Arc<ClaimCounters>,
    health: Arc<StoreHealth>,
    probe: AbortHandle,
    shards: Vec<ShardDoor>,
    records: Mutex<ClaimRecords>,
}

impl Drop for ClaimShared {
    fn drop(&mut self) {
        self.probe.abort();
    }
}

/// The handle of a running claim book.
#[derive(Clone)]
pub struct ClaimHandle {
    shared: Arc<ClaimShared>,
}

impl ClaimHandle {
    /// Claims a key for a request, or tells what is known of it.
    ///
    /// A caller that drops the future gives the claim up: the request is never sent under it.
    pub async fn claim(&self, wish: KeyClaim) -> ClaimAnswer {
        let step = self.begin(&wish);
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
        let reply = timeout(wait, self.reach_log(entry)).await;
        let outcome = self.settle(&wish, reply.unwrap_or(ClaimReply::Unknown));
        drop(guard);
        ClaimAnswer::Log(outcome)
    }

    fn begin(&self, wish: &KeyClaim) -> BookStep {
        let now = self.shared.clock.now();
        let mut records = self.shared.records.lock();
        records.begin(wish.key, wish.body, wish.request, wish.arrived, now)
    }

    fn settle(&self, wish: &KeyClaim, reply: ClaimReply) -> ClaimOutcome {
        let now = self.shared.clock.now();
        let mut records = self.shared.records.lock();
        records.settle(wish.key, wish.request, reply, now)
    }

    /// Asks the shard's committer, and commits here where it gives no certain reply.
    ///
    /// The same claim may so be written by two committers; the log takes it once, since its
    /// request's id is the same.
    async fn reach_log(&self, entry: ClaimEntry) -> ClaimReply {
        let shard = ShardId::of(entry.key, self.shared.settings.shards);
        self.shared.counters.claims.add(1);
        let mut is_unsettled = false;
        if let CommitPlace::Peer(peer) = self.shared.route.place(shard) {
            match self.carry(peer, entry).await {
                reply @ (ClaimReply::Granted | ClaimReply::Taken { .. }) => return reply,
                ClaimReply::Unknown => is_unsettled = true,
                ClaimReply::NotWritten(_) => {}
            }
        }
        match self.commit(entry).await {
            ClaimReply::NotWritten(_) if is_unsettled => ClaimReply::Unknown,
            reply => reply,
        }
    }

    async fn carry(&self, peer: InstanceId, entry: ClaimEntry) -> ClaimReply {
        self.shared.counters.carried.add(1);
        let wait = self.shared.settings.claim_wait / 2;
        match timeout(wait, self.shared.route.carry(peer, entry)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => ClaimReply::Unknown,
        }
    }

    /// Commits a claim here, for this instance or for a peer.
    pub async fn commit(&self, entry: ClaimEntry) -> ClaimReply {
        let shard = ShardId::of(entry.key, self.shared.settings.shards);
        match self.shared.shards.get(usize::from(shard.0)) {
            Some(door) => door.commit(entry).await,
            None => ClaimReply::NotWritten(NotWritten::StoreAway),
        }
    }

    /// Returns the counters of this instance's part in the log.
    pub fn stats(&self) -> ClaimStats {
        self.shared.counters.read()
    }

    /// Returns how long after its arrival a request with a key may be sent.
    pub fn send_limit(&self) -> Span {
        self.shared.settings.send_limit
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
        let mut text = self.shared.records.lock().dump();
        if self.shared.health.is_away() {
            text.push_str("the key-value service is away\n");
        }
        for (shard, door) in self.shared.shards.iter().enumerate() {
            let _ = writeln!(text, "claim log shard{shard}: {}", door.dump());
        }
        text
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
