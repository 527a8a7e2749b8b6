//! Tests of the running claim table against a store with faults.

mod fake;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fake::{FakeStore, StoreMode, TestClock, instance};
use oleander_base::prelude::*;
use oleander_once::{
    BodyHash, ClaimAnswer, ClaimDecision, ClaimEntry, ClaimHandle, ClaimOutcome, ClaimReply,
    ClaimRoute, ClaimSettings, ClaimTable, CommitLocation, KeyClaim, KeyHash, MonoClock,
    RouteError, ShardId, StandaloneRoute,
};
use oleander_platform::BoxFuture;
use parking_lot::Mutex;

const CUSTOMER: CustomerId = CustomerId(1);
const BODY: BodyHash = BodyHash([1; 8]);

struct TestNode {
    me: InstanceId,
    clock: Arc<TestClock>,
    claims: ClaimHandle,
    serial: AtomicU64,
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        commit_interval: Span::from_millis(5),
        store_timeout: Duration::from_millis(200),
        probe_interval: Duration::from_millis(20),
        segment_bytes: 128,
        ..ClaimSettings::default()
    }
}

impl TestNode {
    fn spawn(store: &FakeStore, me: InstanceId, route: Arc<dyn ClaimRoute>) -> Self {
        let clock = TestClock::start();
        let shared = Arc::clone(&clock) as Arc<dyn MonoClock>;
        let claims = ClaimTable::spawn(Arc::new(store.clone()), me, shared, route, settings());
        Self {
            me,
            clock,
            claims,
            serial: AtomicU64::new(0),
        }
    }

    fn standalone(store: &FakeStore, port: u16) -> Self {
        Self::spawn(store, instance(port, 1), Arc::new(StandaloneRoute))
    }

    fn key_claim(&self, key: &str, body: BodyHash) -> KeyClaim {
        let serial = self.serial.fetch_add(1, Ordering::SeqCst);
        KeyClaim {
            key: KeyHash::of(CUSTOMER, key),
            body,
            request: RequestId {
                origin: self.me,
                serial,
            },
            arrived: self.clock.now(),
        }
    }

    async fn claim(&self, key: &str) -> ClaimAnswer {
        self.claims.claim(self.key_claim(key, BODY)).await
    }

    async fn claim_until_resolved(&self, key: &str) -> ClaimAnswer {
        loop {
            match self.claim(key).await {
                ClaimAnswer::Log(ClaimOutcome::NotWritten(_) | ClaimOutcome::Unresolved) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                answer => return answer,
            }
        }
    }
}

fn runs(answer: &ClaimAnswer) -> bool {
    matches!(
        answer,
        ClaimAnswer::Log(ClaimOutcome::Run { .. }) | ClaimAnswer::Table(ClaimDecision::Run { .. })
    )
}

#[tokio::test]
async fn key_is_claimed_once_and_repeats_lead_to_its_owner() {
    let store = FakeStore::default();
    let (first, second) = (
        TestNode::standalone(&store, 1),
        TestNode::standalone(&store, 2),
    );
    let claim = first.key_claim("k", BODY);
    assert!(runs(&first.claims.claim(claim).await));
    let holder = claim.request;
    assert_eq!(
        second.claim("k").await,
        ClaimAnswer::Log(ClaimOutcome::Repeat { holder })
    );
    assert_eq!(
        first.claim("k").await,
        ClaimAnswer::Table(ClaimDecision::Busy(holder))
    );
    first.claims.finish(claim.key, holder, Verdict::Ran, None);
    assert!(matches!(
        first.claim("k").await,
        ClaimAnswer::Table(ClaimDecision::Done(_))
    ));
    let other = second.key_claim("k", BodyHash([2; 8]));
    assert_eq!(
        second.claims.claim(other).await,
        ClaimAnswer::Log(ClaimOutcome::BodyMismatch)
    );
}

#[tokio::test]
async fn request_that_did_not_run_may_run_again_at_its_owner() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    let claim = node.key_claim("k", BODY);
    assert!(runs(&node.claims.claim(claim).await));
    node.claims
        .finish(claim.key, claim.request, Verdict::NotRun, None);
    assert!(runs(&node.claim("k").await));
    node.clock.advance(Span::from_secs(61));
    let late = node.key_claim("k", BODY);
    assert!(!runs(&node.claims.claim(late).await));
}

