//! Answers of engines that stop at each byte, however they are framed.

use std::time::Duration;

use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_engine::{AttemptTimeouts, ClientSettings, EngineCall, EngineClient, EnginePath};
use oleander_standin::users::{EngineReply, PacedEnd, ScriptedEngine};

/// A complete stream.
const STREAM: &str =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {}\n\ndata: [DONE]\n\n";
/// A complete answer in one piece.
const WHOLE: &str =
    "{\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":3}}";
const TIMEOUT: Duration = Duration::from_secs(2);
/// The pause between two pieces of an answer.
const PACE: Duration = Duration::from_millis(10);

fn call(engine: &ScriptedEngine) -> EngineCall<'static> {
    EngineCall {
        address: engine.address(),
        path: EnginePath::Chat,
        body: Bytes::from_static(b"{}"),
        request: "r-1",
        tier: Tier(0),
        prefix: None,
        resume: None,
        headers: &[],
        timeouts: AttemptTimeouts {
            connect: TIMEOUT,
            first_byte: TIMEOUT,
            idle: TIMEOUT,
        },
    }
}

/// Returns the framed forms of an answer: with a length in both versions of HTTP, in chunks of one event each, and with
/// nothing but the end of an HTTP/1.0 connection.
fn forms(kind: &str, body: &str) -> Vec<String> {
    let length = format!(
        "Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let events = body.split_inclusive("\n\n");
    let chunks: String = events
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
        .collect();
    vec![
        format!("HTTP/1.1 200 OK\r\n{length}"),
        format!("HTTP/1.0 200 OK\r\n{length}"),
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
        ),
        format!("HTTP/1.0 200 OK\r\nContent-Type: {kind}\r\n\r\n{body}"),
    ]
}

/// Returns whether an engine's answer counts as complete.
async fn is_complete(client: &EngineClient, engine: &ScriptedEngine) -> bool {
    let Ok(mut stream) = client.start(call(engine)).await else {
        return false;
    };
    while let Some(event) = stream.next().await {
        if event.is_err() {
            return false;
        }
    }
    stream.is_complete()
}

/// Cuts each form of an answer at each byte by an orderly close, and checks that only what holds its last text is
/// complete.
async fn cut_everywhere(kind: &str, body: &str, last: &str) {
    for form in forms(kind, body) {
        let text = form.clone();
        let engine = ScriptedEngine::spawn(move |request| {
            EngineReply::BytesThenClose(text.as_bytes()[..request.nth].to_vec())
        });
        let client = EngineClient::open(ClientSettings::default()).await.unwrap();
        for kept in 0..form.len() {
            let has_last = form[..kept].contains(last);
            let is_complete = is_complete(&client, &engine).await;
            assert!(has_last || !is_complete, "{kept} bytes of {form:?}");
        }
        assert!(is_complete(&client, &engine).await, "{form:?}");
    }
}

// Guards against a stream that ends between two events, or in the middle of one, and is taken for complete.
#[ntex::test]
async fn a_stream_that_stops_before_its_end_mark_is_never_complete() {
    cut_everywhere("text/event-stream", STREAM, "[DONE]\n\n").await;
}

// Guards against an answer in one piece that is cut and taken for complete.
#[ntex::test]
async fn an_answer_in_one_piece_that_stops_is_never_complete() {
    cut_everywhere("application/json", WHOLE, WHOLE).await;
}

// Guards against a stream whose engine's process ends between two events and that is taken for complete.
#[ntex::test]
async fn a_stream_whose_engines_process_ends_between_two_events_is_never_complete() {
    for end in [PacedEnd::Crash, PacedEnd::Restart, PacedEnd::Close] {
        for form in forms("text/event-stream", STREAM) {
            let (begun, _) = form.split_once("data: {}").expect("it has two events");
            let begun = begun.as_bytes().to_vec();
            let engine = ScriptedEngine::spawn(move |_| EngineReply::Paced {
                pieces: vec![begun.clone()],
                interval: PACE,
                end,
            });
            let client = EngineClient::open(ClientSettings::default()).await.unwrap();
            assert!(!is_complete(&client, &engine).await, "{end:?} {form:?}");
        }
    }
}
