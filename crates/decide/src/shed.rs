//! The rules of shedding tickets.
//!
//! - A full queue sheds the newest ticket of its lowest tier.
//! - A pool that has been saturated for a while sheds tickets that will miss their target, but only
//!   those of the lowest queued tier: late tickets, and those whose turn is expected to come too
//!   late. Their callers get a final answer early, and slots go to tickets that can still be served
//!   in time. Two kinds are exempt: tickets of a class that has had no grant for long, and late
//!   tickets of a tier that, together with the tiers above it, loads the pool by less than its
//!   capacity, because its queue will soon be served completely, though late.
//! - A tier that, together with the tiers above it, demands more than the pool's capacity has its
//!   late tickets shed, after all tickets of lower tiers, which could get no more than their
//!   minimum share. Otherwise its late tickets, which precede lower tiers, would occupy slots
//!   without meeting a target.
//! - No queued ticket is shed as hopeless shortly after a lower tier was granted a slot, so that
//!   the minimum share of a lower class never costs a higher tier a ticket.
//! - A ticket whose patience has ended is shed, whatever its tier.
//! - A pool without any usable backend server sheds all tickets after a grace period, lowest tier
//!   first.

use oleander_base::prelude::*;
use oleander_base::{ShedNotice, ShedReason};

use crate::policy::{Decision, DecisionNotice};
use crate::pool_queue::{QueuedTicket, TicketKey};
use crate::queue_time::QueueTime;
use crate::tier_queue::TierQueue;
use crate::tiered::TieredPool;

/// The lower and upper bound of the retry time that is sent to callers.
const RETRY_AFTER_MIN: Span = Span::from_secs(1);
const RETRY_AFTER_MAX: Span = Span::from_secs(60);

/// The multiple of the time left that the expected wait of a hopeless ticket exceeds. The rates
/// behind the estimate fluctuate, and shedding cannot be undone.
const WAIT_TOLERANCE: f64 = 2.0;

/// The fraction of the pool's capacity from which the demand of a tier and those above it counts as
/// exceeding the capacity.
const CAPACITY_LOAD_LIMIT: f64 = 0.9;

/// The smallest share of the pool that a tier is expected to get.
const TIER_SHARE_FLOOR: f64 = 0.02;

/// How long after a grant to a lower tier hopeless tickets are kept.
const LOWER_GRANT_WINDOW: Span = Span::from_millis(150);

/// The most tickets of each kind, late ones and those with the latest deadlines, that one call
/// considers.
const HOPELESS_BATCH_LIMIT: usize = 64;

impl TieredPool {
    /// Returns whether a new ticket may be queued; otherwise it has been shed.
    ///
    /// If the queue is full, the newest ticket of the lowest tier is shed in its place, if that one
    /// is of a lower tier or arrived later.
    pub(crate) fn admit(
        &mut self,
        ticket: &Ticket,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) -> bool {
        if ticket.waited >= ticket.patience {
            self.push_shed(ticket, from, ShedReason::Expired, now, out);
            return false;
        }
        if self.is_hopeless(ticket, now) {
            self.push_shed(ticket, from, ShedReason::Hopeless, now, out);
            return false;
        }
        if self.queue.len() < self.config.queue_bound {
            return true;
        }
        match self.victim(ticket, now) {
            Some(victim) => {
                self.shed_queued(victim, ShedReason::QueueFull, now, out);
                true
            }
            None => {
                self.push_shed(ticket, from, ShedReason::QueueFull, now, out);
                false
            }
        }
    }

    /// Sheds every ticket that the rules of this module select now.
    pub(crate) fn shed(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while let Some(key) = self.queue.expired(now) {
            self.shed_queued(key, ShedReason::Expired, now, out);
        }
        self.shed_without_backend(now, out);
        self.shed_hopeless(now, out);
    }

    /// Returns the expected wait of a new ticket of a tier, once the pool's capacity is known.
    pub(crate) fn expected_wait(&self, tier: Tier, now: MonoTime) -> Option<Span> {
        let own = self.queue.tier(tier).map_or(0, TierQueue::work);
        self.wait_behind(tier, own, now)
    }

    /// Returns the expected wait of a customer's new ticket, once the pool's capacity is known.
    fn customer_wait(&self, tier: Tier, customer: CustomerId, now: MonoTime) -> Option<Span> {
        let queue = self.queue.tier(tier);
        let own = queue.map_or(0, |queue| queue.work_before(customer));
        self.wait_behind(tier, own, now)
    }

