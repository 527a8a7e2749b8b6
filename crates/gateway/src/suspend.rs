//! Detects that this machine was suspended.

use std::cell::Cell;

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_platform::boot_time;

/// The shortest suspension that is reported.
const MIN_SUSPEND: Span = Span::from_millis(250);

/// Compares the clock that stops during a suspension with the one that keeps running.
#[derive(Debug)]
pub(crate) struct SuspendDetector {
    offset: Cell<u64>,
}

impl SuspendDetector {
    /// Opens a detector that reports suspensions from now on.
    pub(crate) fn open() -> Self {
        Self {
            offset: Cell::new(clock_offset()),
        }
    }

    /// Returns how long the machine was suspended since the last report, if it was.
    pub(crate) fn detect(&self) -> Option<Span> {
        let now = clock_offset();
        let suspended = Span(now.saturating_sub(self.offset.get()));
        if suspended < MIN_SUSPEND {
            return None;
        }
        self.offset.set(now);
        Some(suspended)
    }
}

fn clock_offset() -> u64 {
    boot_time().0.saturating_sub(monotonic_now().0)
}
