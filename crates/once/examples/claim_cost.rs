//! Measures the cost of a claim: added delay, store writes and bytes, and refused claims.
//!
//! Arrivals are open-loop and seeded. The store answers after 3 ms and accepts 300 writes a second;
//! the one-way delay between peers is 1.5 ms. Each row of the table is one claim scheme at one
//! rate. The retention is short, so that the deletions of old claims are included.
//!
//! `cargo run --release -p oleander-once --example claim_cost [SECONDS [outage]]`

#[path = "../tests/fake/mod.rs"]
mod fake;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fake::{FakeStore, StoreMode, TestClock, instance};
use oleander_base::prelude::*;
use oleander_once::{
    BodyHash, ClaimAnswer, ClaimEntry, ClaimHandle, ClaimOutcome, ClaimReply, ClaimRoute,
    ClaimSettings, ClaimTable, CommitLocation, KeyClaim, KeyHash, MonoClock, RouteError, ShardId,
};
use oleander_platform::{BoxFuture, Expected, KeyValueStore};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STORE_DELAY: Duration = Duration::from_millis(3);
const PEER_DELAY: Duration = Duration::from_micros(1_500);
const STORE_WRITES_PER_SECOND: f64 = 300.0;
const RETENTION: Span = Span::from_secs(1);
const NODES: usize = 8;
const RATES: [f64; 5] = [1.0, 10.0, 100.0, 500.0, 2_000.0];
const SEED: u64 = 4;

/// Selects how keys are claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimWay {
    KeyPerClaim,
    OneValuePerShard,
    GroupsUnrouted,
    Groups {
        shards: u16,
        interval_ms: u64,
        segment_kb: usize,
    },
}

impl ClaimWay {
    fn settings(self) -> ClaimSettings {
        let settings = ClaimSettings {
            retention: RETENTION,
            send_limit: Span::from_secs(1),
            ..ClaimSettings::default()
        };
        match self {
            Self::Groups {
                shards,
                interval_ms,
                segment_kb,
            } => ClaimSettings {
                shards,
                segment_bytes: segment_kb << 10,
                commit_interval: Span::from_millis(interval_ms),
                ..settings
            },
            Self::OneValuePerShard => ClaimSettings {
                segment_bytes: 1 << 20,
                ..settings
            },
            Self::KeyPerClaim | Self::GroupsUnrouted => settings,
        }
    }

    fn name(self) -> String {
        match self {
            Self::KeyPerClaim => "key per claim".to_owned(),
            Self::OneValuePerShard => "one growing value, 4 committers x 50 ms".to_owned(),
            Self::GroupsUnrouted => "log, 8 committers for each shard, 4 x 50 ms, 4 KiB".to_owned(),
            Self::Groups {
                shards,
                interval_ms,
                segment_kb,
            } => format!("log, {shards} committers x {interval_ms} ms, {segment_kb} KiB"),
        }
    }
}

/// Holds the claim handles of all nodes, which run in one process.
#[derive(Default)]
struct LocalPeers {
    handles: Mutex<Vec<ClaimHandle>>,
}

struct LocalRoute {
    index: usize,
    is_routed: bool,
    peers: Arc<LocalPeers>,
}

impl ClaimRoute for LocalRoute {
    fn locate(&self, shard: ShardId) -> CommitLocation {
        let committer = usize::from(shard.0) % NODES;
        if committer == self.index || !self.is_routed {
            return CommitLocation::Local;
        }
        CommitLocation::Peer(instance(committer as u16, 1))
    }

    fn forward(
        &self,
        peer: InstanceId,
        claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>> {
        let index = usize::from(peer.address.port());
        let handle = self.peers.handles.lock()[index].clone();
        Box::pin(async move {
            tokio::time::sleep(PEER_DELAY).await;
            let reply = handle.commit(claim).await;
            tokio::time::sleep(PEER_DELAY).await;
            Ok(reply)
        })
    }
}

/// Holds the nodes of one measurement and their store.
struct CostBench {
    way: ClaimWay,
    store: FakeStore,
    clock: Arc<TestClock>,
    handles: Vec<ClaimHandle>,
}

impl CostBench {
    fn spawn(way: ClaimWay) -> Self {
        let store = FakeStore::default();
        {
            let mut state = store.0.lock();
            state.delay = STORE_DELAY;
            state.write_budget = Some(STORE_WRITES_PER_SECOND);
        }
        let clock = TestClock::start();
        let peers = Arc::new(LocalPeers::default());
        let handles: Vec<_> = (0..NODES)
            .map(|index| {
                let route = LocalRoute {
                    index,
                    is_routed: way != ClaimWay::GroupsUnrouted,
                    peers: Arc::clone(&peers),
                };
                ClaimTable::spawn(
                    Arc::new(store.clone()),
                    instance(index as u16, 1),
                    Arc::clone(&clock) as Arc<dyn MonoClock>,
                    Arc::new(route),
                    way.settings(),
                )
            })
            .collect();
        peers.handles.lock().clone_from(&handles);
        Self {
            way,
            store,
            clock,
            handles,
        }
    }

    /// Claims a new key at one node and returns the delay if the claim was granted.
    async fn claim(self: Arc<Self>, node: usize, serial: u64) -> Option<Duration> {
        let begun = Instant::now();
        let key = KeyHash::of(CustomerId(1), &serial.to_string());
        let request = RequestId {
            origin: instance(node as u16, 1),
            serial,
        };
        let has_run = match self.way {
            ClaimWay::KeyPerClaim => self.claim_own_key(key, request).await,
            _ => {
                let claim = KeyClaim {
                    key,
                    body: BodyHash([0; 8]),
                    request,
                    arrived: self.clock.now(),
                };
                let answer = self.handles[node].claim(claim).await;
                matches!(answer, ClaimAnswer::Log(ClaimOutcome::Run { .. }))
            }
        };
        has_run.then(|| begun.elapsed())
    }

