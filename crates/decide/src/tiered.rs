//! The product's policy of a pool: tiers, deadlines, shares, adaptive limits and ejection.
//!
//! The order of dispatch stands in [`dispatch`](crate::dispatch), the rules of giving tickets up
//! in [`shed`](crate::shed). What they promise together:
//!
//! - A ticket is dispatched ahead of a higher tier only by the minimum share of its class, and
//!   never while a higher tier's ticket would lose its patience by that.
//! - At the moment when a ticket is shed because the queue is full or because it is hopeless, no
//!   ticket of a lower tier is queued.
//! - A backend server never gets a grant beyond its limit, nor any grant while it is leaving.
//! - Every offered ticket has exactly one outcome.

use std::fmt::Write as _;

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, EndKind, GrantNotice, LoadReport, ReleaseNotice};

use crate::backend_set::BackendSet;
use crate::config::{PoolConfig, PoolKind};
use crate::grant_table::{GrantEntry, GrantTable};
use crate::health::FailureEffect;
use crate::length::LengthEstimator;
use crate::meter::RateMeter;
use crate::policy::{Decision, DecisionNotice, PoolPolicy};
use crate::pool_queue::PoolQueue;
use crate::queue_time::QueueTime;
use crate::share_ledger::ShareLedger;
use crate::slot_limit::TargetSample;
use crate::speed::SpeedSample;
use crate::summary::{ClassSummary, PoolSummary, TierSummary};
use crate::verify::VerifyError;
use crate::views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};

/// Answers shorter than this say nothing of the time between tokens.
const GAP_TOKENS: u32 = 8;

/// The window of the rate at which work arrives.
const ARRIVAL_WINDOW: Span = Span::from_secs(10);

/// The product's policy.
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
    pub(crate) last_shed: [Option<MonoTime>; Tier::COUNT],
    pub(crate) saturated: Option<MonoTime>,
    pub(crate) without_backend: Option<MonoTime>,
    latest: MonoTime,
}

impl TieredPool {
    /// Opens an empty pool.
    pub fn open(config: PoolConfig) -> Self {
        Self {
            queue: PoolQueue::open(config.fairness_window),
            grants: GrantTable::default(),
            backends: BackendSet::open(),
            ledger: ShareLedger::open(),
            lengths: LengthEstimator::open(),
            classes: FastMap::default(),
            arrivals: [RateMeter::open(ARRIVAL_WINDOW); Tier::COUNT],
            last_shed: [None; Tier::COUNT],
            saturated: None,
            without_backend: None,
            latest: MonoTime::default(),
            config,
        }
    }

    /// Returns the index of a tier in arrays over the tiers.
    pub(crate) fn tier_index(tier: Tier) -> usize {
        usize::from(tier.0).min(Tier::COUNT - 1)
    }

    /// Returns the estimated work of a ticket.
    pub(crate) fn work(&self, ticket: &Ticket) -> u32 {
        match self.config.kind {
            PoolKind::Engines => {
                self.lengths
                    .estimate(ticket.class, ticket.customer, ticket.answer_limit)
            }
            PoolKind::Services => 1,
        }
    }

    /// Grants a backend server's slot to a ticket that is no longer queued.
    pub(crate) fn grant(
        &mut self,
        ticket: Ticket,
        owner: InstanceId,
        backend: BackendId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        if let Some(state) = self.backends.get_mut(backend) {
            state.granted(ticket.request, now, now);
        }
        if let Some(prefix) = ticket.prefix {
            self.backends.prefixes_mut().store(backend, prefix, now);
        }
        out.push(grant_decision(ticket.request, backend, owner));
        self.grants.insert(GrantEntry {
            ticket,
            owner,
            backend,
            granted: now,
            first_seen: false,
            lapses: None,
        });
    }

    /// Frees the slot of a grant that was removed from the table.
    fn free_slot(&mut self, entry: &GrantEntry, now: MonoTime) {
        self.ledger.ended(entry.ticket.class, now);
        if let Some(state) = self.backends.get_mut(entry.backend) {
            state.ended(entry.ticket.request, entry.granted, now);
        }
    }

    /// Learns from the end of a grant.
    fn learn(&mut self, entry: &GrantEntry, release: &ReleaseNotice, now: MonoTime) {
        match release.end {
            EndKind::Finished => self.learn_finished(entry, release, now),
            EndKind::Cancelled => {
                if release.tokens > 0
                    && let Some(state) = self.backends.get_mut(entry.backend)
                {
                    state.progressed(now);
                }
            }
            EndKind::Failed => self.learn_failure(entry.backend, now),
            EndKind::Refused => {
                if let Some(state) = self.backends.get_mut(entry.backend) {
                    state.limit.refused();
                }
                self.learn_failure(entry.backend, now);
            }
        }
    }

