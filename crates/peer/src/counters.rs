//! Counters of an endpoint: what was sent, received, dropped and skipped.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use quinn::ConnectionStats;

use crate::message::MessageKind;

/// Bytes of IPv4 and UDP headers before each QUIC packet.
const UDP_OVERHEAD: u64 = 28;

const KIND_COUNT: usize = MessageKind::ALL.len();

/// Messages and bytes of one kind, frame headers included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KindCount {
    /// Messages sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
}

/// Packets and bytes on the network, with QUIC, UDP and IP overhead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficCount {
    /// Packets sent.
    pub sent_packets: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Packets received.
    pub received_packets: u64,
    /// Their bytes.
    pub received_bytes: u64,
}

/// A snapshot of all counters of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerCounters {
    /// Counts by message kind, in the order of [`MessageKind::ALL`].
    pub kinds: Vec<(&'static str, KindCount)>,
    /// Probes and gossip of membership.
    pub membership: KindCount,
    /// What went over the network.
    pub traffic: TrafficCount,
    /// Messages that were dropped because a queue was full or a peer was not reached.
    pub dropped: u64,
    /// Frames of a kind that this program does not know.
    pub unknown: u64,
    /// Frames that did not parse.
    pub malformed: u64,
    /// Connections that this endpoint opened.
    pub dialled: u64,
    /// Attempts to open a connection that failed.
    pub dial_failures: u64,
    /// Connections that this endpoint accepted.
    pub accepted: u64,
    /// Connections that were refused: no valid certificate, or no common version.
    pub refused: u64,
    /// Connections open now.
    pub open: u64,
}

/// The live counters.
#[derive(Debug, Default)]
pub(crate) struct CounterCells {
    kinds: [KindCells; KIND_COUNT],
    membership: KindCells,
    closed: Mutex<TrafficCount>,
    pub(crate) dropped: AtomicU64,
    pub(crate) unknown: AtomicU64,
    pub(crate) malformed: AtomicU64,
    pub(crate) dialled: AtomicU64,
    pub(crate) dial_failures: AtomicU64,
    pub(crate) accepted: AtomicU64,
    pub(crate) refused: AtomicU64,
}

#[derive(Debug, Default)]
struct KindCells {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

impl KindCells {
    fn add_sent(&self, bytes: usize) {
        add(&self.sent, 1);
        add(&self.sent_bytes, bytes as u64);
    }

    fn add_received(&self, bytes: usize) {
        add(&self.received, 1);
        add(&self.received_bytes, bytes as u64);
    }

    fn read(&self) -> KindCount {
        KindCount {
            sent: read(&self.sent),
            sent_bytes: read(&self.sent_bytes),
            received: read(&self.received),
            received_bytes: read(&self.received_bytes),
        }
    }
}

impl CounterCells {
    pub(crate) fn add_sent(&self, kind: MessageKind, bytes: usize) {
        self.kinds[kind as usize - 1].add_sent(bytes);
    }

    pub(crate) fn add_received(&self, kind: MessageKind, bytes: usize) {
        self.kinds[kind as usize - 1].add_received(bytes);
    }

    pub(crate) fn add_probe_sent(&self, bytes: usize) {
        self.membership.add_sent(bytes);
    }

    pub(crate) fn add_probe_received(&self, bytes: usize) {
        self.membership.add_received(bytes);
    }

    /// Keeps what a connection sent and received after it has closed.
    pub(crate) fn add_closed(&self, stats: &ConnectionStats) {
        self.closed.lock().add(stats);
    }

    /// Reads everything; `open` are the connections that are still open.
    pub(crate) fn read(&self, open: impl Iterator<Item = ConnectionStats>) -> PeerCounters {
        let mut traffic = *self.closed.lock();
        let mut count = 0;
        for stats in open {
            traffic.add(&stats);
            count += 1;
        }
        PeerCounters {
            kinds: self.read_kinds(),
            membership: self.membership.read(),
            traffic,
            dropped: read(&self.dropped),
            unknown: read(&self.unknown),
            malformed: read(&self.malformed),
            dialled: read(&self.dialled),
            dial_failures: read(&self.dial_failures),
            accepted: read(&self.accepted),
            refused: read(&self.refused),
            open: count,
        }
    }

    fn read_kinds(&self) -> Vec<(&'static str, KindCount)> {
        MessageKind::ALL
            .iter()
            .zip(&self.kinds)
            .map(|(kind, cells)| (kind.as_str(), cells.read()))
            .collect()
    }
}

impl TrafficCount {
    fn add(&mut self, stats: &ConnectionStats) {
        self.sent_packets += stats.udp_tx.datagrams;
        self.sent_bytes += stats.udp_tx.bytes + UDP_OVERHEAD * stats.udp_tx.datagrams;
        self.received_packets += stats.udp_rx.datagrams;
        self.received_bytes += stats.udp_rx.bytes + UDP_OVERHEAD * stats.udp_rx.datagrams;
    }
}

impl fmt::Display for PeerCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let traffic = self.traffic;
        writeln!(
            f,
            "traffic sent {} bytes in {} packets, received {} bytes in {} packets",
            traffic.sent_bytes,
            traffic.sent_packets,
            traffic.received_bytes,
            traffic.received_packets
        )?;
        writeln!(
            f,
            "connections open {} dialled {} failed {} accepted {} refused {}",
            self.open, self.dialled, self.dial_failures, self.accepted, self.refused
        )?;
        writeln!(
            f,
            "messages dropped {} unknown {} malformed {}",
            self.dropped, self.unknown, self.malformed
        )?;
        let membership = ("membership", self.membership);
        for (name, count) in self.kinds.iter().copied().chain([membership]) {
            writeln!(
                f,
                "{name} sent {} ({} bytes) received {} ({} bytes)",
                count.sent, count.sent_bytes, count.received, count.received_bytes
            )?;
        }
        Ok(())
    }
}

pub(crate) fn add(cell: &AtomicU64, amount: u64) {
    cell.fetch_add(amount, Ordering::Relaxed);
}

fn read(cell: &AtomicU64) -> u64 {
    cell.load(Ordering::Relaxed)
}
