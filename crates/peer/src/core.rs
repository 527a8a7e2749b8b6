//! The state that the tasks of an endpoint share: the socket, the links and the sessions.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use log::debug;
use oleander_base::prelude::*;
use oleander_membership::{MemberView, Membership};
use parking_lot::{Mutex, RwLock};
use quinn::{ConnectionError, Endpoint, Incoming};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::codec::{Hello, ProtocolRange};
use crate::counters::{CounterCells, PeerCounters, add};
use crate::error::{PeerError, PeerResult};
use crate::link::{EnqueueOutcome, Link, run_writer};
use crate::message::{PeerHandler, PeerMessage};
use crate::peering::{CLOSE_NORMAL, PeerSession, establish};
use crate::settings::PeerSettings;
use crate::tls::{SERVER_NAME, TlsConfigs};

/// The timeout of an attempt to open or accept a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay between announcing the end of this instance and closing the socket, in which the
/// announcement is sent.
const DEPARTURE_DELAY: Duration = Duration::from_millis(100);

/// The state that the tasks of an endpoint share.
pub(crate) struct EndpointCore {
    pub(crate) me: InstanceId,
    pub(crate) protocol: ProtocolRange,
    pub(crate) queue_limit: usize,
    pub(crate) counters: CounterCells,
    pub(crate) handler: Arc<dyn PeerHandler>,
    pub(crate) settings: PeerSettings,
    pub(crate) socket: Endpoint,
    pub(crate) tls: Mutex<TlsConfigs>,
    pub(crate) links: RwLock<FastMap<InstanceId, Arc<Link>>>,
    pub(crate) sessions: Mutex<Vec<Arc<PeerSession>>>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) view: watch::Sender<Arc<MemberView>>,
    /// The time of the last membership tick, in microseconds since the origin.
    pub(crate) last_tick: AtomicU64,
    /// The time at which the last view was made, in microseconds since the origin.
    pub(crate) last_view: AtomicU64,
    pub(crate) runtime: Handle,
    pub(crate) departing: AtomicBool,
    pub(crate) closed: AtomicBool,
}

