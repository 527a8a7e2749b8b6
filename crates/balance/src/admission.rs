//! Admission control: a request is admitted, or refused with a time after which to retry.
//!
//! During an overload of seconds, queues at all backend servers would make every request late, even
//! those for which there is capacity. A new request of the least urgent kind that would wait far
//! beyond its target is therefore refused at once, before it waits anywhere, with the time after
//! which capacity is expected. A retry has waited already and takes precedence over new requests:
//! it is admitted while it can still be answered in time. More urgent requests overtake the queue
//! and are always admitted.

use oleander_base::prelude::*;

/// The longest expected wait at which a new request is admitted, as a multiple of its target.
const FIRST_TRY_TARGETS: f64 = 1.25;

/// The longest expected wait at which a retry is admitted, as a share of its remaining time.
const RETRY_WAIT_SHARE: f64 = 0.6;

/// A request is taken to be a retry if its remaining time is less than this share of the route's
/// time.
const RETRY_TIME_SHARE: f64 = 0.9;

/// The shortest time after which a caller is told to retry.
const MIN_RETRY_AFTER: Span = Span::from_millis(500);

/// The longest time after which a caller is told to retry.
const MAX_RETRY_AFTER: Span = Span::from_millis(3_500);

/// The inputs of an admission decision.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery {
    /// The expected wait for the first event.
    pub first_wait: Span,
    /// The latency target of the first event.
    pub first_target: Span,
    /// The remaining time that the caller allows.
    pub time_left: Span,
    /// The longest time that the route allows.
    pub route_time: Span,
    /// Whether the request is of the least urgent kind in the service's traffic.
    pub is_least_urgent: bool,
    /// Whether requests are queued at the chosen backend server.
    pub has_queue: bool,
}

/// The outcome of an admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admit,
    /// The request is refused, and should be retried after this time.
    RetryAfter(Span),
}

/// Decides whether a request is admitted.
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
