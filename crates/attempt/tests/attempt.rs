//! Tests of attempts against a server that answers with fixed bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use oleander_attempt::{
    AttemptClient, AttemptFailure, AttemptRequest, AttemptSettings, AttemptTimeouts,
};
use oleander_base::prelude::*;

const LONG_WAIT: Duration = Duration::from_secs(20);
/// The number of simultaneous requests; less than the server's queue of unaccepted connections.
const CONCURRENT_REQUESTS: u32 = 100;
const SHORT_WAIT: Duration = Duration::from_millis(80);

/// A server that answers every request with the same bytes, and counts connections and requests.
struct ScriptServer {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
    requests: Arc<AtomicU32>,
}

impl ScriptServer {
    /// Binds the server; with `keep_open` it keeps the connection open after an answer.
    fn bind(answer: &'static str, keep_open: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU32::new(0));
        let connections = Arc::new(AtomicU32::new(0));
        let (count, connection_count) = (requests.clone(), connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connection_count.fetch_add(1, Ordering::SeqCst);
                let count = count.clone();
                std::thread::spawn(move || serve(stream, answer, keep_open, &count));
            }
        });
        Self {
            address,
            connections,
            requests,
        }
    }

    fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, answer: &str, keep_open: bool, count: &AtomicU32) {
    let mut seen = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(size) = stream.read(&mut buffer) {
        if size == 0 {
            return;
        }
        seen.extend_from_slice(&buffer[..size]);
        if !seen.windows(4).any(|window| window == b"\r\n\r\n") {
            continue;
        }
        count.fetch_add(1, Ordering::SeqCst);
        seen.clear();
        if stream.write_all(answer.as_bytes()).is_err() || !keep_open {
            return;
        }
    }
}

async fn open() -> AttemptClient {
    AttemptClient::open(AttemptSettings::default())
        .await
        .unwrap()
}

fn get(address: SocketAddr) -> AttemptRequest<'static> {
    AttemptRequest {
        method: Method::GET,
        address,
        path: "/",
        headers: &[],
        body: Bytes::new(),
        fresh: false,
        timeouts: AttemptTimeouts {
            connect: LONG_WAIT,
            first_byte: LONG_WAIT,
            idle: SHORT_WAIT,
        },
    }
}

#[ntex::test]
async fn a_redirect_is_an_answer_and_not_followed() {
    let answer =
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    let server = ScriptServer::bind(answer, true);
    let response = open().await.send(get(server.address)).await.unwrap();
    assert_eq!(response.status, StatusCode::TEMPORARY_REDIRECT);
    assert_eq!(response.header("location"), Some("/elsewhere"));
    assert_eq!(server.requests(), 1);
}

#[ntex::test]
async fn a_close_instead_of_an_answer_may_have_run_and_is_not_repeated() {
    let server = ScriptServer::bind("", false);
    let client = open().await;
    for round in 1..=20 {
        let error = client.send(get(server.address)).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun, "{error}");
        assert_eq!(server.requests(), round);
    }
}

#[ntex::test]
async fn no_server_means_not_run() {
    let free = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let error = open().await.send(get(free)).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert!(matches!(error.failure, AttemptFailure::Connect(_)));
}

#[ntex::test]
async fn invalid_http_may_have_run() {
    let server = ScriptServer::bind("hello there\r\n\r\n", false);
    let error = open().await.send(get(server.address)).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

#[ntex::test]
async fn a_stalled_or_truncated_body_is_an_error() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    for (keep_open, is_idle) in [(true, true), (false, false)] {
        let server = ScriptServer::bind(part, keep_open);
        let response = open().await.send(get(server.address)).await.unwrap();
        let error = response.body.read(100).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun);
        assert_eq!(
            error.failure == AttemptFailure::IdleTimeout,
            is_idle,
            "{error}"
        );
    }
}

#[ntex::test]
async fn a_body_over_the_limit_is_refused() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789";
    let server = ScriptServer::bind(answer, true);
    let client = open().await;
    let response = client.send(get(server.address)).await.unwrap();
    let error = response.body.read(9).await.unwrap_err();
    assert_eq!(error.failure, AttemptFailure::TooLarge { limit: 9 });
    let response = client.send(get(server.address)).await.unwrap();
    assert_eq!(&response.body.read(10).await.unwrap()[..], b"0123456789");
}

