//! Leases on the slots of brittle backend servers: asks their owners for them, and grants those that this
//! gateway owns.
//!
//! A request that goes to a brittle backend server asks the first owner of its slots for a lease, and the
//! standby owner if the first one does not answer. The lease lasts until the request has ended; its holder
//! renews it with each round of news. Datagrams may be lost: an ask is repeated, and a lease that is not
//! renewed expires (docs/PLATFORM.md, "Brittle backend servers").

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{
    BackendKey, LeaseAsk, LeaseEnd, LeaseId, LeaseReply, OwnerRole, SlotLedger, SlotTerms,
};
use oleander_base::{FastMap, monotonic_now};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::GatewayCore;
use crate::peer_message::{EndedLease, LeaseRenewal, PeerMessage, SlotMessage};
use crate::prelude::*;

/// How long an owner has to answer.
const REPLY_TIMEOUT: Span = Span::from_millis(50);

/// How many times an owner is asked until it counts as silent.
const ASKS: u32 = 3;

/// How long an owner that did not answer is not asked at first; datagrams may have been lost. Each further time is
/// twice as long.
const MIN_SILENT_TIME: Span = Span::from_millis(250);

/// The longest time for which an owner that did not answer is not asked.
const MAX_SILENT_TIME: Span = Span::from_secs(2);

/// The pause of this gateway at a backend server of whose slots no owner answers.
const NO_OWNER_PAUSE: Span = Span::from_millis(250);

/// The greatest number of leases in one message.
const MAX_RECORDS: usize = 60;

/// The result of a request for a slot.
#[derive(Debug)]
pub(crate) enum SlotOutcome {
    /// A slot is leased.
    Leased(SlotLease),
    /// None is free, or none was in time.
    Full,
}

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
    core: Rc<GatewayCore>,
    id: LeaseId,
    key: BackendKey,
    owner: SlotOwner,
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

/// An owner that did not answer.
#[derive(Debug, Clone, Copy)]
struct SilentOwner {
    /// Until when it is not asked.
    until: MonoTime,
    /// How long it is not asked this time.
    span: Span,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    key: BackendKey,
    owner: SlotOwner,
}

/// The leases that this gateway holds, and those on the slots that it owns.
#[derive(Debug)]
pub(crate) struct SlotExchange {
    /// Makes the references of this process differ from those of others.
    seed: u64,
    ledgers: RefCell<FastMap<BackendKey, SlotLedger>>,
    held: RefCell<FastMap<LeaseId, HeldLease>>,
    /// The requests that wait for a reply.
    asks: RefCell<FastMap<LeaseId, UnboundedSender<LeaseReply>>>,
    /// The owners that did not answer, until one does.
    silent: RefCell<FastMap<SocketAddr, SilentOwner>>,
    /// The leases that ended since the last round, which their owners are told of once more then: a lost
    /// datagram would keep a slot until its lease expires.
    ended: RefCell<FastMap<SocketAddr, Vec<EndedLease>>>,
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
    fn unleased_id(&self, key: BackendKey, number: u32) -> LeaseId {
        let place = (u64::from(key.0) << 32) | u64::from(number);
        LeaseId(xxh3_64_with_seed(&place.to_le_bytes(), self.seed))
    }

    fn is_silent(&self, owner: SlotOwner, now: MonoTime) -> bool {
        let SlotOwner::Other(address) = owner else {
            return false;
        };
        let silent = self.silent.borrow();
        silent.get(&address).is_some_and(|owner| now < owner.until)
    }

    fn mark_silent(&self, address: SocketAddr, now: MonoTime) {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, owner| now < owner.until + MAX_SILENT_TIME);
        let span = match silent.get(&address) {
            Some(owner) => Span(2 * owner.span.0).min(MAX_SILENT_TIME),
            None => MIN_SILENT_TIME,
        };
        let until = now + span;
        silent.insert(address, SilentOwner { until, span });
    }

    fn mark_heard(&self, address: SocketAddr) {
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

#[derive(Debug, Serialize)]
struct OwnerSilentFields<'a> {
    owner: SocketAddr,
    /// The backend server of whose slots it was asked for one.
    backend: Option<&'a str>,
    waited_ms: f64,
}

