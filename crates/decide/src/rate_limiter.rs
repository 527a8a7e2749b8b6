//! The limits of one customer at one entry VM.
//!
//! The limiter enforces the entry VM's share of the customer's fleet-wide limits (see
//! [`split_rate`](crate::split_rate) and [`split_slots`](crate::split_slots)) with a token bucket
//! for the rate and a count of concurrent requests. It also measures the customer's demand here,
//! including refused requests, as input for the next split.

use oleander_base::prelude::*;
use thiserror::Error;

use crate::meter::RateMeter;

/// The time at the full rate after which the token bucket is full.
const BURST_SPAN: Span = Span::from_secs(1);

/// The averaging window of the measured rate.
const DEMAND_WINDOW: Span = Span::from_secs(5);

/// The retry time sent to a caller that exceeded the concurrency limit.
const CONCURRENCY_RETRY: Span = Span::from_secs(1);

/// Why a customer's request is refused before it is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The customer has used up its rate.
    #[error("the rate limit is reached")]
    Rate {
        /// The time until the next request would be admitted.
        retry_after: Span,
    },
    /// The customer already has the permitted number of concurrent requests.
    #[error("the concurrency limit is reached")]
    Concurrency {
        /// The time after which the caller should retry.
        retry_after: Span,
    },
}

impl LimitError {
    /// Returns the time after which the caller should retry.
    pub fn retry_after(self) -> Span {
        match self {
            Self::Rate { retry_after } | Self::Concurrency { retry_after } => retry_after,
        }
    }

    /// Returns the verdict for the caller: the request did not run.
    pub fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// The share of a customer's limits at one entry VM; `None` means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CustomerAllotment {
    /// Requests per second.
    pub rate: Option<f64>,
    /// Concurrent requests.
    pub concurrency: Option<u32>,
}

/// The demand of a customer at one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerDemand {
    /// Requests per second, including refused ones.
    pub rate: f64,
    /// The most concurrent requests, including a refused one, since the previous reading.
    pub concurrency: u32,
}

/// The limiter of one customer at one entry VM.
#[derive(Debug)]
pub struct RateLimiter {
    allotment: CustomerAllotment,
    tokens: f64,
    refilled_at: MonoTime,
    running: u32,
    peak_concurrency: u32,
    demand: RateMeter,
}

impl RateLimiter {
    /// Creates a limiter with a full token bucket.
    pub fn open(allotment: CustomerAllotment, now: MonoTime) -> Self {
        let mut limiter = Self {
            allotment,
            tokens: 0.0,
            refilled_at: now,
            running: 0,
            peak_concurrency: 0,
            demand: RateMeter::open(DEMAND_WINDOW),
        };
        limiter.tokens = limiter.bucket_size();
        limiter
    }

    /// Applies a new share; the tokens in the bucket are kept up to its new size.
    pub fn set_allotment(&mut self, allotment: CustomerAllotment, now: MonoTime) {
        self.refill(now);
        self.allotment = allotment;
        self.tokens = self.tokens.min(self.bucket_size());
    }

    /// Admits a request or returns the limit that refuses it; each admitted request must be ended
    /// by [`finished`](Self::finished).
    pub fn try_start(&mut self, now: MonoTime) -> Result<(), LimitError> {
        self.demand.add(1.0, now);
        self.peak_concurrency = self.peak_concurrency.max(self.running + 1);
        if self
            .allotment
            .concurrency
            .is_some_and(|limit| self.running >= limit)
        {
            return Err(LimitError::Concurrency {
                retry_after: CONCURRENCY_RETRY,
            });
        }
        self.refill(now);
        if let Some(rate) = self.allotment.rate {
            if self.tokens < 1.0 {
                let retry_after = refill_time(1.0 - self.tokens, rate);
                return Err(LimitError::Rate { retry_after });
            }
            self.tokens -= 1.0;
        }
        self.running += 1;
        Ok(())
    }

    /// Records the end of a request.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the current number of concurrent requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the demand since the previous call, for the next split.
    pub fn take_demand(&mut self, now: MonoTime) -> CustomerDemand {
        let concurrency = std::mem::replace(&mut self.peak_concurrency, self.running);
        CustomerDemand {
            rate: self.demand.rate(now),
            concurrency,
        }
    }

    fn bucket_size(&self) -> f64 {
        let rate = self.allotment.rate.unwrap_or(0.0);
        (rate * BURST_SPAN.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: MonoTime) {
        let rate = self.allotment.rate.unwrap_or(0.0);
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(self.bucket_size());
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn refill_time(missing: f64, rate: f64) -> Span {
    const LONGEST: Span = Span::from_secs(60);
    if rate <= 0.0 {
        return LONGEST;
    }
    Span((missing / rate * 1e6).ceil() as u64).min(LONGEST)
}
