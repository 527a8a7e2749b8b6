//! Planned stops of backend servers and entry VMs, and concurrent changes by operators.

mod common;

use std::time::Duration;

use common::fleet::Fleet;
use common::wait::wait_for;
use oleander_load::CallOutcome;
use serde_json::json;

const SMALL: &str = include_str!("common/small.toml");
/// Time within which new work stops after the first sign that a server leaves.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn stopped_engine_finishes_its_streams_gets_no_new_work_and_comes_back() {
    let fleet = Fleet::start(&SMALL.replace("duration_s = 12.0", "duration_s = 20.0"));
    let run = fleet.load(|_| {});
    let engine = fleet
        .deployment
        .engines
        .iter()
        .find(|e| e.settings().name == "editors-1")
        .unwrap();
    wait_for("the engine works", || !engine.started_tags().is_empty());
    let stop = json!({
        "schema": 1, "name": "maintenance", "reason": "new power supply",
        "target": {"kind": "backend", "name": "editors-1"},
    });
    let answer = fleet
        .change(&fleet.vms[0], "stop", "maintenance", None, Some(&stop))
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    std::thread::sleep(LEAVE_LIMIT);
    let after_limit = engine.started_tags().len();
    std::thread::sleep(LEAVE_LIMIT);
    assert_eq!(
        engine.started_tags().len(),
        after_limit,
        "new work on a leaving engine"
    );
    let revision =
        serde_json::from_str::<serde_json::Value>(&answer.body).unwrap()["revision"].as_u64();
    let answer = fleet
        .change(&fleet.vms[3], "stop", "maintenance", revision, None)
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    wait_for("the engine gets work again", || {
        engine.started_tags().len() > after_limit
    });
    let report = fleet.finish(run);
    let ends = &report.totals.outcomes;
    assert_eq!(
        report.count(CallOutcome::Broken) + report.count(CallOutcome::Failed),
        0,
        "{ends:?}"
    );
}

#[test]
fn planned_stop_of_an_entry_vm_fails_its_readiness_and_can_be_taken_back() {
    let fleet = Fleet::start(SMALL);
    let stopped = &fleet.vms[2];
    let address = stopped.settings.peers.advertise.unwrap().to_string();
    let stop = json!({
        "schema": 1, "name": "replace-vm", "reason": "kernel update",
        "target": {"kind": "entry", "name": address},
    });
    let answer = fleet
        .change(&fleet.vms[0], "stop", "replace-vm", None, Some(&stop))
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    wait_for("the stopped VM is not ready", || !stopped.is_ready());
    let revision =
        serde_json::from_str::<serde_json::Value>(&answer.body).unwrap()["revision"].as_u64();
    let answer = fleet
        .change(&fleet.vms[0], "stop", "replace-vm", revision, None)
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    wait_for("the VM serves again", || stopped.is_ready());
    fleet.wait_until_converged();
}

#[test]
fn one_of_forty_concurrent_operators_wins_a_revision() {
    let fleet = Fleet::start(SMALL);
    let class = |target: u64| {
        json!({
            "schema": 2, "name": "archive-compare", "tier": 3, "first_token_target_ms": target,
        })
    };
    let first = fleet
        .change(
            &fleet.vms[0],
            "class",
            "archive-compare",
            None,
            Some(&class(1)),
        )
        .unwrap();
    let revision =
        serde_json::from_str::<serde_json::Value>(&first.body).unwrap()["revision"].as_u64();
    for vm in &fleet.vms {
        wait_for("the record is known everywhere", || {
            Some(fleet.revision(vm)) >= revision
        });
    }
    let answers: Vec<u16> = std::thread::scope(|scope| {
        let writers: Vec<_> = (0..40)
            .map(|number| {
                let (fleet, class) = (&fleet, &class);
                let vm = &fleet.vms[number % fleet.vms.len()];
                scope.spawn(move || {
                    let document = class(1_000 + number as u64);
                    let change =
                        || fleet.change(vm, "class", "archive-compare", revision, Some(&document));
                    let mut answer = change();
                    // The call budget may refuse a write, which then has not taken effect.
                    while answer.as_ref().is_none_or(|answer| answer.status == 503) {
                        std::thread::sleep(Duration::from_millis(200));
                        answer = change();
                    }
                    answer.unwrap().status
                })
            })
            .collect();
        writers
            .into_iter()
            .map(|writer| writer.join().unwrap())
            .collect()
    });
    assert_eq!(
        answers.iter().filter(|status| **status == 200).count(),
        1,
        "{answers:?}"
    );
    assert_eq!(
        answers.iter().filter(|status| **status == 409).count(),
        39,
        "{answers:?}"
    );
}
