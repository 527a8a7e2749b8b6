//! Counters of an endpoint: sent, received, dropped and skipped messages, and network traffic.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use quinn::ConnectionStats;

use crate::message::MessageKind;

/// The size of the IPv4 and UDP headers of a datagram, in bytes.
const UDP_OVERHEAD: u64 = 28;

const KIND_COUNT: usize = MessageKind::ALL.len();

/// The messages of one kind and their bytes, including frame headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KindCount {
    /// Messages sent.
    pub sent: u64,
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
}

/// Datagrams and bytes on the network, including QUIC, UDP and IP overhead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficCount {
    /// UDP datagrams sent.
    pub sent_packets: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// UDP datagrams received.
    pub received_packets: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
}

/// A snapshot of all counters of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PeerCounters {
    /// Counts by message kind, in the order of [`MessageKind::ALL`].
    pub kinds: Vec<(&'static str, KindCount)>,
    /// Membership datagrams and keep-alives.
    pub membership: KindCount,
    /// Network traffic of all connections.
    pub traffic: TrafficCount,
    /// Messages that were dropped, for example because a queue was full or a peer was unreachable.
    pub dropped: u64,
    /// Frames of an unknown kind.
    pub unknown: u64,
    /// Frames and membership datagrams that could not be decoded.
    pub malformed: u64,
    /// Connections that this endpoint opened.
    pub dialled: u64,
    /// Failed attempts to open a connection.
    pub dial_failures: u64,
    /// Connections that this endpoint accepted.
    pub accepted: u64,
    /// Connections that were refused, because the TLS handshake failed or timed out, or because
    /// there was no common protocol version.
    pub refused: u64,
    /// Connections that are open.
    pub open: u64,
}

/// The live counters behind [`PeerCounters`].
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

    /// Adds the traffic of a closed connection.
    pub(crate) fn add_closed(&self, stats: &ConnectionStats) {
        self.closed.lock().add(stats);
    }

    /// Returns a snapshot; `open` yields the statistics of the open connections.
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
