//! The attempts of one request and their joined verdict.

use oleander_base::prelude::*;
use thiserror::Error;

/// The number of an attempt within its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u32);

/// One attempt to have a request served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The backend server that it went to.
    pub backend: BackendId,
    /// What is known of its effect; an attempt under way may have run.
    pub verdict: Verdict,
}

/// Another send could have a second effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an earlier attempt may have run, so the request is not sent again")]
pub struct AlreadySent;

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// A repeat has no further effect.
    Idempotent,
    /// Every earlier attempt must be known not to have run.
    AtMostOnce,
}

/// The attempts of one request.
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

    /// Opens an attempt, which counts as `MayHaveRun` until it is settled.
    pub fn begin(&mut self, backend: BackendId) -> Result<AttemptId, AlreadySent> {
        if self.rule == RepeatRule::AtMostOnce && self.verdict() != Verdict::NotRun {
            return Err(AlreadySent);
        }
        let id = AttemptId(self.attempts.len() as u32);
        let verdict = Verdict::MayHaveRun;
        self.attempts.push(Attempt { backend, verdict });
        Ok(id)
    }

    /// Settles an attempt; a verdict that is already certain stays.
    pub fn resolve(&mut self, id: AttemptId, verdict: Verdict) {
        let attempt = self.attempts.get_mut(id.0 as usize);
        if let Some(attempt) = attempt.filter(|a| a.verdict == Verdict::MayHaveRun) {
            attempt.verdict = verdict;
        }
    }

    /// Returns the verdict over all attempts.
    pub fn verdict(&self) -> Verdict {
        Verdict::over(self.attempts.iter().map(|attempt| attempt.verdict))
    }

    /// Returns the attempts in their order.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }
}
