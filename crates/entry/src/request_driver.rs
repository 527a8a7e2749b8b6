//! Drives one completion request: waits for a slot, sends an attempt, forwards its events, and
//! retries where that is safe.
//!
//! The driver runs in its own task and writes into an [`AnswerBuffer`], from which the caller's
//! HTTP response reads. These rules hold over all attempts:
//! - an attempt starts only with a granted slot, and each slot is released exactly once;
//! - a request that is not idempotent is sent again only if no earlier attempt may have run;
//! - an interrupted answer is resumed, at any engine, after the tokens that the caller already has.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use oleander_attempt::{AttemptFailure, AttemptTimeouts};
use oleander_base::prelude::*;
use oleander_base::{EndKind, ProgressNotice, ReleaseNotice, RequestContent, monotonic_now};
use oleander_caller::{CallerError, CompletionCall, CompletionKind, ErrorCode};
use oleander_engine::{
    EngineCall, EngineError, EngineEvent, EngineFailure, EnginePath, EngineStream, ResumePoint,
};

use crate::answer::{AnswerBuffer, AnswerEnd};
use oleander_operator::TrafficCount;

use crate::counters::{TrafficKey, increment};
use crate::crash_check;
use crate::ticket_tracker::TicketOutcome;
use crate::worker::WorkerContext;

/// Limit on the attempts of one request, the first one included.
const ATTEMPT_LIMIT: u32 = 4;
/// The `retry-after` time given to a caller when no entry VM can dispatch its request.
const NO_DISPATCHER_RETRY: Span = Span::from_secs(1);

/// Timeouts for the phases of an attempt at an engine.
const ENGINE_TIMEOUTS: AttemptTimeouts = AttemptTimeouts {
    connect: Duration::from_millis(1_000),
    first_byte: Duration::from_secs(20),
    idle: Duration::from_secs(10),
};

/// A completion request that was accepted for dispatch.
#[derive(Debug, Clone)]
pub(crate) struct CompletionJob {
    /// The request's id.
    pub request: RequestId,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The request class.
    pub class: ClassId,
    /// The tier of the request class.
    pub tier: Tier,
    /// The class's target for the time to the first token.
    pub first_token_target: Span,
    /// The class's target for the mean time between tokens.
    pub token_gap_target: Span,
    /// The time after arrival for which the request may wait for a slot or be retried.
    pub patience: Span,
    /// The goodput that a complete answer counts for.
    pub goodput_weight: f64,
    /// The parsed call.
    pub call: CompletionCall,
    /// The body as the caller sent it.
    pub body: Bytes,
    /// The number of tokens that the caller already has, if it resumes an answer.
    pub resume_tokens: u32,
    /// Whether the request can be repeated without further effect.
    pub idempotent: bool,
    /// The arrival time of the request.
    pub arrived: MonoTime,
}

/// The outcome of one attempt.
#[derive(Debug)]
enum AttemptOutcome {
    Whole,
    Abandoned,
    Failed(EngineError),
}

/// The outcome of the wait for a slot.
#[derive(Debug)]
enum SlotOutcome {
    Granted(BackendId, PoolId),
    Abandoned,
    Refused(CallerError),
}

/// The outcome of the whole request.
#[derive(Debug)]
enum RequestOutcome {
    Whole,
    Abandoned,
    Refused(CallerError),
    Failed(CallerError),
}

/// The state of a request in progress.
#[derive(Debug)]
pub(crate) struct RequestDriver {
    context: Rc<WorkerContext>,
    digest: RequestDigest,
    job: CompletionJob,
    buffer: Arc<AnswerBuffer>,
    verdict: Verdict,
    attempts: u32,
    tokens: u32,
    avoid: Option<BackendId>,
    first_token: Option<MonoTime>,
    last_token: Option<MonoTime>,
}

impl RequestDriver {
    /// Spawns the task that drives a request.
    pub(crate) fn spawn(context: Rc<WorkerContext>, job: CompletionJob, buffer: Arc<AnswerBuffer>) {
        let tokens = job.resume_tokens;
        let driver = Self {
            context,
            digest: digest(&job),
            job,
            buffer,
            verdict: Verdict::NotRun,
            attempts: 0,
            tokens,
            avoid: None,
            first_token: None,
            last_token: None,
        };
        ntex::rt::spawn(driver.run());
    }

