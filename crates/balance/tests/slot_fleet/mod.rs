//! Plays gateways that lease the slots of brittle backend servers, in virtual time.
//!
//! Requests arrive at random gateways. Each asks the owners of a backend server's slots as the gateways do, by messages
//! that take a while and may be lost. A backend server without a free slot turns a request away, and falls over with
//! too many of these in a second. What one chooser that knows all slots would serve is played beside it, on the same
//! arrivals.

mod asker;
mod owner;
mod plan;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oleander_balance::{
    LeaseAsk, LeaseEnd, LeaseId, LeaseReply, OwnerCandidate, OwnerRole, SlotLedger, SlotTerms,
    slot_owners,
};
use oleander_base::prelude::*;
use oleander_base::{FastMap, FastSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use self::plan::{FleetPlan, FleetResult, GatewayFault};

const START: MonoTime = MonoTime(1_000_000_000);
const REPLY_TIMEOUT: Span = Span::from_millis(50);
const MIN_SILENT_TIME: Span = Span::from_millis(250);
const MAX_SILENT_TIME: Span = Span::from_secs(2);
const SLOT_WAIT: Span = Span::from_millis(60);
const RENEW_INTERVAL: Span = Span::from_millis(333);
const DOWN_TIME: Span = Span::from_secs(2);
const MEMBERSHIP_LAG: Span = Span::from_secs(5);
const VIEW_JITTER_US: u64 = 1_000_000;
const NO_OWNER_PAUSE: Span = Span::from_millis(250);
const MAX_TRIES: usize = 4;
const ASKS: u32 = 3;
/// More gateways than can fail in one play.
const MAX_RANKS: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BackendRef {
    index: usize,
    generation: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Arrival,
    /// The request asks the next owner.
    Timeout {
        request: usize,
        step: u32,
    },
    Ask {
        request: usize,
        step: u32,
        owner: usize,
        lease: LeaseId,
        backend: BackendRef,
        wait: Span,
    },
    Reply {
        request: usize,
        step: u32,
        owner: usize,
        reply: LeaseReply,
    },
    Release {
        owner: usize,
        lease: LeaseId,
        backend: BackendRef,
        end: LeaseEnd,
    },
    Renew {
        owner: usize,
        lease: LeaseId,
        backend: BackendRef,
    },
    Send {
        request: usize,
        backend: BackendRef,
    },
    Done {
        request: usize,
        backend: BackendRef,
    },
    Answer {
        request: usize,
        end: LeaseEnd,
    },
    RenewRound,
    Back {
        index: usize,
    },
    Fault {
        number: usize,
    },
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    urgency: u8,
    backend: BackendRef,
    tried: Vec<usize>,
    /// The place of the owner that is asked, and how often it was.
    place: usize,
    asks: u32,
    /// Counts what happened, so that an earlier timeout is known as such.
    step: u32,
    waits: bool,
    lease: LeaseId,
    /// The owner that granted the lease, while the request runs.
    granted_by: Option<usize>,
    counts: bool,
}

#[derive(Debug, Default)]
struct Backend {
    running: u32,
    rejections: VecDeque<MonoTime>,
    generation: usize,
    is_down: bool,
}

#[derive(Debug, Default, Clone)]
struct Gateway {
    /// The owners that did not answer: until when they are not asked, and for how long.
    silent: FastMap<usize, (MonoTime, Span)>,
    full: FastMap<usize, MonoTime>,
    paused_until: MonoTime,
    cut_until: MonoTime,
    killed_at: Option<MonoTime>,
    joined_at: Option<MonoTime>,
}

/// A play that runs.
pub(crate) struct SlotFleet {
    plan: FleetPlan,
    now: MonoTime,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(MonoTime, u64, usize)>>,
    events: Vec<Event>,
    gateways: Vec<Gateway>,
    /// The first gateways by rank for each backend server.
    rankings: Vec<Vec<usize>>,
    view_lags: Vec<Span>,
    backends: Vec<Backend>,
    ledgers: FastMap<(usize, usize, usize), SlotLedger>,
    asked_by: FastMap<LeaseId, (usize, u32)>,
    /// The releases since the last round, which are told once more then.
    released: Vec<(usize, Event)>,
    running: FastSet<usize>,
    requests: Vec<Request>,
    result: FleetResult,
}

impl SlotFleet {
    /// Plays a plan to its end.
    pub(crate) fn play(plan: &FleetPlan) -> FleetResult {
        let mut fleet = Self::open(plan.clone());
        fleet.run();
        let perfect = perfect(plan);
        FleetResult {
            perfect: perfect.served,
            perfect_arrived: perfect.arrived,
            ..fleet.result
        }
    }

    fn open(plan: FleetPlan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let joins = plan
            .faults
            .iter()
            .filter(|(_, fault)| *fault == GatewayFault::Join);
        let gateways = plan.gateways + joins.count();
        let lags = (0..gateways).map(|_| Span(random.random_range(0..VIEW_JITTER_US)));
        let mut fleet = Self {
            now: START,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            gateways: vec![Gateway::default(); gateways],
            rankings: (0..plan.backends)
                .map(|backend| ranking(gateways, backend))
                .collect(),
            view_lags: lags.collect(),
            backends: (0..plan.backends).map(|_| Backend::default()).collect(),
            ledgers: FastMap::default(),
            asked_by: FastMap::default(),
            released: Vec::new(),
            running: FastSet::default(),
            requests: Vec::new(),
            result: FleetResult::default(),
            random,
            plan,
        };
        for gateway in &mut fleet.gateways[fleet.plan.gateways..] {
            gateway.joined_at = Some(MonoTime(u64::MAX));
        }
        fleet.at(Span::ZERO, Event::Arrival);
        fleet.at(RENEW_INTERVAL, Event::RenewRound);
        for number in 0..fleet.plan.faults.len() {
            fleet.at(fleet.plan.faults[number].0, Event::Fault { number });
        }
        fleet
    }

    fn at(&mut self, after: Span, event: Event) {
        let order = self.events.len();
        self.events.push(event);
        self.queue
            .push(Reverse((self.now + after, order as u64, order)));
    }

    fn run(&mut self) {
        let end = START + self.plan.length;
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(self.events[index]);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Timeout { request, step } => self.on_timeout(request, step),
            Event::Ask {
                request,
                step,
                owner,
                lease,
                backend,
                wait,
            } => {
                self.on_ask(request, step, owner, lease, backend, wait);
            }
            Event::Reply {
                request,
                step,
                owner,
                reply,
            } => self.on_reply(request, step, owner, reply),
            Event::Release {
                owner,
                lease,
                backend,
                end,
            } => self.on_release(owner, lease, backend, end),
            Event::Renew {
                owner,
                lease,
                backend,
            } => self.on_renew(owner, lease, backend),
            Event::Send { request, backend } => self.on_send(request, backend),
            Event::Done { request, backend } => self.on_done(request, backend),
            Event::Answer { request, end } => self.on_answer(request, end),
            Event::RenewRound => self.on_renew_round(),
            Event::Back { index } => self.backends[index].is_down = false,
            Event::Fault { number } => self.on_fault(number),
        }
    }

    fn on_arrival(&mut self) {
        let rate = f64::from(self.plan.slots) * self.plan.backends as f64 * self.plan.load
            / self.plan.work.as_secs_f64();
        let pause = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at(Span((pause * 1e6) as u64), Event::Arrival);
        let gateway = self.random.random_range(0..self.gateways.len());
        let urgency = self.random.random_range(0..3);
        let is_up = self.is_up(gateway);
        let counts = is_up && self.now >= START + self.plan.counts_from;
        self.result.arrived += usize::from(counts);
        if !is_up {
            return;
        }
        let request = self.requests.len();
        self.requests.push(Request {
            gateway,
            urgency,
            backend: BackendRef {
                index: 0,
                generation: 0,
            },
            tried: Vec::new(),
            place: 0,
            asks: 0,
            step: 0,
            waits: false,
            lease: LeaseId(0),
            granted_by: None,
            counts,
        });
        self.choose(request);
    }

    fn is_up(&self, gateway: usize) -> bool {
        let known = &self.gateways[gateway];
        known.killed_at.is_none()
            && known.joined_at.is_none_or(|at| at <= self.now)
            && known.paused_until <= self.now
    }

    /// Returns the owners of a backend server's slots as one gateway sees them.
    fn owners(&self, viewer: usize, backend: usize) -> [Option<usize>; 2] {
        let lag = self.view_lags[viewer];
        let is_known = |number: &usize| {
            let gateway = &self.gateways[*number];
            let has_ended = gateway
                .killed_at
                .is_some_and(|at| at + MEMBERSHIP_LAG + lag <= self.now);
            let is_new = gateway
                .joined_at
                .is_some_and(|at| at.0 == u64::MAX || at + lag > self.now);
            !has_ended && (!is_new || *number == viewer)
        };
        let mut known = self.rankings[backend].iter().copied().filter(is_known);
        [known.next(), known.next()]
    }

    /// Sends a message to another gateway; one to itself takes no time.
    fn message(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            return self.at(Span::ZERO, event);
        }
        self.result.messages += 1;
        let is_cut =
            |gateway: &Gateway| gateway.cut_until > self.now || gateway.killed_at.is_some();
        let is_lost = self.random.random::<f64>() < self.plan.loss;
        if is_lost || is_cut(&self.gateways[from]) || is_cut(&self.gateways[to]) {
            return;
        }
        let factor = 0.5 + self.random.random::<f64>();
        let delay = Span((self.plan.delay.0 as f64 * factor) as u64);
        let wakes = self.gateways[to].paused_until.since(self.now);
        self.at(delay.max(wakes), event);
    }

    fn on_send(&mut self, request: usize, at: BackendRef) {
        let window = Span::from_secs(1);
        let now = self.now;
        let (slots, threshold) = (self.plan.slots, self.plan.threshold);
        let backend = &mut self.backends[at.index];
        let back = Span::from_millis(1);
        if backend.generation != at.generation || backend.is_down {
            return self.at(
                back,
                Event::Answer {
                    request,
                    end: LeaseEnd::Free,
                },
            );
        }
        if backend.running < slots {
            backend.running += 1;
            let spread = 0.5 + self.random.random::<f64>();
            let work = Span((self.plan.work.0 as f64 * spread) as u64);
            return self.at(
                work,
                Event::Done {
                    request,
                    backend: at,
                },
            );
        }
        self.result.rejected += 1;
        backend.rejections.push_back(now);
        while backend
            .rejections
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            backend.rejections.pop_front();
        }
        if backend.rejections.len() > threshold as usize {
            self.result.falls += 1;
            *backend = Backend {
                generation: at.generation + 1,
                is_down: true,
                ..Backend::default()
            };
            self.at(DOWN_TIME, Event::Back { index: at.index });
        }
        self.at(
            back,
            Event::Answer {
                request,
                end: LeaseEnd::Rejected,
            },
        );
    }

    fn on_done(&mut self, request: usize, at: BackendRef) {
        let backend = &mut self.backends[at.index];
        if backend.generation == at.generation {
            backend.running -= 1;
            self.result.served += usize::from(self.requests[request].counts);
        }
        self.at(
            Span::from_millis(1),
            Event::Answer {
                request,
                end: LeaseEnd::Free,
            },
        );
    }

    fn on_fault(&mut self, number: usize) {
        let backend = self.random.random_range(0..self.backends.len());
        let owner = self.owners(0, backend)[0].expect("there is an owner");
        let now = self.now;
        let joining = (self.plan.gateways..self.gateways.len())
            .find(|number| self.gateways[*number].joined_at == Some(MonoTime(u64::MAX)));
        match self.plan.faults[number].1 {
            GatewayFault::Pause(span) => self.gateways[owner].paused_until = now + span,
            GatewayFault::Kill => self.gateways[owner].killed_at = Some(now),
            GatewayFault::Cut(span) => self.gateways[owner].cut_until = now + span,
            GatewayFault::Join => {
                let new = joining.expect("each join has a gateway");
                self.gateways[new].joined_at = Some(now);
            }
        }
    }
}

