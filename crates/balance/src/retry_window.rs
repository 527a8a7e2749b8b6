//! The retry budget of one service, split between the gateways without messages.
//!
//! All gateways together may make as many extra sends in a window as `ratio` times its requests,
//! plus a burst. Each gateway counts the ratio of its own requests, which splits that part of the
//! budget; the burst is split evenly between the known gateways. A gateway's part doesn't depend on
//! which others it can reach, so the total bound holds during every network partition.

use oleander_base::prelude::*;

/// The number of buckets that a window is divided into.
const BUCKET_COUNT: u64 = 20;

/// The usable share of the budget; the rest is a margin, because the gateways' windows are not
/// aligned.
const USABLE_SHARE: f64 = 0.85;

/// The limits of a [`RetryWindow`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// The number of extra sends allowed per request.
    pub ratio: f64,
    /// The number of additional extra sends allowed in a window, over all gateways.
    pub burst: f64,
    /// The length of the window.
    pub window: Span,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    extra_sends: u32,
}

/// Counts of requests and extra sends in the last window.
#[derive(Debug)]
pub struct RetryWindow {
    buckets: [Bucket; BUCKET_COUNT as usize + 1],
}

impl Default for RetryWindow {
    fn default() -> Self {
        Self {
            buckets: [Bucket::default(); BUCKET_COUNT as usize + 1],
        }
    }
}

impl RetryWindow {
    /// Counts a request for the service.
    pub fn count_request(&mut self, limits: &RetryLimits, now: MonoTime) {
        self.bucket(limits, now).requests += 1;
    }

    /// Takes one extra send from the budget, or returns false if none is left.
    pub fn try_take(&mut self, limits: &RetryLimits, gateways: usize, now: MonoTime) -> bool {
        if self.remaining(limits, gateways, now) < 1.0 {
            return false;
        }
        self.bucket(limits, now).extra_sends += 1;
        true
    }

    /// Returns how many extra sends are left.
    pub fn remaining(&self, limits: &RetryLimits, gateways: usize, now: MonoTime) -> f64 {
        let index = Self::index(limits, now);
        let oldest = index.saturating_sub(BUCKET_COUNT);
        let in_window = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (requests, extra_sends) = in_window.fold((0, 0), |sum, bucket| {
            (sum.0 + bucket.requests, sum.1 + bucket.extra_sends)
        });
        let burst = limits.burst / gateways.max(1) as f64;
        (limits.ratio * f64::from(requests) + burst) * USABLE_SHARE - f64::from(extra_sends)
    }

    fn index(limits: &RetryLimits, now: MonoTime) -> u64 {
        now.0 / (limits.window.0 / BUCKET_COUNT).max(1) + BUCKET_COUNT
    }

    fn bucket(&mut self, limits: &RetryLimits, now: MonoTime) -> &mut Bucket {
        let index = Self::index(limits, now);
        let bucket = &mut self.buckets[(index % (BUCKET_COUNT + 1)) as usize];
        if bucket.index != index {
            *bucket = Bucket {
                index,
                ..Bucket::default()
            };
        }
        bucket
    }
}
