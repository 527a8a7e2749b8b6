//! The queue of a pool: one [`TierQueue`] per tier, and the indexes across all of them.
//!
//! Every operation costs a few searches in ordered sets, whatever the number of tickets.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

use crate::queue_time::QueueTime;
use crate::tier_queue::TierQueue;
use crate::verify::VerifyError;

/// The fairness window until the pool's capacity is known, in units of work.
const DEFAULT_WINDOW: f64 = 500.0;

/// The key of a queued ticket; keys increase in order of the offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TicketKey(u64);

/// A ticket in the queue, with its times and its estimated work.
#[derive(Debug)]
pub(crate) struct QueuedTicket {
    pub(crate) key: TicketKey,
    pub(crate) ticket: Ticket,
    pub(crate) owner: InstanceId,
    pub(crate) arrived: QueueTime,
    pub(crate) due: QueueTime,
    pub(crate) expires: QueueTime,
    pub(crate) work: u32,
}

/// The queued tickets of one pool.
#[derive(Debug)]
pub(crate) struct PoolQueue {
    window: f64,
    next_key: u64,
    entries: FastMap<TicketKey, QueuedTicket>,
    by_request: FastMap<RequestId, TicketKey>,
    tiers: BTreeMap<Tier, TierQueue>,
    weights: FastMap<CustomerId, f64>,
    parked: Vec<TicketKey>,
}

impl PoolQueue {
    /// Creates an empty queue.
    pub(crate) fn open() -> Self {
        Self {
            window: DEFAULT_WINDOW,
            next_key: 0,
            entries: FastMap::default(),
            by_request: FastMap::default(),
            tiers: BTreeMap::new(),
            weights: FastMap::default(),
            parked: Vec::new(),
        }
    }

