//! The settings of an entry VM's process: one TOML file, checked as a whole at the start.
//!
//! All errors are reported at once, each with file, line, key and the expected value, so that an
//! operator can correct the file in one pass. Secrets are read from files that the settings name;
//! the settings themselves can be printed.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use oleander_decide::PolicyKind;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The identity of this process.
    pub instance: InstanceSettings,
    /// The listener for callers.
    pub callers: CallerSettings,
    /// The listener for operators.
    pub operators: OperatorSettings,
    /// The socket between entry VMs.
    pub peers: PeerSection,
    /// The platform's services.
    pub platform: PlatformSection,
    /// Limits and intervals of dispatch.
    #[serde(default)]
    pub dispatch: DispatchSection,
    /// Logging.
    #[serde(default)]
    pub log: LogSection,
}

/// The identity of this process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// The name on the operators' screens.
    pub name: String,
    /// The name of the data centre.
    pub centre: String,
    /// The weight of this VM relative to the others; 1 is the reference.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// The listener for callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address, with an IP number.
    pub listen: SocketAddr,
    /// The number of worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// The size limit of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// The limit on the answers that the VM holds: those of completion requests that wait or run,
    /// and ended ones that are kept for a reconnect.
    #[serde(default = "default_request_limit")]
    pub request_limit: usize,
    /// The TLS certificate chain (PEM); without one, plain HTTP is served.
    pub tls_certificate: Option<PathBuf>,
    /// The TLS private key (PEM).
    pub tls_key: Option<PathBuf>,
}

/// The listener for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The address, with an IP number.
    pub listen: SocketAddr,
    /// The file that holds the operators' key.
    pub key_file: PathBuf,
}

/// The socket between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSection {
    /// The UDP address, with an IP number, at which the other entry VMs reach this one.
    pub listen: SocketAddr,
    /// The address that other entry VMs dial, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Addresses of other entry VMs to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The certificate of this VM (PEM).
    pub certificate: PathBuf,
    /// The private key of this VM (PEM).
    pub key: PathBuf,
    /// The certificate authority of the fleet (PEM).
    pub authority: PathBuf,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// The address of the platform's service, with an IP number.
    pub address: SocketAddr,
    /// The limit on reads per second by this process, and the same limit on writes.
    #[serde(default = "default_calls")]
    pub calls_per_second: f64,
    /// The file that holds the key for signing bound tokens; the same in the whole fleet.
    pub token_key_file: PathBuf,
}

/// Limits and intervals of dispatch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DispatchSection {
    /// The policy of the pools: `tiered`, or a baseline for experiments.
    pub policy: PolicyKind,
    /// The limit on the tickets in one pool's queue.
    pub queue_limit: usize,
    /// The interval between load reports of one backend server, in milliseconds.
    pub report_interval_ms: u64,
    /// Whether requests of a full pool may spill over to another data centre.
    pub spill: bool,
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// The log level: `error`, `warn`, `info` or `debug`.
    pub level: LogLevel,
    /// Whether log lines are JSON.
    pub json: bool,
}

/// A log level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Logs only failures.
    Error,
    /// Logs failures and what may lead to them.
    Warn,
    /// Also logs changes of state.
    Info,
    /// Logs everything.
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

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The line, counted from 1, if known.
    pub line: Option<usize>,
    /// The key, with its section.
    pub key: String,
    /// The error and the expected value.
    pub message: String,
}

/// All errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The errors; at least one.
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
    /// Reads and checks a settings file.
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

    /// Parses and checks the text of a settings file.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        crate::settings_check::parse(text).map_err(|faults| SettingsError {
            file: file.to_owned(),
            faults,
        })
    }
}
