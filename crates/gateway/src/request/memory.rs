//! Leases memory for a send to a model engine whose memory is scarce, and counts it where it is plentiful.

use oleander_balance::{Choice, NeedQuery};
use oleander_base::monotonic_now;

use super::attempt::Step;
use super::slot::MAX_ASK_TIME;
use super::wait::WaitOutcome;
use super::{RequestJob, RequestRun};
use crate::memory::{
    MemoryDemand, MemoryHold, MemoryOutcome, MemoryWish, guarded_capacity, needs_lease, take_memory,
};
use crate::prelude::*;

/// The time after its deadline for which a request may still be at its backend server.
const END_MARGIN: Span = Span::from_secs(1);

/// The step that follows the choice of a backend server.
pub(super) enum MemoryStep {
    /// The request is sent; what it needs is counted if the service calls for that.
    Send(Option<MemoryHold>),
    /// There is not enough memory there.
    Elsewhere,
    /// The request waited in vain.
    NoneInTime,
    /// No backend server of the service has so much memory.
    TooLarge,
    CallerLeft,
}

/// Returns the tokens that a request needs at most.
pub(super) fn needed_tokens(job: &RequestJob) -> u32 {
    let facts = &job.facts;
    let parts = facts.parts.iter().map(|part| part.tokens);
    let query = NeedQuery {
        prompt_tokens: facts.prompt_tokens,
        part_tokens: parts.fold(0, u32::saturating_add),
        body_bytes: job.body.len(),
        answer_limit: facts.answer_limit,
        answer_hint: facts.answer_hint,
    };
    query.tokens()
}

impl RequestRun<'_> {
    /// Notes a send. This gateway estimates the sends of the others by its own.
    fn note_memory_send(&self) {
        let service = &self.job.routed.service;
        let now = monotonic_now();
        self.core
            .with_service(service, |state| state.needs.sent(now));
    }

    /// Decides what follows if there is no memory for the request.
    pub(super) fn without_memory(&mut self, step: &MemoryStep) -> Step {
        match step {
            MemoryStep::CallerLeft => Step::Done(self.caller_left()),
            MemoryStep::TooLarge => {
                Step::GiveUp("the request needs more memory than a backend server has")
            }
            MemoryStep::NoneInTime => Step::GiveUp("no free memory at any backend server"),
            MemoryStep::Send(_) | MemoryStep::Elsewhere => Step::TryAgain,
        }
    }

    /// Counts or leases what the request needs at the chosen backend server, if its service calls for that.
    pub(super) async fn take_memory(&mut self, choice: &Choice) -> MemoryStep {
        let service = &self.job.routed.service;
        let Some(capacity) = guarded_capacity(self.core, service) else {
            return MemoryStep::Send(None);
        };
        let tokens = needed_tokens(self.job);
        if u64::from(tokens) > capacity {
            return MemoryStep::TooLarge;
        }
        let demand = MemoryDemand {
            key: choice.key,
            service,
            capacity,
            tokens,
            prompt_tokens: self.job.facts.prompt_tokens,
        };
        let lasts = self.time_left() + END_MARGIN;
        if self.tried.is_empty() && self.full_replies == 0 {
            self.core
                .with_service(service, |state| state.needs.observe(tokens));
        }
        if !needs_lease(self.core, &demand) {
            let hold = MemoryHold::open(self.core, choice.key, tokens, lasts);
            self.note_memory_send();
            return MemoryStep::Send(Some(hold));
        }
        let wish = MemoryWish {
            demand,
            urgency: self.job.routed.urgency,
            wait: self.slot_wait(),
            lasts,
        };
        let limit = (wish.wait + MAX_ASK_TIME).min(self.time_left());
        match self.wait_or_stop(limit, take_memory(self.core, wish)).await {
            WaitOutcome::Completed(MemoryOutcome::Leased(hold)) => {
                self.note_memory_send();
                MemoryStep::Send(Some(hold))
            }
            WaitOutcome::CallerLeft => MemoryStep::CallerLeft,
            _ if self.waits_for_slot => {
                self.log_no_memory(tokens, wish.wait);
                MemoryStep::NoneInTime
            }
            _ => {
                self.full_replies += 1;
                MemoryStep::Elsewhere
            }
        }
    }
}
