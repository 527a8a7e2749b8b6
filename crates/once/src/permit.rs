//! The permission to run one request, with the attempts made under it.
//!
//! A permit that is dropped without a call of `finish` (in a cancelled task or a panic) closes
//! itself with the joined verdict of its attempts. An unfinished attempt counts as `MayHaveRun`.

use std::fmt;
use std::sync::Arc;

use oleander_base::prelude::*;
use thiserror::Error;

use crate::answer::KeptAnswer;
use crate::attempt::{AlreadySent, AttemptId, AttemptLog, RepeatRule};
use crate::deadline::{MonoClock, SendDeadline, StaleSend};
use crate::hash::KeyHash;

/// Names what entitles a request to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitBasis {
    /// Neither a token nor a key; only the rule of the attempt log prevents a second effect.
    Unbound,
    /// The token with this serial.
    Token(u64),
    /// The claim of this key.
    Key(KeyHash),
}

/// Receives the end of a permit.
pub trait PermitSink: Send + Sync {
    /// Records the verdict of the request and its answer, if there is one.
    fn close(&self, basis: PermitBasis, request: RequestId, end: PermitEnd);
}

/// Describes how a permit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitEnd {
    /// The joined verdict of all attempts.
    pub verdict: Verdict,
    /// The answer to return to a repeat.
    pub answer: Option<KeptAnswer>,
}

/// Lists the reasons why a request must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendRefused {
    /// The send deadline has passed.
    #[error(transparent)]
    Stale(#[from] StaleSend),
    /// An earlier attempt may have run.
    #[error(transparent)]
    AlreadySent(#[from] AlreadySent),
}

/// Holds the conditions of a permit.
#[derive(Clone)]
pub struct PermitTerms {
    /// What entitles the request to run.
    pub basis: PermitBasis,
    /// When the permission to send ends.
    pub deadline: SendDeadline,
    /// Whether a further send requires that no earlier attempt may have run.
    pub rule: RepeatRule,
    /// The clock that the deadline is checked against.
    pub clock: Arc<dyn MonoClock>,
    /// The receiver of the permit's end.
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

/// Permits one request to run and records its attempts.
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

    /// Begins an attempt; must be called right before the request's bytes are sent.
    ///
    /// The attempt counts as `MayHaveRun` until it is resolved.
    pub fn begin_send(&mut self, backend: BackendId) -> Result<AttemptId, SendRefused> {
        let attempt = self.log.begin(backend)?;
        let checked = self.terms.deadline.check(self.terms.clock.now());
        if let Err(stale) = checked {
            self.log.resolve(attempt, Verdict::NotRun);
            return Err(stale.into());
        }
        Ok(attempt)
    }

    /// Records the verdict of an attempt.
    pub fn resolve(&mut self, attempt: AttemptId, verdict: Verdict) {
        self.log.resolve(attempt, verdict);
    }

    /// Returns the log of the attempts so far.
    pub fn attempts(&self) -> &AttemptLog {
        &self.log
    }

    /// Ends the permit with the answer to return to repeats, and returns the joined verdict.
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
