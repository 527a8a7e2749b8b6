//! An engine that is a process of its own, so that the kernel closes its connections when it is killed. The test
//! program starts itself again with the engine's settings in its environment.
//!
//! The engine reads commands from its standard input and ends with it. It reports on its standard output which
//! requests it runs and which it has finished.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use oleander_standin::users::{WireMessage, read_message};
use serde::{Deserialize, Serialize};

use super::engine_fault::{CurrentFault, EngineFault, REPORT_DELAY};
use super::shape::{self, Framing};

/// The environment variable that holds the settings of an engine process.
pub const SETTINGS_VARIABLE: &str = "OLEANDERPLANK_SOAK_ENGINE";
/// The start of each line on the standard output that is a report.
pub const REPORT_MARK: &str = "@engine ";
/// The report of an engine that accepts connections.
pub const LISTENING: &str = "listening";
/// The command after which an engine says in its answers that it leaves.
pub const LEAVE: &str = "leave";

/// The settings of an engine process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineSettings {
    pub id: String,
    pub version: String,
    pub address: SocketAddr,
    /// When the process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// A command that the engine obeys before it accepts connections, or nothing.
    pub first_command: String,
}

struct Engine {
    settings: EngineSettings,
    leaves: AtomicBool,
    fault: CurrentFault,
}

/// Whether the connection serves another request.
#[derive(Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// Serves until the process is killed, if the environment holds the settings of an engine.
pub fn serve_if_asked() {
    let Ok(text) = std::env::var(SETTINGS_VARIABLE) else {
        return;
    };
    let settings = serde_json::from_str(&text).expect("the soak writes the settings");
    let engine = Arc::new(Engine {
        settings,
        leaves: AtomicBool::new(false),
        fault: CurrentFault::default(),
    });
    engine.fault.obey(&engine.settings.first_command);
    let listener = bind(engine.settings.address);
    report(LISTENING);
    let commanded = Arc::clone(&engine);
    thread::spawn(move || commanded.obey());
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        thread::spawn(move || engine.serve(&stream));
    }
}

/// Binds the address, which a process that was killed may still hold for a moment.
fn bind(address: SocketAddr) -> TcpListener {
    const ATTEMPTS: usize = 200;
    const PAUSE: Duration = Duration::from_millis(5);
    for _ in 0..ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(PAUSE);
    }
    TcpListener::bind(address).expect("the address is the engine's")
}

fn report(text: &str) {
    // One write call per line keeps lines of several threads apart; the reader is gone when the test has ended.
    let line = format!("\n{REPORT_MARK}{text}\n");
    let mut output = io::stdout().lock();
    let _ = output.write_all(line.as_bytes());
    let _ = output.flush();
}

