//! Queries for the process behind a connection whose results are taken for more, or for less, than they show.

mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Call, TestGateway, announce_process, announce_version, store_with_manifest, wait_for,
};
use oleander_standin::users::{
    EngineReply, PacedEnd, ScriptedEngine, SeenRequest, UsersStore, WireMessage,
};

/// The id of the last event before a stream halts.
const BREAK_EVENT: u64 = 2;
/// The start time of the process that an entry describes.
const REGISTERED: u64 = 1_000;
/// The start time of a later process under the same id.
const RESTARTED: u64 = 2_000;

fn is_report(request: &SeenRequest) -> bool {
    request.message.start.starts_with("GET /report ")
}

fn events(request: &SeenRequest, to: u64) -> Vec<u8> {
    let events = (request.resume_point() + 1..=to).flat_map(SeenRequest::event);
    request.stream_head().into_iter().chain(events).collect()
}

/// Halts a new stream, and ends one that goes on.
fn halting(request: &SeenRequest) -> EngineReply {
    if request.resume_point() == 0 {
        return EngineReply::BytesThenSilence(events(request, BREAK_EVENT));
    }
    whole(request)
}

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = events(request, 2 * BREAK_EVENT);
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Returns the answer of an engine that did not run a request.
fn full(request: &SeenRequest) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    EngineReply::Bytes(answer.into_bytes())
}

/// Writes the stream of an earlier request when it is asked for its report, and answers all else.
fn late_stream(request: &SeenRequest) -> EngineReply {
    if !is_report(request) {
        return whole(request);
    }
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: w0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    EngineReply::Bytes(head.into())
}

fn unframed(request: &SeenRequest) -> EngineReply {
    let events = (1..=BREAK_EVENT).map(|id| SeenRequest::event_text(id).into_bytes());
    EngineReply::Paced {
        pieces: std::iter::once(request.unframed_stream_head())
            .chain(events)
            .collect(),
        interval: Duration::from_millis(50),
        end: PacedEnd::Close,
    }
}

/// Reports as the last answer on the connection, and answers all else without a frame.
fn last_report(request: &SeenRequest) -> EngineReply {
    if !is_report(request) {
        return unframed(request);
    }
    let body = format!("{{\"phase\":\"available\",\"born\":{REGISTERED}}}");
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    EngineReply::BytesThenClose((head + &body).into_bytes())
}

fn wait_joined(gateway: &TestGateway, id: &str) {
    gateway.wait_log("belief", |line| {
        line["change"] == "backend-joined" && line["backend"] == id
    });
}

/// Begins the stream `a1` with further attempts until one is served; returns the attempt.
fn begin(gateway: &TestGateway) -> String {
    let mut tries = 0;
    let mut caller = gateway.caller();
    wait_for("a stream begins", || {
        tries += 1;
        caller = gateway.caller();
        caller.send(&Call::stream(&format!("a{tries}")).text());
        caller.read_until("\r\n").contains(" 200 ")
    });
    caller.read_until(&format!("piece {BREAK_EVENT}\n\n"));
    format!("a{tries}")
}

fn resume(gateway: &TestGateway, id: &str, first: &str) -> WireMessage {
    let call = Call::stream(id);
    let headers = format!(
        "{}Last-Event-Id: {BREAK_EVENT}\r\nResumes: {first}\r\n",
        call.headers
    );
    gateway.caller().call(&Call {
        headers: &headers,
        ..call
    })
}

fn resumes(engine: &ScriptedEngine) -> usize {
    let seen = engine.seen();
    seen.iter()
        .filter(|request| request.resume_point() > 0)
        .count()
}

/// An engine `i-1` of version v1 that has told its start, and a version v2 that leaves.
fn start_two_versions() -> (UsersStore, ScriptedEngine, ScriptedEngine, TestGateway) {
    let store = store_with_manifest();
    let first = ScriptedEngine::spawn(|request| match request.resume_point() {
        0 => halting(request),
        _ => full(request),
    });
    first.set_start(REGISTERED);
    announce_process(&store, "i-1", &first, "v1", REGISTERED);
    let leaving = ScriptedEngine::spawn(whole);
    announce_version(&store, "i-9", "engines", &leaving, "draining", "v2");
    let gateway = TestGateway::start(&store);
    (store, first, leaving, gateway)
}

// Guards against a stream that goes on, unasked, at an engine that has started again, because a late answer to an earlier request came
// instead of its report, once.
#[test]
fn a_stream_does_not_go_on_unasked_at_a_process_whose_report_was_preceded_by_a_late_stream() {
    let (store, _first, _leaving, gateway) = start_two_versions();
    let begun = begin(&gateway);
    let second = ScriptedEngine::spawn(late_stream);
    second.set_start(RESTARTED);
    second.script_reports();
    announce_process(&store, "i-2", &second, "v1", REGISTERED);
    wait_joined(&gateway, "i-2");
    let late = resume(&gateway, "b0", &begun).status();
    second.answer_reports();
    let later = resume(&gateway, "b1", &begun).status();
    assert_eq!((late, later, resumes(&second)), (503, 503, 0));
}

