//! Messages between an entry VM and a pool's dispatcher.
//!
//! The entry VM keeps the request and its answer; the dispatcher holds only a [`Ticket`] for it.
//! A dispatcher's state can therefore be rebuilt from the state of the entry VMs
//! (docs/DESIGN.md, "One queue for each pool").

use serde::{Deserialize, Serialize};

use crate::entity::{AdapterId, BackendId, ClassId, CustomerId, PoolId, Tier};
use crate::request::RequestId;
use crate::request_digest::RequestDigest;
use crate::time::Span;

/// The hash of a prompt's first part; prompts with equal hashes can share an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

/// An entry in a pool's queue that stands for a request without carrying it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: RequestId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Its request class.
    pub class: ClassId,
    /// Its tier.
    pub tier: Tier,
    /// The customer that pays for it.
    pub customer: CustomerId,
    /// The time it has waited so far, which a ticket keeps when it moves to another dispatcher.
    pub waited: Span,
    /// The class's target for the time from arrival to the first token, or to the answer of a plain
    /// service.
    pub target: Span,
    /// The queue timeout, counted from arrival.
    pub patience: Span,
    /// The size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The largest answer that the caller allows, in tokens.
    pub answer_limit: u32,
    /// The hash of the prompt's first part, if cache affinity is worthwhile.
    pub prefix: Option<PrefixHash>,
    /// The adapter that the engine must have loaded.
    pub adapter: Option<AdapterId>,
    /// A backend server on which an earlier attempt of this request failed.
    pub avoid: Option<BackendId>,
    /// Whether the ticket spilled over from another data centre; such a ticket isn't moved again.
    pub spilled: bool,
    /// The digest of the caller's request, the same for all repeats.
    pub digest: RequestDigest,
}

/// The dispatcher's permission to send one request to one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// The request.
    pub request: RequestId,
    /// The backend server that has a slot for it.
    pub backend: BackendId,
}

/// The reason why a dispatcher shed a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShedReason {
    /// The queue was full and no queued ticket was of a lower tier.
    QueueFull,
    /// The ticket's queue timeout passed.
    Expired,
    /// The ticket can no longer meet its target and the pool is saturated.
    Hopeless,
    /// The pool has no backend server that may serve the request.
    NoBackend,
    /// The request has crashed backend servers.
    Quarantined,
}

/// Tells the entry VM that a ticket was shed; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShedNotice {
    /// The request.
    pub request: RequestId,
    /// The reason for the refusal.
    pub reason: ShedReason,
    /// The time after which the caller should retry.
    pub retry_after: Span,
}

/// The outcome of one use of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndKind {
    /// The whole answer was received.
    Finished,
    /// The caller disconnected and the request was cancelled at the backend server.
    Cancelled,
    /// The backend server failed or the connection broke.
    Failed,
    /// The backend server refused the request before it ran.
    Refused,
    /// The backend server's process ended while it had the request.
    Crashed,
}

/// The entry VM's report that a granted slot is free again, with the measurements of its use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNotice {
    /// The request.
    pub request: RequestId,
    /// The pool of the backend server.
    pub pool: PoolId,
    /// The backend server that served it.
    pub backend: BackendId,
    /// The outcome.
    pub end: EndKind,
    /// Time from the send to the first token, if one was received.
    pub first_token: Option<Span>,
    /// Time from the send to the end.
    pub total: Span,
    /// The number of tokens received, or of bytes for a plain service.
    pub tokens: u32,
    /// The digest of the caller's request, the same for all repeats.
    pub digest: RequestDigest,
}

/// A grant in use at an entry VM, reported to a new dispatcher at takeover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// The backend server that serves it.
    pub backend: BackendId,
    /// The time since the grant.
    pub age: Span,
}

/// An entry VM's report that the first token of a granted request was received.
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

/// All slots of one pool that an entry VM uses, identified by the serial numbers of its requests.
///
/// The dispatcher frees the VM's slots that are missing from the list, because their release
/// message was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolHolding {
    /// The pool.
    pub pool: PoolId,
    /// The serial numbers of the requests; the sender is the origin of all of them.
    pub serials: Vec<u64>,
}

/// An entry VM's message that a ticket, or the slot granted for it, is no longer needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawNotice {
    /// The request.
    pub request: RequestId,
    /// The pool.
    pub pool: PoolId,
}