    /// Returns the time to serve the work of all higher tiers plus `own` work of this tier.
    fn wait_behind(&self, tier: Tier, own: u64, now: MonoTime) -> Option<Span> {
        let capacity = self.backends.capacity()?;
        let higher = self.queue.tiers().take_while(|(t, _)| t.is_above(tier));
        let work = own + higher.map(|(_, queue)| queue.work()).sum::<u64>();
        let above = &self.arrivals[..Self::tier_index(tier)];
        let arriving: f64 = above.iter().map(|meter| meter.rate(now)).sum();
        let queue = self.queue.tier(tier);
        let classes = queue.into_iter().flat_map(TierQueue::classes);
        let share: f64 = classes.map(|class| self.ledger.share(class)).sum();
        let rate = (capacity - arriving).max(capacity * share.max(TIER_SHARE_FLOOR));
        Some(Span((work as f64 / rate.max(1e-3) * 1e6) as u64))
    }

    /// Returns the queued ticket to shed for a new one if the queue is full, or none if the new one
    /// should be shed.
    fn victim(&self, ticket: &Ticket, now: MonoTime) -> Option<TicketKey> {
        let lowest = self.queue.lowest()?;
        let queue = self.queue.tier(lowest)?;
        let arrived = QueueTime::before(now, ticket.waited);
        let is_victim = ticket.tier.is_above(lowest)
            || (ticket.tier == lowest && queue.newest_arrival() > Some(arrived));
        queue.newest().filter(|_| is_victim)
    }

    /// Returns whether a new ticket is shed as hopeless: the pool is overloaded, no lower tier is
    /// queued, the ticket's class is not protected, and its turn is expected too late.
    fn is_hopeless(&self, ticket: &Ticket, now: MonoTime) -> bool {
        self.is_overloaded(now)
            && self.queue.lowest() <= Some(ticket.tier)
            && !self.is_class_protected(ticket.class, now)
            && self.is_turn_too_late(ticket, QueueTime::before(now, ticket.waited), now)
    }

    /// Returns whether a ticket behind all of its customer's queued work is expected to be served
    /// too late: after its target if its tier exceeds the capacity, and otherwise after its
    /// patience.
    fn is_turn_too_late(&self, ticket: &Ticket, arrived: QueueTime, now: MonoTime) -> bool {
        let bound = if self.exceeds_capacity(ticket.tier, now) {
            ticket.target
        } else {
            ticket.patience
        };
        let left = arrived.plus(bound).after(now);
        let left = left.saturating_sub(self.backends.typical_first_token());
        let wait = self.customer_wait(ticket.tier, ticket.customer, now);
        let wait = wait.unwrap_or(Span::ZERO);
        wait.as_secs_f64() > left.as_secs_f64() * WAIT_TOLERANCE
    }

    /// Returns whether this tier and those above it demand more than the pool's capacity.
    fn exceeds_capacity(&self, tier: Tier, now: MonoTime) -> bool {
        let tiers = &self.arrivals[..=Self::tier_index(tier)];
        let arriving: f64 = tiers.iter().map(|meter| meter.rate(now)).sum();
        let capacity = self.backends.capacity();
        capacity.is_some_and(|capacity| arriving >= capacity * CAPACITY_LOAD_LIMIT)
    }

    fn is_overloaded(&self, now: MonoTime) -> bool {
        self.saturated_since
            .is_some_and(|since| now.since(since) >= self.config.overload_span)
    }

    /// Returns whether a new ticket of a class is exempt from shedding: the class has none queued
    /// or has had no grant for the configured span.
    fn is_class_protected(&self, class: ClassId, now: MonoTime) -> bool {
        match self.ledger.get(class) {
            None => true,
            Some(account) => {
                account.queued == 0 || account.is_starved(self.config.progress_span, now)
            }
        }
    }

    /// Sheds hopeless tickets of the lowest tier, and of the next one if that leaves it empty.
    fn shed_hopeless(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while self.is_overloaded(now)
            && let Some(lowest) = self.queue.lowest()
        {
            self.shed_hopeless_of(lowest, now, out);
            if self.queue.lowest() == Some(lowest) {
                self.shed_below_exceeding_tier(lowest, now, out);
                return;
            }
        }
    }

    /// Finds the highest tier whose demand exceeds the capacity and that has late tickets; sheds
    /// all tickets of the tiers below it, and then its hopeless ones.
    ///
    /// Nothing is shed while a class in a lower tier has had no grant for the configured span, and
    /// shedding stops at a tier if one below it was granted a slot recently.
    fn shed_below_exceeding_tier(&mut self, lowest: Tier, now: MonoTime, out: &mut Vec<Decision>) {
        let late_before = self.late_before(now);
        let tiers: Vec<Tier> = self.queue.tiers().map(|(tier, _)| tier).collect();
        for tier in tiers.into_iter().filter(|tier| tier.is_above(lowest)) {
            self.queue.demote_late(tier, late_before);
            let late = self.queue.tier(tier).and_then(|queue| queue.late().next());
            if late.is_none() || !self.exceeds_capacity(tier, now) {
                continue;
            }
            if self.is_any_starved_below(tier, now) {
                return;
            }
            while let Some(lower) = self.queue.lowest().filter(|lower| tier.is_above(*lower)) {
                if self.was_lower_tier_granted(lower, now) {
                    return;
                }
                let Some(key) = self.queue.tier(lower).and_then(TierQueue::newest) else {
                    return;
                };
                self.shed_queued(key, ShedReason::Hopeless, now, out);
            }
            self.shed_hopeless_of(tier, now, out);
            return;
        }
    }

