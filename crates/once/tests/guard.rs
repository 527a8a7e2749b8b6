//! Tests of the guard through the interface that the request path calls.

mod fake;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fake::{FakeStore, StoreMode, TestClock, instance};
use oleander_base::prelude::*;
use oleander_once::{
    Admission, AttemptLog, BodyHash, ClaimSettings, ClaimTable, GuardParts, GuardSettings,
    KeptAnswer, MonoClock, OnceCall, OnceGuard, PauseDetector, RefuseReason, RepeatRule,
    RequestGuard, RequestStatus, RunPermit, SendRefused, StandaloneRoute, TokenIssuer, TokenKey,
    VerdictScope,
};
use proptest::prelude::*;

const CUSTOMER: CustomerId = CustomerId(1);
const BACKEND: BackendId = BackendId(5);

struct TestGuard {
    me: InstanceId,
    clock: Arc<TestClock>,
    guard: Arc<dyn OnceGuard>,
    serial: AtomicU64,
}

impl TestGuard {
    fn open(store: &FakeStore, me: InstanceId) -> Self {
        let clock = TestClock::start();
        let shared = Arc::clone(&clock) as Arc<dyn MonoClock>;
        let claims = ClaimTable::spawn(
            Arc::new(store.clone()),
            me,
            Arc::clone(&shared),
            Arc::new(StandaloneRoute),
            ClaimSettings::default(),
        );
        let parts = GuardParts {
            me,
            centre: CentreId(1),
            clock: shared,
            issuer: Some(TokenIssuer::new(TokenKey::new(1, &[7; 32]).unwrap(), None)),
            claims,
        };
        let settings = GuardSettings {
            repeat_wait: Duration::from_millis(50),
            ..GuardSettings::default()
        };
        Self {
            me,
            clock,
            guard: RequestGuard::open(parts, settings),
            serial: AtomicU64::new(0),
        }
    }

    fn call<'a>(&self, token: Option<&'a str>, key: Option<&'a str>) -> OnceCall<'a> {
        OnceCall {
            customer: CUSTOMER,
            request: RequestId {
                origin: self.me,
                serial: self.serial.fetch_add(1, Ordering::SeqCst),
            },
            arrived: self.clock.now(),
            body: BodyHash::of(&[b"POST", b"/orders", b"{}"]),
            token,
            key,
            forwarded: false,
        }
    }

    async fn with_token(&self, token: &str) -> Admission {
        self.guard.admit(self.call(Some(token), None)).await
    }

    async fn with_key(&self, key: &str) -> Admission {
        self.guard.admit(self.call(None, Some(key))).await
    }
}

