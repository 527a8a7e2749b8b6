//! The facts from the store that gateways pass on to each other.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, manifest, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, UsersStore};
use oleander_standin::{DirectionFault, FaultProxy, ProxyFaults};
use serde_json::{Value, json};

/// The rate of a slow machine's link: 10 Mbit/s, in bytes a second.
const SLOW_LINK: u64 = 1_250_000;

/// The time within which a manifest must be in force (`config_apply_ms` of the test's settings).
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// A gateway whose answers to other gateways share a slow link.
struct LinkedGateway {
    gateway: TestGateway,
    _link: FaultProxy,
}

impl LinkedGateway {
    fn start(name: &str, store: &UsersStore) -> Self {
        let gateway = TestGateway::spawn(name, store, &[]);
        gateway.wait_ready();
        let key = format!("gateways/{name}");
        wait_for("it is announced", || store.keys("gateways/").contains(&key));
        let link = FaultProxy::bind(gateway.control).expect("a port is free");
        link.set(ProxyFaults {
            to_caller: DirectionFault {
                bytes_per_s: Some(SLOW_LINK),
                ..DirectionFault::default()
            },
            ..ProxyFaults::default()
        });
        let entry = json!({
            "control": link.address(), "gossip": gateway.gossip, "frontend": gateway.frontend,
            "zone": "north-a",
        });
        store.put(&key, entry.to_string());
        Self {
            gateway,
            _link: link,
        }
    }
}

/// Returns a manifest with many routes.
fn large_manifest(version: u64, routes: u64) -> Value {
    let mut manifest = manifest(version);
    let all = manifest["routes"].as_array_mut().expect("routes");
    for number in 0..routes {
        let mut route = all[0].clone();
        // Names of routes have nothing in common, as a multiplicative hash makes them.
        let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        route["name"] = format!("r-{hash:016x}").into();
        route["path_prefix"] = format!("/{:016x}/", hash.rotate_left(23)).into();
        all.push(route);
    }
    manifest
}

// Guards against a manifest that comes into force late at gateways whose reader of the store has a slow link:
// the reader's answers took longer than each of them waited, and each began again from the start.
#[test]
fn a_large_manifest_reaches_all_gateways_over_a_slow_link() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let names: Vec<String> = (1..=8).map(|number| format!("edge-{number}")).collect();
    let start = |name: &String| LinkedGateway::start(name, &store);
    let gateways: Vec<LinkedGateway> = names.iter().map(start).collect();
    // Until all ask the one that reads the store for them.
    std::thread::sleep(APPLY_TIME);
    let lost = |linked: &LinkedGateway| linked.gateway.log("reader-lost").len();
    let lost_before: usize = gateways.iter().map(lost).sum();
    let mut newer = large_manifest(2, 1_400);
    newer["routes"][0]["path_prefix"] = "/publish-2/".into();
    store.put("op/config", newer.to_string());
    let written = Instant::now();
    let call = Call {
        path: "/publish-2/x",
        ..Call::publish("a1")
    };
    for linked in &gateways {
        wait_for("the manifest is in force", || {
            linked.gateway.caller().call(&call).status() == 200
        });
    }
    assert!(written.elapsed() < APPLY_TIME, "{:?}", written.elapsed());
    let lost_after: usize = gateways.iter().map(lost).sum();
    assert_eq!(lost_after, lost_before, "no gateway gave its reader up");
}

/// Starts two gateways in each of four data centres and waits until all know each other.
fn start_fleet(store: &UsersStore) -> Vec<TestGateway> {
    let centres = ["north-a", "north-b", "north-c", "north-d"];
    let names: Vec<String> = (1..=8).map(|number| format!("edge-{number}")).collect();
    let start = |(name, centre): (&String, &&str)| TestGateway::spawn_in(centre, name, store);
    let gateways: Vec<TestGateway> = names
        .iter()
        .zip(centres.iter().cycle())
        .map(start)
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
        for name in &names {
            gateway.wait_log("belief", |line| line["gateway"] == name.as_str());
        }
    }
    std::thread::sleep(APPLY_TIME);
    gateways
}

fn is_in_force(gateway: &TestGateway, version: u64) -> bool {
    let lines = gateway.log("belief");
    lines
        .iter()
        .any(|line| line["change"] == "manifest" && line["version"] == version)
}

// Guards against calls of the store that grow with the data centres.
#[test]
fn one_gateway_reads_the_store_for_the_gateways_of_all_data_centres() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateways = start_fleet(&store);
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(4));
    let calls = store.calls() - before;
    // Each renews its lease every 4 s, and the reader polls twice a second.
    let renewals = gateways.len();
    let polls = 2 * 4;
    assert!(calls <= renewals + polls + 2, "{calls} calls");
}

// Guards against a change that comes into force late because the gateway that reads the store stands still.
#[test]
fn a_change_passes_round_a_reader_that_stands_still() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateways = start_fleet(&store);
    let mut version = 1;
    // One of them is the reader.
    for stopped in &gateways {
        stopped.signal(libc::SIGSTOP);
        version += 1;
        store.put("op/config", manifest(version).to_string());
        let written = Instant::now();
        for gateway in gateways
            .iter()
            .filter(|gateway| !std::ptr::eq(*gateway, stopped))
        {
            wait_for("the manifest is in force", || is_in_force(gateway, version));
        }
        let took = written.elapsed();
        stopped.signal(libc::SIGCONT);
        assert!(took < APPLY_TIME, "{took:?}");
        wait_for("it is in force there as well", || {
            is_in_force(stopped, version)
        });
    }
}
