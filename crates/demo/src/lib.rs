//! A whole small deployment on loopback: entry VMs, stand-ins, records and keys.
//!
//! The demonstration, the experiments and the integration tests all start the system through a
//! [`DeploymentPlan`], so that what is measured is what is shown and tested.

mod deployment;
mod plan;
mod secrets;

pub use deployment::{DeployError, Deployment};
pub use plan::{CentrePlan, DeploymentPlan, EnginePlan, PlanDocument, ServicePlan};
pub use secrets::FleetSecrets;
