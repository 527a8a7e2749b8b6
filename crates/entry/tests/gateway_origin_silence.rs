//! Streams whose replicas are silent, contradict each other or cannot have heard, and records that cannot be read.

mod gateway;

use std::time::Duration;

use gateway::scripted_replica::{Reply, ScriptedReplica, reply};
use gateway::{Call, TestGateway, announce_process, store_with_manifest, wait_for};
use oleander_balance::{StreamId, StreamOrigin, VersionId, VersionSpan};
use oleander_standin::users::{
    EngineReply, ScriptedEngine, SeenRequest, StoreMode, UsersStore, WireMessage,
};
use serde_json::json;

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;
/// The id of the last event before a stream halts.
const HALT_EVENT: u64 = 2;
/// The start time of the process that an entry describes.
const REGISTERED: u64 = 1_000;
/// The start time of a later process under the same id.
const RESTARTED: u64 = 2_000;
/// The number of datagrams of which one may be lost without harm, and more.
const REPEATS: usize = 3;
/// The age from which a view of the store does not count as recent, and some time for the work of the machine.
const STORE_CONTACT_AGE: Duration = Duration::from_millis(3_500);
/// The time in which a gateway reads an entry, and more.
const ENTRY_TIME: Duration = Duration::from_secs(2);

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = events(request, LAST_EVENT);
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

fn held(request: &SeenRequest) -> EngineReply {
    EngineReply::BytesThenSilence(events(request, HALT_EVENT))
}

fn events(request: &SeenRequest, to: u64) -> Vec<u8> {
    let mut bytes = request.stream_head();
    for id in request.resume_point() + 1..=to {
        bytes.extend(SeenRequest::event(id));
    }
    bytes
}

/// A gateway before one engine of version v1, and two scripted gateways.
struct SilencePlay {
    store: UsersStore,
    engine: ScriptedEngine,
    gateway: TestGateway,
    replicas: [ScriptedReplica; 2],
}

impl SilencePlay {
    fn start(
        started_ms: u64,
        script: fn(&SeenRequest) -> EngineReply,
        replies: [Option<Reply>; 2],
    ) -> Self {
        let store = store_with_manifest();
        let engine = ScriptedEngine::spawn(script);
        engine.set_start(started_ms);
        announce_process(&store, "i-1", &engine, "v1", REGISTERED);
        let [second, third] = replies;
        let replicas = [
            ScriptedReplica::start(&store, "edge-2", second),
            ScriptedReplica::start(&store, "edge-3", third),
        ];
        let gateway = TestGateway::start(&store);
        Self {
            store,
            engine,
            gateway,
            replicas,
        }
    }

    /// Begins the stream `a1` and leaves it after the event at which it halts.
    fn begin(&self) {
        let mut caller = self.gateway.caller();
        caller.send(&Call::stream("a1").text());
        let text = format!("piece {HALT_EVENT}\n\n");
        assert!(caller.read_until(&text).contains(&text));
    }

    /// Resumes a stream that this gateway does not know.
    fn resume(&self) -> WireMessage {
        let call = Call::stream("b1");
        let headers = format!(
            "{}Last-Event-Id: {HALT_EVENT}\r\nResumes: unknown\r\n",
            call.headers
        );
        self.gateway.caller().call(&Call {
            headers: &headers,
            ..call
        })
    }
}

// Guards against a stream that goes on at another software version: one replica has got the record of its first version, and not
// the later one that takes it back, which another replica has.
#[test]
fn a_stream_does_not_go_on_if_one_of_its_replicas_knows_that_its_version_is_uncertain() {
    let certain = reply(0, Some(VersionId::of("v1")));
    let uncertain = reply(10, Some(VersionId::UNCERTAIN));
    for replies in [[certain, uncertain], [uncertain, certain]] {
        let play = SilencePlay::start(REGISTERED, whole, replies);
        let answer = play.resume();
        assert_eq!((answer.status(), play.engine.seen().len()), (503, 0));
    }
}

// Guards against a stream that goes on at the only registered version although a record comes, while its replicas are asked, that
// says that its version is uncertain.
#[test]
fn a_stream_does_not_go_on_if_the_record_of_an_uncertain_version_comes_during_the_query() {
    let none = reply(30, None).map(|none| Reply {
        recorded: Some(VersionId::UNCERTAIN),
        ..none
    });
    let play = SilencePlay::start(REGISTERED, whole, [none, none]);
    let answer = play.resume();
    assert_eq!((answer.status(), play.engine.seen().len()), (503, 0));
}

// Guards against a stream that goes on at the only registered version while all gateways stand still that were told that its
// version is uncertain.
#[test]
fn a_stream_does_not_go_on_before_replicas_that_stand_still_can_reply() {
    let late = reply(500, Some(VersionId::UNCERTAIN));
    let play = SilencePlay::start(REGISTERED, whole, [late, late]);
    let answer = play.resume();
    assert_eq!((answer.status(), play.engine.seen().len()), (503, 0));
}

