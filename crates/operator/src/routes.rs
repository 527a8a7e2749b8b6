//! The operators' HTTP paths.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use crate::access::OperatorAccess;
use crate::api::{ChangeRefusal, OperatorApi, RecordChange};
use crate::metrics::MetricsExporter;

/// The HTML page for wall screens.
const PAGE: &str = include_str!("page.html");
/// The script of the page.
const SCRIPT: &str = include_str!("page.js");
/// The style sheet of the page.
const STYLE: &str = include_str!("page.css");
/// The interval at which a screen gets the state.
const SCREEN_INTERVAL: Duration = Duration::from_millis(1_000);
/// The maximum number of journal entries in one response.
const MAX_JOURNAL_ENTRIES: usize = 100_000;

/// The state that the operators' paths share.
#[derive(Clone)]
pub struct OperatorContext {
    /// The source of the state, and the target of record changes.
    pub api: Arc<dyn OperatorApi>,
    /// The check of the operators' key.
    pub access: OperatorAccess,
    /// The exporter of the metrics.
    pub metrics: Arc<MetricsExporter>,
}

impl std::fmt::Debug for OperatorContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorContext").finish_non_exhaustive()
    }
}

impl OperatorContext {
    /// Returns the context of a process, or the error's text if its metrics cannot be registered.
    pub fn open(api: Arc<dyn OperatorApi>, key: &str) -> Result<Self, String> {
        let metrics = Arc::new(MetricsExporter::open(&api)?);
        Ok(Self {
            api,
            access: OperatorAccess::new(key),
            metrics,
        })
    }

    /// Adds the operators' paths to an application.
    pub fn configure(self, config: &mut ServiceConfig) {
        config.state(Rc::new(self));
        config.service(web::resource("/").route(web::get().to(page)));
        config.service(web::resource("/page.js").route(web::get().to(script)));
        config.service(web::resource("/page.css").route(web::get().to(style)));
        config.service(web::resource("/login").route(web::post().to(login)));
        config.service(web::resource("/screen").route(web::get().to(screen)));
        config.service(web::resource("/screen/events").route(web::get().to(screen_events)));
        config.service(web::resource("/dump").route(web::get().to(dump)));
        config.service(web::resource("/journal").route(web::get().to(journal)));
        config.service(web::resource("/metrics").route(web::get().to(metrics)));
        config.service(web::resource("/records").route(web::get().to(records)));
        config.service(web::resource("/records/check").route(web::post().to(check)));
        config.service(web::resource("/records/change").route(web::post().to(change)));
    }
}

type Context = web::types::State<Rc<OperatorContext>>;

#[derive(Serialize)]
struct PageError<'a> {
    error: &'a str,
}

fn error_response(status: StatusCode, error: &str) -> HttpResponse {
    HttpResponse::build(status).json(&PageError { error })
}

fn check_access(request: &HttpRequest, context: &OperatorContext) -> Result<(), HttpResponse> {
    if context.access.is_operator(request.headers()) {
        return Ok(());
    }
    Err(error_response(
        StatusCode::UNAUTHORIZED,
        "send the operators' key: `Authorization: Bearer KEY`",
    ))
}

async fn page() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/html; charset=utf-8")
        .body(PAGE)
}

async fn script() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/javascript; charset=utf-8")
        .body(SCRIPT)
}

async fn style() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/css; charset=utf-8")
        .body(STYLE)
}

#[derive(Deserialize)]
struct LoginForm {
    key: String,
}

async fn login(form: web::types::Form<LoginForm>, context: Context) -> HttpResponse {
    if !context.access.is_key(&form.key) {
        return error_response(StatusCode::UNAUTHORIZED, "this is not the operators' key");
    }
    HttpResponse::SeeOther()
        .header("set-cookie", context.access.cookie_header())
        .header("location", "/")
        .finish()
}

async fn screen(request: HttpRequest, context: Context) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    HttpResponse::Ok().json(&context.api.screen())
}

/// Sends the state immediately and then at each interval, until the browser disconnects.
async fn screen_events(request: HttpRequest, context: Context) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    let api = Arc::clone(&context.api);
    let events = stream::unfold(true, move |first| {
        let api = Arc::clone(&api);
        async move {
            if !first {
                tokio::time::sleep(SCREEN_INTERVAL).await;
            }
            Some((screen_event(api.as_ref()), false))
        }
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(events))
}

fn screen_event(api: &dyn OperatorApi) -> Result<Bytes, std::io::Error> {
    let text = serde_json::to_string(&api.screen())?;
    Ok(Bytes::from(format!("data: {text}\n\n")))
}

#[derive(Deserialize)]
struct DumpQuery {
    format: Option<String>,
}

async fn dump(
    request: HttpRequest,
    query: web::types::Query<DumpQuery>,
    context: Context,
) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    match query.format.as_deref() {
        None | Some("text") => HttpResponse::Ok()
            .content_type("text/plain; charset=utf-8")
            .body(context.api.dump_text()),
        Some("json") => HttpResponse::Ok()
            .content_type("application/json")
            .body(context.api.dump_json()),
        Some(_) => error_response(StatusCode::BAD_REQUEST, "`format` is `text` or `json`"),
    }
}

#[derive(Deserialize)]
struct JournalQuery {
    after: Option<u64>,
    limit: Option<usize>,
}

async fn journal(
    request: HttpRequest,
    query: web::types::Query<JournalQuery>,
    context: Context,
) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    let limit = query
        .limit
        .unwrap_or(MAX_JOURNAL_ENTRIES)
        .min(MAX_JOURNAL_ENTRIES);
    let lines = context.api.journal(query.after.unwrap_or(0), limit);
    HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .body(lines)
}

async fn metrics(request: HttpRequest, context: Context) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    match context.metrics.text() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error),
    }
}

async fn records(request: HttpRequest, context: Context) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    HttpResponse::Ok().json(&context.api.records())
}

async fn check(
    request: HttpRequest,
    change: web::types::Json<RecordChange>,
    context: Context,
) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    match context.api.check(change.into_inner()) {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn change(
    request: HttpRequest,
    change: web::types::Json<RecordChange>,
    context: Context,
) -> HttpResponse {
    if let Err(response) = check_access(&request, &context) {
        return response;
    }
    match context.api.change(change.into_inner()).await {
        Ok(done) => HttpResponse::Ok().json(&done),
        Err(refusal) => refusal_response(&refusal),
    }
}

fn refusal_response(refusal: &ChangeRefusal) -> HttpResponse {
    let status = match refusal {
        ChangeRefusal::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeRefusal::Conflict { .. } => StatusCode::CONFLICT,
        ChangeRefusal::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeRefusal::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    HttpResponse::build(status).json(refusal)
}
