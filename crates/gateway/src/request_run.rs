//! One request from its head to the end of its answer.
//!
//! A run makes one attempt after the other until an answer is delivered or nothing may be tried any
//! more. The verdicts of its attempts are joined; only a request that has not run is refused with
//! the promise that it will not, and only one that may be repeated is sent again after an attempt
//! that may have run. A stream that breaks goes on at another backend server after its last whole
//! event, where its route allows that.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oleander_balance::{BackendKey, Choice, StreamSample};
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::time::timeout;

use crate::core::{ChoiceQuery, GatewayCore, SendGuard};
use crate::event_split::{EventBatch, EventSplitter};
use crate::exchange::{Exchange, SendError, SendPlan};
use crate::http::{
    AnswerHead, BodyPiece, ConnError, HttpConn, RequestHead, push_chunk, push_last_chunk,
};
use crate::log_line::LineWeight;
use crate::meters::RequestEnd;
use crate::port::{AnswerFraming, OwnAnswer, RoutedCall, SendOrder};
use crate::prelude::*;

/// How much of a caller's next request is read ahead while one is served, in bytes.
const READ_AHEAD: usize = 64 * 1024;

/// The longest answer that is held as a whole before it is delivered, in bytes.
const WHOLE_LIMIT: usize = 8 * 1024 * 1024;

/// A request with less time left is not sent any more.
const SEND_FLOOR: Span = Span::from_millis(10);

/// How long before the caller's own limit the last answer is given.
const ANSWER_MARGIN: Span = Span::from_millis(15);

/// The shortest silence after which an idempotent request is tried elsewhere.
const IDEMPOTENT_PATIENCE: Span = Span::from_millis(250);

/// Latency targets after which an idempotent request is tried elsewhere.
const PATIENCE_TARGETS: u64 = 3;

/// Latency targets of silence after which a resumable stream goes on elsewhere.
const STREAM_PATIENCE_TARGETS: u64 = 2;

/// The shortest silence after which a resumable stream goes on elsewhere.
const STREAM_PATIENCE: Span = Span::from_millis(2_400);

/// The shortest time to come back after a refusal.
const RETURN_FLOOR: Span = Span::from_millis(250);

/// The scatter of times to come back, so that callers do not return together.
const RETURN_SCATTER: Span = Span::from_millis(500);

/// A request that has a route and a whole body.
#[derive(Debug)]
pub(crate) struct RequestJob {
    pub(crate) head: RequestHead,
    pub(crate) facts: CallFacts,
    pub(crate) routed: RoutedCall,
    pub(crate) body: Bytes,
    pub(crate) started: MonoTime,
    pub(crate) manifest_version: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunResult {
    pub(crate) end: RequestEnd,
    /// Whether the caller's connection can be used again.
    pub(crate) keeps: bool,
}

/// What comes after an attempt.
enum Step {
    Done(RunResult),
    TryAgain,
    GiveUp(&'static str),
}

/// An answer that was read as a whole.
struct WholeAnswer {
    head: AnswerHead,
    body: Bytes,
}

/// What a wait on a backend server brought.
enum Waited<T> {
    Came(T),
    CallerLeft,
    TimedOut,
}

/// The run of one request.
pub(crate) struct RequestRun<'a> {
    core: &'a Rc<GatewayCore>,
    caller: &'a mut HttpConn,
    job: &'a RequestJob,
    attempt_id: &'a str,
    deadline: MonoTime,
    tried: Vec<BackendKey>,
    sends: u32,
    runs: u32,
    verdict: Verdict,
    kept_failure: Option<WholeAnswer>,
    is_head_sent: bool,
    closes: bool,
    last_event: Option<u64>,
    events: usize,
    first_after: Option<Span>,
    longest_gap: Span,
    last_problem: String,
}

#[derive(Debug, Serialize)]
struct SendFields<'a> {
    id: &'a str,
    backend: &'a str,
    service: &'a str,
    urgency: u8,
    unread: f64,
    part: Option<String>,
    home_rank: Option<usize>,
    cost: f64,
    candidates: usize,
    send: u32,
    left_ms: f64,
    resume_from: Option<u64>,
    manifest: u64,
    registry: u64,
    store_age_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct AttemptFields<'a> {
    id: &'a str,
    backend: &'a str,
    verdict: Verdict,
    outcome: &'a str,
    took_ms: f64,
}