// Guards against streams of a service with one version that are lost because the gateways that were told of them are dead.
#[test]
fn a_stream_goes_on_if_all_of_its_replicas_are_dead() {
    let play = SilencePlay::start(REGISTERED, whole, [None, None]);
    let answer = play.resume();
    assert_eq!((answer.status(), answer.is_whole), (200, true));
}

// Guards against streams that wait for a dead replica although another one knows where they began, or that none knows.
#[test]
fn a_stream_goes_on_soon_if_one_of_its_replicas_is_dead() {
    const SOON: Duration = Duration::from_millis(500);
    for origin in [Some(VersionId::of("v1")), None] {
        let play = SilencePlay::start(REGISTERED, whole, [reply(0, origin), None]);
        let started = std::time::Instant::now();
        let answer = play.resume();
        assert_eq!((answer.status(), answer.is_whole), (200, true));
        assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
    }
}

// Guards against a stream that goes on at another software version because the only datagram that says that its version is
// uncertain was lost.
#[test]
fn the_record_of_an_uncertain_version_is_sent_again() {
    let play = SilencePlay::start(RESTARTED, held, [None, None]);
    play.begin();
    let record = StreamOrigin {
        stream: StreamId::of("a1"),
        version: VersionId::UNCERTAIN,
    };
    for replica in &play.replicas {
        wait_for("the record comes again", || {
            replica.records(record) >= REPEATS
        });
    }
}

// Guards against a gateway that no longer tells of a process which no entry describes once it has lost the store.
#[test]
fn a_process_that_is_not_registered_is_known_without_the_store() {
    let play = SilencePlay::start(RESTARTED, held, [None, None]);
    play.begin();
    let [asker, _] = &play.replicas;
    assert_eq!(asker.ask_versions(&play.gateway, 1), VersionSpan::Mixed);
    play.store.set_mode(StoreMode::Silent);
    std::thread::sleep(STORE_CONTACT_AGE);
    assert_eq!(asker.ask_versions(&play.gateway, 2), VersionSpan::Mixed);
}

// Guards against a stream that goes on at another software version, after a loss of all gateways, because the record of the
// versions that served before cannot be read.
#[test]
fn a_stream_of_unknown_origin_does_not_go_on_if_the_record_of_versions_cannot_be_read() {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(whole);
    engine.set_start(REGISTERED);
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    store.put("software-versions", "no record");
    let gateway = TestGateway::start(&store);
    wait_for("the record is replaced", || {
        store.value("software-versions").as_deref() != Some("no record")
    });
    let call = Call::stream("b1");
    let headers = format!(
        "{}Last-Event-Id: {HALT_EVENT}\r\nResumes: unknown\r\n",
        call.headers
    );
    let answer = gateway.caller().call(&Call {
        headers: &headers,
        ..call
    });
    assert_eq!((answer.status(), engine.seen().len()), (503, 0));
    assert!(answer.header("retry-after").is_some());
    let new = gateway.caller().call(&Call::stream("new"));
    assert_eq!((new.status(), new.is_whole), (200, true));
}

// Guards against a stream that goes on at another software version: the engine at which it began had started again, and one write
// of its entry, by the process before, did not name that process's start.
#[test]
fn a_stream_has_no_certain_version_although_one_write_of_the_entry_named_no_start() {
    let play = SilencePlay::start(RESTARTED, held, [None, None]);
    let entry = json!({
        "backend": "engines", "address": play.engine.address(), "zone": "north-a", "version": "v1",
        "max_concurrency": 9, "phase": "available", "warmup_left_ms": 0, "seq": 2
    });
    play.store.put("servers/i-1", entry.to_string());
    // A watch of the store brings the entry, which makes no other change that a log tells.
    std::thread::sleep(ENTRY_TIME);
    play.begin();
    let record = StreamOrigin {
        stream: StreamId::of("a1"),
        version: VersionId::UNCERTAIN,
    };
    wait_for("the record of the stream", || {
        play.replicas
            .iter()
            .any(|replica| replica.records(record) > 0)
    });
}

// Guards against a stream of unknown origin that goes on at the only registered version because the entry of an engine is gone at
// whose address a process was met that no entry ever described.
#[test]
fn a_process_that_is_not_registered_is_known_after_the_entry_before_it_has_gone() {
    let play = SilencePlay::start(RESTARTED, held, [reply(0, None), reply(0, None)]);
    play.begin();
    let second = ScriptedEngine::spawn(whole);
    second.set_start(REGISTERED);
    announce_process(&play.store, "i-2", &second, "v1", REGISTERED);
    play.gateway.wait_log("belief", |line| {
        line["change"] == "backend-joined" && line["backend"] == "i-2"
    });
    play.store.delete("servers/i-1");
    play.gateway.wait_log("belief", |line| {
        line["change"] == "backend-gone" && line["backend"] == "i-1"
    });
    let answer = play.resume();
    let seen = [&play.engine, &second].map(|engine| engine.seen().len());
    assert_eq!((answer.status(), seen), (503, [1, 0]), "one began");
}
