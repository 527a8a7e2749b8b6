//! HTTP routes for callers: completions, models, reconnects and health checks.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::StreamExt;
use ntex::http::ResponseBuilder as HttpResponseBuilder;
use ntex::http::{ConnectionType, HeaderMap};
use ntex::util::{Bytes, BytesMut};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, ServiceConfig};
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_caller::{
    CallerError, CompletionCall, CompletionKind, EVENT_ID_HEADER, ErrorCode, KEEP_HEADER,
    ModelList, REQUEST_HEADER, VERDICT_HEADER, header_text, identify,
};

use rustls::ServerConfig;

use crate::answer::{AnswerBuffer, AnswerEnd, AnswerReader, ReadItem};
use crate::counters::{TrafficKey, increment};
use crate::life::LifeStage;
use crate::reconnect::{local_reader, remote_events};
use crate::request_driver::{CompletionJob, RequestDriver};
use crate::serve_service::{service, status, tokens};
use crate::server::{GRACEFUL_STOP_LIMIT, ServerThread};
use crate::sse::{EventBody, EventPosition};
use crate::worker::{SharedContext, WorkerContext};

/// Longest time, in seconds, for which an answer may be kept for a disconnected caller.
const KEEP_LIMIT_SECS: u64 = 120;

pub(crate) type Context = web::types::State<Rc<WorkerContext>>;

/// Starts the HTTP server for callers.
pub(crate) fn spawn_callers(
    shared: SharedContext,
    listener: TcpListener,
    tls: Option<ServerConfig>,
) -> io::Result<ServerThread> {
    ServerThread::spawn("callers", listener, move |listener| {
        let workers = shared.node.settings.callers.workers;
        let server = HttpServer::new(move || {
            let worker = open_worker(shared.clone());
            async move {
                App::new()
                    .state(worker.await)
                    .configure(configure_routes)
                    .default_service(web::route().to(not_found))
            }
        });
        let server = server
            .workers(workers)
            .shutdown_timeout(GRACEFUL_STOP_LIMIT)
            .disable_signals();
        let server = match tls {
            Some(tls) => server.listen_rustls(listener, tls)?,
            None => server.listen(listener)?,
        };
        Ok(server.run())
    })
}

/// Opens the context of one worker thread.
async fn open_worker(shared: SharedContext) -> Rc<WorkerContext> {
    let context = WorkerContext::open(&shared).await;
    context.expect("the clients are built from constant settings")
}

fn configure_routes(config: &mut ServiceConfig) {
    config
        .service(web::resource("/v1/chat/completions").route(web::post().to(chat)))
        .service(web::resource("/v1/completions").route(web::post().to(text)))
        .service(web::resource("/v1/models").route(web::get().to(models)))
        .service(web::resource("/v1/requests/{id}/events").route(web::get().to(reconnect)))
        .service(web::resource("/v1/requests/{id}").route(web::get().to(status)))
        .service(web::resource("/v1/tokens").route(web::post().to(tokens)))
        .service(web::resource("/services/{name}/{rest}*").route(web::route().to(service)))
        .service(web::resource("/healthz").route(web::get().to(health)))
        .service(web::resource("/readyz").route(web::get().to(readiness)));
}

async fn chat(request: HttpRequest, body: web::types::Payload, context: Context) -> HttpResponse {
    answer(
        &context,
        complete(CompletionKind::Chat, &request, body, &context).await,
    )
}

async fn text(request: HttpRequest, body: web::types::Payload, context: Context) -> HttpResponse {
    answer(
        &context,
        complete(CompletionKind::Text, &request, body, &context).await,
    )
}

