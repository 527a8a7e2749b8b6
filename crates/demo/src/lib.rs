//! A whole small deployment on loopback: entry VMs, stand-ins, records and keys.
//!
//! The demonstration, the experiments and the integration tests all start the system through a
//! [`Deployment`] of a scenario, so that what is measured is what is shown and tested.

mod deployment;
mod experiment;
mod plan;
mod secrets;

pub use deployment::{DeployError, DeployedEntry, Deployment};
pub use experiment::{ExperimentResult, run_experiment, run_policy};
pub use plan::PlanDocument;
pub use secrets::{EntryFiles, FleetSecrets};

/// The scenario of the demonstration.
pub const DEMO_SCENARIO: &str = include_str!("../../../scenarios/demo.toml");
