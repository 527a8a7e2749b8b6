//! Customers' own limits at this entry VM.
//!
//! A limit holds for the whole fleet. Each entry VM enforces a part of it; the parts add up to at
//! most the limit and follow the demand at each VM (`oleander_decide`). A refusal here is not
//! shedding: it depends on nothing but the customer's own use.

use oleander_base::prelude::*;
use parking_lot::Mutex;
use thiserror::Error;

/// Shards of the desk, each under its own lock.
const SHARD_COUNT: usize = 16;
/// How long a burst at the full rate may last at once.
const BURST: Span = Span::from_secs(1);
/// When a caller that is over its concurrency limit should come back.
const CONCURRENCY_RETRY: Span = Span::from_millis(500);

/// This VM's part of a customer's limits.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitPart {
    /// Requests a second, if limited.
    pub rate: Option<f64>,
    /// Requests at a time, if limited.
    pub concurrency: Option<u32>,
}

/// Why a customer's request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitKind {
    /// Too many requests a second.
    #[error("the customer is over its rate limit")]
    Rate,
    /// Too many requests at a time.
    #[error("the customer is over its concurrency limit")]
    Concurrency,
}

/// A refusal for a customer's own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{kind}")]
pub struct LimitRefusal {
    /// Which limit.
    pub kind: LimitKind,
    /// When to come back.
    pub retry_after: Span,
}

/// A customer's use and demand at one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitUse {
    /// The customer.
    pub customer: CustomerId,
    /// Requests in progress.
    pub running: u32,
    /// Requests that came since the last reading, refused ones included.
    pub arrived: u32,
}

#[derive(Debug, Clone, Copy)]
struct CustomerUse {
    part: LimitPart,
    tokens: f64,
    refilled: MonoTime,
    running: u32,
    arrived: u32,
}

impl CustomerUse {
    fn new(now: MonoTime) -> Self {
        Self {
            part: LimitPart::default(),
            tokens: 0.0,
            refilled: now,
            running: 0,
            arrived: 0,
        }
    }

    fn refill(&mut self, rate: f64, now: MonoTime) {
        let gained = rate * now.since(self.refilled).as_secs_f64();
        let ceiling = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + gained).min(ceiling);
        self.refilled = now;
    }

    fn enter(&mut self, now: MonoTime) -> Result<(), LimitRefusal> {
        self.arrived += 1;
        if self
            .part
            .concurrency
            .is_some_and(|limit| self.running >= limit)
        {
            let kind = LimitKind::Concurrency;
            return Err(LimitRefusal {
                kind,
                retry_after: CONCURRENCY_RETRY,
            });
        }
        if let Some(rate) = self.part.rate {
            self.refill(rate, now);
            if self.tokens < 1.0 {
                let wait = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
                let retry_after = Span((wait.min(60.0) * 1_000_000.0) as u64);
                return Err(LimitRefusal {
                    kind: LimitKind::Rate,
                    retry_after,
                });
            }
            self.tokens -= 1.0;
        }
        self.running += 1;
        Ok(())
    }
}

/// The use of limits by the customers of one entry VM.
#[derive(Debug)]
pub struct LimitDesk {
    shards: [Mutex<FastMap<CustomerId, CustomerUse>>; SHARD_COUNT],
}

impl Default for LimitDesk {
    fn default() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(FastMap::default())),
        }
    }
}

impl LimitDesk {
    /// Counts a request in, or refuses it.
    pub fn enter(&self, customer: CustomerId, now: MonoTime) -> Result<(), LimitRefusal> {
        let mut shard = self.shard(customer).lock();
        shard
            .entry(customer)
            .or_insert_with(|| CustomerUse::new(now))
            .enter(now)
    }

    /// Counts a request out.
    pub fn leave(&self, customer: CustomerId) {
        if let Some(usage) = self.shard(customer).lock().get_mut(&customer) {
            usage.running = usage.running.saturating_sub(1);
        }
    }

    /// Sets this VM's part of a customer's limits.
    pub fn set_part(&self, customer: CustomerId, part: LimitPart, now: MonoTime) {
        let mut shard = self.shard(customer).lock();
        let usage = shard
            .entry(customer)
            .or_insert_with(|| CustomerUse::new(now));
        if usage.part.rate.is_none() {
            usage.tokens = part.rate.unwrap_or(0.0) * BURST.as_secs_f64();
            usage.refilled = now;
        }
        usage.part = part;
    }

    /// Reads the use of every customer and begins a new count of arrivals.
    pub fn take_use(&self) -> Vec<LimitUse> {
        let mut uses = Vec::new();
        for shard in &self.shards {
            for (customer, usage) in shard.lock().iter_mut() {
                let arrived = std::mem::take(&mut usage.arrived);
                uses.push(LimitUse {
                    customer: *customer,
                    running: usage.running,
                    arrived,
                });
            }
        }
        uses
    }

    fn shard(&self, customer: CustomerId) -> &Mutex<FastMap<CustomerId, CustomerUse>> {
        &self.shards[customer.0 as usize % SHARD_COUNT]
    }
}