async fn models(request: HttpRequest, context: Context) -> HttpResponse {
    let view = context.node.view();
    if let Err(error) = identify(request.headers(), &view.records) {
        return error.to_response();
    }
    let engines = view
        .records
        .backends
        .values()
        .filter(|b| b.kind == oleander_records::BackendKind::Engine);
    let names: std::collections::BTreeSet<&str> = engines
        .flat_map(|record| record.serves.iter().map(String::as_str))
        .collect();
    let list = ModelList::new(names);
    HttpResponse::Ok().json(&list)
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readiness(context: Context) -> HttpResponse {
    match context.node.life.stage() {
        LifeStage::Ready => HttpResponse::Ok().body("ready\n"),
        LifeStage::Starting => {
            HttpResponse::ServiceUnavailable().body("starting: no records are in force yet\n")
        }
        LifeStage::Leaving => HttpResponse::ServiceUnavailable().body("leaving\n"),
    }
}

async fn not_found() -> HttpResponse {
    CallerError::not_run(
        ErrorCode::NotFound,
        "no such path; docs/INTERFACES.md lists them",
    )
    .to_response()
}

/// Turns the result of a handler into an HTTP response.
///
/// While the VM leaves, responses ask callers to close their connections, so that no connection is
/// kept alive until the process ends.
pub(crate) fn answer(
    context: &WorkerContext,
    result: Result<HttpResponse, CallerError>,
) -> HttpResponse {
    let mut response = result.unwrap_or_else(|error| error.to_response());
    if context.node.life.stage() == LifeStage::Leaving {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// Reads a body up to the limit from the settings.
pub(crate) async fn read_body(
    mut payload: web::types::Payload,
    limit: usize,
) -> Result<Bytes, CallerError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| {
            CallerError::not_run(
                ErrorCode::BadRequest,
                format!("the body broke off: {error}"),
            )
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("the body is over {limit} bytes");
            return Err(CallerError::not_run(ErrorCode::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns an error if no records are in force yet or the VM holds as many answers as its limit on
/// requests permits.
pub(crate) fn check_admission(context: &WorkerContext) -> Result<(), CallerError> {
    let node = &context.node;
    if node.life.stage() == LifeStage::Starting {
        let error = CallerError::not_run(ErrorCode::NotReady, "no records are in force yet");
        return Err(error.after(Span::from_secs(1)));
    }
    if node.answers.len() >= node.settings.callers.request_limit {
        let error = CallerError::not_run(
            ErrorCode::Shed,
            "this entry VM holds as many requests as it may",
        );
        return Err(error.after(Span::from_secs(1)));
    }
    Ok(())
}

async fn complete(
    kind: CompletionKind,
    request: &HttpRequest,
    payload: web::types::Payload,
    context: &Context,
) -> Result<HttpResponse, CallerError> {
    let arrived = monotonic_now();
    check_admission(context)?;
    let headers = request.headers();
    let limit = context.node.settings.callers.body_limit;
    let body = read_body(payload, limit).await?;
    let job = build_job(kind, headers, body, context, arrived)
        .inspect_err(|_| increment(&context.node.counters.process.bad_requests))?;
    acquire_limits(context, &job)?;
    let retention = retention_span(headers)?;
    let position = resume_position(headers)?;
    let buffer = AnswerBuffer::new(job.customer, job.call.stream, retention, position.number);
    let reader = buffer
        .reader(position.number)
        .expect("a new buffer has no dropped events");
    context
        .node
        .answers
        .insert(job.request.serial, Arc::clone(&buffer));
    let id = job.request;
    let stream = job.call.stream;
    RequestDriver::spawn(Rc::clone(context), job, buffer);
    respond(id, stream, reader).await
}

fn build_job(
    kind: CompletionKind,
    headers: &HeaderMap,
    body: Bytes,
    context: &WorkerContext,
    arrived: MonoTime,
) -> Result<CompletionJob, CallerError> {
    let view = context.node.view();
    let identity = identify(headers, &view.records)?;
    let call = CompletionCall::parse(kind, &body)?;
    let class = identity.class_record;
    Ok(CompletionJob {
        request: context.node.next_request(),
        customer: identity.customer,
        class: identity.class,
        tier: identity.tier,
        first_token_target: Span::from_millis(class.first_token_target_ms),
        token_gap_target: Span::from_millis(class.token_gap_target_ms),
        patience: Span::from_millis(class.patience_ms),
        goodput_weight: class.goodput_weight,
        call,
        body,
        resume_tokens: resume_position(headers)?.tokens,
        idempotent: true,
        arrived,
    })
}

/// Counts the request against its customer's limits.
fn acquire_limits(context: &WorkerContext, job: &CompletionJob) -> Result<(), CallerError> {
    let key = TrafficKey {
        customer: job.customer,
        class: job.class,
    };
    context
        .node
        .acquire_limits(key)
        .map_err(|error| error.of(job.request))
}

fn retention_span(headers: &HeaderMap) -> Result<Span, CallerError> {
    let Some(text) = header_text(headers, KEEP_HEADER) else {
        return Ok(Span::ZERO);
    };
    let secs: Option<u64> = text
        .trim()
        .parse()
        .ok()
        .filter(|secs| *secs <= KEEP_LIMIT_SECS);
    secs.map(Span::from_secs).ok_or_else(|| {
        let message = format!("{KEEP_HEADER} must be 0 to {KEEP_LIMIT_SECS} seconds");
        CallerError::not_run(ErrorCode::BadRequest, message)
    })
}

fn resume_position(headers: &HeaderMap) -> Result<EventPosition, CallerError> {
    match header_text(headers, EVENT_ID_HEADER) {
        None => Ok(EventPosition::default()),
        Some(text) => EventPosition::parse(text).ok_or_else(|| {
            let message = format!("{EVENT_ID_HEADER} must be the id of an event, NUMBER.TOKENS");
            CallerError::not_run(ErrorCode::BadRequest, message)
        }),
    }
}

/// Waits for the first event, so that a refused request gets its own HTTP status.
async fn respond(
    id: RequestId,
    stream: bool,
    mut reader: AnswerReader,
) -> Result<HttpResponse, CallerError> {
    let Some(first) = reader.peek().await else {
        let error = CallerError::not_run(ErrorCode::BackendFailed, "the answer is read elsewhere");
        return Err(error.of(id).with_verdict(Verdict::MayHaveRun));
    };
    if let ReadItem::End(AnswerEnd::Failed(error)) = first {
        return Err(error);
    }
    if stream {
        return Ok(stream_response(id, reader));
    }
    whole_response(id, reader).await
}

/// Returns the response to a caller that reads a stream of events.
pub(crate) fn stream_response(id: RequestId, reader: AnswerReader) -> HttpResponse {
    event_response(id).streaming(EventBody::new(reader))
}

fn event_response(id: RequestId) -> HttpResponseBuilder {
    let mut response = HttpResponse::Ok();
    response.content_type("text/event-stream");
    response.header("cache-control", "no-store");
    response.header(REQUEST_HEADER, id.to_string());
    response
}

async fn whole_response(
    id: RequestId,
    mut reader: AnswerReader,
) -> Result<HttpResponse, CallerError> {
    let mut body = BytesMut::new();
    while let Some(item) = reader.next().await {
        match item {
            ReadItem::Event(event) => body.extend_from_slice(&event.data),
            ReadItem::End(AnswerEnd::Whole) => break,
            ReadItem::End(AnswerEnd::Failed(error)) => return Err(error),
        }
    }
    Ok(HttpResponse::Ok()
        .content_type("application/json")
        .header(REQUEST_HEADER, id.to_string())
        .header(VERDICT_HEADER, Verdict::Ran.as_str())
        .body(body.freeze()))
}

/// Parses the request id in a path.
pub(crate) fn parse_request_id(text: &str) -> Result<RequestId, CallerError> {
    text.parse()
        .map_err(|error| CallerError::not_run(ErrorCode::BadRequest, format!("{error}")))
}

async fn reconnect(
    request: HttpRequest,
    id: web::types::Path<String>,
    context: Context,
) -> HttpResponse {
    answer(&context, reconnect_answer(&request, &id, &context).await)
}

async fn reconnect_answer(
    request: &HttpRequest,
    id: &str,
    context: &Context,
) -> Result<HttpResponse, CallerError> {
    let view = context.node.view();
    let identity = identify(request.headers(), &view.records)?;
    let id = parse_request_id(id)?;
    let position = resume_position(request.headers())?;
    if id.origin == context.node.me {
        let reader = local_reader(&context.node, identity.customer, id, position)?;
        return Ok(stream_response(id, reader));
    }
    increment(&context.node.counters.process.forwarded);
    let events = remote_events(&context.shared.peers, identity.customer, id, position).await?;
    Ok(event_response(id).streaming(events))
}
