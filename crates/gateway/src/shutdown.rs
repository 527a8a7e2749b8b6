//! The stages of a gateway's shutdown.

use std::cell::Cell;

use oleander_base::prelude::*;

/// How long after the stop signal idle connections stay open.
const IDLE_CLOSE_AFTER: Span = Span::from_millis(1_800);

/// How long after the stop signal new requests are still accepted.
const ACCEPT_FOR: Span = Span::from_millis(2_800);

/// How long before the expected kill a stopping gateway exits by itself.
const EXIT_BEFORE_KILL: Span = Span::from_millis(500);

/// Tracks whether the gateway is stopping, and since when.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    stopping_since: Cell<Option<MonoTime>>,
}

impl ShutdownState {
    /// Begins the shutdown; later calls have no effect.
    pub(crate) fn begin(&self, now: MonoTime) {
        if self.stopping_since.get().is_none() {
            self.stopping_since.set(Some(now));
        }
    }

    /// Returns whether the shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether a new request is accepted.
    pub(crate) fn accepts_requests(&self, now: MonoTime) -> bool {
        self.stopped_for(now) < ACCEPT_FOR
    }

    /// Returns whether idle connections of callers are closed.
    pub(crate) fn closes_idle_connections(&self, now: MonoTime) -> bool {
        self.stopped_for(now) >= IDLE_CLOSE_AFTER
    }

    /// Returns whether the gateway exits even if requests are still in flight.
    pub(crate) fn must_exit(&self, grace: Span, now: MonoTime) -> bool {
        self.is_stopping() && self.stopped_for(now) >= grace.saturating_sub(EXIT_BEFORE_KILL)
    }

    fn stopped_for(&self, now: MonoTime) -> Span {
        self.stopping_since
            .get()
            .map_or(Span::ZERO, |since| now.since(since))
    }
}
