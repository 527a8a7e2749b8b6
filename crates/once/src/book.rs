//! The claims of one entry VM: a pure state machine over the keys whose claims it owns.
//!
//! The log in the store says who owns a key; this book says what the owner did with it. A key is
//! run only after the log confirmed a claim of this instance whose request the book remembers and
//! which never ran. A claim whose write has an unknown outcome is remembered as unsettled: it
//! never runs by itself, and when a repeat finds it in the log, it is taken up again, because the
//! book is sure that nothing ran under it. What the book has forgotten may have run.
//!
//! Invariants: at most one request runs under a key at a time; after one that ran or may have run
//! none starts; claiming and running records are never evicted.

mod check;

use std::collections::{BTreeMap, VecDeque};

use oleander_base::prelude::*;

use crate::answer::{AnswerShelf, KeptAnswer, KeptResult};
use crate::hash::{BodyHash, KeyHash};
use crate::outcome::{BookLimits, BookStep, ClaimOutcome};
use crate::route::ClaimReply;

/// The most unsettled claims that are remembered for one key.
const UNSETTLED_LIMIT: usize = 8;

/// A claim that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClaimTry {
    request: RequestId,
    arrived: MonoTime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RecordState {
    /// A claim is on its way.
    Claiming(ClaimTry),
    /// No claim is confirmed, and some may be in the log.
    Unsettled,
    /// The claim is ours and nothing ran under it.
    Open(ClaimTry),
    /// This request runs under the claim.
    Running { claim: ClaimTry, request: RequestId },
    /// A request ended under the claim.
    Ended {
        request: RequestId,
        verdict: Verdict,
    },
}

#[derive(Debug, Clone, Hash)]
struct ClaimRecord {
    born: MonoTime,
    body: BodyHash,
    state: RecordState,
    unsettled: Vec<ClaimTry>,
}

/// The claims of one entry VM.
#[derive(Debug, Clone, Hash)]
pub struct ClaimRecords {
    me: InstanceId,
    limits: BookLimits,
    records: BTreeMap<KeyHash, ClaimRecord>,
    order: VecDeque<(MonoTime, KeyHash)>,
    shelf: AnswerShelf<KeyHash>,
}

impl ClaimRecords {
    /// Returns the empty book of an instance.
    pub fn new(me: InstanceId, limits: BookLimits) -> Self {
        Self {
            me,
            limits,
            records: BTreeMap::new(),
            order: VecDeque::new(),
            shelf: AnswerShelf::new(limits.kept_bytes, limits.answer_bytes),
        }
    }

    /// Decides on a request with a key, which arrived at `arrived`.
    pub fn begin(
        &mut self,
        key: KeyHash,
        body: BodyHash,
        request: RequestId,
        arrived: MonoTime,
        now: MonoTime,
    ) -> BookStep {
        self.drop_old(now);
        let claim_try = ClaimTry { request, arrived };
        let Some(record) = self.records.get(&key) else {
            return self.begin_first(key, body, claim_try, now);
        };
        if record.body != body {
            return BookStep::BodyMismatch;
        }
        match record.state {
            RecordState::Claiming(earlier) => BookStep::Busy(earlier.request),
            RecordState::Running { request, .. } => BookStep::Busy(request),
            RecordState::Ended { request, verdict } => self.ended(key, request, verdict),
            RecordState::Unsettled if !self.is_sendable(claim_try, now) => BookStep::Expired,
            RecordState::Unsettled => {
                self.set_state(key, RecordState::Claiming(claim_try));
                BookStep::Claim
            }
            RecordState::Open(claim) => self.run_open(key, claim, request, now),
        }
    }

    fn begin_first(
        &mut self,
        key: KeyHash,
        body: BodyHash,
        claim_try: ClaimTry,
        now: MonoTime,
    ) -> BookStep {
        if !self.is_sendable(claim_try, now) {
            return BookStep::Expired;
        }
        if self.records.len() >= self.limits.records && !self.evict_one() {
            return BookStep::Full;
        }
        let record = ClaimRecord {
            born: now,
            body,
            state: RecordState::Claiming(claim_try),
            unsettled: Vec::new(),
        };
        self.records.insert(key, record);
        self.order.push_back((now, key));
        BookStep::Claim
    }

    fn run_open(
        &mut self,
        key: KeyHash,
        claim: ClaimTry,
        request: RequestId,
        now: MonoTime,
    ) -> BookStep {
        if !self.is_sendable(claim, now) {
            return BookStep::Expired;
        }
        self.set_state(key, RecordState::Running { claim, request });
        let claimed = claim.arrived;
        BookStep::Run { claimed }
    }

    fn ended(&self, key: KeyHash, request: RequestId, verdict: Verdict) -> BookStep {
        match self.shelf.get(&key) {
            Some(result) => BookStep::Done(result.clone()),
            None => BookStep::Ended { request, verdict },
        }
    }

    fn is_sendable(&self, claim: ClaimTry, now: MonoTime) -> bool {
        now.since(claim.arrived) < self.limits.send_limit
    }

