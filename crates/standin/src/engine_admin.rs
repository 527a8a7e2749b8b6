//! Handlers of an engine's stand-in for its state, orders, cancellations, exported prefixes and
//! faults.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Request, Response, StatusCode};
use oleander_base::{CacheEvent, EngineRole, PrefixHash};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::counters::bump;
use crate::engine_http::{error_response, json_response, read_body};
use crate::engine_loop::EngineCore;
use crate::faults::{EngineFault, OrderMode};
use crate::host::HostCommand;

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

pub(crate) fn cancel_request(core: &Rc<EngineCore>, path: &str) -> Response {
    let request_id = path.trim_start_matches("/v1/requests/");
    let found = core
        .state
        .borrow()
        .answers
        .iter()
        .find(|(_, answer)| !request_id.is_empty() && answer.request_id == request_id)
        .map(|(id, _)| *id);
    match found {
        Some(id) => {
            core.abort(id);
            json_response(StatusCode::OK, &json!({"cancelled": true}))
        }
        None => error_response(StatusCode::NOT_FOUND, "no such request"),
    }
}

pub(crate) fn list_cache_events(core: &EngineCore, request: &Request) -> Response {
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

pub(crate) fn list_models(core: &EngineCore) -> Response {
    let state = core.state.borrow();
    let data: Vec<_> = state
        .loaded
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    json_response(StatusCode::OK, &json!({"object": "list", "data": data}))
}

pub(crate) async fn accept_order(
    core: &Rc<EngineCore>,
    request: &mut Request,
) -> io::Result<Response> {
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
    ntex::rt::spawn(apply_order(core.clone(), order));
    Ok(json_response(
        StatusCode::ACCEPTED,
        &json!({"accepted": true}),
    ))
}

async fn apply_order(core: Rc<EngineCore>, order: EngineOrder) {
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

pub(crate) fn export_prefix(core: &EngineCore, path: &str) -> Response {
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

pub(crate) async fn import_prefix(
    core: &EngineCore,
    request: &mut Request,
) -> io::Result<Response> {
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

pub(crate) async fn set_fault(core: &EngineCore, request: &mut Request) -> io::Result<Response> {
    let body = read_body(request).await?;
    match serde_json::from_slice::<EngineFault>(&body) {
        Ok(fault) => {
            let _ = core.commands.send(HostCommand::detached(fault));
            Ok(json_response(StatusCode::OK, &json!({"set": true})))
        }
        Err(error) => Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}