#[ntex::test]
async fn many_requests_at_once_all_find_a_connection() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let server = ScriptServer::bind(answer, true);
    let client = open().await;
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        let (client, address) = (client.clone(), server.address);
        tasks.push(ntex::rt::spawn(async move {
            let response = client.send(get(address)).await.unwrap();
            response.body.read(10).await.unwrap()
        }));
    }
    for task in tasks {
        assert_eq!(&task.await.unwrap()[..], b"ok");
    }
    assert_eq!(server.requests(), CONCURRENT_REQUESTS);
}

// Guards against a request on a connection whose last answer, which has neither a length nor chunks, goes on.
#[ntex::test]
async fn the_connection_of_an_unframed_answer_carries_no_other_request() {
    let server = ScriptServer::bind("HTTP/1.1 200 OK\r\n\r\n", true);
    let client = open().await;
    for round in 1..=20 {
        let response = client.send(get(server.address)).await.unwrap();
        let error = response.body.read(100).await.unwrap_err();
        assert_eq!(error.failure, AttemptFailure::Unframed);
        assert_eq!((server.connections(), server.requests()), (round, round));
    }
}

// Guards against a first-byte timeout that only passes with a longer connect timeout.
#[ntex::test]
async fn a_call_ends_with_its_shorter_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut request = get(listener.local_addr().unwrap());
    request.body = Bytes::from_static(b"{}");
    request.timeouts.first_byte = SHORT_WAIT;
    let started = Instant::now();
    let error = open().await.send(request).await.unwrap_err();
    assert!(started.elapsed() < LONG_WAIT / 2, "{error}");
}

/// A server that answers the first request on a connection whole, and stops within the answer to a later one.
fn bind_stopping(whole: &'static str, kept: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut buffer = [0; 4_096];
                for answer in [whole, &whole[..kept]] {
                    // The short head of a request arrives in one piece.
                    match stream.read(&mut buffer) {
                        Ok(size) if size > 0 => stream.write_all(answer.as_bytes()).unwrap(),
                        _ => return,
                    }
                }
            });
        }
    });
    address
}

// Guards against an answer that stops in its head, its body or its trailers and is taken for a whole one, on a new and
// on a kept connection.
#[ntex::test]
async fn an_answer_that_stops_is_never_whole() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-more: 1\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ];
    for whole in answers {
        for kept in 0..whole.len() {
            let server = ScriptServer::bind(&whole[..kept], false);
            assert_not_whole(&open().await, server.address, kept).await;
            let address = bind_stopping(whole, kept);
            let client = open().await;
            let first = client.send(get(address)).await.unwrap();
            assert_eq!(first.body.read(100).await.unwrap(), "done");
            assert_not_whole(&client, address, kept).await;
        }
    }
}

async fn assert_not_whole(client: &AttemptClient, address: SocketAddr, kept: usize) {
    let error = match client.send(get(address)).await {
        Ok(response) => response.body.read(100).await.unwrap_err(),
        Err(error) => error,
    };
    assert_eq!(error.verdict, Verdict::MayHaveRun, "{kept}: {error}");
}

/// The most bytes that the client may take of an answer without end, with what the kernel holds of it.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;

/// A server that answers with some bytes and then others again and again, and counts those that were taken.
fn bind_flooding(first: &'static str, repeated: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&taken);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).is_err() {
                    return;
                }
                let line = repeated.repeat(4_096 / repeated.len());
                let mut written = stream.write_all(first.as_bytes());
                while written.is_ok() {
                    count.fetch_add(u32::try_from(line.len()).unwrap(), Ordering::SeqCst);
                    written = stream.write_all(line.as_bytes());
                }
            });
        }
    });
    (address, taken)
}

// Guards against bytes without end, in a head or a body, that fill the memory of the process that calls.
#[ntex::test]
async fn an_answer_without_end_is_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let floods = [
        ("HTTP/1.1 200 OK\r\nx-more: ", "endless "),
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("", "endless "),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "endless ",
        ),
        (chunked, "8\r\nendless \r\n"),
        (chunked, "88888"),
    ];
    for (first, repeated) in floods {
        let (address, taken) = bind_flooding(first, repeated);
        let mut request = get(address);
        request.timeouts.first_byte = Duration::from_secs(2);
        let error = match open().await.send(request).await {
            Ok(response) => response.body.read(64 * 1024).await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(error.verdict, Verdict::MayHaveRun, "{error}");
        let bytes = taken.load(Ordering::SeqCst) as usize;
        assert!(
            bytes <= MAX_TAKEN_BYTES,
            "{first:?} {repeated:?}: {bytes} bytes"
        );
    }
}