#[derive(Debug, Serialize)]
struct EndFields<'a> {
    id: &'a str,
    route: &'a str,
    end: &'static str,
    verdict: Verdict,
    reason: &'a str,
    sends: u32,
    events: usize,
    first_ms: Option<f64>,
    longest_gap_ms: f64,
    total_ms: f64,
}

impl<'a> RequestRun<'a> {
    /// Serves a request to its end.
    pub(crate) async fn serve(
        core: &'a Rc<GatewayCore>,
        caller: &'a mut HttpConn,
        job: &'a RequestJob,
    ) -> RunResult {
        let route = &job.routed.route;
        let allowed = job
            .facts
            .time_left
            .map_or(route.timeout, |left| left.saturating_sub(ANSWER_MARGIN))
            .min(route.timeout);
        let service = &job.routed.service;
        let limits = core.settings().retry;
        core.with_service(service, |state| {
            state.retries.requested(&limits, monotonic_now());
        });
        let mut run = Self {
            core,
            caller,
            job,
            attempt_id: job.facts.attempt_id.as_deref().unwrap_or(""),
            deadline: job.started + allowed,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            verdict: Verdict::NotRun,
            kept_failure: None,
            is_head_sent: false,
            closes: !job.head.keeps_alive,
            last_event: job.facts.resume_from,
            events: 0,
            first_after: None,
            longest_gap: Span::ZERO,
            last_problem: String::new(),
        };
        let result = run.run().await;
        run.log_end(result);
        result
    }

    async fn run(&mut self) -> RunResult {
        loop {
            let step = match self.choose() {
                Ok(choice) => self.attempt(&choice).await,
                Err(reason) => Step::GiveUp(reason),
            };
            match step {
                Step::Done(result) => return result,
                Step::TryAgain => {}
                Step::GiveUp(reason) => return self.give_up(reason).await,
            }
        }
    }

