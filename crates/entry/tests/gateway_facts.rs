//! The facts from the store that gateways pass on to each other.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Call, Caller, TestGateway, manifest, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, StoreMode, UsersStore};
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

// Guards against a gateway that starts while the store is away and refuses all callers, although the others serve theirs.
#[test]
fn a_gateway_that_starts_while_the_store_is_away_serves_by_what_others_know() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let first = TestGateway::start(&store);
    store.set_mode(StoreMode::Closing);
    std::thread::sleep(2 * APPLY_TIME);
    let second = TestGateway::spawn("edge-2", &store, &[first.control]);
    second.wait_ready();
    assert_eq!(second.caller().call(&Call::publish("a1")).status(), 200);
}

/// Returns the facts that a gateway passes on for a query in the form of an earlier version.
fn query_as_before(gateway: &TestGateway) -> Value {
    let mut caller = Caller::open(gateway.control);
    caller.send("GET /facts?after=0&era=0&manifest=0 HTTP/1.1\r\nHost: g\r\n\r\n");
    serde_json::from_str(&caller.read().expect("facts").text()).expect("facts are JSON")
}

// Guards against gateways of an earlier version that cannot read what this one passes on, while machines are
// replaced one after the other.
#[test]
fn a_gateway_of_an_earlier_version_reads_the_facts() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateway = TestGateway::start(&store);
    let facts = query_as_before(&gateway);
    let rows = facts["facts"].as_array().expect("rows");
    let manifest = rows.iter().find(|row| row["subject"] == "manifest");
    let text = manifest.expect("a manifest")["value"].as_str();
    assert!(
        text.expect("a value that is not packed")
            .contains(gateway::HOST)
    );
    assert!(rows.iter().all(|row| row["packed"].is_null()));
}

/// The version of the datagrams and the number of a kind that no version knows yet.
const UNKNOWN_KIND: [u8; 2] = [6, 99];

/// One datagram of each kind as earlier versions send it: its version, its kind, and the fields.
const EARLIER_DATAGRAMS: [&[u8]; 7] = [
    // The load of one backend server, and none that is down.
    &[6, 0, 1, 5, 10, 1, 0, 0],
    // One that is down.
    &[6, 0, 0, 1, 5, 10],
    &[6, 1, 1, 9, 8],
    &[6, 2, 7, 9, 1, b'e'],
    &[6, 4, 0],
    &[6, 5, 1, 5, 10, 0],
    &[6, 6, 1, 5, 3, 10, 0],
];

// Guards against news of an earlier version that is taken for unreadable, and against unknown news that is
// ignored without a trace.
#[test]
fn datagrams_of_an_earlier_version_are_read_and_unknown_ones_counted() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateway = TestGateway::start(&store);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let ignored = || {
        let page = gateway.page("/metrics");
        let mut lines = page.lines();
        let line = lines.find(|line| line.starts_with("gateway_peer_ignored_total"));
        let count = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        count.unwrap_or(0.0)
    };
    let unknown: [&[u8]; 3] = [&UNKNOWN_KIND, &[7, 0, 0, 0], &[]];
    for datagram in EARLIER_DATAGRAMS.iter().chain(&unknown) {
        socket
            .send_to(datagram, gateway.gossip)
            .expect("it is sent");
    }
    wait_for("unknown datagrams are counted", || ignored() >= 3.0);
    assert!(ignored() < 3.5, "none of an earlier version is among them");
}
