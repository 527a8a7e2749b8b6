//! Estimates of answer lengths, which are not known in advance.
//!
//! Exponentially weighted means are kept over all answers, per class, and per customer in a class.
//! The weight of a narrower mean grows with its number of samples, so that a new customer starts
//! from its class and a new class from the mean of all. The estimate is bounded by the limit that
//! the caller set.

use oleander_base::prelude::*;

/// The estimate before any sample, in tokens.
const DEFAULT_TOKENS: f64 = 256.0;

/// The number of a customer's samples at which its own mean has weight one half.
const CUSTOMER_SAMPLES: f64 = 16.0;

/// The number of a class's samples at which its own mean has weight one half.
const CLASS_SAMPLES: f64 = 4.0;

/// The number of customer means from which those with at most [`CUSTOMER_SAMPLES`] samples are
/// dropped.
const CUSTOMER_BOUND: usize = 8_192;

/// The weight of one sample once a mean has enough samples.
const SAMPLE_WEIGHT: f64 = 0.02;

#[derive(Debug, Clone, Copy, Default)]
struct LengthMean {
    mean: f64,
    samples: f64,
}

impl LengthMean {
    fn observe(&mut self, tokens: f64) {
        self.samples += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.mean += weight * (tokens - self.mean);
    }

    /// Returns this mean blended with a wider one, which has the weight of `wider_samples` samples.
    fn blended_with(&self, wider: f64, wider_samples: f64) -> f64 {
        let weight = self.samples / (self.samples + wider_samples);
        wider + weight * (self.mean - wider)
    }
}

/// The length estimates of one pool.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    all: LengthMean,
    classes: FastMap<ClassId, LengthMean>,
    customers: FastMap<(ClassId, CustomerId), LengthMean>,
}

impl LengthEstimator {
    /// Creates an estimator without samples.
    pub fn open() -> Self {
        Self::default()
    }

    /// Records the length of a complete answer.
    pub fn observe(&mut self, class: ClassId, customer: CustomerId, tokens: u32) {
        let tokens = f64::from(tokens);
        self.all.observe(tokens);
        self.classes.entry(class).or_default().observe(tokens);
        if self.customers.len() >= CUSTOMER_BOUND {
            self.customers
                .retain(|_, mean| mean.samples > CUSTOMER_SAMPLES);
        }
        let key = (class, customer);
        self.customers.entry(key).or_default().observe(tokens);
    }

    /// Returns the expected length of an answer, in tokens, at least 1 and at most `limit`.
    pub fn estimate(&self, class: ClassId, customer: CustomerId, limit: u32) -> u32 {
        let mut tokens = self.all.blended_with(DEFAULT_TOKENS, 1.0);
        if let Some(mean) = self.classes.get(&class) {
            tokens = mean.blended_with(tokens, CLASS_SAMPLES);
        }
        if let Some(mean) = self.customers.get(&(class, customer)) {
            tokens = mean.blended_with(tokens, CUSTOMER_SAMPLES);
        }
        (tokens.round() as u32).clamp(1, limit.max(1))
    }
}
