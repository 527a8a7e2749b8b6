//! Counts the memory that this gateway's requests hold, and reports it to the owners where memory is scarce.

use std::net::SocketAddr;
use std::rc::Rc;

use oleander_balance::{BackendKey, LeaseId};
use oleander_base::monotonic_now;

use super::owner::{end_lease, renew_lease};
use super::{EndedMemory, HeldMemory, HeldRecord, MemoryMessage, whole_millis};
use crate::core::GatewayCore;
use crate::peer_message::PeerMessage;
use crate::prelude::*;
use crate::slots::{SlotOwner, owners};

/// How long a request counts after its connection was reset: until its engine has seen that and dropped it.
const LINGER_TIME: Span = Span::from_millis(500);

/// The greatest number of records in one message, so that it fits into a datagram: each has up to 28 bytes.
pub(super) const MAX_RECORDS: usize = 45;

/// The memory that one request holds, until it has ended. When it is dropped without [`Self::end`], the backend
/// server may hold the request for a moment longer.
#[derive(Debug)]
pub(crate) struct MemoryHold {
    core: Rc<GatewayCore>,
    id: LeaseId,
    is_ended: bool,
}

impl MemoryHold {
    /// Counts a request that needs no lease.
    pub(crate) fn open(core: &Rc<GatewayCore>, key: BackendKey, tokens: u32, lasts: Span) -> Self {
        let id = LeaseId(core.random_number());
        Self::count(core, id, (key, tokens), lasts, None)
    }

    /// Counts a request that got a lease.
    pub(super) fn leased(
        core: &Rc<GatewayCore>,
        id: LeaseId,
        (key, tokens): (BackendKey, u32),
        lasts: Span,
        owner: SlotOwner,
    ) -> Self {
        Self::count(core, id, (key, tokens), lasts, Some(owner))
    }

    fn count(
        core: &Rc<GatewayCore>,
        id: LeaseId,
        (key, tokens): (BackendKey, u32),
        lasts: Span,
        granted_by: Option<SlotOwner>,
    ) -> Self {
        let now = monotonic_now();
        let held = HeldMemory {
            key,
            tokens,
            ends_at: now + lasts,
            granted_by,
            told: 0,
            told_at: now,
            lingers_until: None,
        };
        core.memory.holds.borrow_mut().insert(id, held);
        core.with_backend(key, |state| state.memory.hold(tokens));
        Self {
            core: Rc::clone(core),
            id,
            is_ended: false,
        }
    }

    /// Gives the memory back: the backend server holds the request no longer.
    pub(crate) fn end(mut self) {
        self.is_ended = true;
        release(&self.core, self.id);
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let until = monotonic_now() + LINGER_TIME;
        if let Some(hold) = self.core.memory.holds.borrow_mut().get_mut(&self.id) {
            hold.lingers_until = Some(until);
        }
    }
}

/// Gives back the memory of requests that were given up a while ago.
pub(super) fn release_lingering(core: &GatewayCore, now: MonoTime) {
    let is_over = |hold: &HeldMemory| hold.lingers_until.is_some_and(|until| until <= now);
    let holds = core.memory.holds.borrow();
    let over = holds.iter().filter(|(_, hold)| is_over(hold));
    let over: Vec<LeaseId> = over.map(|(id, _)| *id).collect();
    drop(holds);
    for id in over {
        release(core, id);
    }
}

/// Stops counting a request, and reports its end to the owners who may know of it.
fn release(core: &GatewayCore, id: LeaseId) {
    let Some(hold) = core.memory.holds.borrow_mut().remove(&id) else {
        return;
    };
    core.with_backend(hold.key, |state| state.memory.release(hold.tokens));
    if hold.granted_by.is_none() && hold.told == 0 {
        return;
    }
    for owner in informed_owners(core, &hold) {
        tell_ended(core, hold.key, owner, id);
    }
}

/// Returns the owners to which a request is reported: both present ones, since the standby owner may become the first,
/// and the one that granted the lease.
fn informed_owners(core: &GatewayCore, hold: &HeldMemory) -> impl Iterator<Item = SlotOwner> {
    let known = owners(core, hold.key);
    let other = hold
        .granted_by
        .filter(|owner| !known.contains(&Some(*owner)));
    known.into_iter().chain([other]).flatten()
}

/// Reports to an owner that a request has ended or needs no lease any longer, at once and again with the next round.
pub(super) fn tell_ended(core: &GatewayCore, key: BackendKey, owner: SlotOwner, lease: LeaseId) {
    match owner {
        SlotOwner::Own => end_lease(core, key, lease),
        SlotOwner::Other(address) => {
            let Some(backend) = core.backend_hash(key) else {
                return;
            };
            let ended = EndedMemory { backend, lease };
            let message = MemoryMessage::Ended(vec![ended]);
            core.peers.send(PeerMessage::Memory(message), &[address]);
            let mut repeated = core.memory.ended.borrow_mut();
            repeated.entry(address).or_default().push(ended);
        }
    }
}

/// Reports to the owners what those of this gateway's requests hold for which `is_due` returns true.
pub(super) fn tell_owners(core: &GatewayCore, now: MonoTime, is_due: impl Fn(&HeldMemory) -> bool) {
    let mut due: Vec<(LeaseId, HeldMemory)> = Vec::new();
    for (id, hold) in &mut *core.memory.holds.borrow_mut() {
        if is_due(hold) {
            hold.told += 1;
            hold.told_at = now;
            due.push((*id, *hold));
        }
    }
    let mut records: FastMap<SocketAddr, Vec<HeldRecord>> = FastMap::default();
    for (lease, hold) in due {
        let Some(backend) = core.backend_hash(hold.key) else {
            continue;
        };
        let record = HeldRecord {
            backend,
            lease,
            tokens: hold.tokens,
            lasts_ms: whole_millis(hold.ends_at.since(now)),
        };
        for owner in informed_owners(core, &hold) {
            match owner {
                SlotOwner::Own => renew_lease(core, &record),
                SlotOwner::Other(address) => records.entry(address).or_default().push(record),
            }
        }
    }
    for (address, records) in records {
        for part in records.chunks(MAX_RECORDS) {
            let message = MemoryMessage::Held(part.to_vec());
            core.peers.send(PeerMessage::Memory(message), &[address]);
        }
    }
}
