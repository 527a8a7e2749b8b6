//! Leases on the token memory of model engines.
//!
//! An engine that holds more tokens than it has memory for crashes, and no gateway knows the requests of the others. So
//! two gateways, the first and the standby owner, lease the memory of each engine while it is scarce.
//!
//! This is active at a service if the settings say that its engines fail beyond their memory and the manifest says how
//! much they have. While an engine has plenty, its requests are only counted here and nothing is sent. When memory
//! becomes scarce, its guard is switched on: each request then needs a lease of an owner, and all gateways report to
//! both owners what their requests hold (docs/design/engine-memory.md).

mod ask;
mod guard;
mod hold;
mod owner;
mod round;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use oleander_balance::{BackendKey, GuardSpan, LeaseId, LeaseReply, MemoryLedger};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedSender;

pub(crate) use self::ask::{MemoryOutcome, MemoryWish, take_memory};
pub(crate) use self::guard::{MemoryDemand, guarded_capacity, needs_lease};
pub(crate) use self::hold::MemoryHold;
pub(crate) use self::owner::on_memory_message;
pub(crate) use self::round::send_memory_round;
use crate::prelude::*;
use crate::slots::SlotOwner;

/// The time without a datagram of another gateway after which this one may be cut off from the others, and its role as
/// an owner taken over.
const HEARING_TIME: Span = Span::from_secs(2);

/// How long datagrams of other gateways have to arrive again before this gateway acts as the first owner: the time in
/// which it learns of a change of owners.
const REGAIN_TIME: Span = Span::from_millis(2_500);

/// Memory that one request of this gateway holds at its backend server.
#[derive(Debug, Clone, Copy)]
struct HeldMemory {
    key: BackendKey,
    tokens: u32,
    /// When the request ends at the latest.
    ends_at: MonoTime,
    /// The owner that granted a lease, if one was needed.
    granted_by: Option<SlotOwner>,
    /// How often it was reported to the owners, and when last.
    told: u32,
    told_at: MonoTime,
    /// Until when it counts, after the request was given up: its backend server learns of that a little later.
    lingers_until: Option<MonoTime>,
}

/// The memory that this gateway's requests hold, and the leases on the memory that it owns.
#[derive(Debug, Default)]
pub(crate) struct MemoryExchange {
    ledgers: RefCell<FastMap<BackendKey, MemoryLedger>>,
    holds: RefCell<FastMap<LeaseId, HeldMemory>>,
    /// The requests that wait for a reply.
    asks: RefCell<FastMap<LeaseId, UnboundedSender<LeaseReply>>>,
    /// The ends since the last round, by owner. They are sent again with the next round, since a datagram may be lost.
    ended: RefCell<FastMap<SocketAddr, Vec<EndedMemory>>>,
    /// When a datagram of another gateway last arrived, and since when they arrive without a gap of [`HEARING_TIME`].
    heard_at: Cell<MonoTime>,
    hears_since: Cell<MonoTime>,
}

impl MemoryExchange {
    /// Notes that a datagram of another gateway arrived. After a gap, all requests are reported to the owners again,
    /// because reports of those that began in the gap may be lost.
    pub(crate) fn mark_heard(&self, now: MonoTime) {
        if now.since(self.heard_at.replace(now)) < HEARING_TIME {
            return;
        }
        self.hears_since.set(now);
        for hold in self.holds.borrow_mut().values_mut() {
            hold.told = hold.told.min(1);
        }
    }

    /// Returns whether no datagram of another gateway has arrived for [`HEARING_TIME`]: this one may be cut off.
    fn is_deaf(&self, now: MonoTime) -> bool {
        now.since(self.heard_at.get()) >= HEARING_TIME
    }

    /// Returns whether datagrams of others have arrived for long enough that this gateway knows its role as an owner.
    fn hears_others(&self, now: MonoTime) -> bool {
        !self.is_deaf(now) && now.since(self.hears_since.get()) >= REGAIN_TIME
    }

    /// Returns what this gateway holds and what it has granted.
    pub(crate) fn counts(&self) -> MemoryCounts {
        let holds = self.holds.borrow();
        let ledgers = self.ledgers.borrow();
        MemoryCounts {
            held: holds.values().map(|hold| u64::from(hold.tokens)).sum(),
            leased: ledgers.values().map(MemoryLedger::leased_tokens).sum(),
            queued: ledgers.values().map(MemoryLedger::queued).sum(),
        }
    }
}

/// The memory of engines as one gateway knows it, for the metrics.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryCounts {
    /// The tokens that its own requests hold.
    pub(crate) held: u64,
    /// The tokens that are leased at the backend servers whose memory it owns.
    pub(crate) leased: u64,
    /// The requests that wait for memory there.
    pub(crate) queued: usize,
}

/// A message about the memory of model engines.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum MemoryMessage {
    /// Asks an owner of the memory for a lease.
    Ask(MemoryAskRecord),
    /// Answers an ask.
    Reply { lease: LeaseId, reply: LeaseReply },
    /// Tells an owner that requests have ended.
    Ended(Vec<EndedMemory>),
    /// Reports to an owner what requests hold.
    Held(Vec<HeldRecord>),
    /// Reports at which backend servers memory is scarce.
    Guards(Vec<GuardRecord>),
}

/// An ask for a lease.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct MemoryAskRecord {
    lease: LeaseId,
    urgency: u8,
    /// How long the request may wait for memory.
    wait_ms: u16,
    /// What it needs at most.
    tokens: u32,
    /// How long it may hold the memory.
    lasts_ms: u32,
    /// What the gateway that asks knows of the guard.
    guard: GuardRecord,
}

/// A request that has ended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct EndedMemory {
    /// The hash of the backend server's id.
    backend: u64,
    lease: LeaseId,
}

/// What a request holds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct HeldRecord {
    /// The hash of the backend server's id.
    backend: u64,
    lease: LeaseId,
    tokens: u32,
    /// How long it may go on.
    lasts_ms: u32,
}

/// A backend server whose memory is scarce.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct GuardRecord {
    /// The hash of the backend server's id.
    backend: u64,
    /// The time since the guard was switched on.
    since_ms: u32,
    /// The time since it was last found to be needed.
    needed_ms: u32,
}

impl GuardRecord {
    fn new(backend: u64, span: GuardSpan, now: MonoTime) -> Self {
        Self {
            backend,
            since_ms: whole_millis(now.since(span.since)),
            needed_ms: whole_millis(now.since(span.needed_at)),
        }
    }

    fn is_younger_than(&self, span: Span) -> bool {
        u64::from(self.since_ms) < span.0 / 1_000
    }

    fn span(&self, now: MonoTime) -> GuardSpan {
        let before = |millis: u32| {
            let age = Span::from_millis(u64::from(millis));
            MonoTime(now.0.saturating_sub(age.0))
        };
        GuardSpan {
            since: before(self.since_ms),
            needed_at: before(self.needed_ms),
        }
    }
}

fn whole_millis(span: Span) -> u32 {
    u32::try_from(span.0 / 1_000).unwrap_or(u32::MAX)
}
