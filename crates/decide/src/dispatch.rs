//! The order of dispatch.
//!
//! While a slot is free, the next ticket is taken from the highest tier, in the order of its
//! [`TierQueue`](crate::tier_queue::TierQueue). A few slots may be kept free for higher tiers, see
//! [`SlotReserve`](crate::slot_reserve::SlotReserve). A ticket that no free slot can serve, because
//! of its adapter or the backend server that it avoids, is parked until the round ends.
//!
//! The exception is the minimum share. A class that has a whole grant of credit in the
//! [`ShareLedger`](crate::share_ledger::ShareLedger), or has had no grant for the configured span,
//! is served ahead of higher tiers if all of these hold:
//! - Every ticket of the higher tiers can still be served before the first of them exceeds its
//!   patience, with one more grant in between.
//! - No higher tier has recently had a ticket shed because of a full queue or as hopeless, or the
//!   class has had no grant for the configured span.
//! - No ticket is queued in a higher tier that is lightly loaded, whose queue will soon be empty
//!   anyway, or the class has had no grant for that span.

use oleander_base::prelude::*;

use crate::policy::Decision;
use crate::pool_queue::{QueuedTicket, TicketKey};
use crate::tiered::TieredPool;

/// The most tickets that one round parks.
const PARKED_BOUND: usize = 16;

/// How long the minimum share is withheld after a ticket of a higher tier was shed.
const SHED_WINDOW: Span = Span::from_secs(2);

/// The safety factor on the time that the higher tiers' tickets need.
const PATIENCE_MARGIN: f64 = 1.25;

impl TieredPool {
    /// Grants free slots until none is left or no ticket can use one.
    pub(crate) fn dispatch(&mut self, now: MonoTime, out: &mut Vec<Decision>) {
        if self.is_rebuilding(now) {
            return;
        }
        let mut is_saturated = false;
        while !self.queue.is_empty() && self.queue.parked().len() < PARKED_BOUND {
            let free = self.backends.free_slots(now);
            let by_share = if free > 0 {
                self.pick_by_share(now)
            } else {
                None
            };
            let late_before = self.late_before(now);
            let Some(key) = by_share.or_else(|| self.queue.pick(late_before)) else {
                break;
            };
            is_saturated = free <= self.reserved_slots(key);
            if is_saturated {
                break;
            }
            self.dispatch_one(key, by_share.is_some(), now, out);
        }
        self.queue.unpark();
        self.update_saturation(is_saturated, now);
    }

    /// Returns whether grants of an earlier dispatcher may still be unknown.
    fn is_rebuilding(&mut self, now: MonoTime) -> bool {
        let opened = *self.opened.get_or_insert(now);
        now.since(opened) < self.config.rebuild_span
    }

    /// Returns the number of free slots that a ticket must leave to higher tiers.
    fn reserved_slots(&self, key: TicketKey) -> u32 {
        let entry = self.queue.get(key);
        entry.map_or(0, |entry| {
            self.reserve.get(Self::tier_index(entry.ticket.tier))
        })
    }

    fn dispatch_one(
        &mut self,
        key: TicketKey,
        by_share: bool,
        now: MonoTime,
        out: &mut Vec<Decision>,
    ) {
        let Some(entry) = self.queue.get(key) else {
            return;
        };
        let Some(backend) = self.backends.choose(&entry.ticket, entry.work, now) else {
            self.queue.park(key);
            return;
        };
        let Some(entry) = self.queue.remove(key) else {
            return;
        };
        let ticket = entry.ticket;
        self.queue.charge(ticket.tier, ticket.customer, entry.work);
        self.ledger.on_dequeued(ticket.class, now);
        self.ledger.on_grant(ticket.class, by_share, now);
        self.grant(ticket, entry.owner, backend, now, out);
    }

    /// Returns the ticket that the minimum share puts first, unless it is first in tier order
    /// anyway.
    fn pick_by_share(&self, now: MonoTime) -> Option<TicketKey> {
        let (highest, _) = self.queue.tiers().next()?;
        let waiting = self.ledger.accounts().filter(|(_, account)| {
            account.queued > 0
                && (account.credit >= 1.0 || account.is_starved(self.config.progress_span, now))
        });
        waiting
            .filter_map(|(class, account)| Some((account, self.queue.oldest_of(class)?)))
            .filter(|(_, key)| !self.queue.parked().contains(key))
            .filter_map(|(account, key)| Some((account, self.queue.get(key)?)))
            .filter(|(_, entry)| highest.is_above(entry.ticket.tier))
            .filter(|(account, entry)| {
                let starved = account.is_starved(self.config.progress_span, now);
                self.may_overtake(entry, starved, now)
            })
            .max_by(|a, b| a.0.credit.total_cmp(&b.0.credit))
            .map(|(_, entry)| entry.key)
    }

    /// Returns whether a ticket may be served ahead of all higher tiers.
    fn may_overtake(&self, entry: &QueuedTicket, starved: bool, now: MonoTime) -> bool {
        let tier = entry.ticket.tier;
        let shed = &self.last_shed[..Self::tier_index(tier)];
        let is_recent = |at: &MonoTime| now.since(*at) < SHED_WINDOW;
        if !starved && shed.iter().flatten().any(is_recent) {
            return false;
        }
        let mut higher = self.queue.tiers().take_while(|(t, _)| t.is_above(tier));
        if !starved && higher.any(|(t, _)| self.reserve.is_lightly_loaded(Self::tier_index(t))) {
            return false;
        }
        self.higher_tiers_keep_patience(entry, now)
    }

    /// Returns whether every ticket of the higher tiers can be served within its patience if this
    /// ticket goes first.
    pub(crate) fn higher_tiers_keep_patience(&self, entry: &QueuedTicket, now: MonoTime) -> bool {
        let tier = entry.ticket.tier;
        let Some(capacity) = self.backends.capacity() else {
            return true;
        };
        let mut work = f64::from(entry.work);
        for (_, queue) in self.queue.tiers().take_while(|(t, _)| t.is_above(tier)) {
            work += queue.work() as f64;
            let needed = PATIENCE_MARGIN * work / capacity.max(1.0);
            let left = queue.first_expiry().map(|(expires, _)| expires.after(now));
            if left.is_some_and(|left| left.as_secs_f64() < needed) {
                return false;
            }
        }
        true
    }

    fn update_saturation(&mut self, is_saturated: bool, now: MonoTime) {
        if !is_saturated {
            self.saturated_since = None;
        } else if self.saturated_since.is_none() {
            self.saturated_since = Some(now);
        }
    }
}
