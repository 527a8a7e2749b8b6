//! The claim table of one entry VM: a pure state machine over the keys that it claims.
//!
//! The log in the store records who owns a key; this table records what the owner did with it. A
//! request runs only after the log has confirmed a claim of this instance that the table still
//! records and under which nothing ran. A claim whose write has an unknown outcome is recorded as
//! unresolved: it never leads to a run by itself. When a repeat finds it in the log, the repeat
//! runs under it, because the table records that nothing ran under it. A claim that the table no
//! longer records may have run.
//!
//! Invariants: at most one request runs under a key at a time; no request starts after one that
//! ran or may have run; claiming and running records are never evicted.

mod check;

use std::collections::{BTreeMap, VecDeque};

use oleander_base::prelude::*;

use crate::answer::{KeptAnswer, KeptResult, ResultCache};
use crate::hash::{BodyHash, KeyHash};
use crate::outcome::{ClaimDecision, ClaimOutcome, TableLimits};
use crate::route::ClaimReply;

/// The maximum number of unresolved claims that are recorded for one key.
const MAX_UNRESOLVED_CLAIMS: usize = 8;

/// Identifies a claim that was sent to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClaimRequest {
    request: RequestId,
    arrived: MonoTime,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RecordState {
    /// A claim was requested and the log has not replied.
    Claiming(ClaimRequest),
    /// No claim is confirmed, but some may be in the log.
    Unresolved,
    /// This instance owns the claim and nothing ran under it.
    Open(ClaimRequest),
    /// The request is running under the claim.
    Running {
        claim: ClaimRequest,
        request: RequestId,
    },
    /// The request ran or may have run under the claim, and has ended.
    Ended {
        request: RequestId,
        verdict: Verdict,
    },
}

#[derive(Debug, Clone, Hash)]
struct ClaimRecord {
    created: MonoTime,
    body: BodyHash,
    state: RecordState,
    unresolved: Vec<ClaimRequest>,
}

/// Records the claims of one entry VM and what became of their requests.
#[derive(Debug, Clone, Hash)]
pub struct ClaimRecords {
    me: InstanceId,
    limits: TableLimits,
    records: BTreeMap<KeyHash, ClaimRecord>,
    order: VecDeque<(MonoTime, KeyHash)>,
    cache: ResultCache<KeyHash>,
}

impl ClaimRecords {
    /// Returns the empty table of an instance.
    pub fn new(me: InstanceId, limits: TableLimits) -> Self {
        Self {
            me,
            limits,
            records: BTreeMap::new(),
            order: VecDeque::new(),
            cache: ResultCache::new(limits.kept_bytes, limits.answer_bytes),
        }
    }

    /// Decides how to proceed with a keyed request that arrived at `arrived`.
    pub fn begin(
        &mut self,
        key: KeyHash,
        body: BodyHash,
        request: RequestId,
        arrived: MonoTime,
        now: MonoTime,
    ) -> ClaimDecision {
        self.drop_old(now);
        let claim_request = ClaimRequest { request, arrived };
        let Some(record) = self.records.get(&key) else {
            return self.begin_first(key, body, claim_request, now);
        };
        if record.body != body {
            return ClaimDecision::BodyMismatch;
        }
        match record.state {
            RecordState::Claiming(earlier) => ClaimDecision::Busy(earlier.request),
            RecordState::Running { request, .. } => ClaimDecision::Busy(request),
            RecordState::Ended { request, verdict } => self.ended(key, request, verdict),
            RecordState::Unresolved if !self.is_sendable(claim_request, now) => {
                ClaimDecision::Expired
            }
            RecordState::Unresolved => {
                self.set_state(key, RecordState::Claiming(claim_request));
                ClaimDecision::Claim
            }
            RecordState::Open(claim) => self.run_open(key, claim, request, now),
        }
    }

    fn begin_first(
        &mut self,
        key: KeyHash,
        body: BodyHash,
        claim_request: ClaimRequest,
        now: MonoTime,
    ) -> ClaimDecision {
        if !self.is_sendable(claim_request, now) {
            return ClaimDecision::Expired;
        }
        if self.records.len() >= self.limits.records && !self.evict_one() {
            return ClaimDecision::Full;
        }
        let record = ClaimRecord {
            created: now,
            body,
            state: RecordState::Claiming(claim_request),
            unresolved: Vec::new(),
        };
        self.records.insert(key, record);
        self.order.push_back((now, key));
        ClaimDecision::Claim
    }

    fn run_open(
        &mut self,
        key: KeyHash,
        claim: ClaimRequest,
        request: RequestId,
        now: MonoTime,
    ) -> ClaimDecision {
        if !self.is_sendable(claim, now) {
            return ClaimDecision::Expired;
        }
        self.set_state(key, RecordState::Running { claim, request });
        let claimed = claim.arrived;
        ClaimDecision::Run { claimed }
    }

