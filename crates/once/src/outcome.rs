//! The decisions and outcomes of a claim table, and its bounds.

use oleander_base::prelude::*;

use crate::answer::KeptResult;
use crate::route::NotWritten;

/// Holds the bounds of a claim table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TableLimits {
    /// How long after the arrival of the claiming request a request may be sent under the claim.
    pub send_limit: Span,
    /// How long a record is kept; at least the retention of `ClaimSettings`.
    pub retention: Span,
    /// The maximum number of records.
    pub records: usize,
    /// The maximum size of all kept results, in bytes.
    pub kept_bytes: usize,
    /// The maximum size of a kept answer, in bytes.
    pub answer_bytes: usize,
}

/// Tells how to proceed with a keyed request, from the table alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claim the key in the log under this request's id, and pass the reply to `resolve`.
    Claim,
    /// Run under a claim that this instance already owns.
    Run {
        /// When the claiming request arrived, from which the send limit counts.
        claimed: MonoTime,
    },
    /// An earlier request is claiming the key or running.
    Busy(RequestId),
    /// An earlier request ended and its result is kept.
    Done(KeptResult),
    /// An earlier request ended, and only its verdict is known.
    Ended {
        /// The earlier request.
        request: RequestId,
        /// Its verdict.
        verdict: Verdict,
    },
    /// The body differs from the one that the key was claimed with.
    BodyMismatch,
    /// The claim or the request is too old for a send; nothing ran under the claim.
    Expired,
    /// The table is full of records that must not be evicted.
    Full,
}

/// Describes the outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This instance owns the key, and the request runs under the claim.
    Run {
        /// When the claiming request arrived, from which the send limit counts.
        claimed: MonoTime,
    },
    /// Another request claimed the key before; the instance that accepted it knows its state.
    Repeat {
        /// The request that holds the claim.
        holder: RequestId,
    },
    /// A request of this instance holds the claim, but the table no longer records it.
    Forgotten {
        /// The request that holds the claim.
        holder: RequestId,
    },
    /// The body differs from the one that the key was claimed with.
    BodyMismatch,
    /// This instance owns the claim, which is too old for a send; nothing ran under it.
    Expired,
    /// The claim is not in the log and will not be.
    NotWritten(NotWritten),
    /// The claim may be in the log; this request is not sent.
    Unresolved,
}
