//! An outage of the platform's store under load, during which a VM restarts.

mod common;

use common::fleet::Fleet;
use common::wait::wait_for;
use oleander_load::CallOutcome;
use oleander_standin::{FaultPlan, OutageKind};

#[test]
fn vm_that_starts_while_the_store_is_unavailable_gets_the_records_from_its_peers() {
    let fleet = Fleet::start(include_str!("common/small.toml"));
    let run = fleet.load(|_| {});
    let down = FaultPlan {
        outage: OutageKind::Close,
        ..FaultPlan::default()
    };
    fleet.deployment.platform.set_faults(down);
    let restarted = &fleet.vms[3];
    let revision = fleet.revision(&fleet.vms[0]);
    restarted.kill();
    restarted.start();
    wait_for("the restarted VM serves without the store", || {
        restarted.is_ready()
    });
    assert!(fleet.revision(restarted) >= revision);
    let report = fleet.finish(run);
    assert!(report.count(CallOutcome::Whole) > 0);
    fleet.deployment.platform.set_faults(FaultPlan::default());
    wait_for("a record is accepted again after the outage", || {
        let stop = serde_json::json!({
            "schema": 1, "name": "maintenance", "reason": "new power supply",
            "target": {"kind": "backend", "name": "editors-0"},
        });
        let answer = fleet.change(restarted, "stop", "maintenance", None, Some(&stop));
        answer.is_some_and(|answer| answer.status == 200)
    });
    let revision = fleet.revision(restarted);
    for vm in &fleet.vms {
        wait_for("the record is in force everywhere", || {
            fleet.revision(vm) >= revision
        });
    }
}
