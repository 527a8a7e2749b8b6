//! The baseline policies for experiments: one FIFO queue without tiers.
//!
//! Like any router, they respect the slots of the records and send nothing to backend servers that
//! are leaving. They ignore tiers, deadlines, lengths, speeds and failures.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, GrantNotice, LoadReport, ReleaseNotice, ShedNotice, ShedReason};

use crate::config::PoolConfig;
use crate::policy::{Decision, DecisionNotice, PoolPolicy};
use crate::queue_time::QueueTime;
use crate::summary::{BackendSummary, ClassSummary, PoolSummary, TierSummary};
use crate::verify::VerifyError;
use crate::views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};

/// The retry time that is sent to callers.
const RETRY_AFTER: Span = Span::from_secs(1);

/// The order in which a [`FifoPool`] chooses backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FifoOrder {
    /// The backend servers in turn, skipping those without a free slot.
    RoundRobin,
    /// The backend server with the fewest outstanding requests.
    Least,
}

#[derive(Debug)]
struct FifoTicket {
    ticket: Ticket,
    owner: InstanceId,
    expires: QueueTime,
}

#[derive(Debug)]
struct FifoGrant {
    owner: InstanceId,
    backend: BackendId,
    class: ClassId,
    granted: MonoTime,
    orphan_expiry: Option<MonoTime>,
}

#[derive(Debug)]
struct FifoBackend {
    view: BackendView,
    outstanding: u32,
}

/// A pool with one FIFO queue for all of its backend servers.
#[derive(Debug)]
pub struct FifoPool {
    order: FifoOrder,
    config: PoolConfig,
    queue: VecDeque<FifoTicket>,
    grants: BTreeMap<RequestId, FifoGrant>,
    backends: BTreeMap<BackendId, FifoBackend>,
    classes: BTreeMap<ClassId, ClassSummary>,
    last_granted: Option<BackendId>,
}

impl FifoPool {
    /// Creates an empty pool.
    pub fn open(order: FifoOrder, config: PoolConfig) -> Self {
        Self {
            order,
            config,
            queue: VecDeque::new(),
            grants: BTreeMap::new(),
            backends: BTreeMap::new(),
            classes: BTreeMap::new(),
            last_granted: None,
        }
    }

    fn choose(&self) -> Option<BackendId> {
        let free = || {
            self.backends.iter().filter(|(_, state)| {
                let view = &state.view;
                view.reachable && !view.leaving && state.outstanding < view.slots
            })
        };
        match self.order {
            FifoOrder::RoundRobin => free()
                .find(|(backend, _)| Some(**backend) > self.last_granted)
                .or_else(|| free().next())
                .map(|(backend, _)| *backend),
            FifoOrder::Least => free()
                .min_by_key(|(_, state)| state.outstanding)
                .map(|(backend, _)| *backend),
        }
    }

    fn run_round(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        let at = QueueTime::from(now);
        while let Some(entry) = self.queue.pop_front() {
            if entry.expires <= at {
                self.push_shed(&entry.ticket, entry.owner, ShedReason::Expired, out);
                continue;
            }
            let Some(backend) = self.choose() else {
                self.queue.push_front(entry);
                return;
            };
            self.grant(&entry.ticket, entry.owner, backend, now, out);
        }
    }

    fn grant(
        &mut self,
        ticket: &Ticket,
        owner: InstanceId,
        backend: BackendId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        self.last_granted = Some(backend);
        self.record_grant(ticket, owner, backend, now);
        self.class_summary(ticket.class).granted += 1;
        let notice = DecisionNotice::Grant(GrantNotice {
            request: ticket.request,
            backend,
        });
        out.push(Decision { to: owner, notice });
    }

    fn record_grant(
        &mut self,
        ticket: &Ticket,
        owner: InstanceId,
        backend: BackendId,
        granted: MonoTime,
    ) {
        if let Some(state) = self.backends.get_mut(&backend) {
            state.outstanding += 1;
        }
        self.class_summary(ticket.class).running += 1;
        let grant = FifoGrant {
            owner,
            backend,
            class: ticket.class,
            granted,
            orphan_expiry: None,
        };
        self.grants.insert(ticket.request, grant);
    }

    fn remove_grant(&mut self, request: RequestId) -> bool {
        let Some(grant) = self.grants.remove(&request) else {
            return false;
        };
        if let Some(state) = self.backends.get_mut(&grant.backend) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
        let class = self.class_summary(grant.class);
        class.running = class.running.saturating_sub(1);
        true
    }

    fn push_shed(
        &mut self,
        ticket: &Ticket,
        owner: InstanceId,
        reason: ShedReason,
        out: &mut Vec<Decision>,
    ) {
        self.class_summary(ticket.class).shed += 1;
        let notice = DecisionNotice::Shed(ShedNotice {
            request: ticket.request,
            reason,
            retry_after: RETRY_AFTER,
        });
        out.push(Decision { to: owner, notice });
    }

    fn class_summary(&mut self, class: ClassId) -> &mut ClassSummary {
        self.classes.entry(class).or_insert_with(|| ClassSummary {
            class,
            queued: 0,
            running: 0,
            granted: 0,
            granted_by_share: 0,
            shed: 0,
        })
    }
}

impl PoolPolicy for FifoPool {
    fn set_backends(&mut self, backends: &[BackendView], now: MonoTime, out: &mut Vec<Decision>) {
        let mut old = std::mem::take(&mut self.backends);
        for view in backends {
            let outstanding = old.remove(&view.backend).map_or_else(
                || {
                    self.grants
                        .values()
                        .filter(|g| g.backend == view.backend)
                        .count() as u32
                },
                |state| state.outstanding,
            );
            let state = FifoBackend {
                view: view.clone(),
                outstanding,
            };
            self.backends.insert(view.backend, state);
        }
        self.run_round(now, out);
    }

