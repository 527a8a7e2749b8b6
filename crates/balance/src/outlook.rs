//! The outlook of a request at one backend server of a paced service.

use oleander_base::prelude::*;

use crate::backend_state::BackendState;
use crate::service_pace::PaceTerms;

/// The time for which a backend server that is slow now is expected to stay slow, in milliseconds.
const SLOW_PHASE_MS: f64 = 500.0;

/// The cost, in prompt tokens, of a request that surely ends too late. It is that of a late first
/// event, so that both weigh alike in the choice.
const LATE_END_TOKENS: f64 = 22_000.0;

/// The outlook of a request at one backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PacedOutlook {
    /// The probability that the request ends in time, if it can be told.
    pub chance: Option<f64>,
    /// The wait for the first event that is expected without the errors observed before, in
    /// milliseconds.
    pub base_wait_ms: f64,
    /// The share of the slots in use at the service's backend servers that take requests; over 1
    /// with queues.
    pub utilisation: f64,
    /// By how much work takes longer than usual there now.
    pub slowness: f64,
}

impl PacedOutlook {
    /// Returns the cost of the risk that the request ends too late, in prompt tokens.
    pub(crate) fn cost_tokens(&self) -> f64 {
        self.chance
            .map_or(0.0, |chance| (1.0 - chance) * LATE_END_TOKENS)
    }
}

impl PaceTerms {
    /// Returns the expected wait of a long prompt for its first event, in milliseconds: `base_ms`,
    /// corrected by the errors observed before. It is at least as long as another long prompt of this
    /// gateway has waited there already.
    pub(crate) fn corrected_wait(&self, state: &BackendState, base_ms: f64, now: MonoTime) -> f64 {
        let factor = state.wait_error.ln_factor(self.wait_ln, now).exp();
        let pending = state.longest_pending(now).as_millis_f64();
        (base_ms * factor).max(pending)
    }

    /// Returns the probability that an answer whose first event comes after `first_wait_ms` ends in
    /// time; `None` if too little is known.
    ///
    /// The time for an event is the longer one of the service's present mean and `own_gap_ms`, the
    /// backend server's mean over its last streams. Both contain the prompts that are read beside
    /// the streams.
    pub(crate) fn end_chance(
        &self,
        first_wait_ms: f64,
        own_gap_ms: Option<f64>,
        slowness: f64,
    ) -> Option<f64> {
        let answer = self.answer?;
        let own_gap_ms = own_gap_ms.unwrap_or_default();
        let event_ms = self.gap_ms?.max(own_gap_ms).max(f64::EPSILON);
        let lost_ms = SLOW_PHASE_MS * (1.0 - 1.0 / slowness.max(1.0));
        let left_ms = self.time_left.as_millis_f64() - first_wait_ms - lost_ms;
        Some(answer.chance_within(left_ms / event_ms))
    }
}
