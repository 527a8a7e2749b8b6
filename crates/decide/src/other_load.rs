//! What other senders have in flight at a backend server, from reports that come late.
//!
//! A report tells how many requests the backend server had when it was taken. Our own part of
//! that number is known exactly: it is what is outstanding now, less what was granted and plus
//! what was released since. The rest belongs to other senders, and stays in force until the next
//! report. A report that grows old does not make a backend server idle: the number stays, and the
//! choice of a backend server counts the load as unknown.
//!
//! Between reports the load can be inferred: where requests of ours wait for their first token far
//! longer than usual, all places that they do not have are taken. An inference holds for a short
//! time, so that it needs no report to end.

use std::collections::VecDeque;

use oleander_base::prelude::*;

/// How far back changes are kept; a report older than this is ignored.
const HISTORY_SPAN: Span = Span::from_secs(10);

/// The weight of a report that says more than the estimate so far.
///
/// A report whose true age is unknown shows requests of ours that have ended since as those of
/// others. Such errors only ever add, so that a larger number has to come again to be believed,
/// and a smaller one is believed at once.
const RISE_WEIGHT: f64 = 0.5;

/// How long an inference holds.
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

/// The estimate of the other senders' requests at one backend server.
#[derive(Debug, Default)]
pub(crate) struct OtherLoad {
    changes: VecDeque<OwnChange>,
    others: f64,
    inferred: Option<InferredLoad>,
    reported: Option<MonoTime>,
}

impl OtherLoad {
    /// Records that a request of ours was granted there.
    pub(crate) fn on_grant(&mut self, now: MonoTime) {
        self.push(1, now);
    }

    /// Records that a request of ours ended there.
    pub(crate) fn on_release(&mut self, now: MonoTime) {
        self.push(-1, now);
    }

    /// Takes a report of `total` requests that was taken `age` ago, while `own` of ours are
    /// outstanding now.
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

    /// Takes an inference of the other senders' requests.
    pub(crate) fn infer(&mut self, others: u32, now: MonoTime) {
        let until = now + INFERENCE_SPAN;
        self.inferred = Some(InferredLoad { others, until });
    }

    /// Returns the estimate of the other senders' requests.
    pub(crate) fn others(&self, now: MonoTime) -> u32 {
        let reported = self.others.round() as u32;
        let inferred = self.inferred.filter(|load| now < load.until);
        inferred.map_or(reported, |load| load.others.max(reported))
    }

    /// Returns whether the newest report is older than `stale`, or there was none.
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
