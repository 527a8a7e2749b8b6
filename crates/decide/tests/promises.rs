//! Property tests of the policies' guarantees under any order of events.
//!
//! The tiered policy must meet all guarantees, the baselines those that do not concern tiers.
//!
//! The reference model tracks what is queued and granted, from the calls made and the decisions
//! returned, and checks each decision against that state.

mod common;

use std::collections::BTreeMap;

use common::events::{BACKENDS, Event, event, report};
use common::{backend, classes, config, instance, release, request, ticket};
use oleander_base::prelude::*;
use oleander_base::{CacheEvent, EndKind, PrefixHash, ShedReason};
use oleander_decide::{
    BackendView, Decision, DecisionNotice, HeldGrant, PolicyKind, PoolConfig, PoolPolicy,
    ProgressNotice, TieredPool,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const QUEUE_BOUND: usize = 24;

/// How long after a grant to a lower tier no queued ticket may be shed as hopeless.
const GRANT_WINDOW: Span = Span::from_millis(100);

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    owner: InstanceId,
    offered: MonoTime,
}

#[derive(Debug)]
struct ReferenceModel {
    kind: PolicyKind,
    policy: Box<dyn PoolPolicy>,
    now: MonoTime,
    views: Vec<BackendView>,
    reports_leaving: BTreeMap<BackendId, bool>,
    waiting: BTreeMap<RequestId, Waiting>,
    granted: BTreeMap<RequestId, (BackendId, Ticket, InstanceId)>,
    orphans: Vec<(MonoTime, RequestId)>,
    overtakes: u64,
    last_grant: BTreeMap<Tier, MonoTime>,
    next: u64,
    out: Vec<Decision>,
}

impl ReferenceModel {
    fn open(kind: PolicyKind) -> Self {
        let config = PoolConfig {
            queue_bound: QUEUE_BOUND,
            ..config()
        };
        let mut model = Self {
            kind,
            policy: oleander_decide::open(kind, config),
            now: MonoTime(5_000_000),
            views: (0..BACKENDS).map(|number| backend(number, 3)).collect(),
            reports_leaving: BTreeMap::new(),
            waiting: BTreeMap::new(),
            granted: BTreeMap::new(),
            orphans: Vec::new(),
            overtakes: 0,
            last_grant: BTreeMap::new(),
            next: 0,
            out: Vec::new(),
        };
        let now = model.now;
        model
            .policy
            .set_classes(&classes(), &[], now, &mut model.out);
        model.policy.set_backends(&model.views, now, &mut model.out);
        model
    }

    fn apply(&mut self, event: &Event) {
        let now = self.now;
        match event.clone() {
            Event::Offer {
                class,
                customer,
                waited,
                owner,
                avoid,
            } => {
                let mut ticket = ticket(self.next, class);
                ticket.customer = CustomerId(customer);
                ticket.waited = Span::from_millis(waited);
                ticket.avoid = avoid.map(BackendId);
                self.offer(ticket, instance(owner));
            }
            Event::OfferMany { class, count } => {
                for _ in 0..count {
                    self.offer(ticket(self.next, class), instance(0));
                }
            }
            Event::Reoffer { pick, owner } => self.reoffer(pick, instance(owner)),
            Event::Withdraw { pick } => {
                let serial = pick as u64 % self.next.max(1);
                self.waiting.remove(&request(serial));
                self.granted.remove(&request(serial));
                self.policy.withdraw(request(serial), now, &mut self.out);
            }
            Event::Release { pick, end, tokens } => {
                if let Some((request, backend)) = self.pick_granted(pick) {
                    self.granted.remove(&request);
                    let notice = release(request.serial, backend.0, end, tokens);
                    self.policy.release(&notice, now, &mut self.out);
                }
            }
            Event::Adopt {
                class,
                backend,
                age,
            } => self.adopt(class, BackendId(backend), age),
            Event::Report {
                backend,
                running,
                age,
                leaving,
            } => {
                self.reports_leaving.insert(BackendId(backend), leaving);
                let report = report(running, age, leaving);
                self.policy
                    .report(BackendId(backend), &report, now, &mut self.out);
            }
            Event::Backends {
                leaving,
                unreachable,
                slots,
            } => {
                for (bit, view) in self.views.iter_mut().enumerate() {
                    view.leaving = leaving & (0x11 << bit) == 0x11 << bit;
                    view.reachable = unreachable & (0x11 << bit) != 0x11 << bit;
                    view.slots = slots;
                }
                self.policy.set_backends(&self.views, now, &mut self.out);
            }
            Event::Progress { pick } => {
                if let Some((request, backend)) = self.pick_granted(pick) {
                    let first_token = Span::from_millis(150);
                    let notice = ProgressNotice {
                        request,
                        pool: common::pool(),
                        backend,
                        first_token,
                    };
                    self.policy.progress(&notice, now);
                }
            }
            Event::CacheStored { backend, prefix } => {
                let event = CacheEvent::Stored(PrefixHash(prefix));
                self.policy.cache_event(BackendId(backend), event, now);
            }
            Event::InstanceGone { owner } => self.instance_gone(instance(owner)),
            Event::Advance { millis } => self.advance(millis),
        }
    }

