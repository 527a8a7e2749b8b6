//! Engines that stop at each byte of an answer on a kept connection.

mod gateway;

use gateway::{Call, TestGateway, start_engine, store_with_manifest};
use oleander_standin::users::{EngineReply, SeenRequest, WireMessage};

/// How the body of an answer is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerForm {
    Length,
    Chunked,
    /// In chunks, with trailers after them.
    Trailers,
    /// With a length, after an interim answer.
    AfterInterim,
}

const FORMS: [AnswerForm; 4] = [
    AnswerForm::Length,
    AnswerForm::Chunked,
    AnswerForm::Trailers,
    AnswerForm::AfterInterim,
];

/// The body of each answer.
const BODY: &str = "the whole body";

impl AnswerForm {
    fn answer(self, id: &str) -> Vec<u8> {
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n");
        let length = BODY.len();
        let chunks = format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n");
        let text = match self {
            Self::Length => format!("{head}Content-Length: {length}\r\n\r\n{BODY}"),
            Self::Chunked => format!("{head}{chunks}\r\n"),
            Self::Trailers => format!("{head}{chunks}X-Sum: 14\r\nX-More: 1\r\n\r\n"),
            Self::AfterInterim => {
                format!("HTTP/1.1 100 Continue\r\n\r\n{head}Content-Length: {length}\r\n\r\n{BODY}")
            }
        };
        text.into_bytes()
    }
}

/// The form of an answer and the number of its bytes that are sent, as the id of a request names them.
fn named_cut(id: &str) -> Option<(AnswerForm, usize)> {
    let (form, kept) = id.strip_prefix("cut-")?.split_once('-')?;
    let form = FORMS.into_iter().nth(form.parse().ok()?)?;
    Some((form, kept.parse().ok()?))
}

/// Answers the first request on a connection whole, and stops within the answer to a later one where its id says.
fn stop_within(request: &SeenRequest) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    match named_cut(id) {
        Some((form, kept)) if request.nth_on_connection > 0 => {
            EngineReply::BytesThenClose(form.answer(id)[..kept].to_vec())
        }
        _ => EngineReply::Bytes(request.answer(BODY)),
    }
}

fn is_whole(answer: &WireMessage) -> bool {
    answer.status() == 200 && answer.is_whole && answer.text() == BODY
}

// Guards against an answer that stops in its head, its body or its trailers on a kept connection, and reaches the
// caller as a whole one or as the promise that the request has not run.
#[test]
fn an_answer_that_stops_on_a_kept_connection_is_never_whole() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "desk", stop_within);
    let gateway = TestGateway::start(&store);
    let mut on_kept = 0;
    for (index, form) in FORMS.into_iter().enumerate() {
        let whole = form.answer("cut-0-000").len();
        for kept in 0..whole {
            let warm = gateway.caller().call(&Call::publish("warm"));
            assert!(is_whole(&warm), "{form:?} {kept}");
            let id = format!("cut-{index}-{kept:03}");
            let answer = gateway.caller().call(&Call::publish(&id));
            let seen = engine.seen();
            let request = seen.last().expect("the engine has seen the request");
            if request.nth_on_connection == 0 {
                assert!(is_whole(&answer), "{form:?}: it came on a new connection");
                continue;
            }
            on_kept += 1;
            assert_eq!(answer.status(), 502, "{form:?} {kept}: {}", answer.text());
        }
    }
    assert!(
        on_kept > 400,
        "{on_kept} requests came on a kept connection"
    );
}
