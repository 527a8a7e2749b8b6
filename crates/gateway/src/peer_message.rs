//! The datagrams that gateways send to each other.

use oleander_balance::{
    LeaseEnd, LeaseId, LeaseReply, StreamId, StreamOrigin, SuspectRecord, VersionId, VersionSpan,
};
use serde::{Deserialize, Serialize};

use crate::memory::MemoryMessage;

/// The longest datagram, in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The room for the records of one datagram, in bytes; the rest is for what encloses them.
pub(crate) const MAX_RECORD_BYTES: usize = MAX_DATAGRAM_BYTES - 20;

/// The version of the format. Datagrams of other versions are ignored, as are those of a kind that this version
/// does not know: a new kind goes to the end of [`PeerMessage`] and leaves the version as it is.
const FORMAT_VERSION: u8 = 6;

/// One message between gateways.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// What the sender knows of the load and the failures of backend servers.
    Load(LoadMessage),
    /// Where streams began.
    Origins(Vec<StreamOrigin>),
    /// Asks where a stream began.
    OriginQuery(OriginQuery),
    /// Answers an [`OriginQuery`].
    OriginReply(OriginReply),
    /// Which requests and parts of prompts have crashed backend servers.
    Suspects(Vec<SuspectRecord>),
    /// The limits that backend servers have named.
    RateLimits(Vec<RateLimitRecord>),
    /// The brittle backend servers.
    Brittle(Vec<BrittleRecord>),
    /// Leases on the slots of brittle backend servers.
    Slots(SlotMessage),
    /// The requests that began at the sender, for the usage reports.
    Usage(UsageBatch),
    /// The pace of backend servers that are slow now.
    Paces(Vec<PaceRecord>),
    /// The memory of model engines, and leases on it.
    Memory(MemoryMessage),
}

impl PeerMessage {
    /// Returns the name of its kind in the metrics.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Load(_) => "load",
            Self::Origins(_) | Self::OriginQuery(_) | Self::OriginReply(_) => "origins",
            Self::Suspects(_) => "suspects",
            Self::RateLimits(_) => "rates",
            Self::Brittle(_) => "brittle",
            Self::Slots(_) => "slots",
            Self::Usage(_) => "usage",
            Self::Paces(_) => "paces",
            Self::Memory(_) => "memory",
        }
    }
}

/// The newest load reports and failures.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    pub(crate) reports: Vec<LoadRecord>,
    pub(crate) downs: Vec<DownRecord>,
}

/// The load of one backend server.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LoadRecord {
    /// The hash of the backend server's id.
    pub(crate) id_hash: u64,
    pub(crate) age_ms: u16,
    pub(crate) running: u16,
    pub(crate) waiting: u16,
}

/// A backend server that was found to be down.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DownRecord {
    /// The hash of the backend server's id.
    pub(crate) id_hash: u64,
    pub(crate) age_ms: u16,
}

/// The limit that a backend server last named.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct RateLimitRecord {
    /// The hash of the backend server's id.
    pub(crate) id_hash: u64,
    /// The age of the answer that says so.
    pub(crate) age_ms: u32,
    /// Requests a second; absent if there is no limit any longer.
    pub(crate) per_s: Option<f64>,
}

/// The pace that a backend server reported.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct PaceRecord {
    /// The hash of the backend server's id.
    pub(crate) id_hash: u64,
    /// The age of the answer that says so.
    pub(crate) age_ms: u16,
    /// The time that work takes there, in percent of the usual time.
    pub(crate) percent: u16,
}

/// A brittle backend server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct BrittleRecord {
    /// The hash of the backend server's id.
    pub(crate) id_hash: u64,
    /// The rejections in a second that it survives.
    pub(crate) threshold: u32,
    /// The age of the answer that says so.
    pub(crate) age_ms: u32,
    /// The time since it last turned a request away.
    pub(crate) rejected_age_ms: Option<u32>,
}

/// A message about leases on the slots of brittle backend servers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// Asks an owner of the slots for a lease.
    Ask {
        /// The hash of the backend server's id.
        backend: u64,
        lease: LeaseId,
        urgency: u8,
        /// How long the request may wait for a slot.
        wait_ms: u16,
        /// The number of slots as known to the gateway that asks.
        slots: u32,
    },
    /// Answers an ask.
    Reply { lease: LeaseId, reply: LeaseReply },
    /// Tells an owner that leases have ended.
    Ended(Vec<EndedLease>),
    /// Tells an owner that leases are still held.
    Renew(Vec<LeaseRenewal>),
}

/// A lease that has ended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct EndedLease {
    /// The hash of the backend server's id.
    pub(crate) backend: u64,
    pub(crate) lease: LeaseId,
    pub(crate) end: LeaseEnd,
}

/// A lease that is still held.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct LeaseRenewal {
    /// The hash of the backend server's id.
    pub(crate) backend: u64,
    pub(crate) lease: LeaseId,
}

/// Requests that began at the sender.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UsageBatch {
    /// A random number that names the sender's process.
    pub(crate) incarnation: u64,
    /// The index of the first event among all of the process.
    pub(crate) first: u64,
    /// The customers of the events.
    pub(crate) names: Vec<String>,
    pub(crate) events: Vec<UsageRecord>,
}

/// A request that began.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct UsageRecord {
    /// The index of the customer's name.
    pub(crate) customer: u8,
    pub(crate) age_ms: u32,
}

/// Asks where a stream of a service began.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    /// Names the query in its replies.
    pub(crate) nonce: u64,
    pub(crate) stream: StreamId,
    pub(crate) service: String,
}

/// What one gateway knows of a stream and of the versions of its service.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OriginReply {
    pub(crate) nonce: u64,
    pub(crate) origin: Option<VersionId>,
    pub(crate) versions: VersionSpan,
}

#[derive(Debug, Serialize, Deserialize)]
struct PeerDatagram {
    format: u8,
    message: PeerMessage,
}

/// Encodes a message as a datagram.
pub(crate) fn encode(message: PeerMessage) -> Vec<u8> {
    let datagram = PeerDatagram {
        format: FORMAT_VERSION,
        message,
    };
    postcard::to_allocvec(&datagram).expect("messages always serialize")
}

/// Decodes a datagram. `None` means that it is of another format or does not come from a gateway.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let datagram: PeerDatagram = postcard::from_bytes(bytes).ok()?;
    (datagram.format == FORMAT_VERSION).then_some(datagram.message)
}