impl Engine {
    /// Takes commands until the test ends, and the process with it.
    fn obey(&self) {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            if line == LEAVE {
                self.leaves.store(true, Ordering::SeqCst);
            }
            self.fault.obey(&line);
        }
        std::process::exit(0);
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !matches!(self.answer(stream, &request), Ok(Next::Keep)) {
                break;
            }
        }
        // The other side may have closed the connection already.
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn answer(&self, stream: &TcpStream, request: &WireMessage) -> io::Result<Next> {
        let target = request.header("target-instance");
        if target.is_some_and(|id| id != self.settings.id) {
            return self.answer_empty(stream, 421, "Not-Executed: 1\r\n");
        }
        let path = request.start.split(' ').nth(1).unwrap_or("");
        let mut parts = path.trim_start_matches('/').split('/');
        let name = |mut parts: std::str::Split<'_, char>| parts.next().unwrap_or("").to_owned();
        match parts.next() {
            Some("report") => self.answer_report(stream),
            Some("healthz") if self.leaves() => self.answer_empty(stream, 503, ""),
            Some("healthz") => self.answer_empty(stream, 200, ""),
            Some("digest" | "draft") => self.answer_stream(stream, request, &name(parts)),
            Some("lookup" | "publish") => self.answer_body(stream, request, &name(parts)),
            _ => self.answer_empty(stream, 404, "Not-Executed: 1\r\n"),
        }
    }

    fn leaves(&self) -> bool {
        self.leaves.load(Ordering::SeqCst)
    }

    /// Returns the header by which an engine that leaves says so.
    fn leaving_header(&self) -> &'static str {
        match self.leaves() {
            true => "Server-Leaving: 1\r\n",
            false => "",
        }
    }

    fn answer_empty(&self, stream: &TcpStream, status: u16, headers: &str) -> io::Result<Next> {
        let id = &self.settings.id;
        let leaving = self.leaving_header();
        let head = format!(
            "HTTP/1.1 {status} X\r\nInstance-Id: {id}\r\n{leaving}{headers}Content-Length: 0\r\n\r\n"
        );
        write(stream, head.as_bytes())?;
        Ok(Next::Keep)
    }

    fn answer_report(&self, stream: &TcpStream) -> io::Result<Next> {
        if self.fault.is(EngineFault::ReportBusy) {
            return self.answer_empty(stream, 503, "");
        }
        if self.fault.is(EngineFault::ReportMissing) {
            return self.answer_empty(stream, 404, "");
        }
        if self.fault.is(EngineFault::ReportLate) {
            thread::sleep(REPORT_DELAY);
        }
        let born_ms = self.settings.born_ms;
        let body = format!("{{\"phase\":\"available\",\"born\":{born_ms}}}");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        write(stream, answer.as_bytes())?;
        Ok(Next::Keep)
    }

    fn answer_stream(
        &self,
        stream: &TcpStream,
        request: &WireMessage,
        name: &str,
    ) -> io::Result<Next> {
        let attempt = request.header("attempt-id").unwrap_or("");
        let from = request.header("last-event-id");
        let from: u64 = from.and_then(|id| id.parse().ok()).unwrap_or(0);
        report(&format!("run {name} {attempt}"));
        let framing = shape::stream_framing(attempt);
        let kind = "Content-Type: text/event-stream\r\n";
        self.write_head(stream, attempt, framing, kind, 0)?;
        let last = shape::stream_length(name);
        let mut next = from + 1;
        while next <= last {
            thread::sleep(shape::pace(name));
            let to = last.min(next + shape::batch(attempt) - 1);
            let events = (next..=to).map(|id| shape::event(name, id, &self.settings.version));
            let events: String = events.collect();
            if self.fails_here(stream, framing, &events)? {
                return Ok(Next::Close);
            }
            write_piece(stream, framing, &events, shape::is_split(attempt))?;
            next = to + 1;
        }
        self.finish(stream, framing, name, attempt)
    }

    fn answer_body(
        &self,
        stream: &TcpStream,
        request: &WireMessage,
        name: &str,
    ) -> io::Result<Next> {
        let attempt = request.header("attempt-id").unwrap_or("");
        report(&format!("run {name} {attempt}"));
        let framing = shape::body_framing(attempt);
        let pieces = shape::body_pieces(name, &self.settings.version);
        let length = pieces.iter().map(String::len).sum();
        self.write_head(stream, attempt, framing, "", length)?;
        for piece in &pieces {
            thread::sleep(shape::pace(name));
            write_piece(stream, framing, piece, false)?;
        }
        self.finish(stream, framing, name, attempt)
    }

    /// Fails in the middle of a stream, if the engine has such a fault now. Returns whether it did.
    fn fails_here(&self, stream: &TcpStream, framing: Framing, events: &str) -> io::Result<bool> {
        /// The bytes of the last event that are not written; they hold more than its last line break.
        const MISSING: usize = 5;
        if self.fault.is(EngineFault::BrokenEvent) {
            let inside = events.len() - MISSING;
            write_piece(stream, framing, &events[..inside], false)?;
            return Ok(true);
        }
        if self.fault.is(EngineFault::SpoiledChunk) && framing == Framing::Chunked {
            write(stream, format!("size\r\n{events}\r\n").as_bytes())?;
            return Ok(true);
        }
        Ok(false)
    }

    /// Ends an answer and reports it.
    fn finish(
        &self,
        stream: &TcpStream,
        framing: Framing,
        name: &str,
        attempt: &str,
    ) -> io::Result<Next> {
        if framing == Framing::Chunked {
            write(stream, b"0\r\n\r\n")?;
        }
        report(&format!("done {name} {attempt}"));
        if framing == Framing::UntilClose {
            return Ok(Next::Close);
        }
        if self.fault.is(EngineFault::SecondAnswer) {
            self.answer_again(stream, name, attempt)?;
        }
        Ok(Next::Keep)
    }

    /// Writes a second answer to a request that was answered some time ago.
    fn answer_again(&self, stream: &TcpStream, name: &str, attempt: &str) -> io::Result<()> {
        const LATE: Duration = Duration::from_millis(30);
        thread::sleep(LATE);
        let body = shape::body_pieces(name, &self.settings.version).concat();
        self.write_head(stream, attempt, Framing::Length, "", body.len())?;
        write(stream, body.as_bytes())
    }

    fn write_head(
        &self,
        stream: &TcpStream,
        attempt: &str,
        framing: Framing,
        kind: &str,
        length: usize,
    ) -> io::Result<()> {
        let framed = match framing {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::UntilClose => String::new(),
            Framing::Length => format!("Content-Length: {length}\r\n"),
        };
        let leaving = self.leaving_header();
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: proof-{attempt}\r\n{leaving}{kind}{framed}\r\n"
        );
        write(stream, head.as_bytes())
    }
}

/// Writes a piece of an answer, in two parts if `is_split`.
fn write_piece(stream: &TcpStream, framing: Framing, text: &str, is_split: bool) -> io::Result<()> {
    const PART_PAUSE: Duration = Duration::from_millis(1);
    let piece = match framing {
        Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
        Framing::UntilClose | Framing::Length => text.to_owned(),
    };
    if !is_split {
        return write(stream, piece.as_bytes());
    }
    let (first, second) = piece.as_bytes().split_at(piece.len() / 2);
    write(stream, first)?;
    thread::sleep(PART_PAUSE);
    write(stream, second)
}

fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)?;
    stream.flush()
}
