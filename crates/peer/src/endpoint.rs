//! The endpoint, which is the public handle of the peer protocol.

use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use log::info;
use oleander_base::prelude::*;
use oleander_membership::{ListedVm, MemberView, Membership, SelfDescription};
use parking_lot::{Mutex, RwLock};
use quinn::{Endpoint, EndpointConfig, TokioRuntime};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::call::run_call;
use crate::codec::encode_open;
use crate::core::{EndpointCore, accept_connections};
use crate::counters::{CounterCells, PeerCounters};
use crate::driver::{forward_views, run_ticks};
use crate::error::{PeerError, PeerResult};
use crate::message::{PeerCall, PeerHandler, PeerMessage, PeerReply, StreamOpen};
use crate::settings::PeerSettings;
use crate::stream::{PeerStream, check_size, connection_lost};
use crate::tls::TlsConfigs;

/// The number of threads of an endpoint's own runtime.
const RUNTIME_THREADS: usize = 2;

/// The interval at which [`PeerEndpoint::closed`] checks whether the endpoint has closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// A handle of a running endpoint; clones share the endpoint.
#[derive(Clone)]
pub struct PeerEndpoint {
    core: Arc<EndpointCore>,
    owner: Arc<RuntimeOwner>,
}

/// Closes an endpoint and shuts its own runtime down when the last handle is dropped.
struct RuntimeOwner {
    core: Arc<EndpointCore>,
    runtime: Option<Runtime>,
}

impl PeerEndpoint {
    /// Opens the socket and starts to serve peers; the instance joins the fleet in the joining
    /// phase.
    pub fn bind(settings: PeerSettings, handler: Arc<dyn PeerHandler>) -> PeerResult<Self> {
        let tls = TlsConfigs::load(&settings.tls)?;
        let (runtime, handle) = choose_runtime(&settings)?;
        let socket = open_socket(&settings, &tls, &handle)?;
        let me = InstanceId {
            address: advertised_address(&settings, &socket)?,
            incarnation: settings.incarnation.unwrap_or_else(rand::random),
        };
        let membership = open_membership(&settings, me);
        let view = Arc::new(membership.view());
        let core = Arc::new(EndpointCore {
            me,
            protocol: settings.protocol,
            queue_limit: settings.queue_limit,
            counters: CounterCells::default(),
            handler,
            settings,
            socket,
            tls: Mutex::new(tls),
            links: RwLock::default(),
            sessions: Mutex::default(),
            membership: Mutex::new(membership),
            view: watch::Sender::new(view),
            last_tick: AtomicU64::new(0),
            last_view: AtomicU64::new(0),
            runtime: handle,
            departing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        core.last_tick.store(core.now().0, Ordering::Release);
        core.spawn(accept_connections(Arc::clone(&core)));
        core.spawn(run_ticks(Arc::clone(&core)));
        core.spawn(forward_views(Arc::clone(&core)));
        info!("peer endpoint {me} is listening");
        let owner = Arc::new(RuntimeOwner {
            core: Arc::clone(&core),
            runtime,
        });
        Ok(Self { core, owner })
    }

    /// Returns the local instance.
    pub fn instance(&self) -> InstanceId {
        self.core.me
    }

    /// Returns the address that the socket listens on.
    pub fn local_address(&self) -> SocketAddr {
        let local = self.core.socket.local_addr();
        local.unwrap_or(self.core.me.address)
    }

    /// Returns the time on the clock of this endpoint and its views.
    pub fn now(&self) -> MonoTime {
        self.core.now()
    }

    /// Queues a message on the link of an instance.
    ///
    /// The call never blocks. A message is dropped and counted if the link's queue is full, the
    /// instance is unreachable or the local one, or the message exceeds the frame limit.
    pub fn send(&self, to: InstanceId, message: &PeerMessage) {
        self.core.send(to, message);
    }

    /// Sends a call and waits for its reply.
    pub async fn call(
        &self,
        to: InstanceId,
        call: PeerCall,
        limit: Duration,
    ) -> PeerResult<PeerReply> {
        let core = Arc::clone(&self.core);
        self.run_on_runtime(async move { run_call(&core, to, &call, limit).await })
            .await
    }

    /// Opens a long-lived stream to an instance.
    pub async fn open_stream(&self, to: InstanceId, open: StreamOpen) -> PeerResult<PeerStream> {
        let core = Arc::clone(&self.core);
        let task = async move {
            let head = check_size(encode_open(&open))?;
            let session = core.connect(to).await?;
            let connection = &session.connection;
            let (mut send, receive) = connection
                .open_bi()
                .await
                .map_err(|e| connection_lost(to, &e))?;
            send.write_chunk(head)
                .await
                .map_err(|e| connection_lost(to, &e))?;
            let active = &session.active;
            Ok(PeerStream::new(to, send, receive, Bytes::new(), active))
        };
        self.run_on_runtime(task).await
    }

    /// Returns whether this process may act on its view of the fleet.
    ///
    /// It may not after a pause, until another member has acknowledged a probe or the stale timeout
    /// has expired. The result accounts for the time since the last membership tick, so it is also
    /// correct before membership has detected the pause.
    pub fn is_current(&self) -> bool {
        self.core.is_current()
    }

    /// Returns the view of the fleet.
    pub fn members(&self) -> Arc<MemberView> {
        self.core.view.borrow().clone()
    }

    /// Returns a receiver that is notified of each new view.
    pub fn watch_members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.core.view.subscribe()
    }

    /// Returns whether this instance has received a membership datagram from another member.
    pub fn has_joined(&self) -> bool {
        self.core.membership.lock().has_joined()
    }

    /// Announces that this instance is ready to serve; this also cancels an earlier leave.
    pub fn serve(&self) {
        self.core.drive(|membership, now| membership.serve(now));
    }

    /// Announces at once that this instance accepts no new work.
    pub fn leave(&self) {
        self.core.drive(|membership, now| membership.leave(now));
    }

    /// Sets the revision of the records that this instance applies.
    pub fn set_revision(&self, revision: Revision) {
        self.core
            .drive(|membership, now| membership.set_revision(revision, now));
    }

    /// Processes the platform's VM list, which may lag behind the fleet.
    pub fn observe_vm_list(&self, list: &[ListedVm]) {
        self.core
            .drive(|membership, now| membership.observe_list(list, now));
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> PeerCounters {
        self.core.read_counters()
    }

    /// Returns the state of membership and the counters as text.
    pub fn dump(&self) -> String {
        let membership = self.core.membership.lock().dump();
        format!("{membership}{}", self.counters())
    }

    /// Reloads the certificate files; open connections keep their old certificates.
    pub fn reload_certificates(&self) -> PeerResult<()> {
        let tls = TlsConfigs::load(&self.core.settings.tls)?;
        let server = tls.server.clone();
        self.core.socket.set_server_config(Some(server));
        *self.core.tls.lock() = tls;
        info!("reloaded peer certificates");
        Ok(())
    }

    /// Announces that this instance ends, and closes all connections and the socket soon after.
    pub fn shutdown(&self) {
        self.core.depart();
    }

    /// Waits until the socket has closed after [`Self::shutdown`].
    pub async fn closed(&self) {
        let core = Arc::clone(&self.core);
        let task = async move {
            while !core.is_closed() {
                sleep(CLOSE_POLL).await;
            }
            core.socket.wait_idle().await;
        };
        let _ = self.core.runtime.spawn(task).await;
    }

    async fn run_on_runtime<T: Send + 'static>(
        &self,
        task: impl Future<Output = PeerResult<T>> + Send + 'static,
    ) -> PeerResult<T> {
        if self.core.is_closed() {
            return Err(PeerError::Shutdown);
        }
        let joined = self.owner.core.runtime.spawn(task).await;
        joined.unwrap_or(Err(PeerError::Shutdown))
    }
}

impl std::fmt::Debug for PeerEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerEndpoint")
            .field("me", &self.core.me)
            .finish_non_exhaustive()
    }
}

