//! The pools that this entry VM dispatches.
//!
//! A pool's dispatcher is the live entry VM of its data centre that weighted rendezvous hashing
//! chooses. The queue is soft state: a new dispatcher collects tickets and held slots from all
//! entry VMs for [`TAKEOVER_DELAY`] before it grants anything, and a former dispatcher drops the
//! queue. docs/DESIGN.md, "One queue for each pool", states the bound on over-admission while two
//! VMs both act as the dispatcher.

use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_base::{
    CacheEvent, HeldGrant, LoadReport, PoolHolding, ProgressNotice, ReleaseNotice,
};
use oleander_decide::{
    BackendSummary, BackendView, ClassView, CustomerView, Decision, PolicyKind, PoolConfig,
    PoolKind, PoolPolicy, PoolSummary,
};
use parking_lot::{Mutex, RwLock};

use crate::dispatch_pool::DispatchPool;
use crate::journal::Journal;

/// Time for which a new dispatcher collects tickets and held slots before it grants any slot.
const TAKEOVER_DELAY: Span = Span::from_millis(250);

/// The records and backend servers that a pool's policy decides by.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolView {
    /// The kind of the pool's backend servers.
    pub kind: PoolKind,
    /// The backend servers of the pool.
    pub backends: Vec<BackendView>,
    /// The request classes on record.
    pub classes: Vec<ClassView>,
    /// The customers on record.
    pub customers: Vec<CustomerView>,
}

/// The pools that this entry VM dispatches, each under its own lock.
#[derive(Debug)]
pub struct DispatcherTable {
    kind: PolicyKind,
    queue_bound: usize,
    journal: Arc<Journal>,
    pools: RwLock<FastMap<PoolId, Arc<Mutex<DispatchPool>>>>,
}

impl DispatcherTable {
    /// Creates a table without pools.
    pub fn new(kind: PolicyKind, queue_bound: usize, journal: Arc<Journal>) -> Self {
        Self {
            kind,
            queue_bound,
            journal,
            pools: RwLock::new(FastMap::default()),
        }
    }

    /// Starts to dispatch a pool, unless it is dispatched here already; returns whether it started.
    pub fn take_over(&self, id: PoolId, view: &PoolView, now: MonoTime) -> bool {
        let mut pools = self.pools.write();
        if pools.contains_key(&id) {
            return false;
        }
        let policy = oleander_decide::open(self.kind, self.pool_config(id, view.kind));
        let journal = Arc::clone(&self.journal);
        let mut pool = DispatchPool::open(id, policy, journal);
        let decisions = pool.set_view(view, now);
        debug_assert!(
            decisions.is_empty(),
            "a pool without tickets made a decision"
        );
        pools.insert(id, Arc::new(Mutex::new(pool)));
        true
    }

    /// Drops a pool and its queue; returns whether it was dispatched here.
    pub fn drop_pool(&self, id: PoolId) -> bool {
        self.pools.write().remove(&id).is_some()
    }

    /// Returns whether a pool is dispatched here.
    pub fn contains(&self, id: PoolId) -> bool {
        self.pools.read().contains_key(&id)
    }

