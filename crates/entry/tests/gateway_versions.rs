//! Streams of services whose engines run several software versions.

mod gateway;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use gateway::{Call, TestGateway, announce_version, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore, WireMessage};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;

/// The answer of an engine that did not run a request.
const FULL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Engines of one service, each with its version.
struct Engines(Vec<(&'static str, ScriptedEngine)>);

impl Engines {
    /// Starts two engines of each version. An engine that began a stream is full when its caller
    /// resumes the stream, so that it has to go on at another engine.
    fn start(
        store: &UsersStore,
        versions: &[&'static str],
        script: fn(&SeenRequest) -> EngineReply,
    ) -> Self {
        let mut engines = Vec::new();
        for version in versions {
            for number in 1..=2 {
                let begun = Mutex::new(BTreeSet::new());
                let engine = ScriptedEngine::spawn(move |request| {
                    if request.resume_point() == 0 {
                        begun.lock().unwrap().insert(header(request, "attempt-id"));
                    } else if begun.lock().unwrap().contains(&header(request, "resumes")) {
                        return EngineReply::Bytes(FULL.to_vec());
                    }
                    script(request)
                });
                let id = format!("i-{version}-{number}");
                announce_version(store, &id, "engines", &engine, "available", version);
                engines.push((*version, engine));
            }
        }
        Self(engines)
    }

    /// Returns the versions that each attempt of a caller was sent to.
    fn versions(&self) -> BTreeMap<String, BTreeSet<&'static str>> {
        let mut versions: BTreeMap<String, BTreeSet<&'static str>> = BTreeMap::new();
        for (version, engine) in &self.0 {
            for seen in engine.seen() {
                let id = seen.message.header("attempt-id").unwrap_or("").to_owned();
                versions.entry(id).or_default().insert(version);
            }
        }
        versions
    }

    /// Returns the versions that any of these attempts was sent to.
    fn versions_of(&self, attempts: &[&str]) -> BTreeSet<&'static str> {
        let versions = self.versions();
        let sent = attempts.iter().filter_map(|id| versions.get(*id));
        sent.flatten().copied().collect()
    }
}

fn header(request: &SeenRequest, name: &str) -> String {
    request.message.header(name).unwrap_or("").to_owned()
}

/// Returns the headers of a stream whose prompt no other stream shares.
fn prompt_headers(first: &str) -> String {
    let part: u64 = first
        .bytes()
        .fold(7, |sum, byte| sum * 131 + u64::from(byte));
    format!("Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: {part:x}:1400,{part:x}0:60\r\n")
}

/// Returns the events from `from` up to and including `to`, without the end of the stream.
fn part_of_stream(request: &SeenRequest, from: u64, to: u64) -> Vec<u8> {
    let mut bytes = request.stream_head();
    for id in from..=to {
        bytes.extend(SeenRequest::event(id));
    }
    bytes
}

fn rest_of_stream(request: &SeenRequest) -> EngineReply {
    let mut bytes = part_of_stream(request, request.resume_point() + 1, LAST_EVENT);
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Breaks each new stream after its second event, and completes those that go on.
fn break_new(request: &SeenRequest) -> EngineReply {
    match request.resume_point() {
        0 => EngineReply::BytesThenReset(part_of_stream(request, 1, 2)),
        _ => rest_of_stream(request),
    }
}

/// Falls silent after the second event of each new stream, and completes those that go on.
fn hold_new(request: &SeenRequest) -> EngineReply {
    match request.resume_point() {
        0 => EngineReply::BytesThenSilence(part_of_stream(request, 1, 2)),
        _ => rest_of_stream(request),
    }
}

/// Falls silent after one event, whether the stream is new or goes on.
fn hold_all(request: &SeenRequest) -> EngineReply {
    let next = request.resume_point() + 1;
    EngineReply::BytesThenSilence(part_of_stream(request, next, next))
}

/// Begins a stream, reads up to the event with this id and disconnects.
fn begin(gateway: &TestGateway, id: &str, event: u64) {
    let headers = prompt_headers(id);
    let call = Call {
        headers: &headers,
        ..Call::stream(id)
    };
    read_up_to(gateway, &call, event);
}

fn read_up_to(gateway: &TestGateway, call: &Call<'_>, event: u64) {
    let mut caller = gateway.caller();
    caller.send(&call.text());
    let text = format!("piece {event}\n\n");
    assert!(caller.read_until(&text).contains(&text), "{}", call.id);
}

/// Resumes a stream that `first` began, after the event with this id.
fn resume(gateway: &TestGateway, id: &str, first: &str, event: u64) -> WireMessage {
    let headers = resume_headers(first, event);
    gateway.caller().call(&Call {
        headers: &headers,
        ..Call::stream(id)
    })
}

fn resume_headers(first: &str, event: u64) -> String {
    let headers = prompt_headers(first);
    format!("{headers}Last-Event-Id: {event}\r\nResumes: {first}\r\n")
}

/// Starts two gateways that know each other.
fn two_gateways(store: &UsersStore) -> [TestGateway; 2] {
    let first = TestGateway::start(store);
    let second = TestGateway::spawn("edge-2", store, &[]);
    second.wait_ready();
    for (gateway, other) in [(&first, "edge-2"), (&second, "edge-1")] {
        gateway.wait_log("belief", |line| {
            line["change"] == "gateway-joined" && line["gateway"] == other
        });
    }
    [first, second]
}

// Guards against a broken stream that the gateway itself continues at another software version.
#[test]
fn a_broken_stream_goes_on_only_at_the_version_that_began_it() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1", "v1.1"], break_new);
    let gateway = TestGateway::start(&store);
    for number in 0..12 {
        let id = format!("a{number}");
        let headers = prompt_headers(&id);
        let answer = gateway.caller().call(&Call {
            headers: &headers,
            ..Call::stream(&id)
        });
        assert!(answer.is_whole, "{id}");
    }
    for (id, versions) in engines.versions() {
        assert_eq!(versions.len(), 1, "{id} was sent to {versions:?}");
    }
}

// Guards against a stream that its caller resumes at another gateway, which continues it at another
// software version, after the gateway that began it has died.
#[test]
fn a_stream_that_is_resumed_at_another_gateway_stays_at_its_version() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let [mut first, second] = two_gateways(&store);
    for number in 0..8 {
        begin(&first, &format!("a{number}"), 2);
    }
    // The origins are on their way to the other gateway for a moment.
    std::thread::sleep(Duration::from_millis(200));
    first.kill();
    for number in 0..8 {
        let [begun, resumed] = [format!("a{number}"), format!("b{number}")];
        let answer = resume(&second, &resumed, &begun, 2);
        assert_eq!((answer.status(), answer.is_whole), (200, true), "{resumed}");
        let versions = engines.versions_of(&[&begun, &resumed]);
        assert_eq!(versions.len(), 1, "{begun} went on at {versions:?}");
    }
}