    fn ended(&self, key: KeyHash, request: RequestId, verdict: Verdict) -> ClaimDecision {
        match self.cache.get(&key) {
            Some(result) => ClaimDecision::Done(result.clone()),
            None => ClaimDecision::Ended { request, verdict },
        }
    }

    fn is_sendable(&self, claim: ClaimRequest, now: MonoTime) -> bool {
        now.since(claim.arrived) < self.limits.send_limit
    }

    /// Applies the log's reply to a claim.
    pub fn resolve(
        &mut self,
        key: KeyHash,
        request: RequestId,
        reply: ClaimReply,
        now: MonoTime,
    ) -> ClaimOutcome {
        let Some(record) = self.records.get(&key) else {
            return ClaimOutcome::Unresolved;
        };
        let claiming = match record.state {
            RecordState::Claiming(claim) if claim.request == request => claim,
            _ => return ClaimOutcome::Unresolved,
        };
        match reply {
            ClaimReply::Granted => self.grant(key, claiming, request, now),
            ClaimReply::Taken { holder, body } => {
                self.resolve_taken(key, request, holder, body, now)
            }
            ClaimReply::NotWritten(reason) => {
                self.withdraw(key);
                ClaimOutcome::NotWritten(reason)
            }
            ClaimReply::Unknown => {
                self.keep_unresolved(key, claiming);
                ClaimOutcome::Unresolved
            }
        }
    }

    /// Marks a claim as unresolved because its caller no longer waits for the reply.
    pub fn abandon(&mut self, key: KeyHash, request: RequestId) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        match record.state {
            RecordState::Claiming(claim) if claim.request == request => {
                self.keep_unresolved(key, claim);
            }
            _ => {}
        }
    }

    fn grant(
        &mut self,
        key: KeyHash,
        claim: ClaimRequest,
        request: RequestId,
        now: MonoTime,
    ) -> ClaimOutcome {
        if !self.is_sendable(claim, now) {
            self.set_state(key, RecordState::Open(claim));
            return ClaimOutcome::Expired;
        }
        self.set_state(key, RecordState::Running { claim, request });
        self.forget_unresolved(key);
        let claimed = claim.arrived;
        ClaimOutcome::Run { claimed }
    }

    fn resolve_taken(
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
            let mut requests = record.unresolved.iter();
            requests.find(|claim| claim.request == holder).copied()
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
        let has_unresolved = self
            .records
            .get(&key)
            .is_some_and(|r| !r.unresolved.is_empty());
        if has_unresolved {
            self.set_state(key, RecordState::Unresolved);
        } else {
            self.remove(key);
        }
    }

    fn keep_unresolved(&mut self, key: KeyHash, claim: ClaimRequest) {
        if let Some(record) = self.records.get_mut(&key) {
            if record.unresolved.len() == MAX_UNRESOLVED_CLAIMS {
                record.unresolved.remove(0);
            }
            record.unresolved.push(claim);
            record.state = RecordState::Unresolved;
        }
    }

    fn forget_unresolved(&mut self, key: KeyHash) {
        if let Some(record) = self.records.get_mut(&key) {
            record.unresolved.clear();
        }
    }

    /// Records how a running request ended; after `NotRun`, a repeat may run under the same claim.
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
        self.cache.keep(key, result);
    }

    /// Returns the kept result of a key.
    pub fn result(&self, key: KeyHash) -> Option<&KeptResult> {
        self.cache.get(&key)
    }

    fn set_state(&mut self, key: KeyHash, state: RecordState) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
        }
    }

    fn remove(&mut self, key: KeyHash) {
        self.records.remove(&key);
        self.cache.remove(&key);
    }

    fn drop_old(&mut self, now: MonoTime) {
        while let Some((created, key)) = self.order.front().copied() {
            let is_old = now.since(created) > self.limits.retention;
            let is_kept = self.is_current(created, key) && (!is_old || self.is_busy(key));
            if is_kept {
                break;
            }
            self.order.pop_front();
            self.remove_created(created, key);
        }
    }

    fn evict_one(&mut self) -> bool {
        for _ in 0..self.order.len() {
            let Some((created, key)) = self.order.pop_front() else {
                break;
            };
            let is_current = self.is_current(created, key);
            if is_current && self.is_busy(key) {
                self.order.push_back((created, key));
            } else if is_current {
                self.remove(key);
                return true;
            }
        }
        false
    }

    /// Returns whether an entry of `order` belongs to the current record of its key, rather than
    /// to a removed one.
    fn is_current(&self, created: MonoTime, key: KeyHash) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| record.created == created)
    }

    fn remove_created(&mut self, created: MonoTime, key: KeyHash) {
        if self.is_current(created, key) {
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