#[tokio::test]
async fn store_outage_refuses_and_ends_by_itself() {
    let store = FakeStore::default();
    let (node, other) = (
        TestNode::standalone(&store, 1),
        TestNode::standalone(&store, 2),
    );
    assert!(runs(&other.claim("before").await));
    let repeat = node.claim("before").await;
    assert!(matches!(
        repeat,
        ClaimAnswer::Log(ClaimOutcome::Repeat { .. })
    ));
    store.set_mode(StoreMode::Down);
    assert_eq!(
        node.claim("before").await,
        repeat,
        "keys that were read are still answered"
    );
    for key in 0..20 {
        let answer = node.claim(&key.to_string()).await;
        assert!(matches!(
            answer,
            ClaimAnswer::Log(ClaimOutcome::NotWritten(_))
        ));
    }
    store.set_mode(StoreMode::Healthy);
    assert!(runs(&node.claim_until_resolved("0").await));
}

#[tokio::test]
async fn claim_in_a_silent_store_is_resolved_by_its_owner() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    assert!(runs(&node.claim("warm").await));
    store.set_mode(StoreMode::Silent);
    let answer = node.claim("k").await;
    assert!(!runs(&answer), "{answer:?}");
    store.set_mode(StoreMode::Healthy);
    assert!(runs(&node.claim_until_resolved("k").await));
}

#[tokio::test]
async fn lost_answer_is_resolved_by_the_request_id() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    assert!(runs(&node.claim("warm").await));
    store.set_mode(StoreMode::LosesAnswers);
    assert!(runs(&node.claim("k").await));
    store.set_mode(StoreMode::LosesWrites);
    let answer = node.claim("lost").await;
    assert_eq!(answer, ClaimAnswer::Log(ClaimOutcome::Unresolved));
    store.set_mode(StoreMode::Healthy);
    assert!(runs(&node.claim_until_resolved("lost").await));
}

#[tokio::test]
async fn dropped_claim_never_runs_by_itself() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    store.0.lock().delay = Duration::from_millis(20);
    let claim = node.key_claim("k", BODY);
    let hurried = tokio::time::timeout(Duration::from_millis(1), node.claims.claim(claim));
    assert!(hurried.await.is_err());
    let answer = node.claim_until_resolved("k").await;
    assert!(
        runs(&answer),
        "the owner may run under its unused claim: {answer:?}"
    );
    assert_eq!(
        node.claim("k").await,
        ClaimAnswer::Table(ClaimDecision::Busy(RequestId {
            origin: node.me,
            serial: 1
        }))
    );
}

#[tokio::test]
async fn evicted_record_is_reported_as_forgotten() {
    let store = FakeStore::default();
    let old = TestNode::standalone(&store, 1);
    let claim = old.key_claim("k", BODY);
    assert!(runs(&old.claims.claim(claim).await));
    // A second table with the same instance id stands for one that has evicted the record.
    let emptied = TestNode::standalone(&store, 1);
    emptied.serial.store(100, Ordering::SeqCst);
    let holder = claim.request;
    assert_eq!(
        emptied.claim("k").await,
        ClaimAnswer::Log(ClaimOutcome::Forgotten { holder })
    );
}

#[tokio::test]
async fn many_writers_grant_each_key_once() {
    let store = FakeStore::default();
    let nodes: Vec<_> = (1..=4)
        .map(|port| Arc::new(TestNode::standalone(&store, port)))
        .collect();
    let mut granted = [0; 40];
    // Several waves of claims fill several segments, so that archives are written under contention.
    for wave in 0..4 {
        let mut tasks = Vec::new();
        for node in &nodes {
            for key in wave * 10..(wave + 1) * 10 {
                let node = Arc::clone(node);
                let task = async move {
                    (
                        key,
                        runs(&node.claim_until_resolved(&key.to_string()).await),
                    )
                };
                tasks.push(tokio::spawn(task));
            }
        }
        for task in tasks {
            let (key, has_run) = task.await.unwrap();
            granted[key] += u32::from(has_run);
        }
    }
    assert_eq!(granted, [1; 40]);
    assert!(
        store.keys("claims/") > 5,
        "some segments must have been archived"
    );
}

