//! A seeded fault test of four guards in one process.
//!
//! Callers repeat requests at any guard while the store fails. The test guards against doubled
//! effects and against a "not run" verdict for a request that ran. `ONCE_STORM_SEEDS` sets the
//! number of seeds.

mod fake;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fake::{FakeStore, StoreMode, TestClock, instance};
use oleander_base::prelude::*;
use oleander_once::{
    Admission, BodyHash, ClaimSettings, ClaimTable, GuardParts, GuardSettings, MonoClock, OnceCall,
    OnceGuard, RequestGuard, RunPermit, StandaloneRoute,
};
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 4;
const OPERATIONS: u64 = 150;
const CALLS_PER_OPERATION: usize = 4;

/// Counts the effects at the service, by operation.
#[derive(Default)]
struct EffectLog(Mutex<FastMap<u64, u32>>);

struct Storm {
    guards: Vec<Arc<dyn OnceGuard>>,
    clock: Arc<TestClock>,
    serial: AtomicU64,
    effects: EffectLog,
}

impl Storm {
    async fn call(&self, mut node: usize, operation: u64, seed: u64) -> Verdict {
        let key = operation.to_string();
        let mut forwarded = false;
        loop {
            let call = OnceCall {
                customer: CustomerId(1),
                request: RequestId {
                    origin: instance(node as u16, 1),
                    serial: self.serial.fetch_add(1, Ordering::SeqCst),
                },
                arrived: self.clock.now(),
                body: BodyHash([0; 8]),
                token: None,
                key: Some(&key),
                forwarded,
            };
            match self.guards[node].admit(call).await {
                Admission::Run(permit) => return self.serve(permit, operation, seed).await,
                Admission::Answer(_) => return Verdict::Ran,
                Admission::Refuse(refusal) => return refusal.verdict,
                Admission::Forward(owner) => {
                    node = usize::from(owner.address.port());
                    forwarded = true;
                }
            }
        }
    }

    /// Simulates the service, which refuses the call, loses the answer after the effect, or
    /// answers.
    async fn serve(&self, mut permit: RunPermit, operation: u64, seed: u64) -> Verdict {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let attempt = permit.begin_send(BackendId(1)).unwrap();
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..3))).await;
        let verdict = *Verdict::ALL.choose(&mut rng).unwrap();
        if verdict != Verdict::NotRun {
            *self.effects.0.lock().entry(operation).or_default() += 1;
        }
        permit.resolve(attempt, verdict);
        permit.finish(None)
    }
}

fn open_guard(store: &FakeStore, clock: &Arc<TestClock>, node: usize) -> Arc<dyn OnceGuard> {
    let clock = Arc::clone(clock) as Arc<dyn MonoClock>;
    let me = instance(node as u16, 1);
    let settings = ClaimSettings {
        commit_interval: Span::from_millis(2),
        store_timeout: Duration::from_millis(20),
        probe_interval: Duration::from_millis(5),
        segment_bytes: 512,
        ..ClaimSettings::default()
    };
    let claims = ClaimTable::spawn(
        Arc::new(store.clone()),
        me,
        Arc::clone(&clock),
        Arc::new(StandaloneRoute),
        settings,
    );
    let parts = GuardParts {
        me,
        centre: CentreId(1),
        clock,
        issuer: None,
        claims,
    };
    let settings = GuardSettings {
        repeat_wait: Duration::from_millis(20),
        ..GuardSettings::default()
    };
    RequestGuard::open(parts, settings)
}

/// Runs the test and returns how many operations had two effects, how many had an effect although
/// every caller was told "not-run", and how many ran.
async fn run_storm(
    seed: u64,
    store: FakeStore,
    clock: Arc<TestClock>,
    guards: Vec<Arc<dyn OnceGuard>>,
) -> [usize; 3] {
    let storm = Arc::new(Storm {
        guards,
        clock,
        serial: AtomicU64::new(0),
        effects: EffectLog::default(),
    });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let modes = [
        StoreMode::Healthy,
        StoreMode::Healthy,
        StoreMode::Down,
        StoreMode::Silent,
        StoreMode::LosesAnswers,
        StoreMode::LosesWrites,
    ];
    let mut operations = Vec::new();
    for operation in 0..OPERATIONS {
        if operation % 5 == 0 {
            store.set_mode(*modes.choose(&mut rng).unwrap());
        }
        let calls: Vec<_> = (0..CALLS_PER_OPERATION)
            .map(|_| {
                let storm = Arc::clone(&storm);
                let (node, seed) = (rng.random_range(0..NODES), rng.random());
                tokio::spawn(async move { storm.call(node, operation, seed).await })
            })
            .collect();
        operations.push(calls);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..8))).await;
    }
    store.set_mode(StoreMode::Healthy);
    let mut counts = [0; 3];
    for (operation, calls) in (0..).zip(operations) {
        let mut verdicts = Vec::new();
        for call in calls {
            verdicts.push(call.await.unwrap());
        }
        let effects = storm.effects.0.lock().get(&operation).copied().unwrap_or(0);
        let verdict = Verdict::over(verdicts);
        counts[0] += usize::from(effects > 1);
        counts[1] += usize::from(verdict == Verdict::NotRun && effects > 0);
        counts[2] += usize::from(effects > 0);
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn guarded_storm_has_no_doubled_effect_and_no_false_not_run() {
    let seeds = std::env::var("ONCE_STORM_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(4);
    let storms = (0..seeds).map(|seed| {
        let (store, clock) = (FakeStore::default(), TestClock::start());
        let guards = (0..NODES).map(|node| open_guard(&store, &clock, node));
        let guards = guards.collect();
        tokio::spawn(run_storm(seed, store, clock, guards))
    });
    let storms: Vec<_> = storms.collect();
    for (seed, storm) in storms.into_iter().enumerate() {
        let [doubled, denied, ran] = storm.await.unwrap();
        println!("seed {seed}: {doubled} doubled, {denied} denied, {ran} of {OPERATIONS} ran");
        assert_eq!((doubled, denied), (0, 0), "seed {seed}");
        assert!(ran > 0, "seed {seed}: some operation must run");
    }
}

#[cfg(feature = "open-guard")]
#[tokio::test]
async fn storm_without_the_guard_is_detected() {
    let (store, clock) = (FakeStore::default(), TestClock::start());
    let shared = Arc::clone(&clock) as Arc<dyn MonoClock>;
    let guards = (0..NODES).map(|_| oleander_once::OpenGuard::open(Arc::clone(&shared)));
    let guards = guards.collect();
    let [doubled, _, _] = run_storm(1, store, clock, guards).await;
    assert!(doubled > 0, "the check must detect doubled effects");
}