/// Returns the first gateways by rank for a backend server.
fn ranking(gateways: usize, backend: usize) -> Vec<usize> {
    let names: Vec<String> = (0..gateways)
        .map(|number| format!("edge-{number}"))
        .collect();
    let mut ranked = Vec::new();
    while ranked.len() < gateways.min(MAX_RANKS) {
        let unranked = (0..gateways).filter(|number| !ranked.contains(number));
        let candidates = unranked.map(|number| OwnerCandidate {
            name: &names[number],
            capacity: 0,
        });
        let [first, _] = slot_owners(candidates, backend as u64);
        let first = first.expect("a gateway is left");
        let number = names.iter().position(|name| name == first);
        ranked.push(number.expect("it is one of the names"));
    }
    ranked
}

/// Plays one chooser with perfect knowledge: all slots in one pool, without delay.
fn perfect(plan: &FleetPlan) -> FleetResult {
    let pool = FleetPlan {
        gateways: 1,
        backends: 1,
        slots: plan.slots * plan.backends as u32,
        threshold: u32::MAX / 2,
        delay: Span::ZERO,
        loss: 0.0,
        faults: Vec::new(),
        ..plan.clone()
    };
    let mut fleet = SlotFleet::open(pool);
    fleet.run();
    fleet.result
}
