//! Answers with neither a length nor chunks whose engine's process ends. The kernel closes the connections of a process
//! that is killed as an engine closes that of an answer that it has finished.

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gateway::{Call, TestGateway, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, PacedEnd, ScriptedEngine, SeenRequest, WireMessage};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 6;
/// The id of the last event before the first engine's process ends.
const BREAK_EVENT: u64 = 3;
/// The pause between two pieces of an answer.
const PACE: Duration = Duration::from_millis(25);
/// The path of a route whose streams must not go on at another engine.
const ONCE_PATH: &str = "/draft/x";
/// The pieces of an answer that is no stream.
const BODY: [&str; 3] = ["a body ", "in three ", "pieces"];

/// Returns the text of the events from `from` up to and including `to`.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(SeenRequest::event_text).collect()
}

/// Returns a stream up to the event `to` that ends with its connection.
fn stream_up_to(request: &SeenRequest, to: u64, end: PacedEnd) -> EngineReply {
    let events = (request.resume_point() + 1..=to).map(|id| SeenRequest::event_text(id).into());
    EngineReply::Paced {
        pieces: std::iter::once(request.unframed_stream_head())
            .chain(events)
            .collect(),
        interval: PACE,
        end,
    }
}

/// Returns the head and the events of a whole stream that ends with its connection.
fn paced_pieces(request: &SeenRequest) -> Vec<Vec<u8>> {
    let events = (1..=LAST_EVENT).map(|id| SeenRequest::event_text(id).into());
    std::iter::once(request.unframed_stream_head())
        .chain(events)
        .collect()
}

/// Returns a whole stream in chunks that states an idle time of one second.
fn kept_stream(request: &SeenRequest) -> Vec<u8> {
    let head = String::from_utf8(request.stream_head()).expect("a head is text");
    let mut bytes = head
        .replacen("\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)
        .into_bytes();
    bytes.extend(SeenRequest::event(1));
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Returns the first `count` pieces of an answer that is no stream and ends with its connection.
fn body_up_to(request: &SeenRequest, count: usize, end: PacedEnd) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    let head =
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: proof-{id}\r\n\r\n");
    let body = BODY[..count].iter().map(|piece| piece.as_bytes().to_vec());
    EngineReply::Paced {
        pieces: std::iter::once(head.into_bytes()).chain(body).collect(),
        interval: PACE,
        end,
    }
}

/// Returns a script whose first request at any engine ends with the engine, between two events. Every other stream is whole.
fn first_breaks(
    end: PacedEnd,
) -> impl Fn(&SeenRequest) -> EngineReply + Send + Sync + Clone + 'static {
    move |request| match request.resume_point() {
        0 => stream_up_to(request, BREAK_EVENT, end),
        _ => stream_up_to(request, LAST_EVENT, PacedEnd::Close),
    }
}

fn sends(engines: &[ScriptedEngine]) -> usize {
    engines.iter().map(|engine| engine.seen().len()).sum()
}

/// Sends a stream that may be resumed to one of two engines, where it breaks off.
fn resume_over(end: PacedEnd) -> (WireMessage, usize) {
    let store = store_with_manifest();
    let script = first_breaks(end);
    let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script.clone()));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a1");
    assert_eq!(end["evidence"], "closed-together");
    (answer, sends(&engines))
}

// Guards against a resumable stream that ends as whole when the process of its engine ends between two events.
#[test]
fn an_unframed_stream_goes_on_when_its_engines_process_ends_between_two_events() {
    let (answer, sends) = resume_over(PacedEnd::Crash);
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole);
    assert_eq!(sends, 2);
}

// Guards against the same when another process accepts connections at the engine's address at once.
#[test]
fn an_unframed_stream_goes_on_when_its_engine_starts_again_at_once() {
    let (answer, sends) = resume_over(PacedEnd::Restart);
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole);
    assert_eq!(sends, 2);
}

// Guards against a stream that cannot be resumed and ends as whole when its engine's process ends.
#[test]
fn an_unframed_stream_that_cannot_be_resumed_is_not_whole_when_its_engines_process_ends() {
    for end in [PacedEnd::Crash, PacedEnd::Restart] {
        let store = store_with_manifest();
        let _engine = start_engine(&store, "i-1", "engines", first_breaks(end));
        let gateway = TestGateway::start(&store);
        let answer = gateway.caller().call(&Call {
            path: ONCE_PATH,
            ..Call::stream("a1")
        });
        assert_eq!(answer.text(), events(1, BREAK_EVENT), "{end:?}");
        assert!(!answer.is_whole, "{end:?}");
    }
}

