//! The endpoint: the UDP socket, its links and its tasks.

use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use log::{debug, info, warn};
use oleander_base::prelude::*;
use oleander_membership::{Member, MemberState, MemberView};
use parking_lot::{Mutex, RwLock};
use quinn::{Endpoint, EndpointConfig, Incoming, TokioRuntime};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::codec::{Hello, ProtocolRange, decode_reply, encode_call, encode_open};
use crate::counters::{CounterCells, PeerCounters, add};
use crate::error::{PeerError, PeerResult};
use crate::link::{Enqueued, Link, run_writer};
use crate::message::{PeerCall, PeerHandler, PeerMessage, PeerReply, StreamOpen};
use crate::peering::{CLOSE_NORMAL, Peering, establish};
use crate::settings::PeerSettings;
use crate::stream::{ActiveGuard, PeerStream, lost, read_frame};
use crate::tls::{SERVER_NAME, TlsConfigs};

/// How long an attempt to open a connection may take.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The threads of an endpoint's own runtime.
const RUNTIME_THREADS: usize = 2;

/// A running endpoint; clones share it.
#[derive(Clone)]
pub struct PeerEndpoint {
    core: Arc<EndpointCore>,
    keeper: Arc<RuntimeKeeper>,
}

/// What the tasks of an endpoint share.
pub(crate) struct EndpointCore {
    pub(crate) me: InstanceId,
    pub(crate) centre: CentreId,
    pub(crate) protocol: ProtocolRange,
    pub(crate) queue_limit: usize,
    pub(crate) counters: CounterCells,
    pub(crate) handler: Arc<dyn PeerHandler>,
    settings: PeerSettings,
    socket: Endpoint,
    tls: Mutex<TlsConfigs>,
    links: RwLock<FastMap<InstanceId, Arc<Link>>>,
    peerings: Mutex<Vec<Arc<Peering>>>,
    view: watch::Sender<Arc<MemberView>>,
    runtime: Handle,
    closed: AtomicBool,
}

/// Ends an endpoint's own runtime with the last handle.
struct RuntimeKeeper {
    core: Arc<EndpointCore>,
    runtime: Option<Runtime>,
}

impl PeerEndpoint {
    /// Opens the socket and starts to serve peers.
    pub fn bind(settings: PeerSettings, handler: Arc<dyn PeerHandler>) -> PeerResult<Self> {
        let tls = TlsConfigs::load(&settings.tls)?;
        let (runtime, handle) = choose_runtime(&settings)?;
        let socket = open_socket(&settings, &tls, &handle)?;
        let address = match settings.advertise {
            Some(address) => address,
            None => socket
                .local_addr()
                .map_err(|e| socket_error(&settings, &e))?,
        };
        let me = InstanceId {
            address,
            incarnation: settings.incarnation.unwrap_or_else(rand::random),
        };
        let view = MemberView::alone(Member {
            instance: me,
            centre: settings.centre,
            weight: settings.weight,
            state: MemberState::Joining,
            revision: Revision::default(),
            since: MonoTime::default(),
        });
        let core = Arc::new(EndpointCore {
            me,
            centre: settings.centre,
            protocol: settings.protocol,
            queue_limit: settings.queue_limit,
            counters: CounterCells::default(),
            handler,
            settings,
            socket,
            tls: Mutex::new(tls),
            links: RwLock::default(),
            peerings: Mutex::default(),
            view: watch::Sender::new(Arc::new(view)),
            runtime: handle,
            closed: AtomicBool::new(false),
        });
        core.spawn(accept_connections(Arc::clone(&core)));
        info!("peers' endpoint of {me} is open");
        let keeper = Arc::new(RuntimeKeeper {
            core: Arc::clone(&core),
            runtime,
        });
        Ok(Self { core, keeper })
    }

    /// Returns this instance.
    pub fn instance(&self) -> InstanceId {
        self.core.me
    }

    /// Returns the address that the socket listens on.
    pub fn local_address(&self) -> SocketAddr {
        let local = self.core.socket.local_addr();
        local.unwrap_or(self.core.me.address)
    }

    /// Hands a message to the link of an instance.
    ///
    /// The call never blocks. A message is dropped and counted if the link's queue is full or the
    /// instance cannot be reached.
    pub fn send(&self, to: InstanceId, message: &PeerMessage) {
        let core = &self.core;
        loop {
            if core.is_closed() {
                add(&core.counters.dropped, 1);
                return;
            }
            match core.link(to).enqueue(core, message) {
                Enqueued::Queued => return,
                Enqueued::Full => {
                    add(&core.counters.dropped, 1);
                    return;
                }
                Enqueued::Retired => core.drop_retired(to),
            }
        }
    }

