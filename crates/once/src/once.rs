//! The guard of the request path.
//!
//! It admits requests by token, by claimed key, or, without either, by the at-most-once rule of
//! the permit alone.

use std::fmt;
use std::sync::{Arc, Weak};

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::attempt::RepeatRule;
use crate::deadline::{MonoClock, PauseDetector, SendDeadline};
use crate::guard::{
    Admission, IssueError, OnceCall, OnceGuard, Refusal, RefuseReason, RequestStatus,
};
use crate::handle::{ClaimAnswer, ClaimHandle, KeyClaim};
use crate::hash::KeyHash;
use crate::ledger::{TokenDecision, TokenLedger};
use crate::outcome::{ClaimDecision, ClaimOutcome};
use crate::parts::{GuardParts, GuardSettings};
use crate::permit::{PermitBasis, PermitEnd, PermitSink, PermitTerms, RunPermit};
use crate::repeat::{RepeatState, kept_admission, still_running_refusal, token_refuse_reason};
use crate::route::NotWritten;
use crate::stats::{GuardCounters, GuardStats};
use crate::status::StatusTable;
use crate::token::TokenIssuer;

/// The maximum length of an Idempotency-Key, in bytes.
const KEY_LIMIT_BYTES: usize = 255;
/// The maximum number of tokens that one call issues.
const ISSUE_LIMIT: u32 = 1_000;

struct GuardState {
    me: InstanceId,
    clock: Arc<dyn MonoClock>,
    issuer: Option<TokenIssuer>,
    claims: ClaimHandle,
    settings: GuardSettings,
    ledger: Mutex<TokenLedger>,
    statuses: Mutex<StatusTable>,
    pauses: Mutex<PauseDetector>,
    ends: watch::Sender<()>,
    counters: GuardCounters,
}

/// Holds the token or the key that identifies repeats of a request.
#[derive(Debug, Clone, Copy)]
enum Binding<'a> {
    Token(&'a str),
    Key(KeyHash),
}

/// Guards the non-idempotent requests of an entry VM.
#[derive(Clone)]
pub struct RequestGuard {
    state: Arc<GuardState>,
}

impl fmt::Debug for RequestGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestGuard")
            .field("me", &self.state.me)
            .finish_non_exhaustive()
    }
}

impl RequestGuard {
    /// Opens the guard of an instance; must be called within a Tokio runtime.
    pub fn open(parts: GuardParts, settings: GuardSettings) -> Arc<dyn OnceGuard> {
        let now = parts.clock.now();
        let ledger = TokenLedger::new(parts.me, parts.centre, settings.ledger);
        let pauses = PauseDetector::new(settings.pause_limit, settings.pause_quiet, now);
        let state = GuardState {
            me: parts.me,
            clock: parts.clock,
            issuer: parts.issuer,
            claims: parts.claims,
            settings,
            ledger: Mutex::new(ledger),
            statuses: Mutex::new(StatusTable::new(settings.statuses)),
            pauses: Mutex::new(pauses),
            ends: watch::Sender::new(()),
            counters: GuardCounters::default(),
        };
        let state = Arc::new(state);
        tokio::spawn(watch_pauses(Arc::downgrade(&state)));
        Arc::new(Self { state })
    }

    fn permit(&self, call: &OnceCall<'_>, basis: PermitBasis, since: MonoTime) -> Admission {
        let state = &self.state;
        state.statuses.lock().start(call.request, basis);
        let limit = match basis {
            PermitBasis::Key(_) => state.claims.send_limit(),
            PermitBasis::Unbound | PermitBasis::Token(_) => state.settings.send_limit,
        };
        let terms = PermitTerms {
            basis,
            deadline: SendDeadline::new(since, limit),
            rule: RepeatRule::AtMostOnce,
            clock: Arc::clone(&state.clock),
            sink: Arc::clone(&self.state) as Arc<dyn PermitSink>,
        };
        Admission::Run(RunPermit::open(call.request, terms))
    }

    /// Returns whether a request may be forwarded to an instance.
    ///
    /// A request is forwarded only once, and never to an earlier process at this address.
    fn may_forward(&self, call: &OnceCall<'_>, instance: InstanceId) -> bool {
        !call.forwarded && instance.address != self.state.me.address
    }

