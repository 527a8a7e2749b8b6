//! Figures of one group of calls: a class, an operation or a customer.

use hdrhistogram::Histogram;
use oleander_base::prelude::*;
use serde::Serialize;

use crate::outcome::{CallOutcome, CallRecord};

/// The window in which every class must complete something, in seconds.
const PROGRESS_WINDOW_S: usize = 30;

/// The largest time that a histogram holds, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct LatencySummary {
    /// How many there are.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Reads a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            mean_ms: histogram.mean() / 1_000.0,
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// Returns an empty histogram of microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    empty.expect("the bounds of a histogram are constants")
}

/// Adds a time to a histogram of microseconds.
pub(crate) fn record_time(histogram: &mut Histogram<u64>, span: Span) {
    histogram.saturating_record(span.0.max(1));
}

/// The times between tokens, by class.
#[derive(Debug)]
pub(crate) struct GapStats {
    classes: Vec<ClassGaps>,
}

#[derive(Debug)]
struct ClassGaps {
    gaps: Histogram<u64>,
    target: Span,
    within_target: u64,
}

impl GapStats {
    /// Returns empty figures for classes with these targets.
    pub(crate) fn new(targets: impl IntoIterator<Item = Span>) -> Self {
        let classes = targets.into_iter().map(|target| ClassGaps {
            gaps: new_histogram(),
            target,
            within_target: 0,
        });
        Self {
            classes: classes.collect(),
        }
    }

    /// Adds one time between two tokens.
    pub(crate) fn record(&mut self, class: usize, gap: Span) {
        let class = &mut self.classes[class];
        record_time(&mut class.gaps, gap);
        class.within_target += u64::from(gap <= class.target);
    }

    /// Adds the figures of another thread.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            let added = class.gaps.add(&other.gaps);
            added.expect("all histograms have the same bounds");
            class.within_target += other.within_target;
        }
    }

    /// Returns the percentiles of a class and the share within its target.
    pub(crate) fn summary(&self, class: usize) -> (LatencySummary, f64) {
        let class = &self.classes[class];
        let share = class.within_target as f64 / class.gaps.len().max(1) as f64;
        (LatencySummary::from_histogram(&class.gaps), share)
    }
}

/// What a group of calls is held to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GroupTarget {
    pub(crate) first: Span,
    pub(crate) gap: Option<Span>,
    pub(crate) weight: f64,
}

impl GroupTarget {
    /// Returns whether the call has met its target.
    pub(crate) fn is_met(&self, record: &CallRecord) -> bool {
        let first = record.first.is_some_and(|first| first <= self.first);
        let gap = match (self.gap, record.mean_gap) {
            (Some(target), Some(gap)) => gap <= target,
            _ => true,
        };
        record.outcome == CallOutcome::Whole && first && gap
    }
}

/// The figures of a group while they are taken.
#[derive(Debug)]
pub struct GroupStats {
    offered: u64,
    whole: u64,
    shed: u64,
    refused: u64,
    failed: u64,
    truncated: u64,
    mixed: u64,
    attained: u64,
    tokens: u64,
    weight: f64,
    first: Histogram<u64>,
    sent_first: Histogram<u64>,
    total: Histogram<u64>,
    completions: Vec<u64>,
}

impl GroupStats {
    /// Returns empty figures for a run of so many seconds.
    pub fn new(duration_s: f64) -> Self {
        Self {
            offered: 0,
            whole: 0,
            shed: 0,
            refused: 0,
            failed: 0,
            truncated: 0,
            mixed: 0,
            attained: 0,
            tokens: 0,
            weight: 0.0,
            first: new_histogram(),
            sent_first: new_histogram(),
            total: new_histogram(),
            completions: vec![0; duration_s.ceil() as usize],
        }
    }

