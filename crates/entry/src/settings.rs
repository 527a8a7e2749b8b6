//! The settings of an entry VM's process: one TOML file, checked whole at the start.
//!
//! Every mistake is reported at once, each with file, line, key and what would be right, so that
//! an operator mends a file in one round. Secrets are read from files that the settings name; the
//! settings themselves can be printed.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use oleander_decide::PolicyKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who this process is.
    pub instance: InstanceSettings,
    /// The listener for callers.
    pub callers: CallerSettings,
    /// The listener for operators.
    pub operators: OperatorSettings,
    /// The socket between entry VMs.
    pub peers: PeerSection,
    /// The platform's services.
    pub platform: PlatformSection,
    /// Limits and times of dispatch.
    #[serde(default)]
    pub dispatch: DispatchSection,
    /// How the process logs.
    #[serde(default)]
    pub log: LogSection,
}

/// Who this process is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The name that screens show.
    pub name: String,
    /// The name of the data centre.
    pub centre: String,
    /// The size of this VM against the others; 1 is the reference.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// The listener for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address, by IP number.
    pub listen: SocketAddr,
    /// Worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// The largest body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Requests that may be in progress at a time, waiting ones included.
    #[serde(default = "default_request_limit")]
    pub request_limit: usize,
    /// The TLS certificate chain (PEM); none means plain HTTP.
    pub tls_certificate: Option<PathBuf>,
    /// The TLS key (PEM).
    pub tls_key: Option<PathBuf>,
}

/// The listener for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address, by IP number.
    pub listen: SocketAddr,
    /// A file with the operators' key.
    pub key_file: PathBuf,
}

/// The socket between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// The UDP address, by IP number, as the other entry VMs reach it.
    pub listen: SocketAddr,
    /// The address that other entry VMs dial, if it is not the one above.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of other entry VMs to begin with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The certificate of this VM (PEM).
    pub certificate: PathBuf,
    /// Its key (PEM).
    pub key: PathBuf,
    /// The certificate authority of the fleet (PEM).
    pub authority: PathBuf,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// The address of the platform's service, by IP number.
    pub address: SocketAddr,
    /// Reads a second that this process may make, and as many writes.
    #[serde(default = "default_calls")]
    pub calls_per_second: f64,
    /// A file with the key that signs bound tokens; the same for the whole fleet.
    pub token_key_file: PathBuf,
}

/// Limits and times of dispatch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DispatchSection {
    /// The policy of the pools: `tiered`, or a baseline for experiments.
    pub policy: PolicyKind,
    /// Tickets that a pool's queue holds.
    pub queue_limit: usize,
    /// Time between two load reports of one backend server, in milliseconds.
    pub report_interval_ms: u64,
    /// Whether requests of a full pool may go to another data centre.
    pub spill: bool,
}

/// How the process logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// `error`, `warn`, `info` or `debug`.
    pub level: LogLevel,
    /// Whether lines are JSON.
    pub json: bool,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and what may lead to them.
    Warn,
    /// Changes of state.
    Info,
    /// Everything.
    Debug,
}

impl Default for DispatchSection {
    fn default() -> Self {
        Self {
            policy: PolicyKind::Tiered,
            queue_limit: 20_000,
            report_interval_ms: 500,
            spill: true,
        }
    }
}

impl Default for LogSection {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            json: false,
        }
    }
}

fn default_weight() -> f64 {
    1.0
}

fn default_workers() -> usize {
    2
}

fn default_body_limit() -> usize {
    4 * 1024 * 1024
}

fn default_request_limit() -> usize {
    50_000
}

fn default_calls() -> f64 {
    100.0
}

/// One mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The line, counted from 1, if it is known.
    pub line: Option<usize>,
    /// The key, with its section.
    pub key: String,
    /// What is wrong and what would be right.
    pub message: String,
}

/// Every mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The mistakes; at least one.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:", self.file.display())?;
            if let Some(line) = fault.line {
                write!(f, "{line}:")?;
            }
            write!(f, " {}: {}", fault.key, fault.message)?;
        }
        Ok(())
    }
}

impl EntrySettings {
    /// Reads and checks a file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError {
            file: file.to_owned(),
            faults: vec![SettingsFault {
                line: None,
                key: "file".to_owned(),
                message: format!("cannot be read: {error}"),
            }],
        })?;
        Self::parse(file, &text)
    }

    /// Checks the text of a file.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        crate::settings_check::parse(text).map_err(|faults| SettingsError {
            file: file.to_owned(),
            faults,
        })
    }
}
