//! What the tasks of an endpoint share: the socket, the links and the connections.

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
use crate::link::{Enqueued, Link, run_writer};
use crate::message::{PeerHandler, PeerMessage};
use crate::peering::{CLOSE_NORMAL, Peering, establish};
use crate::settings::PeerSettings;
use crate::tls::{SERVER_NAME, TlsConfigs};

/// How long an attempt to open a connection may take.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the last datagrams of an instance that ends may take to be sent.
const DEPARTURE: Duration = Duration::from_millis(100);

/// What the tasks of an endpoint share.
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
    pub(crate) peerings: Mutex<Vec<Arc<Peering>>>,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) view: watch::Sender<Arc<MemberView>>,
    /// When membership last ran, in microseconds since the origin.
    pub(crate) last_tick: AtomicU64,
    /// When the last view was made, in microseconds since the origin.
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

    /// Hands a message to the link of an instance, or drops and counts it.
    pub(crate) fn send(self: &Arc<Self>, to: InstanceId, message: &PeerMessage) {
        while !self.is_closed() && to != self.me {
            match self.link(to).enqueue(self, message) {
                Enqueued::Queued => return,
                Enqueued::Full => break,
                Enqueued::Retired => self.drop_retired(to),
            }
        }
        add(&self.counters.dropped, 1);
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
            Ok(peering) => {
                add(&self.counters.dialled, 1);
                self.on_answer(address, Some(peering.remote));
            }
            Err(PeerError::Itself { .. }) => self.on_answer(address, Some(self.me)),
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

    /// Returns the open connection to an instance, or opens one.
    pub(crate) async fn connect(self: &Arc<Self>, to: InstanceId) -> PeerResult<Arc<Peering>> {
        if to == self.me {
            return Err(PeerError::Itself {
                address: to.address,
            });
        }
        self.link(to).connect(self).await
    }

    /// Opens a connection to one instance, and fails if another one answers.
    pub(crate) async fn dial_instance(
        self: &Arc<Self>,
        to: InstanceId,
    ) -> PeerResult<Arc<Peering>> {
        let dialled = self.dial(to.address).await;
        if dialled.is_err() {
            self.on_doubt(to);
        }
        let peering = dialled?;
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
    pub(crate) fn forget(self: &Arc<Self>, peering: &Arc<Peering>) {
        let mut peerings = self.peerings.lock();
        if let Some(index) = peerings.iter().position(|p| Arc::ptr_eq(p, peering)) {
            peerings.swap_remove(index);
            self.counters.add_closed(&peering.connection.stats());
        }
        drop(peerings);
        let link = self.links.read().get(&peering.remote).cloned();
        if let Some(link) = link
            && link.forget(peering)
            && !matches!(
                peering.connection.close_reason(),
                Some(ConnectionError::LocallyClosed)
            )
        {
            self.on_doubt(peering.remote);
        }
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Tells the fleet that this instance ends, and closes once that has been sent.
    pub(crate) fn depart(self: &Arc<Self>) {
        if self.departing.swap(true, Ordering::AcqRel) {
            return;
        }
        self.drive(|membership, now| membership.depart(now));
        let core = Arc::clone(self);
        self.spawn(async move {
            sleep(DEPARTURE).await;
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
        let peerings = self.peerings.lock();
        let open = peerings.iter().map(|p| p.connection.stats());
        self.counters.read(open)
    }
}

/// Accepts connections until the socket closes.
pub(crate) async fn accept_connections(core: Arc<EndpointCore>) {
    while let Some(incoming) = core.socket.accept().await {
        core.spawn(accept_one(Arc::clone(&core), incoming));
    }
}

async fn accept_one(core: Arc<EndpointCore>, incoming: Incoming) {
    let address = incoming.remote_address();
    let accepted = timeout(DIAL_TIMEOUT, incoming).await;
    let Ok(Ok(connection)) = accepted else {
        add(&core.counters.refused, 1);
        debug!("a connection from {address} was refused");
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
