//! Points in time that may be before the start of this process.

use std::fmt;

use oleander_base::prelude::*;

/// A signed point on this process's monotonic clock, in microseconds.
///
/// A ticket from another dispatcher may have arrived before this process started, which
/// [`MonoTime`] cannot represent. Clamping at zero would lose the order of such tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueTime(i64);

impl QueueTime {
    /// Returns the point `age` before `now`.
    pub(crate) fn before(now: MonoTime, age: Span) -> Self {
        Self(signed(now.0).saturating_sub(signed(age.0)))
    }

    /// Returns the point `span` later.
    pub(crate) fn plus(self, span: Span) -> Self {
        Self(self.0.saturating_add(signed(span.0)))
    }

    /// Returns the time from `now` to this point, or zero if it has passed.
    pub(crate) fn after(self, now: MonoTime) -> Span {
        Span(u64::try_from(self.0.saturating_sub(signed(now.0))).unwrap_or(0))
    }
}

impl From<MonoTime> for QueueTime {
    fn from(now: MonoTime) -> Self {
        Self(signed(now.0))
    }
}

impl fmt::Display for QueueTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{:+.3}ms", self.0 as f64 / 1_000.0)
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
