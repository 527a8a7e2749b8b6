//! Tracks the tickets and slots of the requests that this entry VM runs.
//!
//! A request's ticket is *pending* until the pool's dispatcher grants or sheds it, and its slot is
//! *held* from the grant until the release. A new dispatcher rebuilds its queue from the trackers:
//! each entry VM sends it every pending ticket, with the time waited, and every held slot.
//!
//! Invariants: a request is never both pending and held; a pending ticket gets exactly one outcome;
//! a grant for a ticket that is not pending is answered with a withdrawal, which returns the slot
//! to the dispatcher.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use oleander_base::{GrantNotice, HeldGrant, PoolHolding, ShedNotice, ShedReason};
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Number of shards of the tracker, each under its own lock.
const SHARD_COUNT: usize = 16;
/// Delay before a ticket without an outcome is offered again, since a message may have been lost.
/// It doubles with each offer, so that the number of offers grows only with the logarithm of the
/// wait.
const FIRST_REOFFER_DELAY: Span = Span::from_secs(2);
/// Delay before a ticket is offered again after it reached an entry VM that is not the dispatcher.
const MISROUTE_DELAY: Span = Span::from_millis(50);

/// The outcome of a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TicketOutcome {
    /// The request may be sent to this backend server.
    Granted(BackendId),
    /// The request was given up before it ran.
    Shed {
        /// The reason.
        reason: ShedReason,
        /// The time after which the caller may retry.
        retry_after: Span,
    },
}

/// A ticket without an outcome yet.
#[derive(Debug)]
struct PendingTicket {
    ticket: Ticket,
    /// The arrival time on this VM's clock, with the time waited elsewhere counted in.
    arrived: MonoTime,
    dispatcher: InstanceId,
    /// The time of the next offer if no outcome arrives.
    next_offer: MonoTime,
    /// The current delay between offers, which doubles with each offer.
    offer_interval: Span,
    reply: oneshot::Sender<TicketOutcome>,
}

/// Tickets that are due to be offered again to one dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct RepeatedOffer {
    /// The dispatcher to send them to.
    pub dispatcher: InstanceId,
    /// The tickets, each with the time waited so far.
    pub tickets: Vec<Ticket>,
}

/// A slot in use by a request.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldSlot {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// The backend server that the slot belongs to.
    pub backend: BackendId,
    /// The time of the grant.
    pub since: MonoTime,
}

impl HeldSlot {
    /// Returns the slot as a dispatcher adopts it.
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

/// The follow-up that a grant requires towards the dispatchers.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantEffect {
    /// The request proceeds; no follow-up is needed.
    Accepted,
    /// The request proceeds. The dispatcher that holds its ticket now must withdraw the ticket and
    /// adopt the slot.
    Moved {
        /// The dispatcher that still queues the ticket.
        queued_at: InstanceId,
        /// The slot in use.
        held: HeldGrant,
    },
    /// The grant repeats one that is already in use.
    Repeated,
    /// No request waits for the grant, so the slot must be returned to the dispatcher.
    Unwanted,
}

/// The pending tickets and held slots of one entry VM.
#[derive(Debug)]
pub struct TicketTracker {
    shards: [Mutex<TicketShard>; SHARD_COUNT],
    /// Pools that had slots in use at the last call of [`Self::holdings`].
    reported: Mutex<FastSet<PoolId>>,
}

/// Numbers of pending tickets and held slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TicketCount {
    /// Pending tickets.
    pub pending: usize,
    /// Held slots.
    pub held: usize,
}

impl Default for TicketTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl TicketTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(TicketShard::default())),
            reported: Mutex::new(FastSet::default()),
        }
    }

    /// Adds a ticket and returns the channel that delivers its outcome.
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

    /// Removes a pending ticket; returns the dispatcher that queues it, if there was one.
    pub fn withdraw(&self, request: RequestId) -> Option<InstanceId> {
        let pending = self.shard(request).lock().pending.remove(&request)?;
        Some(pending.dispatcher)
    }

    /// Delivers a grant to the request that waits for it.
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

    /// Delivers a shed notice to the request that waits for it; returns whether it was delivered.
    ///
    /// A notice from a dispatcher that no longer queues the ticket is ignored, since the ticket is
    /// queued elsewhere.
    pub fn shed(&self, notice: &ShedNotice, from: InstanceId) -> bool {
        let mut shard = self.shard(notice.request).lock();
        let queued_at = shard
            .pending
            .get(&notice.request)
            .map(|pending| pending.dispatcher);
        if queued_at != Some(from) {
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

    /// Removes a held slot and returns it.
    pub fn release(&self, request: RequestId) -> Option<HeldSlot> {
        self.shard(request).lock().held.remove(&request)
    }

    /// Assigns every pending ticket of a pool to a new dispatcher and returns the reassigned
    /// tickets, each with the time waited so far.
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

    /// Returns the tickets that are due to be offered again, grouped by dispatcher.
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

    /// Schedules a prompt offer for tickets that reached an entry VM which does not dispatch their
    /// pool.
    pub fn mark_misrouted(&self, requests: &[RequestId], now: MonoTime) {
        for request in requests {
            if let Some(pending) = self.shard(*request).lock().pending.get_mut(request) {
                pending.next_offer = now + MISROUTE_DELAY;
            }
        }
    }

    /// Returns the held slots of one pool.
    pub fn held_in(&self, pool: PoolId, now: MonoTime) -> Vec<HeldGrant> {
        let mut grants = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            let slots = shard.held.values().filter(|slot| slot.ticket.pool == pool);
            grants.extend(slots.map(|slot| slot.to_grant(now)));
        }
        grants
    }

    /// Returns the held slots of every pool, as the serial numbers of their requests.
    ///
    /// A pool that had held slots at the previous call and has none now is listed once more, empty.
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

    /// Returns the pools of all pending tickets and held slots.
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
