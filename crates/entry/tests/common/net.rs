//! The network between entry VMs: one UDP proxy in front of each VM, so that groups can be
//! partitioned.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::RwLock;

const READ_TIMEOUT: Duration = Duration::from_millis(100);
const DATAGRAM_LIMIT: usize = 64 * 1024;

/// The partitions that decide which VMs can reach each other.
#[derive(Debug, Default)]
struct Links {
    /// The VM that owns each real socket.
    owners: BTreeMap<SocketAddr, usize>,
    /// The group of each VM. VMs of different groups cannot reach each other; a VM without a group
    /// reaches all.
    groups: BTreeMap<usize, usize>,
}

impl Links {
    fn passes(&self, from: SocketAddr, to: usize) -> bool {
        let Some(from) = self.owners.get(&from) else {
            return true;
        };
        match (self.groups.get(from), self.groups.get(&to)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }
}

/// The proxies of a fleet.
#[derive(Debug)]
pub struct PeerNetwork {
    links: Arc<RwLock<Links>>,
    stop: Arc<AtomicBool>,
}

impl PeerNetwork {
    pub fn new() -> Self {
        Self {
            links: Arc::default(),
            stop: Arc::default(),
        }
    }

    /// Starts a proxy in front of a VM's socket and returns the address to advertise.
    pub fn attach(&self, vm: usize, real: SocketAddr) -> SocketAddr {
        self.links.write().owners.insert(real, vm);
        let front = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = front.local_addr().unwrap();
        let front = Arc::new(front);
        let (links, stop) = (Arc::clone(&self.links), Arc::clone(&self.stop));
        std::thread::spawn(move || forward_in(vm, real, &front, &links, &stop));
        address
    }

    /// Partitions VMs into groups that cannot reach each other.
    pub fn partition(&self, groups: &[&[usize]]) {
        let mut links = self.links.write();
        links.groups.clear();
        for (number, group) in groups.iter().enumerate() {
            links.groups.extend(group.iter().map(|vm| (*vm, number)));
        }
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.links.write().groups.clear();
    }
}

impl Drop for PeerNetwork {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Forwards datagrams to a VM, through one socket for each sender.
fn forward_in(
    vm: usize,
    real: SocketAddr,
    front: &Arc<UdpSocket>,
    links: &Arc<RwLock<Links>>,
    stop: &Arc<AtomicBool>,
) {
    front.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut backs: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    while !stop.load(Ordering::Relaxed) {
        let Ok((size, from)) = front.recv_from(&mut buffer) else {
            continue;
        };
        if !links.read().passes(from, vm) {
            continue;
        }
        let back = backs.entry(from).or_insert_with(|| {
            let back = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
            back.connect(real).unwrap();
            let (front, links, stop) = (Arc::clone(front), Arc::clone(links), Arc::clone(stop));
            let answers = Arc::clone(&back);
            std::thread::spawn(move || forward_out(vm, from, &answers, &front, &links, &stop));
            back
        });
        let _ = back.send(&buffer[..size]);
    }
}

/// Forwards a VM's datagrams back to one sender.
fn forward_out(
    vm: usize,
    sender: SocketAddr,
    back: &UdpSocket,
    front: &UdpSocket,
    links: &RwLock<Links>,
    stop: &AtomicBool,
) {
    back.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    while !stop.load(Ordering::Relaxed) {
        let Ok(size) = back.recv(&mut buffer) else {
            continue;
        };
        if links.read().passes(sender, vm) {
            let _ = front.send_to(&buffer[..size], sender);
        }
    }
}