/// A request's wish for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotWish {
    pub(crate) key: BackendKey,
    pub(crate) urgency: u8,
    /// How long the request may wait for a slot.
    pub(crate) wait: Span,
}

/// Asks the owners of a backend server's slots for a lease.
pub(crate) async fn take_slot(core: &Rc<GatewayCore>, wish: SlotWish) -> SlotOutcome {
    let id = LeaseId(core.random_number());
    for owner in owners(core, wish.key).into_iter().flatten() {
        if core.slots.is_silent(owner, monotonic_now()) {
            continue;
        }
        let mut ask = PendingAsk::open(core, owner, id, wish);
        let reply = ask.wait_reply().await;
        core.metrics.record_slot_ask(outcome(reply));
        match reply {
            Some(LeaseReply::Granted(role)) => return SlotOutcome::Leased(ask.into_lease(role)),
            Some(LeaseReply::Full { retry_ms }) => {
                mark_full(core, wish.key, Span::from_millis(u64::from(retry_ms)));
                return SlotOutcome::Full;
            }
            Some(LeaseReply::Queued) => return SlotOutcome::Full,
            Some(LeaseReply::NotOwner) => {}
            None => mark_silent(core, wish.key, owner),
        }
    }
    mark_full(core, wish.key, NO_OWNER_PAUSE);
    SlotOutcome::Full
}

/// Returns the name in the metrics of the last reply to a request for a lease.
fn outcome(reply: Option<LeaseReply>) -> &'static str {
    match reply {
        Some(LeaseReply::Granted(OwnerRole::First)) => "granted",
        Some(LeaseReply::Granted(OwnerRole::Standby)) => "granted-by-standby",
        Some(LeaseReply::Queued) => "waited-in-vain",
        Some(LeaseReply::Full { .. }) => "full",
        Some(LeaseReply::NotOwner) => "not-owner",
        None => "no-reply",
    }
}

/// A request for a lease at one owner. When it is dropped without a lease, the owner is told to give up the
/// lease that it may have granted meanwhile.
#[derive(Debug)]
struct PendingAsk<'a> {
    core: &'a Rc<GatewayCore>,
    owner: SlotOwner,
    id: LeaseId,
    wish: SlotWish,
    replies: UnboundedReceiver<LeaseReply>,
    is_leased: bool,
}

impl<'a> PendingAsk<'a> {
    fn open(core: &'a Rc<GatewayCore>, owner: SlotOwner, id: LeaseId, wish: SlotWish) -> Self {
        let (sender, replies) = unbounded_channel();
        core.slots.asks.borrow_mut().insert(id, sender);
        Self {
            core,
            owner,
            id,
            wish,
            replies,
            is_leased: false,
        }
    }

    /// Asks, and returns the last reply, or `None` if there was none. `Queued` means that no slot was free in
    /// time.
    async fn wait_reply(&mut self) -> Option<LeaseReply> {
        let deadline = monotonic_now() + self.wish.wait;
        let mut reply = None;
        for _ in 0..ASKS {
            self.send();
            reply = self.next_reply(REPLY_TIMEOUT).await;
            if reply.is_some() {
                break;
            }
        }
        while reply == Some(LeaseReply::Queued) {
            let left = deadline.since(monotonic_now());
            match self.next_reply(left).await {
                Some(next) => reply = Some(next),
                None => break,
            }
        }
        reply
    }

    async fn next_reply(&mut self, limit: Span) -> Option<LeaseReply> {
        let reply = timeout(Duration::from(limit), self.replies.recv());
        reply.await.ok()?
    }

