//! A complete small deployment on loopback: entry VMs, stand-ins, records and keys.
//!
//! The demonstration, the experiments and the integration tests all start the system as a
//! [`Deployment`] of a scenario, so that they show, measure and test the same system.

mod deployment;
mod experiment;
mod plan;
mod secrets;

pub use deployment::{DeployError, DeployedEntry, Deployment};
pub use experiment::{ExperimentResult, run_experiment, run_policy};
pub use plan::PlanDocument;
pub use secrets::{EntryFiles, FleetSecrets};

/// The scenario of the demonstration, in TOML.
pub const DEMO_SCENARIO: &str = include_str!("../../../scenarios/demo.toml");
