//! What is known of the orders for one kind of backend servers of a service in one data centre.
//!
//! The provider cannot be asked what is ordered. The answer to an order may be lost, so the number that the
//! provider has on order is known only as a range.

use oleander_base::prelude::*;

use crate::scale_view::KindCount;

/// How much longer than its start time an ordered backend server may take before it counts as missing.
const STARTUP_GRACE: Span = Span::from_secs(2);

/// How long a backend server that served may be away before it counts as missing. A crashed one is
/// back after seconds, and one lost connection says little.
const LOSS_GRACE: Span = Span::from_secs(2);

/// How long a gateway that gives no orders remembers backend servers that are gone without draining.
const LOSS_RETENTION: Span = Span::from_secs(60);

/// The time after which an order whose backend servers are still missing is repeated, and the least
/// time between two repeats.
const REPEAT_AFTER: Span = Span::from_secs(6);

/// The longest time between two repeats of an order that has no effect.
const MAX_REPEAT: Span = Span::from_secs(60);

/// The pause after an order that the provider refused because none were available.
const UNAVAILABLE_PAUSE: Span = Span::from_secs(3);

/// The longest such pause. After preemptible ones were taken away, some are available again after about 10 s.
const MAX_UNAVAILABLE: Span = Span::from_secs(12);

/// The pause after an order that the provider did not take for another reason, or whose answer is not
/// known.
const FAILURE_PAUSE: Span = Span::from_millis(500);

/// The longest such pause.
const MAX_FAILURE_PAUSE: Span = Span::from_secs(4);

/// The greatest exponent of a pause that doubles.
const MAX_DOUBLINGS: u32 = 10;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The provider accepted it.
    Accepted,
    /// The provider has none available there now.
    Unavailable,
    /// The order was not carried out, for instance because the provider got too many calls.
    Refused,
    /// Whether it was carried out is not known.
    Unknown,
}

/// The orders for one kind of backend servers in one data centre.
#[derive(Debug, Clone, Default)]
pub(crate) struct OrderState {
    /// The largest number that was present; it counts as ordered until an order is accepted.
    baseline: u32,
    /// The backend servers that take requests.
    serving: u32,
    /// The number of the last order that was accepted.
    confirmed: Option<u32>,
    /// The number of an order of which it is not known whether it was carried out.
    unconfirmed: Option<u32>,
    /// When an order for more than serve was last accepted.
    raised_at: Option<MonoTime>,
    /// When as many as ordered last served.
    complete_at: MonoTime,
    repeated_at: MonoTime,
    repeats: u32,
    failures: u32,
    retry_at: MonoTime,
    refusals: u32,
    unavailable_until: MonoTime,
}

impl OrderState {
    /// Brings the state up to date with the registry.
    pub(crate) fn observe(&mut self, count: KindCount, now: MonoTime) {
        self.baseline = self.baseline.max(count.present);
        self.serving = count.serving;
        if count.serving >= self.least() {
            self.complete_at = now;
            self.repeats = 0;
        }
    }

    /// Forgets orders, since another gateway gives them.
    ///
    /// Backend servers that are gone without draining were not given back, and count as ordered for a while, so
    /// that a new holder does not take a lost data centre for one that never had any.
    pub(crate) fn forget(&mut self, count: KindCount, now: MonoTime) {
        let is_lost = count.draining == 0
            && count.present < self.baseline
            && now.since(self.complete_at) < LOSS_RETENTION;
        let (baseline, complete_at) = if is_lost {
            (self.baseline, self.complete_at)
        } else {
            (count.present, now)
        };
        *self = Self {
            baseline,
            complete_at,
            serving: count.serving,
            ..Self::default()
        };
    }

    /// Returns whether the number that the provider has is known from an order.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed.is_some() && self.unconfirmed.is_none()
    }

    /// Returns the least number that the provider may have on order. It differs from the greatest one while the
    /// outcome of an order is not known.
    pub(crate) fn least(&self) -> u32 {
        let known = self.confirmed.unwrap_or(self.baseline);
        self.unconfirmed
            .map_or(known, |unconfirmed| unconfirmed.min(known))
    }

    /// Returns the greatest number that the provider may have on order.
    pub(crate) fn greatest(&self) -> u32 {
        let known = self.confirmed.unwrap_or(self.baseline);
        self.unconfirmed.unwrap_or(0).max(known)
    }

    /// Returns the number of an order that is to be sent again because its outcome is not known.
    pub(crate) fn unconfirmed(&self) -> Option<u32> {
        self.unconfirmed
    }

    /// Returns for how long backend servers have been missing that are not just starting; `None` if none are.
    pub(crate) fn missing_for(&self, startup: Span, now: MonoTime) -> Option<Span> {
        let started = self
            .raised_at
            .map_or(MonoTime(0), |raised| raised + startup + STARTUP_GRACE);
        let due = started.max(self.complete_at + LOSS_GRACE);
        (now > due && now > self.complete_at).then(|| now.since(due))
    }

    /// Returns whether an order that has had no effect is to be repeated.
    pub(crate) fn is_repeat_due(&self, startup: Span, now: MonoTime) -> bool {
        let pause = doubled(REPEAT_AFTER, self.repeats, MAX_REPEAT);
        let missing = self.missing_for(startup, now);
        missing.is_some_and(|missing| missing >= REPEAT_AFTER)
            && now.since(self.repeated_at) >= pause
    }

    /// Returns whether the provider has none available there.
    pub(crate) fn is_unavailable(&self, now: MonoTime) -> bool {
        now < self.unavailable_until
    }

    /// Returns whether an order may be sent now.
    pub(crate) fn may_send(&self, now: MonoTime) -> bool {
        now >= self.retry_at
    }

    /// Records what became of an order.
    pub(crate) fn on_outcome(&mut self, count: u32, outcome: OrderOutcome, now: MonoTime) {
        let is_repeat = self.confirmed == Some(count);
        if is_repeat {
            self.repeated_at = now;
            self.repeats = self.repeats.saturating_add(1);
        }
        match outcome {
            OrderOutcome::Accepted => self.on_accepted(count, now),
            OrderOutcome::Unavailable => {
                self.unavailable_until =
                    now + doubled(UNAVAILABLE_PAUSE, self.refusals, MAX_UNAVAILABLE);
                self.refusals = self.refusals.saturating_add(1);
                self.retry_at = self.unavailable_until;
            }
            OrderOutcome::Refused => self.on_failure(now),
            OrderOutcome::Unknown => {
                self.unconfirmed = Some(count);
                self.on_failure(now);
            }
        }
    }

    fn on_accepted(&mut self, count: u32, now: MonoTime) {
        if count > self.serving {
            self.raised_at = Some(now);
        }
        self.confirmed = Some(count);
        self.unconfirmed = None;
        self.failures = 0;
        self.refusals = 0;
        self.retry_at = now;
        self.unavailable_until = now;
    }

    fn on_failure(&mut self, now: MonoTime) {
        self.retry_at = now + doubled(FAILURE_PAUSE, self.failures, MAX_FAILURE_PAUSE);
        self.failures = self.failures.saturating_add(1);
    }
}

/// Returns a pause that was doubled a number of times, up to the longest one.
fn doubled(pause: Span, times: u32, longest: Span) -> Span {
    Span(pause.0 << times.min(MAX_DOUBLINGS)).min(longest)
}