    fn admit_token(&self, call: &OnceCall<'_>, text: &str) -> RepeatState {
        let Some(issuer) = &self.state.issuer else {
            return Refusal::not_run(RefuseReason::TokenForged, None).into();
        };
        let token = match issuer.read(text, call.customer) {
            Ok(token) => token,
            Err(error) => return Refusal::not_run(token_refuse_reason(error), None).into(),
        };
        let now = self.state.clock.now();
        let mut ledger = self.state.ledger.lock();
        let decision = ledger.begin(&token, call.body, call.request, now);
        drop(ledger);
        match decision {
            TokenDecision::Run => self
                .permit(call, PermitBasis::Token(token.serial), call.arrived)
                .into(),
            TokenDecision::Running(earlier) => RepeatState::Busy(earlier),
            TokenDecision::Done(result) => kept_admission(result).into(),
            TokenDecision::Ended(verdict) => {
                Refusal::of_all(verdict, RefuseReason::AlreadyEnded, None).into()
            }
            TokenDecision::Expired(verdict) => {
                Refusal::of_all(verdict, RefuseReason::TokenExpired, None).into()
            }
            TokenDecision::BodyMismatch(_) => {
                Refusal::not_run(RefuseReason::BodyMismatch, None).into()
            }
            TokenDecision::Foreign(issuer) if self.may_forward(call, issuer) => {
                Admission::Forward(issuer).into()
            }
            TokenDecision::Foreign(_) | TokenDecision::Gone(_) => Refusal::origin_gone(None).into(),
            TokenDecision::Unissued => Refusal::not_run(RefuseReason::TokenForged, None).into(),
        }
    }

    async fn admit_key(&self, call: &OnceCall<'_>, key: KeyHash) -> RepeatState {
        let claim = KeyClaim {
            key,
            body: call.body,
            request: call.request,
            arrived: call.arrived,
        };
        match self.state.claims.claim(claim).await {
            ClaimAnswer::Table(decision) => self.state_from_table(call, key, decision),
            ClaimAnswer::Log(outcome) => {
                // Wakes repeats that wait for this claim, so that they can claim if it failed.
                self.state.ends.send_replace(());
                self.state_from_log(call, key, outcome)
            }
        }
    }

    fn state_from_table(
        &self,
        call: &OnceCall<'_>,
        key: KeyHash,
        decision: ClaimDecision,
    ) -> RepeatState {
        match decision {
            ClaimDecision::Run { claimed } => {
                self.permit(call, PermitBasis::Key(key), claimed).into()
            }
            ClaimDecision::Busy(earlier) => RepeatState::Busy(earlier),
            ClaimDecision::Done(result) => kept_admission(result).into(),
            ClaimDecision::Ended { request, verdict } => {
                Refusal::of_all(verdict, RefuseReason::AlreadyEnded, Some(request)).into()
            }
            ClaimDecision::BodyMismatch => {
                Refusal::not_run(RefuseReason::BodyMismatch, None).into()
            }
            ClaimDecision::Expired => Refusal::not_run(RefuseReason::KeyExpired, None).into(),
            ClaimDecision::Full | ClaimDecision::Claim => {
                let retry = Some(Span::from_secs(1));
                Refusal::not_run(RefuseReason::Overloaded, retry).into()
            }
        }
    }

    fn state_from_log(
        &self,
        call: &OnceCall<'_>,
        key: KeyHash,
        outcome: ClaimOutcome,
    ) -> RepeatState {
        let retry = Some(Span::from_secs(1));
        match outcome {
            ClaimOutcome::Run { claimed } => {
                self.permit(call, PermitBasis::Key(key), claimed).into()
            }
            ClaimOutcome::Repeat { holder } if self.may_forward(call, holder.origin) => {
                Admission::Forward(holder.origin).into()
            }
            ClaimOutcome::Repeat { holder } | ClaimOutcome::Forgotten { holder } => {
                Refusal::origin_gone(Some(holder)).into()
            }
            ClaimOutcome::BodyMismatch => Refusal::not_run(RefuseReason::BodyMismatch, None).into(),
            ClaimOutcome::Expired => Refusal::not_run(RefuseReason::KeyExpired, None).into(),
            ClaimOutcome::NotWritten(NotWritten::StoreUnavailable) => {
                Refusal::not_run(RefuseReason::StoreUnavailable, retry).into()
            }
            ClaimOutcome::NotWritten(NotWritten::Overloaded) => {
                Refusal::not_run(RefuseReason::Overloaded, retry).into()
            }
            ClaimOutcome::Unresolved => Refusal::not_run(RefuseReason::ClaimTimeout, retry).into(),
        }
    }
}

impl OnceGuard for RequestGuard {
    fn admit<'a>(&'a self, call: OnceCall<'a>) -> BoxFuture<'a, Admission> {
        Box::pin(async move {
            let admission = self.decide(call).await;
            self.state.counters.count(&admission);
            admission
        })
    }