    fn offer(&mut self, ticket: Ticket, owner: InstanceId) {
        self.next += 1;
        let waiting = Waiting {
            ticket: ticket.clone(),
            owner,
            offered: self.now,
        };
        self.waiting.insert(ticket.request, waiting);
        self.policy.offer(ticket, owner, self.now, &mut self.out);
        self.check();
    }

    fn reoffer(&mut self, pick: usize, owner: InstanceId) {
        let serial = pick as u64 % self.next.max(1);
        if let Some(waiting) = self.waiting.get_mut(&request(serial)) {
            waiting.owner = owner;
            let mut ticket = waiting.ticket.clone();
            ticket.waited += self.now.since(waiting.offered);
            self.policy.offer(ticket, owner, self.now, &mut self.out);
        } else if let Some(held) = self.granted.get_mut(&request(serial)) {
            held.2 = owner;
            let ticket = held.1.clone();
            self.orphans
                .retain(|(_, orphan)| *orphan != request(serial));
            self.policy.offer(ticket, owner, self.now, &mut self.out);
        }
    }

    fn adopt(&mut self, class: u8, backend: BackendId, age: u64) {
        let ticket = ticket(self.next, class);
        self.next += 1;
        let age = Span::from_millis(age);
        let holding = HeldGrant {
            ticket: ticket.clone(),
            backend,
            age,
        };
        self.granted
            .insert(ticket.request, (backend, ticket, instance(1)));
        self.policy
            .adopt(&holding, instance(1), self.now, &mut self.out);
    }

    fn instance_gone(&mut self, owner: InstanceId) {
        self.waiting.retain(|_, waiting| waiting.owner != owner);
        let expires = self.now + config().orphan_delay;
        let owned = self.granted.iter().filter(|(_, held)| held.2 == owner);
        let known = |request: &RequestId| self.orphans.iter().any(|(_, r)| r == request);
        let fresh: Vec<_> = owned.map(|(r, _)| *r).filter(|r| !known(r)).collect();
        self.orphans
            .extend(fresh.into_iter().map(|request| (expires, request)));
        self.policy.instance_gone(owner, self.now, &mut self.out);
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
        let now = self.now;
        let granted = &mut self.granted;
        self.orphans.retain(|(expires, request)| {
            if *expires <= now {
                granted.remove(request);
            }
            *expires > now
        });
        self.policy.tick(now, &mut self.out);
    }

    fn pick_granted(&self, pick: usize) -> Option<(RequestId, BackendId)> {
        let index = pick.checked_rem(self.granted.len())?;
        let (request, held) = self.granted.iter().nth(index)?;
        Some((*request, held.0))
    }

