//! The order of the events that callers receive, where backend servers send events twice, out of order, without ids, or
//! with unusual line ends.

mod gateway;

use gateway::{Call, TestGateway, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, WireMessage};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 6;
/// The path of a route whose streams must not go on at another engine.
const ONCE_PATH: &str = "/draft/x";
/// The ids that a faulty engine sends in one piece; in each case, the fault follows the event [`BEFORE_FAULT`].
const FAULTY_IDS: [&[u64]; 4] = [&[1, 2, 4, 5], &[1, 2, 2, 3], &[1, 2, 1, 2, 3], &[1, 2, 0]];
/// The id of the last event before the fault.
const BEFORE_FAULT: u64 = 2;

fn resume_point(request: &SeenRequest) -> Option<u64> {
    let id = request.message.header("last-event-id")?;
    Some(id.parse().expect("an event id is a number"))
}

/// Returns the text of the events from `from` up to and including `to`.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(SeenRequest::event_text).collect()
}

/// Returns a whole stream whose pieces are chunks of their own.
fn whole<'a>(request: &SeenRequest, pieces: impl IntoIterator<Item = &'a str>) -> EngineReply {
    let mut bytes = open_stream(request, pieces);
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Returns a stream that breaks off after its pieces.
fn cut<'a>(request: &SeenRequest, pieces: impl IntoIterator<Item = &'a str>) -> EngineReply {
    EngineReply::BytesThenClose(open_stream(request, pieces))
}

fn open_stream<'a>(request: &SeenRequest, pieces: impl IntoIterator<Item = &'a str>) -> Vec<u8> {
    let mut bytes = request.stream_head();
    for piece in pieces {
        bytes.extend(SeenRequest::chunk(piece));
    }
    bytes
}

fn sends(engines: &[ScriptedEngine]) -> usize {
    engines.iter().map(|engine| engine.seen().len()).sum()
}

/// Sends a stream that may be resumed, before two engines with the same script; returns the answer and the number of sends.
fn call_two(
    script: impl Fn(&SeenRequest) -> EngineReply + Send + Sync + Clone + 'static,
) -> (WireMessage, usize) {
    let store = store_with_manifest();
    let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script.clone()));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    (answer, sends(&engines))
}

fn call_once(gateway: &TestGateway, id: &str) -> WireMessage {
    gateway.caller().call(&Call {
        path: ONCE_PATH,
        ..Call::stream(id)
    })
}

// Guards against events that are missing or come twice because ids are compared only between pieces of a stream.
#[test]
fn a_stream_goes_on_after_the_last_event_in_order_of_a_piece() {
    for ids in FAULTY_IDS {
        let piece: String = ids.iter().copied().map(SeenRequest::event_text).collect();
        let (answer, sends) = call_two(move |request| match resume_point(request) {
            None => whole(request, [piece.as_str()]),
            Some(last) => whole(request, [events(last + 1, LAST_EVENT).as_str()]),
        });
        assert_eq!(answer.text(), events(1, LAST_EVENT), "{ids:?}");
        assert!(answer.is_whole, "{ids:?}");
        assert_eq!(sends, 2, "{ids:?}");
    }
}

// Guards against the same where the stream cannot go on: it must not end as whole.
#[test]
fn a_stream_that_cannot_be_resumed_ends_before_the_first_event_out_of_order_of_a_piece() {
    for ids in FAULTY_IDS {
        let store = store_with_manifest();
        let piece: String = ids.iter().copied().map(SeenRequest::event_text).collect();
        let _engine = start_engine(&store, "i-1", "engines", move |request| {
            whole(request, [piece.as_str()])
        });
        let gateway = TestGateway::start(&store);
        let answer = call_once(&gateway, "a1");
        assert_eq!(answer.text(), events(1, BEFORE_FAULT), "{ids:?}");
        assert!(!answer.is_whole, "{ids:?}");
    }
}

// Guards against a resumed stream that goes on at another event than the next one.
#[test]
fn a_stream_does_not_go_on_at_a_wrong_event() {
    for first in [1, BEFORE_FAULT, BEFORE_FAULT + 2] {
        let (answer, sends) = call_two(move |request| match resume_point(request) {
            None => cut(request, [events(1, BEFORE_FAULT).as_str()]),
            Some(_) => whole(request, [events(first, LAST_EVENT).as_str()]),
        });
        assert_eq!(answer.text(), events(1, BEFORE_FAULT), "from {first}");
        assert!(!answer.is_whole, "from {first}");
        assert_eq!(sends, 2, "from {first}");
    }
}

// Guards against events that come twice because the stream is sent again from an event before them.
#[test]
fn a_stream_that_breaks_after_an_event_without_an_id_is_not_sent_again() {
    let unnumbered = "data: first\n\ndata: second\n\n".to_owned();
    let mixed = format!("{}data: second\n\n", events(1, 1));
    for text in [unnumbered, mixed] {
        let begun = text.clone();
        let (answer, sends) = call_two(move |request| match request.nth {
            0 => cut(request, [begun.as_str()]),
            _ => whole(request, [begun.as_str(), "data: last\n\n"]),
        });
        assert_eq!(answer.text(), text);
        assert!(!answer.is_whole, "{text:?}");
        assert_eq!(sends, 1, "{text:?}");
    }
}

// Guards against a stream that is not resumed because of a comment after its last event.
#[test]
fn a_stream_that_breaks_after_a_comment_goes_on() {
    const COMMENT: &str = ": still there\n\n";
    let (answer, sends) = call_two(|request| match resume_point(request) {
        None => cut(request, [events(1, BEFORE_FAULT).as_str(), COMMENT]),
        Some(last) => whole(request, [events(last + 1, LAST_EVENT).as_str()]),
    });
    let begun = events(1, BEFORE_FAULT);
    let rest = events(BEFORE_FAULT + 1, LAST_EVENT);
    assert_eq!(answer.text(), format!("{begun}{COMMENT}{rest}"));
    assert!(answer.is_whole);
    assert_eq!(sends, 2);
}

