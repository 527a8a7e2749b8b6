//! Answers with neither a length nor chunks at engines whose idle connections end by themselves, and streams that go on
//! at an engine that says nothing.

mod gateway;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, announce_at, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, PacedEnd, SeenRequest, WireMessage, read_message};
use parking_lot::Mutex;

/// The id of the last event of a whole stream.
const LAST_EVENT: u64 = 6;
/// The id of the last event before an engine's process ends.
const BREAK_EVENT: u64 = 3;
/// The pause between two pieces of an answer.
const PACE: Duration = Duration::from_millis(25);
/// A time that no idle connection of a test reaches.
const NEVER: Duration = Duration::from_secs(30);
/// The path of a route whose streams must not go on at another engine.
const ONCE_PATH: &str = "/draft/x";
/// The body of an answer that is no stream.
const BODY: &str = "a body";

/// The start time of the process that the registry describes.
const REGISTERED: u8 = 1;
/// The start time of the process after it; both have one digit.
const RESTARTED: u8 = 2;

/// The connections of one engine.
#[derive(Debug, Default)]
struct Connections {
    /// Whether new connections are refused.
    refuses: AtomicBool,
    /// Whether the process has ended, although its connections are not all seen to close.
    has_ended: AtomicBool,
    /// When the process started that is there now.
    started_ms: AtomicU8,
    open: Mutex<Vec<Arc<TcpStream>>>,
}

