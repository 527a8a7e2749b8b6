//! The duties of holders and owners of leases with each round of news.

use std::net::SocketAddr;

use oleander_balance::{BackendKey, LeaseId};
use oleander_base::FastMap;

use super::owner::{grant_queued, on_renewal, own_role};
use super::{SlotOwner, owners};
use crate::core::GatewayCore;
use crate::peer_message::{LeaseRenewal, PeerMessage, SlotMessage};

/// The greatest number of leases in one message.
const MAX_RECORDS: usize = 60;

/// Renews leases, tells once more which have ended, and grants what has become free.
pub(crate) fn send_slot_round(core: &GatewayCore) {
    for (address, ended) in core.slots.ended.take() {
        for part in ended.chunks(MAX_RECORDS) {
            let message = SlotMessage::Ended(part.to_vec());
            core.peers.send(PeerMessage::Slots(message), &[address]);
        }
    }
    renew_leases(core);
    let owned: Vec<BackendKey> = core.slots.ledgers.borrow().keys().copied().collect();
    for key in owned {
        keep_ledger(core, key);
    }
}

/// Renews the leases that this gateway holds, at the owner that granted each and at the first owner.
///
/// Requests that were sent before their backend server was known to be brittle count as leases too.
fn renew_leases(core: &GatewayCore) {
    let mut renewals: FastMap<SocketAddr, Vec<LeaseRenewal>> = FastMap::default();
    for (lease, key, granted_by) in running_leases(core) {
        let Some(backend) = core.backend_hash(key) else {
            continue;
        };
        let first = owners(core, key)[0];
        let renewal = LeaseRenewal { backend, lease };
        let other = granted_by.filter(|owner| first != Some(*owner));
        for owner in [first, other].into_iter().flatten() {
            match owner {
                SlotOwner::Own => on_renewal(core, renewal),
                SlotOwner::Other(address) => renewals.entry(address).or_default().push(renewal),
            }
        }
    }
    for (address, renewals) in renewals {
        for part in renewals.chunks(MAX_RECORDS) {
            let message = SlotMessage::Renew(part.to_vec());
            core.peers.send(PeerMessage::Slots(message), &[address]);
        }
    }
}

/// Returns the leases of this gateway's requests at brittle backend servers, with their owners.
fn running_leases(core: &GatewayCore) -> Vec<(LeaseId, BackendKey, Option<SlotOwner>)> {
    let held = core.slots.held.borrow();
    let mut leased: FastMap<BackendKey, u32> = FastMap::default();
    let mut running = Vec::with_capacity(held.len());
    for (id, lease) in &*held {
        *leased.entry(lease.key).or_default() += 1;
        running.push((*id, lease.key, Some(lease.owner)));
    }
    let fleet = core.fleet.borrow();
    for (key, member) in fleet.members() {
        if member.state.rejection_limit.threshold().is_none() {
            continue;
        }
        let known = leased.get(&key).copied().unwrap_or(0);
        for number in 0..member.state.own_running.saturating_sub(known) {
            let id = core.slots.unleased_id(key, number);
            running.push((id, key, None));
        }
    }
    running
}

/// Grants what has become free by expired leases, and drops the ledger of a backend server that this gateway
/// does not own any longer.
fn keep_ledger(core: &GatewayCore, key: BackendKey) {
    let is_brittle = core.with_backend(key, |state| state.rejection_limit.threshold().is_some());
    // Another gateway may know of the brittleness first, and hold leases meanwhile.
    let is_used = || {
        let ledgers = core.slots.ledgers.borrow();
        ledgers.get(&key).is_some_and(|ledger| ledger.held() > 0)
    };
    let is_kept = match is_brittle {
        Some(is_brittle) => own_role(core, key).is_some() && (is_brittle || is_used()),
        None => false,
    };
    if !is_kept {
        core.slots.ledgers.borrow_mut().remove(&key);
        return;
    }
    grant_queued(core, key);
}