// Guards against whole unframed streams that are cut although their process told its start after the end, on a connection that it
// then closed.
#[test]
fn an_unframed_stream_is_whole_if_its_process_tells_its_start_and_closes() {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(last_report);
    engine.script_reports();
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call {
        path: "/draft/x",
        ..Call::stream("a1")
    });
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a1");
    assert_eq!((answer.is_whole, &end["evidence"]), (true, &"told".into()));
}

// Guards against streams that are lost at a later software version whose engines do not tell their start, because engines of the
// version before do.
#[test]
fn a_stream_goes_on_at_a_version_that_does_not_tell_starts_after_one_that_did() {
    let store = store_with_manifest();
    let old = ScriptedEngine::spawn(whole);
    old.set_start(REGISTERED);
    announce_process(&store, "i-0", &old, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    assert!(gateway.caller().call(&Call::stream("w1")).is_whole);
    store.delete("servers/i-0");
    gateway.wait_log("belief", |line| line["change"] == "backend-gone");
    let engines = ["i-1", "i-2"].map(|id| {
        let engine = ScriptedEngine::spawn(halting);
        announce_process(&store, id, &engine, "v2", REGISTERED);
        wait_joined(&gateway, id);
        engine
    });
    let begun = begin(&gateway);
    let statuses = [0, 1, 2, 3].map(|nth| resume(&gateway, &format!("b{nth}"), &begun).status());
    let taken: usize = engines.iter().map(resumes).sum();
    assert!(taken > 0, "{statuses:?}");
}

// Guards against streams that are lost at engines that have no report, and say so with the status for what is not implemented.
#[test]
fn a_stream_goes_on_between_engines_that_do_not_implement_reports() {
    const NOT_IMPLEMENTED: u16 = 501;
    let store = store_with_manifest();
    let engines = ["i-1", "i-2"].map(|id| {
        let engine = ScriptedEngine::spawn(halting);
        engine.refuse_reports(NOT_IMPLEMENTED);
        announce_process(&store, id, &engine, "v1", REGISTERED);
        engine
    });
    let gateway = TestGateway::start(&store);
    let begun = begin(&gateway);
    let statuses = [0, 1, 2, 3].map(|nth| resume(&gateway, &format!("b{nth}"), &begun).status());
    let taken: usize = engines.iter().map(resumes).sum();
    assert!(taken > 0, "{statuses:?}");
}

// Guards against a stream of unknown origin that goes on at the only registered version although a process was met that no entry
// described, if the entry of the process before it goes next.
#[test]
fn a_stream_of_unknown_origin_does_not_go_on_after_an_unregistered_process_lost_its_entry() {
    let store = store_with_manifest();
    let first = ScriptedEngine::spawn(halting);
    first.set_start(RESTARTED);
    announce_process(&store, "i-1", &first, "v1", REGISTERED);
    let second = ScriptedEngine::spawn(|request| match request.resume_point() {
        0 => full(request),
        _ => whole(request),
    });
    second.set_start(REGISTERED);
    announce_process(&store, "i-2", &second, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    begin(&gateway);
    store.delete("servers/i-1");
    gateway.wait_log("belief", |line| line["change"] == "backend-gone");
    let answer = resume(&gateway, "b1", "unknown");
    assert_eq!((answer.status(), resumes(&second)), (503, 0));
}

// Guards against callers that wait for several queries after each other at the end of an answer whose process is silent.
#[test]
fn ends_at_a_silent_process_do_not_wait_for_each_others_queries() {
    const LIMIT: Duration = Duration::from_millis(3_000);
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(unframed);
    engine.set_start(REGISTERED);
    engine.silence_reports();
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    let took = thread::scope(|scope| {
        let calls = [0, 100].map(|delay_ms| {
            let gateway = &gateway;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let begun = Instant::now();
                let mut caller = gateway.caller();
                let id = format!("a{delay_ms}");
                caller.send(
                    &Call {
                        path: "/draft/x",
                        ..Call::stream(&id)
                    }
                    .text(),
                );
                caller.read();
                begun.elapsed()
            })
        });
        calls.map(|call| call.join().expect("a caller ends"))
    });
    assert!(took.iter().all(|took| *took < LIMIT), "{took:?}");
}

// Guards against engines that serve no new stream because they have told their start once and no longer answer such queries, or refuse
// them.
#[test]
fn streams_begin_at_engines_that_no_longer_tell_the_start_that_they_told() {
    const TRIES: usize = 8;
    let no_longer_tells: [fn(&ScriptedEngine); 2] = [ScriptedEngine::silence_reports, |engine| {
        engine.refuse_reports(500);
    }];
    let begun = no_longer_tells.map(|set| {
        let store = store_with_manifest();
        let engine = ScriptedEngine::spawn(halting);
        engine.set_start(REGISTERED);
        announce_process(&store, "i-1", &engine, "v1", REGISTERED);
        let gateway = TestGateway::start(&store);
        begin(&gateway);
        set(&engine);
        let begins = |nth| {
            let mut caller = gateway.caller();
            caller.send(&Call::stream(&format!("b{nth}")).text());
            caller.read_until("\r\n").contains(" 200 ")
        };
        (0..TRIES).any(begins)
    });
    assert_eq!(begun, [true, true]);
}