    fn learn_finished(&mut self, entry: &GrantEntry, release: &ReleaseNotice, now: MonoTime) {
        let ticket = &entry.ticket;
        let is_engine = self.config.kind == PoolKind::Engines;
        if is_engine {
            self.lengths
                .observe(ticket.class, ticket.customer, release.tokens);
        }
        let gap_target = self
            .classes
            .get(&ticket.class)
            .map(|class| class.token_gap_target);
        let Some(state) = self.backends.get_mut(entry.backend) else {
            return;
        };
        state.progressed(now);
        state.health.succeeded(state.view.slots, now);
        let first = release.first_token.filter(|_| is_engine);
        let load = state.occupancy();
        state.speed.observe(&SpeedSample {
            work: if is_engine {
                f64::from(release.tokens)
            } else {
                1.0
            },
            first: first.filter(|_| !entry.first_seen),
            total: release.total,
            load,
        });
        let served = if is_engine {
            first
        } else {
            Some(release.total)
        };
        let gap = gap_target
            .filter(|_| is_engine)
            .and_then(|target| gap_sample(release, target));
        state
            .limit
            .observe(gap, served.map(|span| sample(span, ticket.target)));
    }

    fn learn_failure(&mut self, backend: BackendId, now: MonoTime) {
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        if state.health.failed(now) == FailureEffect::Eject {
            self.backends
                .eject(backend, self.config.ejection_share, now);
        }
    }

    /// Counts a ticket out of the queue.
    pub(crate) fn unqueue(&mut self, request: RequestId, now: MonoTime) -> bool {
        let Some(key) = self.queue.find(request) else {
            return false;
        };
        if let Some(entry) = self.queue.remove(key) {
            self.ledger.left(entry.ticket.class, now);
        }
        true
    }

    fn class_summaries(&self) -> Vec<ClassSummary> {
        let accounts = self.ledger.accounts();
        accounts
            .map(|(class, account)| ClassSummary {
                class,
                queued: account.queued,
                running: account.running,
                granted: account.granted,
                granted_by_share: account.granted_by_share,
                shed: account.shed,
            })
            .collect()
    }

    fn settle(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        self.latest = self.latest.max(now);
        self.shed(now, out);
        self.dispatch(now, out);
    }
}

impl PoolPolicy for TieredPool {
    fn set_backends(&mut self, backends: &[BackendView], now: MonoTime, out: &mut Vec<Decision>) {
        self.backends.set_views(backends, &self.config, now);
        self.backends.tick(now);
        self.settle(now, out);
    }

    fn set_classes(
        &mut self,
        classes: &[ClassView],
        customers: &[CustomerView],
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        self.classes.clear();
        for class in classes {
            self.ledger.set_share(class.class, class.minimum_share, now);
            self.classes.insert(class.class, class.clone());
        }
        let weights = customers.iter().map(|view| (view.customer, view.weight));
        self.queue.set_weights(weights.collect());
        self.settle(now, out);
    }

    fn offer(&mut self, ticket: Ticket, from: InstanceId, now: MonoTime, out: &mut Vec<Decision>) {
        if let Some(entry) = self.grants.get_mut(ticket.request) {
            entry.owner = from;
            entry.lapses = None;
            out.push(grant_decision(ticket.request, entry.backend, from));
            return;
        }
        if let Some(key) = self.queue.find(ticket.request) {
            self.queue.set_owner(key, from);
            return;
        }
        self.latest = self.latest.max(now);
        let work = self.work(&ticket);
        self.arrivals[Self::tier_index(ticket.tier)].add(f64::from(work), now);
        if self.admit(&ticket, from, now, out) {
            self.ledger.queued(ticket.class, now);
            self.queue.insert(ticket, from, work, now);
            self.settle(now, out);
        }
    }

    fn withdraw(&mut self, request: RequestId, now: MonoTime, out: &mut Vec<Decision>) {
        self.unqueue(request, now);
        if let Some(entry) = self.grants.remove(request) {
            self.free_slot(&entry, now);
        }
        self.settle(now, out);
    }

    fn release(&mut self, release: &ReleaseNotice, now: MonoTime, out: &mut Vec<Decision>) {
        let Some(entry) = self.grants.remove(release.request) else {
            return;
        };
        self.free_slot(&entry, now);
        self.learn(&entry, release, now);
        self.settle(now, out);
    }

    fn adopt(
        &mut self,
        holding: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let request = holding.ticket.request;
        self.unqueue(request, now);
        if let Some(entry) = self.grants.remove(request) {
            self.free_slot(&entry, now);
        }
        let granted = now - holding.age;
        self.backends
            .get_or_open(holding.backend, &self.config, now)
            .granted(request, granted, now);
        self.ledger.adopted(holding.ticket.class, now);
        self.grants.insert(GrantEntry {
            ticket: holding.ticket.clone(),
            owner: from,
            backend: holding.backend,
            granted,
            first_seen: false,
            lapses: None,
        });
        self.settle(now, out);
    }

