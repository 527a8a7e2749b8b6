//! Planned stops of a gateway while callers still come to it.

mod gateway;

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use gateway::{Call, Caller, TestGateway, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore, WireMessage};

/// The time between the stop signal and the kill, by the settings.
const GRACE: Duration = Duration::from_secs(4);

/// The time that the engine of `publish` takes.
const ANSWER_TIME: Duration = Duration::from_millis(2_200);

/// The time limit of the calls of `publish`, in milliseconds.
const TIME_LIMIT_MS: u64 = 2_600;

/// How long a call without an answer may take that the gateway has not read.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// The time between two late calls.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// When requests in flight get their final answers, after the stop signal: 0.8 s before the kill. The process ends 0.3 s
/// later.
const FINAL_ANSWERS_AFTER: Duration = Duration::from_millis(3_200);

/// How long after the final answers a stream breaks that has begun.
const BREAK_AFTER_FINAL_ANSWERS: Duration = Duration::from_millis(60);

/// The time between two events of a long stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

fn answer_late(request: &SeenRequest) -> EngineReply {
    std::thread::sleep(ANSWER_TIME);
    EngineReply::Bytes(request.answer("done"))
}

fn never_answer(_: &SeenRequest) -> EngineReply {
    EngineReply::BytesThenSilence(Vec::new())
}

/// Begins a stream and sends nothing more.
fn begin_stream(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(1));
    EngineReply::BytesThenSilence(bytes)
}

fn has_seen(engine: &ScriptedEngine, id: &str) -> bool {
    let seen = engine.seen();
    seen.iter()
        .any(|request| request.message.header("attempt-id") == Some(id))
}

/// The end of a call.
struct CallEnd {
    /// The answer; absent if the gateway has ended, or has closed the connection without one.
    answer: Option<WireMessage>,
    took: Duration,
}

/// Sends a call on a connection of its own.
fn call_apart(address: SocketAddr, text: String) -> JoinHandle<CallEnd> {
    let started = Instant::now();
    std::thread::spawn(move || {
        let answer = Caller::try_open(address).and_then(|mut caller| {
            caller.send(&text);
            caller.read()
        });
        CallEnd {
            answer,
            took: started.elapsed(),
        }
    })
}

/// A call that was made after the stop signal.
struct LateCall {
    id: String,
    end: CallEnd,
}

/// Makes calls from the stop signal until the kill would come.
fn call_while_stopping(gateway: &mut TestGateway, call: impl Fn(&str) -> String) -> Vec<LateCall> {
    gateway.signal(libc::SIGTERM);
    let until = Instant::now() + GRACE;
    let mut calls = Vec::new();
    while Instant::now() < until {
        let id = format!("late{}", calls.len());
        let answer = call_apart(gateway.frontend, call(&id));
        calls.push((id, answer));
        std::thread::sleep(CALL_INTERVAL);
    }
    gateway.wait_end();
    let finish = |(id, end): (String, JoinHandle<CallEnd>)| LateCall {
        id,
        end: end.join().expect("a caller reads"),
    };
    calls.into_iter().map(finish).collect()
}

/// Checks that each call that reached the engine has its whole answer, and that the others were refused, or came to
/// a gateway that had ended.
fn assert_none_is_cut(engine: &ScriptedEngine, calls: &[LateCall]) {
    for call in calls {
        let answer = call.end.answer.as_ref();
        let status = answer.map(WireMessage::status);
        let took = call.end.took;
        if has_seen(engine, &call.id) {
            assert_eq!(status, Some(200), "{} was passed on", call.id);
            assert!(answer.is_some_and(|answer| answer.is_whole));
        } else if status != Some(503) {
            // The connection was refused, or closed unread as the process ended.
            assert_eq!(status, None, "{}", call.id);
            assert!(took <= LOSS_SLACK, "{} was read: {took:?}", call.id);
        }
    }
    let is_refused = |call: &&LateCall| {
        call.end
            .answer
            .as_ref()
            .is_some_and(|it| it.status() == 503)
    };
    let refused: Vec<&LateCall> = calls.iter().filter(is_refused).collect();
    assert!(!refused.is_empty(), "calls come until the end");
    for call in refused {
        let answer = call
            .end
            .answer
            .as_ref()
            .expect("it was refused with an answer");
        assert_eq!(answer.header("connection"), Some("close"), "{}", call.id);
        assert!(answer.header("retry-after").is_some(), "{}", call.id);
    }
}

// Guards against a request that may run once, comes late in the grace time, and is cut with no answer at its end.
#[test]
fn a_late_request_that_may_run_once_is_served_whole_or_refused() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "desk", answer_late);
    let mut gateway = TestGateway::start(&store);
    let calls = call_while_stopping(&mut gateway, |id| {
        let publish = Call {
            time_ms: TIME_LIMIT_MS,
            ..Call::publish(id)
        };
        publish.text()
    });
    assert_none_is_cut(&engine, &calls);
    let served = calls.iter().filter(|call| has_seen(&engine, &call.id));
    assert!(served.count() >= 5, "there is time for the first ones");
}