// Guards against a stream whose second continuation forgets the version of its first event.
#[test]
fn a_stream_that_is_resumed_twice_stays_at_its_version() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1", "v1.1"], hold_all);
    let gateway = TestGateway::start(&store);
    for number in 0..6 {
        let ids = ["a", "b", "c"].map(|letter| format!("{letter}{number}"));
        let [begun, second, third] = &ids;
        begin(&gateway, begun, 1);
        for (id, event) in [(second, 1), (third, 2)] {
            let headers = resume_headers(begun, event);
            let call = Call {
                headers: &headers,
                ..Call::stream(id)
            };
            read_up_to(&gateway, &call, event + 1);
        }
        let versions = engines.versions_of(&[begun, second, third]);
        assert_eq!(versions.len(), 1, "{begun} went on at {versions:?}");
    }
}

// Guards against a stream of unknown origin that goes on at any of several software versions.
#[test]
fn a_stream_of_unknown_origin_is_refused_while_several_versions_serve() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1", "v1.1"], break_new);
    let gateway = TestGateway::start(&store);
    let answer = resume(&gateway, "b1", "a1", 2);
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(engines.versions().is_empty());
}

// Guards against refusing streams that a restarted fleet does not remember without need.
#[test]
fn a_stream_of_unknown_origin_goes_on_in_a_service_with_one_version() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1"], break_new);
    // A gateway serves such a stream from the moment that it is ready.
    for number in 0..8 {
        let gateway = TestGateway::start(&store);
        let answer = resume(&gateway, &format!("b{number}"), "a1", 2);
        assert_eq!((answer.status(), answer.is_whole), (200, true), "{number}");
    }
}

