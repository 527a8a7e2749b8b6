//! The gateway process: listeners, tasks, signals and shutdown.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use oleander_base::monotonic_now;
use serde::Serialize;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{MissedTickBehavior, interval};

use crate::caller_conn::{serve_caller, turn_away};
use crate::core::GatewayCore;
use crate::duty::{
    run_duty_lease, run_scaling, run_usage_exchange, run_usage_reports, send_last_counts,
};
use crate::gossip::run_gossip;
use crate::http::{SocketBuffers, open_socket};
use crate::internal_server::{ServerRole, log_accept, run_internal_server};
use crate::lease::run_lease;
use crate::metrics::GatewayMetrics;
use crate::origin_exchange::run_origin_exchange;
use crate::origin_log::run_origin_log;
use crate::prelude::*;
use crate::quarantine::run_quarantine_news;
use crate::registry_fence::run_registry_fence;
use crate::store_watch::{RECOVERY_WINDOW, run_store_watch};
use crate::version_recorder::run_version_recorder;

/// The length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The number of connections that are accepted in one turn. With one in each turn, a caller that connects behind
/// many others would wait for a turn of all connections for each connection before its own.
const ACCEPTS_IN_A_ROW: u64 = 16;

/// The time between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(200);

/// The time between two checks of the settings file.
const SETTINGS_POLL_INTERVAL: Span = Span::from_secs(1);

/// Why a gateway cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be read.
    #[error("invalid settings: {0}")]
    Settings(#[from] DecodeError),
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
    /// The runtime, a signal handler or the metrics failed.
    #[error("cannot start: {0}")]
    Runtime(String),
}

/// A gateway that has read its settings and listens.
#[derive(Debug)]
pub struct GatewayProcess {
    runtime: Runtime,
    core: Rc<GatewayCore>,
    listeners: Listeners,
    signals: Signals,
}

#[derive(Debug)]
struct Listeners {
    frontend: TcpListener,
    readiness: TcpListener,
    control: TcpListener,
    gossip: UdpSocket,
    metrics: Option<TcpListener>,
}

#[derive(Debug)]
struct Signals {
    terminate: Signal,
    reload: Signal,
}

#[derive(Debug, Serialize)]
struct StartFields {
    version: &'static str,
    centre: std::sync::Arc<str>,
    frontend: SocketAddr,
    store: SocketAddr,
}

#[derive(Debug, Serialize)]
struct StopFields {
    in_flight: usize,
    reason: &'static str,
}

#[derive(Debug, Serialize)]
struct ReloadFields {
    outcome: String,
}

impl GatewayProcess {
    /// Reads the settings and begins to listen. Callers are served by [`Self::run_until_signal`].
    pub fn open(port: Box<dyn PlatformPort>) -> Result<Self, StartError> {
        let port: Rc<dyn PlatformPort> = Rc::from(port);
        let settings = port.read_settings()?;
        let metrics = GatewayMetrics::open().map_err(StartError::Runtime)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| StartError::Runtime(error.to_string()))?;
        let guard = runtime.enter();
        let listeners = Listeners::bind(&settings)?;
        let signals = Signals::open().map_err(|error| StartError::Runtime(error.to_string()))?;
        drop(guard);
        let core = Rc::new(GatewayCore::open(port, settings, metrics));
        Ok(Self {
            runtime,
            core,
            listeners,
            signals,
        })
    }

    /// Serves callers until a stop signal, then until the last request has ended or the grace time
    /// is used up.
    pub fn run_until_signal(self) {
        let local = LocalSet::new();
        let Self {
            runtime,
            core,
            listeners,
            signals,
        } = self;
        local.block_on(&runtime, run(core, listeners, signals));
    }
}

impl Listeners {
    fn bind(settings: &GatewaySettings) -> Result<Self, StartError> {
        Ok(Self {
            frontend: listen(settings.frontend)?,
            readiness: listen(settings.readiness)?,
            control: listen(settings.control)?,
            gossip: bind_datagrams(settings.gossip)?,
            metrics: settings.metrics.map(listen).transpose()?,
        })
    }
}

impl Signals {
    fn open() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = open_socket(address, SocketBuffers::CLIENT)?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| StartError::Listen { address, error })
}

fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket, StartError> {
    let open = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    open().map_err(|error| StartError::Listen { address, error })
}

