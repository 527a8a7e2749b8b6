//! Tests that schedules depend only on the scenario, and checks the scenario files.

use std::path::Path;

use oleander_load::{BurstPlan, PlannedCall, PlannedKind, Scenario, Schedule};

fn read(name: &str) -> Scenario {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    Scenario::read(&directory.join(name)).unwrap()
}

fn of_class(schedule: &Schedule, wanted: usize) -> Vec<&PlannedCall> {
    let calls = schedule.calls.iter();
    calls
        .filter(
            |call| matches!(call.kind, PlannedKind::Completion { class, .. } if class == wanted),
        )
        .collect()
}

#[test]
fn every_scenario_file_is_consistent_and_of_full_size() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let scenario = Scenario::read(&path).unwrap();
        let deployment = &scenario.deployment;
        assert_eq!(path.file_stem().unwrap().to_str().unwrap(), scenario.name);
        let sites = ["tatry-", "cuadernia-"];
        if !sites.iter().any(|site| scenario.name.starts_with(site)) {
            continue;
        }
        assert_eq!(deployment.engine_plans().len(), 20);
        assert_eq!(deployment.service_plans().len(), 4);
        assert!((6..=8).contains(&deployment.entries));
        assert!(scenario.measured_s() >= 30.0);
        count += 1;
    }
    assert_eq!(count, 14);
}

#[test]
fn schedules_depend_only_on_scenario_and_seed() {
    let scenario = read("tatry-demand-100.toml");
    assert_eq!(Schedule::draw(&scenario), Schedule::draw(&scenario));
    let mut other = scenario.clone();
    other.seed += 1;
    assert_ne!(Schedule::draw(&scenario), Schedule::draw(&other));
}

#[test]
fn arrivals_follow_the_demand() {
    for name in ["tatry-demand-070.toml", "cuadernia-demand-150.toml"] {
        let mut scenario = read(name);
        scenario.duration_s = 400.0;
        let schedule = Schedule::draw(&scenario);
        for (number, class) in scenario.classes.iter().enumerate() {
            let wanted = scenario.class_rate(class) * scenario.duration_s;
            let drawn = of_class(&schedule, number).len() as f64;
            assert!((drawn / wanted - 1.0).abs() < 0.05, "{drawn} of {wanted}");
        }
    }
}

#[test]
fn a_burst_leaves_the_other_classes_as_they_were() {
    let mut scenario = read("tatry-demand-070.toml");
    let before = Schedule::draw(&scenario);
    scenario.bursts.push(BurstPlan {
        class: scenario.classes[2].name.clone(),
        from_s: 10.0,
        to_s: 20.0,
        factor: 5.0,
    });
    let after = Schedule::draw(&scenario);
    let times = |schedule: &Schedule, class| -> Vec<_> {
        let calls = of_class(schedule, class).into_iter();
        calls.map(|call| (call.at, call.kind.clone())).collect()
    };
    for class in [0, 1] {
        assert_eq!(times(&before, class), times(&after, class));
    }
    let inside = |schedule: &Schedule| {
        let calls = of_class(schedule, 2).into_iter();
        let seconds = calls.map(|call| call.at.as_secs_f64());
        seconds.filter(|at| (10.0..20.0).contains(at)).count() as f64
    };
    let factor = inside(&after) / inside(&before);
    assert!((3.5..6.5).contains(&factor), "{factor}");
}
