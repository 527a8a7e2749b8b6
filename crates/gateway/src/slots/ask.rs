//! Asks the owners of a backend server's slots for a lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{BackendKey, LeaseAsk, LeaseEnd, LeaseId, LeaseReply, OwnerRole};
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::owner::decide;
use super::{HeldLease, SlotLease, SlotOwner, owners, release};
use crate::core::GatewayCore;
use crate::peer_message::{PeerMessage, SlotMessage};
use crate::prelude::*;

/// How long an owner has to answer.
const REPLY_TIMEOUT: Span = Span::from_millis(50);

/// How many times an owner is asked until it counts as silent.
const ASKS: u32 = 3;

/// The pause of this gateway at a backend server of whose slots no owner answers.
const NO_OWNER_PAUSE: Span = Span::from_millis(250);

/// The result of a request for a slot.
#[derive(Debug)]
pub(crate) enum SlotOutcome {
    /// A slot is leased.
    Leased(SlotLease),
    /// None is free, or none was in time.
    Full,
}

/// A request's wish for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotWish {
    pub(crate) key: BackendKey,
    pub(crate) urgency: u8,
    /// How long the request may wait for a slot.
    pub(crate) wait: Span,
}

#[derive(Debug, Serialize)]
struct OwnerSilentFields<'a> {
    owner: SocketAddr,
    /// The backend server of whose slots it was asked for one.
    backend: Option<&'a str>,
    waited_ms: f64,
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
        let is_denied = matches!(reply, Some(LeaseReply::Full { .. } | LeaseReply::NotOwner));
        // An ask that was repeated may still be granted.
        ask.may_be_granted = !is_denied || ask.asks > 1;
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
    asks: u32,
    /// Whether the owner may grant a lease that nothing waits for.
    may_be_granted: bool,
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
            asks: 0,
            may_be_granted: true,
        }
    }

    /// Asks, and returns the last reply, or `None` if there was none. `Queued` means that no slot was free in
    /// time.
    async fn wait_reply(&mut self) -> Option<LeaseReply> {
        let deadline = monotonic_now() + self.wish.wait;
        let mut reply = None;
        for _ in 0..ASKS {
            self.asks += 1;
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
        self.may_be_granted = false;
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
        if self.may_be_granted {
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

/// Notes that an owner did not answer, so that the next one is asked for a while.
pub(crate) fn mark_silent(core: &GatewayCore, key: BackendKey, owner: SlotOwner) {
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

/// Hands a reply to the request that waits for it, if it still does.
pub(super) fn deliver(core: &GatewayCore, lease: LeaseId, reply: LeaseReply) {
    if let Some(sender) = core.slots.asks.borrow().get(&lease) {
        // The receiver lives as long as the sender is in the table.
        let _ = sender.send(reply);
    }
}
