//! The peer protocol: communication between entry VMs.
//!
//! Every instance has one UDP socket and speaks QUIC with mutual TLS over it. Two instances share
//! at most one long-lived connection, which is opened on demand and carries
//!
//! - one stream in each direction with one-way [`PeerMessage`]s, ordered and batched;
//! - a short stream for each [`PeerCall`] and its [`PeerReply`];
//! - a long-lived stream for each forwarded request or reconnect, a [`PeerStream`];
//! - unreliable datagrams with the probes and gossip of membership (`oleander-membership`).
//!
//! Messages carry a kind number and a length, so an older program skips and counts the kinds that
//! it does not know. docs/PEERS.md describes the wire format.

mod call;
mod certs;
mod codec;
mod core;
mod counters;
mod driver;
mod endpoint;
mod error;
mod link;
mod message;
mod peering;
mod settings;
mod stream;
mod tls;

pub use certs::{CertificateAuthority, NodeFiles};
pub use codec::{
    CodecError, DecodedMessage, FrameBuffer, MAX_FRAME_BODY, ProtocolRange, ProtocolVersion,
    encode_message,
};
pub use counters::{KindCount, PeerCounters, TrafficCount};
pub use endpoint::PeerEndpoint;
pub use error::{PeerError, PeerResult};
pub use message::{
    BackendCacheEvents, BackendReport, MessageKind, PeerCall, PeerHandler, PeerMessage, PeerReply,
    StreamOpen,
};
pub use oleander_membership::{
    CentreView, ListedVm, Member, MemberState, MemberView, MembershipSettings,
};
pub use settings::{PeerSettings, TlsFiles};
pub use stream::{PeerReceiver, PeerSender, PeerStream};