impl Drop for RuntimeOwner {
    fn drop(&mut self) {
        self.core.close();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn choose_runtime(settings: &PeerSettings) -> PeerResult<(Option<Runtime>, Handle)> {
    if let Some(handle) = &settings.runtime {
        return Ok((None, handle.clone()));
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .thread_name("peer")
        .enable_all()
        .build()
        .map_err(|e| socket_error(settings, &e))?;
    let handle = runtime.handle().clone();
    Ok((Some(runtime), handle))
}

fn open_socket(
    settings: &PeerSettings,
    tls: &TlsConfigs,
    runtime: &Handle,
) -> PeerResult<Endpoint> {
    let _context = runtime.enter();
    let socket = UdpSocket::bind(settings.listen).map_err(|e| socket_error(settings, &e))?;
    Endpoint::new(
        EndpointConfig::default(),
        Some(tls.server.clone()),
        socket,
        Arc::new(TokioRuntime),
    )
    .map_err(|e| socket_error(settings, &e))
}

fn advertised_address(settings: &PeerSettings, socket: &Endpoint) -> PeerResult<SocketAddr> {
    match settings.advertise {
        Some(address) => Ok(address),
        None => socket.local_addr().map_err(|e| socket_error(settings, &e)),
    }
}

fn open_membership(settings: &PeerSettings, me: InstanceId) -> Membership {
    let description = SelfDescription {
        instance: me,
        centre: settings.centre,
        weight: settings.weight,
    };
    let now = MonoTime(Span::from(settings.origin.elapsed()).0);
    let seeds = settings.seeds.clone();
    Membership::new(settings.membership, description, seeds, rand::random(), now)
}

fn socket_error(settings: &PeerSettings, error: &std::io::Error) -> PeerError {
    PeerError::Socket {
        address: settings.listen,
        reason: error.to_string(),
    }
}
