//! The latest crashes of backend servers, whatever requests they had.
//!
//! A loss of power or a bad release ends many backend servers within a moment. Some requests, or parts of
//! prompts, were at three of them by chance, but at few of all that crashed. What is at fault was at
//! most of those that crashed, even beside several others that are at fault as well.

use std::collections::VecDeque;

use oleander_base::prelude::*;

use crate::suspect_crashes::SuspectCrash;

/// The number of crashes that are remembered.
const MAX_LOGGED: usize = 256;

/// The longest time in which crashes may be one of many backend servers at once.
const MASS_CRASH_TIME: Span = Span::from_secs(2);

/// How much earlier or later than the crashes of a suspect others may be that belong to the same cause.
const MASS_CRASH_MARGIN: Span = Span::from_millis(500);

/// How many times as many backend servers as had the suspect must have crashed. It is more than the number of
/// suspects that may be at fault at the same time.
const MASS_CRASH_FACTOR: usize = 6;

/// The latest crashes, in the order in which they became known.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<SuspectCrash>,
}

impl CrashLog {
    /// Adds a crash, unless it is known.
    pub(crate) fn add(&mut self, crash: SuspectCrash) {
        let is_known = |known: &SuspectCrash| known.backend == crash.backend;
        if self.crashes.iter().any(is_known) {
            return;
        }
        self.crashes.push_back(crash);
        if self.crashes.len() > MAX_LOGGED {
            self.crashes.pop_front();
        }
    }

    /// Returns whether the crashes of a suspect, oldest first, belong to one of so many backend servers that
    /// the suspect does not explain it.
    pub(crate) fn has_mass_crash(&self, crashes: &[SuspectCrash]) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return false;
        };
        if last.is_apart_from(first.at, MASS_CRASH_TIME) {
            return false;
        }
        let is_near = |crash: &&SuspectCrash| {
            !first.is_apart_from(crash.at, MASS_CRASH_MARGIN)
                && !crash.is_apart_from(last.at, MASS_CRASH_MARGIN)
        };
        self.crashes.iter().filter(is_near).count() >= MASS_CRASH_FACTOR * crashes.len()
    }
}
