//! The queue of one pool at its dispatcher.
//!
//! The pool wraps the policy and writes every outcome to the journal in the order of decision.
//! `queued` holds the tier of each queued request until the request gets its outcome or is
//! withdrawn.

use std::sync::Arc;

use oleander_balance::Quarantine;
use oleander_base::prelude::*;
use oleander_base::{ReleaseNotice, ShedNotice, ShedReason};
use oleander_decide::{Decision, DecisionNotice, DeferredText, PoolPolicy};

use crate::dispatch::PoolView;
use crate::journal::Journal;
use crate::pool_crashes::PoolCrashes;

/// The queue of one pool.
#[derive(Debug)]
pub(crate) struct DispatchPool {
    id: PoolId,
    policy: Box<dyn PoolPolicy>,
    journal: Arc<Journal>,
    queued: FastMap<RequestId, Tier>,
    crashes: PoolCrashes,
}

impl DispatchPool {
    /// Creates an empty pool.
    pub(crate) fn open(id: PoolId, policy: Box<dyn PoolPolicy>, journal: Arc<Journal>) -> Self {
        Self {
            id,
            policy,
            journal,
            queued: FastMap::default(),
            crashes: PoolCrashes::default(),
        }
    }

    /// Returns the policy for read access.
    pub(crate) fn policy(&self) -> &dyn PoolPolicy {
        self.policy.as_ref()
    }

    /// Applies a change to the policy and journals the decisions that it makes.
    pub(crate) fn update(
        &mut self,
        now: MonoTime,
        change: impl FnOnce(&mut dyn PoolPolicy, &mut Vec<Decision>),
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        change(self.policy.as_mut(), &mut decisions);
        for decision in &decisions {
            let request = match &decision.notice {
                DecisionNotice::Grant(notice) => notice.request,
                DecisionNotice::Shed(notice) => notice.request,
            };
            // A repeated grant is not in `queued`: it was journalled when it was first made.
            if let Some(tier) = self.queued.remove(&request) {
                self.journal.record_decision(self.id, decision, tier, now);
            }
        }
        decisions
    }

    /// Updates the policy's classes, customers and backend servers.
    pub(crate) fn set_view(&mut self, view: &PoolView, now: MonoTime) -> Vec<Decision> {
        self.update(now, |policy, out| {
            policy.set_classes(&view.classes, &view.customers, now, out);
            policy.set_backends(&view.backends, now, out);
        })
    }

    /// Queues a ticket.
    pub(crate) fn offer(
        &mut self,
        ticket: Ticket,
        from: InstanceId,
        now: MonoTime,
    ) -> Vec<Decision> {
        if self.queued.insert(ticket.request, ticket.tier).is_none() {
            self.journal.record_queued(self.id, &ticket, now);
        }
        let quarantine = self.crashes.check(&ticket, now);
        self.update(now, |policy, out| match quarantine {
            Some(quarantine) => out.push(shed(&ticket, from, &quarantine)),
            None => policy.offer(ticket, from, now, out),
        })
    }

    /// Frees a slot.
    pub(crate) fn release(&mut self, notice: &ReleaseNotice, now: MonoTime) -> Vec<Decision> {
        self.crashes.on_release(notice, now);
        self.update(now, |policy, out| policy.release(notice, now, out))
    }

    /// Withdraws a ticket, or frees the slot that it was granted.
    pub(crate) fn withdraw(&mut self, request: RequestId, now: MonoTime) -> Vec<Decision> {
        if let Some(tier) = self.queued.remove(&request) {
            self.journal.record_left(self.id, request, tier, now);
        }
        self.update(now, |policy, out| policy.withdraw(request, now, out))
    }

    /// Returns a closure that formats the state as text.
    ///
    /// The state is copied now, so that the closure can run without the pool's lock.
    pub(crate) fn dump_later(&self, now: MonoTime) -> DeferredText {
        let head = format!("pool {}\n", self.id);
        let rest = self.policy.dump_later(now);
        Box::new(move || head + &rest())
    }
}

/// Returns the decision that a request is not granted a slot because it has crashed backend servers.
fn shed(ticket: &Ticket, owner: InstanceId, quarantine: &Quarantine) -> Decision {
    Decision {
        to: owner,
        notice: DecisionNotice::Shed(ShedNotice {
            request: ticket.request,
            reason: ShedReason::Quarantined,
            retry_after: quarantine.time_left,
        }),
    }
}
