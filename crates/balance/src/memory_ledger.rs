//! The leases on the token memory of one model engine, kept by the gateway that owns it.
//!
//! An engine crashes when the requests that it holds exceed its memory. While its memory is scarce, that is, while the
//! guard of `memory_guard.rs` is on, its owner leases the memory: for each request as much as it needs at most. Two
//! gateways are owners by rendezvous hashing. The first owner leases all but a small part, the standby owner that part,
//! so that owners that do not hear each other lease no more than there is. An owner that is new leases nothing until
//! it has heard of all leases; the standby owner that becomes the first goes on with its part until then.
//!
//! The end of a request may stay unknown, because its gateway has ended or is cut off. The request of a gateway that is
//! cut off still runs, so its lease lasts as long as the request may, unless the engine reports fewer requests than
//! there are leases. If it reports more, the rest counts as well: it was sent by gateways that do not know of the
//! guard (docs/design/engine-memory.md).

use std::collections::VecDeque;
use std::net::SocketAddr;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::memory_need::HeldCount;
use crate::slot_ledger::{
    LeaseId, LeaseReply, MAX_QUEUED, OLDEST_TURN, OwnerRole, URGENCY_HEAD_START,
};

/// The divisor of the memory that gives the part of the standby owner.
const STANDBY_DIVISOR: u64 = 32;

/// The divisor of the memory that gives the part which the first owner leases while the guard has just been switched
/// on, and the part that it leaves free then. Requests without a lease are not all known yet, as messages may be lost.
const START_DIVISOR: u64 = 8;

/// The share of the memory that has to be leased for the guard to be needed, unless requests are turned away. It is
/// well below the share at which the guard goes on, so that single requests do not switch it on and off.
const KEEP_SHARE: f64 = 0.45;

/// How long the guard is needed after a request was turned away. An owner that leases little, because it may not know
/// all leases, must not let the other gateways send without leases.
const DENIAL_TIME: Span = Span::from_secs(3);

/// How long an owner that is new waits until all holders have told it of their leases: twice the interval at which they
/// do, and the time for which gateways may differ about who the owner is.
const SETTLE_TIME: Span = Span::from_millis(2_500);

/// How long an owner waits for the same when the guard was switched on: gateways tell it of their requests at once, and
/// again with the next two rounds of gossip.
const START_TIME: Span = Span::from_millis(1_200);

/// The time after which a lease that was not renewed is in doubt: three renewals were lost.
const DOUBT_TIME: Span = Span::from_secs(3);

/// How many leases in doubt are kept beyond those that a report leaves room for; requests begin and end while a
/// report is made.
const DOUBT_MARGIN: usize = 2;

/// The time for which ended leases are remembered, to compare them with a report that is older.
const END_RETENTION: Span = Span::from_millis(2_500);

/// How many standard deviations the sum of the needs of requests without a lease is taken above its mean. The standard
/// deviation of one request's need is taken to be as large as the mean need.
const UNKNOWN_SPREAD: f64 = 2.0;

/// The longest time for which a lease lasts, whatever its holder says.
const MAX_LEASE_TIME: Span = Span::from_secs(120);

/// How long a gateway that gets no lease does not ask again.
const FULL_RETRY_MS: u16 = 30;

/// The facts about the backend server on which an owner decides.
#[derive(Debug, Clone, Copy)]
pub struct MemoryTerms {
    /// The role of this gateway.
    pub role: OwnerRole,
    /// Whether this gateway hears others; one that does not may have lost its role without knowing it.
    pub hears_others: bool,
    /// The memory, in tokens.
    pub capacity: u64,
    /// Since when requests need leases.
    pub guarded_since: MonoTime,
    /// The last report of the backend server that counts.
    pub reported: Option<HeldCount>,
    /// The mean need of a request, in tokens.
    pub mean_need: f64,
}

/// A request for a lease.
#[derive(Debug, Clone, Copy)]
pub struct MemoryAsk {
    /// The lease, if it is granted.
    pub lease: LeaseId,
    /// The gateway that asks; absent if it is the owner itself.
    pub asker: Option<SocketAddr>,
    /// The urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// How long it may wait for memory.
    pub wait: Span,
    /// What it needs at most.
    pub tokens: u32,
    /// How long it may hold the memory.
    pub lasts: Span,
}

#[derive(Debug, Clone, Copy)]
struct MemoryLease {
    tokens: u32,
    begun_at: MonoTime,
    renewed_at: MonoTime,
    ends_at: MonoTime,
    /// Whether this owner granted it; otherwise it learned of it from the holder.
    is_own: bool,
}

#[derive(Debug, Clone, Copy)]
struct QueuedAsk {
    ask: MemoryAsk,
    asked_at: MonoTime,
    /// The order in the queue: the time of arrival, plus a delay that is longer for less urgent requests.
    order: MonoTime,
    expires: MonoTime,
}

