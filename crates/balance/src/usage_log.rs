//! When requests began to run at backend servers, by customer, for the usage reports.
//!
//! Counts are queried by time, since only the holder of the duties, which reports them, knows the windows of
//! the reports. So the time of each request is kept for as long as a window may still be queried. Times are
//! those of the clock that keeps running while the machine is suspended (docs/design/duties.md).

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use oleander_base::prelude::*;

/// The number of requests that began, by customer.
pub type UsageCounts = BTreeMap<Arc<str>, u64>;

/// The most requests that one log keeps. With more, the oldest ones are dropped and counted as lost.
const MAX_EVENTS: usize = 60_000;

/// One request that began to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageEvent {
    /// When it began. Some times are estimates, so events are not always in the order of their times.
    pub at: MonoTime,
    /// The customer who called.
    pub customer: Arc<str>,
}

/// The requests that began at one gateway.
#[derive(Debug, Default)]
pub struct UsageLog {
    events: VecDeque<UsageEvent>,
    /// The number of events before the first one that is kept.
    dropped: u64,
    /// The number of events that were dropped although a window might still need them.
    lost: u64,
}

impl UsageLog {
    /// Adds a request.
    pub fn record(&mut self, at: MonoTime, customer: Arc<str>) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
            self.dropped += 1;
            self.lost += 1;
        }
        self.events.push_back(UsageEvent { at, customer });
    }

    /// Drops the first events as long as they began before `oldest`.
    pub fn prune(&mut self, oldest: MonoTime) {
        while self.events.front().is_some_and(|event| event.at < oldest) {
            self.events.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the number of requests that began from `from` up to, not including, `to`.
    pub fn counts(&self, from: MonoTime, to: MonoTime) -> UsageCounts {
        let mut counts = UsageCounts::new();
        let begun = |event: &&UsageEvent| event.at >= from && event.at < to;
        for event in self.events.iter().filter(begun) {
            match counts.get_mut(&event.customer) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(Arc::clone(&event.customer), 1);
                }
            }
        }
        counts
    }

    /// Returns the index after the last event, counted from the first one that was ever recorded.
    pub fn end(&self) -> u64 {
        self.dropped + self.events.len() as u64
    }

    /// Returns the events from an index on, with the index of the first one that is still kept.
    pub fn events_from(&self, index: u64) -> (u64, impl Iterator<Item = &UsageEvent>) {
        let first = index.clamp(self.dropped, self.end());
        let skipped = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        (first, self.events.iter().skip(skipped))
    }

    /// Returns the number of events that were dropped because there were too many.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}