    fn choose(&mut self) -> Result<Choice, &'static str> {
        if self.left() < SEND_FLOOR {
            return Err("no time left");
        }
        let routed = &self.job.routed;
        let query = ChoiceQuery {
            service: &routed.service,
            facts: &self.job.facts,
            route: &routed.route,
            tried: &self.tried,
        };
        let choice = self.core.choose(&query).ok_or("no backend server")?;
        if self.sends > 0 && !self.core.take_retry(&routed.service) {
            return Err("no retry budget");
        }
        Ok(choice)
    }

    fn left(&self) -> Span {
        self.deadline.since(monotonic_now())
    }

    /// Returns whether a request that may have run may be sent once more.
    fn may_run_again(&self) -> bool {
        let route = &self.job.routed.route;
        route.repeat.is_repeatable() && self.runs < route.max_attempts
    }

    async fn attempt(&mut self, choice: &Choice) -> Step {
        let Some(target) = self.target(choice) else {
            self.tried.push(choice.key);
            return Step::TryAgain;
        };
        let mut guard = SendGuard::open(self.core, choice);
        let bytes = self.encode(&target);
        self.log_send(choice, &target);
        let plan = SendPlan {
            key: choice.key,
            address: target.address,
            method: self.job.head.method(),
            attempt_id: self.attempt_id,
            bytes: &bytes,
        };
        let sent_at = monotonic_now();
        self.tried.push(choice.key);
        let patience = self.patience();
        let send = Exchange::send(self.core, &plan);
        let answer = match wait(self.caller, patience.min(self.left()), send).await {
            Waited::CallerLeft => return Step::Done(self.caller_left()),
            Waited::Came(Ok(exchange)) => exchange,
            Waited::Came(Err(error)) => return self.unanswered(&target, &error, sent_at),
            Waited::TimedOut => {
                let error = SendError::Unanswered("no answer in time".to_owned());
                return self.unanswered(&target, &error, sent_at);
            }
        };
        self.sends += 1;
        guard.reported(answer.facts.load);
        self.judge(answer, &mut guard, &target, sent_at).await
    }

    /// Returns how long the next attempt may be silent.
    fn patience(&self) -> Span {
        let route = &self.job.routed.route;
        if self.runs + 1 >= route.max_attempts {
            return self.left();
        }
        let targets = |count: u64| Span(route.latency_target.0.saturating_mul(count));
        match route.repeat {
            RepeatKind::Idempotent => targets(PATIENCE_TARGETS).max(IDEMPOTENT_PATIENCE),
            RepeatKind::ResumableStream => targets(STREAM_PATIENCE_TARGETS).max(STREAM_PATIENCE),
            RepeatKind::Once | RepeatKind::OnceStream => self.left(),
        }
    }

    fn target(&self, choice: &Choice) -> Option<SendTarget> {
        let fleet = self.core.fleet.borrow();
        let member = fleet.get(choice.key)?;
        Some(SendTarget {
            key: choice.key,
            id: Arc::clone(&member.entry.id),
            address: member.entry.address,
            slots: member.entry.slots,
        })
    }

    fn encode(&self, target: &SendTarget) -> Vec<u8> {
        let job = self.job;
        let order = SendOrder {
            backend_id: &target.id,
            time_left: self.left(),
            customer: job.routed.customer.as_deref(),
            urgency: job.routed.route.has_prompts.then_some(job.routed.urgency),
            resume_from: self.last_event,
            body_len: (!job.body.is_empty() || job.head.method() == "POST")
                .then_some(job.body.len()),
        };
        let mut bytes = Vec::with_capacity(1_024 + job.body.len());
        self.core.port.encode_send(&job.head, &order, &mut bytes);
        bytes.extend_from_slice(&job.body);
        bytes
    }

    /// Decides what follows a send that brought no answer.
    fn unanswered(&mut self, target: &SendTarget, error: &SendError, sent_at: MonoTime) -> Step {
        let verdict = error.verdict();
        self.verdict = self.verdict.join(verdict);
        self.last_problem = error.to_string();
        self.note_failure(target, verdict, &error.to_string(), sent_at);
        if matches!(error, SendError::NotReached(_)) {
            self.note_unreachable(target);
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

    fn note_unreachable(&self, target: &SendTarget) {
        let now = monotonic_now();
        let settings = self.core.settings();
        let mut fleet = self.core.fleet.borrow_mut();
        let ejected = fleet.unreachable(target.key, &settings.centre, now);
        drop(fleet);
        if ejected > 1 {
            let fields = UnreachableFields {
                backend: &target.id,
                ejected,
            };
            self.core.log.change("data-centre-suspected", fields);
        }
    }

    fn note_failure(&self, target: &SendTarget, verdict: Verdict, outcome: &str, at: MonoTime) {
        let now = monotonic_now();
        let service = &self.job.routed.service;
        self.core.meters.attempted(service, verdict.as_str());
        let ejected = self
            .core
            .with_backend(target.key, |state| state.failed(now))
            .unwrap_or(false);
        self.core.log.request(
            "attempt-failed",
            LineWeight::Failure,
            self.attempt_id,
            AttemptFields {
                id: self.attempt_id,
                backend: &target.id,
                verdict,
                outcome,
                took_ms: now.since(at).as_millis_f64(),
            },
        );
        if ejected {
            self.core.log.change(
                "backend-ejected",
                EjectedFields {
                    backend: &target.id,
                    reason: outcome,
                },
            );
        }
    }

    /// Decides what an answer means.
    async fn judge(
        &mut self,
        answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let status = answer.head.status;
        if answer.facts.is_not_run {
            return self.rejected(answer, target, status, sent_at).await;
        }
        self.runs += 1;
        let is_good = (200..300).contains(&status);
        if is_good && !answer.facts.is_proved {
            self.verdict = self.verdict.join(Verdict::MayHaveRun);
            self.note_failure(
                target,
                Verdict::MayHaveRun,
                "an answer without proof",
                sent_at,
            );
            return self.after_failed_run("the backend server's answer was not its own");
        }
        self.verdict = self.verdict.join(Verdict::Ran);
        if self.is_head_sent && !is_good {
            // The caller is in the middle of a stream, so no other answer can be delivered.
            let outcome = format!("the backend server did not go on and answered {status}");
            self.note_failure(target, Verdict::Ran, &outcome, sent_at);
            return self.after_failed_run("the stream could not go on");
        }
        if is_good && self.job.routed.route.repeat.is_stream() {
            return self.relay_stream(answer, guard, target, sent_at).await;
        }
        self.relay_whole(answer, guard, target, sent_at).await
    }

    fn after_failed_run(&self, reason: &'static str) -> Step {
        if self.may_run_again() {
            Step::TryAgain
        } else {
            Step::GiveUp(reason)
        }
    }

    /// Follows a backend server's word that the request did not run.
    async fn rejected(
        &mut self,
        mut answer: Exchange,
        target: &SendTarget,
        status: u16,
        sent_at: MonoTime,
    ) -> Step {
        self.last_problem = format!("the backend server refused with {status}");
        if status == 421 {
            // Another process has the address, so the registry's entry is out of date.
            self.note_failure(
                target,
                Verdict::NotRun,
                "another process at its address",
                sent_at,
            );
        } else {
            self.core
                .meters
                .attempted(&self.job.routed.service, Verdict::NotRun.as_str());
            let outcome = self.last_problem.clone();
            self.core.log.request(
                "attempt-rejected",
                LineWeight::Failure,
                self.attempt_id,
                AttemptFields {
                    id: self.attempt_id,
                    backend: &target.id,
                    verdict: Verdict::NotRun,
                    outcome: &outcome,
                    took_ms: monotonic_now().since(sent_at).as_millis_f64(),
                },
            );
        }
        let body = read_whole(&mut answer);
        if let Waited::Came(Ok(_)) = wait(self.caller, self.left(), body).await {
            answer.finish(self.core);
        }
        Step::TryAgain
    }

    /// Delivers an answer that is not a stream.
    async fn relay_whole(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let read = wait(self.caller, self.left(), read_whole(&mut answer)).await;
        let body = match read {
            Waited::Came(Ok(body)) => body,
            Waited::CallerLeft => return Step::Done(self.caller_left()),
            Waited::Came(Err(error)) => {
                self.note_failure(target, Verdict::MayHaveRun, &error.to_string(), sent_at);
                return self.after_failed_run("the backend server's answer was cut");
            }
            Waited::TimedOut => {
                self.note_failure(target, Verdict::MayHaveRun, "no whole answer", sent_at);
                return Step::GiveUp("the answer was not whole in time");
            }
        };
        guard.read();
        let whole = WholeAnswer {
            head: answer.head.clone(),
            body,
        };
        answer.finish(self.core);
        if whole.head.status >= 500 {
            let outcome = format!("the backend server answered {}", whole.head.status);
            self.note_failure(target, Verdict::Ran, &outcome, sent_at);
            if self.may_run_again() {
                self.kept_failure = Some(whole);
                return Step::TryAgain;
            }
        } else {
            self.note_success(target);
        }
        Step::Done(self.deliver(whole).await)
    }

    fn note_success(&self, target: &SendTarget) {
        let now = monotonic_now();
        let service = &self.job.routed.service;
        self.core.meters.attempted(service, Verdict::Ran.as_str());
        self.core
            .with_backend(target.key, |state| state.succeeded(target.slots, now));
    }

    async fn deliver(&mut self, whole: WholeAnswer) -> RunResult {
        self.closes |= self.core.life.is_stopping();
        let framing = AnswerFraming {
            length: Some(whole.body.len()),
            closes: self.closes,
        };
        let mut out = Vec::with_capacity(512 + whole.body.len());
        self.core.port.encode_answer(&whole.head, framing, &mut out);
        if self.job.head.method() != "HEAD" {
            out.extend_from_slice(&whole.body);
        }
        let took = monotonic_now().since(self.job.started);
        self.core.meters.first_bytes(&self.job.routed.service, took);
        match self.caller.write_all(&out).await {
            Ok(()) => RunResult {
                end: RequestEnd::Answered,
                keeps: !self.closes,
            },
            Err(_) => self.caller_left(),
        }
    }

    /// Delivers a stream, event after event.
    async fn relay_stream(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let mut splitter = EventSplitter::default();
        let mut course = StreamCourse::default();
        loop {
            let limit = self.stream_patience().min(self.left());
            let piece = match wait(self.caller, limit, answer.next()).await {
                Waited::Came(piece) => piece,
                Waited::CallerLeft => return Step::Done(self.caller_left()),
                Waited::TimedOut if self.left() < SEND_FLOOR => {
                    self.last_problem = "the stream was not whole in time".to_owned();
                    return Step::GiveUp("the stream was not whole in time");
                }
                Waited::TimedOut => Err(ConnError::Broken(std::io::Error::other("silent stream"))),
            };
            match piece {
                Ok(BodyPiece::Data(data)) => {
                    let Some(batch) = splitter.push(&data) else {
                        continue;
                    };
                    if self.is_out_of_order(&batch) {
                        let reason = "events out of order";
                        self.note_failure(target, Verdict::Ran, reason, sent_at);
                        return self.stream_broke(reason);
                    }
                    self.note_events(&batch, &mut course, guard, target);
                    if let Err(result) = self.write_events(&answer.head, &batch.bytes).await {
                        return Step::Done(result);
                    }
                }
                Ok(_) => {
                    self.learn(&course, target, sent_at);
                    self.note_success(target);
                    let rest = splitter.rest();
                    let head = answer.head.clone();
                    answer.finish(self.core);
                    return Step::Done(self.end_stream(&head, &rest).await);
                }
                Err(error) => {
                    splitter.drop_cut();
                    drop(answer);
                    self.note_failure(target, Verdict::Ran, &error.to_string(), sent_at);
                    return self.stream_broke("the backend server's stream broke");
                }
            }
        }
    }

    /// Returns how long a stream may be silent before it goes on elsewhere.
    fn stream_patience(&self) -> Span {
        let route = &self.job.routed.route;
        if route.repeat != RepeatKind::ResumableStream || !self.may_run_again() {
            return self.left();
        }
        let targets = Span(
            route
                .latency_target
                .0
                .saturating_mul(STREAM_PATIENCE_TARGETS),
        );
        targets.max(STREAM_PATIENCE)
    }

    fn is_out_of_order(&self, batch: &EventBatch) -> bool {
        match (self.last_event, batch.first_id) {
            (Some(last), Some(first)) => first != last + 1,
            _ => false,
        }
    }

    fn note_events(
        &mut self,
        batch: &EventBatch,
        course: &mut StreamCourse,
        guard: &mut SendGuard,
        target: &SendTarget,
    ) {
        let now = monotonic_now();
        if course.first.is_none() {
            guard.read();
            let parts = &self.job.facts.parts;
            self.core.with_backend(target.key, |state| {
                for part in parts {
                    state.parts.touch(part.id, now);
                }
            });
            if self.events == 0 {
                let took = now.since(self.job.started);
                self.first_after = Some(took);
                self.core.meters.first_bytes(&self.job.routed.service, took);
            }
        }
        course.note(batch.count, now);
        self.longest_gap = self.longest_gap.max(course.longest);
        self.events += batch.count;
        self.last_event = batch.last_id.or(self.last_event);
    }

    fn learn(&self, course: &StreamCourse, target: &SendTarget, sent_at: MonoTime) {
        let Some(sample) = course.sample(sent_at) else {
            return;
        };
        let service = &self.job.routed.service;
        self.core.meters.longest_gap(service, sample.longest_gap);
        self.core
            .with_backend(target.key, |state| state.latency.observe(&sample));
        self.core
            .with_service(service, |state| state.latency.observe(&sample));
    }

    async fn write_events(&mut self, head: &AnswerHead, bytes: &[u8]) -> Result<(), RunResult> {
        let mut out = Vec::with_capacity(512 + bytes.len());
        self.push_stream_head(head, &mut out);
        push_chunk(&mut out, bytes);
        self.write_out(&out).await
    }

    fn push_stream_head(&mut self, head: &AnswerHead, out: &mut Vec<u8>) {
        if self.is_head_sent {
            return;
        }
        self.is_head_sent = true;
        self.closes |= self.core.life.is_stopping();
        let framing = AnswerFraming {
            length: None,
            closes: self.closes,
        };
        self.core.port.encode_answer(head, framing, out);
    }

    async fn write_out(&mut self, out: &[u8]) -> Result<(), RunResult> {
        let write = self.caller.write_all(out);
        match timeout(Duration::from(self.deadline.since(monotonic_now())), write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(self.caller_left()),
            Err(_) => {
                self.last_problem = "the caller did not take the stream in time".to_owned();
                Err(RunResult {
                    end: RequestEnd::Cut,
                    keeps: false,
                })
            }
        }
    }

    async fn end_stream(&mut self, head: &AnswerHead, rest: &[u8]) -> RunResult {
        let mut out = Vec::with_capacity(256 + rest.len());
        self.push_stream_head(head, &mut out);
        push_chunk(&mut out, rest);
        push_last_chunk(&mut out);
        match self.write_out(&out).await {
            Ok(()) => RunResult {
                end: RequestEnd::Answered,
                keeps: !self.closes,
            },
            Err(result) => result,
        }
    }

    fn stream_broke(&mut self, reason: &'static str) -> Step {
        self.last_problem = reason.to_owned();
        self.after_failed_run(reason)
    }

    /// Ends a request for which nothing more can be tried.
    async fn give_up(&mut self, reason: &'static str) -> RunResult {
        if self.last_problem.is_empty() {
            self.last_problem = reason.to_owned();
        }
        if self.is_head_sent {
            return RunResult {
                end: RequestEnd::Cut,
                keeps: false,
            };
        }
        if let Some(whole) = self.kept_failure.take() {
            return self.deliver(whole).await;
        }
        let is_refusal = self.verdict == Verdict::NotRun;
        if is_refusal {
            self.core.meters.refused(reason);
        }
        let status = match (is_refusal, self.left() < SEND_FLOOR) {
            (true, _) => 503,
            (false, true) => 504,
            (false, false) => 502,
        };
        let answer = OwnAnswer {
            status,
            reason,
            retry_after: is_refusal.then(|| return_time(self.core)),
            verdict: self.verdict,
            closes: self.closes,
        };
        let is_written = write_own(self.core, self.caller, &self.job.facts, &answer).await;
        RunResult {
            end: if is_refusal {
                RequestEnd::Refused
            } else {
                RequestEnd::Failed
            },
            keeps: is_written && !self.closes,
        }
    }

    fn caller_left(&mut self) -> RunResult {
        self.last_problem = "the caller left".to_owned();
        RunResult {
            end: RequestEnd::CallerLeft,
            keeps: false,
        }
    }

    fn log_send(&self, choice: &Choice, target: &SendTarget) {
        let belief = self.core.belief.borrow();
        let now = monotonic_now();
        self.core.log.request(
            "send",
            LineWeight::Usual,
            self.attempt_id,
            SendFields {
                id: self.attempt_id,
                backend: &target.id,
                service: &self.job.routed.service,
                urgency: self.job.routed.urgency,
                unread: choice.unread.total().round(),
                part: choice.part.map(|part| format!("{:x}", part.0)),
                home_rank: choice.home_rank,
                cost: choice.cost.round(),
                candidates: choice.candidates,
                send: self.sends + 1,
                left_ms: self.left().as_millis_f64(),
                resume_from: self.last_event,
                manifest: self.job.manifest_version,
                registry: belief.at.0,
                store_age_ms: belief
                    .contact
                    .map(|contact| now.since(contact).as_millis_f64()),
            },
        );
    }

    fn log_end(&self, result: RunResult) {
        let total = monotonic_now().since(self.job.started);
        let service = &self.job.routed.service;
        self.core.meters.request_ended(service, result.end, total);
        let weight = match result.end {
            RequestEnd::Answered | RequestEnd::CallerLeft => LineWeight::Usual,
            _ => LineWeight::Failure,
        };
        self.core.log.request(
            "end",
            weight,
            self.attempt_id,
            EndFields {
                id: self.attempt_id,
                route: &self.job.routed.route.name,
                end: result.end.as_str(),
                verdict: self.verdict,
                reason: &self.last_problem,
                sends: self.sends,
                events: self.events,
                first_ms: self.first_after.map(Span::as_millis_f64),
                longest_gap_ms: self.longest_gap.as_millis_f64(),
                total_ms: total.as_millis_f64(),
            },
        );
    }
}

#[derive(Debug, Serialize)]
struct EjectedFields<'a> {
    backend: &'a str,
    reason: &'a str,
}

