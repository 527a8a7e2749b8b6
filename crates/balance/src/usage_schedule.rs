//! Which usage windows are to be collected, sent or dropped, and what the exact texts of their reports
//! are.
//!
//! All reports of one window must have the same text. The holder writes the text to the store as an intent
//! before it sends it, and whoever holds the duties afterwards sends exactly that text. A window whose intent
//! may have been lost, because the store came back from an older copy, is not reported: a missing report is
//! better than a second one that differs (docs/design/duties.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use oleander_base::prelude::*;

use crate::median_clock::TrueTime;

/// The part of the delay of reports, in percent, after which the counts of a window are collected. What
/// began late in the window is known by then, and three quarters of the delay are left for a new holder
/// and for several tries.
const SETTLE_PERCENT: u64 = 25;

/// The longest time before the counts of a window are collected.
const MAX_SETTLE: Span = Span::from_millis(2_500);

/// After how many delays, counted from the end of its window, a report that could not be sent is dropped.
const OVERDUE_DELAYS: u64 = 4;

/// How long an intent stays in the store after its report has been dropped.
const INTENT_MARGIN: Span = Span::from_secs(30);

/// By how much the estimates of true time of two holders may differ.
const CLOCK_MARGIN: Span = Span::from_secs(1);

/// The most old intents that are removed with one write.
const MAX_REMOVALS: usize = 20;

/// The lengths that the windows of usage reports are defined by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTerms {
    /// The length of a window.
    pub length: Span,
    /// The time after the end of a window at which its report is due.
    pub delay: Span,
}

impl WindowTerms {
    /// Returns the beginning of a window.
    pub fn begin(self, window: u64) -> TrueTime {
        TrueTime(window.saturating_mul(self.length().0))
    }

    /// Returns the end of a window.
    pub fn end(self, window: u64) -> TrueTime {
        self.begin(window.saturating_add(1))
    }

    /// Returns the time at which the report of a window is due.
    pub fn due(self, window: u64) -> TrueTime {
        TrueTime(self.end(window).0.saturating_add(self.delay.0))
    }

    /// Returns the time from which the counts of a window are collected.
    pub fn collect_at(self, window: u64) -> TrueTime {
        TrueTime(self.end(window).0.saturating_add(self.settle().0))
    }

    /// Returns how long counts are kept: until a window is not collected any more, and the time that a
    /// collection and a change of the holder may take in addition.
    pub fn retention(self, lease_time: Span) -> Span {
        Span(self.length().0 + 2 * self.delay.0 + 2 * lease_time.0)
    }

    /// Returns the first window for which nobody can have written an intent before `now`, although the clock of
    /// another holder may have been ahead.
    pub fn first_without_intent(self, now: TrueTime) -> u64 {
        let past = now.0.saturating_add(CLOCK_MARGIN.0);
        past.saturating_sub(self.settle().0) / self.length().0
    }

    /// Returns the time from which the counts of a window are not collected any more: half a delay after its
    /// report was due.
    fn uncollected_at(self, window: u64) -> TrueTime {
        TrueTime(self.due(window).0.saturating_add(self.delay.0 / 2))
    }

    fn length(self) -> Span {
        self.length.max(Span::from_millis(1))
    }

    fn settle(self) -> Span {
        Span(self.delay.0 * SETTLE_PERCENT / 100).min(MAX_SETTLE)
    }

    fn dropped_at(self, window: u64) -> TrueTime {
        let overdue = self.delay.0.saturating_mul(OVERDUE_DELAYS);
        TrueTime(self.end(window).0.saturating_add(overdue))
    }
}

/// What the holder does next about a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowStep {
    /// Collects its counts and writes the intent.
    Collect(u64),
    /// Sends the text of its intent.
    Send(u64, Arc<str>),
    /// Gives its report up, since it is overdue.
    Drop(u64),
}

/// The windows that one holder has to report.
#[derive(Debug)]
pub struct UsageSchedule {
    terms: WindowTerms,
    /// The first window to collect; all before it are finished or have an intent.
    next: u64,
    intents: BTreeMap<u64, Intent>,
}

#[derive(Debug)]
struct Intent {
    text: Arc<str>,
    /// Whether its report was accepted or given up.
    is_done: bool,
    /// Whether the store of the present era has it.
    is_stored: bool,
}