    /// Checks the decisions of one call against the model.
    fn check(&mut self) {
        let mut shed_tier: Option<Tier> = None;
        for decision in std::mem::take(&mut self.out) {
            match decision.notice {
                DecisionNotice::Grant(grant) => {
                    if let Some(held) = self.granted.get(&grant.request) {
                        assert_eq!(
                            held.0, grant.backend,
                            "a repeated grant names another backend server"
                        );
                        continue;
                    }
                    let waiting = self.waiting.remove(&grant.request);
                    let waiting = waiting.expect("a grant without a ticket");
                    assert_eq!(waiting.owner, decision.to);
                    let tier = waiting.ticket.tier;
                    assert!(
                        shed_tier.is_none_or(|shed| !shed.is_above(tier)),
                        "{tier} was granted after {shed_tier:?} was shed in the same call"
                    );
                    let above = self.waiting.values().filter(|other| {
                        other.ticket.tier.is_above(tier) && other.ticket.avoid.is_none()
                    });
                    self.overtakes += u64::from(above.count() > 0);
                    self.check_free_slot(grant.backend);
                    self.last_grant.insert(tier, self.now);
                    let held = (grant.backend, waiting.ticket, waiting.owner);
                    self.granted.insert(grant.request, held);
                }
                DecisionNotice::Shed(shed) => {
                    let waiting = self.waiting.remove(&shed.request);
                    let waiting = waiting.expect("a shed notice without a ticket");
                    assert_eq!(waiting.owner, decision.to);
                    self.check_shed(&waiting, shed.reason);
                    if shed.reason != ShedReason::Expired {
                        shed_tier = Some(waiting.ticket.tier);
                    }
                }
            }
        }
        self.policy.verify().unwrap();
    }

    fn check_free_slot(&self, backend: BackendId) {
        let view = self.views.iter().find(|view| view.backend == backend);
        let view = view.expect("a grant on an unknown backend server");
        assert!(!view.leaving && view.reachable, "a grant on {view:?}");
        let is_tiered = self.kind == PolicyKind::Tiered;
        assert!(!is_tiered || self.reports_leaving.get(&backend) != Some(&true));
        let used = self
            .granted
            .values()
            .filter(|held| held.0 == backend)
            .count();
        assert!((used as u32) < view.slots, "{used} in use on {view:?}");
    }

    fn check_shed(&self, waiting: &Waiting, reason: ShedReason) {
        let tier = waiting.ticket.tier;
        if reason == ShedReason::Expired {
            let waited = self.now.since(waiting.offered) + waiting.ticket.waited;
            assert!(waited >= waiting.ticket.patience);
            return;
        }
        if self.kind != PolicyKind::Tiered {
            return;
        }
        if reason == ShedReason::Hopeless {
            self.check_last_grants(waiting);
        }
        let lower = self
            .waiting
            .values()
            .find(|other| tier.is_above(other.ticket.tier));
        assert!(
            lower.is_none(),
            "{tier} was shed ({reason:?}) before {lower:?}"
        );
    }

    /// Checks that a ticket that was queued at the time of a grant to a lower tier is not shed
    /// as hopeless shortly after it.
    fn check_last_grants(&self, waiting: &Waiting) {
        let tier = waiting.ticket.tier;
        let lower = self.last_grant.iter().filter(|(t, _)| tier.is_above(**t));
        for (granted, at) in lower {
            let is_after = *at > waiting.offered && self.now.since(*at) <= GRANT_WINDOW;
            assert!(
                !is_after,
                "{tier} was shed just after {granted} was granted"
            );
        }
    }

    fn check_overtakes(&self) {
        if self.kind != PolicyKind::Tiered {
            return;
        }
        let summary = self.policy.summary(self.now);
        let by_share: u64 = summary
            .classes
            .iter()
            .map(|class| class.granted_by_share)
            .sum();
        assert!(
            self.overtakes <= by_share,
            "{} of {by_share}",
            self.overtakes
        );
    }

