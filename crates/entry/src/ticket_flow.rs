//! The flow of tickets and slots through an entry VM.
//!
//! A request adds a ticket to the tracker; the ticket goes to the pool's dispatcher, which may be
//! this VM; the outcome returns to the tracker. The same code serves a local and a remote
//! dispatcher, so that tier order does not depend on which VM accepted a request.

use std::collections::VecDeque;

use oleander_base::prelude::*;
use oleander_base::{
    CacheEvent, GrantNotice, HeldGrant, LoadReport, ProgressNotice, ReleaseNotice, ShedNotice,
    WithdrawNotice, monotonic_now,
};
use oleander_decide::{Decision, DecisionNotice};
use oleander_peer::PeerMessage;
use tokio::sync::oneshot;

use crate::counters::increment;
use crate::dispatch::OfferOutcome;
use crate::node::EntryNode;
use crate::ticket_tracker::{GrantEffect, TicketOutcome};

impl EntryNode {
    /// Queues a ticket and returns the channel that delivers its outcome.
    ///
    /// Returns `None` if no entry VM can dispatch the pool.
    pub fn request_slot(&self, ticket: Ticket) -> Option<oneshot::Receiver<TicketOutcome>> {
        let dispatcher = self.view().pool(ticket.pool)?.dispatcher?;
        let now = monotonic_now();
        let outcome = self.tickets.insert(ticket.clone(), dispatcher, now);
        self.send_offer(dispatcher, vec![ticket], now);
        Some(outcome)
    }

    /// Withdraws the ticket of a request that will not be sent.
    pub fn withdraw(&self, request: RequestId, pool: PoolId) {
        let Some(dispatcher) = self.tickets.withdraw(request) else {
            return;
        };
        self.send_withdraw(dispatcher, WithdrawNotice { request, pool });
    }

    /// Releases the slot of a request.
    pub fn release(&self, notice: ReleaseNotice) {
        if self.tickets.release(notice.request).is_some() {
            self.send_release(notice);
        }
    }

    /// Notifies the dispatcher that a request got its first token.
    pub fn progress(&self, notice: ProgressNotice) {
        let Some(dispatcher) = self.dispatcher_of(notice.pool) else {
            return;
        };
        if dispatcher == self.me {
            self.dispatchers.progress(&notice, monotonic_now());
        } else {
            self.send(dispatcher, PeerMessage::Progress(vec![notice]));
        }
    }

    /// Runs the time-driven work of the pools that are dispatched here.
    pub fn tick(&self) {
        self.deliver(self.dispatchers.tick(monotonic_now()));
    }

    /// Offers tickets again that have no outcome after a delay, since a message may have been
    /// lost. The dispatcher repeats the grant of a ticket that it granted already, and ignores the
    /// offer of one that it still queues.
    pub fn reoffer_tickets(&self) {
        let now = monotonic_now();
        for offer in self.tickets.due_offers(now) {
            self.send_offer(offer.dispatcher, offer.tickets, now);
        }
    }

    /// Sends each dispatcher the slots that this VM holds, so that it frees slots whose release was
    /// lost.
    pub fn reconcile(&self) {
        let now = monotonic_now();
        for holding in self.tickets.holdings() {
            match self.dispatcher_of(holding.pool) {
                Some(dispatcher) if dispatcher == self.me => {
                    self.deliver(self.dispatchers.reconcile(&holding, self.me, now));
                }
                Some(dispatcher) => self.send(dispatcher, PeerMessage::Holding(vec![holding])),
                None => {}
            }
        }
    }

    /// Returns the instance that dispatches a pool.
    pub fn dispatcher_of(&self, pool: PoolId) -> Option<InstanceId> {
        self.view().pool(pool)?.dispatcher
    }

