//! Serves one request from its head to the end of its answer.
//!
//! A run makes one attempt after another until an answer is delivered or no further attempt is
//! allowed. The verdicts of the attempts are joined. A request is refused with the promise that it
//! has not run only if no attempt may have run it, and after an attempt that may have run it, it is
//! sent again only if it may be repeated. A stream that breaks is resumed at another backend server
//! after its last complete event if its route allows that, and only at the software version that
//! began it.

mod attempt;
mod buffered;
mod evidence;
mod memory;
mod origin;
mod outlet;
mod pacing;
mod recording;
mod relay;
mod slot;
mod stream;
mod suspects;
mod usage;
mod wait;

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use oleander_balance::{
    Admission, AdmissionQuery, BackendKey, Choice, RequestTraits, SuspectSet, VersionId, admit,
};
use oleander_base::{RequestContent, monotonic_now};

use self::attempt::Step;
use self::buffered::BufferedAnswer;
use self::outlet::CallerOutlet;
use crate::client_budget::ClientHold;
use crate::client_io::write_message;
use crate::core::{ChoiceQuery, GatewayCore};
use crate::http::{HttpConn, RequestHead};
use crate::metrics::RequestEnd;
use crate::port::{GatewayAnswer, RoutedCall};
use crate::prelude::*;

/// The least time left with which a request is still sent to a backend server.
const MIN_SEND_TIME: Span = Span::from_millis(10);

/// How long before the caller's own deadline the last answer is given.
const ANSWER_MARGIN: Span = Span::from_millis(15);

/// The shortest delay after which a refused caller may retry.
const MIN_RETRY_DELAY: Span = Span::from_millis(250);

/// The random part added to [`MIN_RETRY_DELAY`], so that refused callers do not return together.
const RETRY_DELAY_JITTER: Span = Span::from_millis(500);

/// A request whose route is known and whose body was read completely.
#[derive(Debug)]
pub(crate) struct RequestJob {
    pub(crate) head: RequestHead,
    pub(crate) facts: CallFacts,
    pub(crate) routed: RoutedCall,
    pub(crate) body: Bytes,
    pub(crate) started: MonoTime,
    pub(crate) manifest_version: u64,
    /// The place and the memory of the caller's connection.
    pub(crate) hold: Rc<ClientHold>,
}

impl RequestJob {
    /// Returns the identity of the request over its repeats.
    fn digest(&self) -> RequestDigest {
        RequestDigest::of(&RequestContent {
            method: self.head.method(),
            host: self.head.host(),
            target: self.head.target(),
            customer: self.routed.customer.as_deref(),
            body: &self.body,
        })
    }
}

/// The result of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunResult {
    pub(crate) end: RequestEnd,
    /// Whether the caller's connection can be used for another request.
    pub(crate) keeps_alive: bool,
}

/// The state of one request's run: its attempts so far, their joined verdict, and what was already
/// delivered.
pub(crate) struct RequestRun<'a> {
    core: &'a Rc<GatewayCore>,
    caller: &'a mut HttpConn,
    job: &'a RequestJob,
    attempt_id: &'a str,
    digest: RequestDigest,
    /// The request and the parts of its prompt, which may crash backend servers.
    suspects: SuspectSet,
    deadline: MonoTime,
    tried: Vec<BackendKey>,
    /// The software version that the stream goes on at, once it has begun.
    origin: Option<VersionId>,
    sends: u32,
    runs: u32,
    /// Whether it holds the claim to probe its suspects, until it may have run.
    is_probe: bool,
    verdict: Verdict,
    failed_answer: Option<BufferedAnswer>,
    is_head_sent: bool,
    /// The content type of the stream that the caller has received a part of.
    stream_type: Option<Box<str>>,
    closes: bool,
    last_event: Option<u64>,
    /// Whether the stream can go on after the last event that the caller has received, because it has an id.
    has_resume_point: bool,
    /// Whether the last attempt may have delivered the whole stream, because its backend server's process ended after a
    /// complete event.
    may_be_complete: bool,
    events: usize,
    first_after: Option<Span>,
    longest_gap: Span,
    last_problem: String,
    /// The delay after which the caller may retry, if admission control refused the request or the
    /// backend servers back off.
    admission_delay: Option<Span>,
    /// The delay after which the caller may retry, if it was refused by its deadline.
    deadline_delay: Option<Span>,
    /// The gateways that the request was relayed to.
    relayed_to: Vec<Arc<str>>,
    /// Whether the stream began through another gateway, so that only others know its version.
    began_relayed: bool,
    /// Whether no other gateway is left to relay to.
    has_no_relay: bool,
    /// Whether the next send is paid for out of the retry budget.
    has_retry: bool,
    /// How many times no slot was free at a chosen backend server.
    full_replies: u32,
    /// Whether it waits for a slot at the next backend server.
    waits_for_slot: bool,
    /// What the caller has not taken of its stream, if that is read ahead.
    outlet: Option<CallerOutlet<'a>>,
}