    fn send(&self) {
        let ask = LeaseAsk {
            lease: self.id,
            asker: None,
            urgency: self.wish.urgency,
            wait: self.wish.wait,
        };
        match self.owner {
            SlotOwner::Own => {
                let reply = decide(self.core, self.wish.key, ask);
                deliver(self.core, self.id, reply);
            }
            SlotOwner::Other(address) => {
                let Some(backend) = self.core.backend_hash(self.wish.key) else {
                    return;
                };
                let slots = self
                    .core
                    .with_backend(self.wish.key, |state| state.usable_slots());
                let message = SlotMessage::Ask {
                    backend,
                    lease: self.id,
                    urgency: ask.urgency,
                    wait_ms: u16::try_from(ask.wait.0 / 1_000).unwrap_or(u16::MAX),
                    slots: slots.unwrap_or(u32::MAX),
                };
                self.core
                    .peers
                    .send(PeerMessage::Slots(message), &[address]);
            }
        }
    }

    fn into_lease(mut self, role: OwnerRole) -> SlotLease {
        self.is_leased = true;
        let held = HeldLease {
            key: self.wish.key,
            owner: self.owner,
        };
        self.core.slots.held.borrow_mut().insert(self.id, held);
        SlotLease {
            core: Rc::clone(self.core),
            id: self.id,
            key: self.wish.key,
            owner: self.owner,
            role,
        }
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.core.slots.asks.borrow_mut().remove(&self.id);
        if !self.is_leased {
            release(
                self.core,
                self.wish.key,
                self.owner,
                self.id,
                LeaseEnd::Free,
            );
        }
    }
}

fn mark_silent(core: &GatewayCore, key: BackendKey, owner: SlotOwner) {
    let SlotOwner::Other(address) = owner else {
        return;
    };
    core.slots.mark_silent(address, monotonic_now());
    let fleet = core.fleet.borrow();
    let fields = OwnerSilentFields {
        owner: address,
        backend: fleet.get(key).map(|member| &*member.entry.id),
        waited_ms: Span(REPLY_TIMEOUT.0 * u64::from(ASKS)).as_millis_f64(),
    };
    core.log.change("slot-owner-silent", fields);
}

fn mark_full(core: &GatewayCore, key: BackendKey, pause: Span) {
    let until = monotonic_now() + pause;
    core.with_backend(key, |state| state.rejection_limit.mark_full(until));
}

fn release(core: &GatewayCore, key: BackendKey, owner: SlotOwner, lease: LeaseId, end: LeaseEnd) {
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

/// Hands a reply to the request that waits for it, if it still does.
fn deliver(core: &GatewayCore, lease: LeaseId, reply: LeaseReply) {
    if let Some(sender) = core.slots.asks.borrow().get(&lease) {
        // The receiver lives as long as the sender is in the table.
        let _ = sender.send(reply);
    }
}

/// Returns the owners of a backend server's slots, the first one first.
fn owners(core: &GatewayCore, key: BackendKey) -> [Option<SlotOwner>; 2] {
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

/// Returns the role of this gateway for a backend server's slots, if it has one.
fn own_role(core: &GatewayCore, key: BackendKey) -> Option<OwnerRole> {
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

fn decide(core: &GatewayCore, key: BackendKey, ask: LeaseAsk) -> LeaseReply {
    let now = monotonic_now();
    let Some(terms) = terms(core, key) else {
        core.slots.ledgers.borrow_mut().remove(&key);
        return LeaseReply::NotOwner;
    };
    let mut ledgers = core.slots.ledgers.borrow_mut();
    let ledger = ledgers.entry(key).or_insert_with(|| SlotLedger::open(now));
    ledger.ask(ask, &terms, now)
}

fn end_lease(core: &GatewayCore, key: BackendKey, lease: LeaseId, end: LeaseEnd) {
    if let Some(ledger) = core.slots.ledgers.borrow_mut().get_mut(&key) {
        ledger.release(lease, end, monotonic_now());
    }
    grant_queued(core, key);
}

/// Grants the slots that have become free to the requests that wait for them.
fn grant_queued(core: &GatewayCore, key: BackendKey) {
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

fn on_renewal(core: &GatewayCore, renewal: LeaseRenewal) {
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
