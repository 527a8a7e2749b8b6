//! What one service admitted and refused lately, by urgency.
//!
//! It answers two questions: whether a class, that is, the requests of one urgency, is served so much
//! less often than the others that it is due, and when a refused caller should come back.

use oleander_base::prelude::*;

use crate::service_traffic::{URGENCY_LEVELS, urgency_level};

/// The length of a counting window; the current and the last one count.
const WINDOW: Span = Span::from_secs(3);

/// A class is due if its served share is less than this multiple of the served share of all requests.
const MIN_RELATIVE_SHARE: f64 = 0.35;

/// By how much the served share of a less urgent class may exceed that of a more urgent one before the
/// more urgent one is due.
const MAX_INVERSION: f64 = 0.03;

/// The number of requests from which a class's share is judged.
const MIN_REQUESTS: u32 = 8;

/// The shortest time after which a refused caller is told to come back.
const MIN_RETURN: Span = Span::from_millis(400);

/// The largest share of its remaining time after which a refused caller is told to come back. With more,
/// too little time would be left to serve it, and callers do not come back at all after more than a third.
const MAX_RETURN_SHARE: f64 = 0.3;

#[derive(Debug, Clone, Copy, Default)]
struct ClassCount {
    admitted: u32,
    refused: u32,
}

impl ClassCount {
    fn total(self) -> u32 {
        self.admitted + self.refused
    }

    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.total().max(1))
    }
}

/// The admissions and refusals of one service.
#[derive(Debug, Default)]
pub struct RefusalRecord {
    current: [ClassCount; URGENCY_LEVELS],
    last: [ClassCount; URGENCY_LEVELS],
    since: MonoTime,
}

impl RefusalRecord {
    /// Counts an admission.
    pub fn admitted(&mut self, urgency: u8, now: MonoTime) {
        self.turn(now);
        self.current[urgency_level(urgency)].admitted += 1;
    }

    /// Counts a refusal, and returns after what time the caller should come back.
    ///
    /// `excess` is the time by which the queue is too long, so it will be short enough after that. A caller
    /// that comes back much later is late in any case, and takes the place of new requests.
    pub fn refused(&mut self, urgency: u8, excess: Span, time_left: Span, now: MonoTime) -> Span {
        self.turn(now);
        self.current[urgency_level(urgency)].refused += 1;
        let useful = Span((time_left.0 as f64 * MAX_RETURN_SHARE) as u64);
        excess.max(MIN_RETURN).min(useful)
    }

    /// Returns whether a class is served so much less often than others that it is due: its next request
    /// is then admitted unless it would miss its time limit in any case.
    pub fn is_due(&self, urgency: u8) -> bool {
        let counts = self.counts();
        let level = urgency_level(urgency);
        let own = counts[level];
        if own.total() < MIN_REQUESTS {
            return false;
        }
        let all = counts
            .iter()
            .fold(ClassCount::default(), |sum, count| ClassCount {
                admitted: sum.admitted + count.admitted,
                refused: sum.refused + count.refused,
            });
        let less_urgent = counts[level + 1..].iter();
        let judged = less_urgent.filter(|count| count.total() >= MIN_REQUESTS);
        let most = judged.map(|count| count.share()).fold(0.0, f64::max);
        own.share() < all.share() * MIN_RELATIVE_SHARE || own.share() + MAX_INVERSION < most
    }

    fn counts(&self) -> [ClassCount; URGENCY_LEVELS] {
        std::array::from_fn(|level| ClassCount {
            admitted: self.current[level].admitted + self.last[level].admitted,
            refused: self.current[level].refused + self.last[level].refused,
        })
    }

    fn turn(&mut self, now: MonoTime) {
        let age = now.since(self.since);
        if age < WINDOW {
            return;
        }
        let current = std::mem::take(&mut self.current);
        let is_adjacent = age < WINDOW + WINDOW;
        self.last = if is_adjacent {
            current
        } else {
            Default::default()
        };
        self.since = now;
    }
}
