//! A journal of the pools' decisions, for operators and for checks of the tier order.
//!
//! The journal is a bounded ring buffer. A decision is written under its pool's lock, so that the
//! entries of one pool are in the order of decision.

use std::collections::VecDeque;

use oleander_base::prelude::*;
use oleander_decide::{Decision, DecisionNotice};
use parking_lot::Mutex;
use serde::Serialize;

/// Number of entries that the ring buffer keeps.
const JOURNAL_LIMIT: usize = 200_000;

/// An event in the life of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalEvent {
    /// The ticket entered the queue.
    Queue,
    /// The ticket was granted a slot.
    Grant,
    /// The ticket was shed.
    Shed,
    /// The ticket left the queue without an outcome: its caller left, or it moved to another
    /// dispatcher.
    Leave,
}

/// One entry of the journal.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JournalEntry {
    /// The sequence number of the entry in this process, counted from 1.
    pub seq: u64,
    /// The time, in microseconds on this process's monotonic clock.
    pub at_us: u64,
    /// The pool.
    pub pool: String,
    /// The event.
    pub event: JournalEvent,
    /// The request.
    pub request: String,
    /// The request's tier.
    pub tier: u8,
    /// The backend server of a grant, or the reason for shedding.
    pub detail: String,
}

#[derive(Debug)]
struct RawEntry {
    at: MonoTime,
    pool: PoolId,
    event: JournalEvent,
    request: RequestId,
    tier: Tier,
    detail: RawDetail,
}

#[derive(Debug)]
enum RawDetail {
    None,
    Backend(BackendId),
    Reason(oleander_base::ShedReason),
}

#[derive(Debug, Default)]
struct JournalRing {
    entries: VecDeque<RawEntry>,
    dropped: u64,
}

/// A bounded journal of decisions.
#[derive(Debug, Default)]
pub struct Journal {
    ring: Mutex<JournalRing>,
}

impl Journal {
    /// Records that a ticket entered a queue.
    pub fn record_queued(&self, pool: PoolId, ticket: &Ticket, now: MonoTime) {
        self.push(RawEntry {
            at: now,
            pool,
            event: JournalEvent::Queue,
            request: ticket.request,
            tier: ticket.tier,
            detail: RawDetail::None,
        });
    }

    /// Records a decision.
    pub fn record_decision(&self, pool: PoolId, decision: &Decision, tier: Tier, now: MonoTime) {
        let (event, request, detail) = match &decision.notice {
            DecisionNotice::Grant(notice) => (
                JournalEvent::Grant,
                notice.request,
                RawDetail::Backend(notice.backend),
            ),
            DecisionNotice::Shed(notice) => (
                JournalEvent::Shed,
                notice.request,
                RawDetail::Reason(notice.reason),
            ),
        };
        self.push(RawEntry {
            at: now,
            pool,
            event,
            request,
            tier,
            detail,
        });
    }

    /// Records that a ticket left the queue without an outcome.
    pub fn record_left(&self, pool: PoolId, request: RequestId, tier: Tier, now: MonoTime) {
        let event = JournalEvent::Leave;
        self.push(RawEntry {
            at: now,
            pool,
            event,
            request,
            tier,
            detail: RawDetail::None,
        });
    }

    /// Returns up to `limit` entries after the one numbered `after`, as JSON lines.
    pub fn lines(&self, after: u64, limit: usize) -> String {
        let mut text = String::new();
        for entry in self.after(after, limit) {
            text.push_str(&serde_json::to_string(&entry).unwrap_or_default());
            text.push('\n');
        }
        text
    }

    /// Returns up to `limit` entries after the one numbered `after`.
    pub fn after(&self, after: u64, limit: usize) -> Vec<JournalEntry> {
        let ring = self.ring.lock();
        let skip = after.saturating_sub(ring.dropped) as usize;
        let first = ring.dropped + skip as u64 + 1;
        let entries = ring.entries.iter().skip(skip).take(limit);
        entries
            .enumerate()
            .map(|(index, entry)| entry.to_entry(first + index as u64))
            .collect()
    }

    /// Returns up to `limit` of the latest entries, oldest first.
    pub fn latest(&self, limit: usize) -> Vec<JournalEntry> {
        let last = {
            let ring = self.ring.lock();
            ring.dropped + ring.entries.len() as u64
        };
        self.after(last.saturating_sub(limit as u64), limit)
    }

    fn push(&self, entry: RawEntry) {
        let mut ring = self.ring.lock();
        if ring.entries.len() == JOURNAL_LIMIT {
            ring.entries.pop_front();
            ring.dropped += 1;
        }
        ring.entries.push_back(entry);
    }
}

impl RawEntry {
    fn to_entry(&self, seq: u64) -> JournalEntry {
        JournalEntry {
            seq,
            at_us: self.at.0,
            pool: self.pool.to_string(),
            event: self.event,
            request: self.request.to_string(),
            tier: self.tier.0,
            detail: match &self.detail {
                RawDetail::None => String::new(),
                RawDetail::Backend(backend) => backend.to_string(),
                RawDetail::Reason(reason) => format!("{reason:?}"),
            },
        }
    }
}