fn permit(admission: Admission) -> RunPermit {
    match admission {
        Admission::Run(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

fn refusal(admission: Admission) -> (Verdict, VerdictScope, RefuseReason) {
    match admission {
        Admission::Refuse(refusal) => (refusal.verdict, refusal.scope, refusal.reason),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn answer() -> KeptAnswer {
    KeptAnswer {
        status: 201,
        content_type: None,
        body: Bytes::from_static(b"order 1"),
    }
}

fn run(mut permit: RunPermit) {
    let attempt = permit.begin_send(BACKEND).unwrap();
    permit.resolve(attempt, Verdict::Ran);
    assert_eq!(permit.finish(Some(answer())), Verdict::Ran);
}

#[tokio::test]
async fn token_runs_only_at_its_issuer_and_repeats_get_the_answer() {
    let store = FakeStore::default();
    store.set_mode(StoreMode::Down);
    let (issuer, other) = (
        TestGuard::open(&store, instance(1, 1)),
        TestGuard::open(&store, instance(2, 1)),
    );
    let token = issuer.guard.issue(CUSTOMER, 2).unwrap().remove(0);
    let elsewhere = other.with_token(&token).await;
    assert!(matches!(elsewhere, Admission::Forward(to) if to == issuer.me));
    let mut again = other.call(Some(&token), None);
    again.forwarded = true;
    let (verdict, _, reason) = refusal(other.guard.admit(again).await);
    assert_eq!(
        (verdict, reason),
        (Verdict::MayHaveRun, RefuseReason::OriginGone)
    );
    run(permit(issuer.with_token(&token).await));
    let repeat = issuer.with_token(&token).await;
    assert!(matches!(repeat, Admission::Answer(kept) if kept.answer == answer()));
}

#[tokio::test]
async fn token_of_a_replaced_instance_may_have_run() {
    let store = FakeStore::default();
    let token = TestGuard::open(&store, instance(1, 1))
        .guard
        .issue(CUSTOMER, 1)
        .unwrap();
    let replaced = TestGuard::open(&store, instance(1, 2));
    let (verdict, _, reason) = refusal(replaced.with_token(&token[0]).await);
    assert_eq!(
        (verdict, reason),
        (Verdict::MayHaveRun, RefuseReason::OriginGone)
    );
}

#[tokio::test]
async fn key_runs_once_and_repeats_elsewhere_lead_to_the_owner() {
    let store = FakeStore::default();
    let (owner, other) = (
        TestGuard::open(&store, instance(1, 1)),
        TestGuard::open(&store, instance(2, 1)),
    );
    let permit = permit(owner.with_key("k").await);
    let request = permit.request();
    let (verdict, _, reason) = refusal(owner.with_key("k").await);
    assert_eq!(
        (verdict, reason),
        (Verdict::MayHaveRun, RefuseReason::StillRunning)
    );
    run(permit);
    assert!(matches!(owner.with_key("k").await, Admission::Answer(_)));
    assert!(matches!(other.with_key("k").await, Admission::Forward(to) if to == owner.me));
    assert!(matches!(
        owner.guard.lookup(request),
        Some(RequestStatus::Kept(_))
    ));
    assert_eq!(owner.guard.stats().run, 1);
}

#[tokio::test]
async fn waiting_repeat_gets_the_answer_of_the_running_request() {
    let store = FakeStore::default();
    let owner = Arc::new(TestGuard::open(&store, instance(1, 1)));
    let first = permit(owner.with_key("k").await);
    let waiting = {
        let owner = Arc::clone(&owner);
        tokio::spawn(async move {
            loop {
                match owner.with_key("k").await {
                    Admission::Refuse(refusal) if refusal.reason == RefuseReason::StillRunning => {}
                    admission => return admission,
                }
            }
        })
    };
    tokio::task::yield_now().await;
    run(first);
    assert!(matches!(waiting.await.unwrap(), Admission::Answer(_)));
}

#[tokio::test]
async fn store_outage_reports_not_run_for_this_request_only() {
    let store = FakeStore::default();
    let node = TestGuard::open(&store, instance(1, 1));
    run(permit(node.with_key("before").await));
    store.set_mode(StoreMode::Down);
    let (verdict, scope, reason) = refusal(node.with_key("new").await);
    assert_eq!(verdict, Verdict::NotRun);
    assert_eq!(
        (scope, reason),
        (VerdictScope::ThisRequest, RefuseReason::StoreUnavailable)
    );
    assert!(matches!(
        node.with_key("before").await,
        Admission::Answer(_)
    ));
}

#[tokio::test]
async fn dropped_permit_reports_whether_it_was_sent() {
    let store = FakeStore::default();
    let node = TestGuard::open(&store, instance(1, 1));
    let unsent = permit(node.with_key("unsent").await);
    let request = unsent.request();
    drop(unsent);
    assert_eq!(
        node.guard.lookup(request),
        Some(RequestStatus::Ended(Verdict::NotRun))
    );
    run(permit(node.with_key("unsent").await));
    let mut sent = permit(node.with_key("sent").await);
    sent.begin_send(BACKEND).unwrap();
    drop(sent);
    let (verdict, scope, _) = refusal(node.with_key("sent").await);
    assert_eq!(
        (verdict, scope),
        (Verdict::MayHaveRun, VerdictScope::AllRequests)
    );
}

#[tokio::test]
async fn request_without_key_or_token_is_sent_at_most_once() {
    let node = TestGuard::open(&FakeStore::default(), instance(1, 1));
    let mut permit = permit(node.guard.admit(node.call(None, None)).await);
    let refused = permit.begin_send(BACKEND).unwrap();
    permit.resolve(refused, Verdict::NotRun);
    let lost = permit.begin_send(BACKEND).unwrap();
    permit.resolve(lost, Verdict::MayHaveRun);
    assert!(matches!(
        permit.begin_send(BACKEND),
        Err(SendRefused::AlreadySent(_))
    ));
    assert_eq!(permit.finish(None), Verdict::MayHaveRun);
}

#[tokio::test]
async fn paused_process_does_not_send_and_refuses_keys_for_a_while() {
    let node = TestGuard::open(&FakeStore::default(), instance(1, 1));
    let mut permit = permit(node.with_key("k").await);
    node.clock.advance(Span::from_secs(600));
    assert!(matches!(
        permit.begin_send(BACKEND),
        Err(SendRefused::Stale(_))
    ));
    assert_eq!(permit.finish(None), Verdict::NotRun);
    let (verdict, _, reason) = refusal(node.with_key("other").await);
    assert_eq!(
        (verdict, reason),
        (Verdict::NotRun, RefuseReason::AfterPause)
    );
    node.clock.advance(Span::from_secs(6));
    assert!(matches!(node.with_key("other").await, Admission::Run(_)));
}

#[tokio::test]
async fn malformed_bindings_are_refused() {
    let node = TestGuard::open(&FakeStore::default(), instance(1, 1));
    let long = "k".repeat(300);
    for (token, key, expected) in [
        (Some("t"), Some("k"), RefuseReason::TokenAndKey),
        (Some("t"), None, RefuseReason::TokenMalformed),
        (None, Some(""), RefuseReason::BadKey),
        (None, Some(long.as_str()), RefuseReason::BadKey),
    ] {
        let (verdict, _, reason) = refusal(node.guard.admit(node.call(token, key)).await);
        assert_eq!((verdict, reason), (Verdict::NotRun, expected));
    }
    let token = node.guard.issue(CustomerId(2), 1).unwrap();
    let (_, _, reason) = refusal(node.with_token(&token[0]).await);
    assert_eq!(reason, RefuseReason::TokenForeignCustomer);
}

#[test]
fn idle_process_is_not_paused_while_it_is_observed() {
    let second = |secs| MonoTime(0) + Span::from_secs(secs);
    let mut watch = PauseDetector::new(Span::from_secs(10), Span::from_secs(5), second(0));
    for secs in (0..100).step_by(9) {
        watch.observe(second(secs));
        assert_eq!(watch.remaining_quiet(second(secs)), Span::ZERO);
    }
    watch.observe(second(200));
    assert_eq!(watch.remaining_quiet(second(201)), Span::from_secs(4));
}

proptest! {
    #[test]
    fn attempts_of_at_most_once_end_with_at_most_one_that_may_have_run(ends in prop::collection::vec(0usize..4, 0..10)) {
        let mut log = AttemptLog::new(RepeatRule::AtMostOnce);
        for end in ends {
            let may_start = log.verdict() == Verdict::NotRun;
            let begun = log.begin(BACKEND);
            prop_assert_eq!(begun.is_ok(), may_start);
            if let (Ok(attempt), Some(verdict)) = (begun, Verdict::ALL.get(end)) {
                log.resolve(attempt, *verdict);
            }
        }
        let sent = log.attempts().iter().filter(|attempt| attempt.verdict != Verdict::NotRun);
        prop_assert!(sent.count() <= 1);
    }
}
