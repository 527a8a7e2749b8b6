//! Streams of unknown origin at a gateway whose view of the registry is old: it is cut off from the store, reads it late,
//! or stood still, while engines of another software version join.

mod gateway;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use gateway::scripted_replica::{Reply, ScriptedReplica, reply};
use gateway::{Call, Caller, TestGateway, announce_process, store_with_manifest};
use oleander_standin::users::{
    EngineReply, FaultyLink, ScriptedEngine, SeenRequest, StoreMode, UsersStore, WireMessage,
};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;
/// The start time of each engine's process.
const STARTED: u64 = 1_000;

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.stream_head();
    for id in request.resume_point() + 1..=LAST_EVENT {
        bytes.extend(SeenRequest::event(id));
    }
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Returns a call that goes on with a stream that no gateway knows.
fn resume(headers: &str) -> String {
    let call = Call::stream("b1");
    let headers = format!("{}{headers}", call.headers);
    Call {
        headers: &headers,
        ..call
    }
    .text()
}

/// The headers by which a caller names the stream and its last event.
const RESUMES: &str = "Last-Event-Id: 2\r\nResumes: unknown\r\n";

/// A gateway that reaches the store over a link, before one engine of version v1, and two scripted gateways.
struct StalePlay {
    store: UsersStore,
    link: FaultyLink,
    engines: Vec<ScriptedEngine>,
    gateway: TestGateway,
    _replicas: [ScriptedReplica; 2],
}

impl StalePlay {
    fn start(replies: [Option<Reply>; 2]) -> Self {
        let store = store_with_manifest();
        let link = FaultyLink::spawn(store.address());
        let [second, third] = replies;
        let replicas = [
            ScriptedReplica::start(&store, "edge-2", second),
            ScriptedReplica::start(&store, "edge-3", third),
        ];
        let mut play = Self {
            gateway: spawn_behind(link.address()),
            store,
            link,
            engines: Vec::new(),
            _replicas: replicas,
        };
        play.join("i-1", "v1");
        play.gateway.wait_log("belief", |line| {
            line["change"] == "backend-joined" && line["backend"] == "i-1"
        });
        play.gateway.wait_ready();
        play
    }

    /// Has an engine of a software version join the registry.
    fn join(&mut self, id: &str, version: &str) {
        let engine = ScriptedEngine::spawn(whole);
        engine.set_start(STARTED);
        announce_process(&self.store, id, &engine, version, STARTED);
        self.engines.push(engine);
    }

    fn resume(&self, headers: &str) -> WireMessage {
        let mut caller = self.gateway.caller();
        caller.send(&resume(headers));
        read(&mut caller)
    }

    /// Returns the status of an answer, and the number of requests that engines have got.
    fn outcome(&self, answer: &WireMessage) -> (u16, usize) {
        let seen = self.engines.iter().map(|engine| engine.seen().len());
        (answer.status(), seen.sum())
    }
}

fn spawn_behind(link: SocketAddr) -> TestGateway {
    TestGateway::spawn_changed("edge-1", link, &[], true, |_| {})
}

fn read(caller: &mut Caller) -> WireMessage {
    caller.read().expect("an answer")
}

// Guards against a stream of a new software version that goes on at the one before it, at a gateway that is cut off from the
// other gateways and from the store when the new one joins.
#[test]
fn a_stream_does_not_go_on_at_a_gateway_that_is_cut_off_while_another_version_joins() {
    let mut play = StalePlay::start([None, None]);
    play.link.hold(true);
    play.join("i-2", "v2");
    let answer = play.resume(RESUMES);
    assert_eq!(play.outcome(&answer), (503, 0));
    assert!(answer.header("retry-after").is_some());
}

// Guards against a stream of a new software version that goes on at the one before it, because other gateways that have not
// heard of the new one either name the one before it as the only one.
#[test]
fn a_stream_does_not_go_on_by_what_other_gateways_knew_before_another_version_joined() {
    let mut play = StalePlay::start([reply(0, None), reply(0, None)]);
    play.link.hold(true);
    play.join("i-2", "v2");
    let answer = play.resume(RESUMES);
    assert_eq!(play.outcome(&answer), (503, 0));
}

// Guards against a stream of a new software version that goes on at the one before it, at a gateway that has not read yet that
// the new one has joined.
#[test]
fn a_stream_does_not_go_on_before_the_gateway_has_read_that_another_version_joined() {
    const DELAY_MS: u64 = 200;
    let mut play = StalePlay::start([reply(0, None), reply(0, None)]);
    play.link.delay(DELAY_MS);
    play.join("i-2", "v2");
    let answer = play.resume(RESUMES);
    assert_eq!(play.outcome(&answer), (503, 0));
}

// Guards against a stream whose caller does not name it, and that goes on at the version before a new one.
#[test]
fn a_stream_without_a_name_does_not_go_on_at_a_gateway_that_is_cut_off() {
    let mut play = StalePlay::start([None, None]);
    play.link.hold(true);
    play.join("i-2", "v2");
    let answer = play.resume("Last-Event-Id: 2\r\n");
    assert_eq!(play.outcome(&answer), (503, 0));
}

// Guards against a stream of a new software version that goes on at the one before it, at a gateway that stood still when the
// new one joined.
#[test]
fn a_stream_does_not_go_on_at_a_gateway_that_stood_still_while_another_version_joined() {
    const STILL: Duration = Duration::from_millis(1_500);
    let mut play = StalePlay::start([reply(0, None), reply(0, None)]);
    play.gateway.signal(libc::SIGSTOP);
    play.join("i-2", "v2");
    thread::sleep(STILL);
    let mut caller = play.gateway.caller();
    caller.send(&resume(RESUMES));
    play.gateway.signal(libc::SIGCONT);
    let answer = read(&mut caller);
    assert_eq!(play.outcome(&answer), (503, 0));
}

// Guards against streams of a service with one version that are lost because the store refuses a call.
#[test]
fn a_stream_goes_on_once_the_store_answers_again() {
    const AWAY: Duration = Duration::from_millis(400);
    let play = StalePlay::start([reply(0, None), reply(0, None)]);
    play.store.set_mode(StoreMode::Busy);
    let mut caller = play.gateway.caller();
    caller.send(&resume(RESUMES));
    thread::sleep(AWAY);
    play.store.set_mode(StoreMode::Serving);
    let answer = read(&mut caller);
    assert_eq!((answer.status(), answer.is_whole), (200, true));
}

// Guards against streams of a service with one version that are lost at a gateway that only another gateway tells of the
// registry.
#[test]
fn a_stream_goes_on_by_a_registry_that_another_gateway_has_read() {
    const SOON: Duration = Duration::from_secs(3);
    let play = StalePlay::start([reply(0, None), reply(0, None)]);
    let reader = TestGateway::spawn("edge-9", &play.store, &[]);
    reader.wait_ready();
    play.gateway.wait_log("belief", |line| {
        line["change"] == "gateway-joined" && line["gateway"] == "edge-9"
    });
    play.link.hold(true);
    thread::sleep(SOON);
    let started = Instant::now();
    let answer = play.resume(RESUMES);
    assert_eq!((answer.status(), answer.is_whole), (200, true));
    assert!(started.elapsed() < SOON, "{:?}", started.elapsed());
}
