//! The HTTP interface of an engine's stand-in.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::Stream;
use ntex::channel::mpsc;
use ntex::http::body::BodyStream;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{Method, Request, Response, StatusCode};
use ntex::io::{IoRef, OnDisconnect};
use ntex::util::{Bytes, BytesMut, stream_recv};
use oleander_base::{CacheEvent, EngineRole, PrefixHash};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{AnswerPlan, AnswerWriter, token_text};
use crate::batch::{BatchSequence, SequenceId, StepToken};
use crate::counters::bump;
use crate::engine_loop::{EngineCore, OpenAnswer, PromptPrefix};
use crate::faults::{EngineFault, OrderMode};
use crate::host::HostCommand;

/// The largest request body, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// How many bytes of a prompt one token stands for.
const BYTES_PER_TOKEN: usize = 4;

/// The first part of a prompt that is kept if it consists of one message, in bytes.
const PREFIX_BYTES: usize = 512;

/// The priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 8;

/// The interface that an answer is given on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerShape {
    chat: bool,
    stream: bool,
    model: String,
    prompt_tokens: u32,
}

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

#[derive(Debug, Deserialize)]
struct EngineOrder {
    fencing: u64,
    models: Option<Vec<String>>,
    version: Option<String>,
    adapters: Option<Vec<String>>,
    role: Option<EngineRole>,
}

#[derive(Debug, Serialize)]
struct EventPage {
    events: Vec<NumberedEvent>,
}

#[derive(Debug, Serialize)]
struct NumberedEvent {
    number: u64,
    event: CacheEvent,
}

#[derive(Debug, Serialize, Deserialize)]
struct ExportedPrefix {
    prefix: PrefixHash,
    tokens: u32,
}

