//! What holders and owners of memory do with each gossip round. Nothing is sent while no memory is scarce.

use std::net::SocketAddr;

use oleander_balance::{BackendKey, GuardSpan};
use oleander_base::monotonic_now;

use super::guard::{NEWS_FANOUT, guard_record, guarded_capacity, send_guards};
use super::hold::{MAX_RECORDS, release_lingering, tell_owners};
use super::owner::grant_queued;
use super::{GuardRecord, HeldMemory, MemoryMessage};
use crate::core::GatewayCore;
use crate::gossip::pick_targets;
use crate::peer_message::PeerMessage;
use crate::prelude::*;
use crate::slots::own_role;

/// The time after which a request is reported to its owners again. Three reports have to be lost until an owner doubts
/// that the request still runs.
const TELL_INTERVAL: Span = Span::from_millis(900);

/// How many times a new request is reported with each round: a single datagram that is lost would hide it from the
/// owners for [`TELL_INTERVAL`].
const FIRST_TELLS: u32 = 3;

/// How long a new guard is sent to several gateways with each round: for three rounds, so that a gateway that no
/// message has reached does not go on sending without leases.
const NEWS_TIME: Span = Span::from_millis(1_200);

/// The greatest number of guards in one message. Where more are on, each round sends some of them, from a random one
/// on.
const MAX_GUARDS: usize = 16;

/// Sends this round's reports to owners and other gateways, and grants the memory that has become free.
pub(crate) fn send_memory_round(core: &GatewayCore, targets: &[SocketAddr]) {
    if !core.settings().guards_memory {
        return;
    }
    let now = monotonic_now();
    release_lingering(core, now);
    for (address, ended) in core.memory.ended.take() {
        for part in ended.chunks(MAX_RECORDS) {
            let message = MemoryMessage::Ended(part.to_vec());
            core.peers.send(PeerMessage::Memory(message), &[address]);
        }
    }
    let guarded = guarded_backends(core, now);
    let is_due = |hold: &HeldMemory| {
        let is_first = hold.told < FIRST_TELLS;
        (is_first || now.since(hold.told_at) >= TELL_INTERVAL) && guarded.contains(&hold.key)
    };
    tell_owners(core, now, is_due);
    let owned: Vec<BackendKey> = core.memory.ledgers.borrow().keys().copied().collect();
    for key in owned {
        keep_ledger(core, key, now);
    }
    tell_guards(core, &guarded, targets, now);
    if core.gateway_count() > 1 && core.memory.is_deaf(now) {
        keep_guards(core, &guarded, now);
    }
}

/// Keeps guards on while no datagrams of other gateways arrive: those gateways may still need the guards.
fn keep_guards(core: &GatewayCore, guarded: &[BackendKey], now: MonoTime) {
    for key in guarded {
        core.with_backend(*key, |state| {
            if let Some(span) = state.memory.span(now) {
                let needed_at = now;
                // The guard is on already, so no gateway has to be informed.
                let _ = state
                    .memory
                    .note_needed(GuardSpan { needed_at, ..span }, now);
            }
        });
    }
}

fn guarded_backends(core: &GatewayCore, now: MonoTime) -> Vec<BackendKey> {
    let fleet = core.fleet.borrow();
    let guarded = fleet
        .members()
        .filter(|(_, member)| member.state.memory.is_on(now));
    guarded.map(|(key, _)| key).collect()
}

/// Sends some of the guards, from a random one on, to one gateway, and new guards to several.
fn tell_guards(core: &GatewayCore, guarded: &[BackendKey], targets: &[SocketAddr], now: MonoTime) {
    let Some(target) = targets.first().filter(|_| !guarded.is_empty()) else {
        return;
    };
    let start = (core.random() * guarded.len() as f64) as usize;
    let turn = guarded.iter().cycle().skip(start);
    let keys = turn.take(guarded.len().min(MAX_GUARDS));
    let records = keys.filter_map(|key| guard_record(core, *key, now));
    let records: Vec<GuardRecord> = records.collect();
    send_guards(core, records, &[*target]);
    let young = guarded
        .iter()
        .filter_map(|key| guard_record(core, *key, now))
        .filter(|record| record.is_younger_than(NEWS_TIME));
    let young: Vec<GuardRecord> = young.take(MAX_GUARDS).collect();
    if !young.is_empty() {
        send_guards(core, young, &pick_targets(core, NEWS_FANOUT));
    }
}

/// Grants what has become free, renews the guard while it is needed, and drops the ledger of a backend server whose
/// memory is plentiful or not this gateway's any longer.
fn keep_ledger(core: &GatewayCore, key: BackendKey, now: MonoTime) {
    let is_on = core.with_backend(key, |state| state.memory.is_on(now));
    if is_on != Some(true) || own_role(core, key).is_none() {
        core.memory.ledgers.borrow_mut().remove(&key);
        return;
    }
    grant_queued(core, key);
    let service = {
        let fleet = core.fleet.borrow();
        fleet.get(key).map(|member| member.entry.service.clone())
    };
    let Some(capacity) = service.and_then(|service| guarded_capacity(core, &service)) else {
        return;
    };
    let span = GuardSpan {
        since: now,
        needed_at: now,
    };
    let ledgers = core.memory.ledgers.borrow();
    let is_pressed = ledgers
        .get(&key)
        .is_some_and(|ledger| ledger.is_pressed(capacity, now));
    core.with_backend(key, |state| {
        if is_pressed && state.memory.is_renewal_due(now) {
            // The guard is on already, so no gateway has to be informed.
            let _ = state.memory.note_needed(span, now);
        }
    });
}
