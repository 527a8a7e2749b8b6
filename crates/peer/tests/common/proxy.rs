//! A UDP proxy in front of one endpoint that injects packet loss and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

const MAX_PACKET_SIZE: usize = 65_536;

/// A proxy whose address the endpoint advertises as its own.
pub struct FaultProxy {
    pub address: SocketAddr,
    rules: Arc<Mutex<ProxyRules>>,
}

struct ProxyRules {
    target: Option<SocketAddr>,
    /// The real addresses of senders whose packets are dropped.
    cut: BTreeSet<SocketAddr>,
    cut_all: bool,
    loss: f64,
    rng: ChaCha8Rng,
}

impl ProxyRules {
    fn forwards(&mut self, client: SocketAddr) -> bool {
        let cut = self.cut_all || self.cut.contains(&client);
        !cut && !self.rng.random_bool(self.loss)
    }
}

impl FaultProxy {
    pub fn spawn(runtime: &Handle, seed: u64) -> Self {
        let socket = runtime
            .block_on(UdpSocket::bind("127.0.0.1:0"))
            .expect("a socket");
        let address = socket.local_addr().expect("an address");
        let rules = Arc::new(Mutex::new(ProxyRules {
            target: None,
            cut: BTreeSet::new(),
            cut_all: false,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }));
        runtime.spawn(forward(Arc::new(socket), Arc::clone(&rules)));
        Self { address, rules }
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.rules.lock().target = Some(target);
    }

    pub fn set_loss(&self, loss: f64) {
        self.rules.lock().loss = loss;
    }

    pub fn cut_from(&self, client: SocketAddr) {
        self.rules.lock().cut.insert(client);
    }

    pub fn cut_all(&self) {
        self.rules.lock().cut_all = true;
    }

    pub fn heal(&self) {
        let mut rules = self.rules.lock();
        rules.cut.clear();
        rules.cut_all = false;
    }
}

async fn forward(socket: Arc<UdpSocket>, rules: Arc<Mutex<ProxyRules>>) {
    let mut upstreams = BTreeMap::new();
    let mut packet = vec![0; MAX_PACKET_SIZE];
    loop {
        let Ok((size, client)) = socket.recv_from(&mut packet).await else {
            continue;
        };
        let target = rules.lock().target;
        let Some(target) = target.filter(|_| rules.lock().forwards(client)) else {
            continue;
        };
        let upstream = match upstreams.get(&client) {
            Some(upstream) => Arc::clone(upstream),
            None => {
                let upstream = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
                let upstream = Arc::new(upstream);
                upstreams.insert(client, Arc::clone(&upstream));
                let (back, rules) = (Arc::clone(&socket), Arc::clone(&rules));
                tokio::spawn(forward_replies(Arc::clone(&upstream), back, client, rules));
                upstream
            }
        };
        let _ = upstream.send_to(&packet[..size], target).await;
    }
}

async fn forward_replies(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    rules: Arc<Mutex<ProxyRules>>,
) {
    let mut packet = vec![0; MAX_PACKET_SIZE];
    loop {
        let Ok((size, _)) = upstream.recv_from(&mut packet).await else {
            continue;
        };
        if rules.lock().forwards(client) {
            let _ = socket.send_to(&packet[..size], client).await;
        }
    }
}