    async fn claim_own_key(&self, key: KeyHash, request: RequestId) -> bool {
        let name = format!("claims/{key}");
        let value = Bytes::from(request.to_string());
        let Ok(revision) = self.store.put(&name, Expected::Absent, value, None).await else {
            return false;
        };
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RETENTION.into()).await;
            let _ = store.delete(&name, Expected::At(revision)).await;
        });
        true
    }
}

async fn measure(way: ClaimWay, rate: f64, length: Duration) -> String {
    let bench = Arc::new(CostBench::spawn(way));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let begun = Instant::now();
    let mut due = Duration::ZERO;
    let mut claims = Vec::new();
    while due < length {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        due += Duration::from_secs_f64(gap);
        let node = rng.random_range(0..NODES);
        let serial = claims.len() as u64;
        let wait = due.saturating_sub(begun.elapsed());
        tokio::time::sleep(wait).await;
        claims.push(tokio::spawn(Arc::clone(&bench).claim(node, serial)));
    }
    let total = claims.len();
    let mut delays = Vec::new();
    for claim in claims {
        delays.extend(claim.await.ok().flatten());
    }
    delays.sort_unstable();
    row(&bench, rate, total, &delays, begun.elapsed())
}

fn row(bench: &CostBench, rate: f64, total: usize, delays: &[Duration], took: Duration) -> String {
    let state = bench.store.0.lock();
    let conflicts: u64 = bench.handles.iter().map(|h| h.stats().conflicts).sum();
    format!(
        "| {} | {rate} | {total} | {:.3} | {:.1} | {:.1} | {:.2} | {:.0} | {:.0} | {conflicts} |",
        bench.way.name(),
        delays.len() as f64 / total as f64,
        quantile_ms(delays, 0.5),
        quantile_ms(delays, 0.99),
        state.writes as f64 / total as f64,
        state.writes as f64 / took.as_secs_f64(),
        state.written_bytes as f64 / total as f64,
    )
}

/// Measures how fast claims are refused in an outage, and how soon after it they are granted.
async fn measure_outage(mode: StoreMode, length: Duration) -> String {
    const CLAIM_GAP: Duration = Duration::from_millis(10);
    let bench = Arc::new(CostBench::spawn(groups(4, 50, 4)));
    let mut serial = 0;
    let mut claim = || {
        serial += 1;
        let begun = Instant::now();
        let claim = Arc::clone(&bench).claim(serial as usize % NODES, serial);
        tokio::spawn(async move { (claim.await.is_some(), begun.elapsed()) })
    };
    for _ in 0..100 {
        let _ = claim().await;
    }
    bench.store.set_mode(mode);
    let begun = Instant::now();
    let mut claims = Vec::new();
    while begun.elapsed() < length {
        claims.push(claim());
        tokio::time::sleep(CLAIM_GAP).await;
    }
    bench.store.set_mode(StoreMode::Healthy);
    let back = Instant::now();
    let mut first_grant = None;
    let mut granted = 0;
    // 100 consecutive grants show that every node and shard serves again.
    while granted < 100 {
        granted = match claim().await {
            Ok((true, _)) => granted + 1,
            _ => 0,
        };
        if granted == 1 {
            first_grant = Some(back.elapsed());
        }
        tokio::time::sleep(CLAIM_GAP).await;
    }
    // The last refusal immediately preceded the first of these grants.
    let again = first_grant.unwrap_or_default();
    let mut refusals = Vec::new();
    for claim in claims {
        if let Ok((false, delay)) = claim.await {
            refusals.push(delay);
        }
    }
    refusals.sort_unstable();
    format!(
        "| {mode:?} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
        refusals.len(),
        quantile_ms(&refusals, 0.5),
        quantile_ms(&refusals, 0.99),
        quantile_ms(&refusals, 1.0),
        again.as_secs_f64()
    )
}

fn quantile_ms(sorted: &[Duration], share: f64) -> f64 {
    let at = ((sorted.len() as f64 * share) as usize).min(sorted.len().saturating_sub(1));
    sorted
        .get(at)
        .map_or(f64::NAN, |delay| delay.as_secs_f64() * 1_000.0)
}

fn groups(shards: u16, interval_ms: u64, segment_kb: usize) -> ClaimWay {
    ClaimWay::Groups {
        shards,
        interval_ms,
        segment_kb,
    }
}

#[tokio::main]
async fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let length = Duration::from_secs(seconds.unwrap_or(20));
    let ways = [
        ClaimWay::KeyPerClaim,
        ClaimWay::OneValuePerShard,
        ClaimWay::GroupsUnrouted,
        groups(4, 50, 2),
        groups(4, 50, 4),
        groups(4, 50, 16),
        groups(8, 100, 4),
        groups(2, 25, 4),
    ];
    println!(
        "| way | claims/s | claims | granted | p50 ms | p99 ms | writes/claim | writes/s | bytes/claim | conflicts |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let rates = match std::env::args().any(|text| text == "outage") {
        true => &[][..],
        false => &RATES[..],
    };
    for rate in rates {
        let runs = ways.map(|way| tokio::spawn(measure(way, *rate, length)));
        for run in runs {
            println!("{}", run.await.unwrap_or_default());
        }
    }
    println!("| outage | refused | p50 ms | p99 ms | max ms | last refusal after s |");
    println!("|---|---|---|---|---|---|");
    for mode in [StoreMode::Down, StoreMode::Silent, StoreMode::LosesWrites] {
        println!("{}", measure_outage(mode, length / 2).await);
    }
}
