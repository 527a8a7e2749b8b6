//! The rules of giving tickets up.
//!
//! - A full queue gives up the newest ticket of its lowest tier.
//! - A pool that has been saturated for a while gives up tickets that will miss their target, and
//!   only those of the lowest tier that is queued: the late ones, and those whose turn is expected
//!   to come too late. Callers so get their final answer early, and slots go to tickets that can
//!   still be served in time. A class that has had no grant for long is spared.
//! - A ticket whose patience has ended is given up, whatever its tier.
//! - A pool without any backend server gives all tickets up after a grace time, the lowest first.

use oleander_base::prelude::*;
use oleander_base::{ShedNotice, ShedReason};

use crate::policy::{Decision, DecisionNotice};
use crate::pool_queue::{QueuedTicket, TicketKey};
use crate::queue_time::QueueTime;
use crate::tiered::TieredPool;

/// The bounds of what a caller is told to wait.
const RETRY_FLOOR: Span = Span::from_secs(1);
const RETRY_LIMIT: Span = Span::from_secs(60);

/// How far the expected wait must exceed the time left, because the rates that it comes from
/// scatter and a ticket given up wrongly cannot be taken back.
const WAIT_TOLERANCE: f64 = 1.6;

/// The least share of the pool that a tier is expected to get.
const TIER_SHARE_FLOOR: f64 = 0.02;

/// The most tickets that one call gives up as hopeless.
const HOPELESS_BOUND: usize = 64;

impl TieredPool {
    /// Returns whether a new ticket may be queued; otherwise it was given up.
    ///
    /// A ticket of a lower tier makes room for it if the queue is full.
    pub(crate) fn admit(
        &mut self,
        ticket: &Ticket,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) -> bool {
        if ticket.waited >= ticket.patience {
            self.refuse(ticket, from, ShedReason::Expired, now, out);
            return false;
        }
        if self.is_hopeless(ticket, now) {
            self.refuse(ticket, from, ShedReason::Hopeless, now, out);
            return false;
        }
        if self.queue.len() < self.config.queue_bound {
            return true;
        }
        match self.victim(ticket, now) {
            Some(victim) => {
                self.give_up(victim, ShedReason::QueueFull, now, out);
                true
            }
            None => {
                self.refuse(ticket, from, ShedReason::QueueFull, now, out);
                false
            }
        }
    }

    /// Gives up the tickets that the rules name now.
    pub(crate) fn shed(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while let Some(key) = self.queue.expired(now) {
            self.give_up(key, ShedReason::Expired, now, out);
        }
        self.shed_without_backend(now, out);
        self.shed_hopeless(now, out);
    }

    /// Returns how long a ticket of a tier that comes now is expected to wait, once it is known.
    pub(crate) fn expected_wait(&self, tier: Tier, now: MonoTime) -> Option<Span> {
        let capacity = self.backends.capacity()?;
        let queues = self.queue.tiers().take_while(|(t, _)| !tier.is_above(*t));
        let work: u64 = queues.map(|(_, queue)| queue.work()).sum();
        let above = &self.arrivals[..Self::tier_index(tier)];
        let arriving: f64 = above.iter().map(|meter| meter.rate(now)).sum();
        let classes = self.queue.tier(tier).into_iter().flat_map(|q| q.classes());
        let share: f64 = classes.map(|class| self.ledger.share(class)).sum();
        let rate = (capacity - arriving).max(capacity * share.max(TIER_SHARE_FLOOR));
        Some(Span((work as f64 / rate.max(1e-3) * 1e6) as u64))
    }

    /// Returns the ticket that a full queue gives up for a new one, unless it is the new one.
    fn victim(&self, ticket: &Ticket, now: MonoTime) -> Option<TicketKey> {
        let lowest = self.queue.lowest()?;
        let queue = self.queue.tier(lowest)?;
        let arrived = QueueTime::before(now, ticket.waited);
        let is_victim = ticket.tier.is_above(lowest)
            || (ticket.tier == lowest && queue.newest_arrival() > Some(arrived));
        queue.newest().filter(|_| is_victim)
    }

    /// Returns whether a new ticket will miss its target in a saturated pool.
    fn is_hopeless(&self, ticket: &Ticket, now: MonoTime) -> bool {
        let due = QueueTime::before(now, ticket.waited).plus(ticket.target);
        self.is_overloaded(now)
            && self.queue.lowest() <= Some(ticket.tier)
            && !self.is_spared(ticket.class, now)
            && self.is_turn_too_late(ticket.tier, due, now)
    }

