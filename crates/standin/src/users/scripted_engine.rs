//! A fake engine whose answers a test scripts byte by byte.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::wire_reader::{WireMessage, read_message};

/// The start of a query for the engine's report on itself.
const REPORT_QUERY: &str = "GET /report ";

/// A request that the engine received.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    /// The HTTP message of the request.
    pub message: WireMessage,
    /// The index of the request on its connection, from 0.
    pub nth_on_connection: usize,
    /// The index of the request among all of the engine, from 0.
    pub nth: usize,
    /// When the request was read.
    pub at: Instant,
}

impl SeenRequest {
    /// Returns the id of the last event that the caller has; 0 if the request begins a stream.
    pub fn resume_point(&self) -> u64 {
        let id = self.message.header("last-event-id");
        id.map_or(0, |id| id.parse().expect("an event id is a number"))
    }

    /// Returns a complete answer with the request's attempt id and the engine's signature.
    pub fn answer(&self, body: &str) -> Vec<u8> {
        let id = self.message.header("attempt-id").unwrap_or("");
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: proof-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }

    /// Returns the response head of a chunked event stream.
    pub fn stream_head(&self) -> Vec<u8> {
        let id = self.message.header("attempt-id").unwrap_or("");
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: proof-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes()
    }

    /// Returns the response head of an event stream that ends with its connection.
    pub fn unframed_stream_head(&self) -> Vec<u8> {
        let head = String::from_utf8(self.stream_head()).expect("a head is text");
        head.replacen("Transfer-Encoding: chunked\r\n", "", 1)
            .into_bytes()
    }

    /// Returns the text of one server-sent event.
    pub fn event_text(id: u64) -> String {
        format!("id: {id}\ndata: piece {id}\n\n")
    }

    /// Returns one server-sent event as an HTTP chunk.
    pub fn event(id: u64) -> Vec<u8> {
        Self::chunk(&Self::event_text(id))
    }

    /// Returns a text as an HTTP chunk.
    pub fn chunk(text: &str) -> Vec<u8> {
        format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
    }
}

/// The bytes that the engine writes for a request, and what it does with the connection afterwards.
#[derive(Debug, Clone)]
pub enum EngineReply {
    /// Writes the bytes and keeps the connection open for the next request.
    Bytes(Vec<u8>),
    /// Writes the bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Writes the bytes and resets the connection.
    BytesThenReset(Vec<u8>),
    /// Writes the bytes and keeps the connection open until the other side closes it or sends
    /// another message, without another answer.
    BytesThenSilence(Vec<u8>),
    /// Writes the first bytes, then the others again and again until the other side closes the
    /// connection.
    Flood(Vec<u8>, Vec<u8>),
    /// Writes the bytes, then one server-sent event after another until the other side closes the connection.
    Steady {
        /// The bytes of the head, and of the events before `next_event`.
        first: Vec<u8>,
        /// The id of the first event that is written after a pause.
        next_event: u64,
        /// The pause before each event.
        interval: Duration,
    },
    /// Writes the bytes; then the whole engine ends: all of its connections close, and new ones are
    /// refused.
    BytesThenCrash(Vec<u8>),
    /// Writes the pieces one by one, with a pause after each.
    Paced {
        /// The bytes of the head and the body.
        pieces: Vec<Vec<u8>>,
        /// The pause.
        interval: Duration,
        /// How the answer ends.
        end: PacedEnd,
    },
}

/// How a paced answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacedEnd {
    /// The connection is closed.
    Close,
    /// The whole engine ends: all of its connections close, and new ones are refused.
    Crash,
    /// The engine ends and another process is at its address at once: all connections close, and new ones are
    /// accepted.
    Restart,
    /// The same, but that the answer's connection closes a while after the others, as the network may deliver it.
    RestartLast(Duration),
}

/// The engine's reaction to a query for its report on itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ReportMode {
    /// Reports after a delay.
    Delayed(Duration),
    /// Reports at once.
    #[default]
    Prompt,
    /// Refuses the query with a status.
    Refused(u16),
    /// Takes the query for any other request.
    Scripted,
    /// Says nothing.
    Silent,
}

type Script = dyn Fn(&SeenRequest) -> EngineReply + Send + Sync;

/// A running scripted engine.
pub struct ScriptedEngine {
    address: SocketAddr,
    state: EngineState,
}

