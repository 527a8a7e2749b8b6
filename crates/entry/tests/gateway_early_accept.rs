//! Streams at an engine behind a link that accepts connections before it connects them to the engine. Such a connection may
//! lead to a process that started after the connection was made.

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use gateway::{
    Call, TestGateway, announce_process, announce_process_at, store_with_manifest, wait_for,
};
use oleander_standin::users::{EngineReply, FaultyLink, ScriptedEngine, SeenRequest, WireMessage};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;
/// The id of the last event before a stream halts.
const BREAK_EVENT: u64 = 2;
/// The start time of the process that an entry describes.
const REGISTERED: u64 = 1_000;
/// The start time of a later process under the same id.
const RESTARTED: u64 = 2_000;
/// The attempt id of the stream that the engine answers only when it is told to.
const SLOW: &str = "slow";
/// How long a gateway may need to keep a connection after its answer was delivered.
const KEEP_TIME: Duration = Duration::from_millis(300);

/// Returns the head of a stream and its events after the resume point, up to and including `to`.
fn stream(request: &SeenRequest, to: u64) -> Vec<u8> {
    let events = (request.resume_point() + 1..=to).flat_map(SeenRequest::event);
    request.stream_head().into_iter().chain(events).collect()
}

fn held(request: &SeenRequest) -> EngineReply {
    EngineReply::BytesThenSilence(stream(request, BREAK_EVENT))
}

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = stream(request, LAST_EVENT);
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

fn is_slow(request: &SeenRequest) -> bool {
    request.message.header("attempt-id") == Some(SLOW)
}

/// Returns the number of resumes that an engine got.
fn resumes(engine: &ScriptedEngine) -> usize {
    let seen = engine.seen();
    seen.iter()
        .filter(|request| request.resume_point() > 0)
        .count()
}

/// A gateway, a stream `a1` of version v1 that halted at another engine, and the only engine that is left. That engine's
/// process by its entry was proven after a connection was made that leads to the process after it.
struct EarlyAcceptPlay {
    engine: ScriptedEngine,
    gateway: TestGateway,
}

impl EarlyAcceptPlay {
    fn start() -> Self {
        let store = store_with_manifest();
        let first = ScriptedEngine::spawn(held);
        first.set_start(REGISTERED);
        announce_process(&store, "i-1", &first, "v1", REGISTERED);
        let gateway = TestGateway::start(&store);
        let mut caller = gateway.caller();
        caller.send(&Call::stream("a1").text());
        let text = format!("piece {BREAK_EVENT}\n\n");
        assert!(caller.read_until(&text).contains(&text));

        let answers_slow = Arc::new(AtomicBool::new(false));
        let may_answer = Arc::clone(&answers_slow);
        let engine = ScriptedEngine::spawn(move |request| {
            while is_slow(request) && !may_answer.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            whole(request)
        });
        engine.set_start(REGISTERED);
        let link = FaultyLink::spawn(engine.address());
        announce_process_at(&store, "i-2", link.address(), "v1", REGISTERED);
        store.delete("servers/i-1");
        for (change, id) in [("backend-joined", "i-2"), ("backend-gone", "i-1")] {
            gateway.wait_log("belief", |line| {
                line["change"] == change && line["backend"] == id
            });
        }

        let play = Self { engine, gateway };
        play.swap_behind_connection(&link, &answers_slow);
        play
    }

    /// Has a connection be accepted, the process be proven after that on another one, and the next process take its place
    /// before the first connection is connected to the engine.
    fn swap_behind_connection(&self, link: &FaultyLink, answers_slow: &AtomicBool) {
        let mut slow = self.gateway.caller();
        slow.send(&Call::stream(SLOW).text());
        wait_for("the slow stream begins", || {
            self.engine.seen().iter().any(is_slow)
        });
        link.hold_new(true);
        // A stream that no engine can go on with is sent without a query.
        let unasked = Call {
            path: "/draft/x",
            ..Call::stream("early")
        };
        let mut early = self.gateway.caller();
        early.send(&unasked.text());
        wait_for("a connection is accepted", || link.waiting() == 1);
        answers_slow.store(true, Ordering::SeqCst);
        assert!(slow.read().expect("an answer").is_whole);
        thread::sleep(KEEP_TIME);
        assert!(self.gateway.caller().call(&Call::stream("later")).is_whole);
        assert_eq!((self.engine.report_queries(), link.waiting()), (1, 1));

        link.reset_all();
        self.engine.set_start(RESTARTED);
        link.hold_new(false);
        assert!(early.read().expect("an answer").is_whole);
        thread::sleep(KEEP_TIME);
    }

    /// Resumes a stream.
    fn resume(&self, first: &str) -> WireMessage {
        let call = Call::stream("b1");
        let headers = format!(
            "{}Last-Event-Id: {BREAK_EVENT}\r\nResumes: {first}\r\n",
            call.headers
        );
        self.gateway.caller().call(&Call {
            headers: &headers,
            ..call
        })
    }
}

// Guards against a stream that goes on at another software version: the connection for it was made before the process was last
// proven, and leads to the next one.
#[test]
fn a_stream_does_not_go_on_over_a_connection_that_was_connected_after_its_process_ended() {
    let play = EarlyAcceptPlay::start();
    let answer = play.resume("a1");
    assert_eq!((answer.status(), resumes(&play.engine)), (503, 0));
}

// Guards against a stream whose origin is recorded as certain though the process that began it is not that of the entry: it would
// go on at the version that the entry names.
#[test]
fn a_stream_that_began_over_such_a_connection_has_no_certain_version() {
    let play = EarlyAcceptPlay::start();
    assert!(play.gateway.caller().call(&Call::stream("a2")).is_whole);
    // The process that the entry describes is at the address again.
    play.engine.set_start(REGISTERED);
    let answer = play.resume("a2");
    assert_eq!((answer.status(), resumes(&play.engine)), (503, 0));
}
