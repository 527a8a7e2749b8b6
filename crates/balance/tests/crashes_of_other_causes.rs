//! Simulations of backend servers that crash for causes that have nothing to do with the requests.

mod suspect_fleet;

use suspect_fleet::{FleetPlan, FleetResults, MassCrash, RequestKind, SuspectFleet, Traffic};

const FIRST_SHARED: u64 = 1;
const FIRST_DOCUMENT: u64 = 100;

/// The seeds of each row.
const SEEDS: u64 = 6;

/// Returns requests that share one of four first parts, and one of some documents below it.
fn shared_traffic(per_s: f64, documents: u64) -> Traffic {
    let parts = |document: u64| [FIRST_SHARED + document % 4, FIRST_DOCUMENT + document];
    Traffic {
        kinds: (0..documents)
            .map(|document| RequestKind::sound(&parts(document)))
            .collect(),
        per_s,
        from_ms: 0,
    }
}

/// A fleet of a grown site under load: answers begin late, and news of other gateways comes late.
fn busy_fleet(gateways: usize, per_s: f64) -> FleetPlan {
    FleetPlan {
        gateways,
        backends: 144,
        traffic: vec![shared_traffic(per_s, 300)],
        begin_ms: 1_200,
        delay_ms: 250,
        length_ms: 20_000,
        counted_from_ms: 0,
        ..FleetPlan::default()
    }
}

fn play(plan: &FleetPlan) -> impl Iterator<Item = (u64, FleetResults)> {
    (0..SEEDS).map(|seed| (seed, SuspectFleet::play(plan.clone(), seed)))
}

fn check_no_quarantine(what: &str, plan: &FleetPlan) {
    let quarantines: Vec<usize> = play(plan).map(|(_, results)| results.quarantines).collect();
    let sum: usize = quarantines.iter().sum();
    assert_eq!(sum, 0, "{what}: {quarantines:?} by seed");
}

// Guards against parts that most requests share and that are quarantined when a sixth of the backend servers
// crash at once.
#[test]
fn a_crash_of_a_sixth_of_the_backend_servers_blames_no_part() {
    for gateways in [6, 70, 295] {
        let crash = |at_ms| MassCrash {
            at_ms,
            share: 0.17,
            within_ms: 400,
        };
        let plan = FleetPlan {
            mass_crashes: vec![crash(9_500)],
            ..busy_fleet(gateways, 400.0)
        };
        check_no_quarantine(&format!("{gateways} gateways"), &plan);
        let plan = FleetPlan {
            // One that crashed shortly before is not yet cleared everywhere.
            other_crashes_per_s: 0.5,
            mass_crashes: vec![crash(9_500), crash(14_000)],
            ..plan
        };
        check_no_quarantine(&format!("{gateways} gateways, single crashes"), &plan);
    }
}

// Guards against parts that are quarantined while backend servers go down and up by turns.
#[test]
fn backend_servers_that_crash_by_turns_blame_no_part() {
    for gateways in [6, 70, 295] {
        let plan = FleetPlan {
            other_crashes_per_s: 4.0,
            ..busy_fleet(gateways, 400.0)
        };
        check_no_quarantine(&format!("{gateways} gateways"), &plan);
    }
}

/// The most bytes of news a second that one gateway may send to others after a crash of many.
const NEWS_BYTES_PER_S: usize = 45_000;

// Guards against news of suspects that fills the links when many backend servers crash at once.
#[test]
fn the_news_of_a_crash_of_many_is_bounded() {
    for gateways in [70, 295] {
        let plan = FleetPlan {
            mass_crashes: vec![MassCrash {
                at_ms: 1_000,
                share: 0.17,
                within_ms: 400,
            }],
            traffic: vec![shared_traffic(1_000.0, 300); 4],
            suspects_requests: true,
            length_ms: 5_000,
            ..busy_fleet(gateways, 0.0)
        };
        let results = SuspectFleet::play(plan, 1);
        let per_s = results.news_bytes / gateways / 4;
        println!("{gateways} gateways: {per_s} bytes of news a second each");
        assert!(
            per_s <= NEWS_BYTES_PER_S,
            "{gateways}: {per_s} bytes a second"
        );
    }
}
