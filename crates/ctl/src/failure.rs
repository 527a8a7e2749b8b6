//! Failures of commands and their exit codes, which are stable for use in scripts.

use std::io;
use std::process::ExitCode;

use oleander_demo::DeployError;
use oleander_load::ScenarioError;
use oleander_operator::{ChangeRefusal, UnknownRequest};
use thiserror::Error;

/// The exit codes as `--help` prints them; docs/OPERATING.md has the same table.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  it cannot be done now: nothing can be reached, or a time limit passed; no change took effect
  2  bad input: arguments, a document, a settings or key file
  3  a promise was broken
  4  conflict: another change came first; no change took effect
  5  the outcome of a change is unknown; read the record later";

/// The failure of a command.
#[derive(Debug, Error)]
pub(crate) enum CommandFailure {
    /// The scenario is invalid or cannot be read.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The deployment could not be started.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// An I/O operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A promise of the system was broken.
    #[error("{0}")]
    BrokenPromise(String),
    /// An argument, a document or a file is invalid.
    #[error("{0}")]
    Input(String),
    /// No endpoint can be reached, or an endpoint answers with an unexpected status.
    #[error("{0}")]
    Unreachable(String),
    /// An answer cannot be parsed, or a result cannot be serialized.
    #[error("an answer that cannot be read: {0}")]
    MalformedAnswer(String),
    /// The record does not exist.
    #[error("{0} is not there")]
    NotFound(String),
    /// A time limit was exceeded.
    #[error("{0}")]
    Timeout(String),
    /// The logs have no line about the request.
    #[error(transparent)]
    UnknownRequest(#[from] UnknownRequest),
    /// A change was refused, or its outcome is unknown.
    #[error(transparent)]
    Change(#[from] ChangeRefusal),
}

impl CommandFailure {
    /// Returns the exit code according to [`EXIT_CODES`].
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Scenario(_) | Self::Input(_) => 2,
            Self::Change(ChangeRefusal::Invalid { .. }) => 2,
            Self::BrokenPromise(_) => 3,
            Self::Change(ChangeRefusal::Conflict { .. }) => 4,
            Self::Change(ChangeRefusal::Unknown { .. }) => 5,
            Self::Deploy(_)
            | Self::Io(_)
            | Self::Unreachable(_)
            | Self::MalformedAnswer(_)
            | Self::NotFound(_)
            | Self::UnknownRequest(_)
            | Self::Timeout(_)
            | Self::Change(ChangeRefusal::Unavailable { .. }) => 1,
        })
    }
}