// Guards against a late stream of an earlier attempt on a kept connection that is taken for the one that is expected.
#[test]
fn a_late_stream_of_another_attempt_is_skipped_on_a_kept_connection() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "engines", |request| match request.nth {
        0 => whole(request, [events(1, LAST_EVENT).as_str()]),
        _ => late_stream_before(request),
    });
    let gateway = TestGateway::start(&store);
    for id in ["a1", "a2"] {
        let answer = call_once(&gateway, id);
        assert_eq!(answer.text(), events(1, LAST_EVENT), "{id}");
        assert!(answer.is_whole, "{id}");
    }
    assert_eq!(engine.seen()[1].nth_on_connection, 1, "the same connection");
}

/// Returns another stream of the attempt `a1`, and then the one that was asked for.
fn late_stream_before(request: &SeenRequest) -> EngineReply {
    let head = String::from_utf8(request.stream_head()).expect("a head is text");
    let mut bytes = head.replace("a2", "a1").into_bytes();
    bytes.extend(SeenRequest::chunk("id: 1\ndata: late\n\n"));
    bytes.extend(b"0\r\n\r\n");
    bytes.extend(open_stream(request, [events(1, LAST_EVENT).as_str()]));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

// Guards against an engine that gets one attempt twice on a connection, where a late first answer would be taken for the
// second one.
#[test]
fn an_attempt_is_sent_to_each_engine_at_most_once() {
    let store = store_with_manifest();
    let engines = ["i-1", "i-2"].map(|id| {
        start_engine(&store, id, "engines", |request| {
            let id = request.message.header("attempt-id").unwrap_or("");
            let refusal = format!(
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            EngineReply::Bytes(refusal.into_bytes())
        })
    });
    let gateway = TestGateway::start(&store);
    assert_eq!(gateway.caller().call(&Call::stream("a1")).status(), 503);
    for engine in &engines {
        assert!(engine.seen().len() <= 1, "{:?}", engine.seen());
    }
    assert!(sends(&engines) > 0);
}

/// The end of each line of an event, and of the blank line after it.
const LINE_ENDS: [(&str, [&str; 2]); 4] = [
    ("lf", ["\n", "\n"]),
    ("crlf", ["\r\n", "\r\n"]),
    ("lf-crlf", ["\n", "\r\n"]),
    ("crlf-lf", ["\r\n", "\n"]),
];

/// Returns two events with the given line ends.
fn events_with_ends([line, blank]: [&str; 2]) -> String {
    let event = |id| format!("id: {id}{line}data: piece{line}{blank}");
    [1, 2].map(event).concat()
}

/// Returns the events with the line ends, and in the two pieces, that the call's id names.
fn split_events(request: &SeenRequest) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    let (name, at) = id.rsplit_once('.').expect("the id has two parts");
    let known = LINE_ENDS.iter().find(|(known, _)| *known == name);
    let text = events_with_ends(known.expect("the id names line ends").1);
    let (first, second) = text.split_at(at.parse().expect("the id has a number"));
    whole(request, [first, second])
}

// Guards against events that are lost, late or twice because of the byte at which they were split, or of their line ends.
#[test]
fn events_are_whole_at_each_split_and_with_any_line_end_but_a_lone_carriage_return() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", split_events);
    let gateway = TestGateway::start(&store);
    for (name, ends) in LINE_ENDS {
        let text = events_with_ends(ends);
        for at in 1..text.len() {
            let answer = call_once(&gateway, &format!("{name}.{at}"));
            assert_eq!(answer.status(), 200, "{name} at {at}");
            assert_eq!(answer.text(), text, "{name} at {at}");
            assert!(answer.is_whole, "{name} at {at}");
        }
    }
    let ends = gateway.log("end");
    assert!(ends.iter().all(|line| line["events"] == 2), "{ends:?}");
}

// Guards against events with lone carriage returns, whose end the gateway does not see, that end as a whole answer.
#[test]
fn a_stream_with_lone_carriage_returns_is_not_an_answer() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", |request| {
        whole(request, [events_with_ends(["\r", "\r"]).as_str()])
    });
    let gateway = TestGateway::start(&store);
    assert_eq!(call_once(&gateway, "a1").status(), 502);
}

// Guards against a cut stream that looks whole to a caller of HTTP/1.0: it knows no chunks, and the end of the connection
// ends every answer for it.
#[test]
fn a_caller_that_knows_no_chunks_gets_no_stream() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "engines", |request| {
        cut(request, [events(1, BEFORE_FAULT).as_str()])
    });
    let desk = start_engine(&store, "i-2", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateway = TestGateway::start(&store);
    let call_1_0 = |call: &Call<'_>| {
        let mut caller = gateway.caller();
        caller.send(&call.text().replacen("HTTP/1.1", "HTTP/1.0", 1));
        String::from_utf8(caller.read_rest()).expect("the answer is text")
    };
    let refused = call_1_0(&Call::stream("a1"));
    assert!(refused.starts_with("HTTP/1.1 505 "), "{refused}");
    assert!(engine.seen().is_empty());
    let whole = call_1_0(&Call::lookup("a2"));
    assert!(whole.starts_with("HTTP/1.1 200 "), "{whole}");
    assert!(whole.ends_with("done"), "{whole}");
    assert_eq!(desk.seen().len(), 1);
}
