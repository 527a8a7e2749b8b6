//! A gateway's view of its surroundings: registry, manifest, other gateways, and store failures.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, announce, manifest, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, StoreMode, UsersStore};

fn desk_engine(store: &UsersStore, id: &str) -> ScriptedEngine {
    let engine = ScriptedEngine::spawn(|request| EngineReply::Bytes(request.answer("done")));
    announce(store, id, "desk", &engine, "available");
    engine
}

fn status(gateway: &TestGateway, id: &str) -> u16 {
    gateway.caller().call(&Call::publish(id)).status()
}

#[test]
fn a_gateway_is_ready_only_once_it_can_serve() {
    let store = UsersStore::spawn();
    let gateway = TestGateway::spawn("edge-1", &store, &[]);
    wait_for("it listens", || {
        std::net::TcpStream::connect(gateway.frontend).is_ok()
    });
    assert!(!gateway.is_ready());
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert_eq!(answer.status(), 503, "not 404 before a manifest is known");
    store.put("op/config", manifest(1).to_string());
    let _engine = desk_engine(&store, "i-1");
    gateway.wait_ready();
    assert_eq!(status(&gateway, "a2"), 200);
}

#[test]
fn an_engine_that_drains_or_is_gone_gets_nothing_more() {
    let store = store_with_manifest();
    let first = desk_engine(&store, "i-1");
    let second = desk_engine(&store, "i-2");
    let gateway = TestGateway::start(&store);
    announce(&store, "i-1", "desk", &first, "draining");
    gateway.wait_log("belief", |line| line["change"] == "backend-draining");
    let before = first.seen().len();
    for id in ["a1", "a2", "a3"] {
        assert_eq!(status(&gateway, id), 200);
    }
    assert_eq!(first.seen().len(), before);
    store.delete("servers/i-2");
    gateway.wait_log("belief", |line| line["change"] == "backend-gone");
    assert_eq!(status(&gateway, "a4"), 503);
    assert_eq!(second.seen().len(), 3);
}