#[tokio::test]
async fn old_segments_go_and_a_fresh_writer_reads_the_rest() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    for key in 0..60 {
        assert!(runs(&node.claim(&format!("old{key}")).await));
    }
    let before = store.keys("claims/");
    // A repeat may arrive just within the retention and be claimed up to the send limit later.
    node.clock.advance(Span::from_secs(1_801));
    for key in 0..10 {
        assert!(runs(&node.claim(&format!("mid{key}")).await));
    }
    assert!(
        store.keys("claims/") >= before,
        "no segment is deleted early"
    );
    node.clock.advance(Span::from_secs(60));
    for key in 0..60 {
        assert!(runs(&node.claim(&format!("new{key}")).await));
    }
    assert!(
        store.keys("claims/") <= before + 4,
        "the old segments must have been deleted"
    );
    let fresh = TestNode::standalone(&store, 2);
    for key in 0..60 {
        let answer = fresh.claim(&format!("new{key}")).await;
        assert!(matches!(
            answer,
            ClaimAnswer::Log(ClaimOutcome::Repeat { .. })
        ));
    }
}

#[tokio::test]
async fn other_layout_is_refused() {
    let store = FakeStore::default();
    let node = TestNode::standalone(&store, 1);
    assert!(runs(&node.claim("k").await));
    let clock = TestClock::start();
    let settings = ClaimSettings {
        shards: 5,
        ..settings()
    };
    let other = ClaimTable::spawn(
        Arc::new(store.clone()),
        instance(2, 1),
        clock,
        Arc::new(StandaloneRoute),
        settings,
    );
    let answer = other.claim(node.key_claim("k2", BODY)).await;
    assert!(matches!(
        answer,
        ClaimAnswer::Log(ClaimOutcome::NotWritten(_))
    ));
}

/// Routes every claim to one committer, if set, and can lose the committer's replies.
#[derive(Default)]
struct TestRoute {
    committer: Mutex<Option<(InstanceId, ClaimHandle)>>,
    loses_replies: bool,
}

impl ClaimRoute for TestRoute {
    fn locate(&self, _shard: ShardId) -> CommitLocation {
        let committer = self.committer.lock();
        committer
            .as_ref()
            .map_or(CommitLocation::Local, |(peer, _)| {
                CommitLocation::Peer(*peer)
            })
    }

    fn forward(
        &self,
        peer: InstanceId,
        claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>> {
        let handle = self
            .committer
            .lock()
            .as_ref()
            .map(|(_, handle)| handle.clone());
        let loses_replies = self.loses_replies;
        Box::pin(async move {
            let reply = match handle {
                Some(handle) => handle.commit(claim).await,
                None => ClaimReply::Unknown,
            };
            if loses_replies {
                let reason = "lost".to_owned();
                return Err(RouteError { peer, reason });
            }
            Ok(reply)
        })
    }
}

async fn claim_over_route(loses_replies: bool) -> (ClaimAnswer, u64) {
    let store = FakeStore::default();
    let committer = TestNode::standalone(&store, 1);
    let route = TestRoute {
        committer: Mutex::new(Some((committer.me, committer.claims.clone()))),
        loses_replies,
    };
    let node = TestNode::spawn(&store, instance(2, 1), Arc::new(route));
    let answer = node.claim("k").await;
    assert!(matches!(
        committer.claim("k").await,
        ClaimAnswer::Log(ClaimOutcome::Repeat { holder }) if holder.origin == node.me
    ));
    (answer, node.claims.stats().tail_writes)
}

#[tokio::test]
async fn forwarded_claim_is_owned_by_its_request() {
    let (answer, own_writes) = claim_over_route(false).await;
    assert!(runs(&answer));
    assert_eq!(own_writes, 0);
}

#[tokio::test]
async fn lost_reply_of_the_committer_is_resolved_in_the_log() {
    let (answer, _) = claim_over_route(true).await;
    assert!(runs(&answer));
}
