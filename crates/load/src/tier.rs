//! Counts violations of the tier promise in the event logs of dispatchers.
//!
//! The tier promise: at the moment a request is shed, no request of a lower tier of the same pool
//! is queued, and none is admitted in its place. The check replays the merged logs in the order of
//! time; events with the same time keep the order of their log, since one dispatcher wrote them.
//! It counts two kinds of violations:
//!
//! - `queued_below`: sheds while a request of a lower tier was queued in the pool.
//! - `granted_below`: sheds of requests after whose arrival, and within a window before the shed, a
//!   request of a lower tier was granted a slot in the pool. The window leaves out the earlier
//!   grants that a class is owed by its minimum share.
//!
//! A shed that is a violation of both kinds counts only as `queued_below`.

use std::collections::BTreeMap;
use std::fmt::Write;

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::outcome::{CallOutcome, CallRecord};

/// Maximum number of violations that a report describes individually.
const MAX_DESCRIBED_BREAKS: usize = 20;

/// The action of a dispatcher on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchEventKind {
    /// The request was queued.
    Queue,
    /// The request was granted a slot.
    Grant,
    /// The request was shed.
    Shed,
    /// The request left the queue in another way: the caller disconnected, or the request moved to
    /// another pool.
    Leave,
}

/// One line of a dispatcher's event log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchEvent {
    /// The time in microseconds, on a clock that all logs share.
    pub at_us: u64,
    /// The name of the pool.
    pub pool: String,
    /// The action of the dispatcher.
    pub event: DispatchEventKind,
    /// The id of the request.
    pub request: String,
    /// The tier of the request; 0 is the highest.
    pub tier: u8,
}

/// The result of the check.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct TierReport {
    /// The number of sheds in the logs.
    pub sheds: u64,
    /// Sheds while a lower tier was queued in the same pool.
    pub queued_below: u64,
    /// Sheds shortly after a lower tier was granted in the same pool, while the request waited.
    pub granted_below: u64,
    /// Calls that were answered as shed but have no shed event in any log.
    pub unlogged_sheds: u64,
    /// Log lines that could not be parsed as events.
    pub bad_lines: u64,
    /// Descriptions of the first violations, one line each.
    pub breaks: Vec<String>,
}

impl TierReport {
    /// Returns the number of violations of the tier promise.
    pub fn break_count(&self) -> u64 {
        self.queued_below + self.granted_below
    }
}

#[derive(Debug, Default)]
struct PoolState {
    queued: BTreeMap<u8, FastMap<String, u64>>,
    last_grant: BTreeMap<u8, u64>,
}

/// Collects the events of a run from all entry VMs and checks them.
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

    /// Adds events that are already parsed.
    pub fn add_events(&mut self, events: impl IntoIterator<Item = DispatchEvent>) {
        self.events.extend(events);
    }

    /// Replays the events and reports the violations; a grant of a lower tier counts only within
    /// `window` before a shed.
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

    /// Returns the highest tier below `tier` that has a queued request.
    fn queued_below(&self, tier: u8) -> Option<u8> {
        let below = self.queued.range(tier.saturating_add(1)..);
        below
            .filter(|(_, requests)| !requests.is_empty())
            .map(|(tier, _)| *tier)
            .next()
    }

    /// Returns the highest tier below `tier` whose last grant was at or after `since_us`.
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
