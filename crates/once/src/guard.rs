//! The border: what the request path asks before it runs a non-idempotent request.

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;
use thiserror::Error;

use crate::answer::{KeptAnswer, KeptResult};
use crate::hash::BodyHash;
use crate::permit::RunPermit;
use crate::stats::GuardStats;

/// A non-idempotent request as it reached this entry VM.
#[derive(Debug, Clone, Copy)]
pub struct OnceCall<'a> {
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The id that this entry VM gave it; every call gets its own.
    pub request: RequestId,
    /// When it arrived; a forwarded request arrived as long ago as its age says.
    pub arrived: MonoTime,
    /// The hash of its method, path and body.
    pub body: BodyHash,
    /// The token header.
    pub token: Option<&'a str>,
    /// The Idempotency-Key header.
    pub key: Option<&'a str>,
    /// Whether another entry VM sent it here; such a request is never forwarded again.
    pub forwarded: bool,
}

/// What the request path does with the request.
#[derive(Debug)]
pub enum Admission {
    /// Runs it under this permit.
    Run(RunPermit),
    /// Sends it to the instance that decides; [`Refusal::origin_gone`] if that is not reachable.
    Forward(InstanceId),
    /// Answers it with the kept answer of an earlier request.
    Answer(RepeatAnswer),
    /// Refuses it with a verdict.
    Refuse(Refusal),
}

/// The kept answer of an earlier request with the same key or token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeatAnswer {
    /// The request that ran.
    pub request: RequestId,
    /// Its answer.
    pub answer: KeptAnswer,
}

/// What a refusal's verdict covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictScope {
    /// Only the refused request; others with the same key may have run.
    ThisRequest,
    /// Every request with this key or token so far.
    AllRequests,
}

impl VerdictScope {
    /// Returns the word that callers see beside the verdict.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ThisRequest => "this-request",
            Self::AllRequests => "all-requests",
        }
    }
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RefuseReason {
    /// The token's text is no token.
    #[error("the token is malformed")]
    TokenMalformed,
    /// The token's signature is not ours.
    #[error("the token is forged")]
    TokenForged,
    /// The token is of another customer.
    #[error("the token belongs to another customer")]
    TokenForeignCustomer,
    /// The token expired.
    #[error("the token has expired")]
    TokenExpired,
    /// The instance that knows is gone, or cannot be reached.
    #[error("the instance that holds the request is gone or out of reach")]
    OriginGone,
    /// An earlier request with the same key or token is under way.
    #[error("an earlier request with the same key or token is still running")]
    StillRunning,
    /// An earlier request ended and its answer is not kept.
    #[error("an earlier request with the same key or token has ended")]
    AlreadyEnded,
    /// Another body came with the same key or token.
    #[error("another body was sent with the same key or token")]
    BodyMismatch,
    /// The key was claimed too long ago to be used for a send.
    #[error("the key was claimed too long ago")]
    KeyExpired,
    /// The platform's key-value service does not answer.
    #[error("the key-value service is away")]
    StoreUnavailable,
    /// The claim was not settled in time.
    #[error("the claim was not settled in time")]
    ClaimTimeout,
    /// Too many claims are waiting or kept.
    #[error("too many claims")]
    Overloaded,
    /// The process was paused for long; requests of before may still be in its sockets.
    #[error("this entry VM was paused and is not yet sure of its requests' age")]
    AfterPause,
    /// The request carries both a token and a key.
    #[error("a request takes a token or a key, not both")]
    TokenAndKey,
    /// The key is empty or too long.
    #[error("the idempotency key is empty or too long")]
    BadKey,
}

/// A refusal with its verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether a request may have run.
    pub verdict: Verdict,
    /// What the verdict covers.
    pub scope: VerdictScope,
    /// Why.
    pub reason: RefuseReason,
    /// When a repeat is worthwhile, if it is at all.
    pub retry_after: Option<Span>,
    /// The earlier request to ask for, if it is known.
    pub earlier: Option<RequestId>,
}

impl Refusal {
    /// Refuses a request that did not run and about whose earlier ones nothing is said.
    pub fn not_run(reason: RefuseReason, retry_after: Option<Span>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            scope: VerdictScope::ThisRequest,
            reason,
            retry_after,
            earlier: None,
        }
    }

    /// Refuses a request with the verdict of all with its key or token.
    pub fn of_all(verdict: Verdict, reason: RefuseReason, earlier: Option<RequestId>) -> Self {
        Self {
            verdict,
            scope: VerdictScope::AllRequests,
            reason,
            retry_after: None,
            earlier,
        }
    }

    /// Refuses a request whose home instance is gone or out of reach.
    pub fn origin_gone(earlier: Option<RequestId>) -> Self {
        Self::of_all(Verdict::MayHaveRun, RefuseReason::OriginGone, earlier)
    }

    /// Adds when a repeat is worthwhile.
    #[must_use]
    pub fn with_retry(mut self, retry_after: Span) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// What is known of a request that this instance admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestStatus {
    /// It is under way and may have run.
    Running,
    /// It ended with this verdict.
    Ended(Verdict),
    /// It ended and its result is kept.
    Kept(KeptResult),
}

/// Tokens cannot be issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IssueError {
    /// The settings hold no token key.
    #[error("no token key is set")]
    NoTokenKey,
    /// More tokens were asked for than one call gives.
    #[error("at most {limit} tokens are issued at a time")]
    TooMany {
        /// The most that one call gives.
        limit: u32,
    },
    /// The ledger is full.
    #[error("the token ledger is full; try again in {retry_after}")]
    Full {
        /// When to try again.
        retry_after: Span,
    },
}

/// Sees to it that a non-idempotent request takes effect at most once.
pub trait OnceGuard: Send + Sync {
    /// Decides on a request.
    fn admit<'a>(&'a self, call: OnceCall<'a>) -> BoxFuture<'a, Admission>;

    /// Issues tokens in their text form.
    fn issue(&self, customer: CustomerId, count: u32) -> Result<Vec<String>, IssueError>;

    /// Returns what is known of a request of this instance, or none if it is not remembered.
    fn lookup(&self, request: RequestId) -> Option<RequestStatus>;

    /// Returns the guard's counters.
    fn stats(&self) -> GuardStats;

    /// Returns the guard's state as text.
    fn dump(&self) -> String;
}