impl std::fmt::Debug for ScriptedEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ScriptedEngine")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl ScriptedEngine {
    /// Starts an engine on a free loopback port. It serves until the process ends.
    pub fn spawn(script: impl Fn(&SeenRequest) -> EngineReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let script: Arc<Script> = Arc::new(script);
        let state = EngineState::default();
        let accepted = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let stream = Arc::new(stream);
                if !accepted.connections.add(&stream) {
                    return;
                }
                let state = accepted.clone();
                let script = Arc::clone(&script);
                thread::spawn(move || match serve(&stream, &*script, &state) {
                    ServeEnd::Connection => {}
                    ServeEnd::Crash => state.connections.crash(address),
                    ServeEnd::Restart => state.restart(),
                });
            }
        });
        Self { address, state }
    }

    /// Has the engine report that its process started at a time, in milliseconds; a process that takes its place
    /// reports a later one. Without this it does not report on itself.
    pub fn set_start(&self, started_ms: u64) {
        *self.state.started_ms.lock() = Some(started_ms);
    }

    /// Has the engine take a query for its report as any other request.
    pub fn script_reports(&self) {
        self.set_reports(ReportMode::Scripted);
    }

    /// Has the engine say nothing when it is asked for its report.
    pub fn silence_reports(&self) {
        self.set_reports(ReportMode::Silent);
    }

    /// Has the engine report at once when it is asked, as at the start.
    pub fn answer_reports(&self) {
        self.set_reports(ReportMode::Prompt);
    }

    /// Has the engine refuse queries for its report with a status.
    pub fn refuse_reports(&self, status: u16) {
        self.set_reports(ReportMode::Refused(status));
    }

    /// Has the engine report a while after it is asked, as one that stands still meanwhile.
    pub fn delay_reports(&self, delay: Duration) {
        self.set_reports(ReportMode::Delayed(delay));
    }

    fn set_reports(&self, mode: ReportMode) {
        *self.state.report_mode.lock() = mode;
    }

    /// Returns how often the engine was asked for its report.
    pub fn report_queries(&self) -> usize {
        *self.state.report_queries.lock()
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the engine: all of its connections close, and new ones are refused.
    pub fn crash(&self) {
        self.state.connections.crash(self.address);
    }

    /// Refuses new connections and goes on serving the open ones.
    pub fn refuse_connections(&self) {
        self.state.connections.refuse(self.address);
    }

    /// Closes connections that are idle for this long. It holds for connections that are accepted later.
    pub fn close_idle_after(&self, idle: Duration) {
        self.state.connections.0.lock().idle_limit = Some(idle);
    }

    /// Returns the number of connections that were ever accepted.
    pub fn accepted_connections(&self) -> usize {
        self.state.connections.0.lock().accepted
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        let list = self.state.connections.0.lock();
        let streams = list.streams.iter();
        streams.filter(|stream| stream.strong_count() > 0).count()
    }

    /// Returns whether the engine has ended.
    pub fn has_crashed(&self) -> bool {
        self.state.connections.0.lock().has_crashed
    }

    /// Returns the received requests in order.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state.seen.lock().clone()
    }

    /// Returns the number of connections whose reading failed, as after a reset, during
    /// [`EngineReply::BytesThenSilence`].
    pub fn resets(&self) -> usize {
        *self.state.resets.lock()
    }

    /// Returns the number of connections that were closed or reset, or sent another message, during
    /// [`EngineReply::BytesThenSilence`].
    pub fn closed_early(&self) -> usize {
        *self.state.closed_early.lock()
    }
}

/// What all connections of an engine share.
#[derive(Clone, Default)]
struct EngineState {
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    closed_early: Arc<Mutex<usize>>,
    resets: Arc<Mutex<usize>>,
    started_ms: Arc<Mutex<Option<u64>>>,
    report_queries: Arc<Mutex<usize>>,
    report_mode: Arc<Mutex<ReportMode>>,
    connections: Arc<OpenConnections>,
}

impl EngineState {
    /// Lets another process take the engine's place, and closes one connection a while after the others.
    fn restart_last(&self, last: &TcpStream, delay: Duration) {
        if let Ok(last) = last.peer_addr() {
            self.connections.keep(last);
        }
        self.restart();
        thread::sleep(delay);
        let _ = last.shutdown(Shutdown::Both);
    }

    /// Lets another process take the engine's place.
    fn restart(&self) {
        if let Some(started_ms) = self.started_ms.lock().as_mut() {
            *started_ms += 1;
        }
        self.connections.close_all();
    }

    /// Returns the engine's report on itself, or the refusal of one that makes none.
    fn report(&self) -> Vec<u8> {
        *self.report_queries.lock() += 1;
        const BAD_REQUEST: u16 = 400;
        let refused = match *self.report_mode.lock() {
            ReportMode::Refused(status) => Some(status),
            _ => None,
        };
        let started_ms = self.started_ms.lock().filter(|_| refused.is_none());
        let Some(started_ms) = started_ms else {
            let status = refused.unwrap_or(BAD_REQUEST);
            let head = format!("HTTP/1.1 {status} X\r\nNot-Executed: 1\r\n");
            return format!("{head}Content-Length: 0\r\n\r\n").into_bytes();
        };
        let body = format!("{{\"phase\":\"available\",\"born\":{started_ms}}}");
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
    }
}

/// The connections of an engine that a crash closes.
#[derive(Default)]
struct OpenConnections(Mutex<ConnectionList>);

#[derive(Default)]
struct ConnectionList {
    refuses: bool,
    has_crashed: bool,
    accepted: usize,
    idle_limit: Option<Duration>,
    streams: Vec<Weak<TcpStream>>,
}

