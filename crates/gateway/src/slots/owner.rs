//! Grants leases on the slots that this gateway owns, and handles the messages of other gateways about slots.

use std::net::SocketAddr;

use oleander_balance::{
    BackendKey, LeaseAsk, LeaseEnd, LeaseId, LeaseReply, OwnerRole, SlotLedger, SlotTerms,
};
use oleander_base::monotonic_now;

use super::ask::deliver;
use super::{SlotOwner, owners};
use crate::core::GatewayCore;
use crate::peer_message::{LeaseRenewal, PeerMessage, SlotMessage};
use crate::prelude::*;

/// Returns the role of this gateway for a backend server's slots and memory, if it has one.
pub(crate) fn own_role(core: &GatewayCore, key: BackendKey) -> Option<OwnerRole> {
    if core.shutdown.is_stopping() && core.gateway_count() > 1 {
        return None;
    }
    match owners(core, key) {
        [Some(SlotOwner::Own), None] if core.gateway_count() > 1 => Some(OwnerRole::Standby),
        [Some(SlotOwner::Own), _] => Some(OwnerRole::First),
        [_, Some(SlotOwner::Own)] => Some(OwnerRole::Standby),
        _ => None,
    }
}

/// Returns the facts on which this gateway decides as an owner; `None` if it is none, or the backend server
/// is not brittle.
fn terms(core: &GatewayCore, key: BackendKey) -> Option<SlotTerms> {
    let role = own_role(core, key)?;
    let fleet = core.fleet.borrow();
    let member = fleet.get(key)?;
    let state = &member.state;
    Some(SlotTerms {
        role,
        // The gateway that asks may know of the brittleness first.
        threshold: state.rejection_limit.threshold().unwrap_or(1),
        slots: state.usable_slots(),
    })
}

/// Decides on a request for a lease.
pub(super) fn decide(core: &GatewayCore, key: BackendKey, ask: LeaseAsk) -> LeaseReply {
    let now = monotonic_now();
    let Some(terms) = terms(core, key) else {
        core.slots.ledgers.borrow_mut().remove(&key);
        return LeaseReply::NotOwner;
    };
    let mut ledgers = core.slots.ledgers.borrow_mut();
    let ledger = ledgers.entry(key).or_insert_with(|| SlotLedger::open(now));
    ledger.ask(ask, &terms, now)
}

/// Ends a lease that this gateway has granted.
pub(super) fn end_lease(core: &GatewayCore, key: BackendKey, lease: LeaseId, end: LeaseEnd) {
    if let Some(ledger) = core.slots.ledgers.borrow_mut().get_mut(&key) {
        ledger.release(lease, end, monotonic_now());
    }
    grant_queued(core, key);
}

/// Grants the slots that have become free to the requests that wait for them.
pub(super) fn grant_queued(core: &GatewayCore, key: BackendKey) {
    let Some(terms) = terms(core, key) else {
        return;
    };
    let granted = {
        let mut ledgers = core.slots.ledgers.borrow_mut();
        let Some(ledger) = ledgers.get_mut(&key) else {
            return;
        };
        ledger.grant_queued(&terms, monotonic_now())
    };
    for ask in granted {
        let reply = LeaseReply::Granted(terms.role);
        match ask.asker {
            Some(asker) => send_reply(core, ask.lease, reply, asker),
            None => deliver(core, ask.lease, reply),
        }
    }
}

fn send_reply(core: &GatewayCore, lease: LeaseId, reply: LeaseReply, asker: SocketAddr) {
    let message = SlotMessage::Reply { lease, reply };
    core.peers.send(PeerMessage::Slots(message), &[asker]);
}

/// Handles a message of another gateway about slots.
pub(crate) fn on_slot_message(core: &GatewayCore, message: SlotMessage, from: SocketAddr) {
    match message {
        SlotMessage::Ask {
            backend,
            lease,
            urgency,
            wait_ms,
            slots,
        } => {
            let ask = LeaseAsk {
                lease,
                asker: Some(from),
                urgency,
                wait: Span::from_millis(u64::from(wait_ms)),
            };
            let reply = match core.backend_key(backend) {
                Some(key) => {
                    note_slots(core, key, slots);
                    decide(core, key, ask)
                }
                None => LeaseReply::NotOwner,
            };
            send_reply(core, lease, reply, from);
        }
        SlotMessage::Reply { lease, reply } => {
            core.slots.mark_heard(from);
            // The request may have given up meanwhile and told the owner so.
            deliver(core, lease, reply);
        }
        SlotMessage::Ended(leases) => {
            for ended in leases {
                if let Some(key) = core.backend_key(ended.backend) {
                    note_rejection(core, key, ended.end);
                    end_lease(core, key, ended.lease, ended.end);
                }
            }
        }
        SlotMessage::Renew(renewals) => {
            for renewal in renewals {
                on_renewal(core, renewal);
            }
        }
    }
}

/// Takes over how many slots another gateway knows of, if these are fewer than known here: few answers come to
/// the owner itself.
fn note_slots(core: &GatewayCore, key: BackendKey, slots: u32) {
    core.with_backend(key, |state| {
        if slots < state.usable_slots() {
            state.set_reported_slots(slots);
        }
    });
}

/// Notes a rejection by the end of a lease, so that news of it does not count as another one.
fn note_rejection(core: &GatewayCore, key: BackendKey, end: LeaseEnd) {
    if end == LeaseEnd::Rejected {
        let now = monotonic_now();
        core.with_backend(key, |state| state.rejection_limit.record_rejection(now));
    }
}

/// Prolongs a lease at a backend server whose slots this gateway owns.
pub(super) fn on_renewal(core: &GatewayCore, renewal: LeaseRenewal) {
    let Some(key) = core.backend_key(renewal.backend) else {
        return;
    };
    let now = monotonic_now();
    if own_role(core, key).is_none() {
        return;
    }
    let mut ledgers = core.slots.ledgers.borrow_mut();
    let ledger = ledgers.entry(key).or_insert_with(|| SlotLedger::open(now));
    ledger.renew(renewal.lease, now);
}

/// Counts a rejection of a request without a lease, if this gateway owns the slots.
pub(crate) fn count_rejection(core: &GatewayCore, key: BackendKey) {
    if let Some(ledger) = core.slots.ledgers.borrow_mut().get_mut(&key) {
        ledger.record_rejection(monotonic_now());
    }
}
