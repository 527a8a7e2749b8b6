//! The number of requests that other senders have in flight at a backend server, estimated from
//! delayed reports.
//!
//! A report contains the number of requests at the backend server at the time it was taken. This
//! dispatcher's own part is known exactly: its requests outstanding now, minus those granted and
//! plus those released since. The rest belongs to other senders and remains the estimate until the
//! next report. An old report does not make a backend server idle: the number stays, and the choice
//! of a backend server treats the load as unknown.
//!
//! Between reports the load can be inferred: if own requests wait for their first token far longer
//! than usual, all slots that they do not hold are assumed taken. An inference is valid for a short
//! time, so that it ends without a report.

use std::collections::VecDeque;

use oleander_base::prelude::*;

/// How long changes are kept; an older report is ignored.
const HISTORY_SPAN: Span = Span::from_secs(10);

/// The weight of a report that is higher than the current estimate.
///
/// A report that is older than its stated age counts own requests that have since ended as those of
/// others. Such errors only ever raise the number, so a higher number takes full effect only if it
/// is repeated, while a lower one takes effect at once.
const RISE_WEIGHT: f64 = 0.5;

/// How long an inference is valid.
const INFERENCE_SPAN: Span = Span::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct OwnChange {
    at: MonoTime,
    step: i32,
}

#[derive(Debug, Clone, Copy)]
struct InferredLoad {
    others: u32,
    until: MonoTime,
}

/// The estimated number of other senders' requests at one backend server.
#[derive(Debug, Default)]
pub(crate) struct OtherLoad {
    changes: VecDeque<OwnChange>,
    others: f64,
    inferred: Option<InferredLoad>,
    reported: Option<MonoTime>,
}

impl OtherLoad {
    /// Records that an own request was granted.
    pub(crate) fn on_grant(&mut self, now: MonoTime) {
        self.push(1, now);
    }

    /// Records that an own request ended.
    pub(crate) fn on_release(&mut self, now: MonoTime) {
        self.push(-1, now);
    }

    /// Applies a report of `total` requests that was taken `age` ago, where `own` is the number of
    /// own requests outstanding now.
    pub(crate) fn report(&mut self, total: u32, age: Span, own: u32, now: MonoTime) {
        if age > HISTORY_SPAN {
            return;
        }
        let taken = now - age;
        if self.reported.is_some_and(|reported| reported > taken) {
            return;
        }
        let since = self.changes.iter().rev().take_while(|c| c.at > taken);
        let step: i32 = since.map(|change| change.step).sum();
        let own_then = (i64::from(own) - i64::from(step)).max(0);
        let others = (i64::from(total) - own_then).max(0) as f64;
        let is_rise = self.reported.is_some() && others > self.others;
        let weight = if is_rise { RISE_WEIGHT } else { 1.0 };
        self.others += weight * (others - self.others);
        self.reported = Some(taken);
    }

    /// Sets an inferred number of other senders' requests.
    pub(crate) fn infer(&mut self, others: u32, now: MonoTime) {
        let until = now + INFERENCE_SPAN;
        self.inferred = Some(InferredLoad { others, until });
    }

    /// Returns the estimated number of other senders' requests.
    pub(crate) fn others(&self, now: MonoTime) -> u32 {
        let reported = self.others.round() as u32;
        let inferred = self.inferred.filter(|load| now < load.until);
        inferred.map_or(reported, |load| load.others.max(reported))
    }

    /// Returns whether there is no report or the newest one is older than `stale`.
    pub(crate) fn is_unknown(&self, stale: Span, now: MonoTime) -> bool {
        self.reported.is_none_or(|taken| now.since(taken) > stale)
    }

    fn push(&mut self, step: i32, now: MonoTime) {
        let kept = now - HISTORY_SPAN;
        while self.changes.front().is_some_and(|change| change.at < kept) {
            self.changes.pop_front();
        }
        self.changes.push_back(OwnChange { at: now, step });
    }
}
