//! Errors of calls to engines.

use ntex::util::Bytes;
use oleander_attempt::{AttemptError, AttemptFailure};
use oleander_base::prelude::*;
use thiserror::Error;

/// The result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// The observed cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineFailure {
    /// The HTTP attempt failed or timed out.
    #[error("{0}")]
    Attempt(AttemptFailure),
    /// The engine refused the request and stated that it did not run.
    #[error("the engine refused the request with status {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The time after which the engine accepts the request again, if it stated one.
        retry_after: Option<Span>,
        /// The response body.
        body: Bytes,
    },
    /// The engine answered with an error status and did not state whether the request ran.
    #[error("the engine answered with status {status}")]
    Status {
        /// The HTTP status code.
        status: u16,
        /// The response body.
        body: Bytes,
    },
    /// The stream ended before its end mark.
    #[error("the answer ended before its end mark")]
    Truncated,
    /// The answer does not follow the engine's interface.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

/// A failed call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({verdict})")]
pub struct EngineError {
    /// The observed cause.
    pub failure: EngineFailure,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl EngineError {
    /// Creates the error of a request that may have run.
    pub fn may_have_run(failure: EngineFailure) -> Self {
        Self {
            failure,
            verdict: Verdict::MayHaveRun,
        }
    }

    /// Returns whether the engine refused the request before it ran.
    pub fn is_refusal(&self) -> bool {
        matches!(self.failure, EngineFailure::Refused { .. })
    }
}

impl From<AttemptError> for EngineError {
    fn from(error: AttemptError) -> Self {
        Self {
            failure: EngineFailure::Attempt(error.failure),
            verdict: error.verdict,
        }
    }
}
