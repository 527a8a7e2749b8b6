//! Compares the policies on a simulated pool in virtual time, with the same seeded arrivals.
//!
//! Usage: `cargo run --release -p oleander-decide --example policies -- [SEED [SCENARIO [ENGINES
//! [SLOTS [SHARING]]]]]`, where SCENARIO is `steady`, `burst`, `slow`, `crash` or `uneven`, and
//! SHARING is how 8 entry VMs share the pool: `one` dispatcher with one queue, each `alone` with
//! the load that engines report, or with the slots `split` evenly. `broken` counts tickets that
//! were shed while another entry VM had a lower tier queued. The simulated engines batch
//! continuously: each of `n` running answers gets a token after a step that grows with `n`, and the
//! first token follows a prefill. The simulation has one pool of engines of speeds 1 to 4 and no
//! network.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};

use oleander_base::prelude::*;
use oleander_base::{EndKind, EngineRole, LoadReport, ReleaseNotice};
use oleander_decide::{
    BackendView, ClassView, CustomerView, Decision, DecisionNotice, PolicyKind, PoolConfig,
    PoolPolicy, ProgressNotice, open,
};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const ENTRY_VMS: u32 = 8;
const STEP: Span = Span::from_millis(5);
const RUN_LENGTH: Span = Span::from_secs(120);
const WARMUP: Span = Span::from_secs(10);
const FAULT_PERIOD: (u64, u64) = (40_000_000, 70_000_000);
const REPORT_LAG: Span = Span::from_secs(2);
const STEP_SECONDS: f64 = 0.02;
const PREFILL_SECONDS: f64 = 0.15;
const WINDOW: Span = Span::from_secs(30);

struct Class {
    name: &'static str,
    target: Span,
    gap: Span,
    patience: Span,
    tokens: f64,
    /// The fraction of the demand, in slot time.
    part: f64,
    share: f64,
}

const CLASSES: [Class; 4] = [
    class("draft", 800, 5, 150.0, 0.30, 0.05),
    class("assist", 2_000, 15, 300.0, 0.35, 0.05),
    class("summary", 8_000, 30, 250.0, 0.25, 0.03),
    class("batch", 20_000, 60, 400.0, 0.10, 0.02),
];

