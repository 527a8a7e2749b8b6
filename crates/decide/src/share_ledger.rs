//! The minimum share of each class, enforced through the order of dispatch.
//!
//! With each grant of the pool, every class with queued tickets earns its minimum share of a grant
//! as credit; a grant of its own costs it one. A class with a credit of at least one grant may be
//! served ahead of higher tiers. A class that gets its share in tier order therefore never needs
//! the ledger, and one that does not gets a grant after at most `1 / share` grants of the pool. The
//! sum of all shares is bounded, so higher tiers keep most of the pool.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

/// The smallest share of a class; a smaller one in its record is raised to it.
const SHARE_FLOOR: f64 = 0.005;

/// The largest fraction of a pool's grants that all shares together may take.
const TOTAL_SHARE_LIMIT: f64 = 0.5;

/// The most credit that a class may accumulate, in grants.
const CREDIT_LIMIT: f64 = 2.0;

/// How long after its last queued ticket a class still counts as having demand.
const DEMAND_WINDOW: Span = Span::from_secs(5);

/// The share, credit and counters of one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassAccount {
    pub(crate) share: f64,
    pub(crate) credit: f64,
    pub(crate) queued: u32,
    pub(crate) running: u32,
    pub(crate) granted: u64,
    pub(crate) granted_by_share: u64,
    pub(crate) shed: u64,
    /// When the class last got a grant, or began to wait for one after a period without demand.
    pub(crate) last_served: MonoTime,
    /// When a ticket of the class last left the queue.
    last_dequeued: MonoTime,
}

impl ClassAccount {
    fn open(now: MonoTime) -> Self {
        Self {
            share: SHARE_FLOOR,
            credit: 0.0,
            queued: 0,
            running: 0,
            granted: 0,
            granted_by_share: 0,
            shed: 0,
            last_served: now,
            last_dequeued: now,
        }
    }

    /// Returns whether the class has queued tickets and has had no grant for at least `span`.
    pub(crate) fn is_starved(&self, span: Span, now: MonoTime) -> bool {
        self.queued > 0 && now.since(self.last_served) >= span
    }
}

/// The accounts of all classes of a pool.
#[derive(Debug, Default)]
pub(crate) struct ShareLedger {
    accounts: BTreeMap<ClassId, ClassAccount>,
    scale: f64,
}

impl ShareLedger {
    /// Creates a ledger without classes.
    pub(crate) fn open() -> Self {
        Self {
            accounts: BTreeMap::new(),
            scale: 1.0,
        }
    }

    /// Returns all accounts, ordered by class.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = (ClassId, &ClassAccount)> + '_ {
        self.accounts
            .iter()
            .map(|(class, account)| (*class, account))
    }

    /// Returns the account of a class.
    pub(crate) fn get(&self, class: ClassId) -> Option<&ClassAccount> {
        self.accounts.get(&class)
    }

    /// Resets every class to the smallest share.
    pub(crate) fn clear_shares(&mut self) {
        for account in self.accounts.values_mut() {
            account.share = SHARE_FLOOR;
        }
    }

    /// Sets the minimum share of a class.
    pub(crate) fn set_share(&mut self, class: ClassId, share: f64, now: MonoTime) {
        let share = if share.is_nan() { 0.0 } else { share };
        self.account(class, now).share = share.clamp(SHARE_FLOOR, 1.0);
        let sum: f64 = self.accounts.values().map(|account| account.share).sum();
        self.scale = (TOTAL_SHARE_LIMIT / sum).min(1.0);
    }

    /// Returns the share of the pool's grants that a class is guaranteed.
    pub(crate) fn share(&self, class: ClassId) -> f64 {
        let share = self.get(class).map_or(SHARE_FLOOR, |account| account.share);
        share * self.scale
    }

    /// Records that a ticket was queued.
    ///
    /// Shedding can leave a class without queued tickets for a moment. That must not count as
    /// service, so the waiting time restarts only after a period without demand.
    pub(crate) fn on_queued(&mut self, class: ClassId, now: MonoTime) {
        let account = self.account(class, now);
        if account.queued == 0 && now.since(account.last_dequeued) >= DEMAND_WINDOW {
            account.last_served = now;
        }
        account.queued += 1;
    }

    /// Records that a ticket left the queue.
    pub(crate) fn on_dequeued(&mut self, class: ClassId, now: MonoTime) {
        let account = self.account(class, now);
        account.queued = account.queued.saturating_sub(1);
        account.last_dequeued = now;
    }

    /// Records that a ticket was shed.
    pub(crate) fn on_shed(&mut self, class: ClassId, now: MonoTime) {
        self.account(class, now).shed += 1;
    }

    /// Records a grant, which earns credit for every class with queued tickets.
    pub(crate) fn on_grant(&mut self, class: ClassId, by_share: bool, now: MonoTime) {
        let scale = self.scale;
        for account in self.accounts.values_mut().filter(|a| a.queued > 0) {
            account.credit = (account.credit + account.share * scale).min(CREDIT_LIMIT);
        }
        let account = self.account(class, now);
        account.credit = (account.credit - 1.0).max(0.0);
        account.granted += 1;
        account.granted_by_share += u64::from(by_share);
        account.running += 1;
        account.last_served = now;
    }

    /// Records a grant of another dispatcher that is still in use.
    pub(crate) fn on_adopted(&mut self, class: ClassId, now: MonoTime) {
        self.account(class, now).running += 1;
    }

    /// Records the end of a grant.
    pub(crate) fn on_end(&mut self, class: ClassId, now: MonoTime) {
        let account = self.account(class, now);
        account.running = account.running.saturating_sub(1);
    }

    fn account(&mut self, class: ClassId, now: MonoTime) -> &mut ClassAccount {
        self.accounts
            .entry(class)
            .or_insert_with(|| ClassAccount::open(now))
    }
}
