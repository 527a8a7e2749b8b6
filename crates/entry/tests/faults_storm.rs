//! Non-idempotent calls under random faults: each takes effect at most once, and its verdict is
//! true.
//!
//! One seed of a short run is the default. The long form is `OLEANDER_STORM_SEEDS=10
//! OLEANDER_STORM_SECONDS=30 cargo test --release -p oleander-entry --test faults_storm --
//! --nocapture`.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::fleet::Fleet;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::PolicyKind;
use oleander_demo::Deployment;
use oleander_entry::EntryProcess;
use oleander_load::{
    CallOutcome, FaultAction, LoadRun, LoadTargets, ReconcileInput, RunReport, Scenario,
};
use oleander_once::{MonoClock, OpenGuard};
use oleander_standin::{FaultPlan, OutageKind, ServiceFault};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const SMALL: &str = include_str!("common/small.toml");
/// Calls per second of the non-idempotent operation at a demand of 1; the scenario's demand is a
/// tenth.
const CALL_RATE: u64 = 1_500;

/// Returns a scenario with mostly publish calls, half of which are sent twice at once.
fn storm_scenario(seed: u64, seconds: u64) -> String {
    SMALL
        .replace("seed = 21", &format!("seed = {seed}"))
        .replace("duration_s = 12.0", &format!("duration_s = {seconds}.0"))
        .replace("demand = 0.4", "demand = 0.1")
        .replace("entries = 4", "entries = 6")
        .replace(
            "rate = 5.0\nrepeat_share = 0.2",
            &format!("rate = {CALL_RATE}.0\nrepeat_share = 0.5"),
        )
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn random_faults_cause_no_doubled_effect_and_no_false_verdict() {
    let seconds = setting("OLEANDER_STORM_SECONDS", 15);
    for seed in 1..=setting("OLEANDER_STORM_SEEDS", 1) {
        let fleet = Fleet::start(&storm_scenario(seed, seconds));
        let run = fleet.load(|_| {});
        let traffic_ended = Arc::new(AtomicBool::new(false));
        let injector = {
            let (fleet, traffic_ended) = (Arc::clone(&fleet), Arc::clone(&traffic_ended));
            std::thread::spawn(move || inject_faults(&fleet, seed, &traffic_ended))
        };
        while run.ended() < run.planned() {
            std::thread::sleep(Duration::from_millis(100));
        }
        traffic_ended.store(true, Ordering::Relaxed);
        let faults = injector.join().unwrap();
        let report = fleet.finish(run);
        let unanswered = without_verdict(&report);
        println!(
            "seed {seed}: {faults} faults, {:?}, {:?}",
            report.totals.outcomes, report.totals.verdicts
        );
        assert_eq!(
            unanswered, 0,
            "calls that the system answered without a verdict"
        );
        assert!(report.count(CallOutcome::Whole) > 0);
    }
}

/// Counts the system's answers without a verdict; a broken connection is not an answer.
fn without_verdict(report: &RunReport) -> usize {
    let operations = report
        .records
        .iter()
        .filter(|call| call.operation.is_some());
    let answered = operations.filter(|call| call.request.is_some());
    answered
        .filter(|call| call.outcome != CallOutcome::Broken && call.verdict.is_none())
        .count()
}

/// Injects one fault after another until the traffic ends, and returns their number.
fn inject_faults(fleet: &Fleet, seed: u64, traffic_ended: &AtomicBool) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = 0;
    while !traffic_ended.load(Ordering::Relaxed) {
        let vm = &fleet.vms[random.next_u32() as usize % fleet.vms.len()];
        let pause = Duration::from_millis(u64::from(random.next_u32() % 1_500) + 100);
        let service = &fleet.deployment.services[random.next_u32() as usize % 2];
        match random.next_u32() % 7 {
            0 => {
                vm.kill();
                std::thread::sleep(pause);
                vm.start();
            }
            1 => {
                vm.signal("-STOP");
                std::thread::sleep(pause * 3);
                vm.signal("-CONT");
            }
            2 => fleet.deployment.platform.drop_write_answers(3),
            3 => {
                let down = FaultPlan {
                    outage: OutageKind::Close,
                    ..FaultPlan::default()
                };
                fleet.deployment.platform.set_faults(down);
                std::thread::sleep(pause);
                fleet.deployment.platform.set_faults(FaultPlan::default());
            }
            4 => service
                .fault(ServiceFault::CloseBefore { count: 5 })
                .unwrap(),
            5 => service
                .fault(ServiceFault::CloseAfterEffect { count: 5 })
                .unwrap(),
            _ => {
                fleet.net.partition(&[&[0, 2, 4], &[1, 3, 5]]);
                std::thread::sleep(pause * 2);
                fleet.net.heal();
            }
        }
        faults += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    faults
}

#[derive(Debug)]
struct TestClock;

impl MonoClock for TestClock {
    fn now(&self) -> MonoTime {
        monotonic_now()
    }
}

#[test]
fn without_the_guard_the_checker_finds_doubled_effects() {
    let scenario = Scenario::parse(&storm_scenario(1, 4)).unwrap();
    let mut without_entries = scenario.clone();
    without_entries.deployment.entries = 0;
    let deployment = Deployment::spawn(&without_entries, PolicyKind::Tiered).unwrap();
    let mut seeds = Vec::new();
    let mut entries = Vec::new();
    for name in ["ke-entry-0", "ke-entry-1"] {
        let settings = deployment.entry_settings(name, "ke", &seeds).unwrap();
        let guard = OpenGuard::open(Arc::new(TestClock));
        let entry = EntryProcess::spawn_with(settings, Some(guard)).unwrap();
        seeds.push(entry.node().me.address);
        entries.push(entry);
    }
    common::wait::wait_for("both serve", || {
        entries
            .iter()
            .all(|entry| entry.node().is_ready() && entry.node().view().members.len() == 2)
    });
    let targets = LoadTargets {
        entries: entries.iter().map(EntryProcess::callers).collect(),
        policy: "unguarded".to_owned(),
    };
    let run = LoadRun::spawn(&scenario, targets, Box::new(|_: &FaultAction| {})).unwrap();
    let mut report = run.finish();
    let reconciled = report.reconcile(&ReconcileInput::gather(
        &deployment.engines,
        &deployment.services,
    ));
    assert!(
        reconciled.doubled_effects > 0,
        "{:?}",
        report.totals.outcomes
    );
}
