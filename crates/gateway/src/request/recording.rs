//! Records the events of a request in the log, the metrics and the state of backend servers.

use std::sync::Arc;

use oleander_balance::{AdmissionQuery, BackendState, Choice, HeldStream, PromptPart};
use oleander_base::monotonic_now;
use serde::Serialize;

use super::attempt::SendTarget;
use super::stream::{StreamEnd, StreamTiming};
use super::{RequestRun, RunResult};
use crate::exchange::Exchange;
use crate::http::ConnError;
use crate::log_line::LineKind;
use crate::metrics::RequestEnd;
use crate::prelude::*;
use crate::resolved_origin::{OriginSource, ResolvedOrigin};

#[derive(Debug, Serialize)]
struct SendFields<'a> {
    id: &'a str,
    backend: &'a str,
    service: &'a str,
    software: &'a str,
    /// The start time of its process by its entry.
    started_ms: Option<u64>,
    urgency: u8,
    unread: f64,
    part: Option<String>,
    home_rank: Option<usize>,
    cost: f64,
    first_wait_ms: f64,
    candidates: usize,
    send: u32,
    left_ms: f64,
    resume_from: Option<u64>,
    resumed_attempt: Option<&'a str>,
    manifest: u64,
    registry: u64,
    store_age_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct ResumeFields<'a> {
    id: &'a str,
    resumed_attempt: Option<&'a str>,
    service: &'a str,
    version: Option<String>,
    source: &'static str,
    asked: usize,
    replied: usize,
    /// The time since this gateway's view of the registry was last known to be complete.
    view_age_ms: Option<f64>,
    is_registry_known: Option<bool>,
    took_ms: f64,
}

#[derive(Debug, Serialize)]
struct NotAdmittedFields<'a> {
    id: &'a str,
    backend: Option<Arc<str>>,
    first_wait_ms: f64,
    target_ms: f64,
    time_left_ms: f64,
    return_after_ms: f64,
}

#[derive(Debug, Serialize)]
struct AttemptFields<'a> {
    id: &'a str,
    backend: &'a str,
    verdict: Verdict,
    outcome: &'a str,
    took_ms: f64,
    /// The request's digest, the same for all repeats of the request.
    digest: String,
    /// The parts of the prompt, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    parts: Vec<String>,
    /// The belief about the backend server's room, of a rejected attempt.
    #[serde(skip_serializing_if = "Option::is_none")]
    room: Option<RoomFields>,
}

#[derive(Debug, Serialize)]
struct RoomFields {
    grounds: &'static str,
    threshold: Option<u32>,
    pending: u32,
    report_age_ms: Option<f64>,
    since_rejection_ms: Option<f64>,
}

impl RoomFields {
    fn of(target: &SendTarget) -> Option<Self> {
        let room = target.room?;
        Some(Self {
            grounds: target.grounds.as_str(),
            threshold: room.threshold,
            pending: room.pending,
            report_age_ms: room.report_age.map(Span::as_millis_f64),
            since_rejection_ms: room.since_rejection.map(Span::as_millis_f64),
        })
    }
}

#[derive(Debug, Serialize)]
struct NoSlotFields<'a> {
    id: &'a str,
    service: &'a str,
    /// The backend servers that had no free slot.
    asked: u32,
    waited_ms: f64,
    return_after_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct NoMemoryFields<'a> {
    id: &'a str,
    service: &'a str,
    /// What the request needs at most.
    tokens: u32,
    /// The backend servers that had no free memory.
    asked: u32,
    waited_ms: f64,
}

#[derive(Debug, Serialize)]
struct GivenUpFields<'a> {
    id: &'a str,
    reason: &'a str,
    /// The bytes that the caller has not taken yet, and those that it has taken.
    held: usize,
    taken: u64,
    since_progress_ms: f64,
    held_for_all: usize,
}

#[derive(Debug, Serialize)]
struct StreamFields<'a> {
    id: &'a str,
    backend: &'a str,
    framing: &'static str,
    broken_by: &'a str,
    events: usize,
    last_event: Option<u64>,
    partial_bytes: usize,
}

#[derive(Debug, Serialize)]
struct UnframedEndFields<'a> {
    id: &'a str,
    backend: &'a str,
    /// The name of the [`crate::liveness::EndEvidence`].
    evidence: &'static str,
    last_event: Option<u64>,
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

#[derive(Debug, Serialize)]
struct EjectedFields<'a> {
    backend: &'a str,
    reason: &'a str,
}

/// Returns the parts of a prompt as log lines name them.
fn part_names(parts: &[PromptPart]) -> Vec<String> {
    parts.iter().map(|part| part.id.to_string()).collect()
}