    /// Returns whether a ticket at the end of a tier's queue is expected to miss its deadline.
    fn is_turn_too_late(&self, tier: Tier, due: QueueTime, now: MonoTime) -> bool {
        let left = due.after(now).saturating_sub(self.backends.usual_first());
        let wait = self.expected_wait(tier, now).unwrap_or(Span::ZERO);
        wait.as_secs_f64() > left.as_secs_f64() * WAIT_TOLERANCE
    }

    fn is_overloaded(&self, now: MonoTime) -> bool {
        self.saturated
            .is_some_and(|since| now.since(since) >= self.config.overload_span)
    }

    /// Returns whether a class must keep its tickets because it has had no grant for long.
    fn is_spared(&self, class: ClassId, now: MonoTime) -> bool {
        match self.ledger.get(class) {
            None => true,
            Some(account) => {
                account.queued == 0 || account.is_starved(self.config.progress_span, now)
            }
        }
    }

    /// Gives up hopeless tickets of the lowest tier, and of the next one while none is left there.
    fn shed_hopeless(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        while self.is_overloaded(now)
            && let Some(lowest) = self.queue.lowest()
        {
            self.shed_hopeless_of(lowest, now, out);
            if self.queue.lowest() == Some(lowest) {
                return;
            }
        }
    }

    fn shed_hopeless_of(&mut self, tier: Tier, now: MonoTime, out: &mut Vec<Decision>) {
        self.queue.age_out(tier, self.late_before(now));
        let Some(queue) = self.queue.tier(tier) else {
            return;
        };
        let late: Vec<TicketKey> = queue.late().take(HOPELESS_BOUND).collect();
        let last: Vec<TicketKey> = queue.latest_due().take(HOPELESS_BOUND).collect();
        for key in late {
            self.give_up_hopeless(key, now, out);
        }
        for key in last {
            let due = self.queue.get(key).map(|entry| entry.due);
            if !due.is_some_and(|due| self.is_turn_too_late(tier, due, now)) {
                return;
            }
            self.give_up_hopeless(key, now, out);
        }
    }

    fn give_up_hopeless(&mut self, key: TicketKey, now: MonoTime, out: &mut Vec<Decision>) {
        let entry = self.queue.get(key);
        if entry.is_some_and(|entry| !self.is_kept(entry, now)) {
            self.give_up(key, ShedReason::Hopeless, now, out);
        }
    }

    /// Returns whether a ticket is kept for its class's minimum share.
    ///
    /// It is the class's only one, or the class has had no grant for long. A ticket that may not
    /// overtake the higher tiers is not kept, because it would keep hopeless tickets of theirs
    /// from being given up.
    fn is_kept(&self, entry: &QueuedTicket, now: MonoTime) -> bool {
        let span = self.config.progress_span;
        let account = self.ledger.get(entry.ticket.class);
        account.is_none_or(|account| account.queued <= 1 || account.is_starved(span, now))
            && self.leaves_patience(entry, now)
    }

    fn shed_without_backend(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        if self.backends.has_usable() {
            self.without_backend = None;
            return;
        }
        let since = *self.without_backend.get_or_insert(now);
        if now.since(since) < self.config.no_backend_grace {
            return;
        }
        while let Some(lowest) = self.queue.lowest() {
            let Some(key) = self.queue.tier(lowest).and_then(|queue| queue.newest()) else {
                return;
            };
            self.give_up(key, ShedReason::NoBackend, now, out);
        }
    }

    fn give_up(
        &mut self,
        key: TicketKey,
        reason: ShedReason,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.queue.remove(key) else {
            return;
        };
        self.ledger.left(entry.ticket.class, now);
        self.refuse(&entry.ticket, entry.owner, reason, now, out);
    }

    fn refuse(
        &mut self,
        ticket: &Ticket,
        owner: InstanceId,
        reason: ShedReason,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        self.ledger.shed(ticket.class, now);
        if matches!(reason, ShedReason::QueueFull | ShedReason::Hopeless) {
            self.last_shed[Self::tier_index(ticket.tier)] = Some(now);
        }
        let wait = self.expected_wait(ticket.tier, now).unwrap_or(Span::ZERO);
        let notice = ShedNotice {
            request: ticket.request,
            reason,
            retry_after: wait.clamp(RETRY_FLOOR, RETRY_LIMIT),
        };
        let notice = DecisionNotice::Shed(notice);
        out.push(Decision { to: owner, notice });
    }
}
