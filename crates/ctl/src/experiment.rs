//! The `oleanderctl experiment` command.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

use clap::ArgMatches;
use oleander_decide::PolicyKind;
use oleander_demo::{ExperimentResult, run_policy};
use oleander_load::{RunReport, Scenario, class_table, comparison_table, customer_table};

use crate::failure::CommandFailure;
use crate::progress::spinner;

/// Runs a scenario with each chosen policy and compares the results.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), CommandFailure> {
    let file = matches
        .get_one::<PathBuf>("scenario")
        .expect("clap requires the argument");
    let scenario = Scenario::read(file)?;
    let mut results = Vec::new();
    for policy in policies(matches) {
        let bar = spinner(&format!("{} with {policy}", scenario.name));
        let result = run_policy(&scenario, policy);
        bar.finish_and_clear();
        results.push(result?);
    }
    print_results(&results);
    if let Some(file) = matches.get_one::<PathBuf>("markdown") {
        append(file, &scenario, &results)?;
    }
    check_promises(&results)
}

fn policies(matches: &ArgMatches) -> Vec<PolicyKind> {
    match matches.get_many::<String>("policy") {
        Some(names) => names.filter_map(|name| name.parse().ok()).collect(),
        None => PolicyKind::ALL.to_vec(),
    }
}

/// Prints the result tables of all runs.
pub(crate) fn print_results(results: &[ExperimentResult]) {
    println!("{}", tables(results));
}

fn tables(results: &[ExperimentResult]) -> String {
    let reports: Vec<&RunReport> = results.iter().map(|result| &result.report).collect();
    let mut text = format!(
        "{}\n{}\n",
        comparison_table(&reports),
        class_table(&reports)
    );
    text.push_str(&customer_table(&reports));
    text.push('\n');
    for result in results {
        let tiers = &result.tiers;
        text.push_str(&format!(
            "{}: tier promise broken {} times in {} sheds ({} not in a journal)\n",
            result.policy,
            tiers.break_count(),
            tiers.sheds,
            tiers.unlogged_sheds,
        ));
        for line in &tiers.breaks {
            text.push_str(&format!("  {line}\n"));
        }
        text.push_str(&format!(
            "{}: error codes {:?}\n",
            result.policy, result.report.totals.codes
        ));
        if let Some(reconciled) = &result.report.reconciled {
            text.push_str(&format!(
                "{}: doubled effects {}, lost effects {}, \"not run\" that ran {}, wasted tokens {:.3}\n",
                result.policy,
                reconciled.doubled_effects,
                reconciled.lost_effects,
                reconciled.false_not_run + reconciled.false_not_run_effects,
                reconciled.wasted_share,
            ));
        }
    }
    text
}

fn append(
    file: &PathBuf,
    scenario: &Scenario,
    results: &[ExperimentResult],
) -> Result<(), CommandFailure> {
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    let header = format!(
        "## {}\n\nSeed {}, {} entry VMs, demand {:.2}, {:.0} s of which {:.0} s are not measured.\n",
        scenario.name,
        scenario.seed,
        scenario.deployment.entries,
        scenario.demand,
        scenario.duration_s,
        scenario.warmup_s,
    );
    writeln!(file, "{header}\n{}", tables(results))?;
    Ok(())
}

/// Fails if a run of the tiered policy broke a promise; the baseline policies make none.
pub(crate) fn check_promises(results: &[ExperimentResult]) -> Result<(), CommandFailure> {
    for result in results
        .iter()
        .filter(|result| result.policy == PolicyKind::Tiered)
    {
        let breaks = result.tiers.break_count();
        let reconciled = result.report.reconciled.unwrap_or_default();
        let violations = reconciled.doubled_effects
            + reconciled.false_not_run
            + reconciled.false_not_run_effects;
        if breaks > 0 || violations > 0 {
            let message = format!(
                "{breaks} breaks of the tier promise, {violations} wrong effects or verdicts"
            );
            return Err(CommandFailure::BrokenPromise(message));
        }
    }
    Ok(())
}