    /// Takes the log's reply to a claim.
    pub fn settle(
        &mut self,
        key: KeyHash,
        request: RequestId,
        reply: ClaimReply,
        now: MonoTime,
    ) -> ClaimOutcome {
        let Some(record) = self.records.get(&key) else {
            return ClaimOutcome::Unsettled;
        };
        let claiming = match record.state {
            RecordState::Claiming(claim) if claim.request == request => claim,
            _ => return ClaimOutcome::Unsettled,
        };
        match reply {
            ClaimReply::Granted => self.grant(key, claiming, request, now),
            ClaimReply::Taken { holder, body } => {
                self.settle_taken(key, request, holder, body, now)
            }
            ClaimReply::NotWritten(reason) => {
                self.withdraw(key);
                ClaimOutcome::NotWritten(reason)
            }
            ClaimReply::Unknown => {
                self.keep_unsettled(key, claiming);
                ClaimOutcome::Unsettled
            }
        }
    }

    /// Gives a claim up whose reply nobody waits for any more.
    pub fn abandon(&mut self, key: KeyHash, request: RequestId) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        match record.state {
            RecordState::Claiming(claim) if claim.request == request => {
                self.keep_unsettled(key, claim);
            }
            _ => {}
        }
    }

    fn grant(
        &mut self,
        key: KeyHash,
        claim: ClaimTry,
        request: RequestId,
        now: MonoTime,
    ) -> ClaimOutcome {
        if !self.is_sendable(claim, now) {
            self.set_state(key, RecordState::Open(claim));
            return ClaimOutcome::Expired;
        }
        self.set_state(key, RecordState::Running { claim, request });
        self.forget_unsettled(key);
        let claimed = claim.arrived;
        ClaimOutcome::Run { claimed }
    }

    fn settle_taken(
        &mut self,
        key: KeyHash,
        request: RequestId,
        holder: RequestId,
        body: BodyHash,
        now: MonoTime,
    ) -> ClaimOutcome {
        let record = self.records.get(&key);
        let is_same_body = record.is_some_and(|record| record.body == body);
        let ours = record.and_then(|record| {
            let mut tries = record.unsettled.iter();
            tries.find(|claim| claim.request == holder).copied()
        });
        if let Some(claim) = ours {
            return self.grant(key, claim, request, now);
        }
        self.remove(key);
        if !is_same_body {
            ClaimOutcome::BodyMismatch
        } else if holder.origin == self.me {
            ClaimOutcome::Forgotten { holder }
        } else {
            ClaimOutcome::Repeat { holder }
        }
    }

    fn withdraw(&mut self, key: KeyHash) {
        let has_unsettled = self
            .records
            .get(&key)
            .is_some_and(|r| !r.unsettled.is_empty());
        if has_unsettled {
            self.set_state(key, RecordState::Unsettled);
        } else {
            self.remove(key);
        }
    }

    fn keep_unsettled(&mut self, key: KeyHash, claim: ClaimTry) {
        if let Some(record) = self.records.get_mut(&key) {
            if record.unsettled.len() == UNSETTLED_LIMIT {
                record.unsettled.remove(0);
            }
            record.unsettled.push(claim);
            record.state = RecordState::Unsettled;
        }
    }

    fn forget_unsettled(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.unsettled.clear();
        }
    }

    /// Records how a running request ended; `NotRun` lets a repeat run under the same claim.
    pub fn finish(
        &mut self,
        key: KeyHash,
        request: RequestId,
        verdict: Verdict,
        answer: Option<KeptAnswer>,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let RecordState::Running {
            claim,
            request: running,
        } = record.state
        else {
            return;
        };
        if running != request {
            return;
        }
        if verdict == Verdict::NotRun {
            record.state = RecordState::Open(claim);
            return;
        }
        record.state = RecordState::Ended { request, verdict };
        let result = KeptResult {
            request,
            body: record.body,
            verdict,
            answer,
        };
        self.shelf.keep(key, result);
    }

    /// Returns the kept result under a key.
    pub fn result(&self, key: KeyHash) -> Option<&KeptResult> {
        self.shelf.get(&key)
    }

    fn set_state(&mut self, key: KeyHash, state: RecordState) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
        }
    }

    fn remove(&mut self, key: KeyHash) {
        self.records.remove(&key);
        self.shelf.remove(&key);
    }

    fn drop_old(&mut self, now: MonoTime) {
        while let Some((born, key)) = self.order.front().copied() {
            let is_old = now.since(born) > self.limits.retention;
            let is_kept = self.is_current(born, key) && (!is_old || self.is_busy(key));
            if is_kept {
                break;
            }
            self.order.pop_front();
            self.remove_born(born, key);
        }
    }

    fn evict_one(&mut self) -> bool {
        for _ in 0..self.order.len() {
            let Some((born, key)) = self.order.pop_front() else {
                break;
            };
            let is_current = self.is_current(born, key);
            if is_current && self.is_busy(key) {
                self.order.push_back((born, key));
            } else if is_current {
                self.remove(key);
                return true;
            }
        }
        false
    }

    /// Returns whether an entry of `order` is of the record in force, not of one before it.
    fn is_current(&self, born: MonoTime, key: KeyHash) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| record.born == born)
    }

    fn remove_born(&mut self, born: MonoTime, key: KeyHash) {
        if self.is_current(born, key) {
            self.remove(key);
        }
    }

    fn is_busy(&self, key: KeyHash) -> bool {
        let state = self.records.get(&key).map(|record| record.state);
        matches!(
            state,
            Some(RecordState::Claiming(_) | RecordState::Running { .. })
        )
    }
}
