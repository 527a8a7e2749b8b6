//! By how much the waits for first events differ from what was expected.
//!
//! Load reports count requests and say nothing of the prompts that are still to be read, so the
//! expected wait at a busy backend server is often far too short. The gateway's own requests show the
//! error: those whose first event has come, and those that still wait. Only long prompts count, because
//! urgent requests, which have short prompts, overtake the queue.

use std::collections::VecDeque;

use oleander_base::prelude::*;

use crate::pace::decay;

/// The age at which an observed error has lost all but 1/e of its weight. A queue grows and empties
/// within a few seconds.
const ERROR_MEMORY: Span = Span::from_secs(3);

/// Added to both waits before they are compared, so that small ones do not give large ratios.
const WAIT_FLOOR_MS: f64 = 100.0;

/// The smallest and largest logarithm of an observed ratio.
const LN_RANGE: (f64, f64) = (-1.0, 2.0);

/// The observed error of the expected waits, of one backend server or of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct WaitError {
    ln: f64,
    weight: f64,
    at: MonoTime,
}

impl WaitError {
    /// Records how long a request waited for its first event, against the expected wait.
    pub fn observe(&mut self, expected_ms: f64, waited: Span, now: MonoTime) {
        let waited_ms = waited.as_millis_f64() + WAIT_FLOOR_MS;
        let ratio = waited_ms / (expected_ms + WAIT_FLOOR_MS);
        let kept = self.weight * decay(now.since(self.at), ERROR_MEMORY);
        let ln = ratio.ln().clamp(LN_RANGE.0, LN_RANGE.1);
        self.ln = (kept * self.ln + ln) / (kept + 1.0);
        self.weight = kept + 1.0;
        self.at = now;
    }

    /// Returns the logarithm of the factor by which waits are longer than expected. Without observations
    /// it is `usual`.
    pub fn ln_factor(&self, usual: f64, now: MonoTime) -> f64 {
        let weight = self.weight * decay(now.since(self.at), ERROR_MEMORY);
        (weight * self.ln + usual) / (weight + 1.0)
    }
}

/// When the sends were made whose first events have not come yet.
#[derive(Debug, Default)]
pub(crate) struct PendingSends {
    sent: VecDeque<MonoTime>,
}

impl PendingSends {
    pub(crate) fn add(&mut self, at: MonoTime) {
        self.sent.push_back(at);
    }

    pub(crate) fn remove(&mut self, at: MonoTime) {
        if let Some(index) = self.sent.iter().position(|sent| *sent == at) {
            self.sent.remove(index);
        }
    }

    /// Returns how long the oldest of them has waited.
    pub(crate) fn longest(&self, now: MonoTime) -> Span {
        let oldest = self.sent.front();
        oldest.map_or(Span::ZERO, |sent| now.since(*sent))
    }
}
