//! The tickets and slots of the requests that this entry VM holds.
//!
//! A request's ticket is *pending* until the pool's dispatcher grants or sheds it, and its slot is
//! *held* from the grant until the release. The desk is what a new dispatcher is rebuilt from: it
//! is told every pending ticket, with the time waited, and every held slot.
//!
//! Invariants: a request is pending or held or neither, never both; a pending ticket gets exactly
//! one outcome; a grant for a ticket that is not pending is answered with a release, so that the
//! dispatcher gets the slot back.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use oleander_base::{GrantNotice, HeldGrant, PoolHolding, ShedNotice, ShedReason};
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Shards of the desk, each under its own lock.
const SHARD_COUNT: usize = 16;
/// The pause before a ticket without an outcome is offered again; it doubles each time, so that
/// lost messages are repaired at a cost that does not grow with the time waited.
const FIRST_REOFFER_DELAY: Span = Span::from_secs(2);
/// The pause before a ticket is offered again that reached an entry VM which is not the dispatcher.
const MISROUTE_DELAY: Span = Span::from_millis(50);

/// What became of a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TicketOutcome {
    /// The request may be sent to this backend server.
    Granted(BackendId),
    /// The request was given up and has not run.
    Shed {
        /// Why.
        reason: ShedReason,
        /// When the caller should come back.
        retry_after: Span,
    },
}

/// A ticket that waits for its outcome.
#[derive(Debug)]
struct PendingTicket {
    ticket: Ticket,
    /// When the request would have arrived here if all its waiting had been here.
    arrived: MonoTime,
    dispatcher: InstanceId,
    /// When the ticket is offered again if no outcome came.
    next_offer: MonoTime,
    /// The pause before the offer after that one.
    offer_interval: Span,
    reply: oneshot::Sender<TicketOutcome>,
}

/// Tickets to offer again to one dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct RepeatedOffer {
    /// The dispatcher.
    pub dispatcher: InstanceId,
    /// The tickets, with the time that each has waited.
    pub tickets: Vec<Ticket>,
}

/// A slot that a request uses.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldSlot {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// The backend server.
    pub backend: BackendId,
    /// When it was granted.
    pub since: MonoTime,
}

impl HeldSlot {
    /// Returns the form in which a dispatcher adopts the slot.
    pub fn to_grant(&self, now: MonoTime) -> HeldGrant {
        HeldGrant {
            ticket: self.ticket.clone(),
            backend: self.backend,
            age: now.since(self.since),
        }
    }
}

#[derive(Debug, Default)]
struct TicketShard {
    pending: FastMap<RequestId, PendingTicket>,
    held: FastMap<RequestId, HeldSlot>,
}

/// What the holder of a desk must tell dispatchers after a grant.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantEffect {
    /// The request goes ahead; nothing to tell.
    Accepted,
    /// The request goes ahead, and the dispatcher that was asked last must take back its ticket
    /// and adopt the slot.
    Moved {
        /// The dispatcher that still queues the ticket.
        queued_at: InstanceId,
        /// The slot in use.
        held: HeldGrant,
    },
    /// The dispatcher repeated a grant that is in use.
    Repeated,
    /// Nobody waits for the grant; the dispatcher must get the slot back.
    Unwanted,
}

/// The pending tickets and held slots of one entry VM.
#[derive(Debug)]
pub struct TicketTracker {
    shards: [Mutex<TicketShard>; SHARD_COUNT],
    /// Pools whose slots were in use at the last report.
    reported: Mutex<FastSet<PoolId>>,
}

/// Counts of a desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TicketCount {
    /// Tickets that wait.
    pub pending: usize,
    /// Slots in use.
    pub held: usize,
}