    /// Handles a dispatch message of a peer; ignores messages of other kinds.
    pub fn on_dispatch(&self, from: InstanceId, message: PeerMessage) {
        let now = monotonic_now();
        match message {
            PeerMessage::Offer(tickets) => self.on_offer(from, tickets, now),
            PeerMessage::Withdraw(notices) => {
                for notice in notices {
                    self.deliver(self.dispatchers.withdraw(notice.pool, notice.request, now));
                }
            }
            PeerMessage::Release(notices) => {
                for notice in notices {
                    self.deliver(self.dispatchers.release(&notice, now));
                }
            }
            PeerMessage::Held(grants) => self.on_held(from, &grants, now),
            PeerMessage::Progress(notices) => {
                for notice in notices {
                    self.dispatchers.progress(&notice, now);
                }
            }
            PeerMessage::Grant(notices) => {
                let notices = notices.into_iter().map(DecisionNotice::Grant);
                self.on_notices(from, notices.collect(), now);
            }
            PeerMessage::Shed(notices) => {
                let notices = notices.into_iter().map(DecisionNotice::Shed);
                self.on_notices(from, notices.collect(), now);
            }
            PeerMessage::Holding(holdings) => {
                for holding in holdings {
                    self.deliver(self.dispatchers.reconcile(&holding, from, now));
                }
            }
            PeerMessage::Misrouted(requests) => self.tickets.mark_misrouted(&requests, now),
            _ => {}
        }
    }

    fn on_offer(&self, from: InstanceId, tickets: Vec<Ticket>, now: MonoTime) {
        let mut misrouted = Vec::new();
        for ticket in tickets {
            let request = ticket.request;
            match self.dispatchers.offer(ticket, from, now) {
                OfferOutcome::Queued(decisions) => self.deliver(decisions),
                OfferOutcome::NotHere => misrouted.push(request),
            }
        }
        if misrouted.is_empty() {
            return;
        }
        if from == self.me {
            self.tickets.mark_misrouted(&misrouted, now);
        } else {
            self.send(from, PeerMessage::Misrouted(misrouted));
        }
    }

    fn on_held(&self, from: InstanceId, grants: &[HeldGrant], now: MonoTime) {
        for held in grants {
            self.deliver(self.dispatchers.adopt(held.ticket.pool, held, from, now));
        }
    }

    fn on_notices(&self, from: InstanceId, notices: Vec<DecisionNotice>, now: MonoTime) {
        for notice in notices {
            let follow_ups = self.on_notice(from, &notice, now);
            self.deliver(follow_ups);
        }
    }

    /// Delivers decisions to the requests of this VM and to the other entry VMs.
    ///
    /// An unwanted grant frees its slot, which can lead to further decisions; the loop handles
    /// these in turn, without recursion.
    pub(crate) fn deliver(&self, decisions: Vec<Decision>) {
        if decisions.is_empty() {
            return;
        }
        let mut queue = VecDeque::from(decisions);
        let mut outbox = DecisionOutbox::default();
        while let Some(decision) = queue.pop_front() {
            if decision.to == self.me {
                queue.extend(self.on_notice(self.me, &decision.notice, monotonic_now()));
            } else {
                outbox.add(&decision);
            }
        }
        outbox.send(|to, message| self.send(to, message));
    }

    /// Handles one outcome; returns the decisions that follow at pools dispatched here.
    fn on_notice(&self, from: InstanceId, notice: &DecisionNotice, now: MonoTime) -> Vec<Decision> {
        match notice {
            DecisionNotice::Grant(grant) => self.on_grant(from, grant, now),
            DecisionNotice::Shed(shed) => {
                self.tickets.shed(shed, from);
                Vec::new()
            }
        }
    }

    fn on_grant(&self, from: InstanceId, grant: &GrantNotice, now: MonoTime) -> Vec<Decision> {
        match self.tickets.grant(grant, from, now) {
            GrantEffect::Accepted | GrantEffect::Repeated => Vec::new(),
            GrantEffect::Moved { queued_at, held } => {
                let notice = WithdrawNotice {
                    request: grant.request,
                    pool: held.ticket.pool,
                };
                self.send_withdraw(queued_at, notice);
                self.send_held(queued_at, vec![held], now);
                Vec::new()
            }
            GrantEffect::Unwanted => {
                increment(&self.counters.process.unwanted_grants);
                self.return_grant(from, grant, now)
            }
        }
    }