impl Connections {
    /// Closes all connections but one.
    fn close_others(&self, own: &TcpStream) {
        for stream in self.open.lock().iter() {
            if !std::ptr::eq(&raw const **stream, own) {
                // The other side may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Refuses new connections from now on.
    fn refuse(&self, address: SocketAddr) {
        self.refuses.store(true, Ordering::SeqCst);
        while TcpStream::connect(address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// The limits of an engine on connections without a request.
#[derive(Debug, Clone, Copy)]
struct IdleRules {
    /// How many connections it accepts at the same time; it resets those beyond.
    limit: usize,
    /// How long it waits for the first request on one.
    timeout: Duration,
}

/// Writes one answer.
type Script = dyn Fn(&SeenRequest, &TcpStream, &Connections) + Send + Sync;

/// Starts an engine whose connections end as the rules say.
fn spawn_engine(
    rules: IdleRules,
    script: impl Fn(&SeenRequest, &TcpStream, &Connections) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let script: Arc<Script> = Arc::new(script);
    let connections = Arc::new(Connections::default());
    connections.started_ms.store(REGISTERED, Ordering::SeqCst);
    let used = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if connections.refuses.load(Ordering::SeqCst) {
                return;
            }
            if used.load(Ordering::SeqCst) >= rules.limit {
                let socket = socket2::SockRef::from(&stream);
                let linger = socket.set_linger(Some(Duration::ZERO));
                linger.expect("a socket takes a linger time");
                continue;
            }
            used.fetch_add(1, Ordering::SeqCst);
            let stream = Arc::new(stream);
            connections.open.lock().push(Arc::clone(&stream));
            let (script, connections) = (Arc::clone(&script), Arc::clone(&connections));
            let used = Arc::clone(&used);
            thread::spawn(move || {
                serve(&stream, rules, &*script, &connections);
                // The other side may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
                used.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

/// Serves one request, unless none comes in time.
fn serve(stream: &TcpStream, rules: IdleRules, script: &Script, connections: &Connections) {
    stream
        .set_read_timeout(Some(rules.timeout))
        .expect("a socket takes a timeout");
    let mut reader = BufReader::new(stream);
    while let Ok(Some(message)) = read_message(&mut reader) {
        if connections.has_ended.load(Ordering::SeqCst) {
            return;
        }
        if message.start.starts_with("GET /report ") {
            let started_ms = connections.started_ms.load(Ordering::SeqCst);
            let report =
                format!("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{{\"born\":{started_ms}}}");
            write(stream, report.as_bytes());
            continue;
        }
        let request = SeenRequest {
            message,
            nth_on_connection: 0,
            nth: 0,
            at: Instant::now(),
        };
        return script(&request, stream, connections);
    }
}

fn write(mut stream: &TcpStream, bytes: &[u8]) {
    // The gateway may have closed the connection.
    let _ = stream.write_all(bytes);
}

/// Writes events with a pause after each.
fn write_events(stream: &TcpStream, from: u64, to: u64) {
    for id in from..=to {
        write(stream, SeenRequest::event_text(id).as_bytes());
        thread::sleep(PACE);
    }
}

/// Returns the text of the events from `from` up to and including `to`.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(SeenRequest::event_text).collect()
}

/// Sends a stream that must not go on elsewhere to one engine, and returns what its caller receives with the
/// evidence.
fn stream_once(
    rules: IdleRules,
    script: impl Fn(&SeenRequest, &TcpStream, &Connections) + Send + Sync + 'static,
) -> (WireMessage, String) {
    let store = store_with_manifest();
    announce_at(&store, "i-1", "engines", spawn_engine(rules, script));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call {
        path: ONCE_PATH,
        ..Call::stream("a1")
    });
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a1");
    (answer, end["evidence"].to_string())
}

// Guards against a whole answer that fails, and an engine that counts as broken, because the engine is at its connection limit and
// resets the connection that would be watched.
#[test]
fn an_unframed_answer_of_an_engine_at_its_connection_limit_is_whole() {
    let store = store_with_manifest();
    let rules = IdleRules {
        limit: 1,
        timeout: NEVER,
    };
    let address = spawn_engine(rules, |request, stream, _| {
        let id = request.message.header("attempt-id").unwrap_or("");
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n\r\n");
        write(stream, head.as_bytes());
        thread::sleep(PACE);
        write(stream, BODY.as_bytes());
    });
    announce_at(&store, "i-1", "desk", address);
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::publish("a1"));
    let end = gateway.wait_log("unframed-end", |line| line["id"] == "a1");
    let seen = (answer.status(), answer.text());
    assert_eq!(seen, (200, BODY.to_owned()), "{end}");
}

// Guards against a whole stream that is cut because the idle timeout of the watched connection ends at the same time.
#[test]
fn an_unframed_stream_that_ends_with_an_idle_timeout_is_whole() {
    const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
    let rules = IdleRules {
        limit: usize::MAX,
        timeout: IDLE_TIMEOUT,
    };
    let (answer, evidence) = stream_once(rules, |request, stream, _| {
        let begun = Instant::now();
        write(stream, &request.unframed_stream_head());
        write_events(stream, 1, LAST_EVENT);
        thread::sleep(IDLE_TIMEOUT.saturating_sub(begun.elapsed()));
    });
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole, "{evidence}");
}

// Guards against a whole stream that is cut because its engine, which leaves, has closed its idle connections and refuses new
// ones, and then finishes what it has begun.
#[test]
fn an_unframed_stream_of_an_engine_that_closes_idle_connections_first_is_whole() {
    let rules = IdleRules {
        limit: usize::MAX,
        timeout: NEVER,
    };
    let (answer, evidence) = stream_once(rules, |request, stream, connections| {
        write(stream, &request.unframed_stream_head());
        write_events(stream, 1, BREAK_EVENT);
        connections.refuse(stream.local_addr().expect("it is connected"));
        connections.close_others(stream);
        write_events(stream, BREAK_EVENT + 1, LAST_EVENT);
        thread::sleep(4 * PACE);
    });
    assert_eq!(answer.text(), events(1, LAST_EVENT));
    assert!(answer.is_whole, "{evidence}");
}

// Guards against a broken stream that ends as whole because the segment that closes the watched connection is lost on the
// way and comes again later than the answer's.
#[test]
fn an_unframed_stream_is_not_whole_when_the_watched_connection_is_seen_to_end_late() {
    /// The least time after which a kernel sends a lost segment again.
    const RETRANSMISSION: Duration = Duration::from_millis(200);
    let rules = IdleRules {
        limit: usize::MAX,
        timeout: NEVER,
    };
    let (answer, evidence) = stream_once(rules, |request, stream, connections| {
        write(stream, &request.unframed_stream_head());
        write_events(stream, 1, BREAK_EVENT);
        connections.has_ended.store(true, Ordering::SeqCst);
        connections.refuse(stream.local_addr().expect("it is connected"));
        let _ = stream.shutdown(Shutdown::Both);
        thread::sleep(RETRANSMISSION);
        connections.close_others(stream);
    });
    assert_eq!(answer.text(), events(1, BREAK_EVENT));
    assert!(!answer.is_whole, "{evidence}");
}

// Guards against a broken stream that ends as whole because its engine had closed the watched connection shortly before its
// process ended, and another process accepts connections at its address at once.
#[test]
fn an_unframed_stream_is_not_whole_when_its_engine_starts_again_after_an_idle_timeout() {
    let rules = IdleRules {
        limit: usize::MAX,
        timeout: 6 * PACE,
    };
    let (answer, evidence) = stream_once(rules, |request, stream, connections| {
        write(stream, &request.unframed_stream_head());
        thread::sleep(8 * PACE);
        write_events(stream, 1, BREAK_EVENT);
        connections.started_ms.store(RESTARTED, Ordering::SeqCst);
        connections.close_others(stream);
    });
    assert_eq!(answer.text(), events(1, BREAK_EVENT));
    assert!(!answer.is_whole, "{evidence}");
}

fn unframed(request: &SeenRequest, rest: &str) -> EngineReply {
    EngineReply::Paced {
        pieces: vec![request.unframed_stream_head(), rest.as_bytes().to_vec()],
        interval: PACE,
        end: PacedEnd::Close,
    }
}

// Guards against a stream that broke off inside an event, so that there is more to say, and ends as whole because the engine at
// which it goes on ends its answer before its first event.
#[test]
fn a_stream_that_broke_inside_an_event_is_not_whole_after_an_answer_without_events() {
    let store = store_with_manifest();
    let script = |request: &SeenRequest| match request.resume_point() {
        0 => unframed(request, &format!("{}id: 4\nda", events(1, BREAK_EVENT))),
        _ => unframed(request, ""),
    };
    let _engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script));
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    assert_eq!(answer.text(), events(1, BREAK_EVENT));
    assert!(!answer.is_whole);
}

// Guards against a stream that its caller resumes and that ends as whole without an event, although another engine
// would have gone on.
#[test]
fn a_resumed_stream_whose_first_answer_has_no_events_goes_on_at_another_engine() {
    let store = store_with_manifest();
    let has_broken = Arc::new(AtomicBool::new(false));
    let script = move |request: &SeenRequest| match has_broken.swap(true, Ordering::SeqCst) {
        false => unframed(request, ""),
        true => unframed(request, &events(BREAK_EVENT + 1, LAST_EVENT)),
    };
    let _engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script.clone()));
    let gateway = TestGateway::start(&store);
    let call = Call::stream("a1");
    let headers = format!("{}Last-Event-Id: {BREAK_EVENT}\r\n", call.headers);
    let answer = gateway.caller().call(&Call {
        headers: &headers,
        ..call
    });
    assert_eq!(answer.text(), events(BREAK_EVENT + 1, LAST_EVENT));
    assert!(answer.is_whole);
}
