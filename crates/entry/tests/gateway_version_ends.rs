//! Streams of engines whose process ends, or whose registry entry changes, while their software version matters.
//!
//! Each test has two engines, `i-1` and `i-2`, that the registry names as engines of one version. `i-1` is full, and `i-2`
//! ends and starts again with other software, of which the registry tells late.

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gateway::{
    Call, TestGateway, announce, announce_version, start_engine, store_with_manifest, wait_for,
};
use oleander_standin::users::{
    EngineReply, PacedEnd, ScriptedEngine, SeenRequest, StoreMode, UsersStore, WireMessage,
};

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 4;
/// The id of the last event before a stream breaks or halts.
const BREAK_EVENT: u64 = 2;
/// The pause between two pieces of a paced answer.
const PACE: Duration = Duration::from_millis(20);
/// The pause between two pieces in which the registry is changed and read.
const LONG_PACE: Duration = Duration::from_millis(400);

/// How long the registry keeps the entry of an engine that has ended, by the gateways' settings.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_800);
/// How long the gateway stands still, or half as much more or less: less than an answer to a held watch may take.
const PAUSE: Duration = Duration::from_millis(600);

/// Returns the head of a stream and its events after the resume point, up to and including `to`.
fn pieces(request: &SeenRequest, to: u64) -> Vec<Vec<u8>> {
    let events = (request.resume_point() + 1..=to).map(SeenRequest::event);
    std::iter::once(request.stream_head())
        .chain(events)
        .collect()
}

/// Returns the answer of an engine that did not run a request.
fn full(request: &SeenRequest) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    EngineReply::Bytes(answer.into_bytes())
}

fn held(request: &SeenRequest) -> EngineReply {
    EngineReply::BytesThenSilence(pieces(request, BREAK_EVENT).concat())
}