    fn is_any_starved_below(&self, tier: Tier, now: MonoTime) -> bool {
        let lower = self.queue.tiers().filter(|(t, _)| tier.is_above(*t));
        let mut classes = lower.flat_map(|(_, queue)| queue.classes());
        classes.any(|class| {
            let account = self.ledger.get(class);
            account.is_some_and(|account| account.is_starved(self.config.progress_span, now))
        })
    }

    fn shed_hopeless_of(&mut self, tier: Tier, now: MonoTime, out: &mut Vec<Decision>) {
        if self.was_lower_tier_granted(tier, now) {
            return;
        }
        self.queue.demote_late(tier, self.late_before(now));
        let Some(queue) = self.queue.tier(tier) else {
            return;
        };
        let late: Vec<TicketKey> = queue.late().take(HOPELESS_BATCH_LIMIT).collect();
        let last: Vec<TicketKey> = queue.latest_due().take(HOPELESS_BATCH_LIMIT).collect();
        let exceeds_capacity = self.exceeds_capacity(tier, now);
        for key in late.into_iter().filter(|_| exceeds_capacity) {
            self.shed_unless_protected(key, now, out);
        }
        for key in last {
            let entry = self.queue.get(key);
            let is_late = |e: &QueuedTicket| self.is_turn_too_late(&e.ticket, e.arrived, now);
            if !entry.is_some_and(is_late) {
                return;
            }
            self.shed_unless_protected(key, now, out);
        }
    }

    /// Returns whether a tier below this one was granted a slot recently.
    fn was_lower_tier_granted(&self, tier: Tier, now: MonoTime) -> bool {
        let lower = &self.last_grant[Self::tier_index(tier) + 1..];
        let is_recent = |at: &MonoTime| now.since(*at) < LOWER_GRANT_WINDOW;
        lower.iter().flatten().any(is_recent)
    }

    fn shed_unless_protected(&mut self, key: TicketKey, now: MonoTime, out: &mut Vec<Decision>) {
        let entry = self.queue.get(key);
        if entry.is_some_and(|entry| !self.is_ticket_protected(entry, now)) {
            self.shed_queued(key, ShedReason::Hopeless, now, out);
        }
    }

    /// Returns whether a ticket is kept for its class's minimum share.
    ///
    /// It is the class's only queued ticket, or the class has had no grant for the configured span.
    /// A ticket that may not overtake the higher tiers is not kept, because it would prevent their
    /// hopeless tickets from being shed.
    fn is_ticket_protected(&self, entry: &QueuedTicket, now: MonoTime) -> bool {
        let span = self.config.progress_span;
        let account = self.ledger.get(entry.ticket.class);
        account.is_none_or(|account| account.queued <= 1 || account.is_starved(span, now))
            && self.higher_tiers_keep_patience(entry, now)
    }

    fn shed_without_backend(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        if self.backends.has_usable() {
            self.no_backend_since = None;
            return;
        }
        let since = *self.no_backend_since.get_or_insert(now);
        if now.since(since) < self.config.no_backend_grace {
            return;
        }
        while let Some(lowest) = self.queue.lowest() {
            let Some(key) = self.queue.tier(lowest).and_then(|queue| queue.newest()) else {
                return;
            };
            self.shed_queued(key, ShedReason::NoBackend, now, out);
        }
    }

    fn shed_queued(
        &mut self,
        key: TicketKey,
        reason: ShedReason,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.queue.remove(key) else {
            return;
        };
        self.ledger.on_dequeued(entry.ticket.class, now);
        self.push_shed(&entry.ticket, entry.owner, reason, now, out);
    }

    fn push_shed(
        &mut self,
        ticket: &Ticket,
        owner: InstanceId,
        reason: ShedReason,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        self.ledger.on_shed(ticket.class, now);
        if matches!(reason, ShedReason::QueueFull | ShedReason::Hopeless) {
            self.last_shed[Self::tier_index(ticket.tier)] = Some(now);
        }
        let wait = self.expected_wait(ticket.tier, now).unwrap_or(Span::ZERO);
        let notice = ShedNotice {
            request: ticket.request,
            reason,
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        };
        let notice = DecisionNotice::Shed(notice);
        out.push(Decision { to: owner, notice });
    }
}
