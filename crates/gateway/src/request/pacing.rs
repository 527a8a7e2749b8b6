//! Admits requests by their deadline, and measures streams, at services whose backend servers report their
//! pace.

use oleander_balance::{
    Choice, DeadlineQuery, DeadlineRefusal, PacedOutlook, PacedRequest, StreamSample,
    admit_by_deadline,
};
use oleander_base::monotonic_now;
use serde::Serialize;

use super::attempt::SendTarget;
use super::stream::StreamTiming;
use super::{RequestRun, retry_delay};
use crate::log_line::LineKind;
use crate::prelude::*;

/// The prompt tokens that a backend server processes in a millisecond at the least. The part of the time to the
/// first event that is longer than this rate explains was spent in waiting for a slot.
const MIN_READ_TOKENS_PER_MS: f64 = 20.0;

/// The range of the random part of the time after which a refused caller comes back, as a share of it.
const RETURN_JITTER: f64 = 0.15;

#[derive(Debug, Serialize)]
struct DeadlineFields<'a> {
    id: &'a str,
    service: &'a str,
    backend: Option<std::sync::Arc<str>>,
    urgency: u8,
    reason: &'static str,
    first_wait_ms: f64,
    target_ms: f64,
    time_left_ms: f64,
    chance: Option<f64>,
    utilisation: f64,
    slowness: f64,
    has_queue: bool,
    sends: u32,
    return_after_ms: f64,
}