impl RequestRun<'_> {
    /// Calls a function with the state of the backend server that an attempt was sent to, if it still exists.
    pub(super) fn with_target<T>(
        &self,
        target: &SendTarget,
        work: impl FnOnce(&mut BackendState) -> T,
    ) -> Option<T> {
        self.core.with_backend(target.key?, work)
    }

    pub(super) fn record_rejection(&self, target: &SendTarget, sent_at: MonoTime) {
        let service = &self.job.routed.service;
        self.core
            .metrics
            .record_attempt(service, Verdict::NotRun.as_str());
        if target.key.is_some() {
            self.core
                .metrics
                .record_rejection(service, target.grounds.as_str());
        }
        self.log_attempt(
            "attempt-rejected",
            target,
            Verdict::NotRun,
            &self.last_problem,
            sent_at,
        );
    }

    fn log_attempt(
        &self,
        event: &'static str,
        target: &SendTarget,
        verdict: Verdict,
        outcome: &str,
        sent_at: MonoTime,
    ) {
        let fields = AttemptFields {
            id: self.attempt_id,
            backend: &target.id,
            verdict,
            outcome,
            took_ms: monotonic_now().since(sent_at).as_millis_f64(),
            digest: self.digest.to_string(),
            parts: part_names(&self.job.facts.parts),
            room: (event == "attempt-rejected")
                .then(|| RoomFields::of(target))
                .flatten(),
        };
        self.core
            .log
            .request(event, LineKind::Failure, self.attempt_id, fields);
    }

    pub(super) fn record_failure(
        &self,
        target: &SendTarget,
        verdict: Verdict,
        outcome: &str,
        at: MonoTime,
    ) {
        let now = monotonic_now();
        let service = &self.job.routed.service;
        self.core.metrics.record_attempt(service, verdict.as_str());
        let ejected = self
            .with_target(target, |state| state.failed(now))
            .unwrap_or(false);
        self.log_attempt("attempt-failed", target, verdict, outcome, at);
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

    pub(super) fn record_success(&self, target: &SendTarget) {
        let now = monotonic_now();
        let service = &self.job.routed.service;
        self.core
            .metrics
            .record_attempt(service, Verdict::Ran.as_str());
        self.with_target(target, |state| state.succeeded(target.slots, now));
    }

    /// Returns why the rest of an answer could not be read, and counts the bound that it passed, if any.
    pub(super) fn broken_by(&self, error: &ConnError) -> String {
        if let ConnError::OverBound(bound) = error {
            self.core.metrics.record_bound(*bound);
        }
        error.to_string()
    }

    /// Counts how one attempt's stream ended, and logs it unless it is complete.
    pub(super) fn record_stream_end(&self, target: &SendTarget, end: &StreamEnd<'_>) {
        let framing = end.framing.as_str();
        self.core
            .metrics
            .record_stream_end(framing, end.broken_by.is_none());
        let Some(broken_by) = end.broken_by else {
            return;
        };
        let fields = StreamFields {
            id: self.attempt_id,
            backend: &target.id,
            framing,
            broken_by,
            events: end.events,
            last_event: self.last_event,
            partial_bytes: end.partial_bytes,
        };
        self.core
            .log
            .request("stream-broken", LineKind::Failure, self.attempt_id, fields);
    }

    /// Counts the end of an answer with neither a length nor chunks, and logs what was known of the backend server's
    /// process then. Does nothing before such an end.
    pub(super) fn record_unframed_end(&self, target: &SendTarget, answer: &Exchange) {
        let Some(evidence) = answer.end_evidence() else {
            return;
        };
        self.core.metrics.record_unframed_end(evidence.as_str());
        let kind = match evidence.is_alive() {
            true => LineKind::Normal,
            false => LineKind::Failure,
        };
        let fields = UnframedEndFields {
            id: self.attempt_id,
            backend: &target.id,
            evidence: evidence.as_str(),
            last_event: self.last_event,
        };
        self.core
            .log
            .request("unframed-end", kind, self.attempt_id, fields);
    }

    pub(super) fn record_latency(
        &self,
        timing: &StreamTiming,
        target: &SendTarget,
        sent_at: MonoTime,
    ) {
        let (Some(sample), true) = (timing.sample(sent_at), target.key.is_some()) else {
            return;
        };
        let first_after = timing.first.map(|first| first.since(sent_at));
        let sample = self.without_wait(sample, first_after.unwrap_or_default());
        let service = &self.job.routed.service;
        self.core
            .metrics
            .record_longest_gap(service, sample.longest_gap);
        self.with_target(target, |state| state.latency.observe(&sample));
        self.core
            .with_service(service, |state| state.latency.observe(&sample));
    }

    pub(super) fn log_send(&self, choice: &Choice, target: &SendTarget) {
        let view = self.core.view.borrow();
        let now = monotonic_now();
        self.core.log.request(
            "send",
            LineKind::Normal,
            self.attempt_id,
            SendFields {
                id: self.attempt_id,
                backend: &target.id,
                service: &self.job.routed.service,
                software: &target.software,
                started_ms: target.started_ms,
                urgency: self.job.routed.urgency,
                unread: choice.prefill.total().round(),
                part: choice.part.map(|part| part.to_string()),
                home_rank: choice.home_rank,
                cost: choice.cost.round(),
                first_wait_ms: choice.first_wait.as_millis_f64().round(),
                candidates: choice.candidates,
                send: self.sends + 1,
                left_ms: self.time_left().as_millis_f64(),
                resume_from: self.last_event,
                resumed_attempt: self.job.facts.resumed_attempt.as_deref(),
                manifest: self.job.manifest_version,
                registry: view.version.revision.0,
                store_age_ms: view
                    .store_contact
                    .map(|contact| now.since(contact).as_millis_f64()),
            },
        );
    }

    /// Records how the version of a stream that the caller resumes was found.
    pub(super) fn record_resume(&self, origin: &ResolvedOrigin, started: MonoTime) {
        let source = origin.source.as_str();
        self.core.metrics.record_resume(source);
        let kind = match origin.source {
            OriginSource::Unknown => LineKind::Failure,
            _ => LineKind::Normal,
        };
        let now = monotonic_now();
        let complete_at = self.core.view.borrow().complete_at;
        let fields = ResumeFields {
            id: self.attempt_id,
            resumed_attempt: self.job.facts.resumed_attempt.as_deref(),
            service: &self.job.routed.service,
            version: origin.version.map(|version| version.to_string()),
            source,
            asked: origin.asked,
            replied: origin.replied,
            view_age_ms: complete_at.map(|at| now.since(at).as_millis_f64()),
            is_registry_known: origin.is_registry_known,
            took_ms: now.since(started).as_millis_f64(),
        };
        self.core
            .log
            .request("stream-resumed", kind, self.attempt_id, fields);
    }

    /// Logs why a request was refused before it was sent to any backend server.
    pub(super) fn log_not_admitted(&self, choice: &Choice, query: &AdmissionQuery, after: Span) {
        let target = self.target(choice);
        self.core.log.request(
            "not-admitted",
            LineKind::Failure,
            self.attempt_id,
            NotAdmittedFields {
                id: self.attempt_id,
                backend: target.map(|target| target.id),
                first_wait_ms: query.first_wait.as_millis_f64().round(),
                target_ms: query.first_target.as_millis_f64(),
                time_left_ms: query.time_left.as_millis_f64(),
                return_after_ms: after.as_millis_f64().round(),
            },
        );
    }

    /// Logs that a request is refused because it got no slot.
    pub(super) fn log_no_slot(&self, asked: u32, waited: Span) {
        let fields = NoSlotFields {
            id: self.attempt_id,
            service: &self.job.routed.service,
            asked,
            waited_ms: waited.as_millis_f64(),
            return_after_ms: self.admission_delay.map(Span::as_millis_f64),
        };
        self.core
            .log
            .request("no-slot", LineKind::Failure, self.attempt_id, fields);
    }

    /// Logs that a request is refused because it got no memory.
    pub(super) fn log_no_memory(&self, tokens: u32, waited: Span) {
        let fields = NoMemoryFields {
            id: self.attempt_id,
            service: &self.job.routed.service,
            tokens,
            asked: self.full_replies,
            waited_ms: waited.as_millis_f64(),
        };
        self.core
            .log
            .request("no-memory", LineKind::Failure, self.attempt_id, fields);
    }

    /// Logs that a stream is given up because the caller does not take it.
    pub(super) fn log_given_up(&self, stream: &HeldStream, reason: &str) {
        let now = monotonic_now();
        let fields = GivenUpFields {
            id: self.attempt_id,
            reason,
            held: stream.held,
            taken: stream.taken,
            since_progress_ms: now.since(stream.progress_at).as_millis_f64(),
            held_for_all: self.core.read_ahead.held_bytes(),
        };
        self.core.log.request(
            "stream-given-up",
            LineKind::Failure,
            self.attempt_id,
            fields,
        );
    }

    pub(super) fn log_end(&self, result: RunResult) {
        let total = monotonic_now().since(self.job.started);
        let service = &self.job.routed.service;
        self.core
            .metrics
            .record_request_end(service, result.end, total);
        let kind = match result.end {
            RequestEnd::Answered | RequestEnd::CallerLeft => LineKind::Normal,
            _ => LineKind::Failure,
        };
        self.core.log.request(
            "end",
            kind,
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