impl AnswerRequest {
    /// Returns the part of the prompt that the cache keeps: the first of several messages, or else
    /// a first part of fixed size.
    fn prefix(&self, request: &Request, prompt: &str) -> PromptPrefix {
        let text = match self.messages.as_slice() {
            [first, _, ..] => first.text(),
            _ => String::new(),
        };
        let bytes = if text.is_empty() {
            &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]
        } else {
            text.as_bytes()
        };
        let named =
            header(request, "x-prefix-hash").and_then(|hex| u64::from_str_radix(&hex, 16).ok());
        PromptPrefix {
            hash: PrefixHash(named.unwrap_or_else(|| xxh3_64(bytes))),
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

/// Answers one request.
pub(crate) async fn handle_request(
    core: Rc<EngineCore>,
    mut request: Request,
) -> io::Result<Response> {
    let path = request.path().to_owned();
    let method = request.method().clone();
    if !path.starts_with("/admin") {
        core.thawed().await;
    }
    let response = match (&method, path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => answer(&core, &mut request, true).await?,
        (&Method::POST, "/v1/completions") => answer(&core, &mut request, false).await?,
        (&Method::GET, "/v1/load") => json_response(StatusCode::OK, &core.report()),
        (&Method::GET, "/v1/cache-events") => cache_events(&core, &request),
        (&Method::GET, "/v1/models") => models(&core),
        (&Method::POST, "/v1/orders") => order(&core, &mut request).await?,
        (&Method::POST, "/v1/kv") => import_prefix(&core, &mut request).await?,
        (&Method::GET, path) if path.starts_with("/v1/kv/") => export_prefix(&core, path),
        (&Method::DELETE, path) if path.starts_with("/v1/requests/") => cancel(&core, path),
        (&Method::POST, "/admin/faults") => fault(&core, &mut request).await?,
        (&Method::GET, "/admin/counters") => json_response(StatusCode::OK, &core.counters.totals()),
        (&Method::GET, "/admin/dump") => {
            let text = core.state.borrow().batch.dump();
            Response::build(StatusCode::OK).body(text)
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    };
    Ok(response)
}

async fn answer(core: &Rc<EngineCore>, request: &mut Request, chat: bool) -> io::Result<Response> {
    bump(&core.counters.arrivals);
    let body = read_body(request).await?;
    let parsed: AnswerRequest = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => return Ok(refusal(core, StatusCode::BAD_REQUEST, &error.to_string())),
    };
    if let Some(response) = refuse(core, &parsed) {
        return Ok(response);
    }
    let prompt = parsed.prompt_text();
    let prefix = parsed.prefix(request, &prompt);
    let plan = AnswerPlan::of(&parsed.model, &prompt, parsed.max_tokens);
    let next_token = parsed.resume.as_ref().map_or(0, |point| point.from_token);
    if next_token >= plan.length {
        return Ok(refusal(
            core,
            StatusCode::BAD_REQUEST,
            "the resume point lies behind the end",
        ));
    }
    let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN).max(1) as u32;
    let (body, stream) = mpsc::channel();
    let open = OpenAnswer {
        body,
        shape: AnswerShape {
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
    let content_type = if open.shape.stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    let gone = request.io().map(IoRef::on_disconnect);
    let id = core.submit(open, prefix);
    let body = AnswerBody {
        core: core.clone(),
        id,
        stream,
        gone,
    };
    Ok(Response::build(StatusCode::OK)
        .header("content-type", content_type)
        .header("x-engine", core.settings.name.as_str())
        .body(BodyStream::new(body)))
}

fn refuse(core: &EngineCore, request: &AnswerRequest) -> Option<Response> {
    let state = core.state.borrow();
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if state.faults.refuses {
        return Some(refusal(core, unavailable, "the engine refuses requests"));
    }
    if state.faults.leaving {
        return Some(refusal(core, unavailable, "the engine is leaving"));
    }
    if state.batch.waiting() >= core.settings.queue_limit {
        return Some(refusal(core, unavailable, "the engine's queue is full"));
    }
    if !state.loaded.models.contains(&request.model) {
        return Some(refusal(
            core,
            StatusCode::NOT_FOUND,
            "the model is not loaded",
        ));
    }
    None
}

/// The body of an answer; dropping it, as a closed connection does, cancels the sequence.
///
/// The server notices a closed connection only when it writes, so a body that still waits for its
/// first token watches the connection itself.
struct AnswerBody {
    core: Rc<EngineCore>,
    id: SequenceId,
    stream: mpsc::Receiver<io::Result<Bytes>>,
    gone: Option<OnDisconnect>,
}

impl Stream for AnswerBody {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Poll::Ready(item) = self.stream.poll_recv(cx) {
            return Poll::Ready(item);
        }
        let Some(gone) = &mut self.gone else {
            return Poll::Pending;
        };
        Pin::new(gone).poll(cx).map(|()| {
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

impl OpenAnswer {
    /// Sends one token, or keeps it if the answer goes out in one piece.
    pub(crate) fn push(&mut self, token: &StepToken, engine: &str) {
        self.sent += 1;
        let tag = self.sequence.plan.tag;
        if self.shape.stream {
            let mut text = self.event(&token_text(tag, token.index), None, token.index + 1);
            if token.last {
                let reason = self.sequence.plan.finish_reason();
                text.push_str(&self.event("", Some(reason), token.index + 1));
                text.push_str("data: [DONE]\n\n");
            }
            let _ = self.body.send(Ok(Bytes::from(text)));
            return;
        }
        self.writer.push(tag, token.index);
        if token.last {
            let whole = self.whole(engine, token.index + 1);
            let _ = self.body.send(Ok(Bytes::from(whole)));
        }
    }

    fn event(&self, content: &str, reason: Option<&str>, count: u32) -> String {
        let tag = self.sequence.plan.tag;
        let model = &self.shape.model;
        let object = if self.shape.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let payload = if self.shape.chat {
            format!("\"delta\":{{\"content\":\"{content}\"}}")
        } else {
            format!("\"text\":\"{content}\"")
        };
        let (finish, usage) = match reason {
            Some(reason) => (
                format!("\"{reason}\""),
                format!(
                    ",\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{count}}}",
                    self.shape.prompt_tokens
                ),
            ),
            None => ("null".to_owned(), String::new()),
        };
        format!(
            "data: {{\"id\":\"answer-{tag}\",\"object\":\"{object}\",\"model\":{model:?},\
             \"choices\":[{{\"index\":0,{payload},\"finish_reason\":{finish}}}]{usage}}}\n\n"
        )
    }

    fn whole(&self, engine: &str, count: u32) -> String {
        let text = self.writer.as_str();
        let choice = if self.shape.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                   "finish_reason": self.sequence.plan.finish_reason()})
        } else {
            json!({"index": 0, "text": text,
                   "finish_reason": self.sequence.plan.finish_reason()})
        };
        json!({
            "id": format!("answer-{}", self.sequence.plan.tag),
            "object": if self.shape.chat { "chat.completion" } else { "text_completion" },
            "model": self.shape.model,
            "engine": engine,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.shape.prompt_tokens,
                "completion_tokens": count,
            },
        })
        .to_string()
    }
}

fn cancel(core: &Rc<EngineCore>, path: &str) -> Response {
    let wanted = path.trim_start_matches("/v1/requests/");
    let found = core
        .state
        .borrow()
        .answers
        .iter()
        .find(|(_, answer)| !wanted.is_empty() && answer.request_id == wanted)
        .map(|(id, _)| *id);
    match found {
        Some(id) => {
            core.abort(id);
            json_response(StatusCode::OK, &json!({"cancelled": true}))
        }
        None => error_response(StatusCode::NOT_FOUND, "no such request"),
    }
}

fn cache_events(core: &EngineCore, request: &Request) -> Response {
    let query = request.uri().query().unwrap_or_default();
    let after = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0);
    let lag = oleander_base::Span::from_millis(core.settings.event_lag_ms);
    let events = core
        .state
        .borrow()
        .cache
        .events_after(after, core.now() - lag);
    let events = events
        .into_iter()
        .map(|(number, event)| NumberedEvent { number, event });
    json_response(
        StatusCode::OK,
        &EventPage {
            events: events.collect(),
        },
    )
}

fn models(core: &EngineCore) -> Response {
    let state = core.state.borrow();
    let data: Vec<_> = state
        .loaded
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
}

async fn order(core: &Rc<EngineCore>, request: &mut Request) -> io::Result<Response> {
    let body = read_body(request).await?;
    let order: EngineOrder = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => {
            return Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string()));
        }
    };
    let newest = core.state.borrow().loaded.newest_fencing;
    if core.settings.orders == OrderMode::Checks && order.fencing < newest {
        bump(&core.counters.orders_refused);
        return Ok(json_response(
            StatusCode::CONFLICT,
            &json!({"error": {"message": "old fencing number", "newest": newest}}),
        ));
    }
    core.state.borrow_mut().loaded.newest_fencing = newest.max(order.fencing);
    bump(&core.counters.orders);
    ntex::rt::spawn(carry_out(core.clone(), order));
    Ok(json_response(
        StatusCode::ACCEPTED,
        &json!({"accepted": true}),
    ))
}

