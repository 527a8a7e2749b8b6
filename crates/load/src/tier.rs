//! Counts breaks of the tier promise in the event logs of dispatchers.
//!
//! The promise: at the moment a request is shed, no request of a lower tier of the same pool is
//! queued, and none is admitted in its place. The check replays the merged logs in the order of
//! time; events of one time keep the order of their log, since one dispatcher wrote them. Two
//! figures come out:
//!
//! - `queued_below`: sheds while a lower tier was queued in the pool.
//! - `granted_below`: sheds after whose arrival, and not longer than a window before the shed, a
//!   lower tier was granted a slot in the pool. The window leaves out the grants that a class's
//!   minimum share is owed, which lie further back.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{CallOutcome, CallRecord};

/// How many breaks a report describes one by one.
const MAX_DESCRIBED_BREAKS: usize = 20;

/// What a dispatcher did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchEventKind {
    /// It was queued.
    Queue,
    /// It was granted a slot.
    Grant,
    /// It was shed.
    Shed,
    /// It left the queue in any other way: the caller left, or it moved to another pool.
    Leave,
}

/// One line of a dispatcher's event log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchEvent {
    /// The time in microseconds, on one clock for all logs.
    pub at_us: u64,
    /// The pool.
    pub pool: String,
    /// What happened.
    pub event: DispatchEventKind,
    /// The request.
    pub request: String,
    /// Its tier.
    pub tier: u8,
}

/// What the check found.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct TierReport {
    /// Sheds in the logs.
    pub sheds: u64,
    /// Sheds while a lower tier was queued in the same pool.
    pub queued_below: u64,
    /// Sheds shortly after a lower tier was granted in the same pool, while the request waited.
    pub granted_below: u64,
    /// Calls that were shed, by their answer, and stand in no log.
    pub unlogged_sheds: u64,
    /// Lines that are no events.
    pub bad_lines: u64,
    /// The first breaks, one line each.
    pub breaks: Vec<String>,
}

impl TierReport {
    /// Returns the number of breaks of the promise.
    pub fn break_count(&self) -> u64 {
        self.queued_below + self.granted_below
    }
}

#[derive(Debug, Default)]
struct PoolState {
    queued: BTreeMap<u8, FastMap<String, u64>>,
    last_grant: BTreeMap<u8, u64>,
}

/// The events of a run, gathered from all entry VMs.
#[derive(Debug, Default)]
pub struct TierCheck {
    events: Vec<DispatchEvent>,
    bad_lines: u64,
}

impl TierCheck {
    /// Returns a check without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one entry VM's log of JSON lines.
    pub fn add_log(&mut self, log: &str) {
        for line in log.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str(line) {
                Ok(event) => self.events.push(event),
                Err(_) => self.bad_lines += 1,
            }
        }
    }

    /// Adds events.
    pub fn add_events(&mut self, events: impl IntoIterator<Item = DispatchEvent>) {
        self.events.extend(events);
    }

    /// Replays the logs; `window` bounds how long before a shed a grant counts.
    pub fn run(mut self, records: &[CallRecord], window: Span) -> TierReport {
        self.events.sort_by_key(|event| event.at_us);
        let mut report = TierReport {
            bad_lines: self.bad_lines,
            ..TierReport::default()
        };
        let mut pools: BTreeMap<&str, PoolState> = BTreeMap::new();
        let mut shed = FastSet::default();
        for event in &self.events {
            let pool = pools.entry(&event.pool).or_default();
            if event.event == DispatchEventKind::Shed {
                shed.insert(event.request.as_str());
                check_shed(pool, event, window, &mut report);
            }
            pool.apply(event);
        }
        report.unlogged_sheds = count_unlogged(records, &shed);
        report
    }
}

impl PoolState {
    fn apply(&mut self, event: &DispatchEvent) {
        let tier = self.queued.entry(event.tier).or_default();
        if event.event == DispatchEventKind::Queue {
            tier.entry(event.request.clone()).or_insert(event.at_us);
            return;
        }
        tier.remove(&event.request);
        if event.event == DispatchEventKind::Grant {
            self.last_grant.insert(event.tier, event.at_us);
        }
    }

    fn queued_at(&self, event: &DispatchEvent) -> u64 {
        let tier = self.queued.get(&event.tier);
        let at = tier.and_then(|tier| tier.get(&event.request));
        at.copied().unwrap_or(event.at_us)
    }

    /// Returns the tier of a queued request below the given one.
    fn queued_below(&self, tier: u8) -> Option<u8> {
        let below = self.queued.range(tier.saturating_add(1)..);
        below
            .filter(|(_, requests)| !requests.is_empty())
            .map(|(tier, _)| *tier)
            .next()
    }

    /// Returns the tier of a grant below the given one since a time.
    fn granted_below(&self, tier: u8, since_us: u64) -> Option<u8> {
        let below = self.last_grant.range(tier.saturating_add(1)..);
        below
            .filter(|(_, at)| **at >= since_us)
            .map(|(tier, _)| *tier)
            .next()
    }
}

fn check_shed(pool: &PoolState, event: &DispatchEvent, window: Span, report: &mut TierReport) {
    report.sheds += 1;
    let since = pool
        .queued_at(event)
        .max(event.at_us.saturating_sub(window.0));
    let broken = if let Some(below) = pool.queued_below(event.tier) {
        report.queued_below += 1;
        Some(("queued", below))
    } else if let Some(below) = pool.granted_below(event.tier, since) {
        report.granted_below += 1;
        Some(("granted", below))
    } else {
        None
    };
    let Some((what, below)) = broken else {
        return;
    };
    if report.breaks.len() < MAX_DESCRIBED_BREAKS {
        let mut line = String::new();
        let _ = write!(
            line,
            "{} us, pool {}: {} of tier {} was shed while tier {below} was {what}",
            event.at_us, event.pool, event.request, event.tier,
        );
        report.breaks.push(line);
    }
}

fn count_unlogged(records: &[CallRecord], shed: &FastSet<&str>) -> u64 {
    let answers = records
        .iter()
        .filter(|record| record.outcome == CallOutcome::Shed);
    let unlogged = answers.filter(|record| {
        let request = record.request.as_deref();
        request.is_none_or(|request| !shed.contains(request))
    });
    unlogged.count() as u64
}
