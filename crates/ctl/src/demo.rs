//! The `oleanderctl demo` command.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use oleander_decide::PolicyKind;
use oleander_demo::{DEMO_SCENARIO, Deployment, run_policy};
use oleander_load::{FaultAction, LoadRun, LoadTargets, Scenario};

use crate::experiment::{check_promises, print_results};
use crate::failure::CommandFailure;
use crate::progress::spinner;

/// The time limit for all entry VMs of a deployment to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the scenario once, or repeatedly with `--keep`.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let scenario = match matches.get_one::<PathBuf>("scenario") {
        Some(file) => Scenario::read(file)?,
        None => Scenario::parse(DEMO_SCENARIO)?,
    };
    if matches.get_flag("keep") {
        return keep_running(&scenario);
    }
    println!(
        "{} entry VMs in {} data centres, {} engines; {:.0} s of traffic at {:.2} of capacity",
        scenario.deployment.entries,
        scenario.deployment.centres.len(),
        scenario.deployment.engine_plans().len(),
        scenario.duration_s,
        scenario.demand,
    );
    let bar = spinner("running");
    let result = run_policy(&scenario, PolicyKind::Tiered);
    bar.finish_and_clear();
    let results = [result?];
    print_results(&results);
    check_promises(&results)
}

/// Repeats the scenario's traffic until the process is terminated.
fn keep_running(scenario: &Scenario) -> Result<(), CommandFailure> {
    let deployment = Deployment::spawn(scenario, PolicyKind::Tiered)?;
    if !deployment.wait_until_ready(READY_TIMEOUT) {
        return Err(oleander_demo::DeployError::NotReady.into());
    }
    for entry in &deployment.entries {
        println!(
            "{}: callers http://{} screens http://{}/",
            entry.name, entry.callers, entry.operators
        );
    }
    println!("operators' key: {}", deployment.secrets.operator_key());
    println!("platform: http://{}", deployment.platform.address());
    println!("end it with Ctrl-C");
    loop {
        let targets = LoadTargets {
            entries: deployment.callers(),
            policy: deployment.policy.to_string(),
        };
        let run = LoadRun::spawn(scenario, targets, Box::new(|_: &FaultAction| {}))?;
        run.finish();
    }
}
