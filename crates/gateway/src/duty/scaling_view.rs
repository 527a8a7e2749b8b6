//! Whether this gateway's view of the platform is good enough to order backend servers by.

use std::cell::Cell;

use oleander_base::monotonic_now;

use crate::core::GatewayCore;
use crate::prelude::*;
use crate::suspend::SuspendDetector;

/// The time since the last plan above which the process must have been paused, so that its view of backend servers
/// may be as old.
const STALL_LIMIT: Span = Span::from_secs(3);

/// The time after a change of the store's era in which registry entries may still be missing, until backend servers
/// have announced themselves again.
const ERA_SETTLE: Span = Span::from_secs(5);

/// Whether the view is up to date.
#[derive(Debug)]
pub(super) struct ViewFreshness {
    suspend: SuspendDetector,
    last_check_at: Cell<MonoTime>,
    era: Cell<StoreEra>,
    /// When a later era was first seen.
    era_since: Cell<Option<MonoTime>>,
}

impl ViewFreshness {
    pub(super) fn open() -> Self {
        Self {
            suspend: SuspendDetector::open(),
            last_check_at: Cell::new(monotonic_now()),
            era: Cell::default(),
            era_since: Cell::default(),
        }
    }

    /// Returns why the view may be out of date, if it may; called once for each plan.
    pub(super) fn check(&self, core: &GatewayCore, now: MonoTime) -> Option<&'static str> {
        let was_suspended = self.suspend.detect().is_some();
        let stood_still = now.since(self.last_check_at.replace(now)) > STALL_LIMIT;
        let era = core.store_era();
        let last_era = self.era.replace(era);
        if last_era != era && last_era != StoreEra::default() {
            self.era_since.set(Some(now));
        }
        let era_since = self.era_since.get();
        let is_era_new = era_since.is_some_and(|at| now.since(at) < ERA_SETTLE);
        let contact = core.view.borrow().store_contact;
        let max_age = core.settings().view_pace().max_contact_age;
        let is_in_touch = contact.is_some_and(|contact| now.since(contact) <= max_age);
        if was_suspended || stood_still {
            Some("the process stood still")
        } else if is_era_new {
            Some("the store's era is new")
        } else if !is_in_touch || core.is_store_lost.get() {
            Some("the store was not read lately")
        } else if core.reach.is_cut_off() {
            Some("this gateway is cut off from backend servers")
        } else {
            None
        }
    }
}
