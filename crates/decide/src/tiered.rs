//! The tiered pool policy: tiers, deadlines, shares, adaptive limits and ejection.
//!
//! The order of dispatch is described in [`dispatch`](crate::dispatch), the rules of shedding in
//! [`shed`](crate::shed). Together they guarantee:
//!
//! - A ticket is dispatched ahead of a higher tier's ticket that could use the slot only by the
//!   minimum share of its class, and never if a higher tier's ticket would exceed its patience
//!   because of that.
//! - When a ticket is shed because the queue is full or because it is hopeless, no ticket of a
//!   lower tier is queued.
//! - A backend server never gets a grant beyond its limit, and none while it is leaving.
//! - Every offered ticket has exactly one outcome.
//!
//! Two dispatchers that serve one pool at the same time each keep to the limits by the grants that
//! they know of. Together they send at most twice the slots of a backend server, until its next
//! load report shows each of them the other's requests. A new dispatcher that waits for
//! [`PoolConfig::rebuild_span`] learns of its predecessor's grants from the entry VMs.

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, GrantNotice, LoadReport, ReleaseNotice};

use crate::backend_set::BackendSet;
use crate::config::{PoolConfig, PoolKind};
use crate::grant_table::{GrantEntry, GrantTable};
use crate::length::LengthEstimator;
use crate::meter::RateMeter;
use crate::policy::{Decision, DecisionNotice, DeferredText, PoolPolicy};
use crate::pool_queue::PoolQueue;
use crate::queue_time::QueueTime;
use crate::share_ledger::ShareLedger;
use crate::slot_reserve::{PoolSupply, SlotReserve, TierDemand};
use crate::summary::{BackendSummary, PoolSummary};
use crate::verify::VerifyError;
use crate::views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};

/// The averaging window of the arrival and release rates.
const ARRIVAL_WINDOW: Span = Span::from_secs(10);

/// The tiered pool policy.
#[derive(Debug)]
pub struct TieredPool {
    pub(crate) config: PoolConfig,
    pub(crate) queue: PoolQueue,
    pub(crate) grants: GrantTable,
    pub(crate) backends: BackendSet,
    pub(crate) ledger: ShareLedger,
    pub(crate) lengths: LengthEstimator,
    pub(crate) classes: FastMap<ClassId, ClassView>,
    pub(crate) arrivals: [RateMeter; Tier::COUNT],
    releases: RateMeter,
    targets: [Span; Tier::COUNT],
    pub(crate) reserve: SlotReserve,
    pub(crate) last_shed: [Option<MonoTime>; Tier::COUNT],
    pub(crate) last_grant: [Option<MonoTime>; Tier::COUNT],
    pub(crate) saturated_since: Option<MonoTime>,
    pub(crate) no_backend_since: Option<MonoTime>,
    pub(crate) opened: Option<MonoTime>,
    pub(crate) latest_time: MonoTime,
}

impl TieredPool {
    /// Creates an empty pool.
    pub fn open(config: PoolConfig) -> Self {
        Self {
            queue: PoolQueue::open(),
            grants: GrantTable::default(),
            backends: BackendSet::open(config.report_stale),
            ledger: ShareLedger::open(),
            lengths: LengthEstimator::open(),
            classes: FastMap::default(),
            arrivals: [RateMeter::open(ARRIVAL_WINDOW); Tier::COUNT],
            releases: RateMeter::open(ARRIVAL_WINDOW),
            targets: [Span(u64::MAX); Tier::COUNT],
            reserve: SlotReserve::default(),
            last_shed: [None; Tier::COUNT],
            last_grant: [None; Tier::COUNT],
            saturated_since: None,
            no_backend_since: None,
            opened: None,
            latest_time: MonoTime::default(),
            config,
        }
    }

    /// Returns the index of a tier in arrays indexed by tier.
    pub(crate) fn tier_index(tier: Tier) -> usize {
        usize::from(tier.0).min(Tier::COUNT - 1)
    }

    /// Returns the estimated work of a ticket, in tokens or in calls.
    pub(crate) fn work(&self, ticket: &Ticket) -> u32 {
        match self.config.kind {
            PoolKind::Engines => {
                self.lengths
                    .estimate(ticket.class, ticket.customer, ticket.answer_limit)
            }
            PoolKind::Services => 1,
        }
    }

