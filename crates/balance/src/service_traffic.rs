//! Statistics of a service's traffic: the shares of requests with each prompt part, with short
//! prompts and of each urgency.
//!
//! A part that more requests share than one backend server can serve needs several homes; a part
//! that nearly all requests share is cached everywhere and doesn't determine where a request
//! belongs. Shares are counted from this gateway's own requests in the current and the previous
//! window. All gateways see a sample of the same traffic, so they arrive at similar shares without
//! messages.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::reserve::{RESERVED_SHARE, is_short};
use crate::{PartId, PromptPart};

/// The length of a counting window.
const WINDOW: Span = Span::from_secs(6);

/// The number of requests from which a part may have more than one home.
const MIN_PART_REQUESTS: u32 = 3;

/// The number of distinct parts in a window at which parts are no longer counted; uncounted parts
/// are assumed to be rare.
const COUNTED_PARTS_LIMIT: usize = 4_096;

/// The request counts of one window.
#[derive(Debug, Default)]
struct TrafficWindow {
    requests: u32,
    short: u32,
    by_urgency: [u32; URGENCY_LEVELS],
    counts: FastMap<PartId, u32>,
}

/// The number of distinct urgency levels; larger urgency numbers count as the last level.
pub(crate) const URGENCY_LEVELS: usize = 10;

/// An urgency is the lowest of a service if less than this share of requests is less urgent.
const MIN_URGENCY_SHARE: f64 = 0.05;

/// The number of requests needed to tell whether the traffic mixes short and long prompts; below it
/// a mix is assumed.
const MIN_MIX_REQUESTS: u32 = 30;

/// The smallest share of short prompts, and of long ones, in mixed traffic.
const MIN_MIX_SHARE: f64 = 0.03;

/// The properties of a request that are counted.
#[derive(Debug, Clone, Copy)]
pub struct RequestTraits<'a> {
    /// The prompt's parts, in order.
    pub parts: &'a [PromptPart],
    /// The prompt's size in tokens.
    pub prompt_tokens: u32,
    /// The urgency; 0 is the most urgent.
    pub urgency: u8,
}

/// Returns the index of an urgency among the counted levels.
pub(crate) fn urgency_level(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_LEVELS - 1)
}

/// The recent traffic of one service through this gateway.
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    current: TrafficWindow,
    last: TrafficWindow,
    since: MonoTime,
}

impl ServiceTraffic {
    /// Counts a request.
    pub fn record(&mut self, request: &RequestTraits<'_>, now: MonoTime) {
        if now.since(self.since) >= WINDOW {
            self.last = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.requests += 1;
        self.current.short += u32::from(is_short(request.prompt_tokens));
        self.current.by_urgency[urgency_level(request.urgency)] += 1;
        let shared = request
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        for part in shared {
            if self.current.counts.len() < COUNTED_PARTS_LIMIT {
                *self.current.counts.entry(part.id).or_insert(0) += 1;
            }
        }
    }

    /// Returns how many of `backends` backend servers should be homes of a part, in proportion to
    /// its share of the requests; at least one.
    pub fn home_count(&self, part: PartId, backends: usize) -> usize {
        let count = |window: &TrafficWindow| window.counts.get(&part).copied().unwrap_or(0);
        let counted = count(&self.current) + count(&self.last);
        let requests = self.current.requests + self.last.requests;
        if counted < MIN_PART_REQUESTS || requests == 0 {
            return 1;
        }
        let share = f64::from(counted) / f64::from(requests);
        ((share * backends as f64).round() as usize).max(1)
    }

    /// Returns how many of `backends` backend servers should be reserved for short prompts.
    ///
    /// None are reserved if nearly all prompts are short, or nearly all are long.
    pub fn reserved_count(&self, backends: usize) -> usize {
        let requests = self.current.requests + self.last.requests;
        let short = f64::from(self.current.short + self.last.short) / f64::from(requests.max(1));
        let is_mixed = (MIN_MIX_SHARE..=1.0 - MIN_MIX_SHARE).contains(&short);
        if requests >= MIN_MIX_REQUESTS && !is_mixed {
            return 0;
        }
        (RESERVED_SHARE * backends as f64) as usize
    }

    /// Returns whether less than `MIN_URGENCY_SHARE` of the service's requests are less urgent than
    /// this.
    pub fn is_least_urgent(&self, urgency: u8) -> bool {
        let less_urgent = self.share(|other| other > urgency_level(urgency));
        less_urgent < MIN_URGENCY_SHARE
    }

    /// Returns the share of a queue that is served before a request of this urgency.
    ///
    /// More urgent requests wait for a shorter time, so their share of a queue is smaller than
    /// their share of the arrivals; its square is the estimate.
    pub fn ahead_share(&self, urgency: u8) -> f64 {
        if self.is_least_urgent(urgency) {
            return 1.0;
        }
        self.share(|other| other <= urgency_level(urgency)).powi(2)
    }

    fn share(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let sum = |window: &TrafficWindow| {
            let levels = window.by_urgency.iter().enumerate();
            let counted = levels.filter(|(urgency, _)| is_counted(*urgency));
            counted.map(|(_, count)| *count).sum::<u32>()
        };
        let requests = (self.current.requests + self.last.requests).max(1);
        f64::from(sum(&self.current) + sum(&self.last)) / f64::from(requests)
    }
}
