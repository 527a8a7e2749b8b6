//! Streams at engines that have started again, with other software, under an id and an address whose registry entry still
//! describes the process before. The gateway has no connection that would show it.

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gateway::{
    Call, TestGateway, announce_process, announce_version, announce_without_start, manifest,
    store_with_manifest, wait_for,
};
use oleander_standin::users::{
    EngineReply, PacedEnd, ScriptedEngine, SeenRequest, UsersStore, WireMessage,
};

/// The number of queries without an answer after which a gateway may count on none.
const QUERIES: usize = 3;
/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;
/// The id of the last event before a stream breaks or halts.
const BREAK_EVENT: u64 = 2;
/// The pause between two pieces of a paced answer.
const PACE: Duration = Duration::from_millis(300);
/// The start time of the process that an entry describes.
const REGISTERED: u64 = 1_000;
/// The start time of a later process under the same id.
const RESTARTED: u64 = 2_000;

/// Returns the head of a stream and its events after the resume point, up to and including `to`.
fn pieces(request: &SeenRequest, to: u64) -> Vec<Vec<u8>> {
    let events = (request.resume_point() + 1..=to).map(SeenRequest::event);
    std::iter::once(request.stream_head())
        .chain(events)
        .collect()
}

fn held(request: &SeenRequest) -> EngineReply {
    EngineReply::BytesThenSilence(pieces(request, BREAK_EVENT).concat())
}

fn broken(request: &SeenRequest) -> EngineReply {
    EngineReply::Paced {
        pieces: pieces(request, BREAK_EVENT),
        interval: PACE,
        end: PacedEnd::Close,
    }
}

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = pieces(request, LAST_EVENT).concat();
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

/// Refuses reports with status 503, and answers all else.
fn report_busy(request: &SeenRequest) -> EngineReply {
    refuse_report(request, 503)
}

/// Refuses reports with status 404, and answers all else.
fn report_missing(request: &SeenRequest) -> EngineReply {
    refuse_report(request, 404)
}

fn refuse_report(request: &SeenRequest, status: u16) -> EngineReply {
    if !request.message.start.starts_with("GET /report ") {
        return whole(request);
    }
    let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
    EngineReply::Bytes(answer.into_bytes())
}

/// Returns the number of resumes that an engine got.
fn resumes(engine: &ScriptedEngine) -> usize {
    let seen = engine.seen();
    seen.iter()
        .filter(|request| request.resume_point() > 0)
        .count()
}

/// Which software versions the registry names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Versions {
    One,
    /// A second one leaves the service.
    Two,
}

/// A gateway and the engine `i-1` of version v1, at which streams begin until it is full.
struct IdentityPlay {
    store: UsersStore,
    first: ScriptedEngine,
    is_full: Arc<AtomicBool>,
    gateway: TestGateway,
    /// Engines that take no part.
    _others: Vec<ScriptedEngine>,
}

impl IdentityPlay {
    /// Starts `i-1`, whose entry is of the process that started at [`REGISTERED`].
    fn start(versions: Versions, started_ms: u64, script: fn(&SeenRequest) -> EngineReply) -> Self {
        let store = store_with_manifest();
        let is_full = Arc::new(AtomicBool::new(false));
        let refuses = Arc::clone(&is_full);
        let first = ScriptedEngine::spawn(move |request| match refuses.load(Ordering::SeqCst) {
            true => full(request),
            false => script(request),
        });
        first.set_start(started_ms);
        announce_process(&store, "i-1", &first, "v1", REGISTERED);
        let mut others = Vec::new();
        if versions == Versions::Two {
            let leaving = ScriptedEngine::spawn(whole);
            announce_version(&store, "i-9", "engines", &leaving, "draining", "v2");
            others.push(leaving);
        }
        Self {
            gateway: TestGateway::start(&store),
            store,
            first,
            is_full,
            _others: others,
        }
    }

    /// Begins the stream `a1` and leaves it after the event at which it halts.
    fn begin(&self) {
        let mut caller = self.gateway.caller();
        caller.send(&Call::stream("a1").text());
        let text = format!("piece {BREAK_EVENT}\n\n");
        assert!(caller.read_until(&text).contains(&text));
    }

    /// Starts `i-2`, whose entry is of the process that started at [`REGISTERED`], and has `i-1` refuse all.
    fn add_second(&self, started_ms: u64) -> ScriptedEngine {
        self.add_second_with(started_ms, whole)
    }

