//! What a claim book says, and its bounds.

use oleander_base::prelude::*;

use crate::answer::KeptResult;
use crate::route::NotWritten;

/// Bounds of a claim book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TableLimits {
    /// How long after its arrival a claiming request may be sent.
    pub send_limit: Span,
    /// How long a record is kept; at least the retention of the log.
    pub retention: Span,
    /// The most records.
    pub records: usize,
    /// Memory for kept results, in bytes.
    pub kept_bytes: usize,
    /// The largest answer that is kept, in bytes.
    pub answer_bytes: usize,
}

/// What the owner does with a request before any claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Claims the key in the log under this request's id, and reports the reply to `settle`.
    Claim,
    /// Runs under a claim that is already ours, until this age of the claim.
    Run {
        /// When the claiming request arrived.
        claimed: MonoTime,
    },
    /// An earlier request is claiming or running.
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
    /// The body differs from the one claimed for.
    BodyMismatch,
    /// The claim is ours and too old for a send; nothing ran under it.
    Expired,
    /// The book is full of records that cannot go.
    Full,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is ours, and this request runs under it.
    Run {
        /// When the claiming request arrived.
        claimed: MonoTime,
    },
    /// Another request claimed the key before; its home knows the rest.
    Repeat {
        /// The request that holds the claim.
        holder: RequestId,
    },
    /// The claim is of this instance, which no longer knows what it did.
    Forgotten {
        /// The request that holds the claim.
        holder: RequestId,
    },
    /// The body differs from the one claimed for.
    BodyMismatch,
    /// The claim is ours and too old for a send; nothing ran under it.
    Expired,
    /// No claim of this request is or will be in the log.
    NotWritten(NotWritten),
    /// The claim may be in the log; this request will not be sent.
    Unresolved,
}
