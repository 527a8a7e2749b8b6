//! The HTTP interface of an engine's stand-in.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_util::Stream;
use ntex::channel::mpsc;
use ntex::http::body::BodyStream;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{Method, Request, Response, StatusCode};
use ntex::io::{IoRef, OnDisconnect};
use ntex::util::{Bytes, BytesMut, stream_recv};
use oleander_base::PrefixHash;
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{AnswerPlan, AnswerWriter};
use crate::batch::{BatchSequence, SequenceId};
use crate::counters::bump;
use crate::engine_admin::{
    accept_order, cancel_request, export_prefix, import_prefix, list_cache_events, list_models,
    set_fault,
};
use crate::engine_answer::AnswerFormat;
use crate::engine_loop::{EngineCore, OpenAnswer, PromptPrefix};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The maximum size of the cacheable prefix of a prompt that consists of one message, in bytes.
const MAX_PREFIX_BYTES: usize = 512;

/// The priority of a request without an `x-priority` header.
const DEFAULT_PRIORITY: u8 = 8;

#[derive(Debug, Deserialize)]
struct AnswerRequest {
    model: String,
    #[serde(default)]
    messages: Vec<AnswerMessage>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Option<ResumePoint>,
}

#[derive(Debug, Deserialize)]
struct AnswerMessage {
    #[serde(default)]
    content: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct ResumePoint {
    from_token: u32,
}

impl AnswerRequest {
    /// Returns the cacheable prefix of the prompt: the first of several messages, or else the
    /// prompt's first bytes. The `x-prefix-hash` header overrides its hash.
    fn prefix(&self, request: &Request, prompt: &str) -> PromptPrefix {
        let text = match self.messages.as_slice() {
            [first, _, ..] => first.text(),
            _ => String::new(),
        };
        let bytes = if text.is_empty() {
            &prompt.as_bytes()[..prompt.len().min(MAX_PREFIX_BYTES)]
        } else {
            text.as_bytes()
        };
        let header_hash =
            header(request, "x-prefix-hash").and_then(|hex| u64::from_str_radix(&hex, 16).ok());
        PromptPrefix {
            hash: PrefixHash(header_hash.unwrap_or_else(|| xxh3_64(bytes))),
            tokens: (bytes.len() / BYTES_PER_TOKEN) as u32,
        }
    }

    fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let parts: Vec<_> = self.messages.iter().map(AnswerMessage::text).collect();
        parts.join("\n")
    }
}

impl AnswerMessage {
    fn text(&self) -> String {
        match &self.content {
            serde_json::Value::String(text) => text.clone(),
            serde_json::Value::Null => String::new(),
            other => other.to_string(),
        }
    }
}

