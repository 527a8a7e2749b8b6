//! How gateways handle a store that comes back from an older copy.

mod gateway;

use std::time::Duration;

use gateway::{
    Call, HOST, KEY, TestGateway, announce, announce_entry, manifest, store_with_manifest, wait_for,
};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, StoreMode, UsersStore};
use serde_json::json;

/// The most calls of an idle gateway to a store without history, in one second.
const MAX_CALLS_A_SECOND: usize = 12;

/// Closes each connection after its answer, so that every call chooses an engine afresh.
fn ok(request: &SeenRequest) -> EngineReply {
    let answer = String::from_utf8(request.answer("done")).expect("an answer is text");
    let answer = answer.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    EngineReply::BytesThenClose(answer.into_bytes())
}

fn desk_engine(store: &UsersStore, id: &str) -> ScriptedEngine {
    let engine = ScriptedEngine::spawn(ok);
    announce(store, id, "desk", &engine, "available");
    engine
}

/// Writes a number of keys, so that revisions of the time before a restore are far ahead.
fn write_much(store: &UsersStore) {
    for number in 0..200 {
        store.put("other/key", number.to_string());
    }
}

fn wait_manifest(gateway: &TestGateway, version: u64) {
    gateway.wait_log("belief", |line| {
        line["change"] == "manifest" && line["version"] == version
    });
}

fn wait_era(gateway: &TestGateway, era: u64) {
    gateway.wait_log("store-era", |line| line["era"] == era);
}

// Guards against changes of a new era that are ignored because their revisions are given out again.
#[test]
fn changes_after_a_restore_come_into_force_in_all_gateways() {
    let store = store_with_manifest();
    let _old = desk_engine(&store, "i-1");
    let gateways = [
        TestGateway::start(&store),
        TestGateway::spawn("edge-2", &store, &[]),
    ];
    gateways[1].wait_ready();
    let copy = store.copy();
    write_much(&store);
    store.put("op/config", manifest(5).to_string());
    gateways
        .iter()
        .for_each(|gateway| wait_manifest(gateway, 5));
    store.restore(copy);
    gateways.iter().for_each(|gateway| wait_era(gateway, 2));
    store.put("op/config", manifest(7).to_string());
    let new = desk_engine(&store, "i-2");
    store.delete("servers/i-1");
    for gateway in &gateways {
        wait_manifest(gateway, 7);
        gateway.wait_log("belief", |line| {
            line["change"] == "backend-joined" && line["backend"] == "i-2"
        });
        wait_for("the new engine serves", || {
            let seen = new.seen().len();
            let answer = gateway.caller().call(&Call::publish("a1"));
            answer.status() == 200 && new.seen().len() > seen
        });
    }
}

// Guards against a route or a key that a restore brings back after it was taken away.
#[test]
fn an_older_manifest_of_a_restored_store_does_not_come_into_force() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    let copy = store.copy();
    let mut newer = manifest(5);
    newer["tenants"] = json!([{"name": "press", "api_keys": ["another-key"], "priority": 3}]);
    store.put("op/config", newer.to_string());
    wait_manifest(&gateway, 5);
    store.restore(copy);
    wait_era(&gateway, 2);
    gateway.wait_log("belief", |line| line["change"] == "manifest-ignored");
    let call = Call::publish("a1");
    assert_eq!(gateway.caller().call(&call).status(), 401, "{KEY} is gone");
    let with_new_key = call.text().replace(KEY, "another-key");
    let mut caller = gateway.caller();
    caller.send(&with_new_key);
    assert_eq!(caller.read().expect("an answer").status(), 200, "{HOST}");
}

// Guards against sends to an engine that a restore brings back after it has left or begun to drain.
#[test]
fn a_restored_entry_does_not_bring_back_an_engine_that_has_left() {
    let store = store_with_manifest();
    let [gone, draining, serving] = ["i-gone", "i-draining", "i-serving"].map(|id| {
        let engine = ScriptedEngine::spawn(ok);
        announce_entry(&store, id, "desk", &engine, "available", 4);
        engine
    });
    let gateway = TestGateway::start(&store);
    let copy = store.copy();
    store.delete("servers/i-gone");
    announce_entry(&store, "i-draining", "desk", &draining, "draining", 5);
    for change in ["backend-gone", "backend-draining"] {
        gateway.wait_log("belief", |line| line["change"] == change);
    }
    store.restore(copy);
    wait_era(&gateway, 2);
    for id in ["i-gone", "i-draining"] {
        gateway.wait_log("belief", |line| {
            line["change"] == "backend-copy-ignored" && line["backend"] == id
        });
    }
    for number in 0..20 {
        let call = Call::publish(&format!("a{number}")).text();
        let mut caller = gateway.caller();
        caller.send(&call);
        assert_eq!(caller.read().expect("an answer").status(), 200);
    }
    assert_eq!(serving.seen().len(), 20);
    assert!(gone.seen().is_empty() && draining.seen().is_empty());
    announce_entry(&store, "i-gone", "desk", &gone, "available", 6);
    wait_for("an engine that writes its entry again is believed", || {
        gateway.caller().call(&Call::publish("b1"));
        !gone.seen().is_empty()
    });
}

// Guards against a lease of an earlier era that its holder goes on renewing.
#[test]
fn a_gateway_announces_itself_again_after_a_restore() {
    let store = UsersStore::spawn();
    store.put("op/config", manifest(1).to_string());
    let copy = store.copy();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    wait_for("it announced itself", || {
        !store.keys("gateways/").is_empty()
    });
    store.restore(copy);
    assert!(store.keys("gateways/").is_empty());
    wait_for("it announced itself again", || {
        !store.keys("gateways/").is_empty()
    });
    wait_for("it logged that twice", || {
        gateway.log("announced").len() == 2
    });
}

// Guards against an engine that only the old era knew and that stays in use for ever.
#[test]
fn an_engine_that_does_not_come_back_after_a_restore_is_dropped() {
    let store = store_with_manifest();
    let copy = store.copy();
    let _lost = desk_engine(&store, "i-lost");
    let gateway = TestGateway::start(&store);
    store.restore(copy);
    let _back = desk_engine(&store, "i-back");
    gateway.wait_log("belief", |line| {
        line["change"] == "backend-lapsed" && line["backend"] == "i-lost"
    });
    gateway.wait_log("lapsed-backends-gone", |line| line["backends"] == 1);
}

// Guards against a busy loop while the store has no history to watch from.
#[test]
fn a_store_without_history_is_read_at_a_steady_pace() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1");
    let gateway = TestGateway::start(&store);
    store.set_mode(StoreMode::HistoryGone);
    gateway.wait_log("store-history-gone", |_| true);
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(1));
    let calls = store.calls() - before;
    assert!(calls <= MAX_CALLS_A_SECOND, "{calls} calls");
    store.put("op/config", manifest(3).to_string());
    wait_manifest(&gateway, 3);
}
