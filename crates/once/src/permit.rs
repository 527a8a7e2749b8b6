//! The leave to run one request, with the attempts made under it.
//!
//! A permit that is dropped without an end (a cancelled task, a panic) closes itself with the
//! joined verdict of its attempts, where an attempt under way counts as `MayHaveRun`.

use std::fmt;
use std::sync::Arc;

use oleander_base::prelude::*;
use thiserror::Error;

use crate::answer::KeptAnswer;
use crate::attempt::{AlreadySent, AttemptId, AttemptLog, RepeatRule};
use crate::deadline::{MonoClock, SendDeadline, StaleSend};
use crate::hash::KeyHash;

/// What a permit rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitBasis {
    /// Neither token nor key: only this entry VM's own care.
    Unbound,
    /// A token by its serial.
    Token(u64),
    /// A claimed key.
    Key(KeyHash),
}

/// Takes the end of a permit.
pub trait PermitSink: Send + Sync {
    /// Records the verdict of the request, and its answer if there is one.
    fn close(&self, basis: PermitBasis, request: RequestId, end: PermitEnd);
}

/// How a permit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitEnd {
    /// The joined verdict of its attempts.
    pub verdict: Verdict,
    /// The answer that a repeat may get.
    pub answer: Option<KeptAnswer>,
}

/// The request must not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendRefused {
    /// The leave lapsed before the send.
    #[error(transparent)]
    Stale(#[from] StaleSend),
    /// An earlier attempt may have run.
    #[error(transparent)]
    AlreadySent(#[from] AlreadySent),
}

/// What a permit is made of.
#[derive(Clone)]
pub struct PermitTerms {
    /// What it rests on.
    pub basis: PermitBasis,
    /// Until when a send may begin.
    pub deadline: SendDeadline,
    /// Whether further sends need every earlier one not to have run.
    pub rule: RepeatRule,
    /// The clock of the gate.
    pub clock: Arc<dyn MonoClock>,
    /// Who takes the end.
    pub sink: Arc<dyn PermitSink>,
}

impl fmt::Debug for PermitTerms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PermitTerms")
            .field("basis", &self.basis)
            .field("deadline", &self.deadline)
            .field("rule", &self.rule)
            .finish_non_exhaustive()
    }
}

/// The leave to run one request.
pub struct RunPermit {
    request: RequestId,
    terms: PermitTerms,
    log: AttemptLog,
    is_closed: bool,
}

impl RunPermit {
    /// Opens a permit for a request.
    pub fn open(request: RequestId, terms: PermitTerms) -> Self {
        let log = AttemptLog::new(terms.rule);
        Self {
            request,
            terms,
            log,
            is_closed: false,
        }
    }

    /// Returns the request that may run.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Opens an attempt; call it right before the bytes of the request leave.
    ///
    /// The attempt counts as `MayHaveRun` until it is settled.
    pub fn begin_send(&mut self, backend: BackendId) -> Result<AttemptId, SendRefused> {
        let attempt = self.log.begin(backend)?;
        let checked = self.terms.deadline.check(self.terms.clock.now());
        if let Err(stale) = checked {
            self.log.resolve(attempt, Verdict::NotRun);
            return Err(stale.into());
        }
        Ok(attempt)
    }

    /// Settles an attempt.
    pub fn resolve(&mut self, attempt: AttemptId, verdict: Verdict) {
        self.log.resolve(attempt, verdict);
    }

    /// Returns the attempts so far.
    pub fn attempts(&self) -> &AttemptLog {
        &self.log
    }

    /// Ends the permit with the answer that a repeat may get, and returns the joined verdict.
    pub fn finish(mut self, answer: Option<KeptAnswer>) -> Verdict {
        self.close(answer);
        self.log.verdict()
    }

    fn close(&mut self, answer: Option<KeptAnswer>) {
        if self.is_closed {
            return;
        }
        self.is_closed = true;
        let verdict = self.log.verdict();
        let end = PermitEnd { verdict, answer };
        self.terms.sink.close(self.terms.basis, self.request, end);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.close(None);
    }
}

impl fmt::Debug for RunPermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunPermit")
            .field("request", &self.request)
            .field("basis", &self.terms.basis)
            .field("log", &self.log)
            .finish_non_exhaustive()
    }
}