    /// Starts `i-2` likewise, with its own answers.
    fn add_second_with(
        &self,
        started_ms: u64,
        script: fn(&SeenRequest) -> EngineReply,
    ) -> ScriptedEngine {
        let second = ScriptedEngine::spawn(script);
        second.set_start(started_ms);
        announce_process(&self.store, "i-2", &second, "v1", REGISTERED);
        self.gateway.wait_log("belief", |line| {
            line["change"] == "backend-joined" && line["backend"] == "i-2"
        });
        self.is_full.store(true, Ordering::SeqCst);
        second
    }

    /// Has streams be refused at `i-1` until it has been silent as often as a gateway asks in a row.
    fn ask_silent_first(&self) {
        self.first.silence_reports();
        let mut tries = 0;
        wait_for("it is asked", || {
            tries += 1;
            let id = format!("s{tries}");
            self.gateway.caller().call(&Call::stream(&id));
            self.first.report_queries() >= QUERIES
        });
    }

    /// Resumes the stream `a1`.
    fn resume(&self) -> WireMessage {
        self.resume_of("a1")
    }

    /// Resumes a stream.
    fn resume_of(&self, first: &str) -> WireMessage {
        self.resume_as("b1", first)
    }

    /// Resumes a stream with an attempt of its own.
    fn resume_as(&self, id: &str, first: &str) -> WireMessage {
        let call = Call::stream(id);
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

// Guards against a stream that goes on at another software version: the engine that is chosen for a resume has started again,
// and the registry does not tell yet.
#[test]
fn a_stream_does_not_go_on_at_a_process_that_its_entry_does_not_describe() {
    for versions in [Versions::One, Versions::Two] {
        let play = IdentityPlay::start(versions, REGISTERED, held);
        play.begin();
        let second = play.add_second(RESTARTED);
        let answer = play.resume();
        assert_eq!(
            (answer.status(), resumes(&second)),
            (503, 0),
            "{versions:?}"
        );
        assert!(answer.header("retry-after").is_some());
    }
}

// Guards against a stream that goes on at another software version: the engine at which it began had started again, so that its
// entry names another version than the one that began the stream.
#[test]
fn a_stream_that_began_at_a_process_that_its_entry_does_not_describe_has_no_certain_version() {
    let play = IdentityPlay::start(Versions::Two, RESTARTED, held);
    play.begin();
    let second = play.add_second(REGISTERED);
    let answer = play.resume();
    assert_eq!((answer.status(), resumes(&second)), (503, 0));
}

// Guards against a stream of unknown origin that goes on at the only registered version although a process is known that no
// entry describes.
#[test]
fn a_stream_of_unknown_origin_does_not_go_on_while_a_process_is_not_registered() {
    let play = IdentityPlay::start(Versions::One, RESTARTED, held);
    play.begin();
    let second = play.add_second(REGISTERED);
    let answer = play.resume_of("unknown");
    assert_eq!((answer.status(), resumes(&second)), (503, 0));
}

// Guards against the same where the gateway itself resumes the stream.
#[test]
fn a_stream_of_such_a_process_is_not_resumed_within_its_answer() {
    let play = IdentityPlay::start(Versions::Two, RESTARTED, broken);
    let mut caller = play.gateway.caller();
    caller.send(&Call::stream("a1").text());
    wait_for("it is sent", || !play.first.seen().is_empty());
    let second = play.add_second(REGISTERED);
    let answer = caller.read().expect("an answer");
    assert_eq!((answer.is_whole, resumes(&second)), (false, 0));
}

// Guards against a stream that goes on at an engine that does not say which process it is, or that waits for it for long, while
// another engine would go on.
#[test]
fn a_stream_goes_on_elsewhere_if_a_process_does_not_tell_its_start() {
    let play = IdentityPlay::start(Versions::Two, REGISTERED, held);
    play.begin();
    let silent = play.add_second(REGISTERED);
    silent.silence_reports();
    let third = ScriptedEngine::spawn(whole);
    third.set_start(REGISTERED);
    announce_process(&play.store, "i-3", &third, "v1", REGISTERED);
    play.gateway.wait_log("belief", |line| {
        line["change"] == "backend-joined" && line["backend"] == "i-3"
    });
    let answer = play.resume();
    assert_eq!((answer.status(), answer.is_whole), (200, true));
    assert_eq!((resumes(&silent), resumes(&third)), (0, 1));
}

// Guards against a stream that goes on at another software version: the engine at which it began had started again, and could not
// be heard when it was asked before.
#[test]
fn a_stream_that_began_at_a_process_that_was_silent_before_has_no_certain_version() {
    let play = IdentityPlay::start(Versions::Two, RESTARTED, held);
    play.ask_silent_first();
    play.first.answer_reports();
    play.begin();
    let second = play.add_second(REGISTERED);
    let answer = play.resume();
    assert_eq!((answer.status(), resumes(&second)), (503, 0));
}

// Guards against a stream that goes on, unasked, at an engine that has started again and could not be heard when it was asked before.
#[test]
fn a_stream_does_not_go_on_unasked_at_a_process_that_was_silent_before() {
    let play = IdentityPlay::start(Versions::Two, REGISTERED, held);
    play.begin();
    let second = play.add_second(RESTARTED);
    second.silence_reports();
    let mut tries = 0;
    wait_for("it is asked", || {
        tries += 1;
        play.resume_as(&format!("s{tries}"), "a1");
        second.report_queries() >= QUERIES
    });
    second.answer_reports();
    let statuses = (0..5).map(|nth| play.resume_as(&format!("b{nth}"), "a1").status());
    assert!(statuses.into_iter().all(|status| status == 503));
    assert_eq!(resumes(&second), 0);
}

/// Starts the gateway of a service whose engine `i-0` has told its start and then left, and the engine `i-1`, which refuses
/// to tell its own with a status and is another process than its entry's.
fn start_refusing(status: u16) -> (IdentityPlay, ScriptedEngine) {
    let store = store_with_manifest();
    let left = ScriptedEngine::spawn(whole);
    left.set_start(REGISTERED);
    announce_process(&store, "i-0", &left, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    assert!(gateway.caller().call(&Call::stream("w1")).is_whole);
    store.delete("servers/i-0");
    gateway.wait_log("belief", |line| line["change"] == "backend-gone");
    let is_full = Arc::new(AtomicBool::new(false));
    let refuses = Arc::clone(&is_full);
    let first = ScriptedEngine::spawn(move |request| match refuses.load(Ordering::SeqCst) {
        true => full(request),
        false => held(request),
    });
    first.set_start(RESTARTED);
    first.refuse_reports(status);
    announce_process(&store, "i-1", &first, "v1", REGISTERED);
    gateway.wait_log("belief", |line| line["backend"] == "i-1");
    let play = IdentityPlay {
        store,
        first,
        is_full,
        gateway,
        _others: Vec::new(),
    };
    (play, left)
}

// Guards against a stream that goes on at another software version: the engine at which it began had started again, and refused
// for a moment to tell its start, like one that never tells it.
#[test]
fn a_stream_that_began_at_a_process_that_refused_to_tell_its_start_has_no_certain_version() {
    for status in [404, 503] {
        let (play, _left) = start_refusing(status);
        let mut tries = 0;
        let mut caller = play.gateway.caller();
        wait_for("a stream begins", || {
            tries += 1;
            caller = play.gateway.caller();
            caller.send(&Call::stream(&format!("a{tries}")).text());
            caller.read_until("\r\n").contains(" 200 ")
        });
        caller.read_until(&format!("piece {BREAK_EVENT}\n\n"));
        let second = play.add_second(REGISTERED);
        let answer = play.resume_of(&format!("a{tries}"));
        assert_eq!((answer.status(), resumes(&second)), (503, 0), "{status}");
    }
}

// Guards against a stream that goes on, unasked, at an engine that has started again and refused its report for a moment, although
// engines of its service tell their starts.
#[test]
fn a_stream_does_not_go_on_unasked_at_a_process_that_refused_its_report_once() {
    let refusals: [fn(&SeenRequest) -> EngineReply; 2] = [report_busy, report_missing];
    for refusal in refusals {
        let play = IdentityPlay::start(Versions::Two, REGISTERED, held);
        play.begin();
        let second = play.add_second_with(RESTARTED, refusal);
        second.script_reports();
        let refused = play.resume_as("b0", "a1").status();
        second.answer_reports();
        let later = play.resume_as("b1", "a1").status();
        assert_eq!((refused, later, resumes(&second)), (503, 503, 0));
    }
}

// Guards against a stream that goes on, unasked, at an engine that has started again, because its entry was written once without
// the start of its process, which it had named before.
#[test]
fn a_stream_does_not_go_on_unasked_at_a_process_whose_entry_lost_its_start() {
    let play = IdentityPlay::start(Versions::Two, REGISTERED, held);
    play.begin();
    let second = play.add_second(RESTARTED);
    announce_without_start(&play.store, "i-2", &second, "v1");
    play.store.put("op/config", manifest(2).to_string());
    play.gateway.wait_log("belief", |line| {
        line["change"] == "manifest" && line["version"] == 2
    });
    // Entries and the manifest may come by different watches.
    std::thread::sleep(PACE);
    let answer = play.resume();
    assert_eq!((answer.status(), resumes(&second)), (503, 0));
}

// Guards against streams that are lost although the processes at which they began and would go on are those of the registry.
#[test]
fn a_stream_goes_on_between_processes_that_their_entries_describe() {
    let play = IdentityPlay::start(Versions::Two, REGISTERED, held);
    play.begin();
    let second = play.add_second(REGISTERED);
    let answer = play.resume();
    assert_eq!((answer.status(), answer.is_whole), (200, true));
    assert_eq!((resumes(&second), second.report_queries()), (1, 1));
}

// Guards against processes that are asked who they are again and again: one query covers a connection, however many streams
// begin on it.
#[test]
fn a_process_is_asked_once_for_the_streams_that_begin_on_one_connection() {
    let play = IdentityPlay::start(Versions::One, REGISTERED, whole);
    for nth in 0..4 {
        let id = format!("a{nth}");
        assert!(play.gateway.caller().call(&Call::stream(&id)).is_whole);
    }
    assert_eq!(play.first.report_queries(), 1);
}

// Guards against engines that serve no stream because they take the query for a request, or never answer it.
#[test]
fn streams_begin_at_engines_that_know_no_report() {
    let never_tells: [fn(&ScriptedEngine); 2] = [
        ScriptedEngine::script_reports,
        ScriptedEngine::silence_reports,
    ];
    for set in never_tells {
        let play = IdentityPlay::start(Versions::One, REGISTERED, whole);
        set(&play.first);
        let mut tries = 0;
        wait_for("a stream begins", || {
            tries += 1;
            let id = format!("a{tries}");
            play.gateway.caller().call(&Call::stream(&id)).status() == 200
        });
        let asked = play.first.report_queries();
        assert_eq!(
            play.gateway.caller().call(&Call::stream("b1")).status(),
            200
        );
        assert_eq!(play.first.report_queries(), asked);
    }
}

/// Returns the head of a stream that ends with its connection, and its first events.
fn unframed(request: &SeenRequest) -> Vec<Vec<u8>> {
    let events = (1..=BREAK_EVENT).map(|id| SeenRequest::event_text(id).into_bytes());
    std::iter::once(request.unframed_stream_head())
        .chain(events)
        .collect()
}

/// Returns an unframed stream whose engine ends as `end` says.
fn unframed_stream(end: PacedEnd) -> (WireMessage, String, usize) {
    unframed_stream_at(end, |_| {})
}

/// Returns an unframed stream of an engine that was changed before, and ends as `end` says.
fn unframed_stream_at(
    end: PacedEnd,
    change: impl FnOnce(&ScriptedEngine),
) -> (WireMessage, String, usize) {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(move |request| EngineReply::Paced {
        pieces: unframed(request),
        interval: Duration::from_millis(20),
        end,
    });
    engine.set_start(REGISTERED);
    change(&engine);
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call {
        path: "/draft/x",
        ..Call::stream("a1")
    });
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a1");
    let evidence = end["evidence"].as_str().unwrap_or_default().to_owned();
    (answer, evidence, engine.report_queries())
}

// Guards against whole unframed streams that are cut: the process that the registry describes says that it outlived the end, on
// the connection that was watched.
#[test]
fn an_unframed_stream_is_whole_if_its_process_tells_so_after_the_end() {
    let (answer, evidence, queries) = unframed_stream(PacedEnd::Close);
    assert_eq!((answer.is_whole, &*evidence, queries), (true, "told", 1));
}

// Guards against a broken unframed stream that ends as whole because another process accepts connections at once.
#[test]
fn an_unframed_stream_is_not_whole_if_another_process_answers_after_the_end() {
    let (answer, evidence, queries) = unframed_stream(PacedEnd::Restart);
    assert_eq!((answer.is_whole, &*evidence), (false, "replaced"));
    assert!(queries <= 2, "{queries}");
}

// Guards against a broken unframed stream that ends as whole because its process cannot be heard after the end, which looks like one
// that stands still.
#[test]
fn an_unframed_stream_is_not_whole_if_its_process_is_silent_after_the_end() {
    let (answer, evidence, _) =
        unframed_stream_at(PacedEnd::Close, ScriptedEngine::silence_reports);
    assert_eq!((answer.is_whole, &*evidence), (false, "silent"));
}

/// Returns the second of two unframed streams of an engine that does not tell its start, which was changed before it.
fn second_unframed_stream(change: impl FnOnce(&ScriptedEngine)) -> (WireMessage, String) {
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|request| EngineReply::Paced {
        pieces: unframed(request),
        interval: Duration::from_millis(20),
        end: PacedEnd::Close,
    });
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    let call = |id| {
        gateway.caller().call(&Call {
            path: "/draft/x",
            ..Call::stream(id)
        })
    };
    assert!(call("a1").is_whole);
    change(&engine);
    let answer = call("a2");
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a2");
    let evidence = end["evidence"].as_str().unwrap_or_default().to_owned();
    (answer, evidence)
}

// Guards against a broken unframed stream that ends as whole because its engine, which does not tell its start, cannot be heard
// after the end.
#[test]
fn an_unframed_stream_is_not_whole_if_an_engine_without_a_start_is_silent_after_the_end() {
    let (answer, evidence) = second_unframed_stream(ScriptedEngine::silence_reports);
    assert_eq!((answer.is_whole, &*evidence), (false, "silent"));
}

// Guards against a broken unframed stream that ends as whole because the process after its own replies, without its start, on a
// connection that was opened just before the end was seen.
#[test]
fn an_unframed_stream_is_not_whole_if_another_process_refuses_after_the_end() {
    const DELAY: Duration = Duration::from_millis(10);
    for status in [400, 503] {
        let (answer, evidence, _) = unframed_stream_at(PacedEnd::RestartLast(DELAY), |engine| {
            engine.refuse_reports(status);
        });
        assert_eq!((answer.is_whole, &*evidence), (false, "closed-together"));
    }
}

// Guards against a broken unframed stream that ends as whole because its engine's entry has been replaced when the next process is
// asked, and that one refuses.
#[test]
fn an_unframed_stream_is_not_whole_if_its_entry_has_gone_when_another_process_refuses() {
    const DELAY: Duration = Duration::from_millis(100);
    let store = store_with_manifest();
    let engine = ScriptedEngine::spawn(|request| EngineReply::Paced {
        pieces: unframed(request),
        interval: PACE,
        end: PacedEnd::RestartLast(DELAY),
    });
    engine.set_start(REGISTERED);
    engine.refuse_reports(404);
    announce_process(&store, "i-1", &engine, "v1", REGISTERED);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    caller.send(
        &Call {
            path: "/draft/x",
            ..Call::stream("a1")
        }
        .text(),
    );
    wait_for("it is sent", || !engine.seen().is_empty());
    announce_process(&store, "i-1", &engine, "v1", RESTARTED);
    let answer = caller.read().expect("an answer");
    assert!(!answer.is_whole);
}

// Guards against whole unframed streams that are cut because their engine replies to no query with its start.
#[test]
fn an_unframed_stream_is_whole_if_an_engine_without_a_start_replies_after_the_end() {
    let (answer, evidence) = second_unframed_stream(|_| {});
    assert_eq!((answer.is_whole, &*evidence), (true, "stayed-open"));
}

// Guards against whole unframed streams that are cut because their engine takes a query for a request.
#[test]
fn an_unframed_stream_is_whole_if_its_engine_takes_queries_for_requests() {
    let (answer, _) = second_unframed_stream(ScriptedEngine::script_reports);
    assert!(answer.is_whole);
}

// Guards against whole unframed streams that are cut because their engine falls silent for a second at their end.
#[test]
fn an_unframed_stream_is_whole_if_its_process_tells_so_a_second_after_the_end() {
    const SILENCE: Duration = Duration::from_secs(1);
    let (answer, evidence, _) = unframed_stream_at(PacedEnd::Close, |engine| {
        engine.delay_reports(SILENCE);
    });
    assert_eq!((answer.is_whole, &*evidence), (true, "told"));
}
