//! Latency statistics of a backend server's streams.
//!
//! Three moving averages are kept: the mean time between events, which measures the speed; the
//! logarithm of a stream's longest pause, which measures how much long prompts slow it; and the
//! time for which a stream holds its slot.

use oleander_base::prelude::*;

/// The weight of one stream in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// The scale of the logistic distribution assumed for the natural logarithm of a backend server's
/// longest pauses.
const PAUSE_LN_SCALE: f64 = 0.22;

/// The time for which a stream is assumed to hold its slot before any has ended, in milliseconds.
const DEFAULT_SLOT_TIME_MS: f64 = 2_000.0;

/// The measurements of one stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamSample {
    /// The mean time between two events.
    pub mean_gap: Span,
    /// The longest time between two events.
    pub longest_gap: Span,
    /// The time from the send to the last event, for which the stream held its slot.
    pub slot_time: Span,
}

/// The moving averages of one backend server, or of a whole service.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyModel {
    mean_gap_ms: Option<f64>,
    longest_gap_ln: Option<f64>,
    slot_time_ms: Option<f64>,
}

impl LatencyModel {
    /// Adds the measurements of one stream.
    pub fn observe(&mut self, sample: &StreamSample) {
        let mean = sample.mean_gap.as_millis_f64().max(0.1);
        let longest = sample.longest_gap.as_millis_f64().max(0.1).ln();
        self.mean_gap_ms = Some(moving_average(self.mean_gap_ms, mean));
        self.longest_gap_ln = Some(moving_average(self.longest_gap_ln, longest));
        self.slot_time_ms = Some(moving_average(
            self.slot_time_ms,
            sample.slot_time.as_millis_f64(),
        ));
    }

    /// Returns the speed relative to the service's mean, limited to 0.3 to 3; it is 1 if either is
    /// unknown.
    pub fn speed(&self, service: &Self) -> f64 {
        match (self.mean_gap_ms, service.mean_gap_ms) {
            (Some(own), Some(mean)) => (mean / own).clamp(0.3, 3.0),
            _ => 1.0,
        }
    }

    /// Returns the mean time between two events, in milliseconds, if any stream has ended.
    pub fn mean_gap_ms(&self) -> Option<f64> {
        self.mean_gap_ms
    }

    /// Returns the mean time between two events, in milliseconds, or else that of the service.
    pub fn mean_gap_over(&self, service: &Self) -> Option<f64> {
        self.mean_gap_ms.or(service.mean_gap_ms)
    }

    /// Returns the mean time for which a stream holds its slot, in milliseconds.
    pub fn slot_time_ms(&self) -> f64 {
        self.slot_time_ms.unwrap_or(DEFAULT_SLOT_TIME_MS)
    }

    /// Returns the mean time for which a stream holds its slot, or else that of the service, in
    /// milliseconds.
    pub fn slot_time_over(&self, service: &Self) -> f64 {
        self.slot_time_ms.unwrap_or_else(|| service.slot_time_ms())
    }

    /// Returns the probability that a stream has a pause longer than `limit`.
    pub fn late_probability(&self, service: &Self, limit: Span) -> f64 {
        let Some(longest) = self.longest_gap_ln.or(service.longest_gap_ln) else {
            return 0.0;
        };
        let distance = (longest - limit.as_millis_f64().max(1.0).ln()) / PAUSE_LN_SCALE;
        1.0 / (1.0 + (-distance).exp())
    }
}

fn moving_average(mean: Option<f64>, sample: f64) -> f64 {
    mean.map_or(sample, |mean| mean + SAMPLE_WEIGHT * (sample - mean))
}