fn whole(request: &SeenRequest) -> EngineReply {
    let mut bytes = pieces(request, LAST_EVENT).concat();
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

fn paced(request: &SeenRequest, interval: Duration, end: PacedEnd) -> EngineReply {
    EngineReply::Paced {
        pieces: pieces(request, BREAK_EVENT),
        interval,
        end,
    }
}

/// Returns the number of resumes that an engine got.
fn resumes(engine: &ScriptedEngine) -> usize {
    let seen = engine.seen();
    seen.iter()
        .filter(|request| request.resume_point() > 0)
        .count()
}

/// Two engines and a gateway.
struct VersionPlay {
    store: UsersStore,
    _first: ScriptedEngine,
    second: ScriptedEngine,
    gateway: TestGateway,
}

impl VersionPlay {
    /// Starts `i-1`, where the stream `a1` begins, and then `i-2` with a script.
    fn start(script: impl Fn(&SeenRequest) -> EngineReply + Send + Sync + 'static) -> Self {
        let store = store_with_manifest();
        let is_full = Arc::new(AtomicBool::new(false));
        let refuses = Arc::clone(&is_full);
        let first = start_engine(&store, "i-1", "engines", move |request| {
            match refuses.load(Ordering::SeqCst) {
                true => full(request),
                false => held(request),
            }
        });
        let gateway = TestGateway::start(&store);
        begin(&gateway, "a1");
        is_full.store(true, Ordering::SeqCst);
        let second = start_engine(&store, "i-2", "engines", script);
        wait_joined(&gateway, "i-2");
        Self {
            store,
            _first: first,
            second,
            gateway,
        }
    }

    /// Lets `i-2`'s process end while two streams run there.
    fn end_process(&self) {
        let mut caller = self.gateway.caller();
        caller.send(&stream("s1").text());
        caller.read_until(&format!("piece {BREAK_EVENT}\n\n"));
        assert!(!self.call("c1").is_whole);
        caller.read_rest();
    }

    /// Starts an engine of the first version that completes each stream.
    fn add_third(&self) -> ScriptedEngine {
        let third = start_engine(&self.store, "i-3", "engines", whole);
        wait_joined(&self.gateway, "i-3");
        third
    }

    /// Registers `i-2` with other software, and waits until the gateway knows.
    fn announce_newer(&self, engine: &ScriptedEngine) {
        announce_version(&self.store, "i-2", "engines", engine, "available", "v2");
        self.gateway.wait_log("belief", |line| {
            line["change"] == "backend-joined" && line["software"] == "v2"
        });
    }

    fn call(&self, id: &str) -> WireMessage {
        self.gateway.caller().call(&stream(id))
    }

    /// Resumes a stream that `first` began.
    fn resume(&self, id: &str, first: &str) -> WireMessage {
        let headers = format!(
            "{}Last-Event-Id: {BREAK_EVENT}\r\nResumes: {first}\r\n",
            stream(id).headers
        );
        self.gateway.caller().call(&Call {
            headers: &headers,
            ..stream(id)
        })
    }
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Waits until a gateway begins a watch of the store, which holds it for some time.
fn wait_new_watch(store: &UsersStore) {
    let known = store.watches();
    let until = Instant::now() + PAUSE;
    while store.watches() == known {
        assert!(Instant::now() < until, "the gateway watches the store");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn wait_joined(gateway: &TestGateway, id: &str) {
    gateway.wait_log("belief", |line| {
        line["change"] == "backend-joined" && line["backend"] == id
    });
}

/// Returns a call whose content no other stream has, so that a break of its engine says nothing of the others.
fn stream(id: &str) -> Call<'_> {
    Call {
        body: id,
        ..Call::stream(id)
    }
}

/// Begins a stream and disconnects after the event at which it halts.
fn begin(gateway: &TestGateway, id: &str) {
    let mut caller = gateway.caller();
    caller.send(&stream(id).text());
    let text = format!("piece {BREAK_EVENT}\n\n");
    assert!(caller.read_until(&text).contains(&text), "{id}");
}

/// Ends `i-2`'s process during its second stream, and answers later requests by `then`.
fn restarts(
    then: fn(&SeenRequest) -> EngineReply,
) -> impl Fn(&SeenRequest) -> EngineReply + Send + Sync + 'static {
    move |request| match request.nth {
        0 => held(request),
        1 => paced(request, PACE, PacedEnd::Restart),
        _ => then(request),
    }
}

// Guards against a stream that goes on at an engine that has started again with other software, of which the registry does
// not tell yet.
#[test]
fn a_stream_does_not_go_on_at_an_engine_whose_process_has_ended() {
    let play = VersionPlay::start(restarts(whole));
    play.end_process();
    let answer = play.resume("b1", "a1");
    assert_eq!((answer.status(), resumes(&play.second)), (503, 0));
    assert!(answer.header("retry-after").is_some());
}

// Guards against engines that take part in resumes never again after a broken connection.
#[test]
fn an_engine_that_the_registry_goes_on_to_name_takes_part_in_resumes_again() {
    let play = VersionPlay::start(restarts(whole));
    play.end_process();
    let mut tries = 0;
    wait_for("the stream goes on", || {
        std::thread::sleep(PACE);
        tries += 1;
        play.resume(&format!("b{tries}"), "a1").status() == 200
    });
    assert!(tries > 1, "the registry had not told anything");
}

// Guards against an entry that counts as written after its engine's process ended, because the store's answer was read late: the
// gateway stood still, and the store has told nothing since.
#[test]
fn an_entry_that_was_read_after_a_pause_does_not_outlast_the_end_of_its_process() {
    let play = VersionPlay::start(restarts(whole));
    play.end_process();
    let resumed_at = Instant::now() + ENTRY_LIFETIME + PAUSE / 4;
    let third = ScriptedEngine::spawn(full);
    sleep_until(resumed_at - PAUSE - PAUSE / 2);
    wait_new_watch(&play.store);
    play.gateway.signal(libc::SIGSTOP);
    // The change has the store answer the watch that it holds.
    announce(&play.store, "i-3", "desk", &third, "available");
    sleep_until(resumed_at - PAUSE / 2);
    play.store.set_mode(StoreMode::Silent);
    sleep_until(resumed_at);
    play.gateway.signal(libc::SIGCONT);
    wait_joined(&play.gateway, "i-3");
    sleep_until(resumed_at + PAUSE / 2);
    let answer = play.resume("b1", "a1");
    assert_eq!((answer.status(), resumes(&play.second)), (503, 0));
}

// Guards against an engine that takes part in no resume although another stream of its process goes on.
#[test]
fn a_stream_goes_on_at_an_engine_one_of_whose_connections_broke() {
    let play = VersionPlay::start(|request| match (request.resume_point(), request.nth) {
        (0, 0) => EngineReply::Steady {
            first: request.stream_head(),
            next_event: 1,
            interval: PACE,
        },
        (0, _) => EngineReply::BytesThenReset(pieces(request, BREAK_EVENT).concat()),
        _ => whole(request),
    });
    let mut steady = play.gateway.caller();
    steady.send(&stream("s1").text());
    steady.read_until("piece 1\n\n");
    assert!(!play.call("c1").is_whole);
    std::thread::sleep(4 * PACE);
    let answer = play.resume("b1", "a1");
    assert_eq!((answer.status(), answer.is_whole), (200, true));
}

// Guards against a stream that begins at an engine that has started again with other software, and is taken for one of the
// version that the registry still names.
#[test]
fn a_stream_that_begins_after_its_engines_process_has_ended_has_no_certain_version() {
    let play = VersionPlay::start(restarts(|request| match request.resume_point() {
        0 => held(request),
        _ => full(request),
    }));
    play.end_process();
    begin(&play.gateway, "d1");
    let third = play.add_third();
    let answer = play.resume("b1", "d1");
    assert_eq!((answer.status(), resumes(&third)), (503, 0));
}

// Guards against the same where the gateway itself resumes the stream.
#[test]
fn a_stream_of_no_certain_version_is_not_resumed_within_its_answer() {
    let play = VersionPlay::start(restarts(|request| {
        paced(request, LONG_PACE, PacedEnd::Close)
    }));
    play.end_process();
    let mut caller = play.gateway.caller();
    caller.send(&stream("d1").text());
    wait_for("it is sent", || play.second.seen().len() == 3);
    let third = play.add_third();
    let answer = caller.read().expect("an answer");
    assert_eq!((answer.is_whole, resumes(&third)), (false, 0));
}

// Guards against a stream that is taken for one of the version that its engine's entry named when it was sent, although the
// entry names another one, of the process that wrote the stream, before the first event or before the break.
#[test]
fn a_stream_whose_engines_entry_changes_version_is_not_resumed_at_the_old_one() {
    for is_begun in [false, true] {
        let play = VersionPlay::start(|request| paced(request, LONG_PACE, PacedEnd::Close));
        let mut caller = play.gateway.caller();
        caller.send(&stream("c1").text());
        if is_begun {
            caller.read_until("piece 1\n\n");
        } else {
            wait_for("it is sent", || !play.second.seen().is_empty());
        }
        let third = play.add_third();
        play.announce_newer(&play.second);
        let rest = caller.read_rest();
        let text = String::from_utf8_lossy(&rest).into_owned();
        assert!(!text.ends_with("0\r\n\r\n"), "has begun: {is_begun}");
        let answer = play.resume("b1", "c1");
        assert_eq!((answer.status(), resumes(&third)), (503, 0));
    }
}

// Guards against a stream that is lost because an engine of another version registers under the id of its own engine.
#[test]
fn a_stream_goes_on_at_its_version_after_another_engine_took_the_id_of_its_own() {
    let play = VersionPlay::start(|request| paced(request, LONG_PACE, PacedEnd::Close));
    let mut caller = play.gateway.caller();
    caller.send(&stream("c1").text());
    wait_for("it is sent", || !play.second.seen().is_empty());
    let third = play.add_third();
    let newer = ScriptedEngine::spawn(whole);
    play.announce_newer(&newer);
    let answer = caller.read().expect("an answer");
    assert!(answer.is_whole);
    assert_eq!((resumes(&third), resumes(&newer)), (1, 0));
}