#[derive(Debug, Serialize)]
struct UnreachableFields<'a> {
    backend: &'a str,
    ejected: usize,
}

/// Where an attempt goes.
#[derive(Debug)]
struct SendTarget {
    key: BackendKey,
    id: Arc<str>,
    address: std::net::SocketAddr,
    slots: u32,
}

/// The times of one stream's events.
#[derive(Debug, Default)]
struct StreamCourse {
    first: Option<MonoTime>,
    last: MonoTime,
    longest: Span,
    events: usize,
}

impl StreamCourse {
    fn note(&mut self, count: usize, now: MonoTime) {
        if self.first.is_some() {
            self.longest = self.longest.max(now.since(self.last));
        } else {
            self.first = Some(now);
        }
        self.last = now;
        self.events += count;
    }

    fn sample(&self, sent_at: MonoTime) -> Option<StreamSample> {
        let first = self.first?;
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 2)? as u64;
        Some(StreamSample {
            mean_gap: Span(self.last.since(first).0 / gaps),
            longest_gap: self.longest,
            held: self.last.since(sent_at),
        })
    }
}

/// Waits for a backend server while it watches whether the caller leaves.
async fn wait<T>(caller: &mut HttpConn, limit: Span, work: impl Future<Output = T>) -> Waited<T> {
    tokio::select! {
        biased;
        done = timeout(Duration::from(limit), work) => match done {
            Ok(value) => Waited::Came(value),
            Err(_) => Waited::TimedOut,
        },
        () = caller.wait_gone(READ_AHEAD) => Waited::CallerLeft,
    }
}

async fn read_whole(answer: &mut Exchange) -> Result<Bytes, ConnError> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await? {
            BodyPiece::Data(data) => body.extend_from_slice(&data),
            _ => return Ok(body.freeze()),
        }
        if body.len() > WHOLE_LIMIT {
            return Err(ConnError::HeadTooLong);
        }
    }
}

/// Returns when a refused caller may come back.
pub(crate) fn return_time(core: &GatewayCore) -> Span {
    let scatter = RETURN_SCATTER.0 as f64 * core.random();
    RETURN_FLOOR + Span(scatter as u64)
}

/// Writes an answer of the gateway itself; returns whether the caller took it.
pub(crate) async fn write_own(
    core: &GatewayCore,
    caller: &mut HttpConn,
    facts: &CallFacts,
    answer: &OwnAnswer<'_>,
) -> bool {
    let mut out = Vec::with_capacity(512);
    core.port.encode_own(facts, answer, &mut out);
    caller.write_all(&out).await.is_ok()
}
