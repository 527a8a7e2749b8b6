//! The errors of an attempt, each with the verdict on its request.

use oleander_base::prelude::*;
use thiserror::Error;

/// The result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Lists the ways in which an attempt fails.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AttemptFailure {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Connect(String),
    /// No connection was open, or the body was not handed to it, within the connect timeout.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The request could not be encoded as HTTP.
    #[error("the request is not valid: {0}")]
    Request(String),
    /// The connection failed, or the answer was not valid HTTP.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The answer has neither a length nor chunks, so that its body cannot be read.
    #[error("the answer has neither a length nor chunks")]
    Unframed,
    /// The connection ended before the stated length of the answer.
    #[error("the answer is shorter than its length")]
    Truncated,
    /// The server's process ended, or may have ended, with the connection that alone marks the end of the answer.
    #[error("the server's process may have ended with the connection")]
    ProcessEnded,
    /// The head of the answer did not arrive within the first-byte timeout.
    #[error("no answer in time")]
    FirstByteTimeout,
    /// No chunk of the answer's body arrived within the idle timeout.
    #[error("the answer stood still")]
    IdleTimeout,
    /// The answer's body is larger than the caller's limit.
    #[error("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl AttemptFailure {
    /// Returns whether a connection ended before the whole answer had come, as when the server's process ends.
    pub fn is_broken(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Truncated | Self::ProcessEnded)
    }
}

/// Reports a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{failure} ({verdict})")]
pub struct AttemptError {
    /// How the attempt failed.
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
