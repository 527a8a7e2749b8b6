//! Explains failed requests by their ids, from the logs alone (docs/OPERATIONS.md).

mod gateway;

use std::time::Duration;

use gateway::{
    Call, TestGateway, announce, announce_process, start_engine, store_with_manifest, wait_for,
};
use oleander_operator::GatewayLogs;
use oleander_standin::users::{EngineReply, PacedEnd, ScriptedEngine, SeenRequest, StoreMode};

/// The pause between two pieces of an answer without a frame.
const PACE: Duration = Duration::from_millis(25);

#[test]
fn a_request_that_full_engines_refused_is_explained() {
    let store = store_with_manifest();
    let full = |_: &SeenRequest| {
        let head =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        EngineReply::Bytes(head.as_bytes().to_vec())
    };
    let engine = ScriptedEngine::spawn(full);
    announce(&store, "i-1", "desk", &engine, "available");
    let gateway = TestGateway::start(&store);
    assert_eq!(
        gateway.caller().call(&Call::publish("full-1")).status(),
        503
    );
    gateway.wait_log("end", |line| line["id"] == "full-1");
    let text = TestGateway::explain(&[&gateway], "full-1");
    assert!(text.contains("cause: it was refused"), "{text}");
    assert!(
        text.contains("i-1: the backend server refused with 503"),
        "{text}"
    );
    assert!(text.contains("it did not run"), "{text}");
}

#[test]
fn a_request_that_a_lost_engine_cut_off_is_explained() {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        bytes.extend(SeenRequest::event(2));
        EngineReply::BytesThenReset(bytes)
    });
    announce(&store, "i-1", "engines", &engine, "available");
    let gateway = TestGateway::start(&store);
    store.set_mode(StoreMode::Busy);
    gateway.wait_log("store-lost", |_| true);
    let call = Call {
        path: "/draft/x",
        ..Call::stream("cut-1")
    };
    assert!(!gateway.caller().call(&call).is_whole);
    gateway.wait_log("end", |line| line["id"] == "cut-1");
    let text = TestGateway::explain(&[&gateway], "cut-1");
    assert!(
        text.contains("cause: its answer was cut after 2 events"),
        "{text}"
    );
    assert!(text.contains("i-1"), "{text}");
    assert!(text.contains("the store had not answered"), "{text}");
}

/// Explains a stream of one event without a frame that may run once.
fn explain_unframed(text: &'static str, end: PacedEnd, started_ms: Option<u64>) -> String {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "engines", move |request| {
        EngineReply::Paced {
            pieces: vec![request.unframed_stream_head(), text.into()],
            interval: PACE,
            end,
        }
    });
    if let Some(started_ms) = started_ms {
        engine.set_start(started_ms);
        announce_process(&store, "i-1", &engine, "v1", started_ms);
    }
    let gateway = TestGateway::start(&store);
    let call = Call {
        path: "/draft/x",
        ..Call::stream("unframed-1")
    };
    gateway.caller().call(&call);
    gateway.wait_log("end", |line| line["id"] == "unframed-1");
    TestGateway::explain(&[&gateway], "unframed-1")
}

// Guards against explanations that do not say why an answer without a frame was taken for whole, or for broken.
#[test]
fn the_end_of_an_answer_without_a_frame_is_explained() {
    let cases = [
        (
            "id: 1\ndata: x\n\n",
            PacedEnd::Close,
            "; the answer of i-1 had no frame and counted as whole, because another connection to it stayed open",
        ),
        (
            "id: 1\ndata: x\n\n",
            PacedEnd::Crash,
            "; the answer of i-1 had no frame and did not count as whole, because another connection to it closed at the same time",
        ),
        (
            "id: 1\ndata: x\n\nid: 2\n",
            PacedEnd::Close,
            "; the answer of i-1 had no frame and did not count as whole, because the stream ended inside an event",
        ),
    ];
    for (text, end, expected) in cases {
        let explained = explain_unframed(text, end, None);
        assert!(explained.contains(expected), "{explained}");
    }
    let told = [
        (
            PacedEnd::Close,
            "counted as whole, because its process told that it still ran",
        ),
        (
            PacedEnd::Restart,
            "did not count as whole, because another process had its address",
        ),
    ];
    for (end, expected) in told {
        let explained = explain_unframed("id: 1\ndata: x\n\n", end, Some(1_000));
        assert!(explained.contains(expected), "{explained}");
    }
}

