//! How much of a service's traffic shares each prompt part.
//!
//! A part that more requests share than one backend server can carry needs several homes; one that
//! nearly all share is held everywhere and says nothing about where a request belongs. Shares are
//! counted from this gateway's own requests over the last one to two windows. All gateways see a
//! sample of the same traffic, so they come to about the same widths without a message.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::{PartId, PromptPart};

/// The length of a window.
const WINDOW: Span = Span::from_secs(6);

/// The fewest requests that show a part to be shared by many.
const SHOWN_COUNT: u32 = 3;

/// The most parts that are counted in a window; others are taken to be rare.
const COUNT_LIMIT: usize = 4_096;

/// Requests of one window.
#[derive(Debug, Default)]
struct TrafficWindow {
    requests: u32,
    counts: FastMap<PartId, u32>,
}

/// The traffic of one service by prompt part.
#[derive(Debug, Default)]
pub struct PartTraffic {
    current: TrafficWindow,
    last: TrafficWindow,
    since: MonoTime,
}

impl PartTraffic {
    /// Counts a request.
    pub fn note(&mut self, parts: &[PromptPart], now: MonoTime) {
        if now.since(self.since) >= WINDOW {
            self.last = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.requests += 1;
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared {
            if self.current.counts.len() < COUNT_LIMIT {
                *self.current.counts.entry(part.id).or_insert(0) += 1;
            }
        }
    }

    /// Returns how many of `backends` backend servers the requests for a part take up; at least one.
    pub fn width(&self, part: PartId, backends: usize) -> usize {
        let count = |window: &TrafficWindow| window.counts.get(&part).copied().unwrap_or(0);
        let counted = count(&self.current) + count(&self.last);
        let requests = self.current.requests + self.last.requests;
        if counted < SHOWN_COUNT || requests == 0 {
            return 1;
        }
        let share = f64::from(counted) / f64::from(requests);
        ((share * backends as f64).round() as usize).max(1)
    }
}