    async fn run(mut self) {
        let outcome = self.run_attempts().await;
        self.count(&outcome);
        let end = match outcome {
            RequestOutcome::Whole => AnswerEnd::Whole,
            RequestOutcome::Abandoned => AnswerEnd::Failed(self.abandoned_error()),
            RequestOutcome::Refused(error) | RequestOutcome::Failed(error) => {
                AnswerEnd::Failed(error.of(self.job.request).with_verdict(self.verdict))
            }
        };
        self.context.node.limits.release(self.job.customer);
        self.buffer.finish(end, monotonic_now());
    }

    async fn run_attempts(&mut self) -> RequestOutcome {
        loop {
            let (backend, pool) = match self.wait_for_slot().await {
                SlotOutcome::Granted(backend, pool) => (backend, pool),
                SlotOutcome::Abandoned => return RequestOutcome::Abandoned,
                SlotOutcome::Refused(error) => return RequestOutcome::Refused(error),
            };
            match self.attempt(backend, pool).await {
                AttemptOutcome::Whole => return RequestOutcome::Whole,
                AttemptOutcome::Abandoned => return RequestOutcome::Abandoned,
                AttemptOutcome::Failed(error) => {
                    if !self.is_retry_allowed(&error) {
                        return RequestOutcome::Failed(attempt_error(&error));
                    }
                    self.avoid = Some(backend);
                    increment(&self.context.node.counters.process.retries);
                }
            }
        }
    }

    /// Queues a ticket and waits until it is granted or shed, or the caller abandons the answer.
    async fn wait_for_slot(&mut self) -> SlotOutcome {
        let node = &self.context.node;
        let Some(local) = node.default_pool(ModelId::from_name(&self.job.call.model)) else {
            return SlotOutcome::Refused(no_backend(&self.job.call.model));
        };
        let mut ticket = self.ticket(local, local.centre != node.centre);
        node.spill_over(&mut ticket);
        let pool = ticket.pool;
        let Some(outcome) = node.request_slot(ticket) else {
            let error =
                CallerError::not_run(ErrorCode::Shed, "no entry VM can dispatch the request now");
            return SlotOutcome::Refused(error.after(NO_DISPATCHER_RETRY));
        };
        let buffer = Arc::clone(&self.buffer);
        let outcome = tokio::select! {
            outcome = outcome => outcome,
            () = buffer.abandoned() => {
                node.withdraw(self.job.request, pool);
                return SlotOutcome::Abandoned;
            }
        };
        match outcome {
            Ok(TicketOutcome::Granted(backend)) => SlotOutcome::Granted(backend, pool),
            Ok(TicketOutcome::Shed {
                reason,
                retry_after,
            }) => SlotOutcome::Refused(CallerError::shed(reason, retry_after)),
            Err(_) => {
                let error = CallerError::not_run(ErrorCode::NotReady, "the entry VM is stopping");
                SlotOutcome::Refused(error.after(NO_DISPATCHER_RETRY))
            }
        }
    }

    fn ticket(&self, pool: PoolId, spilled: bool) -> Ticket {
        let job = &self.job;
        Ticket {
            request: job.request,
            pool,
            class: job.class,
            tier: job.tier,
            customer: job.customer,
            waited: monotonic_now().since(job.arrived),
            target: job.first_token_target,
            patience: job.patience,
            prompt_tokens: job.call.prompt_tokens,
            answer_limit: job.call.answer_limit.saturating_sub(self.tokens).max(1),
            prefix: Some(job.call.prefix),
            adapter: job.call.adapter,
            avoid: self.avoid,
            spilled,
            digest: self.digest,
        }
    }

