//! The guard's answers to a request whose key or token was used before.

use oleander_base::prelude::*;

use crate::answer::KeptResult;
use crate::guard::{Admission, Refusal, RefuseReason, RepeatAnswer};
use crate::token::TokenError;

/// Describes what is known of earlier requests with the same key or token.
pub(crate) enum RepeatState {
    Busy(RequestId),
    Decided(Box<Admission>),
}

impl From<Admission> for RepeatState {
    fn from(admission: Admission) -> Self {
        Self::Decided(Box::new(admission))
    }
}

impl From<Refusal> for RepeatState {
    fn from(refusal: Refusal) -> Self {
        Admission::Refuse(refusal).into()
    }
}

pub(crate) fn still_running_refusal(earlier: RequestId) -> Refusal {
    let reason = RefuseReason::StillRunning;
    Refusal::of_all(Verdict::MayHaveRun, reason, Some(earlier)).with_retry(Span::from_secs(1))
}

pub(crate) fn kept_admission(result: KeptResult) -> Admission {
    let request = result.request;
    match result.answer {
        Some(answer) => Admission::Answer(RepeatAnswer { request, answer }),
        None => {
            let reason = RefuseReason::AlreadyEnded;
            Admission::Refuse(Refusal::of_all(result.verdict, reason, Some(request)))
        }
    }
}

pub(crate) fn token_refuse_reason(error: TokenError) -> RefuseReason {
    match error {
        TokenError::Malformed => RefuseReason::TokenMalformed,
        TokenError::Forged => RefuseReason::TokenForged,
        TokenError::ForeignCustomer => RefuseReason::TokenForeignCustomer,
    }
}
