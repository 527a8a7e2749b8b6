//! Why a call to a plain service failed.

use oleander_attempt::{AttemptError, AttemptFailure};
use oleander_base::prelude::*;
use thiserror::Error;

/// The result of a call to a plain service.
pub type Result<T> = std::result::Result<T, ServiceError>;

/// What was seen of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServiceFailure {
    /// The attempt failed below HTTP, or stood still.
    #[error("{0}")]
    Attempt(AttemptFailure),
    /// The service refused the call before it ran, and said so.
    #[error("the service refused the call with status {status}")]
    Refused {
        /// The status.
        status: u16,
        /// When the service wants the call again.
        retry_after: Option<Span>,
    },
    /// The caller's body is larger than the service is sent.
    #[error("the body is over the limit of {limit} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A failed call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({verdict})")]
pub struct ServiceError {
    /// What was seen.
    pub failure: ServiceFailure,
    /// Whether the call may have run.
    pub verdict: Verdict,
}

impl ServiceError {
    /// Returns the error of a call that did not run.
    pub fn not_run(failure: ServiceFailure) -> Self {
        Self {
            failure,
            verdict: Verdict::NotRun,
        }
    }
}

impl From<AttemptError> for ServiceError {
    fn from(error: AttemptError) -> Self {
        Self {
            failure: ServiceFailure::Attempt(error.failure),
            verdict: error.verdict,
        }
    }
}