impl RequestRun<'_> {
    /// Returns what the choice of a backend server needs to know of the request at a paced service.
    pub(super) fn paced_request(&self) -> PacedRequest {
        let facts = &self.job.facts;
        let is_stream = self.job.routed.route.repeat.is_stream();
        PacedRequest {
            // The size of what is left of a stream that the caller resumes is not known.
            claim: (is_stream && facts.resume_from.is_none()).then(|| facts.answer_claim()),
            prompt_tokens: facts.prompt_tokens,
            received: self.events,
            time_left: self.time_left(),
        }
    }

    /// Refuses a request that cannot end in time, or whose first event would be late because of a queue.
    pub(super) fn admit_by_deadline(
        &mut self,
        choice: &Choice,
        outlook: &PacedOutlook,
    ) -> Result<(), &'static str> {
        let routed = &self.job.routed;
        let is_first = self.tried.is_empty() && self.job.facts.resume_from.is_none();
        let (is_least_urgent, is_due) = self.core.with_service(&routed.service, |state| {
            let is_least_urgent = state.traffic.is_least_urgent(routed.urgency);
            (is_least_urgent, state.pace.refusals.is_due(routed.urgency))
        });
        let query = DeadlineQuery {
            first_wait: choice.first_wait,
            first_target: routed.route.latency_target,
            time_left: self.time_left(),
            route_time: routed.route.timeout,
            chance: outlook.chance,
            utilisation: outlook.utilisation,
            has_queue: choice.has_queue,
            is_least_urgent,
            is_due,
            was_sent: !is_first,
        };
        let verdict = admit_by_deadline(&query);
        let outcome = match verdict {
            Ok(()) if is_due => "admitted-due",
            Ok(()) => "admitted",
            Err(DeadlineRefusal::EndsTooLate) => "ends-too-late",
            Err(DeadlineRefusal::WaitsTooLong(_)) => "waits-too-long",
        };
        self.core.metrics.record_deadline(&routed.service, outcome);
        match verdict {
            Ok(()) => {
                if is_first {
                    self.core.with_service(&routed.service, |state| {
                        state
                            .pace
                            .refusals
                            .admitted(routed.urgency, monotonic_now());
                    });
                }
                Ok(())
            }
            Err(refusal) => {
                self.refuse_by_deadline(choice, outlook, &query, refusal);
                Err(refusal.as_str())
            }
        }
    }

    fn refuse_by_deadline(
        &mut self,
        choice: &Choice,
        outlook: &PacedOutlook,
        query: &DeadlineQuery,
        refusal: DeadlineRefusal,
    ) {
        let routed = &self.job.routed;
        let after = self.core.with_service(&routed.service, |state| {
            let refusals = &mut state.pace.refusals;
            let excess = refusal.excess();
            refusals.refused(routed.urgency, excess, query.time_left, monotonic_now())
        });
        let factor = 1.0 - RETURN_JITTER * self.core.random();
        let after = Span((after.0 as f64 * factor) as u64);
        let fields = DeadlineFields {
            id: self.attempt_id,
            service: &routed.service,
            backend: self.target(choice).map(|target| target.id),
            urgency: routed.urgency,
            reason: refusal.as_str(),
            first_wait_ms: query.first_wait.as_millis_f64().round(),
            target_ms: query.first_target.as_millis_f64(),
            time_left_ms: query.time_left.as_millis_f64(),
            chance: query.chance,
            utilisation: query.utilisation,
            slowness: outlook.slowness,
            has_queue: query.has_queue,
            sends: self.sends,
            return_after_ms: after.as_millis_f64().round(),
        };
        self.core.log.request(
            "refused-by-deadline",
            LineKind::Failure,
            self.attempt_id,
            fields,
        );
        self.deadline_delay = Some(after);
    }

    /// Returns after what time a refused caller may come back.
    pub(super) fn return_delay(&self) -> Span {
        // A caller that was refused by its deadline has little time, which the usual random delay would use up.
        self.deadline_delay.unwrap_or_else(|| {
            let admission_delay = self.admission_delay.unwrap_or_default();
            admission_delay.max(retry_delay(self.core))
        })
    }

    /// Records the mean time between the last events of a stream.
    pub(super) fn record_gap(&self, gap: Span, target: &SendTarget) {
        let now = monotonic_now();
        let service = &self.job.routed.service;
        let service_latency = self.core.with_service(service, |state| {
            let is_paced = state.pace.is_paced(now);
            if is_paced {
                let prompt_tokens = self.job.facts.prompt_tokens;
                state.pace.observe_gap(gap, prompt_tokens, now);
            }
            is_paced.then_some(state.latency)
        });
        if let Some(service_latency) = service_latency {
            self.with_target(target, |state| {
                let latency = state.latency;
                state.pace.observe_gap(gap, &latency, &service_latency, now);
            });
        }
    }

    /// Records how far the wait for the first event was from the expected one, if there is an expectation.
    pub(super) fn record_wait(&self, target: &SendTarget, sent_at: MonoTime) {
        let Some(expected_ms) = target.base_wait_ms else {
            return;
        };
        let now = monotonic_now();
        let waited = now.since(sent_at);
        self.with_target(target, |state| {
            state.wait_error.observe(expected_ms, waited, now);
        });
        self.core.with_service(&self.job.routed.service, |state| {
            state.pace.wait_error.observe(expected_ms, waited, now);
        });
    }

    /// Records the latency of a stream that was cut at its time limit, at a paced service. Without such
    /// streams a backend server would seem faster the more of its slow streams are cut.
    pub(super) fn record_cut(&self, timing: &StreamTiming, target: &SendTarget, sent_at: MonoTime) {
        if self.is_paced() {
            self.record_latency(timing, target, sent_at);
        }
    }

    fn is_paced(&self) -> bool {
        self.core.with_service(&self.job.routed.service, |state| {
            state.pace.is_paced(monotonic_now())
        })
    }

    /// Records the size of an answer that is complete.
    pub(super) fn record_size(&self) {
        let facts = &self.job.facts;
        if facts.resume_from.is_some() {
            return;
        }
        self.core.with_service(&self.job.routed.service, |state| {
            state.pace.sizes.observe(&facts.answer_claim(), self.events);
        });
    }

    /// Returns the sample of a stream without the time that it waited for its slot, at a paced service.
    ///
    /// The speed of a queue is estimated by the time for which streams hold their slots. If that included
    /// the wait, a queue would seem slower the longer it is.
    pub(super) fn without_wait(&self, sample: StreamSample, first_after: Span) -> StreamSample {
        if !self.is_paced() {
            return sample;
        }
        let read_ms = f64::from(self.job.facts.prompt_tokens) / MIN_READ_TOKENS_PER_MS;
        let longest_read = Span((read_ms * 1e3) as u64);
        StreamSample {
            slot_time: sample
                .slot_time
                .saturating_sub(first_after.saturating_sub(longest_read)),
            ..sample
        }
    }
}
