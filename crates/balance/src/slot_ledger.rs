//! The leases on the slots of one brittle backend server, kept by the gateway that owns them.
//!
//! A brittle backend server falls over when it has to turn away more than a few requests in a second, and
//! each gateway alone sees only its own. So one gateway, the first owner by rendezvous hashing, leases the
//! slots of a backend server to the others, one lease for each request; where no slot is free, requests
//! wait in one queue, the most urgent first. With one owner no more requests come than there are slots.
//!
//! Another gateway, the standby owner, leases when the first one does not answer. Neither of them can know
//! that the other leases nothing, so an owner that may not be the only one leases no more than half of the
//! rejections that the backend server survives: the first one for a while after it has become the owner, the
//! standby one always. Then whatever both lease, the number of rejections stays bounded. Leases end by a
//! message or expire; holders renew them, and a renewal makes a lease known to an owner that is new
//! (docs/PLATFORM.md, "Brittle backend servers").

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;

use oleander_base::FastMap;
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

/// How long a lease lasts that is not renewed: three rounds in which holders renew theirs.
const LEASE_TTL: Span = Span::from_millis(1_500);

/// How long a new first owner leases as a standby one does: until all gateways ask it and have renewed their
/// leases.
const SETTLE_TIME: Span = Span::from_secs(1);

/// The time within which rejections count together, with what a request takes to get there.
const REJECTION_WINDOW: Span = Span::from_millis(1_200);

/// The time without a lease after a rejection, in which requests that were on their way arrive.
const REJECTION_HOLD: Span = Span::from_millis(200);

/// The time after which one more slot is leased again than the last rejection has shown.
const RECOVERY_INTERVAL: Span = Span::from_secs(1);

/// How long a gateway that gets no lease does not ask again.
const FULL_RETRY: Span = Span::from_millis(30);

/// The head start of each level of urgency in the queue.
pub(crate) const URGENCY_HEAD_START: Span = Span::from_millis(100);

/// One in so many grants to the queue goes to the request that has waited longest, so that every level of urgency
/// makes progress while more urgent requests alone are more than the slots can run.
pub(crate) const OLDEST_TURN: u64 = 10;

/// The greatest number of requests in the queue.
pub(crate) const MAX_QUEUED: usize = 64;

/// The reference of one lease; holders draw it at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Whether an owner is the one that all gateways ask first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerRole {
    /// It leases all slots.
    First,
    /// It leases a few while the first one does not answer.
    Standby,
}

/// The facts about the backend server on which an owner decides.
#[derive(Debug, Clone, Copy)]
pub struct SlotTerms {
    /// The role of this gateway.
    pub role: OwnerRole,
    /// The rejections in a second that the backend server survives.
    pub threshold: u32,
    /// The number of its slots.
    pub slots: u32,
}

impl SlotTerms {
    /// Returns how many requests an owner that may not be the only one leases: at least one, because only an
    /// answer shows that there is room.
    fn shared_limit(&self) -> u32 {
        self.threshold.div_ceil(2).max(1)
    }
}

/// A request for a lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseAsk {
    /// The lease, if it is granted.
    pub lease: LeaseId,
    /// The gateway that asks; absent if it is the owner itself.
    pub asker: Option<SocketAddr>,
    /// The urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// How long it may wait for a slot.
    pub wait: Span,
}

/// The answer to a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The request may be sent.
    Granted(OwnerRole),
    /// The request waits for a slot; another reply follows if one is free in time.
    Queued,
    /// No slot is free; the gateway is not to ask again for so many milliseconds.
    Full {
        /// The pause in milliseconds.
        retry_ms: u16,
    },
    /// The gateway that was asked is not an owner.
    NotOwner,
}

/// How a lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseEnd {
    /// The request was answered, or never sent.
    Free,
    /// The backend server turned the request away.
    Rejected,
}

#[derive(Debug, Clone, Copy)]
struct LeaseState {
    expires: MonoTime,
    /// Whether this owner granted it, instead of learning of it.
    is_own: bool,
}

#[derive(Debug, Clone, Copy)]
struct QueuedAsk {
    ask: LeaseAsk,
    asked_at: MonoTime,
    /// The order in the queue: the time of arrival and the head start of what is urgent.
    order: MonoTime,
    expires: MonoTime,
}

/// The leases on the slots of one backend server.
#[derive(Debug)]
pub struct SlotLedger {
    /// The role in the last decision, and since when this gateway has it.
    role: Option<OwnerRole>,
    role_since: MonoTime,
    leases: FastMap<LeaseId, LeaseState>,
    queue: Vec<QueuedAsk>,
    queue_grants: u64,
    rejections: VecDeque<MonoTime>,
    /// The slots that the last rejection has shown, and when.
    shown: Option<(u32, MonoTime)>,
}

impl SlotLedger {
    /// Opens the ledger of a gateway that has just become an owner.
    pub fn open(now: MonoTime) -> Self {
        Self {
            role: None,
            role_since: now,
            leases: FastMap::default(),
            queue: Vec::new(),
            queue_grants: 0,
            rejections: VecDeque::new(),
            shown: None,
        }
    }