    /// Sends the request to one backend server, forwards its events and releases the slot.
    async fn attempt(&mut self, backend: BackendId, pool: PoolId) -> AttemptOutcome {
        self.attempts += 1;
        let sent = monotonic_now();
        let tokens_before = self.tokens;
        let mut first_token = None;
        let end = self.exchange(backend, pool, sent, &mut first_token).await;
        let kind = match &end {
            AttemptOutcome::Whole => EndKind::Finished,
            AttemptOutcome::Abandoned => EndKind::Cancelled,
            AttemptOutcome::Failed(error) if error.verdict == Verdict::NotRun => EndKind::Refused,
            AttemptOutcome::Failed(error) if self.has_crashed(backend, error).await => {
                EndKind::Crashed
            }
            AttemptOutcome::Failed(_) => EndKind::Failed,
        };
        self.context.node.release(ReleaseNotice {
            request: self.job.request,
            pool,
            backend,
            end: kind,
            first_token,
            total: monotonic_now().since(sent),
            tokens: self.tokens - tokens_before,
            digest: self.digest,
        });
        end
    }

    /// Returns whether an attempt broke off because its backend server has crashed.
    async fn has_crashed(&self, backend: BackendId, error: &EngineError) -> bool {
        let is_broken = match &error.failure {
            EngineFailure::Attempt(failure) => failure.is_broken(),
            failure => *failure == EngineFailure::Truncated,
        };
        match self.context.node.view().address(backend) {
            Some(address) if is_broken => crash_check::has_crashed(address).await,
            _ => false,
        }
    }

    async fn exchange(
        &mut self,
        backend: BackendId,
        pool: PoolId,
        sent: MonoTime,
        first_token: &mut Option<Span>,
    ) -> AttemptOutcome {
        let mut stream = match self.start(backend).await {
            Ok(stream) => stream,
            Err(end) => return end,
        };
        loop {
            let buffer = Arc::clone(&self.buffer);
            let event = tokio::select! {
                event = stream.next() => event,
                () = buffer.abandoned() => return AttemptOutcome::Abandoned,
            };
            match event {
                Some(Ok(event)) => {
                    if first_token.is_none() && event.tokens > 0 {
                        *first_token = Some(self.on_first_token(backend, pool, sent));
                    }
                    self.forward_event(event).await;
                }
                Some(Err(error)) => {
                    self.verdict = self.verdict.join(error.verdict);
                    return AttemptOutcome::Failed(error);
                }
                None => {
                    self.verdict = Verdict::Ran;
                    return AttemptOutcome::Whole;
                }
            }
        }
    }

    async fn start(&mut self, backend: BackendId) -> Result<EngineStream, AttemptOutcome> {
        let Some(address) = self.context.node.view().address(backend) else {
            let failure = AttemptFailure::Connect(format!("{backend} is not on record any more"));
            let error = EngineError {
                failure: EngineFailure::Attempt(failure),
                verdict: Verdict::NotRun,
            };
            return Err(AttemptOutcome::Failed(error));
        };
        let resume = (self.tokens > 0).then_some(ResumePoint {
            from_token: self.tokens,
        });
        if resume.is_some() {
            increment(&self.context.node.counters.process.resumes);
        }
        let request = self.job.request.to_string();
        let call = EngineCall {
            address,
            path: engine_path(self.job.call.kind),
            body: self.job.body.clone(),
            request: &request,
            tier: self.job.tier,
            prefix: Some(self.job.call.prefix),
            resume,
            headers: &[],
            timeouts: ENGINE_TIMEOUTS,
        };
        let buffer = Arc::clone(&self.buffer);
        let started = tokio::select! {
            started = self.context.engines.start(call) => started,
            () = buffer.abandoned() => {
                self.verdict = self.verdict.join(Verdict::MayHaveRun);
                return Err(AttemptOutcome::Abandoned);
            }
        };
        started.map_err(|error| {
            self.verdict = self.verdict.join(error.verdict);
            AttemptOutcome::Failed(error)
        })
    }

    fn on_first_token(&mut self, backend: BackendId, pool: PoolId, sent: MonoTime) -> Span {
        let now = monotonic_now();
        self.first_token.get_or_insert(now);
        let first_token = now.since(sent);
        let notice = ProgressNotice {
            request: self.job.request,
            pool,
            backend,
            first_token,
        };
        self.context.node.progress(notice);
        first_token
    }

