//! Tests that answers stay complete when an engine crashes under load.

use std::sync::Arc;
use std::time::Duration;

use oleander_decide::PolicyKind;
use oleander_demo::{DEMO_SCENARIO, Deployment};
use oleander_load::{CallOutcome, FaultAction, LoadRun, LoadTargets, ReconcileInput, Scenario};
use oleander_standin::EngineFault;

#[test]
fn crashed_engine_breaks_no_answer() {
    let mut scenario = Scenario::parse(DEMO_SCENARIO).unwrap();
    scenario.demand = 0.5;
    scenario.duration_s = 10.0;
    let deployment = Arc::new(Deployment::spawn(&scenario, PolicyKind::Tiered).unwrap());
    assert!(deployment.wait_until_ready(Duration::from_secs(60)));
    let targets = LoadTargets {
        entries: deployment.callers(),
        policy: "tiered".to_owned(),
    };
    let run = LoadRun::spawn(&scenario, targets, Box::new(|_: &FaultAction| {})).unwrap();
    let engine = &deployment.engines[0];
    while engine.started_tags().len() < 5 {
        std::thread::sleep(Duration::from_millis(20));
    }
    engine
        .fault(EngineFault::Crash {
            for_ms: Some(3_000),
        })
        .unwrap();
    let mut report = run.finish();
    let reconciled = report.reconcile(&ReconcileInput::gather(
        &deployment.engines,
        &deployment.services,
    ));
    let ends = &report.totals.outcomes;
    for bad in [
        CallOutcome::Broken,
        CallOutcome::Failed,
        CallOutcome::Truncated,
        CallOutcome::Mixed,
    ] {
        assert_eq!(
            report.count(bad),
            0,
            "{bad:?} of {ends:?}, codes {:?}",
            report.totals.codes
        );
    }
    assert_eq!(reconciled.doubled_effects, 0);
    assert!(report.count(CallOutcome::Whole) > 100, "{ends:?}");
}