    /// Decides on a request for a lease. The same request again gets the same reply.
    pub fn ask(&mut self, ask: LeaseAsk, terms: &SlotTerms, now: MonoTime) -> LeaseReply {
        self.take_role(terms.role, now);
        self.expire(now);
        if self.leases.contains_key(&ask.lease) {
            return LeaseReply::Granted(terms.role);
        }
        if self
            .queue
            .iter()
            .any(|queued| queued.ask.lease == ask.lease)
        {
            return LeaseReply::Queued;
        }
        if self.queue.is_empty() && self.has_room(terms, now) {
            self.grant(ask.lease, now);
            return LeaseReply::Granted(terms.role);
        }
        if ask.wait == Span::ZERO || self.queue.len() >= MAX_QUEUED {
            return self.full(now);
        }
        let head_start = Span(URGENCY_HEAD_START.0 * u64::from(ask.urgency));
        self.queue.push(QueuedAsk {
            ask,
            asked_at: now,
            order: now + head_start,
            expires: now + ask.wait,
        });
        LeaseReply::Queued
    }

    /// Prolongs a lease, which this owner may not know yet.
    pub fn renew(&mut self, lease: LeaseId, now: MonoTime) {
        let expires = now + LEASE_TTL;
        let learned = LeaseState {
            expires,
            is_own: false,
        };
        self.leases.entry(lease).or_insert(learned).expires = expires;
    }

    /// Ends a lease, or takes a request out of the queue. What was told before changes nothing.
    pub fn release(&mut self, lease: LeaseId, end: LeaseEnd, now: MonoTime) {
        self.queue.retain(|queued| queued.ask.lease != lease);
        if end == LeaseEnd::Rejected && self.leases.contains_key(&lease) {
            self.record_rejection(now);
        }
        self.leases.remove(&lease);
    }

    /// Records a rejection. The requests that hold a lease at that moment are more than there is room for.
    pub fn record_rejection(&mut self, now: MonoTime) {
        self.rejections.push_back(now);
        let held = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        let shown = held.saturating_sub(1).max(1);
        let known = self.recovered(now).unwrap_or(u32::MAX);
        self.shown = Some((shown.min(known), now));
    }

    /// Grants leases to requests in the queue for which there is room now, and returns these.
    pub fn grant_queued(&mut self, terms: &SlotTerms, now: MonoTime) -> Vec<LeaseAsk> {
        self.take_role(terms.role, now);
        self.expire(now);
        let mut granted = Vec::new();
        while self.has_room(terms, now) {
            let Some(index) = self.first_queued() else {
                break;
            };
            self.queue_grants += 1;
            let queued = self.queue.swap_remove(index);
            self.grant(queued.ask.lease, now);
            granted.push(queued.ask);
        }
        granted
    }

    /// Returns the number of leases.
    pub fn held(&self) -> usize {
        self.leases.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn take_role(&mut self, role: OwnerRole, now: MonoTime) {
        let last = self.role.replace(role);
        if last.is_some_and(|last| last != role) {
            self.role_since = now;
        }
    }

    /// Returns the place of the request that gets the next slot.
    fn first_queued(&self) -> Option<usize> {
        let is_oldest_turn = self.queue_grants % OLDEST_TURN == OLDEST_TURN - 1;
        (0..self.queue.len()).min_by_key(|index| {
            let queued = &self.queue[*index];
            match is_oldest_turn {
                true => queued.asked_at,
                false => queued.order,
            }
        })
    }

    fn grant(&mut self, lease: LeaseId, now: MonoTime) {
        let state = LeaseState {
            expires: now + LEASE_TTL,
            is_own: true,
        };
        self.leases.insert(lease, state);
    }

    fn full(&self, now: MonoTime) -> LeaseReply {
        let retry = self
            .hold_end(now)
            .map_or(FULL_RETRY, |end| end.since(now).max(FULL_RETRY));
        LeaseReply::Full {
            retry_ms: u16::try_from(retry.0 / 1_000).unwrap_or(u16::MAX),
        }
    }

    fn has_room(&self, terms: &SlotTerms, now: MonoTime) -> bool {
        if self.hold_end_by(terms, now).is_some() {
            return false;
        }
        let shown = self.recovered(now).unwrap_or(u32::MAX);
        let limit = terms.slots.max(1).min(shown);
        let is_settled = now.since(self.role_since) >= SETTLE_TIME;
        if terms.role == OwnerRole::First && is_settled {
            return self.leases.len() < limit as usize;
        }
        let own = self.leases.values().filter(|lease| lease.is_own).count();
        own < limit.min(terms.shared_limit()) as usize
    }

    /// Returns the slots that the last rejection has shown, and one more for each while since.
    fn recovered(&self, now: MonoTime) -> Option<u32> {
        let (shown, at) = self.shown?;
        let regained = now.since(at).0 / RECOVERY_INTERVAL.0;
        Some(shown.saturating_add(u32::try_from(regained).unwrap_or(u32::MAX)))
    }

    /// Returns until when nothing is leased after the last rejection.
    fn hold_end(&self, now: MonoTime) -> Option<MonoTime> {
        let end = *self.rejections.back()? + REJECTION_HOLD;
        (now < end).then_some(end)
    }

    /// Returns until when nothing is leased, as there were so many rejections lately that more could be too
    /// many.
    fn hold_end_by(&self, terms: &SlotTerms, now: MonoTime) -> Option<MonoTime> {
        let most = terms.shared_limit() as usize;
        let counted = self.rejections.len().checked_sub(most);
        let window = counted.map(|index| self.rejections[index] + REJECTION_WINDOW);
        window.filter(|end| now < *end).max(self.hold_end(now))
    }

    fn expire(&mut self, now: MonoTime) {
        self.leases.retain(|_, lease| now < lease.expires);
        self.queue.retain(|queued| now < queued.expires);
        while self
            .rejections
            .front()
            .is_some_and(|at| now.since(*at) >= REJECTION_WINDOW)
        {
            self.rejections.pop_front();
        }
    }
}
