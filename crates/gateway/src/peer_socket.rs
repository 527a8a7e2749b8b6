//! The socket for datagrams to other gateways.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use crate::peer_message::{PeerMessage, encode};

/// Sends datagrams to other gateways once it is connected; until then, they count as lost.
#[derive(Debug, Default)]
pub(crate) struct PeerSocket(OnceCell<Rc<UdpSocket>>);

impl PeerSocket {
    /// Sets the socket.
    pub(crate) fn connect(&self, socket: Rc<UdpSocket>) {
        // The socket is set once, when the process starts.
        let _ = self.0.set(socket);
    }

    /// Sends a message to some gateways.
    pub(crate) fn send(&self, message: PeerMessage, targets: &[SocketAddr]) {
        let Some(socket) = self.0.get() else {
            return;
        };
        let bytes = encode(message);
        for target in targets {
            // A datagram that cannot be sent counts as lost, which any datagram may be.
            let _ = socket.try_send_to(&bytes, *target);
        }
    }
}
