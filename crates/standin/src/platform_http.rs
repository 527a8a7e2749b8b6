//! The HTTP handlers of the platform's stand-in.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use oleander_platform::wire::{
    DeleteBody, EmptyBody, GetAnswer, GetBody, GrantBody, LeaseBody, ListBody, PutBody, VmsAnswer,
    WatchBody, WireError, WirePath, WireVm,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::platform_core::PlatformCore;
use crate::platform_faults::{FaultPlan, OutageKind};

/// The interval between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

type SharedCore = State<Arc<PlatformCore>>;

/// Adds the routes of the stand-in to an application.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/admin/faults", web::get().to(read_faults))
        .route("/admin/faults", web::post().to(write_faults))
        .route("/admin/counters", web::get().to(read_counters))
        .route("/admin/compact", web::post().to(compact_history))
        .route("/admin/vms", web::post().to(write_vms))
        .route("/admin/dump", web::get().to(read_dump))
        .route("/v1/{rest}*", web::post().to(serve_call));
}

/// Expires leases periodically for as long as the server runs.
pub(crate) async fn expire_leases(core: Arc<PlatformCore>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        core.with_state(|_, _| ());
    }
}

async fn read_faults(core: SharedCore) -> HttpResponse {
    HttpResponse::Ok().json(&core.faults())
}

async fn write_faults(core: SharedCore, body: Bytes) -> HttpResponse {
    match parse::<FaultPlan>(&body) {
        Ok(plan) => {
            core.set_faults(plan);
            HttpResponse::Ok().json(&EmptyBody {})
        }
        Err(error) => error_response(&error),
    }
}

async fn read_counters(core: SharedCore) -> HttpResponse {
    HttpResponse::Ok().json(&core.counters())
}

async fn compact_history(core: SharedCore) -> HttpResponse {
    core.compact();
    HttpResponse::Ok().json(&EmptyBody {})
}

async fn write_vms(core: SharedCore, body: Bytes) -> HttpResponse {
    match parse::<Vec<WireVm>>(&body) {
        Ok(vms) => {
            core.set_vms(vms);
            HttpResponse::Ok().json(&EmptyBody {})
        }
        Err(error) => error_response(&error),
    }
}

async fn read_dump(core: SharedCore) -> HttpResponse {
    HttpResponse::Ok().body(core.dump())
}

/// Serves one call of the platform interface and applies the faults in effect.
async fn serve_call(request: HttpRequest, core: SharedCore, body: Bytes) -> HttpResponse {
    let core = Arc::clone(core.get_ref());
    let path = request.path().to_owned();
    core.count(|counters| *counters.calls.entry(path.clone()).or_default() += 1);
    if let Some(response) = apply_faults(&core, &request).await {
        return response;
    }
    let is_write = is_write(&path);
    if let Err(error) = core.take_rate_token(is_write) {
        core.count(|counters| counters.rate_limited += 1);
        return error_response(&error);
    }
    core.count(|counters| {
        counters.writes += u64::from(is_write);
        counters.reads += u64::from(!is_write);
    });
    let result = run_call(&core, &path, &body).await;
    if matches!(result, Err(WireError::Conflict { .. })) {
        core.count(|counters| counters.conflicts += 1);
    }
    if is_write && result.is_ok() && core.should_drop_answer(&body) {
        core.count(|counters| counters.dropped_answers += 1);
        return close_connection(&request);
    }
    match result {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(error) => error_response(&error),
    }
}

fn is_write(path: &str) -> bool {
    !matches!(
        path,
        WirePath::GET | WirePath::LIST | WirePath::WATCH | WirePath::VMS
    )
}

async fn apply_faults(core: &PlatformCore, request: &HttpRequest) -> Option<HttpResponse> {
    let plan = core.faults();
    if plan.outage != OutageKind::None {
        core.count(|counters| counters.outages += 1);
    }
    match plan.outage {
        OutageKind::None => {}
        OutageKind::Refuse => {
            return Some(error_response(&WireError::Unavailable {
                reason: "the service is down".to_owned(),
            }));
        }
        OutageKind::Close => return Some(close_connection(request)),
        OutageKind::Hang => future::pending().await,
    }
    if plan.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(plan.delay_ms)).await;
    }
    None
}

async fn run_call(core: &PlatformCore, path: &str, body: &[u8]) -> Result<Value, WireError> {
    match path {
        WirePath::GET => {
            let body: GetBody = parse(body)?;
            to_json_value(&GetAnswer {
                entry: core.with_state(|state, _| state.get(&body.key)),
            })
        }
        WirePath::LIST => {
            let body: ListBody = parse(body)?;
            to_json_value(
                &core.with_state(|state, _| state.list(&body.prefix, body.after.as_deref())),
            )
        }
        WirePath::PUT => {
            let body: PutBody = parse(body)?;
            to_json_value(&core.with_state(|state, _| state.put(body))?)
        }
        WirePath::DELETE => {
            let body: DeleteBody = parse(body)?;
            to_json_value(&core.with_state(|state, _| state.delete(&body))?)
        }
        WirePath::WATCH => watch(core, &parse(body)?).await,
        WirePath::VMS => to_json_value(&VmsAnswer {
            vms: core.visible_vms(),
        }),
        WirePath::GRANT => {
            let body: GrantBody = parse(body)?;
            to_json_value(&core.with_state(|state, now| state.grant(now, body.ttl_ms)))
        }
        WirePath::RENEW => {
            let body: LeaseBody = parse(body)?;
            core.with_state(|state, now| state.renew(now, body.lease))?;
            to_json_value(&EmptyBody {})
        }
        WirePath::REVOKE => {
            let body: LeaseBody = parse(body)?;
            core.with_state(|state, _| state.revoke(body.lease));
            to_json_value(&EmptyBody {})
        }
        _ => Err(WireError::Invalid {
            reason: format!("there is no path {path}"),
        }),
    }
}

async fn watch(core: &PlatformCore, body: &WatchBody) -> Result<Value, WireError> {
    let guard = WaitingWatchGuard::new(core);
    let found = core.wait_for_changes(body).await;
    drop(guard);
    to_json_value(&found?)
}

/// Counts a waiting watch until the guard is dropped. That includes the cancellation of the handler
/// when the caller disconnects.
struct WaitingWatchGuard<'a>(&'a PlatformCore);

impl<'a> WaitingWatchGuard<'a> {
    fn new(core: &'a PlatformCore) -> Self {
        core.count(|counters| counters.waiting_watches += 1);
        Self(core)
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        self.0.count(|counters| counters.waiting_watches -= 1);
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, WireError> {
    serde_json::from_slice(body).map_err(|error| WireError::Invalid {
        reason: error.to_string(),
    })
}

fn to_json_value<T: Serialize>(answer: &T) -> Result<Value, WireError> {
    serde_json::to_value(answer).map_err(|error| WireError::Unavailable {
        reason: error.to_string(),
    })
}

fn error_response(error: &WireError) -> HttpResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    HttpResponse::build(status).json(error)
}

/// Closes the connection without an answer; the returned response is not sent.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::ServiceUnavailable().finish()
}
