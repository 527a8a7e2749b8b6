//! Errors of calls to plain services.

use oleander_attempt::{AttemptError, AttemptFailure};
use oleander_base::prelude::*;
use thiserror::Error;

/// The result of a call to a plain service.
pub type Result<T> = std::result::Result<T, ServiceError>;

/// The observed cause of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServiceFailure {
    /// The HTTP attempt failed or timed out.
    #[error("{0}")]
    Attempt(AttemptFailure),
    /// The service refused the call and stated that it did not run.
    #[error("the service refused the call with status {status}")]
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The time after which the service accepts the call again, if it stated one.
        retry_after: Option<Span>,
    },
    /// The caller's body is larger than the limit and was not sent.
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
    /// The observed cause.
    pub failure: ServiceFailure,
    /// Whether the call may have run.
    pub verdict: Verdict,
}

impl ServiceError {
    /// Creates the error of a call that did not run.
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
