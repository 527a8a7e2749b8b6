//! Answers that speak HTTP/1.0, state an unusual coding, or have no body, and services whose process ends in the middle
//! of them. The kernel closes the connections of a process that is killed as a service closes that of an answer that
//! it has finished.

use std::time::Duration;

use ntex::http::Method;
use ntex::http::header::HeaderMap;
use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_service::{AttemptTimeouts, ServiceCall, ServiceClient};
use oleander_standin::users::{EngineReply, PacedEnd, ScriptedEngine};

const TIMEOUT: Duration = Duration::from_secs(2);
/// The body of each whole answer.
const BODY: &str = "the whole";
/// The pause between two pieces of an answer.
const PACE: Duration = Duration::from_millis(25);

async fn open() -> ServiceClient {
    ServiceClient::open(Default::default()).await.unwrap()
}

/// Forwards a call and returns the body, or the verdict on the call that failed.
async fn forward(
    client: &ServiceClient,
    service: &ScriptedEngine,
    method: Method,
) -> Result<Bytes, Verdict> {
    let headers = HeaderMap::new();
    let call = ServiceCall {
        address: service.address(),
        method,
        path: "/orders",
        headers: &headers,
        body: Bytes::from_static(b"an order"),
        idempotent: true,
        timeouts: AttemptTimeouts {
            connect: TIMEOUT,
            first_byte: TIMEOUT,
            idle: TIMEOUT,
        },
    };
    match client.forward(call).await {
        Ok(answer) => Ok(answer.body),
        Err(error) => Err(error.verdict),
    }
}

/// Returns the outcome of one call to a service that always replies so.
async fn outcome(reply: EngineReply) -> Result<Bytes, Verdict> {
    let service = ScriptedEngine::spawn(move |_| reply.clone());
    forward(&open().await, &service, Method::POST).await
}

fn whole() -> Result<Bytes, Verdict> {
    Ok(Bytes::from_static(BODY.as_bytes()))
}

/// Returns an HTTP/1.0 answer without a length whose body is written in three pieces, the last of them only if it is
/// whole.
fn paced(is_whole: bool, end: PacedEnd) -> EngineReply {
    let count = if is_whole { 3 } else { 2 };
    let pieces = ["HTTP/1.0 200 OK\r\n\r\n", "the ", "whole"];
    let pieces = pieces[..count].iter();
    EngineReply::Paced {
        pieces: pieces.map(|piece| piece.as_bytes().to_vec()).collect(),
        interval: PACE,
        end,
    }
}

// Guards against an HTTP/1.0 answer that is shorter than the length that it states and is delivered as whole.
#[ntex::test]
async fn an_http_1_0_answer_that_stops_before_its_length_is_not_whole() {
    let head = format!("HTTP/1.0 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
    for kept in 0..BODY.len() {
        let bytes = format!("{head}{}", &BODY[..kept]).into_bytes();
        let cut = outcome(EngineReply::BytesThenClose(bytes)).await;
        assert_eq!(cut, Err(Verdict::MayHaveRun), "{kept} bytes");
    }
    let bytes = format!("{head}{BODY}").into_bytes();
    assert_eq!(outcome(EngineReply::BytesThenClose(bytes)).await, whole());
}

// Guards against an HTTP/1.0 answer without a length that is delivered short, as whole, when the service's process
// ends, also where another process accepts connections at its address at once.
#[ntex::test]
async fn an_http_1_0_answer_without_a_length_is_not_whole_when_its_process_ends() {
    for end in [PacedEnd::Crash, PacedEnd::Restart] {
        let cut = outcome(paced(false, end)).await;
        assert_eq!(cut, Err(Verdict::MayHaveRun), "{end:?}");
    }
}

// Guards against whole HTTP/1.0 answers of a living service that count as cut, are sent again, or cost more than one
// connection each besides their own.
#[ntex::test]
async fn http_1_0_answers_without_a_length_of_a_living_service_are_whole() {
    const CALLS: usize = 8;
    let service = ScriptedEngine::spawn(|_| paced(true, PacedEnd::Close));
    let client = open().await;
    for nth in 0..CALLS {
        let answer = forward(&client, &service, Method::POST).await;
        assert_eq!(answer, whole(), "call {nth}");
    }
    assert_eq!(service.seen().len(), CALLS);
    let connections = service.accepted_connections();
    assert!(connections <= 2 * CALLS, "{connections} connections");
}

// Guards against an answer whose transfer coding frames nothing and that is delivered as a complete empty one.
#[ntex::test]
async fn an_answer_that_states_a_coding_other_than_chunks_is_a_failure() {
    for version in ["1.0", "1.1"] {
        for coding in ["identity", "gzip", "chunked, identity"] {
            let head = format!("HTTP/{version} 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n");
            let bytes = format!("{head}{BODY}").into_bytes();
            let answer = outcome(EngineReply::BytesThenClose(bytes)).await;
            assert_eq!(answer, Err(Verdict::MayHaveRun), "{version} {coding}");
        }
    }
}

// Guards against an answer that has no body by its length, its status or its request, and counts as cut or delays the
// next answer.
#[ntex::test]
async fn answers_without_a_body_end_with_their_head() {
    let heads = [
        ("200 OK\r\nContent-Length: 0", Method::POST),
        ("204 No Content", Method::POST),
        ("304 Not Modified", Method::GET),
        ("304 Not Modified\r\nContent-Length: 9", Method::GET),
        ("200 OK\r\nContent-Length: 9", Method::HEAD),
        ("200 OK\r\nTransfer-Encoding: chunked", Method::HEAD),
        ("200 OK", Method::HEAD),
    ];
    for version in ["1.0", "1.1"] {
        for (head, method) in &heads {
            if version == "1.0" && head.contains("chunked") {
                continue;
            }
            let bytes = format!("HTTP/{version} {head}\r\n\r\n").into_bytes();
            let service = ScriptedEngine::spawn(move |_| EngineReply::Bytes(bytes.clone()));
            let client = open().await;
            for nth in 0..2 {
                let answer = forward(&client, &service, method.clone()).await;
                assert_eq!(
                    answer,
                    Ok(Bytes::new()),
                    "HTTP/{version} {head}, call {nth}"
                );
            }
        }
    }
}
