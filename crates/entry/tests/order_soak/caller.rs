//! A caller that repeats and resumes its requests as the protocol tells: a new attempt id each time, another gateway,
//! the id of the last event, and the attempt that brought the first one.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use super::answer_reader::{EventCollector, Head, read_body, read_head};
use super::fleet::Fleet;
use super::trace::{Attempt, End, Kind, Trace};
use crate::gateway::Call;

/// The number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// The time after which a caller gives a silent answer up.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// The time within which a connection has to be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// The longest time that a caller waits because a gateway tells it to.
const MAX_PAUSE_SECONDS: f64 = 2.0;

/// A caller with its own order of requests.
pub struct SoakCaller<'a> {
    fleet: &'a Fleet,
    name: String,
    random: ChaCha8Rng,
    requests: u64,
    kept: Option<(usize, BufReader<TcpStream>)>,
    traces: Vec<Trace>,
}

/// The facts about earlier attempts that the next one states.
#[derive(Debug, Default)]
struct ResumePoint {
    /// The id of the last event received.
    event: u64,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
}

impl ResumePoint {
    fn headers(&self) -> String {
        match &self.first_attempt {
            Some(first) => format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", self.event),
            None => String::new(),
        }
    }

    fn advance(&mut self, attempt: &Attempt) {
        let last = attempt.events.iter().map(|event| event.id).max();
        let Some(last) = last else {
            return;
        };
        self.event = self.event.max(last);
        self.first_attempt.get_or_insert_with(|| attempt.id.clone());
    }
}

impl<'a> SoakCaller<'a> {
    /// Creates a caller whose requests follow from the seed and its number.
    pub fn new(fleet: &'a Fleet, seed: u64, number: u64) -> Self {
        const SEED_STEP: u64 = 1_000;
        Self {
            fleet,
            name: format!("s{seed}c{number}"),
            random: ChaCha8Rng::seed_from_u64(seed * SEED_STEP + number),
            requests: 0,
            kept: None,
            traces: Vec::new(),
        }
    }

    /// Sends one request after the other until the run ends, and returns what was received.
    pub fn run(mut self) -> Vec<Trace> {
        const LONGEST_PAUSE_MS: u64 = 120;
        while self
            .fleet
            .goes_on_for(Duration::from_millis(self.below(LONGEST_PAUSE_MS)))
        {
            let trace = self.request();
            self.traces.push(trace);
        }
        self.traces
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn choose_kind(&mut self) -> Kind {
        match self.below(10) {
            0..=4 => Kind::Digest,
            5..=6 => Kind::Draft,
            7..=8 => Kind::Publish,
            _ => Kind::Lookup,
        }
    }

    fn request(&mut self) -> Trace {
        self.requests += 1;
        let mut trace = Trace {
            name: format!("{}r{}", self.name, self.requests),
            kind: self.choose_kind(),
            attempts: Vec::new(),
        };
        let mut point = ResumePoint::default();
        let leaves_at = self.choose_leave(trace.kind);
        for number in 1..=MAX_ATTEMPTS {
            let leaves_at = leaves_at.filter(|_| number == 1);
            let (attempt, pause) = self.attempt(&trace, number, &point, leaves_at);
            point.advance(&attempt);
            let may_repeat = may_repeat(trace.kind, &attempt);
            trace.attempts.push(attempt);
            if !may_repeat || !self.fleet.goes_on_for(self.pause_after(pause)) {
                break;
            }
        }
        trace
    }

    /// Returns the time after which the caller repeats a request.
    fn pause_after(&self, told: Duration) -> Duration {
        match self.fleet.habits.repeats_at_once.load(Ordering::SeqCst) {
            true => Duration::ZERO,
            false => told,
        }
    }

    /// Returns the number of events after which the caller closes its first connection, for a few requests that may be
    /// resumed.
    fn choose_leave(&mut self, kind: Kind) -> Option<usize> {
        const SHARE: u64 = 8;
        const MOST_EVENTS: u64 = 12;
        let count = 1 + self.below(MOST_EVENTS);
        let leaves = self.below(SHARE) == 0 && kind == Kind::Digest;
        leaves.then(|| usize::try_from(count).expect("the number is small"))
    }

    /// Makes one attempt. Returns it and the time to wait before the next one.
    fn attempt(
        &mut self,
        trace: &Trace,
        number: usize,
        point: &ResumePoint,
        leaves_at: Option<usize>,
    ) -> (Attempt, Duration) {
        let begun = Instant::now();
        let last_gateway = trace.attempts.last().map(|attempt| attempt.gateway);
        let gateway = self.choose_gateway(last_gateway);
        let mut attempt = Attempt {
            id: format!("{}a{number}", trace.name),
            gateway,
            from: point.event,
            status: 0,
            signature: None,
            answered_id: None,
            events: Vec::new(),
            body: String::new(),
            end: End::Refused,
            lasted: Duration::ZERO,
        };
        let mut pause = Duration::from_millis(50);
        if let Some(mut reader) = self.connection(gateway, number) {
            attempt.end = End::Broken;
            // The gateway may have closed the connection; then there is no answer to read.
            let _ = reader
                .get_mut()
                .write_all(call_text(trace, &attempt.id, point).as_bytes());
            if let Some(head) = read_head(&mut reader) {
                pause = pause_of(&head);
                let reads_slowly = &self.fleet.habits.reads_slowly;
                let reading = Reading {
                    leaves_at,
                    reads_slowly,
                };
                receive(&mut reader, &head, trace.kind, &reading, &mut attempt);
                if head.keeps_connection() && attempt.end == End::Complete {
                    self.kept = Some((gateway, reader));
                }
            }
        }
        attempt.lasted = begun.elapsed();
        (attempt, pause)
    }

    /// Returns the index of a gateway other than the last one.
    fn choose_gateway(&mut self, last: Option<usize>) -> usize {
        let count = self.fleet.frontends.len();
        let kept = self.kept.as_ref().map(|(gateway, _)| *gateway);
        if let Some(kept) = kept.filter(|_| last.is_none() && self.below(2) == 0) {
            return kept;
        }
        let choice = usize::try_from(self.random.next_u64() % count as u64);
        let choice = choice.expect("the number is small");
        match last {
            Some(last) if last == choice => (choice + 1) % count,
            _ => choice,
        }
    }

    /// Returns the kept connection for a first attempt at its gateway, and a new one otherwise.
    fn connection(&mut self, gateway: usize, number: usize) -> Option<BufReader<TcpStream>> {
        if let Some((_, reader)) = self
            .kept
            .take()
            .filter(|kept| number == 1 && kept.0 == gateway)
        {
            return Some(reader);
        }
        open(self.fleet.frontends[gateway])
    }
}

fn open(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT).ok()?;
    let timeout = stream.set_read_timeout(Some(SILENCE_LIMIT));
    timeout.expect("a socket takes a timeout");
    Some(BufReader::new(stream))
}