    /// Grants a slot of a backend server to a ticket that has been removed from the queue.
    pub(crate) fn grant(
        &mut self,
        ticket: Ticket,
        owner: InstanceId,
        backend: BackendId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_grant(ticket.request, now, now);
        }
        if let Some(prefix) = ticket.prefix {
            self.backends.prefixes_mut().store(backend, prefix, now);
        }
        out.push(grant_decision(ticket.request, backend, owner));
        self.last_grant[Self::tier_index(ticket.tier)] = Some(now);
        self.grants.insert(GrantEntry {
            ticket,
            owner,
            backend,
            granted: now,
            first_token_seen: false,
            orphan_expiry: None,
        });
    }

    /// Frees the slot of a grant that has been removed from the table.
    fn free_slot(&mut self, entry: &GrantEntry, now: MonoTime) {
        self.ledger.on_end(entry.ticket.class, now);
        if let Some(state) = self.backends.get_mut(entry.backend) {
            state.on_end(entry.ticket.request, entry.granted, now);
        }
    }

    /// Recomputes the slots that lower tiers must leave free.
    fn update_reserve(&mut self, now: MonoTime) {
        let Some(capacity) = self.backends.capacity() else {
            return;
        };
        let first = self.backends.typical_first_token();
        let mut demands = [TierDemand::default(); Tier::COUNT];
        for (index, demand) in demands.iter_mut().enumerate() {
            let slack = self.targets[index].saturating_sub(first);
            demand.slack = slack.as_secs_f64();
            demand.work_rate = self.arrivals[index].rate(now);
        }
        let supply = PoolSupply {
            capacity,
            release_rate: self.releases.rate(now),
            slots: self.backends.ceiling(now),
        };
        self.reserve.update(&demands, &supply);
    }

    /// Removes a ticket from the queue and from its class's count; returns whether it was queued.
    pub(crate) fn dequeue(&mut self, request: RequestId, now: MonoTime) -> bool {
        let Some(key) = self.queue.find(request) else {
            return false;
        };
        if let Some(entry) = self.queue.remove(key) {
            self.ledger.on_dequeued(entry.ticket.class, now);
        }
        true
    }

    /// Returns the time before which a deadline can no longer be met.
    pub(crate) fn late_before(&self, now: MonoTime) -> QueueTime {
        QueueTime::from(now + self.backends.typical_first_token())
    }

    fn run_round(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        self.latest_time = self.latest_time.max(now);
        self.shed(now, out);
        self.dispatch(now, out);
    }
}

impl PoolPolicy for TieredPool {
    fn set_backends(&mut self, backends: &[BackendView], now: MonoTime, out: &mut Vec<Decision>) {
        self.backends.set_views(backends, &self.config, now);
        self.backends.tick(now);
        self.run_round(now, out);
    }

    fn set_classes(
        &mut self,
        classes: &[ClassView],
        customers: &[CustomerView],
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        self.classes.clear();
        self.ledger.clear_shares();
        for class in classes {
            self.ledger.set_share(class.class, class.minimum_share, now);
            self.classes.insert(class.class, class.clone());
        }
        let weights = customers.iter().map(|view| (view.customer, view.weight));
        self.queue.set_weights(weights.collect());
        self.run_round(now, out);
    }

    fn offer(&mut self, ticket: Ticket, from: InstanceId, now: MonoTime, out: &mut Vec<Decision>) {
        if let Some(entry) = self.grants.get_mut(ticket.request) {
            entry.owner = from;
            entry.orphan_expiry = None;
            out.push(grant_decision(ticket.request, entry.backend, from));
            return;
        }
        if let Some(key) = self.queue.find(ticket.request) {
            self.queue.set_owner(key, from);
            return;
        }
        self.latest_time = self.latest_time.max(now);
        let work = self.work(&ticket);
        let index = Self::tier_index(ticket.tier);
        self.arrivals[index].add(f64::from(work), now);
        self.targets[index] = self.targets[index].min(ticket.target);
        if self.admit(&ticket, from, now, out) {
            self.ledger.on_queued(ticket.class, now);
            self.queue.insert(ticket, from, work, now);
            self.run_round(now, out);
        }
    }