    fn issue(&self, customer: CustomerId, count: u32) -> Result<Vec<String>, IssueError> {
        let issuer = self.state.issuer.as_ref().ok_or(IssueError::NoTokenKey)?;
        if count > ISSUE_LIMIT {
            return Err(IssueError::TooMany { limit: ISSUE_LIMIT });
        }
        let now = self.state.clock.now();
        let issued = self.state.ledger.lock().issue(customer, count, now);
        let tokens = issued.map_err(|full| IssueError::Full {
            retry_after: full.retry_after,
        })?;
        self.state.counters.issued.add(u64::from(count));
        Ok(tokens.iter().map(|token| issuer.write(token)).collect())
    }

    fn lookup(&self, request: RequestId) -> Option<RequestStatus> {
        let known = self.state.statuses.lock().get(request)?;
        let Some(verdict) = known.verdict else {
            return Some(RequestStatus::Running);
        };
        let kept = match known.basis {
            PermitBasis::Unbound => None,
            PermitBasis::Token(serial) => self.state.ledger.lock().result(serial).cloned(),
            PermitBasis::Key(key) => self.state.claims.result(key),
        };
        let status = kept
            .filter(|result| result.request == request)
            .map_or(RequestStatus::Ended(verdict), RequestStatus::Kept);
        Some(status)
    }

    fn stats(&self) -> GuardStats {
        self.state.counters.read(self.state.claims.stats())
    }

    fn dump(&self) -> String {
        let running = self.state.statuses.lock().running();
        let ledger = self.state.ledger.lock().dump();
        let claims = self.state.claims.dump();
        format!("non-idempotent requests under way: {running}\n{ledger}{claims}")
    }
}

impl RequestGuard {
    async fn decide(&self, call: OnceCall<'_>) -> Admission {
        let binding = match (call.token, call.key) {
            (None, None) => return self.permit(&call, PermitBasis::Unbound, call.arrived),
            (Some(_), Some(_)) => {
                return Admission::Refuse(Refusal::not_run(RefuseReason::TokenAndKey, None));
            }
            (Some(text), None) => Binding::Token(text),
            (None, Some(key)) => match self.check_key(key) {
                Err(refusal) => return Admission::Refuse(refusal),
                Ok(()) => Binding::Key(KeyHash::of(call.customer, key)),
            },
        };
        self.wait_for_end(&call, binding).await
    }

    async fn check_binding(&self, call: &OnceCall<'_>, binding: Binding<'_>) -> RepeatState {
        match binding {
            Binding::Token(text) => self.admit_token(call, text),
            Binding::Key(key) => self.admit_key(call, key).await,
        }
    }

    fn check_key(&self, key: &str) -> Result<(), Refusal> {
        if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
            return Err(Refusal::not_run(RefuseReason::BadKey, None));
        }
        let quiet = self.state.observe_pause();
        if quiet > Span::ZERO {
            return Err(Refusal::not_run(RefuseReason::AfterPause, Some(quiet)));
        }
        Ok(())
    }

    /// Checks again after each end of a request, until the earlier request with this token or key
    /// has ended or the repeat wait is over.
    async fn wait_for_end(&self, call: &OnceCall<'_>, binding: Binding<'_>) -> Admission {
        let mut ends = self.state.ends.subscribe();
        let wait = tokio::time::sleep(self.state.settings.repeat_wait);
        tokio::pin!(wait);
        loop {
            ends.mark_unchanged();
            let earlier = match self.check_binding(call, binding).await {
                RepeatState::Decided(admission) => return *admission,
                RepeatState::Busy(earlier) => earlier,
            };
            tokio::select! {
                _ = ends.changed() => {}
                () = &mut wait => return Admission::Refuse(still_running_refusal(earlier)),
            }
        }
    }
}

impl GuardState {
    /// Records that the process runs and returns how long keyed requests must be refused.
    fn observe_pause(&self) -> Span {
        let now = self.clock.now();
        let mut pauses = self.pauses.lock();
        pauses.observe(now);
        pauses.remaining_quiet(now)
    }
}

/// Observes the clock often enough that an idle process is not taken for a paused one.
async fn watch_pauses(state: Weak<GuardState>) {
    while let Some(limit) = state.upgrade().map(|state| state.settings.pause_limit) {
        tokio::time::sleep(Span(limit.0 / 4).into()).await;
        if let Some(state) = state.upgrade() {
            let _ = state.observe_pause();
        }
    }
}

impl PermitSink for GuardState {
    fn close(&self, basis: PermitBasis, request: RequestId, end: PermitEnd) {
        self.statuses.lock().end(request, end.verdict);
        match basis {
            PermitBasis::Unbound => {}
            PermitBasis::Token(serial) => {
                let mut ledger = self.ledger.lock();
                ledger.finish(serial, end.verdict, end.answer);
            }
            PermitBasis::Key(key) => {
                self.claims.finish(key, request, end.verdict, end.answer);
            }
        }
        self.ends.send_replace(());
    }
}