/// Explains a stream that may be resumed, at an engine whose entry is of the process that started at 1,000.
fn explain_begun(change: impl FnOnce(&ScriptedEngine)) -> String {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        bytes.extend(b"0\r\n\r\n");
        EngineReply::Bytes(bytes)
    });
    change(&engine);
    announce_process(&store, "i-1", &engine, "v1", 1_000);
    let gateway = TestGateway::start(&store);
    gateway.caller().call(&Call::stream("begun-1"));
    gateway.wait_log("end", |line| line["id"] == "begun-1");
    TestGateway::explain(&[&gateway], "begun-1")
}

// Guards against explanations that do not say which process was asked before a stream began, and what it said.
#[test]
fn the_query_for_a_process_is_explained() {
    let expected = explain_begun(|engine| engine.set_start(1_000));
    let other = explain_begun(|engine| engine.set_start(2_000));
    let silent = explain_begun(ScriptedEngine::silence_reports);
    let cases = [
        (
            expected,
            "; the process of i-1 was asked, and is the one that its entry describes: the request was sent there",
        ),
        (
            other,
            "; the process of i-1 was asked, and is another one than its entry describes",
        ),
        (
            silent,
            "; the process of i-1 was asked, and said nothing in time",
        ),
    ];
    for (text, note) in cases {
        assert!(text.contains(note), "{text}");
    }
}

#[test]
fn a_request_whose_gateway_died_is_explained() {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|_| EngineReply::BytesThenSilence(Vec::new()));
    announce(&store, "i-1", "desk", &engine, "available");
    let mut gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    caller.send(&Call::publish("gone-1").text());
    wait_for("the engine has it", || !engine.seen().is_empty());
    gateway.wait_log("send", |line| line["id"] == "gone-1");
    gateway.kill();
    assert!(caller.read().is_none());
    let text = TestGateway::explain(&[&gateway], "gone-1");
    assert!(
        text.contains("the log of edge-1 ends before the request does"),
        "{text}"
    );
    assert!(text.contains("it may have run"), "{text}");
}

#[test]
fn damaged_lines_are_skipped_and_counted_and_prefixes_are_ignored() {
    let log = concat!(
        "   0.2 edge-1 {\"time_ms\":10,\"node\":\"edge-1\",\"event\":\"send\",\"id\":\"a\",\"backend\":\"i-1\",\"manifest\":4,\"registry\":30}\n",
        "{\"time_ms\":11,\"node\":\"edge-1\",\"event\":\"att\n",
        "no object at all\n\n",
        "{\"time_ms\":12,\"node\":\"edge-1\",\"event\":\"lines-left-out\",\"lines\":7}\n",
        "{\"time_ms\":900,\"node\":\"edge-1\",\"event\":\"start\"}\n",
    );
    let mut logs = GatewayLogs::default();
    logs.read(log.as_bytes()).unwrap();
    let text = logs.explain("a").unwrap();
    assert!(
        text.contains("manifest 4, registry at revision 30"),
        "{text}"
    );
    assert!(text.contains("started again 890 ms later"), "{text}");
    assert!(
        text.contains("2 lines could not be read, 7 were left out"),
        "{text}"
    );
    let missing = logs.explain("b").unwrap_err().to_string();
    assert!(
        missing.contains("no line of request b") && missing.contains('7'),
        "{missing}"
    );
}

/// Guards against back-pressure from the log: a flood of failing requests must be neither slowed
/// down nor buffered without bound when the reader of the log has stopped.
#[test]
fn a_stopped_log_reader_slows_no_request() {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|request| EngineReply::Bytes(request.answer("done")));
    announce(&store, "i-1", "desk", &engine, "available");
    let gateway = TestGateway::spawn_unread("edge-1", &store);
    gateway.wait_ready();
    let mut caller = gateway.caller();
    let started = std::time::Instant::now();
    for index in 0..6_000 {
        let id = format!("{index:016x}");
        assert_eq!(caller.call(&Call::publish(&id)).status(), 200);
    }
    let each = started.elapsed() / 6_000;
    assert!(each < std::time::Duration::from_millis(10), "{each:?}");
    let kilobytes = gateway.resident_kilobytes();
    assert!(kilobytes < 60_000, "{kilobytes} KB");
}