impl OpenConnections {
    /// Adds a connection; returns false if the engine refuses it.
    fn add(&self, stream: &Arc<TcpStream>) -> bool {
        let mut list = self.0.lock();
        list.streams.retain(|stream| stream.strong_count() > 0);
        list.streams.push(Arc::downgrade(stream));
        list.accepted += 1;
        // A read that fails for the limit ends the connection.
        let limited = stream.set_read_timeout(list.idle_limit);
        limited.expect("a socket takes a timeout");
        !list.refuses
    }

    /// Ends the accept loop, which takes one more connection for that, and waits until new ones are
    /// refused.
    fn refuse(&self, address: SocketAddr) {
        self.0.lock().refuses = true;
        while TcpStream::connect(address).is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Refuses new connections and closes the open ones.
    fn crash(&self, address: SocketAddr) {
        self.0.lock().has_crashed = true;
        self.refuse(address);
        self.close_all();
    }

    /// Leaves the connection to a caller out of those that are closed together.
    fn keep(&self, caller: SocketAddr) {
        let is_other = |stream: &Weak<TcpStream>| {
            let peer = stream.upgrade().and_then(|stream| stream.peer_addr().ok());
            peer != Some(caller)
        };
        self.0.lock().streams.retain(is_other);
    }

    /// Closes the open connections.
    fn close_all(&self) {
        for stream in self.0.lock().streams.drain(..) {
            if let Some(stream) = stream.upgrade() {
                // The other side may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

/// How the service of a connection ended.
#[derive(Debug, PartialEq, Eq)]
enum ServeEnd {
    Connection,
    Crash,
    Restart,
}

fn serve(stream: &TcpStream, script: &Script, state: &EngineState) -> ServeEnd {
    let mut reader = BufReader::new(stream);
    let mut nth_on_connection = 0;
    while let Ok(Some(message)) = read_message(&mut reader) {
        let mode = *state.report_mode.lock();
        if message.start.starts_with(REPORT_QUERY) && mode != ReportMode::Scripted {
            let report = state.report();
            if let ReportMode::Delayed(delay) = mode {
                thread::sleep(delay);
            }
            if mode != ReportMode::Silent && write(stream, &report).is_err() {
                return ServeEnd::Connection;
            }
            continue;
        }
        let request = {
            let mut seen = state.seen.lock();
            let request = SeenRequest {
                message,
                nth_on_connection,
                nth: seen.len(),
                at: Instant::now(),
            };
            seen.push(request.clone());
            request
        };
        nth_on_connection += 1;
        match script(&request) {
            EngineReply::Bytes(bytes) => {
                if write(stream, &bytes).is_err() {
                    return ServeEnd::Connection;
                }
            }
            EngineReply::BytesThenClose(bytes) => {
                // The other side may have closed the connection already; it ends in either case.
                let _ = write(stream, &bytes);
                let _ = stream.shutdown(Shutdown::Both);
                return ServeEnd::Connection;
            }
            EngineReply::BytesThenReset(bytes) => {
                let _ = write(stream, &bytes);
                reset(stream);
                return ServeEnd::Connection;
            }
            EngineReply::BytesThenSilence(bytes) => {
                let _ = write(stream, &bytes);
                if read_message(&mut reader).is_err() {
                    *state.resets.lock() += 1;
                }
                *state.closed_early.lock() += 1;
                return ServeEnd::Connection;
            }
            EngineReply::Flood(first, repeated) => {
                let mut written = write(stream, &first);
                while written.is_ok() {
                    written = write(stream, &repeated);
                }
                return ServeEnd::Connection;
            }
            EngineReply::Steady {
                first,
                next_event,
                interval,
            } => {
                let mut written = write(stream, &first);
                for id in next_event.. {
                    if written.is_err() {
                        break;
                    }
                    thread::sleep(interval);
                    written = write(stream, &SeenRequest::event(id));
                }
                return ServeEnd::Connection;
            }
            EngineReply::BytesThenCrash(bytes) => {
                let _ = write(stream, &bytes);
                return ServeEnd::Crash;
            }
            EngineReply::Paced {
                pieces,
                interval,
                end,
            } => {
                for piece in &pieces {
                    if write(stream, piece).is_err() {
                        return ServeEnd::Connection;
                    }
                    thread::sleep(interval);
                }
                return match end {
                    PacedEnd::Close => {
                        let _ = stream.shutdown(Shutdown::Both);
                        ServeEnd::Connection
                    }
                    PacedEnd::Crash => ServeEnd::Crash,
                    PacedEnd::Restart => ServeEnd::Restart,
                    PacedEnd::RestartLast(delay) => {
                        state.restart_last(stream, delay);
                        ServeEnd::Connection
                    }
                };
            }
        }
    }
    ServeEnd::Connection
}

fn write(mut stream: &TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}

fn reset(stream: &TcpStream) {
    // A reset may overtake bytes that were written before; the pause lets them arrive first.
    thread::sleep(Duration::from_millis(30));
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_linger(Some(Duration::ZERO));
}