/// Handles one request. While the engine is frozen, only requests under `/admin` are answered.
pub(crate) async fn handle_request(
    core: Rc<EngineCore>,
    mut request: Request,
) -> io::Result<Response> {
    let path = request.path().to_owned();
    let method = request.method().clone();
    if !path.starts_with("/admin") {
        core.wait_until_unfrozen().await;
    }
    let response = match (&method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => start_answer(&core, &mut request, true).await?,
        (&Method::POST, "/v1/completions") => start_answer(&core, &mut request, false).await?,
        (&Method::GET, "/v1/load") => json_response(StatusCode::OK, &core.report()),
        (&Method::GET, "/v1/cache-events") => list_cache_events(&core, &request),
        (&Method::GET, "/v1/models") => list_models(&core),
        (&Method::POST, "/v1/orders") => accept_order(&core, &mut request).await?,
        (&Method::POST, "/v1/kv") => import_prefix(&core, &mut request).await?,
        (&Method::GET, path) if path.starts_with("/v1/kv/") => export_prefix(&core, path),
        (&Method::DELETE, path) if path.starts_with("/v1/requests/") => cancel_request(&core, path),
        (&Method::POST, "/admin/faults") => set_fault(&core, &mut request).await?,
        (&Method::GET, "/admin/counters") => json_response(StatusCode::OK, &core.counters.totals()),
        (&Method::GET, "/admin/dump") => {
            let text = core.state.borrow().batch.dump();
            Response::build(StatusCode::OK).body(text)
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

async fn start_answer(
    core: &Rc<EngineCore>,
    request: &mut Request,
    chat: bool,
) -> io::Result<Response> {
    bump(&core.counters.arrivals);
    let body = read_body(request).await?;
    let parsed: AnswerRequest = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => {
            return Ok(refusal_response(
                core,
                StatusCode::BAD_REQUEST,
                &error.to_string(),
            ));
        }
    };
    if let Some(response) = check_admission(core, &parsed) {
        return Ok(response);
    }
    let prompt = parsed.prompt_text();
    let prefix = parsed.prefix(request, &prompt);
    let plan = AnswerPlan::of(&parsed.model, &prompt, parsed.max_tokens);
    let next_token = parsed.resume.as_ref().map_or(0, |point| point.from_token);
    if next_token >= plan.length {
        return Ok(refusal_response(
            core,
            StatusCode::BAD_REQUEST,
            "the resume point lies behind the end",
        ));
    }
    let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN).max(1) as u32;
    let (body, stream) = mpsc::channel();
    let open_answer = OpenAnswer {
        body,
        format: AnswerFormat {
            chat,
            stream: parsed.stream,
            model: parsed.model,
            prompt_tokens,
        },
        writer: AnswerWriter::default(),
        request_id: header(request, "x-request-id").unwrap_or_default(),
        sequence: BatchSequence {
            id: SequenceId(0),
            priority: priority(request),
            plan,
            next_token,
            prompt_left: prompt_tokens + next_token,
        },
        sent: 0,
        io: request.io().cloned(),
    };
    let content_type = if open_answer.format.stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    let disconnected = request.io().map(IoRef::on_disconnect);
    let id = core.submit(open_answer, prefix);
    let body = AnswerBody {
        core: core.clone(),
        id,
        stream,
        disconnected,
    };
    Ok(Response::build(StatusCode::OK)
        .header("content-type", content_type)
        .header("x-engine", core.settings.name.as_str())
        .body(BodyStream::new(body)))
}

fn check_admission(core: &EngineCore, request: &AnswerRequest) -> Option<Response> {
    let state = core.state.borrow();
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if state.faults.refuses {
        return Some(refusal_response(
            core,
            unavailable,
            "the engine refuses requests",
        ));
    }
    if state.faults.leaving {
        return Some(refusal_response(core, unavailable, "the engine is leaving"));
    }
    if state.batch.waiting() >= core.settings.queue_limit {
        return Some(refusal_response(
            core,
            unavailable,
            "the engine's queue is full",
        ));
    }
    if !state.loaded.models.contains(&request.model) {
        return Some(refusal_response(
            core,
            StatusCode::NOT_FOUND,
            "the model is not loaded",
        ));
    }
    None
}

/// The body of an answer. Dropping it, as happens when the connection closes, cancels the sequence.
///
/// The server detects a closed connection only when it writes, so a body that has nothing to write,
/// for instance before its first token, polls the connection itself.
struct AnswerBody {
    core: Rc<EngineCore>,
    id: SequenceId,
    stream: mpsc::Receiver<io::Result<Bytes>>,
    disconnected: Option<OnDisconnect>,
}

impl Stream for AnswerBody {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Poll::Ready(item) = self.stream.poll_recv(cx) {
            return Poll::Ready(item);
        }
        let Some(disconnected) = &mut self.disconnected else {
            return Poll::Pending;
        };
        Pin::new(disconnected).poll(cx).map(|()| {
            let reason = io::Error::from(io::ErrorKind::ConnectionAborted);
            Some(Err(reason))
        })
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.core.cancel(self.id);
    }
}

fn priority(request: &Request) -> u8 {
    header(request, "x-priority")
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}

fn refusal_response(core: &EngineCore, status: StatusCode, message: &str) -> Response {
    bump(&core.counters.refused);
    let mut response = error_response(status, message);
    response.headers_mut().insert(
        HeaderName::from_static("x-not-run"),
        HeaderValue::from_static("true"),
    );
    response
}

/// Returns the value of a request header as text.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let value = request.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

/// Reads a whole request body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(request: &mut Request) -> io::Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns a JSON response.
pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_string(value).unwrap_or_default();
    Response::build(status)
        .header("content-type", "application/json")
        .body(text)
}

/// Returns an error response with the message in a JSON body.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({"error": {"message": message}}))
}
