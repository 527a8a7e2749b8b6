//! What a service's traffic consists of: how much of it shares each prompt part, and how much has
//! short prompts.
//!
//! A part that more requests share than one backend server can carry needs several homes; one that
//! nearly all share is held everywhere and says nothing about where a request belongs. Shares are
//! counted from this gateway's own requests over the last one to two windows. All gateways see a
//! sample of the same traffic, so they come to about the same figures without a message.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::reserve::{RESERVED_SHARE, is_light};
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
    light: u32,
    counts: FastMap<PartId, u32>,
}

/// The fewest requests that tell whether short and long prompts are mixed.
const MIX_COUNT: u32 = 30;

/// The least share of short prompts, and of long ones, that makes a mix.
const MIX_SHARE: f64 = 0.03;

/// The traffic of one service, as this gateway sees it.
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    current: TrafficWindow,
    last: TrafficWindow,
    since: MonoTime,
}

impl ServiceTraffic {
    /// Counts a request.
    pub fn note(&mut self, parts: &[PromptPart], prompt_tokens: u32, now: MonoTime) {
        if now.since(self.since) >= WINDOW {
            self.last = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.requests += 1;
        self.current.light += u32::from(is_light(prompt_tokens));
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

    /// Returns how many of `backends` backend servers read only short prompts.
    ///
    /// None do where all prompts are short, or all are long.
    pub fn reserved(&self, backends: usize) -> usize {
        let requests = self.current.requests + self.last.requests;
        let light = f64::from(self.current.light + self.last.light) / f64::from(requests.max(1));
        let is_mixed = (MIX_SHARE..=1.0 - MIX_SHARE).contains(&light);
        if requests >= MIX_COUNT && !is_mixed {
            return 0;
        }
        (RESERVED_SHARE * backends as f64) as usize
    }
}