    /// Sends a call and waits for its reply.
    pub async fn call(
        &self,
        to: InstanceId,
        call: PeerCall,
        limit: Duration,
    ) -> PeerResult<PeerReply> {
        let core = Arc::clone(&self.core);
        let sent = Arc::new(AtomicBool::new(false));
        let mark = Arc::clone(&sent);
        let task = async move {
            let result = timeout(limit, run_call(&core, to, &call, &mark)).await;
            result.unwrap_or_else(|_| {
                let verdict = if mark.load(Ordering::Acquire) {
                    Verdict::MayHaveRun
                } else {
                    Verdict::NotRun
                };
                Err(PeerError::Timeout { to, verdict })
            })
        };
        self.join(task).await
    }

    /// Opens a long stream to an instance.
    pub async fn open_stream(&self, to: InstanceId, open: StreamOpen) -> PeerResult<PeerStream> {
        let core = Arc::clone(&self.core);
        let task = async move {
            let peering = core.link(to).connect(&core).await?;
            let connection = &peering.connection;
            let (mut send, receive) = connection.open_bi().await.map_err(|e| lost(to, &e))?;
            send.write_chunk(encode_open(&open))
                .await
                .map_err(|e| lost(to, &e))?;
            let early = bytes::Bytes::new();
            Ok(PeerStream::new(to, send, receive, early, &peering.active))
        };
        self.join(task).await
    }

    /// Returns whether this process may act on what it knows: it was not just paused.
    pub fn is_current(&self) -> bool {
        self.core.view.borrow().is_current()
    }

    /// Returns the view of the fleet.
    pub fn members(&self) -> Arc<MemberView> {
        self.core.view.borrow().clone()
    }

    /// Returns a receiver that learns of each new view.
    pub fn watch_members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.core.view.subscribe()
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> PeerCounters {
        let peerings = self.core.peerings.lock();
        let open = peerings.iter().map(|p| p.connection.stats());
        self.core.counters.read(open)
    }

    /// Reads the certificate files again; connections that stand keep their old ones.
    pub fn reload_certificates(&self) -> PeerResult<()> {
        let tls = TlsConfigs::load(&self.core.settings.tls)?;
        let server = tls.server.clone();
        self.core.socket.set_server_config(Some(server));
        *self.core.tls.lock() = tls;
        info!("peers' certificates were read again");
        Ok(())
    }

    /// Closes all connections and the socket.
    pub fn shutdown(&self) {
        self.core.shutdown();
    }

