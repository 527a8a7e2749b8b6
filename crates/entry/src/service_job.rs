//! Runs one call to a plain service: guard, slot, attempt, and a retry where that is safe.
//!
//! A call on an idempotent route may be repeated within the retry budget. Any other call runs only
//! under a permit of the at-most-once guard, which refuses to send a call again after an attempt
//! that may have run.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{HeaderMap, Method};
use ntex::util::Bytes;
use oleander_attempt::{AttemptFailure, AttemptTimeouts};
use oleander_base::prelude::*;
use oleander_base::{EndKind, ReleaseNotice, RequestContent, monotonic_now};
use oleander_caller::{CallerError, ErrorCode};
use oleander_once::{
    Admission, BodyHash, KeptAnswer, OnceCall, Refusal, RefuseReason, RepeatAnswer, RunPermit,
};
use oleander_service::{ServiceAnswer, ServiceCall, ServiceError, ServiceFailure};

use oleander_operator::TrafficCount;

use crate::counters::{TrafficKey, increment};
use crate::crash_check;
use crate::http_answer::HttpAnswer;
use crate::ticket_tracker::TicketOutcome;
use crate::worker::WorkerContext;

/// Limit on the attempts of one call, the first one included.
const ATTEMPT_LIMIT: u32 = 4;
/// Timeouts for the phases of an attempt at a plain service.
const SERVICE_TIMEOUTS: AttemptTimeouts = AttemptTimeouts {
    connect: Duration::from_millis(1_000),
    first_byte: Duration::from_secs(20),
    idle: Duration::from_secs(10),
};

/// A call to a plain service that was accepted for dispatch.
#[derive(Debug, Clone)]
pub(crate) struct ServiceJob {
    /// The request's id.
    pub request: RequestId,
    /// The service's default pool at the VM that accepted the call; spill-over may choose another
    /// pool for each attempt.
    pub pool: PoolId,
    /// The customer that sent the call.
    pub customer: CustomerId,
    /// The request class.
    pub class: ClassId,
    /// The tier of the request class.
    pub tier: Tier,
    /// The class's target for the time to the answer.
    pub target: Span,
    /// The time after arrival for which the call may wait for a slot or be retried.
    pub patience: Span,
    /// The goodput that an answer counts for.
    pub goodput_weight: f64,
    /// The HTTP method.
    pub method: Method,
    /// The path and query below the service's prefix.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the call can be repeated without further effect.
    pub idempotent: bool,
    /// The bound token, if the call has one.
    pub token: Option<String>,
    /// The idempotency key, if the call has one.
    pub key: Option<String>,
    /// Whether another entry VM forwarded the call to this one.
    pub forwarded: bool,
    /// The arrival time of the call.
    pub arrived: MonoTime,
}

/// The result of running a call as far as this VM may.
#[derive(Debug)]
pub(crate) enum ServiceStep {
    /// The call ended here with this answer.
    Answered(HttpAnswer),
    /// The call must be forwarded to this instance, which decides it.
    Forward(InstanceId),
}

/// A slot in use. Dropping it releases the slot, however the call ends.
struct SlotGuard {
    context: Rc<WorkerContext>,
    notice: ReleaseNotice,
    sent: MonoTime,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.notice.total = monotonic_now().since(self.sent);
        self.context.node.release(self.notice);
    }
}

/// Runs a call, unless another instance must decide it.
pub(crate) async fn run_service(context: &Rc<WorkerContext>, job: &ServiceJob) -> ServiceStep {
    if job.idempotent {
        return ServiceStep::Answered(ServiceRun::new(context, job).run_repeatable().await);
    }
    let call = OnceCall {
        customer: job.customer,
        request: job.request,
        arrived: job.arrived,
        body: BodyHash::of(&[
            job.method.as_str().as_bytes(),
            job.path.as_bytes(),
            &job.body,
        ]),
        token: job.token.as_deref(),
        key: job.key.as_deref(),
        forwarded: job.forwarded,
    };
    match context.shared.guard.admit(call).await {
        Admission::Run(permit) => {
            ServiceStep::Answered(ServiceRun::new(context, job).run_once(permit).await)
        }
        Admission::Forward(instance) => ServiceStep::Forward(instance),
        Admission::Answer(repeat) => ServiceStep::Answered(repeated_answer(repeat)),
        Admission::Refuse(refusal) => ServiceStep::Answered(refusal_answer(&refusal, job.request)),
    }
}

struct ServiceRun<'a> {
    context: &'a Rc<WorkerContext>,
    job: &'a ServiceJob,
    pool: PoolId,
    attempts: u32,
    verdict: Verdict,
    avoid: Option<BackendId>,
    digest: RequestDigest,
}

