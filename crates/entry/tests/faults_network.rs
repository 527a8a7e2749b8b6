//! Data centres that lose the connection to each other and to the platform.

mod common;

use common::fleet::Fleet;
use common::http::send;
use common::wait::wait_for;
use oleander_load::CallOutcome;
use serde_json::json;

const SMALL: &str = include_str!("common/small.toml");

fn completes_at(fleet: &Fleet, vm: usize) -> bool {
    let body = json!({
        "model": "tatry-editor", "max_tokens": 5,
        "messages": [{"role": "user", "content": "summarise the complaint"}],
    });
    let headers = [
        ("authorization", "Bearer key-radio-regina"),
        ("content-type", "application/json"),
    ];
    let address = fleet.vms[vm].callers();
    let answer = send(
        address,
        "POST",
        "/v1/chat/completions",
        &headers,
        &body.to_string(),
    );
    answer.is_some_and(|answer| answer.status == 200)
}

#[test]
fn isolated_data_centre_keeps_serving_and_catches_up() {
    let fleet = Fleet::start(SMALL);
    let run = fleet.load(|_| {});
    fleet.net.partition(&[&[0, 2], &[1, 3]]);
    fleet.cut_platform(1, true);
    for vm in &fleet.vms {
        wait_for("each side sees only itself", || fleet.live_count(vm) == 2);
    }
    for vm in 0..4 {
        wait_for("each side serves", || completes_at(&fleet, vm));
    }
    let class = json!({
        "schema": 2, "name": "archive-compare", "tier": 3, "first_token_target_ms": 9000,
    });
    let answer = fleet
        .change(
            &fleet.vms[0],
            "class",
            "archive-compare",
            None,
            Some(&class),
        )
        .unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
    let revision = fleet.revision(&fleet.vms[0]);
    wait_for("the connected side has the record", || {
        fleet.revision(&fleet.vms[2]) >= revision
    });
    assert!(fleet.revision(&fleet.vms[1]) < revision);
    fleet.net.heal();
    // That data centre still cannot reach the platform, so the record must come from its peers.
    for vm in [1, 3] {
        wait_for("the cut side gets the record", || {
            fleet.revision(&fleet.vms[vm]) >= revision
        });
    }
    fleet.cut_platform(1, false);
    fleet.wait_until_converged();
    let report = fleet.finish(run);
    assert!(report.count(CallOutcome::Whole) > 0);
}

#[test]
fn record_is_in_force_although_the_answer_to_its_write_was_lost() {
    let fleet = Fleet::start(SMALL);
    fleet.deployment.platform.drop_write_answers(1);
    let class = json!({
        "schema": 2, "name": "archive-compare", "tier": 3, "first_token_target_ms": 9000,
    });
    let answer = fleet
        .change(
            &fleet.vms[0],
            "class",
            "archive-compare",
            None,
            Some(&class),
        )
        .unwrap();
    assert!(
        [200, 504].contains(&answer.status),
        "{} {}",
        answer.status,
        answer.body
    );
    for vm in &fleet.vms {
        wait_for("the record is in force everywhere", || {
            let records = fleet.operator(vm, "GET", "/records", "");
            records.is_some_and(|records| records.body.contains("archive-compare"))
        });
    }
}
