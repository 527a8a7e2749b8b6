//! The log of a request's attempts and their joined verdict.

use oleander_base::prelude::*;
use thiserror::Error;

/// Numbers an attempt within its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u32);

/// Records one attempt to have a request served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The backend server that the request was sent to.
    pub backend: BackendId,
    /// Whether it had an effect; `MayHaveRun` while the attempt is unfinished.
    pub verdict: Verdict,
}

/// Reports that another send could have a second effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an earlier attempt may have run, so the request is not sent again")]
pub struct AlreadySent;

/// Determines whether a request may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may be sent again, because a repeat has no further effect.
    Idempotent,
    /// It may be sent again only if no earlier attempt may have run.
    AtMostOnce,
}

/// Records the attempts of one request.
#[derive(Debug, Clone)]
pub struct AttemptLog {
    rule: RepeatRule,
    attempts: Vec<Attempt>,
}

impl AttemptLog {
    /// Returns an empty log.
    pub fn new(rule: RepeatRule) -> Self {
        Self {
            rule,
            attempts: Vec::new(),
        }
    }

    /// Begins an attempt, which counts as `MayHaveRun` until it is resolved.
    pub fn begin(&mut self, backend: BackendId) -> Result<AttemptId, AlreadySent> {
        if self.rule == RepeatRule::AtMostOnce && self.verdict() != Verdict::NotRun {
            return Err(AlreadySent);
        }
        let id = AttemptId(self.attempts.len() as u32);
        let verdict = Verdict::MayHaveRun;
        self.attempts.push(Attempt { backend, verdict });
        Ok(id)
    }

    /// Records the verdict of an attempt, unless a certain one is already recorded.
    pub fn resolve(&mut self, id: AttemptId, verdict: Verdict) {
        let attempt = self.attempts.get_mut(id.0 as usize);
        if let Some(attempt) = attempt.filter(|a| a.verdict == Verdict::MayHaveRun) {
            attempt.verdict = verdict;
        }
    }

    /// Returns the joined verdict of all attempts.
    pub fn verdict(&self) -> Verdict {
        Verdict::over(self.attempts.iter().map(|attempt| attempt.verdict))
    }

    /// Returns the attempts in the order in which they began.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }
}
