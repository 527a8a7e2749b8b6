//! A plain service's stand-in: orders and publications, which have an effect, and stock look-ups.
//!
//! Each effect is recorded with the operation id of its request, so that a test can count how often
//! an operation took effect.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::counters::{ServiceCounters, ServiceTotals, bump};
use crate::engine_http::{error_response, header, json_response, read_body};
use crate::faults::{FaultError, ServiceFault};
use crate::host::{CommandSender, HostAction, HostCommand, HostedService, HttpHost, LocalFuture};

/// The operation id of a request without one.
const UNNAMED_OPERATION: &str = "unnamed";

/// The settings of a plain service's stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The service's name, which is the name of its thread.
    pub name: String,
    /// The address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// The processing time of a request, in milliseconds.
    pub work_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work_ms: 2,
        }
    }
}

/// How often an operation arrived and took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EffectRecord {
    /// Requests of the operation that reached its effect.
    pub arrivals: u32,
    /// The number of times that the operation took effect.
    pub effects: u32,
}

/// The effect records of all operations, by operation id.
type EffectLog = Arc<Mutex<BTreeMap<String, EffectRecord>>>;

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct ServiceStandIn {
    host: HttpHost<ServiceFault>,
    counters: Arc<ServiceCounters>,
    effect_log: EffectLog,
}