/// What a holder knows of the windows when the store comes back from an older copy.
///
/// Its lease ran until then, so nobody else has written an intent of that era after it took over. If it is the
/// first holder of the next era as well, it knows every text, whatever the store has lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CarriedWindows {
    /// The first window without an intent.
    next: u64,
    /// The texts that may have been written, with whether the provider has accepted them.
    texts: BTreeMap<u64, (Arc<str>, bool)>,
}

impl CarriedWindows {
    /// Returns the first window of which no text can have been written or sent.
    pub fn first_without_text(&self) -> u64 {
        let last = self.texts.keys().next_back();
        last.map_or(self.next, |last| self.next.max(last + 1))
    }
}

impl UsageSchedule {
    /// Creates the schedule of a new holder. From window `first` on, a window without an intent in the store has
    /// not been reported and may be collected.
    pub fn new(terms: WindowTerms, first: u64) -> Self {
        Self {
            terms,
            next: first,
            intents: BTreeMap::new(),
        }
    }

    /// Adds an intent that is in the store. A known text of the same window stays.
    pub fn add_intent(&mut self, window: u64, text: Arc<str>) {
        let intent = self.intents.entry(window).or_insert(Intent {
            text,
            is_done: false,
            is_stored: true,
        });
        intent.is_stored = true;
    }

    /// Returns what the holder knows. `drafts` are the texts of writes whose outcome is not known.
    pub fn carry(&self, drafts: &BTreeMap<u64, Arc<str>>) -> CarriedWindows {
        let known = self.intents.iter();
        let known =
            known.map(|(window, intent)| (*window, (Arc::clone(&intent.text), intent.is_done)));
        let drafts = drafts.iter();
        let drafts = drafts.map(|(window, text)| (*window, (Arc::clone(text), false)));
        CarriedWindows {
            next: self.next,
            texts: drafts.chain(known).collect(),
        }
    }

    /// Takes over what this holder knew in the era before.
    pub fn take_over(&mut self, carried: CarriedWindows) {
        self.next = carried.next;
        for (window, (text, is_done)) in carried.texts {
            let intent = self.intents.entry(window).or_insert(Intent {
                text,
                is_done,
                is_stored: false,
            });
            intent.is_done = is_done;
        }
    }

    /// Returns what to do next. Windows in `skipped` are left alone for now, because their step has just failed or
    /// calls are not allowed yet.
    pub fn next_step(&mut self, now: TrueTime, skipped: &[u64]) -> Option<WindowStep> {
        self.pass_known(now);
        let terms = self.terms;
        let open =
            |(window, intent): &(&u64, &Intent)| !intent.is_done && !skipped.contains(window);
        if let Some((window, intent)) = self.intents.iter().find(open) {
            return Some(match now >= terms.dropped_at(*window) {
                true => WindowStep::Drop(*window),
                false => WindowStep::Send(*window, Arc::clone(&intent.text)),
            });
        }
        let window = self.next;
        if now < terms.collect_at(window) || skipped.contains(&window) {
            return None;
        }
        Some(match now >= terms.uncollected_at(window) {
            true => WindowStep::Drop(window),
            false => WindowStep::Collect(window),
        })
    }

    /// Records that the report of a window was accepted or given up.
    pub fn finish(&mut self, window: u64) {
        match self.intents.get_mut(&window) {
            Some(intent) => intent.is_done = true,
            None => self.next = self.next.max(window.saturating_add(1)),
        }
    }

    /// Returns the windows whose intents are in the store and not needed any longer.
    pub fn old_intents(&self, now: TrueTime) -> Vec<u64> {
        let is_old = |window: u64| {
            let end = self.terms.dropped_at(window).0;
            now.0 >= end.saturating_add(INTENT_MARGIN.0)
        };
        let stored = self.intents.iter().filter(|(_, intent)| intent.is_stored);
        let old = stored
            .map(|(window, _)| *window)
            .filter(|window| is_old(*window));
        old.take(MAX_REMOVALS).collect()
    }

    /// Forgets an intent that was removed from the store.
    pub fn forget_intent(&mut self, window: u64) {
        self.intents.remove(&window);
    }

    /// Passes over windows that have an intent, and over those that ended so long ago that their counts would not
    /// be collected any more.
    fn pass_known(&mut self, now: TrueTime) {
        while self.intents.contains_key(&self.next) {
            self.next += 1;
        }
        let overdue = 2 * self.terms.delay.0 + self.terms.length().0;
        let oldest = now.0.saturating_sub(overdue) / self.terms.length().0;
        self.next = self.next.max(oldest);
    }
}
