//! Relays a request to another gateway, which sends it to a backend server.
//!
//! A gateway that is cut off from all backend servers still reaches its callers and other gateways. The
//! other gateway serves the request like one of its own callers' and never relays it further. Its answers
//! tell what a backend server's would: one with the signature is the backend server's own, and
//! `oleander_balance::RelayOutcome` reads from all others whether the request may have run (docs/PLATFORM.md,
//! "Cut off from backend servers").

use std::cell::Cell;
use std::sync::Arc;

use oleander_balance::{RelayEvidence, RelayOutcome};
use serde::Serialize;

use super::attempt::{SendTarget, Step};
use super::wait::WaitOutcome;
use super::{MIN_SEND_TIME, RequestRun};
use crate::core::SendGuard;
use crate::exchange::{Exchange, SendError, SendPlan};
use crate::log_line::LineKind;
use crate::port::RelayHeaders;
use crate::prelude::*;
use crate::relay_targets::RelayTarget;

/// The greatest number of gateways that one request is relayed to.
const MAX_RELAYS: usize = 3;

#[derive(Debug, Serialize)]
struct RelayFields<'a> {
    id: &'a str,
    gateway: &'a str,
    service: &'a str,
    left_ms: f64,
    resume_from: Option<u64>,
}

/// Returns what another gateway's answer says about a relayed request.
fn relay_evidence(answer: &Exchange) -> RelayEvidence {
    let facts = &answer.facts;
    RelayEvidence {
        status: answer.head.status,
        is_signed: facts.is_signed,
        is_not_run: facts.is_not_run,
        verdict: facts.relay_verdict,
        is_cut_off: facts.is_cut_off,
    }
}

impl RequestRun<'_> {
    /// Returns whether the next send goes to another gateway.
    pub(super) fn relays(&self) -> bool {
        let is_cut_off = self.core.reach.is_cut_off() && !self.job.facts.is_relayed;
        self.began_relayed || (is_cut_off && !self.has_no_relay)
    }

    /// Makes one attempt through another gateway.
    pub(super) async fn relay(&mut self) -> Step {
        if self.time_left() < MIN_SEND_TIME {
            return Step::GiveUp("no time left");
        }
        if let Err(reason) = self.check_relayed_suspects() {
            return Step::GiveUp(reason);
        }
        let Some(gateway) = self.pick_gateway() else {
            self.has_no_relay = true;
            return match self.began_relayed {
                true => Step::GiveUp("no gateway can go on with the stream"),
                false => Step::TryAgain,
            };
        };
        if self.sends > 0 && !self.core.take_retry(&self.job.routed.service) {
            return Step::GiveUp("no retry budget");
        }
        self.relayed_to.push(Arc::clone(&gateway.name));
        self.log_relay(&gateway);
        let target = SendTarget::relay(&gateway);
        let sent_at = oleander_base::monotonic_now();
        let error = match self.wait_relay(&gateway).await {
            WaitOutcome::CallerLeft => return Step::Done(self.caller_left()),
            WaitOutcome::Completed(Ok(answer)) => {
                return self.handle_relayed(answer, &target, sent_at).await;
            }
            WaitOutcome::Completed(Err(error)) => error,
            WaitOutcome::TimedOut => SendError::TimedOut,
        };
        self.core.relays.avoid(&gateway.name);
        self.core.metrics.record_relay("not-answered");
        self.handle_send_failure(&target, &error, sent_at)
    }

    fn pick_gateway(&self) -> Option<RelayTarget> {
        if self.relayed_to.len() >= MAX_RELAYS {
            return None;
        }
        self.core.relays.pick(self.core, &self.relayed_to)
    }

    async fn wait_relay(
        &mut self,
        gateway: &RelayTarget,
    ) -> WaitOutcome<Result<Exchange, SendError>> {
        let head = self.encode_relay();
        let plan = SendPlan {
            key: None,
            address: gateway.frontend,
            method: self.job.head.method(),
            attempt_id: self.attempt_id,
            head: &head,
            body: &self.job.body,
            asked: None,
            is_written: &Cell::new(false),
        };
        let limit = self.time_left();
        self.wait_or_stop(limit, Exchange::send(self.core, &plan))
            .await
    }

    fn encode_relay(&self) -> Vec<u8> {
        let job = self.job;
        let began_here = (self.events > 0).then_some(self.attempt_id);
        let headers = RelayHeaders {
            time_left: self.time_left(),
            resume_from: self.last_event,
            resumed_attempt: job.facts.resumed_attempt.as_deref().or(began_here),
            body_len: (!job.body.is_empty() || job.head.method() == "POST")
                .then_some(job.body.len()),
        };
        let mut bytes = Vec::with_capacity(1_024);
        self.core.port.encode_relay(&job.head, &headers, &mut bytes);
        bytes
    }

    async fn handle_relayed(
        &mut self,
        answer: Exchange,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let outcome = RelayOutcome::of(&relay_evidence(&answer));
        self.core.metrics.record_relay(outcome.as_str());
        let status = answer.head.status;
        match outcome {
            RelayOutcome::Delivered => {
                self.sends += 1;
                if status >= 500 {
                    self.use_up_runs();
                }
                self.began_relayed |= self.events == 0;
                let mut guard = SendGuard::detached(self.core);
                self.handle_answer(answer, &mut guard, target, sent_at)
                    .await
            }
            RelayOutcome::Elsewhere => {
                self.core.relays.avoid(&target.id);
                self.last_problem = format!("another gateway answered {status}");
                self.record_rejection(target, sent_at);
                Step::TryAgain
            }
            RelayOutcome::Refused => {
                self.admission_delay = answer.facts.backoff;
                self.last_problem = format!("another gateway refused with {status}");
                self.record_rejection(target, sent_at);
                Step::GiveUp("another gateway refused it")
            }
            RelayOutcome::Failed => {
                self.sends += 1;
                self.use_up_runs();
                self.verdict = self.verdict.join(Verdict::MayHaveRun);
                let reason = format!("another gateway answered {status}");
                self.record_failure(target, Verdict::MayHaveRun, &reason, sent_at);
                self.after_failed_run("the backend server failed behind another gateway")
            }
        }
    }

    /// Counts all runs that the route allows: the other gateway repeats a request as often as that before it
    /// answers with a failure.
    fn use_up_runs(&mut self) {
        self.runs = self.job.routed.route.max_attempts;
    }

    fn log_relay(&self, gateway: &RelayTarget) {
        let fields = RelayFields {
            id: self.attempt_id,
            gateway: &gateway.name,
            service: &self.job.routed.service,
            left_ms: self.time_left().as_millis_f64(),
            resume_from: self.last_event,
        };
        self.core
            .log
            .request("relayed", LineKind::Normal, self.attempt_id, fields);
    }
}