impl<'a> ServiceRun<'a> {
    fn new(context: &'a Rc<WorkerContext>, job: &'a ServiceJob) -> Self {
        Self {
            context,
            job,
            pool: job.pool,
            attempts: 0,
            verdict: Verdict::NotRun,
            avoid: None,
            digest: digest(job),
        }
    }

    /// Runs a call that may be repeated.
    async fn run_repeatable(mut self) -> HttpAnswer {
        loop {
            let backend = match self.wait_for_slot().await {
                Ok(backend) => backend,
                Err(error) => return self.refused_answer(&error),
            };
            match self.attempt(backend).await {
                Ok(answer) => return self.success_answer(&answer),
                Err(error) => {
                    self.verdict = self.verdict.join(error.verdict);
                    if !self.is_retry_allowed() {
                        return self.failed_answer(&error);
                    }
                    self.avoid = Some(backend);
                }
            }
        }
    }

    /// Runs a call that must take effect at most once.
    async fn run_once(mut self, mut permit: RunPermit) -> HttpAnswer {
        loop {
            let backend = match self.wait_for_slot().await {
                Ok(backend) => backend,
                Err(error) => {
                    self.verdict = permit.finish(None);
                    return self.refused_answer(&error);
                }
            };
            let attempt = match permit.begin_send(backend) {
                Ok(attempt) => attempt,
                Err(refused) => {
                    self.release_unused(backend);
                    self.verdict = permit.finish(None);
                    let error = CallerError::not_run(ErrorCode::Timeout, refused.to_string());
                    return self.refused_answer(&error);
                }
            };
            match self.attempt(backend).await {
                Ok(answer) => {
                    permit.resolve(attempt, Verdict::Ran);
                    let verdict = permit.finish(Some(kept_answer(&answer)));
                    debug_assert_eq!(verdict, Verdict::Ran);
                    return self.success_answer(&answer);
                }
                Err(error) => {
                    permit.resolve(attempt, error.verdict);
                    self.verdict = self.verdict.join(error.verdict);
                    let is_safe = self.verdict == Verdict::NotRun;
                    if !is_safe || !self.is_retry_allowed() {
                        self.verdict = permit.finish(None);
                        return self.failed_answer(&error);
                    }
                    self.avoid = Some(backend);
                }
            }
        }
    }

    async fn wait_for_slot(&mut self) -> Result<BackendId, CallerError> {
        let job = self.job;
        let mut ticket = Ticket {
            request: job.request,
            pool: job.pool,
            class: job.class,
            tier: job.tier,
            customer: job.customer,
            waited: monotonic_now().since(job.arrived),
            target: job.target,
            patience: job.patience,
            prompt_tokens: 0,
            answer_limit: 1,
            prefix: None,
            adapter: None,
            avoid: self.avoid,
            spilled: job.pool.centre != self.context.node.centre,
            digest: self.digest,
        };
        self.context.node.spill_over(&mut ticket);
        self.pool = ticket.pool;
        let unavailable =
            || CallerError::not_run(ErrorCode::Shed, "no entry VM can dispatch the call now");
        let outcome = self
            .context
            .node
            .request_slot(ticket)
            .ok_or_else(unavailable)?
            .await;
        match outcome {
            Ok(TicketOutcome::Granted(backend)) => Ok(backend),
            Ok(TicketOutcome::Shed {
                reason,
                retry_after,
            }) => Err(CallerError::shed(reason, retry_after)),
            Err(_) => Err(unavailable()),
        }
    }

    async fn attempt(&mut self, backend: BackendId) -> Result<ServiceAnswer, ServiceError> {
        self.attempts += 1;
        let mut slot = self.slot_guard(backend);
        let Some(address) = self.context.node.view().address(backend) else {
            slot.notice.end = EndKind::Refused;
            return Err(unknown_backend(backend));
        };
        let call = ServiceCall {
            address,
            method: self.job.method.clone(),
            path: &self.job.path,
            headers: &self.job.headers,
            body: self.job.body.clone(),
            idempotent: self.job.idempotent,
            timeouts: SERVICE_TIMEOUTS,
        };
        let result = self.context.services.forward(call).await;
        slot.notice.end = match &result {
            Ok(_) => EndKind::Finished,
            Err(error) if error.verdict == Verdict::NotRun => EndKind::Refused,
            Err(error) if is_broken(error) && crash_check::has_crashed(address).await => {
                EndKind::Crashed
            }
            Err(_) => EndKind::Failed,
        };
        if result.is_ok() {
            slot.notice.first_token = Some(monotonic_now().since(slot.sent));
            slot.notice.tokens = 1;
        }
        result
    }

    fn slot_guard(&self, backend: BackendId) -> SlotGuard {
        let notice = ReleaseNotice {
            request: self.job.request,
            pool: self.pool,
            backend,
            end: EndKind::Cancelled,
            first_token: None,
            total: Span::ZERO,
            tokens: 0,
            digest: self.digest,
        };
        SlotGuard {
            context: Rc::clone(self.context),
            notice,
            sent: monotonic_now(),
        }
    }

