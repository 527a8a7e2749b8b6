//! Errors of the peers' connections.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use thiserror::Error;

/// The result of an operation on a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// Why an operation on a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The UDP socket could not be opened.
    #[error("cannot open the peers' socket on {address}: {reason}")]
    Socket {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// The certificate, key or authority cannot be used.
    #[error("cannot use the peers' certificates: {reason}")]
    Certificates {
        /// What is wrong with them.
        reason: String,
    },
    /// No connection came about; nothing was sent.
    #[error("peer {address} cannot be reached: {reason}")]
    Unreachable {
        /// The address that was dialled.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// Another instance answers at the address; nothing was sent to it.
    #[error("{wanted} has been replaced by {found}")]
    Replaced {
        /// The instance that was meant.
        wanted: InstanceId,
        /// The instance that answered.
        found: InstanceId,
    },
    /// The address leads back to this instance; nothing was sent.
    #[error("{address} is an address of this instance")]
    SelfConnection {
        /// The address that was dialled.
        address: SocketAddr,
    },
    /// The peer speaks no common protocol version; nothing was sent.
    #[error("peer {address} speaks no common protocol version")]
    Version {
        /// The peer's address.
        address: SocketAddr,
    },
    /// No reply came in time.
    #[error("no reply from {to} in time")]
    Timeout {
        /// The peer.
        to: InstanceId,
        /// Whether the call had been sent.
        verdict: Verdict,
    },
    /// The connection or stream broke after something was sent.
    #[error("connection to {peer} lost: {reason}")]
    Lost {
        /// The peer.
        peer: InstanceId,
        /// What was seen.
        reason: String,
    },
    /// The peer is an older program that does not know this kind of call or stream.
    #[error("{to} does not support this kind of call")]
    Unsupported {
        /// The peer.
        to: InstanceId,
    },
    /// The peer refused the call before it did anything.
    #[error("{to} refused the call: {reason}")]
    Refused {
        /// The peer.
        to: InstanceId,
        /// The reason that it gave.
        reason: String,
    },
    /// A message is larger than a frame may be; nothing was sent.
    #[error("a message of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// The size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer sent bytes that are not a message.
    #[error("malformed message from {peer}")]
    Malformed {
        /// The peer.
        peer: InstanceId,
    },
    /// The endpoint has been shut down.
    #[error("the endpoint has been shut down")]
    Shutdown,
}

impl PeerError {
    /// Returns whether the peer may have acted on what was sent.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Timeout { verdict, .. } => *verdict,
            Self::Lost { .. } | Self::Malformed { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}
