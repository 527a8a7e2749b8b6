//! Why a command failed, with exit codes that a script can trust.

use std::io;
use std::process::ExitCode;

use oleander_demo::DeployError;
use oleander_load::ScenarioError;
use thiserror::Error;

/// The failure of a command.
#[derive(Debug, Error)]
pub(crate) enum CommandFailure {
    /// The scenario cannot be used.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The deployment did not come up.
    #[error(transparent)]
    Deploy(#[from] DeployError),
    /// A file could not be written.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A promise was broken.
    #[error("{0}")]
    Broken(String),
}

impl CommandFailure {
    /// Returns the exit code: 2 for bad input, 3 for a broken promise, 1 for the rest.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Scenario(_) => ExitCode::from(2),
            Self::Broken(_) => ExitCode::from(3),
            Self::Deploy(_) | Self::System(_) => ExitCode::from(1),
        }
    }
}