    /// Advances the time until all patience has ended, after which no ticket may be queued.
    fn finish(&mut self) {
        for _ in 0..80 {
            self.advance(1_000);
            self.check();
        }
        assert!(self.waiting.is_empty(), "{:?} waits forever", self.waiting);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_in_any_order_of_events(events in prop::collection::vec(event(), 1..250)) {
        run(PolicyKind::Tiered, &events);
    }

    #[test]
    fn baselines_keep_to_slots_and_outcomes(events in prop::collection::vec(event(), 1..120)) {
        run(PolicyKind::RoundRobin, &events);
        run(PolicyKind::Least, &events);
    }
}

fn run(kind: PolicyKind, events: &[Event]) {
    let mut model = ReferenceModel::open(kind);
    for event in events {
        model.apply(event);
        model.check();
        model.check_overtakes();
    }
    model.finish();
}

/// Guards against starvation: while the highest tier always has tickets queued, the minimum share
/// must give a class of the lowest tier a grant about every 1 / share grants.
#[test]
fn each_class_gets_a_grant_in_a_bounded_number_of_grants() {
    let mut policy = TieredPool::open(config());
    let mut out = Vec::new();
    let mut now = MonoTime(0);
    policy.set_classes(&classes(), &[], now, &mut out);
    policy.set_backends(&[backend(0, 4)], now, &mut out);
    let (mut serial, mut since, mut longest) = (0, 0u32, 0u32);
    let offer = |policy: &mut TieredPool, out: &mut _, serial: &mut u64, class, now| {
        let mut ticket = ticket(*serial, class);
        ticket.target = Span::from_secs(3_600);
        ticket.patience = Span::from_secs(7_200);
        *serial += 1;
        policy.offer(ticket, instance(0), now, out);
    };
    for class in [0, 0, 0, 0, 0, 0, 0, 0, 3, 3, 3] {
        offer(&mut policy, &mut out, &mut serial, class, now);
    }
    for _ in 0..2_000 {
        let grants = std::mem::take(&mut out);
        for decision in grants {
            let DecisionNotice::Grant(grant) = decision.notice else {
                panic!("{decision:?}");
            };
            let class = policy.summary(now).classes;
            let waiting = class.iter().find(|summary| summary.class == ClassId(3));
            since += 1;
            if waiting.is_some_and(|summary| summary.queued < 3) {
                longest = longest.max(since);
                since = 0;
                offer(&mut policy, &mut out, &mut serial, 3, now);
            } else {
                offer(&mut policy, &mut out, &mut serial, 0, now);
            }
            now = now + Span::from_millis(50);
            let notice = release(grant.request.serial, 0, EndKind::Finished, 20);
            policy.release(&notice, now, &mut out);
        }
        policy.verify().unwrap();
    }
    assert!(longest > 0 && longest <= 22, "{longest} grants without one");
}

/// Guards against a minimum share that is served although a higher tier's ticket would exceed its
/// patience because of that.
#[test]
fn a_share_never_costs_a_higher_tier_its_patience() {
    let mut policy = TieredPool::open(config());
    let mut out = Vec::new();
    let mut now = MonoTime(0);
    policy.set_classes(&classes(), &[], now, &mut out);
    policy.set_backends(&[backend(0, 1)], now, &mut out);
    let mut serial = 0;
    let mut pending = Vec::new();
    let mut shed = Vec::new();
    for round in 0..400 {
        for class in [0, 0, 3] {
            policy.offer(ticket(serial, class), instance(0), now, &mut out);
            serial += 1;
        }
        for decision in out.drain(..) {
            match decision.notice {
                DecisionNotice::Grant(grant) => pending.push(grant.request.serial),
                DecisionNotice::Shed(notice) => shed.push(notice),
            }
        }
        now = now + Span::from_millis(1_200);
        if let Some(serial) = pending.pop() {
            policy.release(&release(serial, 0, EndKind::Finished, 100), now, &mut out);
        }
        policy.tick(now, &mut out);
        let summary = policy.summary(now);
        let lowest = summary
            .classes
            .iter()
            .find(|class| class.class == ClassId(3));
        if let Some(lowest) = lowest.filter(|_| round > 20) {
            assert!(
                lowest.granted <= 3,
                "tier 0 expires and tier 3 was served: {lowest:?}"
            );
        }
    }
    let highest = shed.iter().filter(|notice| notice.request.serial % 3 < 2);
    assert!(highest.count() > 100, "the highest tier must be overloaded");
}
