//! HTTP routes for callers: plain services, tokens and request status.

use std::rc::Rc;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_caller::{
    CallerError, ErrorCode, IDEMPOTENCY_HEADER, TOKEN_HEADER, header_text, identify,
};
use oleander_once::{IssueError, RequestStatus};
use oleander_peer::{PeerCall, PeerReply};
use oleander_records::{BackendRecord, ServiceRoute};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::counters::TrafficKey;
use crate::forward::forward_call;
use crate::http_answer::HttpAnswer;
use crate::serve::{Context, answer, check_admission, parse_request_id, read_body};
use crate::service_job::{ServiceJob, ServiceStep, run_service};
use crate::worker::WorkerContext;

/// Timeout for asking another entry VM for the status of a request.
const STATUS_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Handles a call to a plain service.
pub(crate) async fn service(
    request: HttpRequest,
    path: web::types::Path<ServicePath>,
    payload: web::types::Payload,
    context: Context,
) -> HttpResponse {
    answer(
        &context,
        call_service(&request, &path, payload, &context).await,
    )
}

/// The name of a service and the path below it.
#[derive(Debug, Deserialize)]
pub(crate) struct ServicePath {
    name: String,
    rest: String,
}

async fn call_service(
    request: &HttpRequest,
    path: &ServicePath,
    payload: web::types::Payload,
    context: &Context,
) -> Result<HttpResponse, CallerError> {
    check_admission(context)?;
    let body = read_body(payload, context.node.settings.callers.body_limit).await?;
    let job = build_job(request, path, body, context)?;
    acquire_limits(context, &job)?;
    let (reply, done) = oneshot::channel();
    let worker = Rc::clone(context);
    // The call continues after its caller disconnects, so that a repeat finds its result.
    ntex::rt::spawn(async move {
        let result = run_or_forward(&worker, &job).await;
        worker.node.limits.release(job.customer);
        let _ = reply.send(result);
    });
    let result = done.await.map_err(|_| {
        CallerError::not_run(ErrorCode::BackendFailed, "the call was cut off")
            .with_verdict(Verdict::MayHaveRun)
    })?;
    Ok(result.into_response())
}

async fn run_or_forward(context: &Rc<WorkerContext>, job: &ServiceJob) -> HttpAnswer {
    match run_service(context, job).await {
        ServiceStep::Answered(answer) => answer,
        ServiceStep::Forward(instance) => forward_call(context, job, instance).await,
    }
}

fn build_job(
    request: &HttpRequest,
    path: &ServicePath,
    body: Bytes,
    context: &WorkerContext,
) -> Result<ServiceJob, CallerError> {
    let view = context.node.view();
    let headers = request.headers();
    let identity = identify(headers, &view.records)?;
    let pool = context
        .node
        .default_pool(ModelId::from_name(&path.name))
        .ok_or_else(|| unknown_service(&path.name))?;
    let route = view.pool(pool).ok_or_else(|| unknown_service(&path.name))?;
    let record = route
        .backends
        .iter()
        .find_map(|backend| view.backend(*backend));
    let below = format!("/{}", path.rest);
    let method = request.method().clone();
    let idempotent = record.is_some_and(|record| is_idempotent(record, method.as_str(), &below));
    let query = request.query_string();
    let full_path = if query.is_empty() {
        below
    } else {
        format!("{below}?{query}")
    };
    let class = identity.class_record;
    Ok(ServiceJob {
        request: context.node.next_request(),
        pool,
        customer: identity.customer,
        class: identity.class,
        tier: identity.tier,
        target: Span::from_millis(class.first_token_target_ms),
        patience: Span::from_millis(class.patience_ms),
        goodput_weight: class.goodput_weight,
        method,
        path: full_path,
        headers: headers.clone(),
        body,
        idempotent,
        token: header_text(headers, TOKEN_HEADER).map(str::to_owned),
        key: header_text(headers, IDEMPOTENCY_HEADER).map(str::to_owned),
        forwarded: false,
        arrived: monotonic_now(),
    })
}

fn unknown_service(name: &str) -> CallerError {
    let message = format!("no plain service `{}` is on record", name.escape_debug());
    CallerError::not_run(ErrorCode::NotFound, message)
}

fn is_idempotent(record: &BackendRecord, method: &str, path: &str) -> bool {
    let matches = |route: &&ServiceRoute| {
        route.method == method
            && match route.path.strip_suffix('*') {
                Some(prefix) => path.starts_with(prefix),
                None => path == route.path,
            }
    };
    record
        .routes
        .iter()
        .find(matches)
        .is_some_and(|route| route.idempotent)
}

