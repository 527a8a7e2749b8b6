//! The pace of one backend server: by how much work there takes longer than usual now.
//!
//! Two sources are combined: the figure that a backend server which shares its machine reports with
//! each answer, and, between two answers, the gaps between events of this gateway's own streams. Slow
//! phases last some hundred milliseconds, so each figure loses weight with its age, and without a
//! recent one the usual pace is assumed (docs/design/uneven-engines.md).

use oleander_base::prelude::*;

use crate::latency::LatencyModel;

/// The age at which a figure has lost all but 1/e of its weight: slow phases last about as long.
const PACE_MEMORY: Span = Span::from_millis(500);

/// The time over which the gaps between events are averaged. It spans some ten events, of which
/// one may be delayed by the network.
const GAP_AVERAGING: Span = Span::from_millis(150);

/// The weight of the measured pace relative to a reported one of the same age. Gaps also grow while
/// a prompt is read, which says nothing about the machine.
const MEASURED_WEIGHT: f64 = 0.5;

/// The largest measured factor; a longer gap is a stall of a link or of this gateway.
const MAX_MEASURED_FACTOR: f64 = 4.0;

/// The smallest and largest figure that is taken from a report, in percent of the usual time.
const PERCENT_RANGE: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;

/// What an answer says about how long work takes on its backend server's machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum WorkReport {
    /// It says nothing.
    #[default]
    Missing,
    /// Its figure is no number or out of range.
    Invalid,
    /// The time that work takes now, in percent of the usual time.
    Percent(f64),
}

impl WorkReport {
    /// Returns the report of a figure, or that it is invalid.
    pub fn of_percent(percent: f64) -> Self {
        if PERCENT_RANGE.contains(&percent) {
            Self::Percent(percent)
        } else {
            Self::Invalid
        }
    }
}

/// The natural logarithm of a pace factor, and when it was valid.
#[derive(Debug, Clone, Copy)]
struct DatedFactor {
    ln: f64,
    at: MonoTime,
}

impl DatedFactor {
    fn weight(&self, now: MonoTime) -> f64 {
        decay(now.since(self.at), PACE_MEMORY)
    }
}

/// The pace of one backend server.
#[derive(Debug, Default)]
pub struct BackendPace {
    reported: Option<DatedFactor>,
    measured: Option<DatedFactor>,
}

impl BackendPace {
    /// Records a figure that an answer reported to this gateway or to another one at a time, unless
    /// one at least as recent is known.
    pub fn report(&mut self, percent: f64, at: MonoTime) {
        if self.reported.is_some_and(|known| known.at >= at) {
            return;
        }
        let ln = (percent / 100.0).ln();
        self.reported = Some(DatedFactor { ln, at });
    }

    /// Records the time between two events of a stream. It is compared with the mean of the backend
    /// server, or else with that of its service.
    pub fn observe_gap(
        &mut self,
        gap: Span,
        latency: &LatencyModel,
        service: &LatencyModel,
        now: MonoTime,
    ) {
        let Some(usual_ms) = latency.mean_gap_over(service) else {
            return;
        };
        let factor = gap.as_millis_f64() / usual_ms;
        let ln = factor.clamp(1.0, MAX_MEASURED_FACTOR).ln();
        let known = self.measured.unwrap_or(DatedFactor {
            ln: 0.0,
            at: MonoTime::default(),
        });
        let kept = decay(now.since(known.at), GAP_AVERAGING);
        self.measured = Some(DatedFactor {
            ln: kept * known.ln + (1.0 - kept) * ln,
            at: now,
        });
    }

    /// Returns by how much work takes longer than usual, 1 at the usual pace.
    pub fn slowness(&self, now: MonoTime) -> f64 {
        let reported = self.reported.map(|known| (known.weight(now), known.ln));
        let measured = self
            .measured
            .map(|known| (known.weight(now) * MEASURED_WEIGHT, known.ln));
        let (mut sum, mut weights, mut greatest) = (0.0, 0.0, 0.0);
        for (weight, ln) in reported.into_iter().chain(measured) {
            sum += weight * ln;
            weights += weight;
            greatest = f64::max(greatest, weight);
        }
        // The missing weight counts as the usual pace, whose logarithm is 0.
        (sum / (weights + 1.0 - greatest)).exp()
    }

    /// Returns the newest reported figure in percent with its time, if it is not older than `span`.
    pub fn fresh_report(&self, span: Span, now: MonoTime) -> Option<(f64, MonoTime)> {
        let known = self.reported.filter(|known| now.since(known.at) < span)?;
        Some((known.ln.exp() * 100.0, known.at))
    }
}

/// Returns the weight that is left after `age`, with `memory` as the time to 1/e.
pub(crate) fn decay(age: Span, memory: Span) -> f64 {
    (-age.as_millis_f64() / memory.as_millis_f64()).exp()
}