impl Default for TicketTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl TicketTracker {
    /// Makes an empty desk.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(TicketShard::default())),
            reported: Mutex::new(FastSet::default()),
        }
    }

    /// Enters a ticket and returns where its outcome will come.
    pub fn insert(
        &self,
        ticket: Ticket,
        dispatcher: InstanceId,
        now: MonoTime,
    ) -> oneshot::Receiver<TicketOutcome> {
        let (reply, outcome) = oneshot::channel();
        let arrived = now - ticket.waited;
        let request = ticket.request;
        let next_offer = now + FIRST_REOFFER_DELAY;
        let offer_interval = FIRST_REOFFER_DELAY;
        let pending = PendingTicket {
            ticket,
            arrived,
            dispatcher,
            next_offer,
            offer_interval,
            reply,
        };
        self.shard(request).lock().pending.insert(request, pending);
        outcome
    }

    /// Takes a ticket back; returns the dispatcher to tell, if the ticket was pending.
    pub fn withdraw(&self, request: RequestId) -> Option<InstanceId> {
        let pending = self.shard(request).lock().pending.remove(&request)?;
        Some(pending.dispatcher)
    }

    /// Hands a grant to the request that waits for it.
    pub fn grant(&self, notice: &GrantNotice, from: InstanceId, now: MonoTime) -> GrantEffect {
        let mut shard = self.shard(notice.request).lock();
        let Some(pending) = shard.pending.remove(&notice.request) else {
            return match shard.held.get(&notice.request) {
                Some(slot) if slot.backend == notice.backend => GrantEffect::Repeated,
                _ => GrantEffect::Unwanted,
            };
        };
        if pending
            .reply
            .send(TicketOutcome::Granted(notice.backend))
            .is_err()
        {
            return GrantEffect::Unwanted;
        }
        let slot = HeldSlot {
            ticket: pending.ticket,
            backend: notice.backend,
            since: now,
        };
        let held = slot.to_grant(now);
        shard.held.insert(notice.request, slot);
        if pending.dispatcher == from {
            GrantEffect::Accepted
        } else {
            GrantEffect::Moved {
                queued_at: pending.dispatcher,
                held,
            }
        }
    }

    /// Hands a refusal to the request that waits; one from a dispatcher that is not asked any
    /// more counts for nothing, since the ticket is queued elsewhere.
    pub fn shed(&self, notice: &ShedNotice, from: InstanceId) -> bool {
        let mut shard = self.shard(notice.request).lock();
        let asked = shard
            .pending
            .get(&notice.request)
            .map(|pending| pending.dispatcher);
        if asked != Some(from) {
            return false;
        }
        let Some(pending) = shard.pending.remove(&notice.request) else {
            return false;
        };
        let outcome = TicketOutcome::Shed {
            reason: notice.reason,
            retry_after: notice.retry_after,
        };
        pending.reply.send(outcome).is_ok()
    }

    /// Ends the use of a slot.
    pub fn release(&self, request: RequestId) -> Option<HeldSlot> {
        self.shard(request).lock().held.remove(&request)
    }

    /// Points every pending ticket of a pool to a new dispatcher and returns these tickets with
    /// the time that each has waited.
    pub fn repoint(&self, pool: PoolId, dispatcher: InstanceId, now: MonoTime) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            let moved = shard
                .pending
                .values_mut()
                .filter(|pending| pending.ticket.pool == pool && pending.dispatcher != dispatcher);
            for pending in moved {
                pending.dispatcher = dispatcher;
                pending.ticket.waited = now.since(pending.arrived);
                tickets.push(pending.ticket.clone());
            }
        }
        tickets
    }

    /// Returns the tickets that are due to be offered again.
    pub fn due_offers(&self, now: MonoTime) -> Vec<RepeatedOffer> {
        let mut offers: FastMap<InstanceId, Vec<Ticket>> = FastMap::default();
        for shard in &self.shards {
            let mut shard = shard.lock();
            for pending in shard
                .pending
                .values_mut()
                .filter(|pending| pending.next_offer <= now)
            {
                pending.offer_interval = pending.offer_interval + pending.offer_interval;
                pending.next_offer = now + pending.offer_interval;
                pending.ticket.waited = now.since(pending.arrived);
                offers
                    .entry(pending.dispatcher)
                    .or_default()
                    .push(pending.ticket.clone());
            }
        }
        let offer = |(dispatcher, tickets)| RepeatedOffer {
            dispatcher,
            tickets,
        };
        offers.into_iter().map(offer).collect()
    }

    /// Notes tickets that reached an entry VM which does not dispatch their pool.
    pub fn mark_misrouted(&self, requests: &[RequestId], now: MonoTime) {
        for request in requests {
            if let Some(pending) = self.shard(*request).lock().pending.get_mut(request) {
                pending.next_offer = now + MISROUTE_DELAY;
            }
        }
    }

    /// Returns the slots in use of one pool.
    pub fn held_in(&self, pool: PoolId, now: MonoTime) -> Vec<HeldGrant> {
        let mut grants = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            let slots = shard.held.values().filter(|slot| slot.ticket.pool == pool);
            grants.extend(slots.map(|slot| slot.to_grant(now)));
        }
        grants
    }

    /// Returns the slots in use of every pool, by the serial numbers of their requests.
    ///
    /// Pools that had slots in use before and have none now are listed empty once more.
    pub fn holdings(&self) -> Vec<PoolHolding> {
        let mut serials: FastMap<PoolId, Vec<u64>> = FastMap::default();
        for pool in self.reported.lock().drain() {
            serials.insert(pool, Vec::new());
        }
        for shard in &self.shards {
            for (request, slot) in &shard.lock().held {
                serials
                    .entry(slot.ticket.pool)
                    .or_default()
                    .push(request.serial);
            }
        }
        let in_use = serials.iter().filter(|(_, serials)| !serials.is_empty());
        self.reported.lock().extend(in_use.map(|(pool, _)| *pool));
        let holding = |(pool, serials)| PoolHolding { pool, serials };
        serials.into_iter().map(holding).collect()
    }

    /// Returns the pools that have a ticket or a slot here.
    pub fn pools(&self) -> FastSet<PoolId> {
        let mut pools = FastSet::default();
        for shard in &self.shards {
            let shard = shard.lock();
            pools.extend(shard.pending.values().map(|pending| pending.ticket.pool));
            pools.extend(shard.held.values().map(|slot| slot.ticket.pool));
        }
        pools
    }

    /// Counts the held slots by backend server.
    pub fn held_by_backend(&self) -> BTreeMap<BackendId, u32> {
        let mut counts = BTreeMap::new();
        for shard in &self.shards {
            for slot in shard.lock().held.values() {
                *counts.entry(slot.backend).or_default() += 1;
            }
        }
        counts
    }

    /// Counts pending tickets and held slots.
    pub fn count(&self) -> TicketCount {
        let mut total = TicketCount::default();
        for shard in &self.shards {
            let shard = shard.lock();
            total.pending += shard.pending.len();
            total.held += shard.held.len();
        }
        total
    }

    fn shard(&self, request: RequestId) -> &Mutex<TicketShard> {
        &self.shards[request.serial as usize % SHARD_COUNT]
    }
}