    /// Returns the pools that are dispatched here.
    pub fn ids(&self) -> Vec<PoolId> {
        let mut ids: Vec<PoolId> = self.pools.read().keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Updates a pool's classes, customers and backend servers.
    pub fn set_view(&self, id: PoolId, view: &PoolView, now: MonoTime) -> Vec<Decision> {
        self.with_pool(id, |pool| pool.set_view(view, now))
    }

    /// Queues a ticket, if its pool is dispatched here.
    pub fn offer(&self, ticket: Ticket, from: InstanceId, now: MonoTime) -> OfferOutcome {
        match self.pool(ticket.pool) {
            Some(pool) => OfferOutcome::Queued(pool.lock().offer(ticket, from, now)),
            None => OfferOutcome::NotHere,
        }
    }

    /// Withdraws a ticket, or frees the slot that it was granted.
    pub fn withdraw(&self, id: PoolId, request: RequestId, now: MonoTime) -> Vec<Decision> {
        self.with_pool(id, |pool| pool.withdraw(request, now))
    }

    /// Frees a slot.
    pub fn release(&self, notice: &ReleaseNotice, now: MonoTime) -> Vec<Decision> {
        self.with_pool(notice.pool, |pool| pool.release(notice, now))
    }

    /// Adopts a slot in use that another dispatcher granted.
    pub fn adopt(
        &self,
        id: PoolId,
        held: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
    ) -> Vec<Decision> {
        self.update(id, now, |policy, out| policy.adopt(held, from, now, out))
    }

    /// Reconciles the slots that an entry VM holds with those that were granted to it.
    pub fn reconcile(
        &self,
        holding: &PoolHolding,
        from: InstanceId,
        now: MonoTime,
    ) -> Vec<Decision> {
        let request = |serial: &u64| RequestId {
            origin: from,
            serial: *serial,
        };
        let held: Vec<RequestId> = holding.serials.iter().map(request).collect();
        self.update(holding.pool, now, |policy, out| {
            policy.reconcile(from, &held, now, out);
        })
    }

    /// Applies a load report of a backend server.
    pub fn report(
        &self,
        id: PoolId,
        backend: BackendId,
        report: &LoadReport,
        now: MonoTime,
    ) -> Vec<Decision> {
        self.update(id, now, |policy, out| {
            policy.report(backend, report, now, out);
        })
    }

    /// Records that a granted request got its first token.
    pub fn progress(&self, notice: &ProgressNotice, now: MonoTime) {
        self.update(notice.pool, now, |policy, _| policy.progress(notice, now));
    }

    /// Applies an event of an engine's prefix cache.
    pub fn cache_event(&self, id: PoolId, backend: BackendId, event: CacheEvent, now: MonoTime) {
        self.update(id, now, |policy, _| policy.cache_event(backend, event, now));
    }

    /// Removes an entry VM that is gone from every pool.
    pub fn instance_gone(&self, instance: InstanceId, now: MonoTime) -> Vec<Decision> {
        self.update_all(now, |policy, out| policy.instance_gone(instance, now, out))
    }

    /// Runs the time-driven work of every pool.
    pub fn tick(&self, now: MonoTime) -> Vec<Decision> {
        self.update_all(now, |policy, out| policy.tick(now, out))
    }

    /// Returns a summary of every pool that is dispatched here.
    pub fn summaries(&self, now: MonoTime) -> Vec<PoolStatus> {
        let summary = |id: PoolId| {
            let pool = self.pool(id)?;
            let pool = pool.lock();
            Some(PoolStatus {
                id,
                summary: pool.policy().summary(now),
            })
        };
        self.ids().into_iter().filter_map(summary).collect()
    }

    /// Returns the summary of every backend server of the pools that are dispatched here.
    pub fn backend_summaries(&self, now: MonoTime) -> Vec<BackendSummary> {
        let pools = self.ids().into_iter().filter_map(|id| self.pool(id));
        pools
            .flat_map(|pool| pool.lock().policy().backend_summaries(now))
            .collect()
    }

    /// Returns a summary of one pool.
    pub fn summary(&self, id: PoolId, now: MonoTime) -> Option<PoolSummary> {
        Some(self.pool(id)?.lock().policy().summary(now))
    }

    /// Returns the whole state as text.
    pub fn dump(&self, now: MonoTime) -> String {
        let pools = self.ids().into_iter().filter_map(|id| self.pool(id));
        pools
            .map(|pool| {
                let text = pool.lock().dump_later(now);
                text()
            })
            .collect()
    }

    fn pool_config(&self, id: PoolId, kind: PoolKind) -> PoolConfig {
        let mut config = match kind {
            PoolKind::Engines => PoolConfig::engines(id),
            PoolKind::Services => PoolConfig::services(id),
        };
        config.queue_bound = self.queue_bound;
        config.rebuild_span = TAKEOVER_DELAY;
        config
    }

    fn pool(&self, id: PoolId) -> Option<Arc<Mutex<DispatchPool>>> {
        self.pools.read().get(&id).cloned()
    }

    fn with_pool(
        &self,
        id: PoolId,
        change: impl FnOnce(&mut DispatchPool) -> Vec<Decision>,
    ) -> Vec<Decision> {
        match self.pool(id) {
            Some(pool) => change(&mut pool.lock()),
            None => Vec::new(),
        }
    }

    fn update(
        &self,
        id: PoolId,
        now: MonoTime,
        change: impl FnOnce(&mut dyn PoolPolicy, &mut Vec<Decision>),
    ) -> Vec<Decision> {
        self.with_pool(id, |pool| pool.update(now, change))
    }

    fn update_all(
        &self,
        now: MonoTime,
        mut change: impl FnMut(&mut dyn PoolPolicy, &mut Vec<Decision>),
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for id in self.ids() {
            decisions.extend(self.update(id, now, &mut change));
        }
        decisions
    }
}

/// The outcome of an offer.
#[derive(Debug)]
pub enum OfferOutcome {
    /// The pool is dispatched here; it queued, granted or shed the ticket with these decisions.
    Queued(Vec<Decision>),
    /// The pool is not dispatched here.
    NotHere,
}

/// A pool's summary, for screens and for spill-over.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolStatus {
    /// The pool.
    pub id: PoolId,
    /// The policy's summary.
    pub summary: PoolSummary,
}
