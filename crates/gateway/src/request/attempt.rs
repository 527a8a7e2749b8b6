//! Makes one attempt of a request, and decides from its outcome what may follow.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use oleander_balance::{
    BackendKey, Choice, LeaseEnd, ReachFailure, RoomBelief, SendGrounds, VersionId,
    promises_not_run,
};
use oleander_base::monotonic_now;

use super::memory::MemoryStep;
use super::slot::SlotStep;
use super::wait::{WaitOutcome, read_to_end};
use super::{RequestRun, RunResult};
use crate::brittle_news::on_rejected;
use crate::core::SendGuard;
use crate::exchange::{Exchange, SendError, SendPlan};
use crate::port::SendHeaders;
use crate::prelude::*;
use crate::process_monitor::WatchedProcess;
use crate::relay_targets::RelayTarget;
use crate::slots::count_rejection;

/// The shortest time without an answer after which an idempotent request is tried elsewhere.
const IDEMPOTENT_TIMEOUT: Span = Span::from_millis(250);

/// How many latency targets may pass before an idempotent request is tried elsewhere.
const IDEMPOTENT_TIMEOUT_TARGETS: u64 = 3;

/// How many times the wait is extended for a backend server with a queue. The first extension is
/// half as long as the original wait, and each further one half as long as the one before.
const QUEUE_EXTENSIONS: u32 = 2;

/// The greatest age of a load report that is taken as evidence of a queue.
const MAX_REPORT_AGE: Span = Span::from_millis(1_500);

/// What follows an attempt.
pub(super) enum Step {
    Done(RunResult),
    TryAgain,
    GiveUp(&'static str),
}

/// The backend server, or the other gateway, that an attempt is sent to.
#[derive(Debug)]
pub(super) struct SendTarget {
    /// The backend server; absent if the attempt is relayed to another gateway.
    pub(super) key: Option<BackendKey>,
    /// The id of the backend server, or the name of the gateway.
    pub(super) id: Arc<str>,
    pub(super) address: SocketAddr,
    /// The start time of its process by its entry; `None` if the entry names none.
    pub(super) started_ms: Option<u64>,
    pub(super) software: Arc<str>,
    pub(super) version: VersionId,
    pub(super) slots: u32,
    /// The belief about the backend server's room; absent at another gateway.
    pub(super) room: Option<RoomBelief>,
    /// Why the request is sent there although it might be turned away.
    pub(super) grounds: SendGrounds,
    /// How long the request is expected to wait there before it begins to run.
    pub(super) queue_wait: Span,
    /// The expected wait of a long prompt for its first event, in milliseconds; only at a service
    /// whose backend servers report their pace.
    pub(super) base_wait_ms: Option<f64>,
}

impl SendTarget {
    /// Returns the process that writes the answer; absent at another gateway.
    fn watched_process(&self) -> Option<WatchedProcess> {
        Some(WatchedProcess {
            key: self.key?,
            id: Arc::clone(&self.id),
            address: self.address,
            started_ms: self.started_ms,
        })
    }

