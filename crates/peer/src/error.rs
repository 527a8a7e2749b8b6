//! Errors of the peer protocol.

use std::net::SocketAddr;

use oleander_base::prelude::*;
use thiserror::Error;

/// The result of an operation on a peer.
pub type PeerResult<T> = Result<T, PeerError>;

/// The error of an operation on a peer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The UDP socket could not be opened.
    #[error("cannot open the peer socket on {address}: {reason}")]
    Socket {
        /// The listen address from the settings.
        address: SocketAddr,
        /// The system's error.
        reason: String,
    },
    /// The certificate, key or authority is unusable.
    #[error("cannot use the peer certificates: {reason}")]
    Certificates {
        /// The cause.
        reason: String,
    },
    /// No connection could be established; nothing was sent.
    #[error("peer {address} cannot be reached: {reason}")]
    Unreachable {
        /// The address that was dialled.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// Another instance answers at the address; nothing was sent to it.
    #[error("{wanted} has been replaced by {found}")]
    Replaced {
        /// The instance that was dialled.
        wanted: InstanceId,
        /// The instance that answered.
        found: InstanceId,
    },
    /// The address belongs to this instance; nothing was sent.
    #[error("{address} is an address of this instance")]
    SelfConnection {
        /// The address that was dialled.
        address: SocketAddr,
    },
    /// The peer supports no common protocol version; nothing was sent.
    #[error("peer {address} speaks no common protocol version")]
    Version {
        /// The peer's address.
        address: SocketAddr,
    },
    /// No reply was received within the timeout.
    #[error("no reply from {to} in time")]
    Timeout {
        /// The peer.
        to: InstanceId,
        /// Whether the peer may have run the call, which depends on whether it was sent.
        verdict: Verdict,
    },
    /// The connection or stream failed after data may have been sent.
    #[error("connection to {peer} lost: {reason}")]
    Lost {
        /// The peer.
        peer: InstanceId,
        /// The cause.
        reason: String,
    },
    /// The peer runs an older program that does not know this kind of call or stream.
    #[error("{to} does not support this kind of call")]
    Unsupported {
        /// The peer.
        to: InstanceId,
    },
    /// The peer refused the call, which counts as not run.
    #[error("{to} refused the call: {reason}")]
    Refused {
        /// The peer.
        to: InstanceId,
        /// The reason that it gave.
        reason: String,
    },
    /// A call or stream header exceeds the frame limit; nothing was sent.
    #[error("a message of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// The size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer sent bytes that cannot be decoded.
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