// Guards against a stream that goes on at another software version once its own has left.
#[test]
fn a_stream_whose_version_has_left_is_refused() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1"], hold_new);
    let gateway = TestGateway::start(&store);
    begin(&gateway, "a1", 2);
    let newer = Engines::start(&store, &["v1.1"], hold_new);
    for number in 1..=2 {
        store.delete(&format!("servers/i-v1-{number}"));
    }
    wait_for("the old engines are gone", || {
        let gone = gateway.log("belief");
        gone.iter()
            .filter(|line| line["change"] == "backend-gone")
            .count()
            == 2
    });
    let answer = resume(&gateway, "b1", "a1", 2);
    assert_eq!(answer.status(), 503);
    assert!(newer.versions().is_empty());
    assert_eq!(engines.versions().len(), 1);
}

/// The key of the record of software versions in the store.
const RECORD: &str = "software-versions";

/// Waits until the record names this many versions of the service, and returns it.
fn wait_record(store: &UsersStore, versions: usize) -> String {
    let mut record = String::new();
    wait_for("the record names the versions", || {
        record = store.value(RECORD).unwrap_or_default();
        let record: serde_json::Value = serde_json::from_str(&record).unwrap_or_default();
        let named = record["engines"].as_array().map_or(0, Vec::len);
        named == versions
    });
    record
}

fn remove_engines(store: &UsersStore, version: &str) {
    for number in 1..=2 {
        store.delete(&format!("servers/i-{version}-{number}"));
    }
}

// Guards against a stream that goes on at another software version, because the last engine of its own left while no
// gateway ran, so that the gateways that start afterwards see a single version.
#[test]
fn a_stream_whose_version_left_while_all_gateways_were_down_is_refused() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let mut gateways = two_gateways(&store);
    for number in 0..6 {
        begin(&gateways[number % 2], &format!("a{number}"), 2);
    }
    wait_record(&store, 2);
    gateways.iter_mut().for_each(TestGateway::kill);
    remove_engines(&store, "v1");
    let restarted = TestGateway::start(&store);
    for number in 0..6 {
        let [begun, resumed] = [format!("a{number}"), format!("b{number}")];
        let answer = resume(&restarted, &resumed, &begun, 2);
        assert_eq!(answer.status(), 503, "{begun}");
        assert!(answer.header("retry-after").is_some());
    }
    let new = restarted.caller().call(&Call::stream("new"));
    assert_eq!(new.status(), 200, "a new stream begins");
}

// Guards against the same where the new version came only while no gateway ran.
#[test]
fn a_stream_whose_version_was_replaced_while_all_gateways_were_down_is_refused() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1"], hold_new);
    let mut gateway = TestGateway::start(&store);
    begin(&gateway, "a1", 2);
    wait_record(&store, 1);
    gateway.kill();
    let newer = Engines::start(&store, &["v1.1"], hold_new);
    remove_engines(&store, "v1");
    let restarted = TestGateway::start(&store);
    let answer = resume(&restarted, "b1", "a1", 2);
    assert_eq!(answer.status(), 503);
    assert!(newer.versions().is_empty());
    wait_record(&store, 2);
}

// Guards against a fleet that forgets, with all of its gateways, that a service has had one version for long, and
// against calls of the store that each start costs.
#[test]
fn streams_of_a_service_with_one_version_go_on_after_all_gateways_were_down() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1"], hold_new);
    let mut gateways = two_gateways(&store);
    begin(&gateways[0], "a1", 2);
    let record = wait_record(&store, 1);
    gateways.iter_mut().for_each(TestGateway::kill);
    for number in 0..4 {
        let restarted = TestGateway::start(&store);
        let answer = resume(&restarted, &format!("b{number}"), "a1", 2);
        assert_eq!((answer.status(), answer.is_whole), (200, true), "{number}");
        let calls = restarted.page("/metrics");
        assert!(
            !calls.contains("versions-write"),
            "the record is written again"
        );
    }
    assert_eq!(store.value(RECORD), Some(record));
}