    /// Returns an unwanted grant to the dispatcher that made it.
    fn return_grant(&self, from: InstanceId, grant: &GrantNotice, now: MonoTime) -> Vec<Decision> {
        let pools = self.view().pools_with(grant.backend);
        if from == self.me {
            let withdraw = |pool| self.dispatchers.withdraw(pool, grant.request, now);
            return pools.into_iter().flat_map(withdraw).collect();
        }
        let notice = |pool| WithdrawNotice {
            request: grant.request,
            pool,
        };
        self.send(
            from,
            PeerMessage::Withdraw(pools.into_iter().map(notice).collect()),
        );
        Vec::new()
    }

    pub(crate) fn send_offer(&self, to: InstanceId, tickets: Vec<Ticket>, now: MonoTime) {
        if to == self.me {
            self.on_offer(self.me, tickets, now);
        } else {
            self.send(to, PeerMessage::Offer(tickets));
        }
    }

    pub(crate) fn send_held(&self, to: InstanceId, grants: Vec<HeldGrant>, now: MonoTime) {
        if grants.is_empty() {
            return;
        }
        if to == self.me {
            self.on_held(self.me, &grants, now);
        } else {
            self.send(to, PeerMessage::Held(grants));
        }
    }

    fn send_withdraw(&self, to: InstanceId, notice: WithdrawNotice) {
        if to == self.me {
            self.deliver(
                self.dispatchers
                    .withdraw(notice.pool, notice.request, monotonic_now()),
            );
        } else {
            self.send(to, PeerMessage::Withdraw(vec![notice]));
        }
    }

    fn send_release(&self, notice: ReleaseNotice) {
        let Some(dispatcher) = self.dispatcher_of(notice.pool) else {
            return;
        };
        if dispatcher == self.me {
            self.deliver(self.dispatchers.release(&notice, monotonic_now()));
        } else {
            self.send(dispatcher, PeerMessage::Release(vec![notice]));
        }
    }

    /// Passes a load report of a backend server to its pools and to the order controller.
    pub fn on_load_report(&self, backend: BackendId, report: &LoadReport) {
        if let Some(orders) = self.orders() {
            orders.on_report(backend, report.clone());
        }
        let now = monotonic_now();
        for pool in self.view().pools_with(backend) {
            self.deliver(self.dispatchers.report(pool, backend, report, now));
        }
    }

    /// Passes an event of an engine's prefix cache to the engine's pools.
    pub fn on_cache_event(&self, backend: BackendId, event: CacheEvent) {
        let now = monotonic_now();
        for pool in self.view().pools_with(backend) {
            self.dispatchers.cache_event(pool, backend, event, now);
        }
    }

    /// Moves a ticket to another data centre's pool if that serves it better than its own.
    pub fn spill_over(&self, ticket: &mut Ticket) {
        if !self.settings.dispatch.spill {
            return;
        }
        if let Some(pool) = self.remote_pools.choose_pool(&self.view(), ticket) {
            ticket.pool = pool;
            ticket.spilled = true;
            increment(&self.counters.process.spilled);
        }
    }
}

/// Decisions for other entry VMs, batched into at most one message of each kind for each VM.
#[derive(Debug, Default)]
struct DecisionOutbox {
    grants: FastMap<InstanceId, Vec<GrantNotice>>,
    sheds: FastMap<InstanceId, Vec<ShedNotice>>,
}

impl DecisionOutbox {
    fn add(&mut self, decision: &Decision) {
        match decision.notice {
            DecisionNotice::Grant(grant) => self.grants.entry(decision.to).or_default().push(grant),
            DecisionNotice::Shed(shed) => self.sheds.entry(decision.to).or_default().push(shed),
        }
    }

    fn send(self, send: impl Fn(InstanceId, PeerMessage)) {
        for (to, grants) in self.grants {
            send(to, PeerMessage::Grant(grants));
        }
        for (to, sheds) in self.sheds {
            send(to, PeerMessage::Shed(sheds));
        }
    }
}
