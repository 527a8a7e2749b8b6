//! Leases on the slots of brittle backend servers: asks their owners for them, and grants those that this
//! gateway owns.
//!
//! A request that goes to a brittle backend server asks the first owner of its slots for a lease, and the
//! standby owner if the first one does not answer. The lease lasts until the request has ended; its holder
//! renews it with each round of news. Datagrams may be lost: an ask is repeated, and a lease that is not
//! renewed expires (docs/PLATFORM.md, "Brittle backend servers").

mod ask;
mod owner;
mod round;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use oleander_balance::{BackendKey, LeaseEnd, LeaseId, LeaseReply, OwnerRole, SlotLedger};
use tokio::sync::mpsc::UnboundedSender;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) use self::ask::{SlotOutcome, SlotWish, mark_silent, take_slot};
use self::owner::end_lease;
pub(crate) use self::owner::{count_rejection, on_slot_message, own_role};
pub(crate) use self::round::send_slot_round;
use crate::core::GatewayCore;
use crate::peer_message::{EndedLease, PeerMessage, SlotMessage};
use crate::prelude::*;

/// How long an owner that did not answer is not asked at first; datagrams may have been lost. Each further time is
/// twice as long.
const MIN_SILENT_TIME: Span = Span::from_millis(250);

/// The longest time for which an owner that did not answer is not asked.
const MAX_SILENT_TIME: Span = Span::from_secs(2);

/// A gateway that owns the slots of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotOwner {
    /// This gateway.
    Own,
    /// Another one, at the address where it receives datagrams.
    Other(SocketAddr),
}

/// The lease of one request on a slot. When it is dropped without [`Self::end`], it expires: the request may
/// still run.
#[derive(Debug)]
pub(crate) struct SlotLease {
    pub(super) core: Rc<GatewayCore>,
    pub(super) id: LeaseId,
    pub(super) key: BackendKey,
    pub(super) owner: SlotOwner,
    pub(crate) role: OwnerRole,
}

impl SlotLease {
    /// Gives the slot back.
    pub(crate) fn end(self, end: LeaseEnd) {
        let core = Rc::clone(&self.core);
        release(&core, self.key, self.owner, self.id, end);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.core.slots.held.borrow_mut().remove(&self.id);
    }
}

/// A lease that this gateway holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    pub(super) key: BackendKey,
    pub(super) owner: SlotOwner,
}

/// An owner that did not answer.
#[derive(Debug, Clone, Copy)]
struct SilentOwner {
    /// Until when it is not asked.
    until: MonoTime,
    /// How long it is not asked this time.
    span: Span,
}

/// The leases that this gateway holds, and those on the slots that it owns.
#[derive(Debug)]
pub(crate) struct SlotExchange {
    /// Makes the references of this process differ from those of others.
    seed: u64,
    pub(super) ledgers: RefCell<FastMap<BackendKey, SlotLedger>>,
    pub(super) held: RefCell<FastMap<LeaseId, HeldLease>>,
    /// The requests that wait for a reply.
    pub(super) asks: RefCell<FastMap<LeaseId, UnboundedSender<LeaseReply>>>,
    /// The owners that did not answer, until one does.
    silent: RefCell<FastMap<SocketAddr, SilentOwner>>,
    /// The leases that ended since the last round, which their owners are told of once more then: a lost
    /// datagram would keep a slot until its lease expires.
    pub(super) ended: RefCell<FastMap<SocketAddr, Vec<EndedLease>>>,
}

impl SlotExchange {
    pub(crate) fn open(seed: u64) -> Self {
        Self {
            seed,
            ledgers: RefCell::default(),
            held: RefCell::default(),
            asks: RefCell::default(),
            silent: RefCell::default(),
            ended: RefCell::default(),
        }
    }

    /// Returns the reference of a request without a lease, by its number among those of this gateway at its
    /// backend server.
    pub(super) fn unleased_id(&self, key: BackendKey, number: u32) -> LeaseId {
        let place = (u64::from(key.0) << 32) | u64::from(number);
        LeaseId(xxh3_64_with_seed(&place.to_le_bytes(), self.seed))
    }

    pub(crate) fn is_silent(&self, owner: SlotOwner, now: MonoTime) -> bool {
        let SlotOwner::Other(address) = owner else {
            return false;
        };
        let silent = self.silent.borrow();
        silent.get(&address).is_some_and(|owner| now < owner.until)
    }

    pub(super) fn mark_silent(&self, address: SocketAddr, now: MonoTime) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, owner| now < owner.until + MAX_SILENT_TIME);
        let span = match silent.get(&address) {
            Some(owner) => Span(2 * owner.span.0).min(MAX_SILENT_TIME),
            None => MIN_SILENT_TIME,
        };
        let until = now + span;
        silent.insert(address, SilentOwner { until, span });
    }

    pub(crate) fn mark_heard(&self, address: SocketAddr) {
        self.silent.borrow_mut().remove(&address);
    }

    /// Returns how many leases this gateway holds, and how many it has granted.
    pub(crate) fn counts(&self) -> SlotCounts {
        let ledgers = self.ledgers.borrow();
        SlotCounts {
            held: self.held.borrow().len(),
            granted: ledgers.values().map(SlotLedger::held).sum(),
            queued: ledgers.values().map(SlotLedger::queued).sum(),
        }
    }
}

/// The leases of a gateway, for the metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotCounts {
    pub(crate) held: usize,
    pub(crate) granted: usize,
    pub(crate) queued: usize,
}

/// Returns the owners of a backend server's slots, the first one first.
pub(crate) fn owners(core: &GatewayCore, key: BackendKey) -> [Option<SlotOwner>; 2] {
    let Some(backend) = core.backend_hash(key) else {
        return [None; 2];
    };
    let settings = core.settings();
    let owners = core.view.borrow().slot_owners(&settings.name, backend);
    match owners {
        // No other gateway is known yet, so this one asks itself.
        [None, None] => [Some(SlotOwner::Own), None],
        owners => owners,
    }
}

/// Tells the owner of a lease that it has ended.
pub(super) fn release(
    core: &GatewayCore,
    key: BackendKey,
    owner: SlotOwner,
    lease: LeaseId,
    end: LeaseEnd,
) {
    match owner {
        SlotOwner::Own => end_lease(core, key, lease, end),
        SlotOwner::Other(address) => {
            let Some(backend) = core.backend_hash(key) else {
                return;
            };
            let ended = EndedLease {
                backend,
                lease,
                end,
            };
            let message = SlotMessage::Ended(vec![ended]);
            core.peers.send(PeerMessage::Slots(message), &[address]);
            let mut told = core.slots.ended.borrow_mut();
            told.entry(address).or_default().push(ended);
        }
    }
}
