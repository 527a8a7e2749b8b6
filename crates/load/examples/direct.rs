//! Runs a scenario directly against its engines, without entry VMs in between.
//!
//! Requests go to random engines regardless of their speed. The results show the behaviour of the
//! stand-ins and the load tool alone, as a baseline for runs through entry VMs.

use std::error::Error;
use std::path::Path;

use oleander_load::{
    FaultAction, LoadRun, LoadTargets, ReconcileInput, Scenario, class_table, comparison_table,
};
use oleander_standin::EngineStandIn;

fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args().nth(1).ok_or("usage: direct SCENARIO")?;
    let mut scenario = Scenario::read(Path::new(&path))?;
    scenario.operations.clear();
    scenario.faults.clear();
    let plans = scenario.deployment.engine_plans();
    let engines: Vec<_> = plans
        .into_iter()
        .map(|plan| EngineStandIn::bind(plan.settings))
        .collect::<Result<_, _>>()?;
    let targets = LoadTargets {
        entries: engines.iter().map(EngineStandIn::address).collect(),
        policy: "direct".to_owned(),
    };
    let run = LoadRun::spawn(&scenario, targets, Box::new(|_: &FaultAction| {}))?;
    let mut report = run.finish();
    report.reconcile(&ReconcileInput::gather(&engines, &[]));
    println!("{}", comparison_table(&[&report]));
    println!("{}", class_table(&[&report]));
    println!("lateness: {:?}", report.lateness);
    println!("outcomes: {:?}", report.totals.outcomes);
    println!("codes: {:?}", report.totals.codes);
    println!("offered share: {:.3}", report.totals.offered_share);
    println!("settled: {:?}", report.reconciled);
    Ok(())
}
