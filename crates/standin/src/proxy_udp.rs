//! A UDP proxy that drops and delays datagrams between two processes.
//!
//! Every sender gets its own socket towards the target, so that answers can be returned to it. A
//! blocked direction drops its datagrams, as a network does, so that QUIC connections through the
//! proxy see a partition.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use oleander_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::counters::bump;
use crate::proxy::spawn_runtime;

/// The maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The faults of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DatagramFault {
    /// The share of datagrams that are dropped, from 0 to 1.
    pub loss: f64,
    /// The delay of every datagram.
    pub delay: Duration,
    /// Whether all datagrams are dropped.
    pub blocked: bool,
}

/// The faults of a proxy. The default forwards everything.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DatagramFaults {
    /// The faults from the sender to the target.
    pub to_target: DatagramFault,
    /// The faults from the target to the sender.
    pub to_sender: DatagramFault,
}

impl DatagramFaults {
    /// Returns faults that drop every datagram in both directions.
    pub fn partition() -> Self {
        let blocked = DatagramFault {
            blocked: true,
            ..DatagramFault::default()
        };
        Self {
            to_target: blocked,
            to_sender: blocked,
        }
    }
}

#[derive(Debug, Default)]
struct DatagramCounters {
    passed: AtomicU64,
    lost: AtomicU64,
}

/// A running UDP proxy. Dropping it stops its thread.
#[derive(Debug)]
pub struct UdpFaultProxy {
    address: SocketAddr,
    faults: watch::Sender<DatagramFaults>,
    counters: Arc<DatagramCounters>,
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl UdpFaultProxy {
    /// Starts a proxy to `target` on a free loopback port. `seed` determines which datagrams are
    /// dropped.
    pub fn bind(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = bind_socket()?;
        let address = socket.local_addr()?;
        let (faults, fault_receiver) = watch::channel(DatagramFaults::default());
        let counters = Arc::new(DatagramCounters::default());
        let stop = Arc::new(Notify::new());
        let route = DatagramRoute {
            target,
            faults: fault_receiver,
            counters: counters.clone(),
        };
        let stopped = stop.clone();
        let thread = spawn_runtime("udp-fault-proxy", async move {
            tokio::select! {
                _ = forward_all(socket, route, seed) => {}
                () = stopped.notified() => {}
            }
        })?;
        Ok(Self {
            address,
            faults,
            counters,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set(&self, faults: DatagramFaults) {
        self.faults.send_replace(faults);
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set(DatagramFaults::default());
    }

    /// Returns the number of datagrams that no fault dropped.
    pub fn passed(&self) -> u64 {
        self.counters.passed.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that were dropped by a fault.
    pub fn lost(&self) -> u64 {
        self.counters.lost.load(Ordering::Relaxed)
    }
}

impl Drop for UdpFaultProxy {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn bind_socket() -> io::Result<StdSocket> {
    let socket = StdSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

#[derive(Debug, Clone)]
struct DatagramRoute {
    target: SocketAddr,
    faults: watch::Receiver<DatagramFaults>,
    counters: Arc<DatagramCounters>,
}

async fn forward_all(socket: StdSocket, route: DatagramRoute, seed: u64) -> io::Result<()> {
    let listen_socket = Arc::new(UdpSocket::from_std(socket)?);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut target_sockets: FastMap<SocketAddr, Arc<UdpSocket>> = FastMap::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // A send to a closed port is reported as an error of the next receive; it does not end the
        // proxy.
        let Ok((size, sender)) = listen_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let target_socket = match target_sockets.get(&sender) {
            Some(target_socket) => target_socket.clone(),
            None => {
                let target_socket =
                    open_target_socket(&route, listen_socket.clone(), sender, random.random())?;
                target_sockets.insert(sender, target_socket.clone());
                target_socket
            }
        };
        let fault = route.faults.borrow().to_target;
        let datagram = buffer[..size].to_vec();
        forward_datagram(&route, fault, &mut random, async move {
            let _ = target_socket.send(&datagram).await;
        });
    }
}

/// Opens the socket towards the target for one sender and starts forwarding the answers to it.
fn open_target_socket(
    route: &DatagramRoute,
    listen_socket: Arc<UdpSocket>,
    sender: SocketAddr,
    seed: u64,
) -> io::Result<Arc<UdpSocket>> {
    let socket = bind_socket()?;
    socket.connect(route.target)?;
    let target_socket = Arc::new(UdpSocket::from_std(socket)?);
    let (socket, route) = (target_socket.clone(), route.clone());
    tokio::task::spawn_local(async move {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(size) = socket.recv(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let fault = route.faults.borrow().to_sender;
            let datagram = buffer[..size].to_vec();
            let listen_socket = listen_socket.clone();
            forward_datagram(&route, fault, &mut random, async move {
                let _ = listen_socket.send_to(&datagram, sender).await;
            });
        }
    });
    Ok(target_socket)
}

/// Forwards a datagram after the fault's delay, unless the fault drops it.
fn forward_datagram(
    route: &DatagramRoute,
    fault: DatagramFault,
    random: &mut ChaCha8Rng,
    send: impl Future<Output = ()> + 'static,
) {
    let lost = fault.loss > 0.0 && random.random_bool(fault.loss.min(1.0));
    if fault.blocked || lost {
        bump(&route.counters.lost);
        return;
    }
    bump(&route.counters.passed);
    tokio::task::spawn_local(async move {
        if !fault.delay.is_zero() {
            tokio::time::sleep(fault.delay).await;
        }
        send.await;
    });
}
