//! The border between the operators' pages and the entry VM's program.

use std::future::Future;
use std::pin::Pin;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::screen::FleetScreen;

/// A boxed future that may move between threads.
pub type ApiFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A record as it is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    /// The kind, for example `customer`.
    pub kind: String,
    /// The name.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The document as JSON text.
    pub document: String,
}

/// A change of one record that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordChange {
    /// The kind.
    pub kind: String,
    /// The name.
    pub name: String,
    /// The revision that the operator has seen; none for a record that must not exist yet.
    pub expected: Option<u64>,
    /// The new document in JSON or TOML; none deletes the record.
    pub document: Option<String>,
}

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeDone {
    /// The revision of the change.
    pub revision: u64,
    /// Whether the outcome was unknown at first and was settled by reading the record again.
    pub was_unknown: bool,
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ChangeRefusal {
    /// The document is wrong.
    #[error("{}", messages.join("\n"))]
    Invalid {
        /// Every mistake, with its place and what would be right.
        messages: Vec<String>,
    },
    /// Another operator was first.
    #[error("conflict: {}; read it again and repeat the change", describe_current(*.current))]
    Conflict {
        /// The revision now, or none if the record does not exist.
        current: Option<u64>,
    },
    /// The platform's service does not answer; the change did not take effect.
    #[error("the platform's service is away; the change did not take effect: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// Nobody can tell whether the change took effect.
    #[error("the outcome is unknown; read the record later to see: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
}

fn describe_current(current: Option<u64>) -> String {
    match current {
        Some(revision) => format!("the record is now at revision {revision}"),
        None => "the record is not there now".to_owned(),
    }
}

impl ChangeRefusal {
    /// Returns whether the change may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// One figure of the metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricPoint {
    /// Labels and their values, in a fixed order.
    pub labels: Vec<MetricLabel>,
    /// The value.
    pub value: f64,
}

/// One label of a figure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricLabel {
    /// The name.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// Whether a metric only grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows while the process lives.
    Counter,
    /// It goes up and down.
    Gauge,
}

/// A metric that the process offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricDescriptor {
    /// The name.
    pub name: &'static str,
    /// Its unit in the notation of UCUM.
    pub unit: &'static str,
    /// What it tells.
    pub description: &'static str,
    /// Whether it only grows.
    pub kind: MetricKind,
}

/// Where the operators' pages get what they show.
pub trait OperatorApi: Send + Sync {
    /// Returns the state of the fleet; also notes that somebody is watching.
    fn screen(&self) -> FleetScreen;

    /// Returns the whole state of this process as text.
    fn dump_text(&self) -> String;

    /// Returns the whole state of this process as JSON text.
    fn dump_json(&self) -> String;

    /// Returns entries of the decision journal as JSON lines.
    fn journal(&self, after: u64, limit: usize) -> String;

    /// Returns the metrics that the process offers.
    fn metric_descriptors(&self) -> &'static [MetricDescriptor];

    /// Returns the figures of one metric now.
    fn metric_points(&self, name: &str) -> Vec<MetricPoint>;

    /// Returns the records in force.
    fn records(&self) -> Vec<RecordLine>;

    /// Checks a change without making it.
    fn check(&self, change: RecordChange) -> Result<(), ChangeRefusal>;

    /// Makes a change; an unknown outcome is settled within a time limit, or said to be unknown.
    fn change(&self, change: RecordChange) -> ApiFuture<Result<ChangeDone, ChangeRefusal>>;
}
