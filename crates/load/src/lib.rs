//! The load tool: open-loop traffic from a scenario, checked answers and a report.
//!
//! A [`Scenario`] says what runs (engines, plain services, customers, classes), how much is asked
//! of it and which faults happen when. The [`Schedule`] fixes every request and its time before
//! the run, from the seed alone, so that a slow system does not slow its own load; latency counts
//! from the scheduled time. [`LoadRun`] plays the schedule against entry VMs and checks every
//! answer's stamps. [`RunReport`] holds attainment, goodput and waste by class and customer, and
//! [`TierCheck`] counts breaks of the tier promise in the dispatchers' event logs.

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
