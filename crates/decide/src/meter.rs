//! Exponentially weighted means and rates.

use oleander_base::prelude::*;

/// An exponentially weighted mean that starts at its first sample.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanMeter {
    value: Option<f64>,
}

impl MeanMeter {
    /// Adds a sample with this weight, 0 to 1.
    pub(crate) fn observe(&mut self, sample: f64, weight: f64) {
        self.value = Some(match self.value {
            None => sample,
            Some(value) => value + weight * (sample - value),
        });
    }

    /// Returns the mean, or none without a sample.
    pub(crate) fn get(&self) -> Option<f64> {
        self.value
    }
}

/// A rate per second, averaged over an exponential window.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateMeter {
    window: f64,
    rate: f64,
    at: MonoTime,
}

impl RateMeter {
    /// Creates a meter with rate 0.
    pub(crate) fn open(window: Span) -> Self {
        Self {
            window: window.as_secs_f64(),
            rate: 0.0,
            at: MonoTime::default(),
        }
    }

    /// Adds an amount at `now`.
    pub(crate) fn add(&mut self, amount: f64, now: MonoTime) {
        self.rate = self.rate(now) + amount / self.window;
        self.at = self.at.max(now);
    }

    /// Returns the rate per second.
    pub(crate) fn rate(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.at).as_secs_f64();
        self.rate * (-idle / self.window).exp()
    }
}