// Guards against a record that a store which comes back from a copy has lost, or that another writer has spoiled.
#[test]
fn a_lost_or_spoiled_record_of_versions_is_written_again() {
    let store = store_with_manifest();
    let copy = store.copy();
    let engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let gateway = TestGateway::start(&store);
    let record = wait_record(&store, 2);
    store.put(RECORD, "no record");
    assert_eq!(wait_record(&store, 2), record);
    store.delete(RECORD);
    assert_eq!(wait_record(&store, 2), record);
    store.restore(copy);
    assert_eq!(
        store.value(RECORD),
        None,
        "the copy is older than the record"
    );
    for version in ["v1", "v1.1"] {
        let engines = engines.0.iter().filter(|(known, _)| *known == version);
        for (number, (_, engine)) in engines.enumerate() {
            let id = format!("i-{version}-{}", number + 1);
            announce_version(&store, &id, "engines", engine, "available", version);
        }
    }
    assert_eq!(wait_record(&store, 2), record);
    assert!(gateway.is_ready());
}

// Guards against a gateway that knows the registry from another gateway, and does not know the record.
#[test]
fn the_record_of_versions_is_passed_on_between_gateways() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let first = TestGateway::start(&store);
    wait_record(&store, 2);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let second = TestGateway::spawn_changed("edge-2", nowhere, &[first.control], true, |_| {});
    second.wait_ready();
    let line = second.wait_log("belief", |line| line["change"] == "versions-recorded");
    assert_eq!(line["source"], "gateway");
    assert_eq!(line["versions"], 2);
}

/// Begins streams at two gateways in turn, and waits until their origins are in the store.
fn begin_kept(store: &UsersStore, gateways: &[TestGateway; 2], count: usize) {
    for number in 0..count {
        begin(&gateways[number % 2], &format!("a{number}"), 2);
    }
    // A round of telling the collectors, and one of writing.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(!store.keys("stream-origins/").is_empty());
}

// Guards against streams that cannot go on after a loss of all gateways, while engines of their version serve beside
// those of another one.
#[test]
fn streams_go_on_at_their_version_after_all_gateways_were_down() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let mut gateways = two_gateways(&store);
    begin_kept(&store, &gateways, 12);
    gateways.iter_mut().for_each(TestGateway::kill);
    let restarted = TestGateway::start(&store);
    for number in 0..12 {
        let [begun, resumed] = [format!("a{number}"), format!("b{number}")];
        let answer = resume(&restarted, &resumed, &begun, 2);
        assert_eq!((answer.status(), answer.is_whole), (200, true), "{resumed}");
        let versions = engines.versions_of(&[&begun, &resumed]);
        assert_eq!(versions.len(), 1, "{begun} went on at {versions:?}");
    }
    let unknown = resume(&restarted, "b99", "a99", 2);
    assert_eq!(unknown.status(), 503);
}

// Guards against streams that began while there was one version, and are lost when another one comes just before all
// gateways go.
#[test]
fn streams_that_began_before_the_second_version_go_on_as_well() {
    let store = store_with_manifest();
    let engines = Engines::start(&store, &["v1"], hold_new);
    let mut gateways = two_gateways(&store);
    for number in 0..6 {
        begin(&gateways[number % 2], &format!("a{number}"), 2);
    }
    assert!(
        store.keys("stream-origins/").is_empty(),
        "one version needs none"
    );
    let _newer = Engines::start(&store, &["v1.1"], hold_new);
    wait_for("the origins are kept", || {
        !store.keys("stream-origins/").is_empty()
    });
    std::thread::sleep(Duration::from_millis(1_500));
    gateways.iter_mut().for_each(TestGateway::kill);
    let restarted = TestGateway::start(&store);
    for number in 0..6 {
        let [begun, resumed] = [format!("a{number}"), format!("b{number}")];
        let answer = resume(&restarted, &resumed, &begun, 2);
        assert_eq!((answer.status(), answer.is_whole), (200, true), "{resumed}");
        assert_eq!(engines.versions_of(&[&resumed]).len(), 1, "{resumed}");
    }
}

// Guards against origins that another writer has spoiled, which end the gateways that read them.
#[test]
fn spoiled_origins_in_the_store_are_left_out() {
    let store = store_with_manifest();
    let _engines = Engines::start(&store, &["v1", "v1.1"], hold_new);
    let mut gateways = two_gateways(&store);
    begin_kept(&store, &gateways, 2);
    for (number, text) in ["", "{", "[]", r#"{"v":"-"}"#, r#"{"00":"AAAA"}"#]
        .iter()
        .enumerate()
    {
        store.put(&format!("stream-origins/x-{number}"), *text);
    }
    gateways.iter_mut().for_each(TestGateway::kill);
    let restarted = TestGateway::start(&store);
    assert_eq!(resume(&restarted, "b0", "a0", 2).status(), 200);
}