    async fn forward_event(&mut self, event: EngineEvent) {
        self.tokens += event.tokens;
        if event.tokens > 0 {
            self.last_token = Some(monotonic_now());
        }
        self.buffer.push(event.payload, self.tokens);
        self.buffer.writable().await;
    }

    fn is_retry_allowed(&self, error: &EngineError) -> bool {
        let safe = self.job.idempotent || self.verdict == Verdict::NotRun;
        let in_time = monotonic_now().since(self.job.arrived) < self.job.patience;
        let worthwhile = self.attempts < ATTEMPT_LIMIT && is_retryable(error);
        safe && in_time && worthwhile && self.context.node.retries.try_take()
    }

    fn abandoned_error(&self) -> CallerError {
        CallerError::not_run(ErrorCode::BackendFailed, "the caller left")
            .of(self.job.request)
            .with_verdict(self.verdict)
    }

    fn count(&self, outcome: &RequestOutcome) {
        let key = TrafficKey {
            customer: self.job.customer,
            class: self.job.class,
        };
        let generated = u64::from(self.tokens - self.job.resume_tokens);
        let on_time = self.is_on_time();
        let weight = self.job.goodput_weight;
        self.context
            .node
            .counters
            .count(key, |count: &mut TrafficCount| match outcome {
                RequestOutcome::Whole => {
                    count.whole += 1;
                    count.on_time += u64::from(on_time);
                    count.goodput += weight;
                    count.useful_tokens += generated;
                }
                RequestOutcome::Refused(error)
                    if error.code == ErrorCode::Shed && self.attempts == 0 =>
                {
                    count.shed += 1;
                }
                RequestOutcome::Refused(_) | RequestOutcome::Failed(_) => {
                    count.failed += 1;
                    count.wasted_tokens += generated;
                }
                RequestOutcome::Abandoned => {
                    count.cancelled += 1;
                    count.wasted_tokens += generated;
                }
            });
        if matches!(outcome, RequestOutcome::Whole) {
            self.context.node.retries.succeeded();
        }
    }

    /// Returns whether the first token and the mean time between tokens met the class's targets.
    fn is_on_time(&self) -> bool {
        let (Some(first), Some(last)) = (self.first_token, self.last_token) else {
            return false;
        };
        let gaps = u64::from((self.tokens - self.job.resume_tokens).saturating_sub(1)).max(1);
        let mean_gap = Span(last.since(first).0 / gaps);
        first.since(self.job.arrived) <= self.job.first_token_target
            && mean_gap <= self.job.token_gap_target
    }
}

/// Returns what the caller asks for, the same for all repeats of the request.
fn digest(job: &CompletionJob) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: "POST",
        host: "",
        target: match job.call.kind {
            CompletionKind::Chat => "chat",
            CompletionKind::Text => "text",
        },
        customer: Some(&job.customer.to_string()),
        body: &job.body,
    })
}

fn no_backend(model: &str) -> CallerError {
    let message = format!("no backend server serves model `{}`", model.escape_debug());
    CallerError::not_run(ErrorCode::NotFound, message)
}

fn engine_path(kind: CompletionKind) -> EnginePath {
    match kind {
        CompletionKind::Chat => EnginePath::Chat,
        CompletionKind::Text => EnginePath::Completions,
    }
}

/// Returns whether another attempt may succeed. A request that an engine rejects with a status
/// below 500, that is not valid HTTP or whose answer is too large would fail elsewhere as well.
fn is_retryable(error: &EngineError) -> bool {
    match &error.failure {
        EngineFailure::Status { status, .. } => *status >= 500,
        EngineFailure::Attempt(AttemptFailure::Request(_) | AttemptFailure::TooLarge { .. }) => {
            false
        }
        _ => true,
    }
}

fn attempt_error(error: &EngineError) -> CallerError {
    let code = match &error.failure {
        EngineFailure::Attempt(
            AttemptFailure::ConnectTimeout
            | AttemptFailure::FirstByteTimeout
            | AttemptFailure::IdleTimeout,
        ) => ErrorCode::Timeout,
        EngineFailure::Status { status, .. } if *status < 500 => ErrorCode::BadRequest,
        _ => ErrorCode::BackendFailed,
    };
    CallerError::not_run(code, error.to_string())
}