    fn set_classes(
        &mut self,
        _classes: &[ClassView],
        _customers: &[CustomerView],
        _now: MonoTime,
        _out: &mut Vec<Decision>,
    ) {
    }

    fn offer(&mut self, ticket: Ticket, from: InstanceId, now: MonoTime, out: &mut Vec<Decision>) {
        if let Some(grant) = self.grants.get_mut(&ticket.request) {
            grant.owner = from;
            grant.orphan_expiry = None;
            let notice = DecisionNotice::Grant(GrantNotice {
                request: ticket.request,
                backend: grant.backend,
            });
            out.push(Decision { to: from, notice });
            return;
        }
        let queued = |entry: &&mut FifoTicket| entry.ticket.request == ticket.request;
        if let Some(entry) = self.queue.iter_mut().find(queued) {
            entry.owner = from;
            return;
        }
        if self.queue.len() >= self.config.queue_bound {
            self.push_shed(&ticket, from, ShedReason::QueueFull, out);
            return;
        }
        let arrived = QueueTime::before(now, ticket.waited);
        self.queue.push_back(FifoTicket {
            expires: arrived.plus(ticket.patience),
            owner: from,
            ticket,
        });
        self.run_round(now, out);
    }

    fn withdraw(&mut self, request: RequestId, now: MonoTime, out: &mut Vec<Decision>) {
        self.queue.retain(|entry| entry.ticket.request != request);
        self.remove_grant(request);
        self.run_round(now, out);
    }

    fn release(&mut self, release: &ReleaseNotice, now: MonoTime, out: &mut Vec<Decision>) {
        if self.remove_grant(release.request) {
            self.run_round(now, out);
        }
    }

    fn adopt(
        &mut self,
        held_grant: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let request = held_grant.ticket.request;
        self.queue.retain(|entry| entry.ticket.request != request);
        self.remove_grant(request);
        self.record_grant(
            &held_grant.ticket,
            from,
            held_grant.backend,
            now - held_grant.age,
        );
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
        let lost = self.grants.iter().filter(|(request, grant)| {
            grant.owner == from && grant.granted < before && !held.contains(request)
        });
        let lost: Vec<RequestId> = lost.map(|(request, _)| *request).collect();
        for request in lost {
            self.remove_grant(request);
        }
        self.run_round(now, out);
    }

    fn progress(&mut self, _progress: &ProgressNotice, _now: MonoTime) {}

    fn report(
        &mut self,
        _backend: BackendId,
        _report: &LoadReport,
        _now: MonoTime,
        _out: &mut Vec<Decision>,
    ) {
    }

    fn cache_event(&mut self, _backend: BackendId, _event: CacheEvent, _now: MonoTime) {}

    fn instance_gone(&mut self, instance: InstanceId, now: MonoTime, out: &mut Vec<Decision>) {
        self.queue.retain(|entry| entry.owner != instance);
        let orphan_expiry = now + self.config.orphan_delay;
        for grant in self.grants.values_mut().filter(|g| g.owner == instance) {
            grant.orphan_expiry.get_or_insert(orphan_expiry);
        }
        self.run_round(now, out);
    }

    fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        let expired = self.grants.iter().filter(|(_, grant)| {
            let orphan_expiry = grant.orphan_expiry;
            orphan_expiry.is_some_and(|orphan_expiry| orphan_expiry <= now)
        });
        let expired: Vec<RequestId> = expired.map(|(request, _)| *request).collect();
        for request in expired {
            self.remove_grant(request);
        }
        self.run_round(now, out);
    }

    fn summary(&self, _now: MonoTime) -> PoolSummary {
        let usable = || {
            let states = self.backends.values();
            states.filter(|state| state.view.reachable && !state.view.leaving)
        };
        let mut classes = self.classes.clone();
        for entry in &self.queue {
            if let Some(class) = classes.get_mut(&entry.ticket.class) {
                class.queued += 1;
            }
        }
        let queued = TierSummary {
            tier: Tier(0),
            queued: self.queue.len() as u32,
            expected_wait: Span::ZERO,
        };
        PoolSummary {
            pool: self.config.pool,
            slots_total: usable().map(|state| state.view.slots).sum(),
            slots_used: usable().map(|state| state.outstanding).sum(),
            backends_usable: usable().count() as u32,
            backends_ejected: 0,
            saturated: !self.queue.is_empty(),
            tiers: Some(queued).into_iter().filter(|t| t.queued > 0).collect(),
            classes: classes.into_values().collect(),
        }
    }

    fn backend_summaries(&self, _now: MonoTime) -> Vec<BackendSummary> {
        let summary = |state: &FifoBackend| BackendSummary {
            backend: state.view.backend,
            running: state.outstanding,
            limit: state.view.slots,
            speed: state.view.speed,
            leaving: state.view.leaving,
            ejected: false,
        };
        self.backends.values().map(summary).collect()
    }

    fn dump(&self, now: MonoTime) -> String {
        let mut text = self.summary(now).to_string();
        for state in self.backends.values() {
            let _ = writeln!(
                text,
                "  {} {}/{}",
                state.view.backend, state.outstanding, state.view.slots
            );
        }
        text
    }

    fn verify(&self) -> Result<(), VerifyError> {
        for (backend, state) in &self.backends {
            let grants = self.grants.values().filter(|g| g.backend == *backend);
            let grants = grants.count() as u32;
            if grants != state.outstanding {
                return Err(VerifyError::SlotCount {
                    backend: *backend,
                    counted: state.outstanding,
                    grants,
                });
            }
        }
        Ok(())
    }
}