    async fn join<T: Send + 'static>(
        &self,
        task: impl Future<Output = PeerResult<T>> + Send + 'static,
    ) -> PeerResult<T> {
        if self.core.is_closed() {
            return Err(PeerError::Shutdown);
        }
        let joined = self.keeper.core.runtime.spawn(task).await;
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

impl EndpointCore {
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol: self.protocol,
            instance: self.me,
            centre: self.centre,
        }
    }

    /// Spreads a wait over half to one and a half of its length.
    pub(crate) fn jitter(&self, wait: Duration) -> Duration {
        wait.mul_f64(rand::random_range(0.5..1.5))
    }

    /// Returns the link of an instance, and starts one if there is none.
    pub(crate) fn link(self: &Arc<Self>, to: InstanceId) -> Arc<Link> {
        if let Some(link) = self.links.read().get(&to) {
            return Arc::clone(link);
        }
        let mut links = self.links.write();
        let link = links.entry(to).or_insert_with(|| {
            let link = Arc::new(Link::new(to));
            self.spawn(run_writer(Arc::clone(self), Arc::clone(&link)));
            link
        });
        Arc::clone(link)
    }

    /// Takes a link out of use, if it is still the one in use.
    pub(crate) fn remove_link(&self, link: &Arc<Link>) {
        let mut links = self.links.write();
        if links.get(&link.to).is_some_and(|l| Arc::ptr_eq(l, link)) {
            links.remove(&link.to);
        }
    }

    fn drop_retired(&self, to: InstanceId) {
        let link = self.links.read().get(&to).cloned();
        if let Some(link) = link {
            self.remove_link(&link);
        }
    }

    /// Opens a connection to an address, whoever answers there.
    pub(crate) async fn dial(self: &Arc<Self>, address: SocketAddr) -> PeerResult<Arc<Peering>> {
        let result = timeout(DIAL_TIMEOUT, self.dial_untimed(address)).await;
        let result = result.unwrap_or_else(|_| Err(unreachable(address, &"no answer in time")));
        match &result {
            Ok(_) => add(&self.counters.dialled, 1),
            Err(_) => add(&self.counters.dial_failures, 1),
        }
        result
    }

    async fn dial_untimed(self: &Arc<Self>, address: SocketAddr) -> PeerResult<Arc<Peering>> {
        if self.is_closed() {
            return Err(PeerError::Shutdown);
        }
        let config = self.tls.lock().client.clone();
        let connecting = self
            .socket
            .connect_with(config, address, SERVER_NAME)
            .map_err(|e| unreachable(address, &e))?;
        let connection = connecting.await.map_err(|e| unreachable(address, &e))?;
        establish(self, connection, true).await
    }

    /// Opens a connection to one instance, and fails if another one answers.
    pub(crate) async fn dial_instance(
        self: &Arc<Self>,
        to: InstanceId,
    ) -> PeerResult<Arc<Peering>> {
        let peering = self.dial(to.address).await?;
        if peering.remote == to {
            return Ok(peering);
        }
        Err(PeerError::Replaced {
            wanted: to,
            found: peering.remote,
        })
    }

    /// Takes over a connection on which both sides have said hello.
    pub(crate) fn adopt(self: &Arc<Self>, peering: &Arc<Peering>) {
        debug!(
            "connection with {} of {} speaks version {}",
            peering.remote, peering.centre, peering.version.0
        );
        self.peerings.lock().push(Arc::clone(peering));
        self.link(peering.remote).adopt(self, peering);
    }

    /// Lets a closed connection go and keeps its counts.
    pub(crate) fn forget(&self, peering: &Arc<Peering>) {
        let mut peerings = self.peerings.lock();
        if let Some(index) = peerings.iter().position(|p| Arc::ptr_eq(p, peering)) {
            peerings.swap_remove(index);
            self.counters.add_closed(&peering.connection.stats());
        }
        drop(peerings);
        let link = self.links.read().get(&peering.remote).cloned();
        if let Some(link) = link {
            link.forget(peering);
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    fn shutdown(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        let links: Vec<_> = self.links.write().drain().collect();
        for (_, link) in links {
            link.close(self);
        }
        self.socket.close(CLOSE_NORMAL, b"shutdown");
    }
}

impl Drop for RuntimeKeeper {
    fn drop(&mut self) {
        self.core.shutdown();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept_connections(core: Arc<EndpointCore>) {
    while let Some(incoming) = core.socket.accept().await {
        core.spawn(accept_one(Arc::clone(&core), incoming));
    }
}

async fn accept_one(core: Arc<EndpointCore>, incoming: Incoming) {
    let address = incoming.remote_address();
    let accepted = timeout(DIAL_TIMEOUT, incoming).await;
    let Ok(Ok(connection)) = accepted else {
        add(&core.counters.refused, 1);
        warn!("a connection from {address} was refused");
        return;
    };
    if establish(&core, connection, false).await.is_ok() {
        add(&core.counters.accepted, 1);
    }
}

async fn run_call(
    core: &Arc<EndpointCore>,
    to: InstanceId,
    call: &PeerCall,
    sent: &AtomicBool,
) -> PeerResult<PeerReply> {
    let peering = core.link(to).connect(core).await?;
    let _active = ActiveGuard::new(&peering.active);
    let opened = peering.connection.open_bi().await;
    let (mut send, mut receive) = opened.map_err(|e| unreachable(to.address, &e))?;
    sent.store(true, Ordering::Release);
    send.write_chunk(encode_call(call))
        .await
        .map_err(|e| lost(to, &e))?;
    let _ = send.finish();
    let (frame, _) = read_frame(to, &mut receive).await?;
    match decode_reply(&frame) {
        Ok(PeerReply::Unsupported) => Err(PeerError::Unsupported { to }),
        Ok(PeerReply::Refused(reason)) => Err(PeerError::Refused { to, reason }),
        Ok(reply) => Ok(reply),
        Err(_) => Err(PeerError::Malformed { peer: to }),
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

fn socket_error(settings: &PeerSettings, error: &std::io::Error) -> PeerError {
    PeerError::Socket {
        address: settings.listen,
        reason: error.to_string(),
    }
}

fn unreachable(address: SocketAddr, reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Unreachable {
        address,
        reason: reason.to_string(),
    }
}