    /// Adds one call that was due in the measured time.
    pub(crate) fn add(&mut self, record: &CallRecord, target: &GroupTarget) {
        self.offered += 1;
        self.attained += u64::from(target.is_met(record));
        if let Some(first) = record.first {
            record_time(&mut self.first, first);
            record_time(&mut self.sent_first, first.saturating_sub(record.lateness));
        }
        match record.outcome {
            CallOutcome::Whole => {
                self.whole += 1;
                self.weight += target.weight;
                self.tokens += u64::from(record.tokens);
                record_time(&mut self.total, record.total);
            }
            CallOutcome::Shed => self.shed += 1,
            CallOutcome::Refused => self.refused += 1,
            CallOutcome::Truncated => self.truncated += 1,
            CallOutcome::Mixed => self.mixed += 1,
            CallOutcome::Broken | CallOutcome::Failed | CallOutcome::Unreachable => {
                self.failed += 1;
            }
        }
    }

    /// Notes a completion of any time, for the progress of the group.
    pub(crate) fn record_completion(&mut self, record: &CallRecord) {
        if record.outcome != CallOutcome::Whole {
            return;
        }
        let second = record.ended().0 / 1_000_000;
        if let Some(count) = self.completions.get_mut(second as usize) {
            *count += 1;
        }
    }

    /// Returns the least number of completions in any window, or none if the run is shorter.
    fn min_window_completions(&self, warmup_s: f64) -> Option<u64> {
        let measured = self.completions.get(warmup_s.ceil() as usize..)?;
        measured
            .windows(PROGRESS_WINDOW_S)
            .map(|window| window.iter().sum())
            .min()
    }

    /// Returns the report of the group.
    pub fn report(&self, name: &str, tier: Option<Tier>, warmup_s: f64) -> GroupReport {
        let measured_s = self.completions.len() as f64 - warmup_s;
        let eligible = self.offered - self.refused;
        GroupReport {
            name: name.to_owned(),
            tier,
            offered: self.offered,
            whole: self.whole,
            shed: self.shed,
            refused: self.refused,
            failed: self.failed,
            truncated: self.truncated,
            mixed: self.mixed,
            attained: self.attained,
            attainment: (eligible > 0).then(|| self.attained as f64 / eligible as f64),
            goodput: self.weight / measured_s,
            tokens_per_second: self.tokens as f64 / measured_s,
            first: LatencySummary::from_histogram(&self.first),
            sent_first: LatencySummary::from_histogram(&self.sent_first),
            total: LatencySummary::from_histogram(&self.total),
            gap: LatencySummary::default(),
            gap_within: None,
            least_in_30_s: self.min_window_completions(warmup_s),
        }
    }
}

/// The figures of one group over the measured time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupReport {
    /// The class, operation or customer.
    pub name: String,
    /// The tier, if the group has one.
    pub tier: Option<Tier>,
    /// Calls that were due.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Calls that were shed.
    pub shed: u64,
    /// Calls refused for the customer's own limit.
    pub refused: u64,
    /// Calls that failed in sight of the caller.
    pub failed: u64,
    /// Answers that looked complete and were not.
    pub truncated: u64,
    /// Answers with foreign, doubled or misplaced tokens.
    pub mixed: u64,
    /// Whole answers within their targets for the first token and the mean gap.
    pub attained: u64,
    /// `attained` against all calls that were due and not refused.
    pub attainment: Option<f64>,
    /// Whole answers a second, weighted by kind.
    pub goodput: f64,
    /// Tokens a second in whole answers.
    pub tokens_per_second: f64,
    /// From when the call was due to the first token (or the answer of a plain service).
    pub first: LatencySummary,
    /// From when the call was sent to the same; without the lateness of the load tool's timers.
    pub sent_first: LatencySummary,
    /// From when the call was due to the end of a whole answer.
    pub total: LatencySummary,
    /// Between two tokens.
    pub gap: LatencySummary,
    /// The share of the gaps within the target.
    pub gap_within: Option<f64>,
    /// The least number of whole answers in any 30 s, or none if the run is shorter.
    pub least_in_30_s: Option<u64>,
}
