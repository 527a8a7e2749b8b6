//! The messages, calls and streams between peers, and their handler.
//!
//! Payloads that another crate defines are opaque bytes with a kind of their own.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use oleander_base::prelude::*;
use oleander_base::{
    CacheEvent, GrantNotice, HeldGrant, LoadReport, PoolHolding, ProgressNotice, ReleaseNotice,
    ShedNotice, WithdrawNotice,
};
use oleander_membership::MemberView;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::stream::PeerStream;

/// A load report of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The backend server.
    pub backend: BackendId,
    /// The load report.
    pub report: LoadReport,
}

/// Prefix-cache events of one backend server, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCacheEvents {
    /// The backend server.
    pub backend: BackendId,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// A one-way message, which is reliable and ordered while its connection is open.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// Entry VM to dispatcher: tickets to queue.
    Offer(Vec<Ticket>),
    /// Entry VM to dispatcher: tickets to remove from the queue.
    Withdraw(Vec<WithdrawNotice>),
    /// Entry VM to dispatcher: slots that are free again.
    Release(Vec<ReleaseNotice>),
    /// Entry VM to dispatcher: slots in use.
    Held(Vec<HeldGrant>),
    /// Dispatcher to entry VM: requests that may be sent to a backend server.
    Grant(Vec<GrantNotice>),
    /// Dispatcher to entry VM: tickets that were shed.
    Shed(Vec<ShedNotice>),
    /// Summaries of pools, for spill-over between data centres.
    PoolSummaries(Bytes),
    /// A digest or delta of the records.
    Records(Bytes),
    /// Demand and shares of customers, for their limits across the fleet.
    Limits(Bytes),
    /// Load reports of backend servers.
    Report(Vec<BackendReport>),
    /// Prefix-cache events of backend servers.
    CacheEvents(Vec<BackendCacheEvents>),
    /// The status of an instance, for the operator screens.
    Status(Bytes),
    /// Entry VM to dispatcher: requests that received their first token.
    Progress(Vec<ProgressNotice>),
    /// Entry VM to entry VM: tickets whose pool the receiver of the offer does not dispatch.
    Misrouted(Vec<RequestId>),
    /// Entry VM to dispatcher: all slots that it uses, sent periodically.
    Holding(Vec<PoolHolding>),
}

/// The kind of a one-way message, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u16)]
pub enum MessageKind {
    /// [`PeerMessage::Offer`].
    Offer = 1,
    /// [`PeerMessage::Withdraw`].
    Withdraw = 2,
    /// [`PeerMessage::Release`].
    Release = 3,
    /// [`PeerMessage::Held`].
    Held = 4,
    /// [`PeerMessage::Grant`].
    Grant = 5,
    /// [`PeerMessage::Shed`].
    Shed = 6,
    /// [`PeerMessage::PoolSummaries`].
    PoolSummaries = 7,
    /// [`PeerMessage::Records`].
    Records = 8,
    /// [`PeerMessage::Limits`].
    Limits = 9,
    /// [`PeerMessage::Report`].
    Report = 10,
    /// [`PeerMessage::CacheEvents`].
    CacheEvents = 11,
    /// [`PeerMessage::Status`].
    Status = 12,
    /// [`PeerMessage::Progress`].
    Progress = 13,
    /// [`PeerMessage::Misrouted`].
    Misrouted = 14,
    /// [`PeerMessage::Holding`].
    Holding = 15,
}

impl MessageKind {
    /// All kinds in the order of their numbers, which start at 1.
    pub const ALL: [Self; 15] = [
        Self::Offer,
        Self::Withdraw,
        Self::Release,
        Self::Held,
        Self::Grant,
        Self::Shed,
        Self::PoolSummaries,
        Self::Records,
        Self::Limits,
        Self::Report,
        Self::CacheEvents,
        Self::Status,
        Self::Progress,
        Self::Misrouted,
        Self::Holding,
    ];

    /// Returns the kind with the given number, if it is known.
    pub fn from_number(number: u16) -> Option<Self> {
        let index = usize::from(number).checked_sub(1)?;
        Self::ALL.get(index).copied()
    }

    /// Returns the name that counters and dumps show.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Offer => "offer",
            Self::Withdraw => "withdraw",
            Self::Release => "release",
            Self::Held => "held",
            Self::Grant => "grant",
            Self::Shed => "shed",
            Self::PoolSummaries => "pool-summaries",
            Self::Records => "records",
            Self::Limits => "limits",
            Self::Report => "report",
            Self::CacheEvents => "cache-events",
            Self::Status => "status",
            Self::Progress => "progress",
            Self::Misrouted => "misrouted",
            Self::Holding => "holding",
        }
    }
}

impl PeerMessage {
    /// Returns the kind of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Offer(_) => MessageKind::Offer,
            Self::Withdraw(_) => MessageKind::Withdraw,
            Self::Release(_) => MessageKind::Release,
            Self::Held(_) => MessageKind::Held,
            Self::Grant(_) => MessageKind::Grant,
            Self::Shed(_) => MessageKind::Shed,
            Self::PoolSummaries(_) => MessageKind::PoolSummaries,
            Self::Records(_) => MessageKind::Records,
            Self::Limits(_) => MessageKind::Limits,
            Self::Report(_) => MessageKind::Report,
            Self::CacheEvents(_) => MessageKind::CacheEvents,
            Self::Status(_) => MessageKind::Status,
            Self::Progress(_) => MessageKind::Progress,
            Self::Misrouted(_) => MessageKind::Misrouted,
            Self::Holding(_) => MessageKind::Holding,
        }
    }
}

/// A request to a peer that expects one reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Requests the records after those that the body names.
    FetchRecords(Bytes),
    /// Requests all records in force and the other state that a new instance needs.
    FetchSnapshot(Bytes),
    /// Asks the peer to run a request with a short answer.
    ForwardRequest(Bytes),
    /// Requests the status of a request.
    RequestStatus(RequestId),
    /// Asks the peer to commit the claim of a key.
    CommitClaim(Bytes),
}

/// The reply to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// The answer, whose format the kind of call defines.
    Answer(Bytes),
    /// The reason for which the peer refused the call, which the caller counts as not run.
    Refused(String),
    /// The peer's program does not know this kind of call, or could not decode it.
    Unsupported,
}

/// The purpose of a long-lived stream, with the header that describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOpen {
    /// A caller's request that the peer is to run.
    ForwardRequest(Bytes),
    /// A caller that reconnected to read the rest of its answer.
    Reconnect(Bytes),
}

/// The handler of messages, calls and streams from peers.
///
/// Methods are called on the endpoint's threads and must not block.
pub trait PeerHandler: Send + Sync {
    /// Handles a one-way message.
    fn on_message(&self, from: InstanceId, message: PeerMessage);

    /// Handles a call and returns its reply.
    fn on_call(&self, from: InstanceId, call: PeerCall) -> BoxFuture<'static, PeerReply>;

    /// Handles a stream that a peer opened; the handler spawns its own task for it.
    fn on_stream(&self, from: InstanceId, open: StreamOpen, stream: PeerStream);

    /// Handles a new view of the fleet.
    fn on_view(&self, view: &Arc<MemberView>) {
        let _ = view;
    }

    /// Handles the notice that another instance answers at this one's address, so that peers treat
    /// this one as ended.
    fn on_superseded(&self) {}

    /// Handles the end of a pause of this process, which must not act on its earlier view until
    /// the view is current again ([`MemberView::is_current`]).
    fn on_resumed(&self, paused: Duration) {
        let _ = paused;
    }
}