    /// Releases a slot that was granted but not used.
    fn release_unused(&self, backend: BackendId) {
        drop(self.slot_guard(backend));
    }

    fn is_retry_allowed(&self) -> bool {
        let node = &self.context.node;
        let in_time = monotonic_now().since(self.job.arrived) < self.job.patience;
        let allowed = in_time && self.attempts < ATTEMPT_LIMIT && node.retries.try_take();
        if allowed {
            increment(&node.counters.process.retries);
        }
        allowed
    }

    fn success_answer(&self, answer: &ServiceAnswer) -> HttpAnswer {
        let job = self.job;
        let on_time = monotonic_now().since(job.arrived) <= job.target;
        self.count(|count| {
            count.whole += 1;
            count.on_time += u64::from(on_time);
            count.goodput += job.goodput_weight;
        });
        self.context.node.retries.succeeded();
        HttpAnswer {
            status: answer.status.as_u16(),
            headers: answer.headers.clone(),
            body: answer.body.clone(),
        }
        .with_verdict(job.request, Verdict::Ran)
    }

    fn refused_answer(&self, error: &CallerError) -> HttpAnswer {
        self.count(|count| {
            if error.code == ErrorCode::Shed && self.attempts == 0 {
                count.shed += 1;
            } else {
                count.failed += 1;
            }
        });
        HttpAnswer::from_error(
            &error
                .clone()
                .with_verdict(self.verdict)
                .of(self.job.request),
        )
    }

    fn failed_answer(&self, error: &ServiceError) -> HttpAnswer {
        self.count(|count| count.failed += 1);
        let error = CallerError::not_run(ErrorCode::BackendFailed, error.failure.to_string())
            .with_verdict(self.verdict)
            .of(self.job.request);
        HttpAnswer::from_error(&error)
    }

    fn count(&self, change: impl FnOnce(&mut TrafficCount)) {
        let key = TrafficKey {
            customer: self.job.customer,
            class: self.job.class,
        };
        self.context.node.counters.count(key, change);
    }
}

/// Returns what the caller asks for, the same for all repeats of the call.
fn digest(job: &ServiceJob) -> RequestDigest {
    RequestDigest::of(&RequestContent {
        method: job.method.as_str(),
        host: "",
        target: &job.path,
        customer: Some(&job.customer.to_string()),
        body: &job.body,
    })
}

fn is_broken(error: &ServiceError) -> bool {
    match &error.failure {
        ServiceFailure::Attempt(failure) => failure.is_broken(),
        _ => false,
    }
}

fn unknown_backend(backend: BackendId) -> ServiceError {
    let reason = format!("{backend} is not on record any more");
    let failure = AttemptFailure::Connect(reason);
    ServiceError::not_run(ServiceFailure::Attempt(failure))
}

fn kept_answer(answer: &ServiceAnswer) -> KeptAnswer {
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name == "content-type");
    KeptAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.map(|(_, value)| value.clone()),
        body: bytes::Bytes::copy_from_slice(&answer.body),
    }
}

fn repeated_answer(repeat: RepeatAnswer) -> HttpAnswer {
    let content_type = repeat.answer.content_type;
    let headers = content_type
        .map(|value| ("content-type".to_owned(), value))
        .into_iter()
        .collect();
    HttpAnswer {
        status: repeat.answer.status,
        headers,
        body: Bytes::copy_from_slice(&repeat.answer.body),
    }
    .with_verdict(repeat.request, Verdict::Ran)
}

/// Returns the answer to a call that the guard refused.
pub(crate) fn refusal_answer(refusal: &Refusal, request: RequestId) -> HttpAnswer {
    let code = match refusal.reason {
        RefuseReason::BodyMismatch => ErrorCode::KeyMismatch,
        RefuseReason::StoreUnavailable | RefuseReason::ClaimTimeout | RefuseReason::AfterPause => {
            ErrorCode::StoreUnavailable
        }
        RefuseReason::Overloaded => ErrorCode::Shed,
        RefuseReason::OriginGone
        | RefuseReason::StillRunning
        | RefuseReason::AlreadyEnded
        | RefuseReason::TokenExpired
        | RefuseReason::KeyExpired => ErrorCode::Repeat,
        RefuseReason::TokenMalformed
        | RefuseReason::TokenForged
        | RefuseReason::TokenForeignCustomer
        | RefuseReason::TokenAndKey
        | RefuseReason::BadKey => ErrorCode::BadRequest,
    };
    let mut error = CallerError::not_run(code, refusal.reason.to_string())
        .with_verdict(refusal.verdict)
        .of(refusal.earlier.unwrap_or(request));
    error.retry_after = refusal.retry_after;
    HttpAnswer::from_error(&error).with_header("x-oleander-verdict-scope", refusal.scope.as_str())
}
