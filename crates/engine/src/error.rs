//! Why a call to an engine failed.

use ntex::util::Bytes;
use oleander_attempt::{AttemptError, AttemptFailure};
use oleander_base::prelude::*;
use thiserror::Error;

/// The result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// What was seen of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineFailure {
    /// The attempt failed below HTTP, or stood still.
    #[error("{0}")]
    Attempt(AttemptFailure),
    /// The engine refused the request before it ran, and said so.
    #[error("the engine refused the request with status {status}")]
    Refused {
        /// The status.
        status: u16,
        /// When the engine wants the request again.
        retry_after: Option<Span>,
        /// The body of the refusal.
        body: Bytes,
    },
    /// The engine answered with an error that does not say whether the request ran.
    #[error("the engine answered with status {status}")]
    Status {
        /// The status.
        status: u16,
        /// The body of the error.
        body: Bytes,
    },
    /// The answer ended before its end mark.
    #[error("the answer ended before its end mark")]
    Truncated,
    /// The answer is not what the interface describes.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

/// A failed call to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({verdict})")]
pub struct EngineError {
    /// What was seen.
    pub failure: EngineFailure,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl EngineError {
    /// Returns the error of a request that may have run.
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