async fn run(core: Rc<GatewayCore>, listeners: Listeners, mut signals: Signals) {
    let settings = core.settings();
    core.log.change(
        "start",
        StartFields {
            version: env!("CARGO_PKG_VERSION"),
            centre: std::sync::Arc::clone(&settings.centre),
            frontend: settings.frontend,
            store: settings.store,
        },
    );
    drop(settings);
    let serve = |listener, role| {
        spawn_local(run_internal_server(Rc::clone(&core), listener, role));
    };
    serve(listeners.readiness, ServerRole::Readiness);
    serve(listeners.control, ServerRole::Control);
    if let Some(metrics) = listeners.metrics {
        serve(metrics, ServerRole::Metrics);
    }
    spawn_local(run_store_watch(Rc::clone(&core)));
    spawn_local(run_lease(Rc::clone(&core)));
    spawn_local(run_duty_lease(Rc::clone(&core)));
    spawn_local(run_usage_exchange(Rc::clone(&core)));
    spawn_local(run_usage_reports(Rc::clone(&core)));
    spawn_local(run_scaling(Rc::clone(&core)));
    let gossip = Rc::new(listeners.gossip);
    core.peers.connect(Rc::clone(&gossip));
    spawn_local(run_gossip(Rc::clone(&core), gossip));
    spawn_local(run_origin_exchange(Rc::clone(&core)));
    spawn_local(run_version_recorder(Rc::clone(&core)));
    spawn_local(run_registry_fence(Rc::clone(&core)));
    spawn_local(run_origin_log(Rc::clone(&core)));
    spawn_local(run_quarantine_news(Rc::clone(&core)));
    spawn_local(accept_callers(Rc::clone(&core), listeners.frontend));
    spawn_local(watch_settings(Rc::clone(&core)));
    let mut maintenance = interval(Duration::from(MAINTENANCE_INTERVAL));
    maintenance.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => {
                stop(&core);
                spawn_local(end_requests(Rc::clone(&core)));
            }
            _ = signals.reload.recv() => reload(&core),
            _ = maintenance.tick() => if run_maintenance(&core) {
                break;
            },
        }
    }
    send_last_counts(&core);
    core.log.change(
        "stopped",
        StopFields {
            in_flight: core.in_flight.get(),
            reason: "stop signal",
        },
    );
    core.log.flush();
    // The log thread runs until the process exits and needs a moment to write the last lines.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

async fn accept_callers(core: Rc<GatewayCore>, listener: TcpListener) {
    let mut accepted = 0_u64;
    loop {
        match accept(&listener).await {
            Ok(stream) => {
                match core.callers.admit(&core).await {
                    Some(hold) => spawn_local(serve_caller(Rc::clone(&core), stream, hold)),
                    None => spawn_local(turn_away(Rc::clone(&core), stream)),
                };
                accepted += 1;
                if accepted.is_multiple_of(ACCEPTS_IN_A_ROW) {
                    yield_now().await;
                }
            }
            Err(error) => {
                log_accept(&core, listener.local_addr().ok(), &error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    listener.accept().await.map(|(stream, _)| stream)
}

fn stop(core: &GatewayCore) {
    core.shutdown.begin(monotonic_now());
    core.stop_notify.notify_waiters();
    core.log.change(
        "stopping",
        StopFields {
            in_flight: core.in_flight.get(),
            reason: "stop signal",
        },
    );
}

/// Gives the requests in flight their final answers shortly before the kill is expected.
async fn end_requests(core: Rc<GatewayCore>) {
    let grace = core.settings().grace_time;
    let left = core.shutdown.time_to_answers(grace, monotonic_now());
    tokio::time::sleep(Duration::from(left)).await;
    core.shutdown.end_requests();
}

/// Runs periodic maintenance; returns whether the process should exit.
fn run_maintenance(core: &GatewayCore) -> bool {
    let now = monotonic_now();
    core.pool.borrow_mut().prune(now);
    core.view.borrow_mut().prune(now);
    core.quarantine.prune(core);
    core.divide_limits();
    core.update_view("era", |view, context| {
        view.drop_unconfirmed(RECOVERY_WINDOW, context);
    });
    expire_lapsed(core, now);
    core.registry_contact.confirm_processes(core, now);
    core.log.flush();
    if !core.shutdown.is_stopping() {
        return false;
    }
    if core.shutdown.closes_idle_connections(now) {
        core.idle_close.notify_waiters();
    }
    let is_idle = core.in_flight.get() == 0 && !core.shutdown.accepts_requests(now);
    is_idle || core.shutdown.must_exit(core.settings().grace_time, now)
}

#[derive(Debug, Serialize)]
struct ExpiredFields {
    backends: usize,
}

fn expire_lapsed(core: &GatewayCore, now: MonoTime) {
    let contact = core.view.borrow().store_contact;
    let max_age = core.settings().view_pace().max_contact_age;
    if contact.is_none_or(|contact| now.since(contact) > max_age) {
        return;
    }
    let expired = core.fleet.borrow_mut().expire_lapsed(RECOVERY_WINDOW, now);
    if expired.is_empty() {
        return;
    }
    let fields = ExpiredFields {
        backends: expired.len(),
    };
    core.log.change("lapsed-backends-gone", fields);
    for key in expired {
        core.pool.borrow_mut().discard(key);
    }
}

/// Polls the settings file, which may change without a signal.
async fn watch_settings(core: Rc<GatewayCore>) {
    let path = core.port.settings_path();
    let mut seen = modified_at(&path);
    loop {
        tokio::time::sleep(Duration::from(SETTINGS_POLL_INTERVAL)).await;
        let changed = modified_at(&path);
        if changed != seen {
            seen = changed;
            reload(&core);
        }
    }
}

/// Returns the modification time of a file, or `None` if it cannot be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|meta| meta.modified())
        .ok()
}

fn reload(core: &GatewayCore) {
    let outcome = match core.port.read_settings() {
        Ok(settings) => {
            let is_same = settings == *core.settings();
            *core.settings.borrow_mut() = Rc::new(settings);
            if is_same { "unchanged" } else { "taken over" }.to_owned()
        }
        Err(error) => format!("the last settings stay in force: {error}"),
    };
    core.log.change("reload", ReloadFields { outcome });
}