// Guards against a stream that may run once and that is accepted although the grace time is shorter than it may take.
#[test]
fn a_late_stream_that_may_run_once_and_outlasts_the_grace_time_is_refused() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "engines", begin_stream);
    let mut gateway = TestGateway::start(&store);
    let calls = call_while_stopping(&mut gateway, |id| {
        let draft = Call {
            path: "/draft/x",
            ..Call::stream(id)
        };
        draft.text()
    });
    assert_none_is_cut(&engine, &calls);
    assert!(engine.seen().is_empty(), "its time limit is longer");
}

// Guards against requests in flight that are cut with no answer at the end of the grace time.
#[test]
fn requests_in_flight_are_answered_at_the_end_of_the_grace_time() {
    let store = store_with_manifest();
    let desk = start_engine(&store, "i-1", "desk", never_answer);
    let model = start_engine(&store, "i-2", "engines", never_answer);
    let mut gateway = TestGateway::start(&store);
    let long = |call: Call<'static>| Call {
        time_ms: 60_000,
        ..call
    };
    let calls = [
        Call::publish("once"),
        Call::lookup("again"),
        Call::stream("stream"),
    ];
    let answers = calls.map(|call| call_apart(gateway.frontend, long(call).text()));
    wait_for("the requests are passed on", || {
        has_seen(&desk, "once") && has_seen(&desk, "again") && has_seen(&model, "stream")
    });
    gateway.signal(libc::SIGTERM);
    gateway.wait_end();
    for answer in answers {
        let answer = answer
            .join()
            .expect("a caller reads")
            .answer
            .expect("an answer");
        let status = answer.status();
        assert!([502, 504].contains(&status), "it may have run: {status}");
        assert!(answer.is_whole);
    }
}

// Guards against a stream that has begun and is cut earlier than the end of the process requires.
#[test]
fn a_stream_that_has_begun_goes_on_until_the_gateway_ends() {
    let store = store_with_manifest();
    let _engine = steady_engine(&store);
    let mut gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    caller.send(&Call::stream("begun").text());
    caller.read_until("piece 1\n");
    gateway.signal(libc::SIGTERM);
    let stopped = Instant::now();
    let rest = caller.read_rest();
    let took = stopped.elapsed();
    let last_sixth = GRACE.mul_f64(5.0 / 6.0);
    assert!(
        took >= last_sixth && took < GRACE,
        "it ended after {took:?}"
    );
    let text = String::from_utf8_lossy(&rest);
    assert!(!text.ends_with("0\r\n\r\n"), "it looks whole");
    gateway.wait_end();
}

/// Begins a stream with an event each [`EVENT_INTERVAL`], or ends one that goes on with its next event.
fn begin_or_end_stream(request: &SeenRequest) -> EngineReply {
    let mut bytes = request.stream_head();
    let Some(last) = request.message.header("last-event-id") else {
        bytes.extend(SeenRequest::event(1));
        return EngineReply::Steady {
            first: bytes,
            next_event: 2,
            interval: EVENT_INTERVAL,
        };
    };
    let last: u64 = last.parse().expect("an event id is a number");
    bytes.extend(SeenRequest::event(last + 1));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

// Guards against a stream that has begun, breaks shortly before the gateway ends, and is not resumed although another
// engine has the rest.
#[test]
fn a_stream_that_breaks_shortly_before_the_gateway_ends_goes_on() {
    let store = store_with_manifest();
    let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", begin_or_end_stream));
    let mut gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    caller.send(&Call::stream("begun").text());
    caller.read_until("piece 1\n");
    let began = engines.iter().find(|engine| has_seen(engine, "begun"));
    let began = began.expect("one of them began the stream");
    gateway.signal(libc::SIGTERM);
    std::thread::sleep(FINAL_ANSWERS_AFTER + BREAK_AFTER_FINAL_ANSWERS);
    began.crash();
    let rest = String::from_utf8_lossy(&caller.read_rest()).into_owned();
    assert!(rest.ends_with("0\r\n\r\n"), "{rest:?}");
    let ids = rest.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("a number")).collect();
    let last = ids.last().copied().expect("events came after the first");
    assert!(ids.iter().copied().eq(2..=last), "{ids:?}");
    let seen: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(seen, 2, "it went on once");
    gateway.wait_end();
}

/// Starts an engine whose streams have an event each [`EVENT_INTERVAL`], without end.
fn steady_engine(store: &UsersStore) -> ScriptedEngine {
    start_engine(store, "i-1", "engines", |request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        EngineReply::Steady {
            first: bytes,
            next_event: 2,
            interval: EVENT_INTERVAL,
        }
    })
}
