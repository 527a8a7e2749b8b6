//! The speed of one backend server, estimated from its answers.
//!
//! The time per token grows with the batch size. A sample is therefore divided by the slowdown at
//! the load when the answer ended, before it enters the mean, and the mean is multiplied by the
//! slowdown at the expected load. Until there are samples, the pool's mean scaled by the recorded
//! speed is used.

use oleander_base::prelude::*;

use crate::meter::MeanMeter;

/// The weight of one answer in the means.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The relative slowdown of each request in a full batch, compared with a batch of one.
const BATCH_SLOWDOWN: f64 = 0.5;

/// The times observed for one answer of a backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpeedSample {
    /// The units of work: tokens, or 1 for a call.
    pub(crate) work: f64,
    /// The time to the first token.
    pub(crate) first_token: Option<Span>,
    /// Whether the mean already includes that time.
    pub(crate) is_first_token_known: bool,
    /// The time to the end of the answer.
    pub(crate) total: Span,
    /// The fraction of the limit in use at that end; values above 1 count as 1.
    pub(crate) load: f64,
}

/// The mean times and the mean work of one backend server's answers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedEstimate {
    unit_time: MeanMeter,
    first_token: MeanMeter,
    hold_time: MeanMeter,
    work: MeanMeter,
}

/// The times that a pool assumes for a backend server of speed 1 without samples.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReferenceSpeed {
    /// The time per unit of work in an empty batch, in seconds.
    pub(crate) unit_time: f64,
    /// The time to the first token, in seconds.
    pub(crate) first_token: f64,
}

impl SpeedEstimate {
    /// Records one answer.
    pub(crate) fn observe(&mut self, sample: &SpeedSample) {
        let total = sample.total.as_secs_f64();
        self.hold_time.observe(total, SAMPLE_WEIGHT);
        self.work.observe(sample.work, SAMPLE_WEIGHT);
        let first_token = sample.first_token.map_or(0.0, Span::as_secs_f64);
        if sample.first_token.is_some() && !sample.is_first_token_known {
            self.first_token.observe(first_token, SAMPLE_WEIGHT);
        }
        let unit_time = (total - first_token).max(0.0) / sample.work.max(1.0);
        self.unit_time
            .observe(unit_time / batch_slowdown(sample.load), SAMPLE_WEIGHT);
    }

    /// Records a time to the first token before the answer has ended.
    pub(crate) fn observe_first_token(&mut self, first_token: Span) {
        self.first_token
            .observe(first_token.as_secs_f64(), SAMPLE_WEIGHT);
    }

    /// Returns the time per unit of work in an empty batch, in seconds.
    pub(crate) fn unit_time(&self) -> Option<f64> {
        self.unit_time.get()
    }

    /// Returns the time to the first token, in seconds.
    pub(crate) fn first_token(&self) -> Option<f64> {
        self.first_token.get()
    }

    /// Returns how long a request occupies its slot, in seconds.
    pub(crate) fn hold_time(&self) -> Option<f64> {
        self.hold_time.get()
    }

    /// Returns the work that one slot does per second.
    pub(crate) fn slot_rate(&self) -> Option<f64> {
        let hold_time = self.hold_time.get()?;
        Some(self.work.get()? / hold_time.max(1e-6))
    }

    /// Returns the expected time for an answer of this much work, in seconds.
    pub(crate) fn expected_time(
        &self,
        work: f64,
        load: f64,
        speed: f64,
        reference: &ReferenceSpeed,
    ) -> f64 {
        let unit_time = self.unit_time.get().unwrap_or(reference.unit_time / speed);
        let first_token = self
            .first_token
            .get()
            .unwrap_or(reference.first_token / speed);
        first_token + work * unit_time * batch_slowdown(load)
    }
}

fn batch_slowdown(load: f64) -> f64 {
    1.0 + BATCH_SLOWDOWN * load.clamp(0.0, 1.0)
}