const fn class(
    name: &'static str,
    ms: u64,
    secs: u64,
    tokens: f64,
    part: f64,
    share: f64,
) -> Class {
    Class {
        name,
        target: Span::from_millis(ms),
        gap: Span::from_millis(60),
        patience: Span::from_secs(secs),
        tokens,
        part,
        share,
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Steady,
    Burst,
    Slow,
    Crash,
    Uneven,
}

#[derive(Clone, Copy, PartialEq)]
enum Sharing {
    One,
    Alone,
    Split,
}

#[derive(Clone, Copy)]
struct Site {
    sharing: Sharing,
    engines: u32,
    slots: u32,
    scenario: Scenario,
}

impl Site {
    fn capacity(self) -> f64 {
        let speeds = (0..self.engines).map(|index| speed(index as usize));
        speeds.sum::<f64>() * f64::from(self.slots)
    }

    fn dispatchers(self) -> usize {
        match self.sharing {
            Sharing::One => 1,
            Sharing::Alone | Sharing::Split => ENTRY_VMS as usize,
        }
    }

    /// Returns the slots of an engine that each dispatcher may use.
    ///
    /// If the slots are split, load reports would count the other dispatchers' slots twice.
    fn own_slots(self) -> u32 {
        match self.sharing {
            Sharing::One | Sharing::Alone => self.slots,
            Sharing::Split => (self.slots / ENTRY_VMS).max(1),
        }
    }

    /// Returns the number of requests of other senders at an engine, which take part of its batch.
    fn background(self, index: usize, now: MonoTime) -> usize {
        let phase = (now.0 / 15_000_000) as usize;
        let busy = self.scenario == Scenario::Uneven && (index + phase).is_multiple_of(3);
        if busy { self.slots as usize / 2 } else { 0 }
    }
}

struct Arrival {
    at: MonoTime,
    class: usize,
    customer: u32,
    tokens: u32,
}

struct Running {
    request: RequestId,
    index: usize,
    sent: MonoTime,
    prefill: f64,
    done: f64,
    first: Option<MonoTime>,
}

struct Engine {
    speed: f64,
    running: Vec<Running>,
    reports: VecDeque<(MonoTime, u32)>,
}

#[derive(Default, Clone)]
struct Tally {
    offered: u32,
    in_time: u32,
    late: u32,
    shed: u32,
    work_in_time: f64,
    work_late: f64,
    work_lost: f64,
    windows: Vec<u32>,
}

fn slot_seconds(tokens: f64) -> f64 {
    PREFILL_SECONDS + tokens * STEP_SECONDS * 1.5
}

fn speed(index: usize) -> f64 {
    1.0 + 3.0 * (index % 4) as f64 / 3.0
}

fn arrivals(demand: f64, site: Site, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut list = Vec::new();
    for (index, class) in CLASSES.iter().enumerate() {
        let rate = demand * class.part * site.capacity() / slot_seconds(class.tokens);
        let mut at = 0.0;
        while at < RUN_LENGTH.as_secs_f64() {
            let burst =
                site.scenario == Scenario::Burst && index == 2 && (40.0..50.0).contains(&at);
            let rate = if burst { rate * 5.0 } else { rate };
            at -= rng.random::<f64>().max(1e-12).ln() / rate;
            let tokens = -class.tokens * rng.random::<f64>().max(1e-12).ln();
            list.push(Arrival {
                at: MonoTime((at * 1e6) as u64),
                class: index,
                customer: rng.random_range(0..8),
                tokens: (tokens as u32).clamp(1, 4_000),
            });
        }
    }
    list.sort_by_key(|arrival| arrival.at);
    list
}

struct Bench {
    site: Site,
    policies: Vec<Box<dyn PoolPolicy>>,
    priority_inversions: u32,
    arrivals: Vec<Arrival>,
    engines: Vec<Engine>,
    tallies: Vec<Tally>,
    decisions: Vec<Decision>,
    origin: InstanceId,
}

/// The simulated pool.
const POOL: PoolId = PoolId {
    centre: CentreId(1),
    model: ModelId(1),
};

impl Bench {
    fn open(kind: PolicyKind, demand: f64, site: Site, seed: u64) -> Self {
        let pool = POOL;
        let engine = |index| Engine {
            speed: speed(index),
            running: Vec::new(),
            reports: VecDeque::new(),
        };
        let mut bench = Self {
            site,
            policies: (0..site.dispatchers())
                .map(|_| open(kind, PoolConfig::engines(pool)))
                .collect(),
            priority_inversions: 0,
            arrivals: arrivals(demand, site, seed),
            engines: (0..site.engines as usize).map(engine).collect(),
            tallies: vec![Tally::default(); CLASSES.len()],
            decisions: Vec::new(),
            origin: InstanceId {
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                incarnation: 1,
            },
        };
        bench.set_records();
        bench
    }

    fn set_records(&mut self) {
        let backends: Vec<BackendView> = (0..self.site.engines)
            .map(|index| BackendView {
                backend: BackendId(index),
                slots: self.site.own_slots(),
                speed: speed(index as usize),
                leaving: false,
                reachable: true,
            })
            .collect();
        let classes: Vec<ClassView> = (0..CLASSES.len())
            .map(|index| ClassView {
                class: ClassId(index as u32),
                first_token_target: CLASSES[index].target,
                token_gap_target: CLASSES[index].gap,
                minimum_share: CLASSES[index].share,
            })
            .collect();
        let customers: Vec<CustomerView> = (0..8)
            .map(|index| CustomerView {
                customer: CustomerId(index),
                weight: 1.0,
            })
            .collect();
        let now = MonoTime(0);
        for policy in &mut self.policies {
            policy.set_classes(&classes, &customers, now, &mut self.decisions);
            policy.set_backends(&backends, now, &mut self.decisions);
        }
    }

    fn run(&mut self) {
        let mut next = 0;
        let end = MonoTime(RUN_LENGTH.0) + Span::from_secs(60);
        let mut now = MonoTime(0);
        while now < end {
            while next < self.arrivals.len() && self.arrivals[next].at <= now {
                self.offer(next, now);
                next += 1;
            }
            if now.0.is_multiple_of(20_000) {
                for policy in &mut self.policies {
                    policy.tick(now, &mut self.decisions);
                }
            }
            if now.0.is_multiple_of(1_000_000) && self.site.sharing != Sharing::Split {
                self.report(now);
            }
            self.apply(now);
            self.advance(now);
            now = now + STEP;
        }
    }

    fn offer(&mut self, index: usize, now: MonoTime) {
        let arrival = &self.arrivals[index];
        let class = &CLASSES[arrival.class];
        let ticket = Ticket {
            request: RequestId {
                origin: self.origin,
                serial: index as u64,
            },
            pool: POOL,
            class: ClassId(arrival.class as u32),
            tier: Tier(arrival.class as u8),
            customer: CustomerId(arrival.customer),
            waited: now.since(arrival.at),
            target: class.target,
            patience: class.patience,
            prompt_tokens: 500,
            answer_limit: 4_000,
            prefix: None,
            adapter: None,
            avoid: None,
            spilled: false,
            digest: RequestDigest::default(),
        };
        if arrival.at.0 > WARMUP.0 {
            self.tallies[arrival.class].offered += 1;
        }
        let dispatcher = self.dispatcher(index);
        let origin = self.origin;
        self.policies[dispatcher].offer(ticket, origin, now, &mut self.decisions);
    }

    fn dispatcher(&self, index: usize) -> usize {
        index % self.policies.len()
    }

    /// Counts a shed ticket, and whether another dispatcher had a lower tier queued.
    fn count_shed(&mut self, index: usize, now: MonoTime) {
        let own = self.dispatcher(index);
        let class = self.arrivals[index].class;
        let others = self.policies.iter().enumerate().filter(|(i, _)| *i != own);
        let mut queued = others.flat_map(|(_, policy)| policy.summary(now).tiers);
        self.priority_inversions += u32::from(queued.any(|tier| usize::from(tier.tier.0) > class));
        if self.arrivals[index].at.0 > WARMUP.0 {
            self.tallies[class].shed += 1;
        }
    }

    fn apply(&mut self, now: MonoTime) {
        for decision in std::mem::take(&mut self.decisions) {
            match decision.notice {
                DecisionNotice::Grant(grant) => {
                    let running = Running {
                        request: grant.request,
                        index: grant.request.serial as usize,
                        sent: now,
                        prefill: PREFILL_SECONDS,
                        done: 0.0,
                        first: None,
                    };
                    self.engines[grant.backend.0 as usize].running.push(running);
                }
                DecisionNotice::Shed(shed) => {
                    self.count_shed(shed.request.serial as usize, now);
                }
            }
        }
    }

    fn report(&mut self, now: MonoTime) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let total = engine.running.len() + self.site.background(index, now);
            engine.reports.push_back((now, total as u32));
            let Some(&(taken, running)) = engine.reports.front() else {
                continue;
            };
            if now.since(taken) < REPORT_LAG {
                continue;
            }
            engine.reports.pop_front();
            let report = LoadReport {
                age: now.since(taken),
                running,
                waiting: 0,
                batch_limit: self.site.slots,
                tokens_per_second: 0.0,
                cache_used: 0.0,
                role: EngineRole::Full,
                models: Vec::new(),
                leaving: false,
            };
            let backend = BackendId(index as u32);
            for policy in &mut self.policies {
                policy.report(backend, &report, now, &mut self.decisions);
            }
        }
    }

    fn advance(&mut self, now: MonoTime) {
        let slots = self.site.slots as usize;
        let is_fault = (FAULT_PERIOD.0..FAULT_PERIOD.1).contains(&now.0);
        let mut ended = Vec::new();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let faulty = is_fault && index == 3;
            let crashed = faulty && self.site.scenario == Scenario::Crash;
            let slow = faulty && self.site.scenario == Scenario::Slow;
            let speed = if slow {
                engine.speed / 10.0
            } else {
                engine.speed
            };
            let background = self.site.background(index, now);
            let batch = (engine.running.len() + background).min(slots);
            let load = batch as f64 / slots as f64;
            let step = STEP_SECONDS * (1.0 + 0.5 * load) / speed;
            let batch = slots - background;
            for running in engine.running.iter_mut().take(batch) {
                let mut left = STEP.as_secs_f64();
                let prefill = running.prefill.min(left * speed);
                running.prefill -= prefill;
                left -= prefill / speed;
                running.done += left / step;
                if running.done >= 1.0 && running.first.is_none() {
                    running.first = Some(now + STEP);
                    let progress = ProgressNotice {
                        request: running.request,
                        pool: POOL,
                        backend: BackendId(index as u32),
                        first_token: (now + STEP).since(running.sent),
                    };
                    let dispatcher = running.index % self.policies.len();
                    self.policies[dispatcher].progress(&progress, now);
                }
            }
            let arrivals = &self.arrivals;
            let is_over = |r: &Running| crashed || r.done >= f64::from(arrivals[r.index].tokens);
            let over = engine.running.extract_if(.., |running| is_over(running));
            ended.extend(over.map(|running| (index, running, crashed)));
        }
        for (index, running, crashed) in ended {
            self.end(index, &running, crashed, now + STEP);
        }
    }

    fn end(&mut self, engine: usize, running: &Running, crashed: bool, now: MonoTime) {
        let arrival = &self.arrivals[running.index];
        let class = &CLASSES[arrival.class];
        let tokens = (running.done as u32).min(arrival.tokens);
        let first = running.first.unwrap_or(now);
        let total = now.since(running.sent);
        let gap = now.since(first).0 / u64::from(tokens.max(2) - 1);
        let work = slot_seconds(f64::from(tokens));
        let tally = &mut self.tallies[arrival.class];
        if arrival.at.0 > WARMUP.0 {
            if crashed {
                tally.work_lost += work;
            } else if first.since(arrival.at) <= class.target && gap <= class.gap.0 {
                tally.in_time += 1;
                tally.work_in_time += work;
            } else {
                tally.late += 1;
                tally.work_late += work;
            }
        }
        let window = (now.0 / WINDOW.0) as usize;
        tally.windows.resize(tally.windows.len().max(window + 1), 0);
        tally.windows[window] += u32::from(!crashed);
        let release = ReleaseNotice {
            request: running.request,
            pool: POOL,
            backend: BackendId(engine as u32),
            end: if crashed {
                EndKind::Failed
            } else {
                EndKind::Finished
            },
            first_token: running.first.map(|first| first.since(running.sent)),
            total,
            tokens,
            digest: RequestDigest::default(),
        };
        let dispatcher = self.dispatcher(running.index);
        self.policies[dispatcher].release(&release, now, &mut self.decisions);
    }

    fn print(&self, kind: PolicyKind, demand: f64) {
        let measured = (RUN_LENGTH.saturating_sub(WARMUP)).as_secs_f64();
        let able = self.site.capacity() * measured * demand.min(1.0);
        let sum = |f: fn(&Tally) -> f64| self.tallies.iter().map(f).sum::<f64>();
        let in_time = sum(|t| t.work_in_time);
        let late = sum(|t| t.work_late);
        let lost = sum(|t| t.work_lost);
        let offered = sum(|t| f64::from(t.offered));
        print!(
            "{kind:<12} {demand:>4.1} | {:>6.3} {:>6.3} {:>6.3} {:>5.3} |",
            sum(|t| f64::from(t.in_time)) / offered,
            in_time / able,
            (in_time + late) / able,
            (late + lost) / (in_time + late + lost),
        );
        for (class, tally) in CLASSES.iter().zip(&self.tallies) {
            let offered = f64::from(tally.offered);
            let windows = (RUN_LENGTH.0 / WINDOW.0) as usize;
            let least = tally.windows.iter().take(windows).min();
            print!(
                " {} {:.3} late {:.3} shed {:.3} least {} |",
                class.name,
                f64::from(tally.in_time) / offered,
                f64::from(tally.late) / offered,
                f64::from(tally.shed) / offered,
                least.copied().unwrap_or(0),
            );
        }
        println!(" broken {}", self.priority_inversions);
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seed = args.next().and_then(|text| text.parse().ok()).unwrap_or(1);
    let scenario = match args.next().as_deref() {
        Some("burst") => Scenario::Burst,
        Some("slow") => Scenario::Slow,
        Some("crash") => Scenario::Crash,
        Some("uneven") => Scenario::Uneven,
        _ => Scenario::Steady,
    };
    let mut number = |usual| args.next().and_then(|t| t.parse().ok()).unwrap_or(usual);
    let (engines, slots) = (number(24), number(16));
    let sharing = match args.next().as_deref() {
        Some("alone") => Sharing::Alone,
        Some("split") => Sharing::Split,
        _ => Sharing::One,
    };
    let site = Site {
        sharing,
        engines,
        slots,
        scenario,
    };
    println!(
        "policy     demand | attain in-time  done waste | by class (least: fewest answers in 30 s)"
    );
    for demand in [0.7, 1.0, 1.5] {
        for kind in PolicyKind::ALL {
            let mut bench = Bench::open(kind, demand, site, seed);
            bench.run();
            bench.print(kind, demand);
        }
    }
}
