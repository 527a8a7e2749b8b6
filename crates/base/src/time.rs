//! Monotonic time as integers in microseconds.
//!
//! Decision code takes the time as an argument. [`MonoTime`] counts microseconds on the monotonic
//! clock of one process and is never sent to another process; messages carry a [`Span`] (an age
//! or a remaining time), which needs no common clock.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on this process's monotonic clock, in microseconds since [`crate::process_origin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct MonoTime(pub u64);

/// A duration in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl MonoTime {
    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Self = Self(0);

    /// Returns a span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds as a float.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the span in seconds as a float.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000_000.0
    }

    /// Returns the span less `used`, or zero if `used` is longer.
    pub fn saturating_sub(self, used: Self) -> Self {
        Self(self.0.saturating_sub(used.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl Add<Span> for MonoTime {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub<Span> for MonoTime {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}ms", self.as_millis_f64())
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t+{:.3}ms", self.0 as f64 / 1_000.0)
    }
}
