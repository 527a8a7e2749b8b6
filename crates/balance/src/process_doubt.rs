//! Doubt whether the process that a registry entry describes still runs.
//!
//! A backend server may start again under its id, at its address and with other software, before its entry says so.
//! Streams are bound to the software version that an entry names. So from a sign that the process has ended, the entry
//! does not count for them until the registry has outlasted the sign, or the process itself has: the connections of a
//! process end with it, so bytes on one that is older than the sign show that it still runs. For the same reason one broken
//! connection is no sign, and two that break together are.

use oleander_base::prelude::*;

/// How far apart the ends of one process's connections may be seen.
const CLOSE_SPREAD: Span = Span::from_millis(20);

/// The last sign that a backend server's process has ended, unless it was disproved.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProcessDoubt {
    raised_at: Option<MonoTime>,
    /// When a connection to it last broke.
    broken_at: Option<MonoTime>,
}

impl ProcessDoubt {
    /// Notes a sign that the process has ended.
    pub(crate) fn raise(&mut self, now: MonoTime) {
        self.raised_at = self.raised_at.max(Some(now));
    }

    /// Notes that a connection to the process broke.
    pub(crate) fn on_break(&mut self, now: MonoTime) {
        let last = self.broken_at.replace(now);
        if last.is_some_and(|last| now.since(last) < CLOSE_SPREAD) {
            self.raise(now);
        }
    }

    /// Notes that bytes arrived on a connection that was made at `connected_at`.
    pub(crate) fn on_bytes(&mut self, connected_at: MonoTime, arrived_at: MonoTime) {
        self.raised_at
            .take_if(|raised| connected_at < *raised && *raised < arrived_at);
    }

    /// Notes that the entry is of a process that still ran at a time.
    pub(crate) fn on_entry(&mut self, ran_at: MonoTime) {
        self.raised_at.take_if(|raised| *raised < ran_at);
    }

    /// Returns whether a connection may lead to another process than the entry's, because it was made after a sign.
    pub(crate) fn covers(&self, connected_at: MonoTime) -> bool {
        self.raised_at.is_some_and(|raised| raised <= connected_at)
    }

    /// Returns whether the process may have ended.
    pub(crate) fn is_raised(&self) -> bool {
        self.raised_at.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SIGN: MonoTime = MonoTime(1_000);
    const BEFORE: MonoTime = MonoTime(900);
    const AFTER: MonoTime = MonoTime(1_100);

    fn raised() -> ProcessDoubt {
        let mut doubt = ProcessDoubt::default();
        doubt.raise(SIGN);
        doubt
    }

    #[test]
    fn only_bytes_after_the_sign_on_a_connection_before_it_disprove_it() {
        for (connected_at, arrived_at, stands) in [
            (BEFORE, AFTER, false),
            (BEFORE, BEFORE, true),
            (AFTER, AFTER, true),
        ] {
            let mut doubt = raised();
            doubt.on_bytes(connected_at, arrived_at);
            assert_eq!(doubt.is_raised(), stands, "{connected_at:?} {arrived_at:?}");
        }
    }

    #[test]
    fn two_connections_that_break_together_are_a_sign() {
        let mut doubt = ProcessDoubt::default();
        doubt.on_break(SIGN);
        doubt.on_break(SIGN + CLOSE_SPREAD);
        assert!(!doubt.is_raised());
        doubt.on_break(SIGN + CLOSE_SPREAD);
        assert!(doubt.is_raised());
    }

    #[test]
    fn a_connection_before_the_sign_leads_to_the_process_of_the_entry() {
        let doubt = raised();
        assert!(!doubt.covers(BEFORE));
        assert!(doubt.covers(SIGN) && doubt.covers(AFTER));
        assert!(!ProcessDoubt::default().covers(AFTER));
    }

    #[test]
    fn an_entry_that_outlasts_the_last_sign_disproves_it() {
        let mut doubt = raised();
        doubt.on_entry(BEFORE);
        assert!(doubt.is_raised());
        doubt.raise(AFTER);
        doubt.raise(SIGN);
        doubt.on_entry(MonoTime(1_050));
        assert!(doubt.is_raised(), "the later sign stands");
        doubt.on_entry(MonoTime(1_200));
        assert!(!doubt.is_raised());
    }
}
