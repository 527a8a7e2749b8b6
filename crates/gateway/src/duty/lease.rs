//! The lease that makes this gateway the holder of the duties towards the provider, as it knows it.

use std::cell::Cell;
use std::rc::Rc;

use oleander_base::prelude::*;
use oleander_platform::{HeldLease, boot_time};

use super::token::FencingToken;
use crate::store_version::StoreEra;

/// The duties while this gateway holds them.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldDuty {
    /// The lease, whose fencing number is the revision of the holder's key.
    pub(super) lease: HeldLease,
    /// The era of the store that granted the lease.
    pub(super) era: StoreEra,
    /// When the lease was obtained.
    pub(super) since: MonoTime,
    /// The time from which on the provider may be called. By then the lease of an earlier holder has ended, and
    /// its last call has arrived or been abandoned.
    pub(super) acts_from: MonoTime,
}

impl HeldDuty {
    pub(super) fn token(&self) -> FencingToken {
        FencingToken::of(self.era, self.lease.fencing)
    }

    /// Returns whether the provider may be called.
    fn may_act(&self, now: MonoTime) -> bool {
        now >= self.acts_from && self.lease.is_held(now)
    }
}

/// The lease of the duties, as far as this gateway holds it. Times are of the clock that keeps running
/// while the machine is suspended.
#[derive(Debug, Default)]
pub(crate) struct DutyLease {
    held: Rc<Cell<Option<HeldDuty>>>,
    /// Why the lease is to be given up, if it is.
    resignation: Cell<Option<&'static str>>,
}

impl DutyLease {
    /// Returns the permission to call the provider, if this gateway has it now.
    pub(crate) fn current(&self) -> Option<DutyGrant> {
        let grant = self.held_grant()?;
        grant.is_valid().then_some(grant)
    }

    /// Returns the permission to call the provider, which may not be valid yet.
    pub(super) fn held_grant(&self) -> Option<DutyGrant> {
        let held = self.held()?;
        Some(DutyGrant {
            token: held.token(),
            held: Rc::clone(&self.held),
        })
    }

    /// Returns the duties if this gateway holds them, whether it may call the provider yet or not.
    pub(super) fn held(&self) -> Option<HeldDuty> {
        let now = boot_time();
        self.held.get().filter(|held| held.lease.is_held(now))
    }

    /// Asks the lease's task to give the lease up.
    pub(super) fn resign(&self, reason: &'static str) {
        self.resignation.set(Some(reason));
    }

    /// Takes the request to give the lease up, if there is one.
    pub(super) fn take_resignation(&self) -> Option<&'static str> {
        self.resignation.take()
    }

    /// Returns the lease without a check whether it has expired.
    pub(super) fn last_held(&self) -> Option<HeldDuty> {
        self.held.get()
    }

    pub(super) fn set(&self, held: Option<HeldDuty>) {
        self.held.set(held);
    }
}

/// The permission of one holder to call the provider.
///
/// It is valid as long as the lease: it ends early if the lease is lost early, and is prolonged when the lease is
/// renewed.
#[derive(Debug, Clone)]
pub(crate) struct DutyGrant {
    token: FencingToken,
    held: Rc<Cell<Option<HeldDuty>>>,
}

impl DutyGrant {
    /// Returns the fencing token.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns whether the provider may be called now.
    pub(crate) fn is_valid(&self) -> bool {
        let now = boot_time();
        self.same().is_some_and(|held| held.may_act(now))
    }

    /// Returns how long the permission still lasts if the lease is not renewed.
    pub(crate) fn time_left(&self) -> Span {
        let now = boot_time();
        self.same()
            .map_or(Span::ZERO, |held| held.lease.expires_at().since(now))
    }

    fn same(&self) -> Option<HeldDuty> {
        self.held.get().filter(|held| held.token() == self.token)
    }
}
