//! Execution of a scenario on a new deployment for each policy.

use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_decide::PolicyKind;
use oleander_load::{
    FaultAction, LoadRun, LoadTargets, ReconcileInput, RunReport, Scenario, TierCheck, TierReport,
};

use crate::deployment::{DeployError, Deployment};

/// The time limit for all entry VMs of a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The time before a shed within which a grant to a lower tier counts as made in place of the
/// shed request.
const TIER_WINDOW: Span = Span::from_millis(100);
/// The number of journal lines that are read from each entry VM.
const MAX_JOURNAL_LINES: usize = 1_000_000;

/// The result of one scenario with one policy.
#[derive(Debug)]
pub struct ExperimentResult {
    /// The policy.
    pub policy: PolicyKind,
    /// The load tool's report, reconciled with the stand-ins' counters.
    pub report: RunReport,
    /// The check of the tier promise over all entry VMs' journals.
    pub tiers: TierReport,
}

/// Runs a scenario once for each policy, each time on a new deployment.
pub fn run_experiment(
    scenario: &Scenario,
    policies: &[PolicyKind],
) -> Result<Vec<ExperimentResult>, DeployError> {
    policies
        .iter()
        .map(|policy| run_policy(scenario, *policy))
        .collect()
}

/// Runs a scenario with one policy on a new deployment.
pub fn run_policy(
    scenario: &Scenario,
    policy: PolicyKind,
) -> Result<ExperimentResult, DeployError> {
    let deployment = Arc::new(Deployment::spawn(scenario, policy)?);
    if !deployment.wait_until_ready(READY_TIMEOUT) {
        return Err(DeployError::NotReady);
    }
    let targets = LoadTargets {
        entries: deployment.callers(),
        policy: policy.to_string(),
    };
    let fault_target = Arc::clone(&deployment);
    let on_fault = Box::new(move |action: &FaultAction| fault_target.inject_fault(action));
    let run = LoadRun::spawn(scenario, targets, on_fault)?;
    let mut report = run.finish();
    report.reconcile(&ReconcileInput::gather(
        &deployment.engines,
        &deployment.services,
    ));
    let mut check = TierCheck::new();
    for entry in &deployment.entries {
        check.add_log(&entry.node.journal.lines(0, MAX_JOURNAL_LINES));
    }
    let tiers = check.run(&report.records, TIER_WINDOW);
    Ok(ExperimentResult {
        policy,
        report,
        tiers,
    })
}
