//! Whether a request is taken or told to come back later.
//!
//! In an overload of seconds a queue at every backend server makes all requests late, also those that
//! there would be room for. So a new request of the least urgent kind that would wait far beyond its
//! target is told so at once, before it waits anywhere, with the time after which its turn is
//! expected. One that has come back has waited already and goes before new ones: it is taken while
//! it can still be answered. More urgent requests pass by the queue and are always taken.

use oleander_base::prelude::*;

/// Targets that a new request may be expected to wait.
const FIRST_TRY_TARGETS: f64 = 1.25;

/// The share of its time that a request that came back may be expected to wait.
const RETRY_WAIT_SHARE: f64 = 0.6;

/// The share of a route's time below which a caller's time shows that it has come back.
const RETRY_TIME_SHARE: f64 = 0.9;

/// The shortest time to come back.
const MIN_RETRY_AFTER: Span = Span::from_millis(500);

/// The longest time to come back.
const MAX_RETRY_AFTER: Span = Span::from_millis(3_500);

/// What the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery {
    /// How long the first event is expected to take.
    pub first_wait: Span,
    /// The time within which the first event is on time.
    pub first_target: Span,
    /// The time that the caller allows.
    pub time_left: Span,
    /// The longest time that the route allows.
    pub route_time: Span,
    /// Whether no other kind of request is less urgent.
    pub is_least_urgent: bool,
    /// Whether requests wait at the chosen backend server.
    pub has_queue: bool,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is sent.
    Admit,
    /// The request is refused, and its turn is expected after this time.
    RetryAfter(Span),
}

/// Decides whether a request is taken.
pub fn admit(query: &AdmissionQuery) -> Admission {
    if !query.is_least_urgent || !query.has_queue {
        return Admission::Admit;
    }
    let is_retry = query.time_left < scale(query.route_time, RETRY_TIME_SHARE);
    let max_wait = if is_retry {
        scale(query.time_left, RETRY_WAIT_SHARE)
    } else {
        scale(query.first_target, FIRST_TRY_TARGETS)
    };
    if query.first_wait <= max_wait {
        return Admission::Admit;
    }
    let delay = query.first_wait.saturating_sub(query.first_target);
    Admission::RetryAfter(delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}

fn scale(span: Span, factor: f64) -> Span {
    Span((span.0 as f64 * factor) as u64)
}