fn call_text(trace: &Trace, id: &str, point: &ResumePoint) -> String {
    let path = format!("/{}/{}", trace.kind.route(), trace.name);
    let resume = point.headers();
    let (base, prompt) = match trace.kind.is_stream() {
        true => (Call::stream(id), prompt_headers(&trace.name)),
        false if trace.kind == Kind::Lookup => (Call::lookup(id), String::new()),
        false => (Call::publish(id), String::new()),
    };
    let headers = format!("{prompt}{resume}");
    Call {
        path: &path,
        headers: &headers,
        ..base
    }
    .text()
}

/// Returns the headers of a prompt whose first part a few streams share.
fn prompt_headers(name: &str) -> String {
    const SHARED_PARTS: u64 = 40;
    let own = name.bytes().fold(7_u64, |sum, byte| {
        sum.wrapping_mul(131).wrapping_add(u64::from(byte))
    });
    let shared = own % SHARED_PARTS;
    format!("Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: {shared:x}1:1000,{own:x}:460\r\n")
}

/// Returns the time that the gateway tells the caller to wait.
fn pause_of(head: &Head) -> Duration {
    let seconds = head
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    let seconds: f64 = seconds.unwrap_or(0.0);
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_PAUSE_SECONDS))
}

/// How a caller reads an answer.
struct Reading<'a> {
    /// The number of events after which the caller closes the connection.
    leaves_at: Option<usize>,
    reads_slowly: &'a AtomicBool,
}

impl Reading<'_> {
    /// Waits before the next piece is read, if callers read slowly now.
    fn wait(&self) {
        const SLOW_PIECE: Duration = Duration::from_millis(25);
        if self.reads_slowly.load(Ordering::SeqCst) {
            thread::sleep(SLOW_PIECE);
        }
    }
}

/// Reads an answer into the attempt.
fn receive(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    kind: Kind,
    reading: &Reading<'_>,
    attempt: &mut Attempt,
) {
    attempt.status = head.status;
    attempt.signature = head.header("server-signature").map(str::to_owned);
    attempt.answered_id = head.header("attempt-id").map(str::to_owned);
    if head.status != 200 || !kind.is_stream() {
        let mut body = Vec::new();
        attempt.end = read_body(reader, head, &mut |bytes| {
            body.extend_from_slice(bytes);
            true
        });
        attempt.body = String::from_utf8_lossy(&body).into_owned();
        return;
    }
    let mut collector = EventCollector::default();
    let until = reading.leaves_at.unwrap_or(usize::MAX);
    attempt.end = read_body(reader, head, &mut |bytes| {
        reading.wait();
        collector.add(bytes);
        collector.events.len() < until
    });
    attempt.body = std::mem::take(&mut collector.odd);
    if attempt.end == End::Complete {
        attempt.body.push_str(&collector.unfinished());
    }
    attempt.events = collector.events;
}

/// Returns whether the caller may send the request once more after this attempt.
fn may_repeat(kind: Kind, attempt: &Attempt) -> bool {
    const PROMISES: [u16; 4] = [408, 421, 429, 503];
    const FINAL: [u16; 6] = [400, 401, 404, 413, 431, 403];
    let is_done = attempt.status == 200 && attempt.end == End::Complete;
    if is_done || FINAL.contains(&attempt.status) {
        return false;
    }
    let is_promised = PROMISES.contains(&attempt.status) || attempt.end == End::Refused;
    kind.is_repeatable() || is_promised
}

/// Waits for a moment so that callers do not begin all at once.
pub fn stagger(number: u64) {
    const STEP_MS: u64 = 15;
    thread::sleep(Duration::from_millis(number * STEP_MS));
}
