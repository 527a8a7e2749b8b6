//! A customer's limits at one entry VM.
//!
//! The limiter holds the entry VM's share of the customer's fleet-wide limits (see
//! [`split_rate`](crate::split_rate) and [`split_slots`](crate::split_slots)): a token bucket for
//! the rate and a count of requests at a time. It also measures what the customer asks for here,
//! refused requests included, because that is the demand that the next split needs.

use oleander_base::prelude::*;
use thiserror::Error;

use crate::meter::RateMeter;

/// The time that the bucket can save up.
const BURST_SPAN: Span = Span::from_secs(1);

/// The window of the measured rate.
const DEMAND_WINDOW: Span = Span::from_secs(5);

/// How long a caller is told to wait for a free place.
const CONCURRENCY_RETRY: Span = Span::from_secs(1);

/// Why a customer's request is refused before it is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The customer's rate is used up.
    #[error("the rate limit is reached")]
    Rate {
        /// When the next request would be let in.
        retry_after: Span,
    },
    /// The customer has as many requests at a time as it may.
    #[error("the concurrency limit is reached")]
    Concurrency {
        /// When the caller should come back.
        retry_after: Span,
    },
}

impl LimitError {
    /// Returns when the caller should come back.
    pub fn retry_after(self) -> Span {
        match self {
            Self::Rate { retry_after } | Self::Concurrency { retry_after } => retry_after,
        }
    }

    /// Returns what is known of the request's effect, which is that it did not run.
    pub fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// What a customer may use at one entry VM; none is unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CustomerAllotment {
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests at a time.
    pub concurrency: Option<u32>,
}

/// What a customer asks for at one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerDemand {
    /// Requests a second, refused ones included.
    pub rate: f64,
    /// The most requests at a time that were wanted since the last reading.
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
    /// Opens a limiter whose bucket is full.
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

    /// Takes a new share; what the bucket saved up is kept within its new bound.
    pub fn set_allotment(&mut self, allotment: CustomerAllotment, now: MonoTime) {
        self.refill(now);
        self.allotment = allotment;
        self.tokens = self.tokens.min(self.bucket_size());
    }

    /// Lets a request in, or tells why not; each request let in must be
    /// [`finished`](Self::finished).
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

    /// Counts the end of a request.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the requests at a time now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns what the customer asks for here, for the next split.
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
