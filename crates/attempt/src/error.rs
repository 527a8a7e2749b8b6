//! Why an attempt failed, and what that says about the request.

use oleander_base::prelude::*;
use thiserror::Error;

/// The result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// What was seen of a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AttemptFailure {
    /// No connection came about.
    #[error("no connection: {0}")]
    Connect(String),
    /// No connection came about in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The request could not be written down as HTTP.
    #[error("the request is not valid: {0}")]
    Request(String),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The head of the answer did not come in time.
    #[error("no answer in time")]
    FirstByteTimeout,
    /// The answer stopped in its course.
    #[error("the answer stood still")]
    IdleTimeout,
    /// The answer is larger than the caller takes.
    #[error("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({verdict})")]
pub struct AttemptError {
    /// What was seen.
    pub failure: AttemptFailure,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl AttemptError {
    /// Returns the error of a request that did not run.
    pub fn not_run(failure: AttemptFailure) -> Self {
        Self {
            failure,
            verdict: Verdict::NotRun,
        }
    }

    /// Returns the error of a request that may have run.
    pub fn may_have_run(failure: AttemptFailure) -> Self {
        Self {
            failure,
            verdict: Verdict::MayHaveRun,
        }
    }
}
