//! Tells how long the registry's entries have shown that their processes run.
//!
//! A backend server writes its entry again and again, and an entry that is not written any more is removed, or replaced by
//! that of the process which starts under the same id. So an entry that still stands was written within its lifetime, if
//! this gateway has read the registry all the while. What counts is when the store was asked, not when its answer was
//! read: a gateway that stood still meanwhile reads it late. Leases may pause while the key-value store is down, so a gap
//! in the contact starts the time anew.

use std::cell::Cell;

use crate::core::GatewayCore;
use crate::prelude::*;

/// Since when this gateway has read the registry without a gap.
#[derive(Debug, Default)]
pub(crate) struct RegistryContact {
    steady_since: Cell<Option<MonoTime>>,
}

impl RegistryContact {
    /// Ends the doubts about processes that the registry has outlasted.
    pub(crate) fn confirm_processes(&self, core: &GatewayCore, now: MonoTime) {
        let settings = core.settings();
        let max_age = settings.view_pace().max_version_age;
        let (contact, complete_at) = {
            let view = core.view.borrow();
            (view.store_contact, view.complete_at)
        };
        if contact.is_none_or(|contact| now.since(contact) >= max_age) {
            self.steady_since.set(None);
            return;
        }
        let steady_since = self.steady_since.get().unwrap_or(now);
        self.steady_since.set(Some(steady_since));
        let Some(complete_at) = complete_at else {
            return;
        };
        let ran_at = MonoTime(complete_at.0.saturating_sub(settings.entry_lifetime.0));
        if ran_at >= steady_since {
            core.fleet.borrow_mut().confirm_processes(ran_at);
        }
    }
}