/// The leases on the memory of one backend server.
#[derive(Debug)]
pub struct MemoryLedger {
    opened_at: MonoTime,
    role: Option<OwnerRole>,
    role_since: MonoTime,
    leases: FastMap<LeaseId, MemoryLease>,
    queue: Vec<QueuedAsk>,
    queue_grants: u64,
    /// When a request last got no lease.
    denied_at: Option<MonoTime>,
    /// The leases that ended lately: when they ended, and when they began.
    ended: VecDeque<(MonoTime, MonoTime)>,
}

impl MemoryLedger {
    /// Opens the ledger of a gateway that has just become an owner, or learned that it needs one.
    pub fn open(now: MonoTime) -> Self {
        Self {
            opened_at: now,
            role: None,
            role_since: now,
            leases: FastMap::default(),
            queue: Vec::new(),
            queue_grants: 0,
            denied_at: None,
            ended: VecDeque::new(),
        }
    }

    /// Decides on a request for a lease. The same request again gets the same reply.
    pub fn ask(&mut self, ask: MemoryAsk, terms: &MemoryTerms, now: MonoTime) -> LeaseReply {
        self.update(terms, now);
        if self.leases.contains_key(&ask.lease) {
            return LeaseReply::Granted(terms.role);
        }
        let is_queued = |queued: &QueuedAsk| queued.ask.lease == ask.lease;
        if self.queue.iter().any(is_queued) {
            return LeaseReply::Queued;
        }
        if self.queue.is_empty() && self.has_room(ask.tokens, terms, now) {
            self.grant(&ask, now);
            return LeaseReply::Granted(terms.role);
        }
        self.denied_at = Some(now);
        let own_limit = self.own_limit(terms, now);
        if own_limit == 0 {
            // The last first owner is the standby now, and knows the leases.
            return LeaseReply::NotOwner;
        }
        let can_fit = u64::from(ask.tokens) <= own_limit;
        if ask.wait == Span::ZERO || !can_fit || self.queue.len() >= MAX_QUEUED {
            return LeaseReply::Full {
                retry_ms: FULL_RETRY_MS,
            };
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

    /// Renews a lease of which its holder tells. Adds it if this owner does not know it yet.
    pub fn renew(&mut self, lease: LeaseId, tokens: u32, lasts: Span, now: MonoTime) {
        let ends_at = now + lasts.min(MAX_LEASE_TIME);
        let learned = MemoryLease {
            tokens,
            begun_at: now,
            renewed_at: now,
            ends_at,
            is_own: false,
        };
        let known = self.leases.entry(lease).or_insert(learned);
        known.renewed_at = now;
        known.ends_at = ends_at;
    }

    /// Ends a lease, or takes a request out of the queue. Nothing changes if the lease is not known any more.
    pub fn release(&mut self, lease: LeaseId, now: MonoTime) {
        self.queue.retain(|queued| queued.ask.lease != lease);
        if let Some(ended) = self.leases.remove(&lease) {
            self.ended.push_back((now, ended.begun_at));
        }
    }

    /// Grants leases to queued requests as far as there is room now, and returns these requests.
    ///
    /// The first one that does not fit keeps the others waiting: a long prompt would never get its memory if shorter
    /// ones took what becomes free.
    pub fn grant_queued(&mut self, terms: &MemoryTerms, now: MonoTime) -> Vec<MemoryAsk> {
        self.update(terms, now);
        let mut granted = Vec::new();
        while let Some(index) = self.first_queued() {
            let ask = self.queue[index].ask;
            if !self.has_room(ask.tokens, terms, now) {
                break;
            }
            self.queue_grants += 1;
            self.queue.swap_remove(index);
            self.grant(&ask, now);
            granted.push(ask);
        }
        granted
    }

    /// Returns the tokens that are leased, as far as this owner knows.
    pub fn leased_tokens(&self) -> u64 {
        let tokens = self.leases.values().map(|lease| u64::from(lease.tokens));
        tokens.sum()
    }

    /// Returns whether the guard is still needed.
    pub fn is_pressed(&self, capacity: u64, now: MonoTime) -> bool {
        let was_denied = |at| now.since(at) < DENIAL_TIME;
        let is_filled = self.leased_tokens() as f64 >= KEEP_SHARE * capacity as f64;
        is_filled || self.denied_at.is_some_and(was_denied)
    }

    /// Returns the number of leases.
    pub fn held(&self) -> usize {
        self.leases.len()
    }

    /// Returns the number of requests that wait for memory.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn grant(&mut self, ask: &MemoryAsk, now: MonoTime) {
        let lease = MemoryLease {
            tokens: ask.tokens,
            begun_at: now,
            renewed_at: now,
            ends_at: now + ask.lasts.min(MAX_LEASE_TIME),
            is_own: true,
        };
        self.leases.insert(ask.lease, lease);
    }

    fn has_room(&self, tokens: u32, terms: &MemoryTerms, now: MonoTime) -> bool {
        let tokens = u64::from(tokens);
        let own = self.leases.values().filter(|lease| lease.is_own);
        let own: u64 = own.map(|lease| u64::from(lease.tokens)).sum();
        if own + tokens > self.own_limit(terms, now) {
            return false;
        }
        let held = self.leased_tokens() + self.unleased_tokens(terms);
        let reserve = match (self.is_start(terms, now), terms.role) {
            (true, _) => terms.capacity / START_DIVISOR,
            // What the standby owner has just granted is not known yet.
            (false, OwnerRole::First) => terms.capacity / STANDBY_DIVISOR,
            (false, OwnerRole::Standby) => 0,
        };
        held + tokens + reserve <= terms.capacity
    }

    /// Returns how many tokens the leases that this owner has granted may have together, by its role and by whether
    /// it can know all other leases.
    fn own_limit(&self, terms: &MemoryTerms, now: MonoTime) -> u64 {
        let standby_part = terms.capacity / STANDBY_DIVISOR;
        let is_settled = now.since(self.role_since) >= SETTLE_TIME;
        let was_owner = self.role_since > self.opened_at;
        // The ledger was opened when the guard was switched on, so there are no earlier leases.
        let is_first_ledger = self.opened_at.since(terms.guarded_since) < START_TIME && !was_owner;
        let is_settled = is_settled || is_first_ledger;
        match (terms.role, terms.hears_others) {
            (OwnerRole::First, true) if self.is_start(terms, now) && is_settled => {
                terms.capacity / START_DIVISOR
            }
            (OwnerRole::First, true) if is_settled => terms.capacity - standby_part,
            _ if is_settled || was_owner => standby_part,
            _ => 0,
        }
    }

    /// Returns whether the guard was switched on so lately that requests without a lease are not all known.
    fn is_start(&self, terms: &MemoryTerms, now: MonoTime) -> bool {
        now.since(terms.guarded_since) < START_TIME
    }

    /// Returns what the reported requests need for which there is no lease.
    fn unleased_tokens(&self, terms: &MemoryTerms) -> u64 {
        let Some(reported) = terms.reported else {
            return 0;
        };
        let known = self.known_at(reported.at);
        let unknown = (reported.requests as usize).saturating_sub(known) as f64;
        let upper = unknown + UNKNOWN_SPREAD * unknown.sqrt();
        (upper * terms.mean_need) as u64
    }

    /// Returns how many requests this owner knew of at a time.
    fn known_at(&self, at: MonoTime) -> usize {
        let ended = self
            .ended
            .iter()
            .filter(|(end, begun)| *end > at && *begun <= at);
        // A lease that was learned later is most likely of a request that had begun before.
        let had_begun = |lease: &&MemoryLease| lease.begun_at <= at || !lease.is_own;
        self.leases.values().filter(had_begun).count() + ended.count()
    }

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

    /// Brings role, leases and queue up to date.
    fn update(&mut self, terms: &MemoryTerms, now: MonoTime) {
        let last = self.role.replace(terms.role);
        if last.is_some_and(|last| last != terms.role) {
            self.role_since = now;
        }
        self.leases.retain(|_, lease| now < lease.ends_at);
        self.queue.retain(|queued| now < queued.expires);
        let is_old = |(end, _): &(MonoTime, MonoTime)| now.since(*end) >= END_RETENTION;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        if let Some(reported) = terms.reported {
            self.drop_doubtful(reported, now);
        }
    }

    /// Drops as many leases in doubt as there are more leases than reported requests, less a margin. Which of these
    /// requests have ended is unknown, so the smallest leases are dropped first.
    fn drop_doubtful(&mut self, reported: HeldCount, now: MonoTime) {
        let is_doubtful = |lease: &MemoryLease| now.since(lease.renewed_at) >= DOUBT_TIME;
        let mut doubtful: Vec<(u32, LeaseId)> = self
            .leases
            .iter()
            .filter(|(_, lease)| is_doubtful(lease))
            .map(|(id, lease)| (lease.tokens, *id))
            .collect();
        let confirmed = self.leases.len() - doubtful.len();
        let room = (reported.requests as usize).saturating_sub(confirmed) + DOUBT_MARGIN;
        let surplus = doubtful.len().saturating_sub(room);
        doubtful.sort_unstable_by_key(|(tokens, _)| *tokens);
        for (_, lease) in &doubtful[..surplus] {
            self.leases.remove(lease);
        }
    }
}
