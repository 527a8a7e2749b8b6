//! The minimum share of each class, as a matter of the order of dispatch.
//!
//! A class with waiting tickets earns its minimum share of a grant with each grant of the pool and
//! pays one for each grant of its own. A class with a whole grant to its credit may be served
//! ahead of higher tiers. So a class that gets its share in the order of tiers never uses the
//! ledger, and one that does not gets a grant after at most one divided by its share grants of
//! the pool. The sum of all shares is bounded, so higher tiers keep most of the pool.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

/// The share of a class whose record has a smaller one.
const SHARE_FLOOR: f64 = 0.005;

/// The most that all shares together may take of a pool's grants.
const TOTAL_SHARE_LIMIT: f64 = 0.5;

/// The most that a class may save up, in grants.
const CREDIT_LIMIT: f64 = 2.0;

/// For how long after its last ticket a class still counts as having demand.
const DEMAND_WINDOW: Span = Span::from_secs(5);

/// The account of one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassAccount {
    pub(crate) share: f64,
    pub(crate) credit: f64,
    pub(crate) queued: u32,
    pub(crate) running: u32,
    pub(crate) granted: u64,
    pub(crate) granted_by_share: u64,
    pub(crate) shed: u64,
    /// When the class last got a grant, or began to wait for one after it had no demand.
    pub(crate) last_served: MonoTime,
    /// When the class last had no ticket left.
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

    /// Returns whether the class has waited for a grant longer than `span`.
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
    /// Opens a ledger without classes.
    pub(crate) fn open() -> Self {
        Self {
            accounts: BTreeMap::new(),
            scale: 1.0,
        }
    }

    /// Returns the accounts by class.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = (ClassId, &ClassAccount)> + '_ {
        self.accounts
            .iter()
            .map(|(class, account)| (*class, account))
    }

    /// Returns the account of a class.
    pub(crate) fn get(&self, class: ClassId) -> Option<&ClassAccount> {
        self.accounts.get(&class)
    }

    /// Sets every class back to the smallest share.
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

    /// Returns the share of the pool's grants that a class is sure of.
    pub(crate) fn share(&self, class: ClassId) -> f64 {
        let share = self.get(class).map_or(SHARE_FLOOR, |account| account.share);
        share * self.scale
    }

    /// Counts a ticket that begins to wait.
    ///
    /// Tickets that are shed before they get a grant leave a class without tickets for a moment,
    /// which must not make it look served.
    pub(crate) fn on_queued(&mut self, class: ClassId, now: MonoTime) {
        let account = self.account(class, now);
        if account.queued == 0 && now.since(account.last_dequeued) >= DEMAND_WINDOW {
            account.last_served = now;
        }
        account.queued += 1;
    }

    /// Counts a ticket that no longer waits.
    pub(crate) fn on_dequeued(&mut self, class: ClassId, now: MonoTime) {
        let account = self.account(class, now);
        account.queued = account.queued.saturating_sub(1);
        account.last_dequeued = now;
    }

    /// Counts a shed ticket.
    pub(crate) fn on_shed(&mut self, class: ClassId, now: MonoTime) {
        self.account(class, now).shed += 1;
    }

    /// Counts a grant, which every waiting class earns from.
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

    /// Counts a grant of another dispatcher that is in use.
    pub(crate) fn on_adopted(&mut self, class: ClassId, now: MonoTime) {
        self.account(class, now).running += 1;
    }

    /// Counts the end of a grant.
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