impl EndpointCore {
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(task);
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol: self.protocol,
            instance: self.me,
            centre: self.settings.centre,
        }
    }

    /// Returns a delay with random jitter, between half and one and a half of its length.
    pub(crate) fn jitter(&self, wait: Duration) -> Duration {
        wait.mul_f64(rand::random_range(0.5..1.5))
    }

    /// Returns the link of an instance, and creates it if there is none.
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

    /// Removes a link if it is still the current one of its instance.
    pub(crate) fn remove_link(&self, link: &Arc<Link>) {
        let mut links = self.links.write();
        if links.get(&link.to).is_some_and(|l| Arc::ptr_eq(l, link)) {
            links.remove(&link.to);
        }
    }

    /// Queues a message on the link of an instance, or drops and counts it.
    pub(crate) fn send(self: &Arc<Self>, to: InstanceId, message: &PeerMessage) {
        while !self.is_closed() && to != self.me {
            match self.link(to).enqueue(self, message) {
                EnqueueOutcome::Queued => return,
                EnqueueOutcome::Full => break,
                EnqueueOutcome::Retired => self.remove_retired(to),
            }
        }
        add(&self.counters.dropped, 1);
    }

    fn remove_retired(&self, to: InstanceId) {
        let link = self.links.read().get(&to).cloned();
        if let Some(link) = link {
            self.remove_link(&link);
        }
    }

    /// Opens a connection to an address, whichever instance answers there.
    pub(crate) async fn dial(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> PeerResult<Arc<PeerSession>> {
        let result = timeout(DIAL_TIMEOUT, self.dial_without_timeout(address)).await;
        let result = result.unwrap_or_else(|_| Err(unreachable(address, &"no answer in time")));
        match &result {
            Ok(session) => {
                add(&self.counters.dialled, 1);
                self.on_dial_result(address, Some(session.remote));
            }
            Err(PeerError::SelfConnection { .. }) => self.on_dial_result(address, Some(self.me)),
            Err(_) => add(&self.counters.dial_failures, 1),
        }
        result
    }

    async fn dial_without_timeout(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> PeerResult<Arc<PeerSession>> {
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

    /// Returns the open session with an instance, or opens one.
    pub(crate) async fn connect(self: &Arc<Self>, to: InstanceId) -> PeerResult<Arc<PeerSession>> {
        if to == self.me {
            return Err(PeerError::SelfConnection {
                address: to.address,
            });
        }
        self.link(to).connect(self).await
    }

    /// Opens a session with one instance, and fails if another instance answers.
    pub(crate) async fn dial_instance(
        self: &Arc<Self>,
        to: InstanceId,
    ) -> PeerResult<Arc<PeerSession>> {
        let dialled = self.dial(to.address).await;
        if dialled.is_err() {
            self.probe_now(to);
        }
        let session = dialled?;
        if session.remote == to {
            return Ok(session);
        }
        Err(PeerError::Replaced {
            wanted: to,
            found: session.remote,
        })
    }

    /// Registers a session after its handshake and attaches it to the link of its instance.
    pub(crate) fn register(self: &Arc<Self>, session: &Arc<PeerSession>) {
        debug!(
            "connection with {} of {} speaks version {}",
            session.remote, session.centre, session.version.0
        );
        self.sessions.lock().push(Arc::clone(session));
        self.link(session.remote).attach(self, session);
    }

    /// Removes a closed session and keeps its traffic counts.
    ///
    /// If it was the current session of its link and this side did not close it, the instance is
    /// probed.
    pub(crate) fn on_closed(self: &Arc<Self>, session: &Arc<PeerSession>) {
        let mut sessions = self.sessions.lock();
        if let Some(index) = sessions.iter().position(|p| Arc::ptr_eq(p, session)) {
            sessions.swap_remove(index);
            self.counters.add_closed(&session.connection.stats());
        }
        drop(sessions);
        let link = self.links.read().get(&session.remote).cloned();
        if let Some(link) = link
            && link.detach(session)
            && !matches!(
                session.connection.close_reason(),
                Some(ConnectionError::LocallyClosed)
            )
        {
            self.probe_now(session.remote);
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Announces that this instance ends, and closes the endpoint after a short delay.
    pub(crate) fn depart(self: &Arc<Self>) {
        if self.departing.swap(true, Ordering::AcqRel) {
            return;
        }
        self.drive(|membership, now| membership.depart(now));
        let core = Arc::clone(self);
        self.spawn(async move {
            sleep(DEPARTURE_DELAY).await;
            core.close();
        });
    }

    /// Closes all connections and the socket.
    pub(crate) fn close(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        let links: Vec<_> = self.links.write().drain().collect();
        for (_, link) in links {
            link.close(self);
        }
        self.socket.close(CLOSE_NORMAL, b"shutdown");
    }

    pub(crate) fn read_counters(&self) -> PeerCounters {
        let sessions = self.sessions.lock();
        let open = sessions.iter().map(|p| p.connection.stats());
        self.counters.read(open)
    }
}

/// Accepts connections until the socket closes.
pub(crate) async fn accept_connections(core: Arc<EndpointCore>) {
    while let Some(incoming) = core.socket.accept().await {
        core.spawn(accept_connection(Arc::clone(&core), incoming));
    }
}

async fn accept_connection(core: Arc<EndpointCore>, incoming: Incoming) {
    let address = incoming.remote_address();
    let accepted = timeout(DIAL_TIMEOUT, incoming).await;
    let Ok(Ok(connection)) = accepted else {
        add(&core.counters.refused, 1);
        debug!("refused connection from {address}");
        return;
    };
    if establish(&core, connection, false).await.is_ok() {
        add(&core.counters.accepted, 1);
    }
}

pub(crate) fn unreachable(address: SocketAddr, reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Unreachable {
        address,
        reason: reason.to_string(),
    }
}