    /// Returns the number of queued tickets.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tiers that have tickets, highest first.
    pub(crate) fn tiers(&self) -> impl DoubleEndedIterator<Item = (Tier, &TierQueue)> + '_ {
        self.tiers
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(tier, queue)| (*tier, queue))
    }

    /// Returns the lowest tier that has tickets.
    pub(crate) fn lowest(&self) -> Option<Tier> {
        self.tiers().next_back().map(|(tier, _)| tier)
    }

    /// Returns the queue of one tier, if the tier has ever had a ticket.
    pub(crate) fn tier(&self, tier: Tier) -> Option<&TierQueue> {
        self.tiers.get(&tier)
    }

    /// Returns a queued ticket.
    pub(crate) fn get(&self, key: TicketKey) -> Option<&QueuedTicket> {
        self.entries.get(&key)
    }

    /// Returns the key of a request's ticket, if it is queued.
    pub(crate) fn find(&self, request: RequestId) -> Option<TicketKey> {
        self.by_request.get(&request).copied()
    }

    /// Returns every ticket, in unspecified order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedTicket> + '_ {
        self.entries.values()
    }

    /// Adds a ticket with its estimated work.
    pub(crate) fn insert(&mut self, ticket: Ticket, owner: InstanceId, work: u32, now: MonoTime) {
        let key = TicketKey(self.next_key);
        self.next_key += 1;
        let arrived = QueueTime::before(now, ticket.waited);
        let entry = QueuedTicket {
            key,
            owner,
            arrived,
            due: arrived.plus(ticket.target),
            expires: arrived.plus(ticket.patience),
            work,
            ticket,
        };
        self.by_request.insert(entry.ticket.request, key);
        let weight = self.weight(entry.ticket.customer);
        self.tiers
            .entry(entry.ticket.tier)
            .or_insert_with(|| TierQueue::open(self.window))
            .insert(&entry, weight);
        self.entries.insert(key, entry);
    }

    /// Sets the entry VM that now holds a queued request.
    pub(crate) fn set_owner(&mut self, key: TicketKey, owner: InstanceId) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.owner = owner;
        }
    }

    /// Removes a ticket.
    pub(crate) fn remove(&mut self, key: TicketKey) -> Option<QueuedTicket> {
        let entry = self.entries.remove(&key)?;
        self.by_request.remove(&entry.ticket.request);
        if let Some(queue) = self.tiers.get_mut(&entry.ticket.tier) {
            queue.remove(&entry);
        }
        Some(entry)
    }

    /// Returns the next ticket in strict tier order.
    pub(crate) fn pick(&mut self, late_before: QueueTime) -> Option<TicketKey> {
        let entries = &self.entries;
        self.tiers.values_mut().find_map(|queue| {
            queue.demote_late(late_before, |key| entries[&key].arrived);
            queue.pick()
        })
    }

    /// Moves a tier's tickets that cannot meet their deadline behind its other tickets.
    pub(crate) fn demote_late(&mut self, tier: Tier, late_before: QueueTime) {
        let entries = &self.entries;
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.demote_late(late_before, |key| entries[&key].arrived);
        }
    }

    /// Returns the oldest ticket of a class across all tiers.
    pub(crate) fn oldest_of(&self, class: ClassId) -> Option<TicketKey> {
        self.tiers
            .values()
            .filter_map(|queue| queue.oldest_of(class))
            .min()
            .map(|(_, key)| key)
    }

    /// Returns a ticket whose patience has ended, from the lowest tier that has one.
    pub(crate) fn expired(&self, now: MonoTime) -> Option<TicketKey> {
        let firsts = self
            .tiers
            .values()
            .rev()
            .filter_map(TierQueue::first_expiry);
        firsts
            .filter(|(expires, _)| *expires <= QueueTime::from(now))
            .map(|(_, key)| key)
            .next()
    }

    /// Excludes a ticket from dispatch until [`unpark`](Self::unpark), because no free slot can
    /// serve it.
    pub(crate) fn park(&mut self, key: TicketKey) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if let Some(queue) = self.tiers.get_mut(&entry.ticket.tier) {
            queue.park(entry);
        }
        self.parked.push(key);
    }

    /// Returns the parked tickets.
    pub(crate) fn parked(&self) -> &[TicketKey] {
        &self.parked
    }

    /// Puts all parked tickets back into the service order.
    pub(crate) fn unpark(&mut self) {
        while let Some(key) = self.parked.pop() {
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            let weight = self.weights.get(&entry.ticket.customer).copied();
            if let Some(queue) = self.tiers.get_mut(&entry.ticket.tier) {
                queue.unpark(entry, weight.unwrap_or(1.0));
            }
        }
    }

    /// Charges granted work to a customer's share of a tier.
    pub(crate) fn charge(&mut self, tier: Tier, customer: CustomerId, work: u32) {
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.charge(customer, work);
        }
    }

    /// Sets the fairness window of every tier, in units of work for a customer of mean weight.
    pub(crate) fn set_window(&mut self, window: f64) {
        self.window = window;
        for queue in self.tiers.values_mut() {
            queue.set_window(window);
        }
    }

    /// Replaces the customers' weights and scales them to a mean of 1.
    pub(crate) fn set_weights(&mut self, mut weights: FastMap<CustomerId, f64>) {
        let sum: f64 = weights.values().sum();
        let mean = sum / weights.len().max(1) as f64;
        if mean > 0.0 {
            weights.values_mut().for_each(|weight| *weight /= mean);
        }
        for queue in self.tiers.values_mut() {
            for (customer, weight) in &weights {
                queue.set_weight(*customer, *weight);
            }
        }
        self.weights = weights;
    }

    /// Removes the lanes of idle customers that are not ahead of their share.
    pub(crate) fn remove_idle_lanes(&mut self) {
        for queue in self.tiers.values_mut() {
            queue.remove_idle_lanes();
        }
    }

    /// Checks that every index contains exactly the queued tickets.
    pub(crate) fn verify(&self) -> Result<(), VerifyError> {
        let wanted = self.entries.len();
        check("request", self.by_request.len(), wanted)?;
        check(
            "tier",
            self.tiers.values().map(TierQueue::len).sum(),
            wanted,
        )?;
        check("parked", self.parked.len(), 0)?;
        for queue in self.tiers.values() {
            for (index, held) in queue.index_sizes() {
                check(index, held, queue.len())?;
            }
            let (busy, ordered) = queue.lane_sizes();
            check("lane", ordered, busy)?;
        }
        Ok(())
    }

    fn weight(&self, customer: CustomerId) -> f64 {
        self.weights.get(&customer).copied().unwrap_or(1.0)
    }
}

fn check(index: &'static str, held: usize, wanted: usize) -> Result<(), VerifyError> {
    if held == wanted {
        return Ok(());
    }
    Err(VerifyError::IndexSize {
        index,
        held,
        wanted,
    })
}