fn acquire_limits(context: &WorkerContext, job: &ServiceJob) -> Result<(), CallerError> {
    let key = TrafficKey {
        customer: job.customer,
        class: job.class,
    };
    context
        .node
        .acquire_limits(key)
        .map_err(|error| error.of(job.request))
}

#[derive(Debug, Deserialize)]
struct TokenCall {
    #[serde(default = "one")]
    count: u32,
}

fn one() -> u32 {
    1
}

#[derive(Debug, Serialize)]
struct TokenList {
    tokens: Vec<String>,
}

/// Handles a request for tokens that are bound to this instance.
pub(crate) async fn tokens(
    request: HttpRequest,
    payload: web::types::Payload,
    context: Context,
) -> HttpResponse {
    answer(&context, issue_tokens(&request, payload, &context).await)
}

async fn issue_tokens(
    request: &HttpRequest,
    payload: web::types::Payload,
    context: &Context,
) -> Result<HttpResponse, CallerError> {
    check_admission(context)?;
    let body = read_body(payload, context.node.settings.callers.body_limit).await?;
    let customer = identify(request.headers(), &context.node.view().records)?.customer;
    let call: TokenCall = if body.is_empty() {
        TokenCall { count: 1 }
    } else {
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body must be {{\"count\": N}}: {error}");
            CallerError::not_run(ErrorCode::BadRequest, message)
        })?
    };
    let tokens = context
        .shared
        .guard
        .issue(customer, call.count)
        .map_err(|error| issue_error(&error))?;
    Ok(HttpResponse::Ok().json(&TokenList { tokens }))
}

fn issue_error(error: &IssueError) -> CallerError {
    match error {
        IssueError::NoTokenKey => CallerError::not_run(ErrorCode::NotFound, error.to_string()),
        IssueError::TooMany { .. } => {
            CallerError::not_run(ErrorCode::BadRequest, error.to_string())
        }
        IssueError::Full { retry_after } => {
            CallerError::not_run(ErrorCode::Shed, error.to_string()).after(*retry_after)
        }
    }
}

#[derive(Debug, Serialize)]
struct StatusBody {
    request: String,
    state: &'static str,
    verdict: Verdict,
}

/// Handles a status query for a request that any entry VM accepted.
pub(crate) async fn status(
    request: HttpRequest,
    id: web::types::Path<String>,
    context: Context,
) -> HttpResponse {
    answer(&context, request_status(&request, &id, &context).await)
}

async fn request_status(
    request: &HttpRequest,
    id: &str,
    context: &Context,
) -> Result<HttpResponse, CallerError> {
    identify(request.headers(), &context.node.view().records)?;
    let id = parse_request_id(id)?;
    let known = if id.origin == context.node.me {
        local_status(context, id)
    } else {
        let call = PeerCall::RequestStatus(id);
        match context
            .shared
            .peers
            .call(id.origin, call, STATUS_TIMEOUT)
            .await
        {
            Ok(PeerReply::Answer(bytes)) => postcard::from_bytes(&bytes).ok(),
            _ => None,
        }
    };
    let known = known.unwrap_or(KnownRequest {
        ended: false,
        verdict: Verdict::MayHaveRun,
    });
    let body = StatusBody {
        request: id.to_string(),
        state: if known.ended {
            "ended"
        } else {
            "not-known-to-have-ended"
        },
        verdict: known.verdict,
    };
    Ok(HttpResponse::Ok().json(&body))
}

/// The status of a request as entry VMs send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownRequest {
    /// Whether the request ended.
    pub(crate) ended: bool,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
}

fn local_status(context: &WorkerContext, id: RequestId) -> Option<KnownRequest> {
    known_request(context.shared.guard.lookup(id)?)
}

/// Converts a guard's status to the form that entry VMs send to each other.
pub(crate) fn known_request(status: RequestStatus) -> Option<KnownRequest> {
    Some(match status {
        RequestStatus::Running => KnownRequest {
            ended: false,
            verdict: Verdict::MayHaveRun,
        },
        RequestStatus::Ended(verdict) => KnownRequest {
            ended: true,
            verdict,
        },
        RequestStatus::Kept(result) => KnownRequest {
            ended: true,
            verdict: result.verdict,
        },
    })
}