    pub(super) fn relay(gateway: &RelayTarget) -> Self {
        Self {
            key: None,
            id: Arc::clone(&gateway.name),
            address: gateway.frontend,
            started_ms: None,
            software: Arc::default(),
            version: VersionId::of(""),
            slots: 0,
            room: None,
            grounds: SendGrounds::default(),
            queue_wait: Span::ZERO,
            base_wait_ms: None,
        }
    }
}

impl RequestRun<'_> {
    pub(super) async fn attempt(&mut self, choice: &Choice) -> Step {
        let Some(mut target) = self.target(choice) else {
            self.tried.push(choice.key);
            return Step::TryAgain;
        };
        let slot = match self.take_slot(choice).await {
            SlotStep::Send(slot) => slot,
            SlotStep::Elsewhere => return Step::TryAgain,
            SlotStep::NoneInTime => return Step::GiveUp("no free slot at any backend server"),
            SlotStep::CallerLeft => return Step::Done(self.caller_left()),
        };
        let memory = match self.take_memory(choice).await {
            MemoryStep::Send(memory) => memory,
            refused => {
                if let Some(slot) = slot {
                    slot.end(LeaseEnd::Free);
                }
                return self.without_memory(&refused);
            }
        };
        target.grounds = slot
            .as_ref()
            .map(|slot| slot.role.into())
            .unwrap_or_default();
        self.has_retry = false;
        let mut guard = SendGuard::open(self.core, choice, slot, memory);
        self.core.with_service(&self.job.routed.service, |state| {
            let tokens = choice.prefill.total();
            state.reading.record(tokens, monotonic_now());
        });
        let head = self.encode(&target);
        self.log_send(choice, &target);
        let is_written = Cell::new(false);
        let plan = SendPlan {
            key: Some(choice.key),
            address: target.address,
            method: self.job.head.method(),
            attempt_id: self.attempt_id,
            head: &head,
            body: &self.job.body,
            asked: self.asked_process(&target),
            is_written: &is_written,
        };
        let sent_at = monotonic_now();
        self.tried.push(choice.key);
        let answer = match self.wait_answer(choice.key, &plan).await {
            WaitOutcome::Completed(Ok(exchange)) => exchange,
            unanswered => {
                if is_written.get() {
                    self.count_unanswered(&target, sent_at);
                }
                let error = match unanswered {
                    WaitOutcome::CallerLeft => return Step::Done(self.caller_left()),
                    WaitOutcome::Completed(Err(error)) => error,
                    _ => SendError::TimedOut,
                };
                if error.verdict() == Verdict::NotRun {
                    guard.end_slot(LeaseEnd::Free);
                }
                return self.handle_send_failure(&target, &error, sent_at);
            }
        };
        self.sends += 1;
        guard.record_load(answer.facts.load);
        self.handle_answer(answer, &mut guard, &target, sent_at)
            .await
    }

    /// Waits for the head of an answer.
    ///
    /// The wait is extended if the backend server lately reported waiting requests: this request is
    /// then in its queue, and sending it elsewhere would put it at the end of another queue.
    async fn wait_answer(
        &mut self,
        key: BackendKey,
        plan: &SendPlan<'_>,
    ) -> WaitOutcome<Result<Exchange, SendError>> {
        let mut send = pin!(Exchange::send(self.core, plan));
        let mut timeout = self.answer_timeout();
        for _ in 0..=QUEUE_EXTENSIONS {
            let limit = timeout.min(self.time_left());
            match self.wait_or_stop(limit, send.as_mut()).await {
                WaitOutcome::TimedOut if self.is_queued(key) => {}
                waited => return waited,
            }
            timeout = Span(timeout.0 / 2);
        }
        WaitOutcome::TimedOut
    }

    /// Returns whether the backend server lately reported waiting requests.
    fn is_queued(&self, key: BackendKey) -> bool {
        self.core
            .with_backend(key, |state| {
                state.has_queue(MAX_REPORT_AGE, monotonic_now())
            })
            .unwrap_or(false)
    }

    /// Returns how long the next attempt may go without an answer.
    pub(super) fn answer_timeout(&self) -> Span {
        let route = &self.job.routed.route;
        if self.runs + 1 >= route.max_attempts {
            return self.time_left();
        }
        let targets = |count: u64| Span(route.latency_target.0.saturating_mul(count));
        match route.repeat {
            RepeatKind::Idempotent => targets(IDEMPOTENT_TIMEOUT_TARGETS).max(IDEMPOTENT_TIMEOUT),
            RepeatKind::ResumableStream => self.stream_silence(),
            RepeatKind::Once | RepeatKind::OnceStream => self.time_left(),
        }
    }

    pub(super) fn target(&self, choice: &Choice) -> Option<SendTarget> {
        let fleet = self.core.fleet.borrow();
        let member = fleet.get(choice.key)?;
        Some(SendTarget {
            key: Some(choice.key),
            id: Arc::clone(&member.entry.id),
            address: member.entry.address,
            started_ms: member.entry.start(),
            software: Arc::clone(&member.entry.software),
            version: member.version,
            slots: member.entry.slots,
            room: Some(member.state.room_belief(monotonic_now())),
            grounds: SendGrounds::default(),
            queue_wait: match choice.has_queue {
                true => choice.first_wait,
                false => Span::ZERO,
            },
            base_wait_ms: choice
                .outlook
                .filter(|_| !choice.is_short)
                .map(|outlook| outlook.base_wait_ms),
        })
    }

    pub(super) fn encode(&self, target: &SendTarget) -> Vec<u8> {
        let job = self.job;
        let headers = SendHeaders {
            backend_id: &target.id,
            time_left: self.time_left(),
            customer: job.routed.customer.as_deref(),
            urgency: job.routed.route.has_prompts.then_some(job.routed.urgency),
            resume_from: self.last_event,
            body_len: (!job.body.is_empty() || job.head.method() == "POST")
                .then_some(job.body.len()),
        };
        let mut bytes = Vec::with_capacity(1_024);
        self.core.port.encode_send(&job.head, &headers, &mut bytes);
        bytes
    }