    fn withdraw(&mut self, request: RequestId, now: MonoTime, out: &mut Vec<Decision>) {
        self.dequeue(request, now);
        if let Some(entry) = self.grants.remove(request) {
            self.free_slot(&entry, now);
        }
        self.run_round(now, out);
    }

    fn release(&mut self, release: &ReleaseNotice, now: MonoTime, out: &mut Vec<Decision>) {
        let Some(entry) = self.grants.remove(release.request) else {
            return;
        };
        self.releases.add(1.0, now);
        self.free_slot(&entry, now);
        self.observe_release(&entry, release, now);
        self.run_round(now, out);
    }

    fn adopt(
        &mut self,
        held_grant: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let request = held_grant.ticket.request;
        self.dequeue(request, now);
        if let Some(entry) = self.grants.remove(request) {
            self.free_slot(&entry, now);
        }
        let granted = now - held_grant.age;
        self.backends
            .get_or_open(held_grant.backend, &self.config, now)
            .on_grant(request, granted, now);
        self.ledger.on_adopted(held_grant.ticket.class, now);
        self.grants.insert(GrantEntry {
            ticket: held_grant.ticket.clone(),
            owner: from,
            backend: held_grant.backend,
            granted,
            first_token_seen: false,
            orphan_expiry: None,
        });
        self.run_round(now, out);
    }

    fn reconcile(
        &mut self,
        from: InstanceId,
        held: &[RequestId],
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let before = now - self.config.reconcile_delay;
        for entry in self.grants.take_lost(from, held, before) {
            self.free_slot(&entry, now);
        }
        self.run_round(now, out);
    }

    fn progress(&mut self, progress: &ProgressNotice, now: MonoTime) {
        let Some(entry) = self.grants.get_mut(progress.request) else {
            return;
        };
        if entry.first_token_seen || entry.backend != progress.backend {
            return;
        }
        entry.first_token_seen = true;
        let granted = entry.granted;
        if let Some(state) = self.backends.get_mut(progress.backend) {
            state.on_first_token(progress.request, granted, now);
            state.speed.observe_first_token(progress.first_token);
        }
    }

    fn report(
        &mut self,
        backend: BackendId,
        report: &LoadReport,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.report(report, now);
            self.backends.probe_if_all_ejected(now);
            self.run_round(now, out);
        }
    }

    fn cache_event(&mut self, backend: BackendId, event: CacheEvent, now: MonoTime) {
        if self.backends.get_mut(backend).is_some() {
            self.backends.prefixes_mut().event(backend, event, now);
        }
    }

    fn instance_gone(&mut self, instance: InstanceId, now: MonoTime, out: &mut Vec<Decision>) {
        let gone = self.queue.iter().filter(|entry| entry.owner == instance);
        let gone: Vec<RequestId> = gone.map(|entry| entry.ticket.request).collect();
        for request in gone {
            self.dequeue(request, now);
        }
        self.grants
            .mark_orphaned(instance, now + self.config.orphan_delay);
        self.run_round(now, out);
    }

    fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        for entry in self.grants.take_expired_orphans(now) {
            self.free_slot(&entry, now);
        }
        self.backends.tick(now);
        self.queue.remove_idle_lanes();
        self.update_reserve(now);
        if let Some(capacity) = self.backends.capacity() {
            let window = capacity * self.config.fairness_window.as_secs_f64();
            self.queue.set_window(window);
        }
        self.run_round(now, out);
    }

    fn summary(&self, now: MonoTime) -> PoolSummary {
        self.summarize(now)
    }

    fn backend_summaries(&self, now: MonoTime) -> Vec<BackendSummary> {
        self.backends
            .iter()
            .filter(|state| state.listed)
            .map(|state| state.summary(now))
            .collect()
    }

    fn dump(&self, now: MonoTime) -> String {
        self.dump_copy(now).write()
    }

    fn dump_later(&self, now: MonoTime) -> DeferredText {
        let copy = self.dump_copy(now);
        Box::new(move || copy.write())
    }

    fn verify(&self) -> Result<(), VerifyError> {
        self.check()
    }
}

fn grant_decision(request: RequestId, backend: BackendId, to: InstanceId) -> Decision {
    let notice = DecisionNotice::Grant(GrantNotice { request, backend });
    Decision { to, notice }
}
