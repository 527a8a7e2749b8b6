//! Asks the owners of a backend server's memory for a lease.

use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{LeaseId, LeaseReply, MemoryAsk, OwnerRole};
use oleander_base::monotonic_now;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::guard::guard_record;
use super::hold::tell_ended;
use super::owner::decide;
use super::{MemoryAskRecord, MemoryDemand, MemoryHold, MemoryMessage, whole_millis};
use crate::core::GatewayCore;
use crate::peer_message::PeerMessage;
use crate::prelude::*;
use crate::slots::{SlotOwner, mark_silent, owners};

/// How long an owner has to answer.
const REPLY_TIMEOUT: Span = Span::from_millis(50);

/// How many times an owner is asked until it counts as silent.
const ASKS: u32 = 3;

/// The pause of this gateway at a backend server of whose memory no owner answers.
const NO_OWNER_PAUSE: Span = Span::from_millis(250);

/// The result of a request for memory.
#[derive(Debug)]
pub(crate) enum MemoryOutcome {
    /// It is leased.
    Leased(MemoryHold),
    /// There is not enough, or none was in time.
    Full,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryWish<'a> {
    pub(crate) demand: MemoryDemand<'a>,
    pub(crate) urgency: u8,
    /// How long the request may wait for memory.
    pub(crate) wait: Span,
    /// How long it may run.
    pub(crate) lasts: Span,
}

/// Asks the owners of a backend server's memory for a lease.
pub(crate) async fn take_memory(core: &Rc<GatewayCore>, wish: MemoryWish<'_>) -> MemoryOutcome {
    let id = LeaseId(core.random_number());
    for owner in owners(core, wish.demand.key).into_iter().flatten() {
        if core.slots.is_silent(owner, monotonic_now()) {
            continue;
        }
        let mut ask = PendingAsk::open(core, owner, id, wish);
        let reply = ask.wait_reply().await;
        core.metrics.record_memory_ask(outcome(reply));
        let is_denied = matches!(reply, Some(LeaseReply::Full { .. } | LeaseReply::NotOwner));
        // Of several asks one may still be granted after another one was denied.
        ask.may_be_granted = !is_denied || ask.asks > 1;
        match reply {
            Some(LeaseReply::Granted(_)) => return MemoryOutcome::Leased(ask.into_hold()),
            Some(LeaseReply::Full { retry_ms }) => {
                mark_full(core, &wish, Span::from_millis(u64::from(retry_ms)));
                return MemoryOutcome::Full;
            }
            Some(LeaseReply::Queued) => return MemoryOutcome::Full,
            Some(LeaseReply::NotOwner) => {}
            None => mark_silent(core, wish.demand.key, owner),
        }
    }
    mark_full(core, &wish, NO_OWNER_PAUSE);
    MemoryOutcome::Full
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

fn mark_full(core: &GatewayCore, wish: &MemoryWish<'_>, pause: Span) {
    let now = monotonic_now();
    let prompt_tokens = wish.demand.prompt_tokens;
    core.with_backend(wish.demand.key, |state| {
        state.memory.mark_full(prompt_tokens, now + pause, now);
    });
}

/// A request for a lease at one owner. When it is dropped without a lease, the owner is told to give up the
/// lease that it may have granted meanwhile.
#[derive(Debug)]
struct PendingAsk<'a> {
    core: &'a Rc<GatewayCore>,
    owner: SlotOwner,
    id: LeaseId,
    wish: MemoryWish<'a>,
    replies: UnboundedReceiver<LeaseReply>,
    asks: u32,
    /// Whether the owner may have granted, or may still grant, a lease that no request waits for.
    may_be_granted: bool,
}

impl<'a> PendingAsk<'a> {
    fn open(
        core: &'a Rc<GatewayCore>,
        owner: SlotOwner,
        id: LeaseId,
        wish: MemoryWish<'a>,
    ) -> Self {
        let (sender, replies) = unbounded_channel();
        core.memory.asks.borrow_mut().insert(id, sender);
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

    /// Asks, and returns the last reply, or `None` if there was none. `Queued` means that no memory was free in time.
    async fn wait_reply(&mut self) -> Option<LeaseReply> {
        let deadline = monotonic_now() + self.wish.wait;
        let mut reply = None;
        while reply.is_none() && self.asks < ASKS {
            self.asks += 1;
            self.send();
            reply = self.next_reply(REPLY_TIMEOUT).await;
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
        let MemoryWish { demand, wait, .. } = self.wish;
        match self.owner {
            SlotOwner::Own => {
                let ask = MemoryAsk {
                    lease: self.id,
                    asker: None,
                    urgency: self.wish.urgency,
                    wait,
                    tokens: demand.tokens,
                    lasts: self.wish.lasts,
                };
                deliver(self.core, self.id, decide(self.core, demand.key, ask));
            }
            SlotOwner::Other(address) => {
                let Some(guard) = guard_record(self.core, demand.key, monotonic_now()) else {
                    // The guard ended a moment ago. The next choice of a backend server sees that.
                    let reply = LeaseReply::Full { retry_ms: 0 };
                    deliver(self.core, self.id, reply);
                    return;
                };
                let record = MemoryAskRecord {
                    lease: self.id,
                    urgency: self.wish.urgency,
                    wait_ms: u16::try_from(wait.0 / 1_000).unwrap_or(u16::MAX),
                    tokens: demand.tokens,
                    lasts_ms: whole_millis(self.wish.lasts),
                    guard,
                };
                let message = PeerMessage::Memory(MemoryMessage::Ask(record));
                self.core.peers.send(message, &[address]);
            }
        }
    }

    fn into_hold(mut self) -> MemoryHold {
        self.may_be_granted = false;
        let demand = self.wish.demand;
        let need = (demand.key, demand.tokens);
        MemoryHold::leased(self.core, self.id, need, self.wish.lasts, self.owner)
    }
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.core.memory.asks.borrow_mut().remove(&self.id);
        if self.may_be_granted {
            tell_ended(self.core, self.wish.demand.key, self.owner, self.id);
        }
    }
}

/// Hands a reply to the request that waits for it, if it still does.
pub(super) fn deliver(core: &GatewayCore, lease: LeaseId, reply: LeaseReply) {
    if let Some(sender) = core.memory.asks.borrow().get(&lease) {
        // The receiver lives as long as the sender is in the table.
        let _ = sender.send(reply);
    }
}
