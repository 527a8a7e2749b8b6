//! Streams of backend servers that end in ways that their framing does not show.

mod gateway;

use gateway::{Call, TestGateway, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, SeenRequest, WireMessage};

/// The path of a route whose streams must not go on at another engine.
const ONCE_PATH: &str = "/draft/x";

/// Returns the text of the events from `from` up to and including `to`.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(SeenRequest::event_text).collect()
}

/// Returns an answer that ends with its connection.
fn unframed(request: &SeenRequest, text: &str) -> EngineReply {
    let mut bytes = request.unframed_stream_head();
    bytes.extend(text.as_bytes());
    EngineReply::BytesThenClose(bytes)
}

/// Returns an answer whose chunks are complete.
fn chunked(request: &SeenRequest, text: &str) -> EngineReply {
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::chunk(text));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

fn call_once(gateway: &TestGateway, id: &str) -> WireMessage {
    gateway.caller().call(&Call {
        path: ONCE_PATH,
        ..Call::stream(id)
    })
}

// Guards against a truncated stream without length or chunks that is delivered as complete.
#[test]
fn an_unframed_stream_is_whole_only_if_it_ends_between_two_events() {
    let store = store_with_manifest();
    let whole = events(1, 2);
    let first_len = events(1, 1).len();
    let text = whole.clone();
    // The call's id is the number of bytes that the engine sends.
    let _engine = start_engine(&store, "i-1", "engines", move |request| {
        let id = request
            .message
            .header("attempt-id")
            .expect("calls have ids");
        let len: usize = id.parse().expect("the id is a number");
        unframed(request, &text[..len])
    });
    let gateway = TestGateway::start(&store);
    for len in 1..=whole.len() {
        let answer = call_once(&gateway, &len.to_string());
        let is_between = len == first_len || len == whole.len();
        assert_eq!(
            answer.is_whole && answer.status() == 200,
            is_between,
            "{len} bytes"
        );
        if answer.status() == 200 {
            let complete = if len < whole.len() { first_len } else { len };
            assert_eq!(answer.text(), whole[..complete], "{len} bytes");
        }
    }
}

// Guards against an unframed stream without any event that is delivered as a complete answer.
#[test]
fn an_unframed_stream_without_an_event_is_not_an_answer() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", |request| unframed(request, ""));
    let gateway = TestGateway::start(&store);
    assert_eq!(call_once(&gateway, "a1").status(), 502);
}

// Guards against a truncated stream inside a complete frame that is delivered as complete.
#[test]
fn a_stream_that_ends_inside_an_event_is_broken_whatever_its_frame_says() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", |request| {
        chunked(request, &format!("{}id: 2\ndata: pie", events(1, 1)))
    });
    let gateway = TestGateway::start(&store);
    let answer = call_once(&gateway, "a1");
    assert!(!answer.is_whole);
    assert_eq!(answer.text(), events(1, 1));
}

// Guards against a truncated resumable stream that ends at its caller instead of going on.
#[test]
fn an_unframed_stream_that_ends_inside_an_event_goes_on_at_another_engine() {
    let store = store_with_manifest();
    let script = |request: &SeenRequest| match request.resume_point() {
        0 => unframed(request, &format!("{}id: 3\ndata: pie", events(1, 2))),
        last => unframed(request, &events(last + 1, 4)),
    };
    let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    assert!(answer.is_whole);
    assert_eq!(answer.text(), events(1, 4));
    let sends: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(sends, 2);
    let broken = gateway.wait_log("stream-broken", |line| line["id"] == "a1");
    assert_eq!(broken["framing"], "until-close");
    assert_eq!(broken["partial_bytes"], "id: 3\ndata: pie".len());
}

// Guards against trailing comments or blank lines being taken for a part of an event.
#[test]
fn comments_after_the_last_event_do_not_break_a_stream() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", |request| {
        unframed(request, &format!("{}: the end\n\n\n: bye\n", events(1, 2)))
    });
    let gateway = TestGateway::start(&store);
    let answer = call_once(&gateway, "a1");
    assert_eq!((answer.status(), answer.is_whole), (200, true));
    assert!(answer.text().starts_with(&events(1, 2)));
}