impl ServiceStandIn {
    /// Binds the address and starts the service's thread.
    pub fn bind(settings: ServiceSettings) -> io::Result<Self> {
        let counters = Arc::new(ServiceCounters::default());
        let effect_log = EffectLog::default();
        let (core_counters, core_log) = (counters.clone(), effect_log.clone());
        let name = settings.name.clone();
        let host = HttpHost::spawn(&name, settings.listen, move |commands| ServiceCore {
            settings,
            counters: core_counters,
            effect_log: core_log,
            commands,
            faults: RefCell::default(),
            revision: Cell::new(0),
        })?;
        Ok(Self {
            host,
            counters,
            effect_log,
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the current values of the counters.
    pub fn totals(&self) -> ServiceTotals {
        self.counters.totals()
    }

    /// Returns the effect record of one operation; it is zero for an unknown one.
    pub fn record(&self, operation: &str) -> EffectRecord {
        self.effect_log
            .lock()
            .get(operation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the effect records of all operations.
    pub fn records(&self) -> BTreeMap<String, EffectRecord> {
        self.effect_log.lock().clone()
    }

    /// Sets a fault and waits until it is in effect.
    pub fn fault(&self, fault: ServiceFault) -> Result<(), FaultError> {
        self.host.command(fault)
    }

    /// Stops the service and joins its thread.
    pub fn stop(mut self) {
        self.host.stop();
    }
}

/// Runs a plain service until its process ends, and prints its address on standard output.
pub fn run_service(settings: ServiceSettings) -> io::Result<()> {
    let mut service = ServiceStandIn::bind(settings)?;
    println!("{}", service.address());
    service.host.join();
    Ok(())
}

#[derive(Debug, Clone, Copy, Default)]
struct FaultState {
    close_before: u32,
    close_after_effect: u32,
    delay_ms: u64,
    refuses: bool,
}

/// The state of the service, owned by its thread.
struct ServiceCore {
    settings: ServiceSettings,
    counters: Arc<ServiceCounters>,
    effect_log: EffectLog,
    commands: CommandSender<ServiceFault>,
    faults: RefCell<FaultState>,
    revision: Cell<u64>,
}

impl ServiceCore {
    async fn handle_request(self: Rc<Self>, mut request: Request) -> io::Result<Response> {
        if request.path().starts_with("/admin") {
            return self.handle_admin(&mut request).await;
        }
        bump(&self.counters.arrivals);
        if self.consume_fault(|faults| &mut faults.close_before) {
            return Ok(close_connection(&request));
        }
        // The body is read before a refusal: with an unread body the connection would be reset, and
        // the reset can overtake the refusal.
        let body = read_body(&mut request).await?;
        if self.faults.borrow().refuses {
            bump(&self.counters.refused);
            return Ok(refusal_response());
        }
        self.simulate_work().await;
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/orders" | "/publish") => Ok(self.apply_effect(&request, &body)),
            (&Method::GET, path) if path.starts_with("/stock/") => Ok(self.look_up_stock(path)),
            _ => Ok(error_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    async fn simulate_work(&self) {
        let delay = self.settings.work_ms + self.faults.borrow().delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    fn apply_effect(&self, request: &Request, body: &[u8]) -> Response {
        let operation = operation_id(request, body);
        let mut effect_log = self.effect_log.lock();
        let record = effect_log.entry(operation.clone()).or_default();
        record.arrivals += 1;
        record.effects += 1;
        let effects = record.effects;
        drop(effect_log);
        bump(&self.counters.effects);
        self.revision.set(self.revision.get() + 1);
        if self.consume_fault(|faults| &mut faults.close_after_effect) {
            return close_connection(request);
        }
        json_response(
            StatusCode::OK,
            &json!({"operation": operation, "effects": effects, "number": self.revision.get()}),
        )
    }

    fn look_up_stock(&self, path: &str) -> Response {
        bump(&self.counters.lookups);
        let item = path.trim_start_matches("/stock/");
        json_response(
            StatusCode::OK,
            &json!({"item": item, "stock": item.len() * 10}),
        )
    }

    async fn handle_admin(&self, request: &mut Request) -> io::Result<Response> {
        let path = request.path().to_owned();
        match path.as_str() {
            "/admin/effects" => Ok(json_response(StatusCode::OK, &*self.effect_log.lock())),
            "/admin/counters" => Ok(json_response(StatusCode::OK, &self.counters.totals())),
            "/admin/faults" => {
                let body = read_body(request).await?;
                match serde_json::from_slice(&body) {
                    Ok(fault) => {
                        let _ = self.commands.send(HostCommand::detached(fault));
                        Ok(json_response(StatusCode::OK, &json!({"set": true})))
                    }
                    Err(error) => Ok(error_response(StatusCode::BAD_REQUEST, &error.to_string())),
                }
            }
            _ => Ok(error_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    /// Decrements the remaining count of a fault and returns whether the fault applies.
    fn consume_fault(&self, field: impl FnOnce(&mut FaultState) -> &mut u32) -> bool {
        let mut faults = self.faults.borrow_mut();
        let remaining = field(&mut faults);
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }
}

impl HostedService for ServiceCore {
    type Command = ServiceFault;

    fn handle(self: Rc<Self>, request: Request) -> LocalFuture<io::Result<Response>> {
        Box::pin(self.handle_request(request))
    }

    fn on_accepted(&self) {
        bump(&self.counters.connections);
    }

    fn apply_command(&self, command: ServiceFault) -> HostAction {
        let mut faults = self.faults.borrow_mut();
        match command {
            ServiceFault::CloseBefore { count } => faults.close_before = count,
            ServiceFault::CloseAfterEffect { count } => faults.close_after_effect = count,
            ServiceFault::Delay { ms } => faults.delay_ms = ms,
            ServiceFault::Refuse { on } => faults.refuses = on,
            ServiceFault::Heal => *faults = FaultState::default(),
            ServiceFault::Restore => return HostAction::Restore,
            ServiceFault::Crash { for_ms } => {
                return HostAction::Crash(for_ms.map(Duration::from_millis));
            }
        }
        HostAction::None
    }

    fn on_crashed(&self) {}

    fn start(self: &Rc<Self>) {}
}

fn close_connection(request: &Request) -> Response {
    if let Some(io) = request.io() {
        io.terminate();
    }
    error_response(StatusCode::SERVICE_UNAVAILABLE, "the connection is closed")
}

fn refusal_response() -> Response {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "refused before it ran");
    response.headers_mut().insert(
        HeaderName::from_static("x-not-run"),
        HeaderValue::from_static("true"),
    );
    response
}

/// Returns the operation id in the body, or else that in the idempotency header.
fn operation_id(request: &Request, body: &[u8]) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let body_id = parsed
        .as_ref()
        .and_then(|value| value.get("operation"))
        .and_then(serde_json::Value::as_str)
        .map(str::to_owned);
    body_id
        .or_else(|| header(request, "idempotency-key"))
        .unwrap_or_else(|| UNNAMED_OPERATION.to_owned())
}