    /// Decides what follows a send without an answer.
    pub(super) fn handle_send_failure(
        &mut self,
        target: &SendTarget,
        error: &SendError,
        sent_at: MonoTime,
    ) -> Step {
        let verdict = error.verdict();
        self.verdict = self.verdict.join(verdict);
        self.last_problem = error.to_string();
        self.record_failure(target, verdict, &error.to_string(), sent_at);
        match error {
            SendError::NotReached(_) => {
                self.record_out_of_reach(target, ReachFailure::Connection);
                self.mark_unreachable(target);
            }
            SendError::Unanswered(_) => {
                self.record_out_of_reach(target, ReachFailure::Connection);
                self.record_broken(target, false, sent_at);
            }
            // A crash would have ended the connection.
            SendError::TimedOut | SendError::SilentProcess => {
                self.record_out_of_reach(target, ReachFailure::Silence);
            }
            SendError::NotSent(_) | SendError::OtherProcess => {}
        }
        if verdict == Verdict::NotRun {
            return Step::TryAgain;
        }
        self.sends += 1;
        self.runs += 1;
        if self.may_run_again() {
            Step::TryAgain
        } else {
            Step::GiveUp("no answer from the backend server")
        }
    }

    /// Decides from the head of an answer how it is handled.
    pub(super) async fn handle_answer(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let status = answer.head.status;
        if answer.facts.is_not_run {
            return self.handle_rejection(answer, guard, target, sent_at).await;
        }
        self.runs += 1;
        let is_good = (200..300).contains(&status);
        if self.needs_signature(status) && !answer.facts.is_signed {
            self.verdict = self.verdict.join(Verdict::MayHaveRun);
            self.record_failure(
                target,
                Verdict::MayHaveRun,
                "an answer without proof",
                sent_at,
            );
            return self.after_failed_run("the backend server's answer was not its own");
        }
        self.verdict = self.verdict.join(Verdict::Ran);
        self.count_call(target, sent_at);
        if !self.is_continuation(&answer.head) {
            // The caller has received part of a stream, so no other answer can be delivered.
            let outcome = format!("the backend server did not go on and answered {status}");
            self.record_failure(target, Verdict::Ran, &outcome, sent_at);
            return self.after_failed_run("the stream could not go on");
        }
        answer.watch_process(self.core, target.watched_process());
        if is_good && self.job.routed.route.repeat.is_stream() {
            return self.relay_stream(answer, guard, target, sent_at).await;
        }
        self.relay_buffered(answer, guard, target, sent_at).await
    }

    /// Returns whether an answer of this status is passed on only with the backend server's signature. Without it,
    /// a status would be taken for this gateway's own promise that the request has not run, and another gateway
    /// could not tell any answer from one of this gateway's.
    fn needs_signature(&self, status: u16) -> bool {
        (200..300).contains(&status) || promises_not_run(status) || self.job.facts.is_relayed
    }

    pub(super) fn after_failed_run(&self, reason: &'static str) -> Step {
        if self.may_run_again() {
            Step::TryAgain
        } else {
            Step::GiveUp(reason)
        }
    }

    /// Handles an answer that says that the request did not run.
    pub(super) async fn handle_rejection(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let status = answer.head.status;
        self.last_problem = format!("the backend server refused with {status}");
        if status == 421 {
            guard.end_slot(LeaseEnd::Free);
            // Another process has the address, so the registry's entry is out of date.
            self.record_failure(
                target,
                Verdict::NotRun,
                "another process at its address",
                sent_at,
            );
            let mut fleet = self.core.fleet.borrow_mut();
            if let Some(key) = target.key {
                fleet.mark_replaced(key, monotonic_now());
            }
        } else {
            self.record_rejection(target, sent_at);
            let had_slot = guard.end_slot(LeaseEnd::Rejected);
            if let Some(key) = target.key {
                on_rejected(self.core, key, monotonic_now());
                if !had_slot {
                    count_rejection(self.core, key);
                }
            }
        }
        let body = read_to_end(self.core, &mut answer);
        if let WaitOutcome::Completed(Ok(_)) = self.wait_or_stop(self.time_left(), body).await {
            answer.finish(self.core);
        }
        Step::TryAgain
    }
}
