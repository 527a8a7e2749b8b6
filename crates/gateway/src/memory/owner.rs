//! Grants leases on the memory that this gateway owns, and handles the messages of other gateways about memory.

use std::net::SocketAddr;

use oleander_balance::{
    BackendKey, HeldCount, LeaseId, LeaseReply, MemoryAsk, MemoryLedger, MemoryTerms, REPORT_TTL,
};
use oleander_base::monotonic_now;

use super::ask::deliver;
use super::guard::{apply_guard, guarded_capacity};
use super::{HeldRecord, MemoryAskRecord, MemoryMessage};
use crate::core::GatewayCore;
use crate::peer_message::PeerMessage;
use crate::prelude::*;
use crate::slots::own_role;

/// Returns the facts on which this gateway decides as an owner; `None` if it is not an owner, or the guard is off.
fn terms(core: &GatewayCore, key: BackendKey) -> Option<MemoryTerms> {
    let now = monotonic_now();
    let role = own_role(core, key)?;
    let hears_others = core.gateway_count() == 1 || knows_role(core, now);
    let service = {
        let fleet = core.fleet.borrow();
        fleet.get(key)?.entry.service.clone()
    };
    let capacity = guarded_capacity(core, &service)?;
    let mean_need = core.with_service(&service, |state| state.needs.mean());
    let fleet = core.fleet.borrow();
    let state = &fleet.get(key)?.state;
    let reported = state.fresh_report(REPORT_TTL, now);
    Some(MemoryTerms {
        role,
        hears_others,
        capacity,
        guarded_since: state.memory.span(now)?.since,
        reported: reported.map(|(report, at)| HeldCount {
            requests: report.running + report.waiting,
            at,
        }),
        mean_need,
    })
}

/// Returns whether this gateway would know if another one had become an owner in its place: what it knows of the store
/// is recent, or datagrams of other gateways have arrived for a while.
fn knows_role(core: &GatewayCore, now: MonoTime) -> bool {
    let contact = core.view.borrow().store_contact;
    let max_age = core.settings().view_pace().max_contact_age;
    let is_fresh = contact.is_some_and(|contact| now.since(contact) < max_age);
    is_fresh || core.memory.hears_others(now)
}

/// Opens the ledger of a backend server, if this gateway owns its memory and it is not open yet. A ledger that was
/// opened a moment ago may lack leases of other gateways, and leases less for that reason.
pub(super) fn open_ledger(core: &GatewayCore, key: BackendKey) {
    if own_role(core, key).is_some() {
        let mut ledgers = core.memory.ledgers.borrow_mut();
        ledgers
            .entry(key)
            .or_insert_with(|| MemoryLedger::open(monotonic_now()));
    }
}

/// Decides on a request for a lease.
pub(super) fn decide(core: &GatewayCore, key: BackendKey, ask: MemoryAsk) -> LeaseReply {
    let Some(terms) = terms(core, key) else {
        core.memory.ledgers.borrow_mut().remove(&key);
        return LeaseReply::NotOwner;
    };
    open_ledger(core, key);
    let mut ledgers = core.memory.ledgers.borrow_mut();
    match ledgers.get_mut(&key) {
        Some(ledger) => ledger.ask(ask, &terms, monotonic_now()),
        None => LeaseReply::NotOwner,
    }
}

/// Ends a lease that this gateway knows of.
pub(super) fn end_lease(core: &GatewayCore, key: BackendKey, lease: LeaseId) {
    if let Some(ledger) = core.memory.ledgers.borrow_mut().get_mut(&key) {
        ledger.release(lease, monotonic_now());
    }
    grant_queued(core, key);
}

/// Enters what a request holds into the ledger, if this gateway owns the memory.
pub(super) fn renew_lease(core: &GatewayCore, record: &HeldRecord) {
    let Some(key) = core.backend_key(record.backend) else {
        return;
    };
    open_ledger(core, key);
    if let Some(ledger) = core.memory.ledgers.borrow_mut().get_mut(&key) {
        let lasts = Span::from_millis(u64::from(record.lasts_ms));
        ledger.renew(record.lease, record.tokens, lasts, monotonic_now());
    }
}

/// Grants the memory that has become free to the requests that wait for it.
pub(super) fn grant_queued(core: &GatewayCore, key: BackendKey) {
    let is_open = core.memory.ledgers.borrow().contains_key(&key);
    if !is_open {
        return;
    }
    let Some(terms) = terms(core, key) else {
        return;
    };
    let granted = {
        let mut ledgers = core.memory.ledgers.borrow_mut();
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
    let message = MemoryMessage::Reply { lease, reply };
    core.peers.send(PeerMessage::Memory(message), &[asker]);
}

/// Handles a message of another gateway about memory.
pub(crate) fn on_memory_message(core: &GatewayCore, message: MemoryMessage, from: SocketAddr) {
    match message {
        MemoryMessage::Ask(record) => on_ask(core, &record, from),
        MemoryMessage::Reply { lease, reply } => {
            core.slots.mark_heard(from);
            // The request may have given up meanwhile, and the owner then gets a message that it ended.
            deliver(core, lease, reply);
        }
        MemoryMessage::Ended(records) => {
            for ended in records {
                if let Some(key) = core.backend_key(ended.backend) {
                    end_lease(core, key, ended.lease);
                }
            }
        }
        MemoryMessage::Held(records) => {
            for record in &records {
                renew_lease(core, record);
            }
        }
        MemoryMessage::Guards(records) => {
            for record in &records {
                apply_guard(core, record);
            }
        }
    }
}

fn on_ask(core: &GatewayCore, record: &MemoryAskRecord, from: SocketAddr) {
    // The gateway that asks may know of the guard before this one.
    apply_guard(core, &record.guard);
    let ask = MemoryAsk {
        lease: record.lease,
        asker: Some(from),
        urgency: record.urgency,
        wait: Span::from_millis(u64::from(record.wait_ms)),
        tokens: record.tokens,
        lasts: Span::from_millis(u64::from(record.lasts_ms)),
    };
    let reply = match core.backend_key(record.guard.backend) {
        Some(key) => decide(core, key, ask),
        None => LeaseReply::NotOwner,
    };
    send_reply(core, record.lease, reply, from);
}