// Guards against an answer that is no stream and is delivered short, with a length that fits.
#[test]
fn an_unframed_answer_is_repeated_when_its_engines_process_ends_in_the_middle() {
    for end in [PacedEnd::Crash, PacedEnd::Restart] {
        let store = store_with_manifest();
        let has_broken = Arc::new(AtomicBool::new(false));
        let script = move |request: &SeenRequest| match has_broken.swap(true, Ordering::SeqCst) {
            false => body_up_to(request, 2, end),
            true => body_up_to(request, BODY.len(), PacedEnd::Close),
        };
        let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "desk", script.clone()));
        let gateway = TestGateway::start(&store);
        let answer = gateway.caller().call(&Call::lookup("a1"));
        let seen = (answer.status(), answer.text());
        assert_eq!(seen, (200, BODY.concat()), "{end:?}");
        assert_eq!(sends(&engines), 2, "{end:?}");
    }
}

// Guards against the same for a request that may run once, which has no whole answer then.
#[test]
fn an_unframed_answer_that_may_not_be_repeated_fails_when_its_engines_process_ends() {
    for end in [PacedEnd::Crash, PacedEnd::Restart] {
        let store = store_with_manifest();
        let script = move |request: &SeenRequest| body_up_to(request, 2, end);
        let engine = start_engine(&store, "i-1", "desk", script);
        let gateway = TestGateway::start(&store);
        let answer = gateway.caller().call(&Call::publish("a1"));
        assert_eq!(answer.status(), 502, "{end:?}");
        assert_eq!(engine.seen().len(), 1, "{end:?}");
    }
}

// Guards against whole answers of living engines that are sent again, or that cost many connections.
#[test]
fn unframed_answers_of_living_engines_are_whole_and_sent_once() {
    const CALLS: usize = 24;
    let store = store_with_manifest();
    let stream = |request: &SeenRequest| stream_up_to(request, LAST_EVENT, PacedEnd::Close);
    let body = |request: &SeenRequest| body_up_to(request, BODY.len(), PacedEnd::Close);
    let engines = [
        start_engine(&store, "i-1", "engines", stream),
        start_engine(&store, "i-2", "engines", stream),
        start_engine(&store, "i-3", "desk", body),
    ];
    let gateway = TestGateway::start(&store);
    for nth in 0..CALLS {
        let id = format!("a{nth}");
        let (call, whole) = match nth % 3 {
            0 => (Call::publish(&id), BODY.concat()),
            1 => (Call::stream(&id), events(1, LAST_EVENT)),
            _ => (
                Call {
                    path: ONCE_PATH,
                    ..Call::stream(&id)
                },
                events(1, LAST_EVENT),
            ),
        };
        let answer = gateway.caller().call(&call);
        assert!(answer.is_whole, "{id}");
        assert_eq!((answer.status(), answer.text()), (200, whole), "{id}");
    }
    assert_eq!(sends(&engines), CALLS);
    let connections: usize = engines
        .iter()
        .map(ScriptedEngine::accepted_connections)
        .sum();
    assert!(
        connections <= CALLS + engines.len(),
        "{connections} connections"
    );
}

// Guards against a whole stream that is cut, or has events twice, because its engine leaves right after the last event: it
// goes on elsewhere, where nothing is left to say.
#[test]
fn an_unframed_stream_whose_engine_leaves_after_the_last_event_is_whole() {
    let store = store_with_manifest();
    let script = |request: &SeenRequest| match request.resume_point() {
        0 => stream_up_to(request, LAST_EVENT, PacedEnd::Crash),
        _ => stream_up_to(request, LAST_EVENT, PacedEnd::Close),
    };
    let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole);
    assert_eq!(sends(&engines), 2);
}

// Guards against a whole stream that is cut because its engine closed an idle connection at the time that it states.
#[test]
fn an_unframed_stream_that_outlasts_idle_connections_is_whole() {
    const IDLE: Duration = Duration::from_secs(1);
    let store = store_with_manifest();
    let stream = |request: &SeenRequest| match request.nth {
        // The first answer states the idle time, and its connection is kept.
        0 => EngineReply::Bytes(kept_stream(request)),
        _ => EngineReply::Paced {
            pieces: paced_pieces(request),
            interval: IDLE / 2,
            end: PacedEnd::Close,
        },
    };
    let engine = start_engine(&store, "i-1", "engines", stream);
    engine.close_idle_after(IDLE);
    let gateway = TestGateway::start(&store);
    assert!(gateway.caller().call(&Call::stream("a0")).is_whole);
    let answer = gateway.caller().call(&Call {
        path: ONCE_PATH,
        ..Call::stream("a1")
    });
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole);
}

// Guards against whole answers that are cut because their engine has begun to refuse new connections, as one does that leaves.
#[test]
fn an_unframed_stream_of_an_engine_that_refuses_connections_is_whole() {
    let store = store_with_manifest();
    let stream = |request: &SeenRequest| EngineReply::Paced {
        pieces: paced_pieces(request),
        interval: 4 * PACE,
        end: PacedEnd::Close,
    };
    let engine = start_engine(&store, "i-1", "engines", stream);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    let call = Call {
        path: ONCE_PATH,
        ..Call::stream("a1")
    };
    caller.send(&call.text());
    let begun = caller.read_until("piece 2\n\n");
    engine.refuse_connections();
    let rest = caller.read_until("0\r\n\r\n");
    assert!(rest.ends_with("0\r\n\r\n"), "{begun}{rest}");
}