async fn carry_out(core: Rc<EngineCore>, order: EngineOrder) {
    tokio::time::sleep(Duration::from_millis(core.settings.load_ms)).await;
    let loaded = &mut core.state.borrow_mut().loaded;
    if let Some(models) = order.models {
        loaded.models = models;
    }
    if let Some(version) = order.version {
        loaded.version = version;
    }
    if let Some(adapters) = order.adapters {
        loaded.adapters = adapters;
    }
    if let Some(role) = order.role {
        loaded.role = role;
    }
}

fn export_prefix(core: &EngineCore, path: &str) -> Response {
    let hex = path.trim_start_matches("/v1/kv/");
    let prefix = u64::from_str_radix(hex, 16).ok().map(PrefixHash);
    let tokens = prefix.and_then(|prefix| core.state.borrow().cache.tokens_of(prefix));
    match (prefix, tokens) {
        (Some(prefix), Some(tokens)) => {
            json_response(StatusCode::OK, &ExportedPrefix { prefix, tokens })
        }
        _ => error_response(StatusCode::NOT_FOUND, "the prefix is not held"),
    }
}

async fn import_prefix(core: &EngineCore, request: &mut Request) -> io::Result<Response> {
    let body = read_body(request).await?;
    let Ok(exported) = serde_json::from_slice::<ExportedPrefix>(&body) else {
        return Ok(error_response(
            StatusCode::BAD_REQUEST,
            "not an exported prefix",
        ));
    };
    let now = core.now();
    core.state
        .borrow_mut()
        .cache
        .touch(exported.prefix, exported.tokens, now);
    Ok(json_response(StatusCode::OK, &json!({"imported": true})))
}

async fn fault(core: &EngineCore, request: &mut Request) -> io::Result<Response> {
    let body = read_body(request).await?;
    match serde_json::from_slice::<EngineFault>(&body) {
        Ok(fault) => {
            let _ = core.commands.send(HostCommand::detached(fault));
            Ok(json_response(StatusCode::OK, &json!({"set": true})))
        }
        Err(error) => Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}

fn priority(request: &Request) -> u8 {
    header(request, "x-priority")
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}

fn refusal(core: &EngineCore, status: StatusCode, message: &str) -> Response {
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

/// Reads a whole request body of bounded size.
pub(crate) async fn read_body(request: &mut Request) -> io::Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = stream_recv(&mut payload).await {
        let chunk = chunk.map_err(io::Error::other)?;
        if body.len() + chunk.len() > BODY_LIMIT {
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

/// Returns an error in the usual JSON shape.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({"error": {"message": message}}))
}
