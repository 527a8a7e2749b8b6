//! The demand for a service's backend servers: the present one, the one without bursts, and a forecast for
//! the time at which a backend server that is ordered now begins to serve (docs/design/scaling.md).

use std::collections::VecDeque;

use oleander_base::prelude::*;

/// How long samples are kept.
const SAMPLE_RETENTION: Span = Span::from_secs(12);

/// The time over which the slope of the demand is measured; as long as a new backend server
/// usually takes to serve.
const SLOPE_WINDOW: Span = Span::from_secs(4);

/// The time constant of the steady demand. It is longer than the period of a wave of demand, 11 to 15 s, so
/// that a wave moves the steady demand by a few hundredths only.
const STEADY_TIME_S: f64 = 20.0;

/// A demand that has lasted this long is no burst, since bursts end within 9 s.
const BURST_END: Span = Span::from_secs(10);

/// What exceeds this many times the average is taken for a burst, until it has lasted for [`BURST_END`]. A
/// wave with a swing of a quarter stays below.
const BURST_START: f64 = 1.3;

/// The greatest forecast as a multiple of the present demand, so that a few early samples of a small
/// service are not extrapolated without bound.
const MAX_GROWTH: f64 = 2.0;

/// The number of newest samples that are averaged, because load reports of different ages make single samples
/// jitter.
const RECENT_SAMPLES: usize = 3;

#[derive(Debug, Clone, Copy)]
struct DemandSample {
    at: MonoTime,
    /// Requests that run or wait.
    requests: f64,
}

/// The demand in requests that run or wait at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DemandOutlook {
    /// The present demand.
    pub present: f64,
    /// The demand expected at the end of the lead time; at least the present one.
    pub ahead: f64,
    /// The demand without bursts.
    pub steady: f64,
}

/// The demand of the last seconds.
#[derive(Debug, Default)]
pub struct DemandTracker {
    samples: VecDeque<DemandSample>,
    average: f64,
    sample_count: u32,
    first_at: MonoTime,
}

impl DemandTracker {
    /// Records the requests that run or wait now.
    ///
    /// Samples without any request are left out until the first request has come: a fleet that has just
    /// started says nothing about the demand.
    pub fn record(&mut self, requests: f64, now: MonoTime) {
        if self.sample_count == 0 && requests <= 0.0 {
            return;
        }
        let last_at = self.samples.back().map(|sample| sample.at);
        let elapsed = last_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        if self.sample_count == 0 {
            self.first_at = now;
        }
        self.sample_count = self.sample_count.saturating_add(1);
        self.samples.push_back(DemandSample { at: now, requests });
        while let Some(first) = self.samples.front() {
            if now.since(first.at) <= SAMPLE_RETENTION {
                break;
            }
            self.samples.pop_front();
        }
        self.average(requests, elapsed, now);
    }

    fn average(&mut self, requests: f64, elapsed: f64, now: MonoTime) {
        if self.history(now) < BURST_END {
            // The first samples have equal weights, so that a start is not remembered for long.
            self.average += (requests - self.average) / f64::from(self.sample_count);
            return;
        }
        let weight = (elapsed / STEADY_TIME_S).min(1.0);
        let usual = requests.min(self.average * BURST_START);
        self.average += (usual - self.average) * weight;
        self.average = self.average.max(self.sustained(now));
    }

    /// Returns how long the demand has been recorded.
    pub fn history(&self, now: MonoTime) -> Span {
        if self.sample_count == 0 {
            return Span::ZERO;
        }
        now.since(self.first_at)
    }

    /// Returns the demand now, without bursts, and at the end of a lead time.
    pub fn outlook(&self, lead: Span, now: MonoTime) -> DemandOutlook {
        let present = self.present();
        let growth = self.slope(now) * lead.as_secs_f64();
        DemandOutlook {
            present,
            ahead: (present + growth).clamp(present, present * MAX_GROWTH),
            steady: self.average,
        }
    }

    fn present(&self) -> f64 {
        let newest = self.samples.iter().rev().take(RECENT_SAMPLES);
        let (count, sum) = newest.fold((0.0, 0.0), |(count, sum), sample| {
            (count + 1.0, sum + sample.requests)
        });
        let last = self.samples.back().map_or(0.0, |sample| sample.requests);
        if count > 0.0 {
            last.max(sum / count)
        } else {
            0.0
        }
    }

    /// Returns the demand that has lasted longer than any burst: the least one of that time.
    fn sustained(&self, now: MonoTime) -> f64 {
        let recent = self.recent(BURST_END, now);
        let least = recent.map(|sample| sample.requests).reduce(f64::min);
        least.unwrap_or(0.0)
    }

    /// Returns the slope of the line through the newest samples by least squares, per second.
    fn slope(&self, now: MonoTime) -> f64 {
        let points: Vec<(f64, f64)> = self
            .recent(SLOPE_WINDOW, now)
            .map(|sample| (-now.since(sample.at).as_secs_f64(), sample.requests))
            .collect();
        if points.len() < RECENT_SAMPLES {
            return 0.0;
        }
        let count = points.len() as f64;
        let mean_time = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_requests = points.iter().map(|point| point.1).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (time, requests) in points {
            covariance += (time - mean_time) * (requests - mean_requests);
            variance += (time - mean_time).powi(2);
        }
        if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        }
    }

    fn recent(&self, span: Span, now: MonoTime) -> impl Iterator<Item = &DemandSample> {
        self.samples
            .iter()
            .filter(move |sample| now.since(sample.at) <= span)
    }
}