#[test]
fn an_unreadable_registry_entry_is_ignored_and_the_others_stay_in_force() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    store.put("servers/i-2", "\u{0}not json");
    store.put("servers/i-3", r#"{"backend":"desk","address":"127.0.0.1:1","zone":"north-a","max_concurrency":8,"phase":"dreaming"}"#);
    store.put("servers/i-4", r#"{"backend":"desk","address":7,"zone":"north-a","max_concurrency":8,"phase":"available"}"#);
    let gateway = TestGateway::start(&store);
    assert_eq!(status(&gateway, "a1"), 200);
    let ignored = || {
        let lines = gateway.log("belief");
        lines
            .iter()
            .filter(|line| line["change"] == "backend-ignored")
            .count()
    };
    // The log is written a few times per second, so its lines appear with a short delay.
    wait_for("each is logged", || ignored() >= 3);
    assert_eq!(ignored(), 3);
}

// Guards against an odd entry of another writer that ends the gateways that read it, or that they stop at.
#[test]
fn odd_registry_entries_neither_end_a_gateway_nor_stop_it() {
    let store = store_with_manifest();
    let first = desk_engine(&store, "i-1");
    let mut gateway = TestGateway::start(&store);
    let entry = |address: &str, slots: &str, rest: &str| {
        format!(
            r#"{{"backend":"desk","address":"{address}","zone":"north-a","version":"v1","max_concurrency":{slots},"phase":"available"{rest}}}"#
        )
    };
    let nested = |open: &str, close: &str| open.repeat(100_000) + &close.repeat(100_000);
    let nowhere = "127.0.0.1:1";
    let odd = [
        nested("[", "]"),
        nested(r#"{"a":"#, "}").replace("{}", "{\"a\":1}"),
        entry(nowhere, "8", &format!(r#","extra":{}"#, nested("[", "]"))),
        entry(nowhere, "1e999", ""),
        entry(nowhere, "-1", ""),
        entry(nowhere, "4294967296", ""),
        entry(
            nowhere,
            "4294967295",
            r#","seq":18446744073709551615,"born":18446744073709551615"#,
        ),
        entry(nowhere, "0", ""),
        entry(nowhere, "8", r#","seq":1e400"#),
        entry(nowhere, "8", r#","born":99999999999999999999999"#),
        entry("127.0.0.1:99999", "8", ""),
        entry("127.0.0.1:-1", "8", ""),
        entry("127.0.0.1:0", "8", ""),
        entry("0.0.0.0:0", "8", ""),
        entry("[::1", "8", ""),
        "null".to_owned(),
        "\u{feff}{}".to_owned(),
        String::new(),
    ];
    for (number, value) in odd.iter().enumerate() {
        store.put(&format!("servers/odd-{number}"), value.clone());
    }
    store.put("servers/", entry(nowhere, "8", ""));
    store.put("servers/x\r\nSmuggled: 1", entry(nowhere, "8", ""));
    let second = desk_engine(&store, "i-2");
    announce(&store, "i-1", "desk", &first, "draining");
    wait_for("the next entry is in force", || {
        assert!(gateway.is_ready());
        status(&gateway, "a1");
        !second.seen().is_empty()
    });
    for number in 0..20 {
        assert_eq!(status(&gateway, &format!("b{number}")), 200);
    }
    gateway.signal(libc::SIGTERM);
    gateway.wait_end();
}

// Guards against an entry whose key adds headers to the requests for its engine.
#[test]
fn an_entry_whose_id_is_no_header_value_is_ignored() {
    let store = store_with_manifest();
    let gateway = TestGateway::spawn("edge-1", &store, &[]);
    let ids = ["x\r\nSmuggled: 1", "", "a b", "x\u{e9}", &"x".repeat(1_000)];
    let engines = ids.map(|id| desk_engine(&store, id));
    wait_for("each is ignored", || {
        let lines = gateway.log("belief");
        let ignored = lines
            .iter()
            .filter(|line| line["change"] == "backend-ignored");
        ignored.count() == ids.len()
    });
    let sound = desk_engine(&store, "i-1");
    gateway.wait_ready();
    for number in 0..10 {
        assert_eq!(status(&gateway, &format!("a{number}")), 200);
    }
    assert_eq!(sound.seen().len(), 10);
    assert!(engines.iter().all(|engine| engine.seen().is_empty()));
}

#[test]
fn a_manifest_is_in_force_soon_and_never_an_older_one() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    let mut newer = manifest(9);
    newer["routes"].as_array_mut().unwrap().remove(0);
    store.put("op/config", newer.to_string());
    let written = Instant::now();
    wait_for("the route is gone", || status(&gateway, "a1") == 404);
    assert!(written.elapsed() < Duration::from_millis(2_000));
    store.put("op/config", manifest(3).to_string());
    store.put("op/config", "{}");
    gateway.wait_log("belief", |line| {
        line["reason"]
            .as_str()
            .is_some_and(|why| why.contains("older"))
    });
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(status(&gateway, "a2"), 404);
}

#[test]
fn compacted_store_history_is_read_again() {
    let store = store_with_manifest();
    let first = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    store.set_mode(StoreMode::Closing);
    std::thread::sleep(Duration::from_millis(300));
    store.delete("servers/i-1");
    let _second = desk_engine(&store, "i-2");
    store.compact();
    store.set_mode(StoreMode::Serving);
    gateway.wait_log("belief", |line| {
        line["change"] == "backend-joined" && line["backend"] == "i-2"
    });
    gateway.wait_log("store-history-gone", |_| true);
    let before = first.seen().len();
    assert_eq!(status(&gateway, "a1"), 200);
    assert_eq!(
        first.seen().len(),
        before,
        "an engine that may be gone is the last choice"
    );
}

#[test]
fn a_gateway_keeps_serving_while_the_store_is_unavailable() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    for mode in [StoreMode::Busy, StoreMode::Silent, StoreMode::Closing] {
        store.set_mode(mode);
        std::thread::sleep(Duration::from_millis(2_000));
        let started = Instant::now();
        assert_eq!(status(&gateway, "a1"), 200, "{mode:?}");
        assert!(started.elapsed() < Duration::from_millis(300), "{mode:?}");
        assert!(gateway.is_ready(), "{mode:?}");
    }
    store.set_mode(StoreMode::Serving);
    gateway.wait_log("store-regained", |_| true);
}

#[test]
fn a_gateway_that_the_store_refuses_gets_its_view_from_another_one() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let first = TestGateway::spawn("edge-1", &store, &[]);
    first.wait_ready();
    // The second gateway's store refuses every call, so the first gateway, its seed, is its only
    // source.
    let busy_store = UsersStore::spawn();
    busy_store.set_mode(StoreMode::Busy);
    let second = TestGateway::spawn("edge-2", &busy_store, &[first.control]);
    second.wait_ready();
    assert_eq!(status(&second, "a1"), 200);
    let mut newer = manifest(2);
    newer["routes"].as_array_mut().unwrap().remove(0);
    store.put("op/config", newer.to_string());
    let written = Instant::now();
    wait_for("the route is gone", || status(&second, "a2") == 404);
    assert!(
        written.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        written.elapsed()
    );
}

#[test]
fn gateways_register_under_a_lease_and_remove_it_when_they_stop() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let mut gateway = TestGateway::start(&store);
    wait_for("it is announced", || {
        store.keys("gateways/") == ["gateways/edge-1"]
    });
    gateway.signal(libc::SIGTERM);
    gateway.wait_end();
    wait_for("the announcement is gone", || {
        store.keys("gateways/").is_empty()
    });
}

#[test]
fn a_stopping_gateway_serves_late_requests_and_then_exits() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let mut gateway = TestGateway::start(&store);
    let mut kept = gateway.caller();
    assert_eq!(kept.call(&Call::publish("a1")).header("connection"), None);
    gateway.signal(libc::SIGTERM);
    wait_for("it is not ready any more", || !gateway.is_ready());
    let answer = kept.call(&Call::publish("a2"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert_eq!(
        status(&gateway, "a3"),
        200,
        "new connections are served while the balancer still sends them"
    );
    gateway.wait_end();
}

#[test]
fn settings_are_read_again_and_bad_ones_leave_the_last_in_force() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    gateway.write_settings("{");
    gateway.signal(libc::SIGHUP);
    gateway.wait_log("reload", |line| {
        line["outcome"]
            .as_str()
            .is_some_and(|text| text.contains("stay in force"))
    });
    assert_eq!(status(&gateway, "a1"), 200);
}

#[test]
fn a_settings_file_with_a_wrong_field_is_named_and_ends_with_its_own_code() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("local.json");
    std::fs::write(&path, r#"{"node_name": 7}"#).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_oleanderplank"))
        .arg("gateway")
        .env("OLEANDERPLANK_BOOT", &path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("local.json") && text.contains("line 1"),
        "{text}"
    );
}

#[test]
fn metrics_and_the_dump_show_what_was_served() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    assert_eq!(status(&gateway, "a1"), 200);
    let metrics = gateway.page("/metrics");
    for name in [
        "gateway_requests",
        "gateway_attempts",
        "gateway_total_time_seconds_bucket",
        "gateway_store_calls",
    ] {
        assert!(metrics.contains(name), "{name}\n{metrics}");
    }
    assert!(gateway.page("/dump").contains("i-1"));
}

/// Guards against one store reader per gateway: in a data centre with many gateways, only a few may
/// read the store, because each call of the store costs.
#[test]
fn a_few_gateways_of_a_data_centre_read_the_store_for_the_others() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let names = ["edge-1", "edge-2", "edge-3", "edge-4", "edge-5"];
    let mut gateways: Vec<TestGateway> = names
        .iter()
        .map(|name| TestGateway::spawn(name, &store, &[]))
        .collect();
    for gateway in &gateways {
        gateway.wait_ready();
        for other in names {
            gateway.wait_log("belief", |line| line["gateway"] == other);
        }
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = store.calls() - before;
    // Five gateways that all read would make 30 calls, in addition to the renewals of their leases.
    assert!(calls <= 20, "{calls} calls");
    let mut version = 1;
    for _ in 0..3 {
        version += 1;
        let mut newer = manifest(version);
        newer["routes"][0]["path_prefix"] = format!("/publish-{version}/").into();
        store.put("op/config", newer.to_string());
        let written = Instant::now();
        let path = format!("/publish-{version}/x");
        for gateway in &gateways {
            let call = Call {
                path: &path,
                ..Call::publish("a1")
            };
            wait_for("the manifest is in force", || {
                gateway.caller().call(&call).status() == 200
            });
        }
        assert!(
            written.elapsed() < Duration::from_millis(2_000),
            "{:?}",
            written.elapsed()
        );
        // Kills one gateway after another, the store's readers among them.
        gateways.remove(0).kill();
    }
}

// Guards against a request on a kept connection to an engine that cannot be reached any longer: behind
// a cut, its bytes may arrive long after the caller has left.
#[test]
fn kept_connections_to_an_engine_that_another_gateway_found_down_are_closed() {
    let store = store_with_manifest();
    let engine = desk_engine(&store, "i-1");
    // By this one the gateway knows that its own links are sound.
    let _reached = start_engine(&store, "i-2", "engines", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let one = TestGateway::spawn("edge-1", &store, &[]);
    let other = TestGateway::spawn("edge-2", &store, &[]);
    one.wait_ready();
    other.wait_ready();
    other.wait_log("belief", |line| line["gateway"] == "edge-1");
    assert_eq!(status(&one, "a1"), 200);
    assert_eq!(engine.open_connections(), 1);
    engine.refuse_connections();
    assert_eq!(status(&other, "a2"), 503);
    one.wait_log("backend-told-down", |line| line["backend"] == "i-1");
    wait_for("the connection is closed", || {
        engine.open_connections() == 0
    });
}
