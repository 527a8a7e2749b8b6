//! What the guard answers to a request whose key or token was used before.

use oleander_base::prelude::*;

use crate::answer::KeptResult;
use crate::guard::{Admission, Refusal, RefuseReason, RepeatAnswer};
use crate::token::TokenFault;

/// What is known of an earlier request with the same key or token.
pub(crate) enum Repeat {
    Busy(RequestId),
    Settled(Box<Admission>),
}

impl From<Admission> for Repeat {
    fn from(admission: Admission) -> Self {
        Self::Settled(Box::new(admission))
    }
}

impl From<Refusal> for Repeat {
    fn from(refusal: Refusal) -> Self {
        Admission::Refuse(refusal).into()
    }
}

pub(crate) fn still_running(earlier: RequestId) -> Refusal {
    let reason = RefuseReason::StillRunning;
    Refusal::of_all(Verdict::MayHaveRun, reason, Some(earlier)).with_retry(Span::from_secs(1))
}

pub(crate) fn repeat_of(result: KeptResult) -> Admission {
    let request = result.request;
    match result.answer {
        Some(answer) => Admission::Answer(RepeatAnswer { request, answer }),
        None => {
            let reason = RefuseReason::AlreadyEnded;
            Admission::Refuse(Refusal::of_all(result.verdict, reason, Some(request)))
        }
    }
}

pub(crate) fn fault_reason(fault: TokenFault) -> RefuseReason {
    match fault {
        TokenFault::Malformed => RefuseReason::TokenMalformed,
        TokenFault::Forged => RefuseReason::TokenForged,
        TokenFault::ForeignCustomer => RefuseReason::TokenForeignCustomer,
    }
}
