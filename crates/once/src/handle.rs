//! The running claim table, which claims a key before the send, once across the fleet.

use std::fmt::{self, Write as _};
use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_platform::KeyValueStore;
use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::answer::{KeptAnswer, KeptResult};
use crate::deadline::MonoClock;
use crate::hash::{BodyHash, KeyHash};
use crate::health::{ProbePlan, StoreHealth, probe_store};
use crate::outcome::{ClaimDecision, ClaimOutcome};
use crate::route::{ClaimEntry, ClaimReply, ClaimRoute, CommitLocation, NotWritten, ShardId};
use crate::settings::ClaimSettings;
use crate::shard::LAYOUT_KEY;
use crate::shard_handle::{ShardContext, ShardHandle};
use crate::stats::{ClaimCounters, ClaimStats};
use crate::table::ClaimRecords;

/// Describes a request that claims a key.
#[derive(Debug, Clone, Copy)]
pub struct KeyClaim {
    /// The hash of the key and its customer.
    pub key: KeyHash,
    /// The hash of method, path and body.
    pub body: BodyHash,
    /// The request that claims the key.
    pub request: RequestId,
    /// When the request arrived.
    pub arrived: MonoTime,
}

/// Holds the answer to a claim, from the local table or from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The local table decided.
    Table(ClaimDecision),
    /// The claim was sent to the log, with this outcome.
    Log(ClaimOutcome),
}

/// Starts the claim table of an instance.
#[derive(Debug)]
pub struct ClaimTable;

impl ClaimTable {
    /// Spawns the tasks of a claim table and returns its handle.
    pub fn spawn(
        store: Arc<dyn KeyValueStore>,
        me: InstanceId,
        clock: Arc<dyn MonoClock>,
        route: Arc<dyn ClaimRoute>,
        settings: ClaimSettings,
    ) -> ClaimHandle {
        let records = ClaimRecords::new(me, settings.table_limits());
        let counters = Arc::new(ClaimCounters::default());
        let health = Arc::new(StoreHealth::default());
        let plan = ProbePlan {
            key: LAYOUT_KEY,
            interval: settings.probe_interval,
            limit: settings.store_timeout,
        };
        let probe = probe_store(Arc::clone(&health), Arc::clone(&store), plan);
        let probe = tokio::spawn(probe).abort_handle();
        let context = Arc::new(ShardContext {
            store,
            clock: Arc::clone(&clock),
            settings,
            counters: Arc::clone(&counters),
            health: Arc::clone(&health),
        });
        let shards = (0..settings.shards.max(1))
            .map(|shard| ShardHandle::spawn(ShardId(shard), Arc::clone(&context)))
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
    shards: Vec<ShardHandle>,
    records: Mutex<ClaimRecords>,
}

impl Drop for ClaimShared {
    fn drop(&mut self) {
        self.probe.abort();
    }
}

/// Controls a running claim table; clones share it.
#[derive(Clone)]
pub struct ClaimHandle {
    shared: Arc<ClaimShared>,
}

impl ClaimHandle {
    /// Claims a key for a request, or returns what is known of an earlier claim.
    ///
    /// Dropping the future abandons the claim: the request is never sent under it.
    pub async fn claim(&self, claim: KeyClaim) -> ClaimAnswer {
        let decision = self.begin(&claim);
        if decision != ClaimDecision::Claim {
            return ClaimAnswer::Table(decision);
        }
        let guard = AbandonGuard {
            shared: &self.shared,
            claim,
        };
        let entry = ClaimEntry {
            key: claim.key,
            body: claim.body,
            request: claim.request,
        };
        let wait = self.shared.settings.claim_wait;
        let reply = timeout(wait, self.reach_log(entry)).await;
        let outcome = self.resolve(&claim, reply.unwrap_or(ClaimReply::Unknown));
        drop(guard);
        ClaimAnswer::Log(outcome)
    }

    fn begin(&self, claim: &KeyClaim) -> ClaimDecision {
        let now = self.shared.clock.now();
        let mut records = self.shared.records.lock();
        records.begin(claim.key, claim.body, claim.request, claim.arrived, now)
    }

    fn resolve(&self, claim: &KeyClaim, reply: ClaimReply) -> ClaimOutcome {
        let now = self.shared.clock.now();
        let mut records = self.shared.records.lock();
        records.resolve(claim.key, claim.request, reply, now)
    }

    /// Asks the shard's committer, and commits locally unless it replies who holds the key.
    ///
    /// Two committers may then write the same claim. The log accepts it once, because both copies
    /// carry the same request id.
    async fn reach_log(&self, entry: ClaimEntry) -> ClaimReply {
        let shard = ShardId::of(entry.key, self.shared.settings.shards);
        self.shared.counters.claims.add(1);
        let mut is_unresolved = false;
        if let CommitLocation::Peer(peer) = self.shared.route.locate(shard) {
            match self.forward(peer, entry).await {
                reply @ (ClaimReply::Granted | ClaimReply::Taken { .. }) => return reply,
                ClaimReply::Unknown => is_unresolved = true,
                ClaimReply::NotWritten(_) => {}
            }
        }
        match self.commit(entry).await {
            ClaimReply::NotWritten(_) if is_unresolved => ClaimReply::Unknown,
            reply => reply,
        }
    }

    async fn forward(&self, peer: InstanceId, entry: ClaimEntry) -> ClaimReply {
        self.shared.counters.forwarded.add(1);
        let wait = self.shared.settings.claim_wait / 2;
        match timeout(wait, self.shared.route.forward(peer, entry)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => ClaimReply::Unknown,
        }
    }

    /// Commits a claim locally, on behalf of this instance or of a peer.
    pub async fn commit(&self, entry: ClaimEntry) -> ClaimReply {
        let shard = ShardId::of(entry.key, self.shared.settings.shards);
        match self.shared.shards.get(usize::from(shard.0)) {
            Some(handle) => handle.commit(entry).await,
            None => ClaimReply::NotWritten(NotWritten::StoreUnavailable),
        }
    }

    /// Returns this instance's counters of the claim log.
    pub fn stats(&self) -> ClaimStats {
        self.shared.counters.read()
    }

    /// Returns how long after its arrival a keyed request may be sent.
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

    /// Returns the kept result of a key that this instance owns.
    pub fn result(&self, key: KeyHash) -> Option<KeptResult> {
        self.shared.records.lock().result(key).cloned()
    }

    /// Returns the state as text for diagnostics.
    pub fn dump(&self) -> String {
        let mut text = self.shared.records.lock().dump();
        if self.shared.health.is_unavailable() {
            text.push_str("the key-value service is away\n");
        }
        for (shard, handle) in self.shared.shards.iter().enumerate() {
            let _ = writeln!(text, "claim log shard{shard}: {}", handle.dump());
        }
        text
    }
}

impl fmt::Debug for ClaimHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.dump())
    }
}

/// Abandons a claim if its caller drops the future before the log has replied.
struct AbandonGuard<'a> {
    shared: &'a ClaimShared,
    claim: KeyClaim,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        let mut records = self.shared.records.lock();
        records.abandon(self.claim.key, self.claim.request);
    }
}
