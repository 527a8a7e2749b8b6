//! Starts the components of an entry VM's process, and stops them in order.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ntex::web::{App, HttpServer};
use oleander_base::prelude::*;
use oleander_base::{monotonic_now, process_origin};
use oleander_once::{
    ClaimHandle, ClaimSettings, ClaimTable, GuardParts, GuardSettings, MonoClock, OnceGuard,
    RequestGuard, ShortSecret, TokenIssuer, TokenKey,
};
use oleander_operator::{OperatorApi, OperatorContext};
use oleander_peer::{PeerEndpoint, PeerError, PeerSettings, TlsFiles};
use oleander_platform::{
    BudgetLimits, CallClass, ClientSettings, KeyValueStore, PlatformClient, VmList,
};
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};

use crate::claim_route::FleetClaimRoute;
use crate::control::run_control;
use crate::forward::ForwardPool;
use crate::life::LifeStage;
use crate::node::EntryNode;
use crate::operator_api::EntryOperatorApi;
use crate::order_role::{OrderRole, run_orders};
use crate::peering::{EndpointLink, PeerCallHandler, PeerParts};
use crate::record_reader::run_record_reader;
use crate::record_sync::RecordSync;
use crate::report_watch::spawn_report_watch;
use crate::serve::spawn_callers;
use crate::server::ServerThread;
use crate::settings::{EntrySettings, PlatformSection};
use crate::tls::caller_tls;
use crate::vm_watch::run_vm_watch;
use crate::worker::SharedContext;

/// Number of threads for peer messages, the platform and periodic work.
const BACKGROUND_THREADS: usize = 2;
/// Interval at which a draining process checks whether its last request has ended.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Least time for which a leaving process still serves new requests, so that balancers notice.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// The weight that peers use for an entry VM of weight 1.
const WEIGHT_UNIT: f64 = PeerSettings::REFERENCE_WEIGHT as f64;

/// The reason why a process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket, thread, file or other resource of the system could not be opened.
    #[error("{what}: {error}")]
    System {
        /// The resource.
        what: String,
        /// The system's error.
        error: io::Error,
    },
    /// The peer endpoint could not be opened.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The secret for signing bound tokens is too short.
    #[error("the key file {file} is too short for a token key: {error}")]
    TokenKey {
        /// The key file.
        file: PathBuf,
        /// The error, with the required length.
        error: ShortSecret,
    },
    /// The metrics could not be registered.
    #[error("the metrics cannot be registered: {0}")]
    Metrics(String),
}

fn system_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> StartError {
    let what = what.into();
    move |error| StartError::System { what, error }
}

/// The monotonic clock that all components share.
#[derive(Debug, Clone, Copy)]
struct NodeClock;

impl MonoClock for NodeClock {
    fn now(&self) -> MonoTime {
        monotonic_now()
    }
}

/// A running entry VM.
pub struct EntryProcess {
    node: Arc<EntryNode>,
    peers: PeerEndpoint,
    callers: ServerThread,
    operators: ServerThread,
    records: Arc<RecordSync>,
    runtime: Option<Runtime>,
}

