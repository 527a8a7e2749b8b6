//! Estimates of answer lengths, which nobody knows in advance.
//!
//! An exponentially weighted mean is kept over all answers, for each class, and for each customer
//! in a class. The narrower mean counts more with each of its samples, so that a new customer
//! starts from its class and a new class from the whole. What the caller allows at most bounds
//! the estimate.

use oleander_base::prelude::*;

/// The estimate before any sample, in tokens.
const DEFAULT_TOKENS: f64 = 256.0;

/// Samples of a customer at which its own mean counts half.
const CUSTOMER_SAMPLES: f64 = 16.0;

/// Samples of a class at which its own mean counts half.
const CLASS_SAMPLES: f64 = 4.0;

/// Customers whose means are kept; the least used are dropped beyond it.
const CUSTOMER_BOUND: usize = 8_192;

/// The weight of one sample once a mean has settled.
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

    /// Returns this mean mixed with a wider one, which counts as many samples as `wider_samples`.
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
    /// Opens an estimator without samples.
    pub fn open() -> Self {
        Self::default()
    }

    /// Learns the length of a whole answer.
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
