//! Tests the planner with reports, leases and records in any order.

use oleander_base::prelude::*;
use oleander_base::{EngineRole, LoadReport, LoadedModel, StopId};
use oleander_orders::{Difference, OrderLimits, OrderPlanner, compare};
use oleander_records::{
    BackendKind, BackendRecord, RecordSet, StopRecord, StopTarget, WantedState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CENTRE: &str = "c";

fn wanted(version: &str) -> WantedState {
    WantedState {
        model: "m".to_owned(),
        version: version.to_owned(),
        adapters: vec!["x".to_owned()],
        role: EngineRole::Full,
    }
}

fn record(index: u16, version: &str) -> BackendRecord {
    BackendRecord {
        name: format!("e{index}"),
        kind: BackendKind::Engine,
        centre: CENTRE.to_owned(),
        address: ([127, 0, 0, 1], index + 1).into(),
        serves: vec!["m".to_owned()],
        slots: 4,
        speed: 1.0,
        checks_fencing: false,
        wanted: Some(wanted(version)),
        routes: Vec::new(),
    }
}

fn fleet(count: u16, version: &str) -> RecordSet {
    let records = (0..count).map(|index| record(index, version));
    RecordSet {
        backends: records
            .map(|record| (BackendId::from_name(&record.name), record))
            .collect(),
        ..RecordSet::default()
    }
}

fn report(version: &str) -> LoadReport {
    LoadReport {
        age: Span::ZERO,
        running: 0,
        waiting: 0,
        batch_limit: 4,
        tokens_per_second: 0.0,
        cache_used: 0.0,
        role: EngineRole::Full,
        models: vec![LoadedModel {
            model: ModelId::from_name("m"),
            version: version.to_owned(),
            adapters: vec![AdapterId::from_name("x")],
        }],
        leaving: false,
    }
}

fn report_all(planner: &mut OrderPlanner, now: MonoTime, set: &RecordSet, version: &str) {
    for backend in set.backends.keys() {
        planner.on_report(now, *backend, report(version));
    }
}

fn at(secs: u64) -> MonoTime {
    MonoTime::default() + Span::from_secs(secs)
}

fn held_planner() -> OrderPlanner {
    let mut planner = OrderPlanner::new(OrderLimits::default());
    planner.set_fencing(at(0), Some(Revision(7)));
    planner
}

#[test]
fn differences_are_told_apart() {
    assert_eq!(compare(&wanted("1"), &report("1")), Difference::None);
    assert_eq!(compare(&wanted("2"), &report("1")), Difference::Load);
    let mut role = report("1");
    role.role = EngineRole::Prefill;
    assert_eq!(compare(&wanted("1"), &role), Difference::Reconfigure);
    let mut more = report("1");
    more.models[0].adapters.push(AdapterId::from_name("y"));
    assert_eq!(compare(&wanted("1"), &more), Difference::Reconfigure);
    let mut fewer = report("1");
    fewer.models[0].adapters.clear();
    assert_eq!(compare(&wanted("1"), &fewer), Difference::Load);
}

#[test]
fn loads_come_out_of_the_budget_and_leave_most_of_a_model_serving() {
    let set = fleet(8, "2");
    let mut planner = held_planner();
    report_all(&mut planner, at(0), &set, "1");
    assert!(planner.plan(at(0), &set, CENTRE).is_empty());
    let mut planned = 0;
    for secs in 1..600 {
        report_all(&mut planner, at(secs), &set, "1");
        planned += planner.plan(at(secs), &set, CENTRE).len();
        assert!(planner.loading_engines(at(secs)) <= 2);
        assert_eq!(planner.verify(at(secs)), Vec::<String>::new());
    }
    // Two engines load at a time, and their orders are repeated.
    assert!(planned > 2 && planned < 100, "{planned}");
}

#[test]
fn an_order_is_repeated_until_the_report_shows_its_effect() {
    let set = fleet(1, "2");
    let backend = BackendId::from_name("e0");
    let mut planner = held_planner();
    planner.on_report(at(60), backend, report("1"));
    let first = planner.plan(at(60), &set, CENTRE);
    assert_eq!(
        (first[0].order.fencing, first[0].order.version.as_str()),
        (7, "2")
    );
    planner.on_report(at(65), backend, report("1"));
    assert!(planner.plan(at(65), &set, CENTRE).is_empty());
    planner.on_report(at(76), backend, report("1"));
    assert_eq!(planner.plan(at(76), &set, CENTRE), first);
    planner.on_report(at(90), backend, report("2"));
    assert!(planner.plan(at(95), &set, CENTRE).is_empty());
    // A late order of an earlier holder restored the old version.
    planner.on_report(at(96), backend, report("1"));
    assert_eq!(planner.plan(at(96), &set, CENTRE), first);
}

#[test]
fn no_order_without_a_lease_a_fresh_report_or_for_what_leaves() {
    let mut set = fleet(1, "2");
    let backend = BackendId::from_name("e0");
    let mut planner = held_planner();
    assert!(planner.plan(at(60), &set, CENTRE).is_empty());
    planner.on_report(at(60), backend, report("1"));
    assert!(planner.plan(at(71), &set, CENTRE).is_empty());
    let mut leaving = report("1");
    leaving.leaving = true;
    planner.on_report(at(72), backend, leaving);
    assert!(planner.plan(at(72), &set, CENTRE).is_empty());
    planner.on_report(at(73), backend, report("1"));
    assert!(planner.plan(at(73), &set, "other").is_empty());
    let stop = StopRecord {
        name: "s".to_owned(),
        target: StopTarget::Backend("e0".to_owned()),
        reason: String::new(),
    };
    set.stops.insert(StopId::from_name("s"), stop);
    assert!(planner.plan(at(73), &set, CENTRE).is_empty());
    set.stops.clear();
    planner.set_fencing(at(73), None);
    assert!(planner.plan(at(73), &set, CENTRE).is_empty());
    planner.set_fencing(at(73), Some(Revision(9)));
    planner.on_report(at(100), backend, report("1"));
    assert_eq!(planner.plan(at(100), &set, CENTRE)[0].order.fencing, 9);
}

#[derive(Debug, Clone)]
enum Step {
    Report { engine: u16, version: u8, age: u64 },
    Lease(Option<u64>),
    Want(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_u16, 0..3_u8, 0..20_u64)
            .prop_map(|(engine, version, age)| Step::Report { engine, version, age }),
        1 => prop::option::of(1..4_u64).prop_map(Step::Lease),
        1 => (0..3_u8).prop_map(Step::Want),
        4 => (0..40_u64).prop_map(Step::Wait),
    ]
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn limits_hold_after_every_step(steps in prop::collection::vec(step(), 1..120)) {
        let mut planner = OrderPlanner::new(OrderLimits::default());
        let mut set = fleet(6, "0");
        let (mut now, mut fencing) = (at(100), None);
        for step in steps {
            match step {
                Step::Report { engine, version, age } => {
                    let backend = BackendId::from_name(&format!("e{engine}"));
                    let mut report = report(&version.to_string());
                    report.age = Span::from_secs(age);
                    planner.on_report(now, backend, report);
                }
                Step::Lease(number) => fencing = number.map(Revision),
                Step::Want(version) => set = fleet(6, &version.to_string()),
                Step::Wait(secs) => now = now + Span::from_secs(secs),
            }
            planner.set_fencing(now, fencing);
            let planned = planner.plan(now, &set, CENTRE);
            prop_assert_eq!(planner.verify(now), Vec::<String>::new());
            for order in &planned {
                prop_assert_eq!(Some(Revision(order.order.fencing)), fencing);
            }
            let again = planner.plan(now, &set, CENTRE);
            prop_assert!(again.iter().all(|order| !planned.contains(order)));
        }
    }
}