impl std::fmt::Debug for EntryProcess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryProcess")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl EntryProcess {
    /// Starts all components; requests are refused until records are in force.
    pub fn spawn(settings: EntrySettings) -> Result<Self, StartError> {
        Self::spawn_with(settings, None)
    }

    /// Starts all components with another guard in place of the at-most-once guard.
    ///
    /// Tests disable the guard in this way to show that their checks can fail.
    pub fn spawn_with(
        settings: EntrySettings,
        other_guard: Option<Arc<dyn OnceGuard>>,
    ) -> Result<Self, StartError> {
        let runtime = background_runtime()?;
        let callers = listen("callers", settings.callers.listen)?;
        let operators = listen("operators", settings.operators.listen)?;
        let operator_key = read_secret(&settings.operators.key_file)?;
        let issuer = token_issuer(&settings.platform.token_key_file)?;
        let peer_handler = Arc::new(PeerCallHandler::default());
        let peers = PeerEndpoint::bind(peer_settings(&settings, &runtime), peer_handler.clone())?;
        let node = EntryNode::new(settings, peers.instance());
        node.connect(Arc::new(EndpointLink(peers.clone())));
        let platform = PlatformClient::open(platform_settings(&node.settings.platform))
            .map_err(system_error("the platform's client"))?;
        let list: Arc<dyn VmList> = Arc::new(platform.with_class(CallClass::Record));
        let store: Arc<dyn KeyValueStore> = Arc::new(platform.with_class(CallClass::Record));
        let lease_store: Arc<dyn KeyValueStore> = Arc::new(platform.with_class(CallClass::Lease));
        let claim_store: Arc<dyn KeyValueStore> = Arc::new(platform.with_class(CallClass::Claim));
        let entered = runtime.enter();
        let claims = open_claims(&node, claim_store, &peers);
        let guard = other_guard.unwrap_or_else(|| open_guard(&node, claims.clone(), issuer));
        let orders = OrderRole::open(&node, lease_store).map_err(system_error("orders"))?;
        node.set_orders(Arc::clone(&orders));
        drop(entered);
        let shared = SharedContext {
            node: Arc::clone(&node),
            guard: Arc::clone(&guard),
            peers: peers.clone(),
        };
        let records = Arc::new(RecordSync::new(
            Arc::clone(&node),
            peers.clone(),
            Arc::clone(&store),
        ));
        runtime.spawn(run_record_reader(
            Arc::clone(&store),
            Arc::clone(&records),
            Arc::clone(&node),
        ));
        runtime.spawn(run_orders(Arc::clone(&node), Arc::clone(&orders)));
        let forwards =
            ForwardPool::spawn(shared.clone()).map_err(system_error("forwarded calls"))?;
        peer_handler.set_parts(PeerParts {
            node: Arc::clone(&node),
            guard,
            claims,
            records: Arc::clone(&records),
            forwards,
        });
        runtime.spawn(run_vm_watch(
            list,
            Arc::clone(&records),
            Arc::clone(&node),
            peers.clone(),
        ));
        spawn_report_watch(Arc::clone(&node)).map_err(system_error("load reports"))?;
        runtime.spawn(run_control(
            Arc::clone(&node),
            Arc::clone(&records),
            peers.clone(),
        ));
        let operator_api =
            EntryOperatorApi::new(Arc::clone(&node), Arc::clone(&records), peers.clone());
        let operators = spawn_operators(Arc::new(operator_api), &operator_key, operators)?;
        let tls =
            caller_tls(&node.settings.callers).map_err(system_error("the callers' certificate"))?;
        let callers =
            spawn_callers(shared, callers, tls).map_err(system_error("the callers' server"))?;
        node.changes.record(
            format!("entry VM {} started", node.me),
            "the process was started",
        );
        Ok(Self {
            node,
            peers,
            callers,
            operators,
            records,
            runtime: Some(runtime),
        })
    }

    /// Returns the shared state.
    pub fn node(&self) -> &Arc<EntryNode> {
        &self.node
    }

    /// Returns the component that keeps the records in sync.
    pub fn records(&self) -> &Arc<RecordSync> {
        &self.records
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Serves until SIGTERM or SIGINT, then drains and stops.
    pub fn run_until_signal(mut self) {
        let runtime = self
            .runtime
            .take()
            .expect("the runtime is present until the process stops");
        let signal = runtime.block_on(wait_for_signal());
        match signal {
            Ok(name) => self.leave(name),
            Err(error) => log::error!("cannot install the signal handlers: {error}"),
        }
        runtime.block_on(drain(&self.node));
        if let Some(orders) = self.node.orders() {
            runtime.block_on(orders.stop());
        }
        self.callers.stop_gracefully();
        self.peers.shutdown();
        self.operators.stop();
        runtime.shutdown_background();
    }

    /// Begins a planned stop: the readiness check fails and other entry VMs take over the roles.
    pub fn leave(&self, reason: &str) {
        if self.node.life.set_stage(LifeStage::Leaving) {
            self.node
                .changes
                .record(format!("entry VM {} is leaving", self.node.me), reason);
        }
        self.peers.leave();
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.peers.shutdown();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn background_runtime() -> Result<Runtime, StartError> {
    Builder::new_multi_thread()
        .worker_threads(BACKGROUND_THREADS)
        .thread_name("background")
        .enable_all()
        .build()
        .map_err(system_error("background threads"))
}

fn listen(name: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(system_error(format!("the {name}' socket on {address}")))
}

fn read_secret(file: &Path) -> Result<String, StartError> {
    let text =
        std::fs::read_to_string(file).map_err(system_error(format!("file {}", file.display())))?;
    Ok(text.trim().to_owned())
}

fn token_issuer(file: &Path) -> Result<TokenIssuer, StartError> {
    let secret = read_secret(file)?;
    let key = TokenKey::new(1, secret.as_bytes()).map_err(|error| StartError::TokenKey {
        file: file.to_owned(),
        error,
    })?;
    Ok(TokenIssuer::new(key, None))
}

fn peer_settings(settings: &EntrySettings, runtime: &Runtime) -> PeerSettings {
    let section = &settings.peers;
    let tls = TlsFiles {
        certificate: section.certificate.clone(),
        key: section.key.clone(),
        authority: section.authority.clone(),
    };
    let centre = CentreId::from_name(&settings.instance.centre);
    let mut peers = PeerSettings::new(section.listen, centre, tls);
    peers.weight = (settings.instance.weight * WEIGHT_UNIT).clamp(1.0, f64::from(u16::MAX)) as u16;
    peers.seeds.clone_from(&section.seeds);
    peers.advertise = section.advertise;
    peers.runtime = Some(runtime.handle().clone());
    peers.origin = process_origin();
    peers
}

fn platform_settings(section: &PlatformSection) -> ClientSettings {
    let mut settings = ClientSettings::new(section.address);
    settings.limits = BudgetLimits {
        reads_per_second: section.calls_per_second,
        writes_per_second: section.calls_per_second,
    };
    settings
}

fn open_guard(node: &EntryNode, claims: ClaimHandle, issuer: TokenIssuer) -> Arc<dyn OnceGuard> {
    let clock = Arc::new(NodeClock);
    let parts = GuardParts {
        me: node.me,
        centre: node.centre,
        clock,
        issuer: Some(issuer),
        claims,
    };
    RequestGuard::open(parts, GuardSettings::default())
}

fn open_claims(
    node: &Arc<EntryNode>,
    store: Arc<dyn KeyValueStore>,
    peers: &PeerEndpoint,
) -> ClaimHandle {
    let route = Arc::new(FleetClaimRoute::new(node, peers.clone()));
    ClaimTable::spawn(
        store,
        node.me,
        Arc::new(NodeClock),
        route,
        ClaimSettings::default(),
    )
}

fn spawn_operators(
    api: Arc<dyn OperatorApi>,
    key: &str,
    listener: TcpListener,
) -> Result<ServerThread, StartError> {
    let context = OperatorContext::open(api, key).map_err(StartError::Metrics)?;
    let server = ServerThread::spawn("operators", listener, move |listener| {
        let server = HttpServer::new(async move || {
            let context = context.clone();
            App::new().configure(move |config| context.configure(config))
        });
        Ok(server.workers(1).disable_signals().listen(listener)?.run())
    });
    server.map_err(system_error("the operators' server"))
}

async fn wait_for_signal() -> io::Result<&'static str> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}

/// Waits without a time limit until the last request has ended.
async fn drain(node: &EntryNode) {
    tokio::time::sleep(LEAVE_GRACE).await;
    while node.is_busy() {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    node.changes.record(
        format!("entry VM {} stops", node.me),
        "its last request has ended",
    );
}
