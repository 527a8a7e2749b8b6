//! Engines whose answers go on without end.

mod gateway;

use std::time::{Duration, Instant};

use gateway::flooding::FloodKind;
use gateway::{Call, TestGateway, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, SeenRequest};

/// The number of calls that are flooded at once.
const CALLS: usize = 16;

/// The longest time to a call's final answer, from another engine or as a failure.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// The longest time to an answer of the readiness check.
const READINESS_TIME: Duration = Duration::from_millis(300);

/// The memory that the gateway may use: half of what its settings grant, in kilobytes.
const MEMORY_KILOBYTES: u64 = 110 * 1_024 / 2;

/// The length of a long event's data.
const LONG_EVENT_BYTES: usize = 900 * 1_024;

fn whole_stream(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(1));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Sends calls that may go to another engine, all at once; returns the statuses of their answers.
fn call_at_once(gateway: &TestGateway, calls: &[Call<'_>]) -> Vec<u16> {
    let mut callers: Vec<_> = calls.iter().map(|_| gateway.caller()).collect();
    for (caller, call) in callers.iter_mut().zip(calls) {
        caller.send(&call.text());
    }
    let read = |caller: &mut gateway::Caller| caller.read().map_or(0, |answer| answer.status());
    callers.iter_mut().map(read).collect()
}

/// Floods calls of one kind while a sound engine is there too, and checks what the callers, the
/// readiness check and the machine notice.
fn flood(kind: FloodKind, service: &str) {
    let store = store_with_manifest();
    let flooding = start_engine(&store, "i-flooding", service, move |request| {
        kind.reply(request)
    });
    let is_stream = service == "engines";
    let _sound = start_engine(&store, "i-sound", service, move |request| match is_stream {
        true => whole_stream(request),
        false => EngineReply::Bytes(request.answer("done")),
    });
    let gateway = TestGateway::start(&store);
    let ids: Vec<String> = (0..CALLS).map(|number| format!("a{number}")).collect();
    let call = |id| match is_stream {
        true => Call::stream(id),
        false => Call::lookup(id),
    };
    let calls: Vec<Call<'_>> = ids.iter().map(|id| call(id)).collect();
    let (slowest, statuses, elapsed) = std::thread::scope(|scope| {
        let answers = scope.spawn(|| {
            let started = Instant::now();
            let statuses = call_at_once(&gateway, &calls);
            (statuses, started.elapsed())
        });
        let mut slowest = Duration::ZERO;
        while !answers.is_finished() {
            let started = Instant::now();
            assert!(gateway.is_ready());
            slowest = slowest.max(started.elapsed());
            std::thread::sleep(Duration::from_millis(10));
        }
        let (statuses, elapsed) = answers.join().expect("the calls are answered");
        (slowest, statuses, elapsed)
    });
    assert!(
        !flooding.seen().is_empty(),
        "{kind:?}: no call met the flood"
    );
    assert!(elapsed <= ANSWER_TIME, "{kind:?}: {elapsed:?}");
    assert_eq!(statuses, [200; CALLS], "{kind:?}");
    assert!(
        slowest <= READINESS_TIME,
        "{kind:?}: readiness took {slowest:?}"
    );
    let memory = gateway.resident_kilobytes();
    assert!(memory <= MEMORY_KILOBYTES, "{kind:?}: {memory} kB");
    let line = gateway.wait_log("attempt-failed", |line| line["backend"] == "i-flooding");
    assert!(
        line["outcome"]
            .as_str()
            .unwrap_or("")
            .contains("longer than"),
        "{line}"
    );
}

// Guards against an event without end that holds up all callers of a gateway.
#[test]
fn an_event_without_end_costs_one_send() {
    flood(FloodKind::Event, "engines");
}

// Guards against comments without end, which never complete an event.
#[test]
fn comments_without_end_cost_one_send() {
    flood(FloodKind::Comments, "engines");
}

// Guards against interim answers that put off an answer until the caller's time is over.
#[test]
fn interim_answers_without_end_cost_one_send() {
    flood(FloodKind::InterimAnswers, "engines");
}

// Guards against trailers that put off the end of a stream until the caller's time is over.
#[test]
fn trailers_without_end_cost_one_send() {
    flood(FloodKind::Trailers, "engines");
}

// Guards against a head without end.
#[test]
fn a_head_without_end_costs_one_send() {
    flood(FloodKind::Head, "engines");
}

// Guards against bodies that are each held up to a bound of their own, without one for all of them.
#[test]
fn bodies_without_end_share_one_bound() {
    flood(FloodKind::Body, "desk");
}

// Guards against late answers without end, which put off an answer until the caller's time is over.
#[test]
fn late_answers_without_end_cost_one_send() {
    flood(FloodKind::LateAnswers, "engines");
}

/// Returns a stream with one event of this many bytes of data, in chunks of this size.
fn long_event(request: &SeenRequest, data_len: usize, chunk_len: usize) -> EngineReply {
    let text = format!("id: 1\ndata: {}\n\n", "x".repeat(data_len));
    let mut bytes = request.stream_head();
    for piece in text.as_bytes().chunks(chunk_len) {
        let piece = std::str::from_utf8(piece).expect("the event is ASCII");
        bytes.extend(SeenRequest::chunk(piece));
    }
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

// Guards against a bound that also breaks off long events that have an end.
#[test]
fn a_long_event_below_the_bound_is_delivered_whole() {
    let store = store_with_manifest();
    let _engine = start_engine(&store, "i-1", "engines", |request| {
        long_event(request, 60_000, 700)
    });
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    assert_eq!(answer.status(), 200);
    let text = format!("id: 1\ndata: {}\n\n", "x".repeat(60_000));
    assert!(answer.text() == text, "{} bytes", answer.text().len());
}

// Guards against a bound that breaks off the last event of a sound stream, which repeats the whole answer, and
// against floods that leave no room for it.
#[test]
fn an_event_of_900_kib_is_delivered_whole_beside_a_flood() {
    let store = store_with_manifest();
    let flooding = start_engine(&store, "i-flooding", "engines", |request| {
        FloodKind::Event.reply(request)
    });
    let _sound = start_engine(&store, "i-sound", "engines", |request| {
        long_event(request, LONG_EVENT_BYTES, 8_192)
    });
    let gateway = TestGateway::start(&store);
    let ids: Vec<String> = (0..8).map(|number| format!("a{number}")).collect();
    let mut callers: Vec<_> = ids.iter().map(|_| gateway.caller()).collect();
    for (caller, id) in callers.iter_mut().zip(&ids) {
        caller.send(&Call::stream(id).text());
    }
    for caller in &mut callers {
        let answer = caller.read().expect("an answer");
        assert_eq!(answer.status(), 200);
        let len = answer.text().len();
        assert!(answer.is_whole && len > LONG_EVENT_BYTES, "{len} bytes");
    }
    assert!(!flooding.seen().is_empty(), "no call met the flood");
    let memory = gateway.resident_kilobytes();
    assert!(memory <= MEMORY_KILOBYTES, "{memory} kB");
}
