//! Whole runs against engine stand-ins in place of entry VMs.
//!
//! The stand-ins serve the same completion interface as entry VMs, so a run can call them directly.

use std::sync::Arc;

use oleander_load::{
    CallOutcome, FaultAction, FaultCallback, FaultEvent, LoadRun, LoadTargets, ReconcileInput,
    RunReport, Scenario, class_table, comparison_table, customer_table,
};
use oleander_standin::{EngineFault, EngineStandIn};

const SCENARIO: &str = r#"
name = "small"
seed = 7
duration_s = 2.0
warmup_s = 0.2
demand = 0.4

[deployment]
centres = ["one"]
entries = 1

[[deployment.engines]]
name = "engine"
count = 2
model = "m"
speeds = [1.0, 2.0]
batch_limit = 8
alone_tokens_per_second = 600.0
full_tokens_per_second = 400.0
prefill_tokens_per_second = 50000.0

[[customers]]
name = "a"
key = "key-a"
weight = 2.0

[[customers]]
name = "b"
key = "key-b"
weight = 1.0

[[classes]]
name = "streamed"
model = "m"
tier = 0
demand_share = 0.6
first_token_target_ms = 60000
token_gap_target_ms = 60000
patience_ms = 60000
goodput_weight = 2.0
minimum_share = 0.05
prompt = { mean = 50.0, spread = 0.5, limit = 200 }
answer = { mean = 30.0, spread = 0.5, limit = 100 }
prefixes = 3

[[classes]]
name = "whole"
model = "m"
tier = 1
demand_share = 0.4
first_token_target_ms = 60000
token_gap_target_ms = 60000
patience_ms = 60000
goodput_weight = 1.0
minimum_share = 0.05
prompt = { mean = 50.0, limit = 200 }
answer = { mean = 30.0, limit = 100 }
stream = false
"#;

fn bind(scenario: &Scenario) -> Arc<Vec<EngineStandIn>> {
    let plans = scenario.deployment.engine_plans();
    let engines = plans
        .into_iter()
        .map(|plan| EngineStandIn::bind(plan.settings).unwrap());
    Arc::new(engines.collect())
}

fn targets(engines: &[EngineStandIn]) -> LoadTargets {
    LoadTargets {
        entries: engines.iter().map(EngineStandIn::address).collect(),
        policy: "direct".to_owned(),
    }
}

fn fault_callback(engines: &Arc<Vec<EngineStandIn>>) -> FaultCallback {
    let engines = engines.clone();
    Box::new(move |action| {
        let FaultAction::Engine { name, fault } = action else {
            return;
        };
        let mut all = engines.iter();
        let engine = all.find(|engine| engine.settings().name == *name);
        engine.unwrap().fault(*fault).unwrap();
    })
}

fn run(scenario: &Scenario, engines: &Arc<Vec<EngineStandIn>>) -> RunReport {
    let run = LoadRun::spawn(scenario, targets(engines), fault_callback(engines)).unwrap();
    let planned = run.planned();
    assert!(planned > 50);
    let mut report = run.finish();
    assert_eq!(report.records.len() as u64, planned);
    report.reconcile(&ReconcileInput::gather(engines, &[]));
    report
}

#[test]
fn every_answer_is_whole_and_nothing_is_wasted() {
    let scenario = Scenario::parse(SCENARIO).unwrap();
    let engines = bind(&scenario);
    let report = run(&scenario, &engines);
    let reconciled = report.reconciled.unwrap();
    assert_eq!(report.totals.outcomes.len(), 1);
    assert!(report.count(CallOutcome::Whole) > 50);
    assert_eq!(reconciled.generated, reconciled.delivered);
    assert_eq!(report.totals.attainment, 1.0);
    assert!(report.class("streamed").unwrap().gap.count > 0);
    assert!(report.totals.goodput_share > 0.0);
    let offered: u64 = report.customers.iter().map(|group| group.offered).sum();
    let by_class: u64 = report.classes.iter().map(|group| group.offered).sum();
    assert_eq!(offered, by_class);

    let reports = [&report];
    assert_eq!(comparison_table(&reports).lines().count(), 3);
    assert_eq!(class_table(&reports).lines().count(), 4);
    assert_eq!(customer_table(&reports).lines().count(), 4);
    let json: serde_json::Value = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(json["classes"][0]["name"], "streamed");
}

fn crashing_scenario() -> Scenario {
    let mut scenario = Scenario::parse(SCENARIO).unwrap();
    scenario.demand = 0.9;
    scenario.faults.push(FaultEvent {
        at_s: 1.0,
        action: FaultAction::Engine {
            name: "engine-0".to_owned(),
            fault: EngineFault::Crash { for_ms: None },
        },
    });
    scenario
}

#[test]
fn reconnecting_callers_get_whole_answers() {
    // The remaining engine must be able to take over the whole load.
    let mut scenario = crashing_scenario();
    scenario.demand = 0.5;
    for class in &mut scenario.classes {
        class.reconnects = 3;
    }
    let engines = bind(&scenario);
    let report = run(&scenario, &engines);
    assert!(report.records.iter().any(|record| record.reconnects > 0));
    assert_eq!(report.totals.outcomes.len(), 1, "{:?}", report.totals);
    assert!(report.count(CallOutcome::Whole) > 50);
}

#[test]
fn a_crash_is_reported_as_broken_calls_and_waste() {
    let scenario = crashing_scenario();
    let engines = bind(&scenario);
    let report = run(&scenario, &engines);
    let reconciled = report.reconciled.unwrap();
    let broken = report.count(CallOutcome::Broken) + report.count(CallOutcome::Failed);
    assert!(broken > 0);
    assert_eq!(report.count(CallOutcome::Truncated), 0);
    assert_eq!(report.count(CallOutcome::Mixed), 0);
    assert!(reconciled.generated > reconciled.delivered);
    assert_eq!(reconciled.false_not_run, 0);
    assert!(engines[0].totals().crashed > 0);
}