impl<'a> RequestRun<'a> {
    /// Serves a request until it ends, and logs the end.
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
            // The gateway that relays a request counts it.
            if !job.facts.is_relayed {
                state.retries.count_request(&limits, monotonic_now());
            }
            let request = RequestTraits {
                parts: &job.facts.parts,
                prompt_tokens: job.facts.prompt_tokens,
                urgency: job.routed.urgency,
            };
            state.traffic.record(&request, monotonic_now());
        });
        let digest = job.digest();
        let mut run = Self {
            core,
            caller,
            job,
            attempt_id: job.facts.attempt_id.as_deref().unwrap_or(""),
            digest,
            suspects: SuspectSet::of(service, digest, &job.facts.parts),
            deadline: job.started + allowed,
            tried: Vec::new(),
            origin: None,
            sends: 0,
            runs: 0,
            is_probe: false,
            verdict: Verdict::NotRun,
            failed_answer: None,
            is_head_sent: false,
            stream_type: None,
            closes: !job.head.keeps_alive,
            last_event: job.facts.resume_from,
            has_resume_point: true,
            may_be_complete: false,
            events: 0,
            first_after: None,
            longest_gap: Span::ZERO,
            last_problem: String::new(),
            admission_delay: None,
            deadline_delay: None,
            relayed_to: Vec::new(),
            began_relayed: false,
            has_no_relay: false,
            has_retry: false,
            full_replies: 0,
            waits_for_slot: false,
            outlet: None,
        };
        let result = run.run().await;
        run.log_end(result);
        result
    }

    async fn run(&mut self) -> RunResult {
        match self.find_origin().await {
            Step::Done(result) => return result,
            Step::GiveUp(reason) => return self.give_up(reason).await,
            Step::TryAgain => {}
        }
        loop {
            let step = if self.relays() {
                self.relay().await
            } else {
                match self.choose().await {
                    Ok(choice) => self.attempt(&choice).await,
                    Err(reason) => Step::GiveUp(reason),
                }
            };
            match step {
                Step::Done(result) => return result,
                Step::TryAgain => {}
                Step::GiveUp(reason) => return self.give_up(reason).await,
            }
        }
    }

    async fn choose(&mut self) -> Result<Choice, &'static str> {
        if self.time_left() < MIN_SEND_TIME {
            return Err("no time left");
        }
        if self.is_cut_off() {
            return Err("this gateway is cut off from all backend servers");
        }
        self.check_suspects().await?;
        let routed = &self.job.routed;
        let query = ChoiceQuery {
            service: &routed.service,
            facts: &self.job.facts,
            route: &routed.route,
            urgency: routed.urgency,
            tried: &self.tried,
            accepts_full: false,
            version: self.origin,
            paced: self.paced_request(),
        };
        let missing = match self.origin {
            Some(_) => "no backend server of the version that began the stream",
            None => "no backend server",
        };
        let free = match self.asks_further() {
            true => self.core.choose(&query),
            false => None,
        };
        self.waits_for_slot = free.is_none();
        let full = || {
            self.core.choose(&ChoiceQuery {
                accepts_full: true,
                ..query
            })
        };
        let Some(choice) = free.or_else(full) else {
            self.admission_delay = self.core.first_opening(&routed.service);
            return Err(missing);
        };
        match choice.outlook {
            Some(outlook) => self.admit_by_deadline(&choice, &outlook)?,
            None if self.tried.is_empty() => self.admit(&choice)?,
            None => {}
        }
        if self.sends > 0 && !self.has_retry && !self.core.take_retry(&routed.service) {
            return Err("no retry budget");
        }
        self.has_retry = self.sends > 0;
        Ok(choice)
    }

    /// Refuses a request that would wait far longer than its latency target.
    fn admit(&mut self, choice: &Choice) -> Result<(), &'static str> {
        let routed = &self.job.routed;
        let is_least_urgent = self.core.with_service(&routed.service, |state| {
            state.traffic.is_least_urgent(routed.urgency)
        });
        let query = AdmissionQuery {
            first_wait: choice.first_wait,
            first_target: routed.route.latency_target,
            time_left: self.job.facts.time_left.unwrap_or(routed.route.timeout),
            route_time: routed.route.timeout,
            is_least_urgent,
            has_queue: choice.has_queue,
        };
        match admit(&query) {
            Admission::Admit => Ok(()),
            Admission::RetryAfter(after) => {
                self.log_not_admitted(choice, &query, after);
                self.admission_delay = Some(after);
                Err("the queues are too long")
            }
        }
    }

    /// Returns whether the request was relayed here in vain.
    fn is_cut_off(&self) -> bool {
        self.job.facts.is_relayed && self.core.reach.is_cut_off()
    }

    fn time_left(&self) -> Span {
        if self.is_ended_by_stop() {
            return Span::ZERO;
        }
        self.deadline.since(monotonic_now())
    }

    /// Returns whether the stopping gateway gives the request its final answer now.
    fn is_ended_by_stop(&self) -> bool {
        !self.is_head_sent && self.core.shutdown.ends_requests()
    }

    /// Returns whether a request that may have run may be sent once more. A stream may not if the caller would receive
    /// events twice.
    fn may_run_again(&self) -> bool {
        let route = &self.job.routed.route;
        route.repeat.is_repeatable() && self.runs < route.max_attempts && self.has_resume_point
    }

    /// Ends a request for which no further attempt is possible.
    async fn give_up(&mut self, reason: &'static str) -> RunResult {
        let reason = match self.is_ended_by_stop() {
            true => "the gateway stops",
            false => reason,
        };
        if self.last_problem.is_empty() {
            self.last_problem = reason.to_owned();
        }
        if self.is_head_sent {
            if let Err(result) = self.drain_outlet().await {
                return result;
            }
            return RunResult {
                end: RequestEnd::Cut,
                keeps_alive: false,
            };
        }
        if let Some(buffered) = self.failed_answer.take() {
            return self.deliver(buffered).await;
        }
        let is_refusal = self.verdict == Verdict::NotRun;
        if is_refusal {
            self.core.metrics.record_refusal(reason);
        }
        let status = match (is_refusal, self.time_left() < MIN_SEND_TIME) {
            (true, _) => 503,
            (false, true) => 504,
            (false, false) => 502,
        };
        let answer = GatewayAnswer {
            status,
            reason,
            retry_after: is_refusal.then(|| self.return_delay()),
            verdict: self.verdict,
            closes: self.closes,
            is_cut_off: is_refusal && self.is_cut_off(),
        };
        let job = self.job;
        let is_written =
            write_gateway_answer(self.core, self.caller, &job.hold, &job.facts, &answer).await;
        RunResult {
            end: if is_refusal {
                RequestEnd::Refused
            } else {
                RequestEnd::Failed
            },
            keeps_alive: is_written && !self.closes,
        }
    }

    fn caller_left(&mut self) -> RunResult {
        self.last_problem = "the caller left".to_owned();
        RunResult {
            end: RequestEnd::CallerLeft,
            keeps_alive: false,
        }
    }
}

/// Returns the randomised delay after which a refused caller may retry.
pub(crate) fn retry_delay(core: &GatewayCore) -> Span {
    let jitter = RETRY_DELAY_JITTER.0 as f64 * core.random();
    MIN_RETRY_DELAY + Span(jitter as u64)
}

/// Writes an answer of the gateway itself; returns whether the write succeeded.
pub(crate) async fn write_gateway_answer(
    core: &GatewayCore,
    caller: &HttpConn,
    hold: &ClientHold,
    facts: &CallFacts,
    answer: &GatewayAnswer<'_>,
) -> bool {
    let mut out = Vec::with_capacity(512);
    core.port.encode_gateway_answer(facts, answer, &mut out);
    write_message(caller, hold, &out, b"").await.is_ok()
}
