//! The socket for datagrams to other gateways.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::metrics::GatewayMetrics;
use crate::peer_message::{PeerMessage, encode};

/// Sends datagrams to other gateways once it is connected; until then, they count as lost.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: OnceCell<Rc<UdpSocket>>,
    metrics: Rc<GatewayMetrics>,
}

impl PeerSocket {
    /// Creates one that is not connected yet.
    pub(crate) fn new(metrics: Rc<GatewayMetrics>) -> Self {
        Self {
            socket: OnceCell::new(),
            metrics,
        }
    }

    /// Sets the socket.
    pub(crate) fn connect(&self, socket: Rc<UdpSocket>) {
        // The socket is set once, when the process starts.
        let _ = self.socket.set(socket);
    }

    /// Sends a message to some gateways.
    pub(crate) fn send(&self, message: PeerMessage, targets: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let kind = message.kind();
        let bytes = encode(message);
        self.metrics
            .record_peer_bytes(kind, bytes.len() * targets.len());
        for target in targets {
            // A datagram that cannot be sent counts as lost, which any datagram may be.
            let _ = socket.try_send_to(&bytes, *target);
        }
    }
}