    fn progress(&mut self, progress: &ProgressNotice, now: MonoTime) {
        let Some(entry) = self.grants.get_mut(progress.request) else {
            return;
        };
        if entry.first_seen || entry.backend != progress.backend {
            return;
        }
        entry.first_seen = true;
        if let Some(state) = self.backends.get_mut(progress.backend) {
            state.progressed(now);
            state.speed.observe_first(progress.first_token);
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
            self.backends.keep_one(now);
            self.settle(now, out);
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
            self.unqueue(request, now);
        }
        self.grants.orphan(instance, now + self.config.orphan_delay);
        self.settle(now, out);
    }

    fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        for entry in self.grants.take_lapsed(now) {
            self.free_slot(&entry, now);
        }
        self.backends.tick(now);
        self.queue.sweep();
        self.settle(now, out);
    }

    fn summary(&self, now: MonoTime) -> PoolSummary {
        let states = || self.backends.iter().filter(|state| state.is_usable());
        let tiers = self.queue.tiers().map(|(tier, queue)| TierSummary {
            tier,
            queued: queue.len() as u32,
            expected_wait: self.expected_wait(tier, now).unwrap_or(Span::ZERO),
        });
        PoolSummary {
            pool: self.config.pool,
            slots_total: states().map(|state| state.ceiling(now)).sum(),
            slots_used: states().map(|state| state.in_use()).sum(),
            backends_usable: states().count() as u32,
            backends_ejected: states().filter(|s| s.health.is_ejected(now)).count() as u32,
            saturated: self.saturated.is_some(),
            tiers: tiers.collect(),
            classes: self.class_summaries(),
        }
    }

    fn dump(&self, now: MonoTime) -> String {
        let mut text = self.summary(now).to_string();
        self.backends.dump(self.config.report_stale, now, &mut text);
        let mut entries: Vec<_> = self.queue.iter().collect();
        entries.sort_unstable_by_key(|entry| (entry.ticket.tier, entry.due, entry.key));
        for entry in entries {
            let ticket = &entry.ticket;
            let _ = writeln!(
                text,
                "  queued {} {} {} {} due {} expires {} work {}",
                ticket.request,
                ticket.tier,
                ticket.class,
                ticket.customer,
                entry.due,
                entry.expires,
                entry.work
            );
        }
        let mut grants: Vec<_> = self.grants.iter().collect();
        grants.sort_unstable_by_key(|entry| (entry.granted, entry.ticket.request));
        for entry in grants {
            let _ = writeln!(
                text,
                "  granted {} {} at {}",
                entry.ticket.request, entry.backend, entry.granted
            );
        }
        text
    }

    fn verify(&self) -> Result<(), VerifyError> {
        self.queue.verify()?;
        self.backends.verify(self.latest)?;
        let bound = self.config.queue_bound;
        if self.queue.len() > bound {
            let queued = self.queue.len();
            return Err(VerifyError::QueueBound { queued, bound });
        }
        let twice = self.queue.iter().map(|entry| entry.ticket.request);
        if let Some(request) = twice.into_iter().find(|r| self.grants.contains(*r)) {
            return Err(VerifyError::TwoStates(request));
        }
        let mut counts: FastMap<BackendId, u32> = FastMap::default();
        for entry in self.grants.iter() {
            *counts.entry(entry.backend).or_default() += 1;
        }
        for state in self.backends.iter() {
            let backend = state.view.backend;
            let grants = counts.remove(&backend).unwrap_or(0);
            let counted = state.outstanding();
            if counted != grants {
                return Err(VerifyError::SlotCount {
                    backend,
                    counted,
                    grants,
                });
            }
        }
        match counts.into_iter().next() {
            None => Ok(()),
            Some((backend, grants)) => Err(VerifyError::SlotCount {
                backend,
                counted: 0,
                grants,
            }),
        }
    }
}

fn grant_decision(request: RequestId, backend: BackendId, to: InstanceId) -> Decision {
    let notice = DecisionNotice::Grant(GrantNotice { request, backend });
    Decision { to, notice }
}

fn sample(seen: Span, target: Span) -> TargetSample {
    TargetSample {
        seen: seen.0 as f64,
        target: target.0 as f64,
    }
}

fn gap_sample(release: &ReleaseNotice, target: Span) -> Option<TargetSample> {
    if release.tokens < GAP_TOKENS {
        return None;
    }
    let streamed = release.total.saturating_sub(release.first_token?);
    Some(TargetSample {
        seen: streamed.0 as f64 / f64::from(release.tokens - 1),
        target: target.0 as f64,
    })
}

impl TieredPool {
    /// Returns the bound before which a deadline can no longer be met.
    pub(crate) fn late_before(&self, now: MonoTime) -> QueueTime {
        QueueTime::from(now + self.backends.usual_first())
    }
}
