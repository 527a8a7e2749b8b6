//! The interface that the request path calls before it runs a non-idempotent request.

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;
use thiserror::Error;

use crate::answer::{KeptAnswer, KeptResult};
use crate::hash::BodyHash;
use crate::permit::RunPermit;
use crate::stats::GuardStats;

/// Describes a non-idempotent request as it reached this entry VM.
#[derive(Debug, Clone, Copy)]
pub struct OnceCall<'a> {
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The id that this entry VM assigned; every call has its own.
    pub request: RequestId,
    /// When it arrived; for a forwarded request, the present time less the age that it was
    /// forwarded with.
    pub arrived: MonoTime,
    /// The hash of its method, path and body.
    pub body: BodyHash,
    /// The token header.
    pub token: Option<&'a str>,
    /// The Idempotency-Key header.
    pub key: Option<&'a str>,
    /// Whether another entry VM forwarded it; such a request is never forwarded again.
    pub forwarded: bool,
}

/// Tells the request path how to proceed with a request.
#[derive(Debug)]
pub enum Admission {
    /// Run it under this permit.
    Run(RunPermit),
    /// Forward it to the instance that decides, or answer with [`Refusal::origin_gone`] if that
    /// instance is unreachable.
    Forward(InstanceId),
    /// Answer it with the kept answer of an earlier request.
    Answer(RepeatAnswer),
    /// Refuse it with a verdict.
    Refuse(Refusal),
}

/// Holds the kept answer of an earlier request with the same key or token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RepeatAnswer {
    /// The request that ran.
    pub request: RequestId,
    /// Its answer.
    pub answer: KeptAnswer,
}

/// Names the requests that a refusal's verdict covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictScope {
    /// Only the refused request; others with the same key or token may have run.
    ThisRequest,
    /// Every request with this key or token so far.
    AllRequests,
}

impl VerdictScope {
    /// Returns the text that callers see beside the verdict.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ThisRequest => "this-request",
            Self::AllRequests => "all-requests",
        }
    }
}

/// Lists the reasons for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RefuseReason {
    /// The text is not a token.
    #[error("the token is malformed")]
    TokenMalformed,
    /// The token is signed with none of the configured keys, or this instance never issued it.
    #[error("the token is forged")]
    TokenForged,
    /// The token belongs to another customer.
    #[error("the token belongs to another customer")]
    TokenForeignCustomer,
    /// The token has expired.
    #[error("the token has expired")]
    TokenExpired,
    /// The instance that issued the token or owns the claim is gone or unreachable.
    #[error("the instance that holds the request is gone or out of reach")]
    OriginGone,
    /// An earlier request with the same key or token is still running.
    #[error("an earlier request with the same key or token is still running")]
    StillRunning,
    /// An earlier request ended and its answer is not kept.
    #[error("an earlier request with the same key or token has ended")]
    AlreadyEnded,
    /// Another body was sent with the same key or token.
    #[error("another body was sent with the same key or token")]
    BodyMismatch,
    /// The key was claimed too long ago for a send.
    #[error("the key was claimed too long ago")]
    KeyExpired,
    /// The platform's key-value store is unavailable.
    #[error("the key-value service is away")]
    StoreUnavailable,
    /// The outcome of the claim was not known in time.
    #[error("the claim was not settled in time")]
    ClaimTimeout,
    /// Too many claims are queued or recorded.
    #[error("too many claims")]
    Overloaded,
    /// The process was paused for a long time, and its sockets may still hold requests from before.
    #[error("this entry VM was paused and is not yet sure of its requests' age")]
    AfterPause,
    /// The request carries both a token and a key.
    #[error("a request takes a token or a key, not both")]
    TokenAndKey,
    /// The key is empty or too long.
    #[error("the idempotency key is empty or too long")]
    BadKey,
}

/// Holds the verdict and the reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether a request may have run.
    pub verdict: Verdict,
    /// What the verdict covers.
    pub scope: VerdictScope,
    /// Why the request was refused.
    pub reason: RefuseReason,
    /// How long the caller should wait before it repeats the request, if a repeat is worthwhile.
    pub retry_after: Option<Span>,
    /// The earlier request, whose status the caller can look up, if it is known.
    pub earlier: Option<RequestId>,
}

impl Refusal {
    /// Returns the refusal of a request that did not run; it says nothing about earlier requests.
    pub fn not_run(reason: RefuseReason, retry_after: Option<Span>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            scope: VerdictScope::ThisRequest,
            reason,
            retry_after,
            earlier: None,
        }
    }

    /// Returns a refusal whose verdict covers every request with the same key or token.
    pub fn of_all(verdict: Verdict, reason: RefuseReason, earlier: Option<RequestId>) -> Self {
        Self {
            verdict,
            scope: VerdictScope::AllRequests,
            reason,
            retry_after: None,
            earlier,
        }
    }

    /// Returns the refusal of a request whose deciding instance is gone or unreachable.
    pub fn origin_gone(earlier: Option<RequestId>) -> Self {
        Self::of_all(Verdict::MayHaveRun, RefuseReason::OriginGone, earlier)
    }

    /// Sets how long the caller should wait before a repeat.
    #[must_use]
    pub fn with_retry(mut self, retry_after: Span) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

/// Describes a request that this instance admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestStatus {
    /// It is running and may have taken effect.
    Running,
    /// It ended with this verdict.
    Ended(Verdict),
    /// It ended and its result is kept.
    Kept(KeptResult),
}

/// Lists the reasons why tokens cannot be issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IssueError {
    /// No token key is configured.
    #[error("no token key is set")]
    NoTokenKey,
    /// More tokens were requested than one call issues.
    #[error("at most {limit} tokens are issued at a time")]
    TooMany {
        /// The maximum number of tokens that one call issues.
        limit: u32,
    },
    /// The ledger is full.
    #[error("the token ledger is full; try again in {retry_after}")]
    Full {
        /// How long to wait before the next try.
        retry_after: Span,
    },
}

/// Ensures that a non-idempotent request takes effect at most once.
pub trait OnceGuard: Send + Sync {
    /// Decides whether a request runs, is forwarded, is answered or is refused.
    fn admit<'a>(&'a self, call: OnceCall<'a>) -> BoxFuture<'a, Admission>;

    /// Issues `count` tokens to a customer and returns their text form.
    fn issue(&self, customer: CustomerId, count: u32) -> Result<Vec<String>, IssueError>;

    /// Returns the status of a request that this instance admitted, or none if it is not recorded.
    fn lookup(&self, request: RequestId) -> Option<RequestStatus>;

    /// Returns the guard's counters.
    fn stats(&self) -> GuardStats;

    /// Returns the guard's state as text for diagnostics.
    fn dump(&self) -> String;
}
