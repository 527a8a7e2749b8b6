//! The load tool: generates open-loop traffic from a scenario, checks the answers and writes a
//! report.
//!
//! A [`Scenario`] describes the deployment (engines, plain services), the customers and classes,
//! the offered load and the timed faults. The [`Schedule`] fixes every request and its time before
//! the run, from the scenario and its seed alone, so that a slow system does not reduce its own
//! load; latency is measured from the scheduled time. [`LoadRun`] sends the scheduled calls to
//! entry VMs and checks the tagged tokens of every model answer. [`RunReport`] holds attainment
//! and goodput by class and customer and the share of wasted tokens, and [`TierCheck`] counts
//! violations of the tier promise in the dispatchers' event logs.

mod answer;
mod caller;
mod classify;
mod completion;
mod deployment;
mod operation;
mod outcome;
mod prompt;
mod reconcile;
mod report;
mod run;
mod scenario;
mod schedule;
mod stats;
mod table;
mod tier;
mod timeline;

pub use deployment::{DeploymentPlan, EngineGroup, EnginePlan, ServiceGroup, ServicePlan};
pub use outcome::{CallOutcome, CallRecord, CallSubject};
pub use reconcile::{ReconcileInput, ReconcileReport};
pub use report::{RunReport, RunTotals};
pub use run::{FaultCallback, LoadRun, LoadTargets};
pub use scenario::{
    BurstPlan, ClassPlan, CustomerPlan, OperationPlan, Scenario, ScenarioError, SizePlan,
};
pub use schedule::{PlannedCall, PlannedKind, Schedule};
pub use stats::{GroupReport, GroupStats, LatencySummary};
pub use table::{class_table, comparison_table, customer_table};
pub use tier::{DispatchEvent, DispatchEventKind, TierCheck, TierReport};
pub use timeline::{FaultAction, FaultEvent};
