//! The customers' limits at this entry VM.
//!
//! A limit applies to the whole fleet. Each entry VM enforces an allotment of it, which follows the
//! demand at each VM ([`crate::FleetLimits`]). A refusal here is not shedding: it depends only on
//! the customer's own use.

use oleander_base::prelude::*;
use oleander_decide::{CustomerAllotment, CustomerDemand, LimitError, RateLimiter};
use parking_lot::Mutex;

/// Number of shards of the limiters, each under its own lock.
const SHARD_COUNT: usize = 16;

/// A customer's demand at one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerUsage {
    /// The customer.
    pub customer: CustomerId,
    /// The demand since the last reading.
    pub demand: CustomerDemand,
}

/// The rate limiters of all customers that this entry VM has seen.
#[derive(Debug)]
pub struct CustomerLimits {
    shards: [Mutex<FastMap<CustomerId, RateLimiter>>; SHARD_COUNT],
}

impl Default for CustomerLimits {
    fn default() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(FastMap::default())),
        }
    }
}

impl CustomerLimits {
    /// Counts the start of a request, or refuses it.
    pub fn acquire(&self, customer: CustomerId, now: MonoTime) -> Result<(), LimitError> {
        self.with_limiter(customer, now, |limiter| limiter.try_start(now))
    }

    /// Counts the end of a request.
    pub fn release(&self, customer: CustomerId) {
        if let Some(limiter) = self.shard(customer).lock().get_mut(&customer) {
            limiter.finished();
        }
    }

    /// Sets this VM's allotment of a customer's limits.
    pub fn set_allotment(&self, customer: CustomerId, allotment: CustomerAllotment, now: MonoTime) {
        self.with_limiter(customer, now, |limiter| {
            limiter.set_allotment(allotment, now);
        });
    }

    /// Returns the demand of every customer since the last call.
    pub fn take_demand(&self, now: MonoTime) -> Vec<CustomerUsage> {
        let mut usages = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock();
            usages.extend(shard.iter_mut().map(|(customer, limiter)| CustomerUsage {
                customer: *customer,
                demand: limiter.take_demand(now),
            }));
        }
        usages
    }

    fn with_limiter<R>(
        &self,
        customer: CustomerId,
        now: MonoTime,
        change: impl FnOnce(&mut RateLimiter) -> R,
    ) -> R {
        let mut shard = self.shard(customer).lock();
        let unlimited = || RateLimiter::open(CustomerAllotment::default(), now);
        change(shard.entry(customer).or_insert_with(unlimited))
    }

    fn shard(&self, customer: CustomerId) -> &Mutex<FastMap<CustomerId, RateLimiter>> {
        &self.shards[customer.0 as usize % SHARD_COUNT]
    }
}
