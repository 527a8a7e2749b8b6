//! The stages of a gateway's shutdown.
//!
//! First new requests are accepted, because callers still come until the platform has taken the gateway out of
//! rotation. A request that may run once is accepted only if its whole time limit is left; others may be sent again
//! elsewhere. Then new requests are refused. Shortly before the kill, requests in flight get their final answers, and
//! streams that have begun go on until the process exits (docs/PLATFORM.md, "Planned stops").

use std::cell::Cell;

use oleander_base::prelude::*;
use tokio::sync::Notify;

use crate::manifest::RepeatKind;

/// How long after the stop signal idle connections stay open.
const IDLE_CLOSE_AFTER: Span = Span::from_millis(1_800);

/// How long after the stop signal new requests are still accepted.
const ACCEPT_FOR: Span = Span::from_millis(2_800);

/// How long before the expected kill a stopping gateway exits by itself.
const EXIT_BEFORE_KILL: Span = Span::from_millis(500);

/// How long before the expected kill requests in flight get their final answers, so that these are written before the
/// process exits.
const ANSWER_BEFORE_KILL: Span = Span::from_millis(800);

/// The part of the grace time that each of these times takes at most, as a divisor.
const MAX_GRACE_SHARE: u64 = 4;

/// Tracks whether the gateway is stopping, and since when.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    stopping_since: Cell<Option<MonoTime>>,
    requests_end: Cell<bool>,
    end_notify: Notify,
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

    /// Returns whether any new request is accepted.
    pub(crate) fn accepts_requests(&self, now: MonoTime) -> bool {
        self.stopped_for(now) < ACCEPT_FOR
    }

    /// Returns whether a new request is accepted that may take as long as `time_limit`.
    pub(crate) fn accepts(
        &self,
        repeat: RepeatKind,
        time_limit: Span,
        grace: Span,
        now: MonoTime,
    ) -> bool {
        if !self.is_stopping() {
            return true;
        }
        let left = self.time_to_answers(grace, now);
        let has_time = match repeat {
            RepeatKind::Once | RepeatKind::OnceStream => time_limit <= left,
            RepeatKind::Idempotent | RepeatKind::ResumableStream => left > Span::ZERO,
        };
        has_time && self.accepts_requests(now)
    }

    /// Returns the time until requests in flight get their final answers.
    pub(crate) fn time_to_answers(&self, grace: Span, now: MonoTime) -> Span {
        before_kill(grace, ANSWER_BEFORE_KILL).saturating_sub(self.stopped_for(now))
    }

    /// Ends the requests in flight that have no part of an answer yet.
    pub(crate) fn end_requests(&self) {
        self.requests_end.set(true);
        self.end_notify.notify_waiters();
    }

    /// Returns whether requests in flight get their final answers now.
    pub(crate) fn ends_requests(&self) -> bool {
        self.requests_end.get()
    }

    /// Waits until requests in flight get their final answers.
    pub(crate) async fn wait_requests_end(&self) {
        while !self.ends_requests() {
            self.end_notify.notified().await;
        }
    }

    /// Returns whether idle connections of callers are closed.
    pub(crate) fn closes_idle_connections(&self, now: MonoTime) -> bool {
        self.stopped_for(now) >= IDLE_CLOSE_AFTER
    }

    /// Returns whether the gateway exits even if requests are still in flight.
    pub(crate) fn must_exit(&self, grace: Span, now: MonoTime) -> bool {
        self.is_stopping() && self.stopped_for(now) >= before_kill(grace, EXIT_BEFORE_KILL)
    }

    fn stopped_for(&self, now: MonoTime) -> Span {
        self.stopping_since
            .get()
            .map_or(Span::ZERO, |since| now.since(since))
    }
}

/// Returns the time from the stop signal until `span` before the kill.
fn before_kill(grace: Span, span: Span) -> Span {
    grace.saturating_sub(span.min(Span(grace.0 / MAX_GRACE_SHARE)))
}
