//! The messages of dispatch: what an entry VM and a pool's dispatcher tell each other.
//!
//! The entry VM keeps the request and its answer; the dispatcher holds only a [`Ticket`] for it.
//! All of a dispatcher's state can therefore be rebuilt from what the entry VMs hold
//! (docs/DESIGN.md, "One queue for each pool").

use serde::{Deserialize, Serialize};

use crate::entity::{AdapterId, BackendId, ClassId, CustomerId, PoolId, Tier};
use crate::request::RequestId;
use crate::time::Span;

/// A hash of the first part of a prompt; equal hashes can share an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

/// A request's place in a pool's queue, without the request itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The pool that is to serve it.
    pub pool: PoolId,
    /// Its request class.
    pub class: ClassId,
    /// Its tier.
    pub tier: Tier,
    /// The customer that pays for it.
    pub customer: CustomerId,
    /// How long it has waited already; a ticket that moves to another dispatcher keeps its place.
    pub waited: Span,
    /// The class's target for the first token (or the answer of a plain service), from arrival.
    pub target: Span,
    /// How long after arrival the request is given up.
    pub patience: Span,
    /// The size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The largest answer that the caller allows, in tokens.
    pub answer_limit: u32,
    /// The hash of the prompt's first part, if affinity is worthwhile.
    pub prefix: Option<PrefixHash>,
    /// The adapter that the engine must have loaded.
    pub adapter: Option<AdapterId>,
    /// A backend server that failed this request before.
    pub avoid: Option<BackendId>,
    /// Whether the ticket came from another data centre; such a ticket never moves again.
    pub spilled: bool,
}

/// The dispatcher's leave to send one request to one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// The request.
    pub request: RequestId,
    /// The backend server that has a slot for it.
    pub backend: BackendId,
}

/// Why a dispatcher gave a ticket up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShedReason {
    /// The queue was full and no queued ticket was of a lower tier.
    QueueFull,
    /// The ticket's patience ran out.
    Expired,
    /// The ticket can no longer meet its target and the pool is saturated.
    Hopeless,
    /// The pool has no backend server that may take the request.
    NoBackend,
}

/// The dispatcher's refusal of a ticket; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShedNotice {
    /// The request.
    pub request: RequestId,
    /// Why it was refused.
    pub reason: ShedReason,
    /// When the caller should come back.
    pub retry_after: Span,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The whole answer came.
    Finished,
    /// The caller left and the backend server was told to stop.
    Cancelled,
    /// The backend server failed or the connection broke.
    Failed,
    /// The backend server refused the request before it ran.
    Refused,
}

/// The entry VM's report that a granted slot is free again, with what was seen.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNotice {
    /// The request.
    pub request: RequestId,
    /// The pool of the backend server.
    pub pool: PoolId,
    /// The backend server that served it.
    pub backend: BackendId,
    /// How it ended.
    pub end: EndKind,
    /// Time from the send to the first token, if one came.
    pub first_token: Option<Span>,
    /// Time from the send to the end.
    pub total: Span,
    /// Tokens (or bytes of a plain service's answer) that were received.
    pub tokens: u32,
}

/// A grant that an entry VM holds when a new dispatcher takes over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// The backend server that serves it.
    pub backend: BackendId,
    /// How long ago it was granted.
    pub age: Span,
}

/// An entry VM's word that the first token of a granted request came.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ProgressNotice {
    /// The request.
    pub request: RequestId,
    /// The pool.
    pub pool: PoolId,
    /// The backend server that serves it.
    pub backend: BackendId,
    /// Time from the send to the first token.
    pub first_token: Span,
}

/// All slots of one pool that an entry VM uses, by the serial numbers of its requests.
///
/// The dispatcher frees slots that are not in the list, whose release was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolHolding {
    /// The pool.
    pub pool: PoolId,
    /// The requests, which all have the sender as their home.
    pub serials: Vec<u64>,
}

/// An entry VM's word that a ticket, or the slot it got, is not needed any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawNotice {
    /// The request.
    pub request: RequestId,
    /// The pool.
    pub pool: PoolId,
}
