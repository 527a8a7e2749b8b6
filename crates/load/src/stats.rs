//! Statistics of one group of calls: a class, an operation or a customer.

use hdrhistogram::Histogram;
use oleander_base::prelude::*;
use serde::Serialize;

use crate::outcome::{CallOutcome, CallRecord};

/// Length of the sliding window in which every class must complete calls, in seconds.
const PROGRESS_WINDOW_S: usize = 30;

/// Largest time that a histogram can hold, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Number of significant decimal digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a latency distribution, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct LatencySummary {
    /// The number of recorded times.
    pub count: u64,
    /// The mean latency.
    pub mean_ms: f64,
    /// The median latency.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The largest latency.
    pub max_ms: f64,
}

impl LatencySummary {
    /// Summarizes a histogram of microseconds.
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
    empty.expect("the constant histogram bounds are valid")
}

/// Adds a time to a histogram of microseconds, limited to the range of the histogram.
pub(crate) fn record_time(histogram: &mut Histogram<u64>, span: Span) {
    histogram.saturating_record(span.0.max(1));
}

/// The times between consecutive tokens, by class.
#[derive(Debug)]
pub(crate) struct GapStats {
    classes: Vec<ClassGaps>,
}

/// The times between consecutive tokens of one class.
#[derive(Debug)]
struct ClassGaps {
    gaps: Histogram<u64>,
    target: Span,
    within_target: u64,
}

impl GapStats {
    /// Returns empty statistics for classes with these target gaps, in the order of the scenario.
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

    /// Adds the time between two consecutive tokens of a class.
    pub(crate) fn record(&mut self, class: usize, gap: Span) {
        let class = &mut self.classes[class];
        record_time(&mut class.gaps, gap);
        class.within_target += u64::from(gap <= class.target);
    }

    /// Adds the statistics of another thread.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (class, other) in self.classes.iter_mut().zip(&other.classes) {
            let added = class.gaps.add(&other.gaps);
            added.expect("all histograms have the same bounds");
            class.within_target += other.within_target;
        }
    }

    /// Returns the gap percentiles of a class and the fraction of gaps within its target.
    pub(crate) fn summary(&self, class: usize) -> (LatencySummary, f64) {
        let class = &self.classes[class];
        let share = class.within_target as f64 / class.gaps.len().max(1) as f64;
        (LatencySummary::from_histogram(&class.gaps), share)
    }
}

/// The latency targets of a group of calls and their weight in the goodput.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct GroupTarget {
    pub(crate) first: Span,
    pub(crate) gap: Option<Span>,
    pub(crate) weight: f64,
}

impl GroupTarget {
    /// Returns whether the call got a whole answer within its latency targets.
    pub(crate) fn is_met(&self, record: &CallRecord) -> bool {
        let first = record.first.is_some_and(|first| first <= self.first);
        let gap = match (self.gap, record.mean_gap) {
            (Some(target), Some(gap)) => gap <= target,
            _ => true,
        };
        record.outcome == CallOutcome::Whole && first && gap
    }
}

/// The statistics of a group, accumulated call by call.
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
    /// Returns empty statistics for a run of `duration_s` seconds.
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

    /// Adds one call that was due in the measured interval.
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

    /// Counts a whole answer in the second of the run in which it ended, whether or not the call
    /// was due in the measured interval.
    pub(crate) fn record_completion(&mut self, record: &CallRecord) {
        if record.outcome != CallOutcome::Whole {
            return;
        }
        let second = record.ended().0 / 1_000_000;
        if let Some(count) = self.completions.get_mut(second as usize) {
            *count += 1;
        }
    }

    /// Returns the lowest number of completions in any window after the warm-up, or `None` if the
    /// measured interval is shorter than a window.
    fn min_window_completions(&self, warmup_s: f64) -> Option<u64> {
        let measured = self.completions.get(warmup_s.ceil() as usize..)?;
        measured
            .windows(PROGRESS_WINDOW_S)
            .map(|window| window.iter().sum())
            .min()
    }

    /// Returns the report of the group; `warmup_s` seconds at the start are not measured.
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

/// The statistics of one group over the measured interval.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GroupReport {
    /// The name of the class, operation or customer.
    pub name: String,
    /// The tier; customers have none.
    pub tier: Option<Tier>,
    /// Calls that were due in the measured interval.
    pub offered: u64,
    /// Calls that got a whole answer.
    pub whole: u64,
    /// Calls that the system shed.
    pub shed: u64,
    /// Calls refused because the customer exceeded its own limit.
    pub refused: u64,
    /// Calls that failed in a way that the caller could see.
    pub failed: u64,
    /// Answers that looked complete but lacked tokens.
    pub truncated: u64,
    /// Answers with foreign, duplicated or misplaced tokens.
    pub mixed: u64,
    /// Whole answers within their targets for the first token and the mean gap.
    pub attained: u64,
    /// `attained` as a fraction of all calls that were due and not refused.
    pub attainment: Option<f64>,
    /// Whole answers per second, weighted by the goodput weight of their class or operation.
    pub goodput: f64,
    /// Tokens per second in whole answers.
    pub tokens_per_second: f64,
    /// Time from when the call was due to the first token (or the answer of a plain service).
    pub first: LatencySummary,
    /// Time from when the call was sent to the same event, which leaves out the lateness of the
    /// load tool's timers.
    pub sent_first: LatencySummary,
    /// Time from when the call was due to the end of a whole answer.
    pub total: LatencySummary,
    /// Time between two consecutive tokens of a class, over the whole run with the warm-up; empty
    /// for operations and customers.
    pub gap: LatencySummary,
    /// The fraction of the gaps within the target.
    pub gap_within: Option<f64>,
    /// The lowest number of whole answers that ended in any 30 s after the warm-up, or `None` if
    /// the measured interval is shorter.
    pub least_in_30_s: Option<u64>,
}
