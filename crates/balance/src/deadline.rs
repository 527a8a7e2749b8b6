//! Admission by deadline, at a service whose backend servers report their pace.
//!
//! A request that cannot end in time takes capacity from those that can, so in an overload it is
//! refused at once, before a backend server works on it. Sizes of answers are guesses, so what
//! counts is the probability that the request ends in time: the scarcer the capacity, the higher the
//! probability that is required. With a queue, a request of the least urgent kind is admitted only if
//! its first event is expected within the target, so that queues stay short and an overload ends
//! with its cause. More urgent requests overtake the queues, so this does not hold for them. While half
//! of the slots are free and nothing waits, every request is admitted.

use oleander_base::prelude::*;

/// The utilisation up to which every request is admitted that does not wait in a queue.
const FREE_UTILISATION: f64 = 0.5;

/// The probability of an end in time that is required when all slots are in use. An answer that is
/// cut at its time limit is worth nothing, but low estimates of the probability are often wrong, so that
/// less than one half is required.
const FULL_MIN_CHANCE: f64 = 0.4;

/// The probability below which a request is taken to miss its deadline in any case.
const SURE_MISS_CHANCE: f64 = 0.05;

/// The longest expected wait at which a new request of the least urgent kind is admitted to a
/// queue, as a multiple of its target.
const NEW_WAIT_TARGETS: f64 = 1.0;

/// The same for a request that comes back after a refusal. It is larger, so that a retry is not
/// worse off than a new request, and not by much, as queues would grow with every refusal.
const RETRY_WAIT_TARGETS: f64 = 1.2;

/// A request is taken to be a retry if its remaining time is less than this share of the route's
/// time.
const RETRY_TIME_SHARE: f64 = 0.9;

/// The inputs of a decision.
#[derive(Debug, Clone, Copy)]
pub struct DeadlineQuery {
    /// The expected wait for the first event.
    pub first_wait: Span,
    /// The latency target of the first event.
    pub first_target: Span,
    /// The remaining time that the caller allows.
    pub time_left: Span,
    /// The longest time that the route allows.
    pub route_time: Span,
    /// The probability that the request ends in time, if it can be told.
    pub chance: Option<f64>,
    /// The share of the slots in use at backend servers that take requests; over 1 with queues.
    pub utilisation: f64,
    /// Whether requests are queued at the chosen backend server.
    pub has_queue: bool,
    /// Whether the request is of the least urgent kind in the service's traffic.
    pub is_least_urgent: bool,
    /// Whether requests of its urgency are served so much less often than others that this one is due
    /// (`refusal_record.rs`).
    pub is_due: bool,
    /// Whether the request was sent before. It is then given up only if it surely ends too late.
    pub was_sent: bool,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineRefusal {
    /// It is not likely enough to end in time.
    EndsTooLate,
    /// Its first event would come this much later than is allowed for one that is queued.
    WaitsTooLong(Span),
}

impl DeadlineRefusal {
    /// Returns the reason as text for the caller and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EndsTooLate => "it would not end in time",
            Self::WaitsTooLong(_) => "the queues are too long",
        }
    }

    /// Returns the time by which the queues are too long; zero if they are not the reason.
    pub fn excess(self) -> Span {
        match self {
            Self::EndsTooLate => Span::ZERO,
            Self::WaitsTooLong(excess) => excess,
        }
    }
}

/// Decides whether a request is sent.
pub fn admit_by_deadline(query: &DeadlineQuery) -> Result<(), DeadlineRefusal> {
    let has_queue = query.has_queue || query.utilisation >= 1.0;
    if !has_queue && query.utilisation <= FREE_UTILISATION {
        return Ok(());
    }
    if query
        .chance
        .is_some_and(|chance| chance < min_chance(query))
    {
        return Err(DeadlineRefusal::EndsTooLate);
    }
    if query.was_sent || query.is_due || !query.is_least_urgent || !has_queue {
        return Ok(());
    }
    let is_retry = query.time_left < scale(query.route_time, RETRY_TIME_SHARE);
    let targets = if is_retry {
        RETRY_WAIT_TARGETS
    } else {
        NEW_WAIT_TARGETS
    };
    let longest = scale(query.first_target, targets);
    if query.first_wait <= longest {
        return Ok(());
    }
    let excess = query.first_wait.saturating_sub(longest);
    Err(DeadlineRefusal::WaitsTooLong(excess))
}

/// Returns the probability of an end in time that a request needs.
fn min_chance(query: &DeadlineQuery) -> f64 {
    if query.was_sent || query.is_due {
        return SURE_MISS_CHANCE;
    }
    let scarcity = (query.utilisation - FREE_UTILISATION) / (1.0 - FREE_UTILISATION);
    (FULL_MIN_CHANCE * scarcity.clamp(0.0, 1.0)).max(SURE_MISS_CHANCE)
}

fn scale(span: Span, factor: f64) -> Span {
    Span((span.0 as f64 * factor) as u64)
}
