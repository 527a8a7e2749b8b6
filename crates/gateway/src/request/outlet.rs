//! Holds what a slow caller has not taken of its stream, so that its engine need not wait for it.
//!
//! This is for services whose engines have scarce memory. An engine whose answer is not read keeps the memory of that
//! request occupied, and cuts the answer off after some seconds. The stream is read up to a bound for each caller. When
//! the bound for all callers is reached, one stream is given up at a time (`oleander_balance::first_given_up`,
//! docs/design/engine-memory.md).

use std::time::Duration;

use bytes::{Buf, BytesMut};
use oleander_balance::HeldStream;
use oleander_base::monotonic_now;
use tokio::time::{sleep, timeout};

use super::wait::WaitOutcome;
use super::{RequestRun, RunResult};
use crate::exchange::Exchange;
use crate::http::{BodyPiece, ConnError, HttpConn};
use crate::memory::guarded_capacity;
use crate::metrics::RequestEnd;
use crate::prelude::*;
use crate::read_ahead::ReadAhead;

/// What is held for one caller before its engine is not read any further, in bytes. Answers of engines are far
/// shorter.
const MAX_CALLER_BYTES: usize = 1024 * 1024;

/// The size of the kernel's send buffer for a stream, in bytes. Without a limit the kernel would hold megabytes that no
/// bound of this process counts.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// How long a caller may take nothing before its stream is given up. On a link with segments of 64 KiB the kernel of a
/// caller that reads a kilobyte a second accepts more bytes only every 64 s.
const STALL_LIMIT: Span = Span::from_secs(90);

/// What a caller has not taken of its stream yet.
#[derive(Debug)]
pub(super) struct CallerOutlet<'a> {
    pending: BytesMut,
    share: ReadAhead<'a>,
    stream: HeldStream,
}

impl CallerOutlet<'_> {
    fn len(&self) -> usize {
        self.pending.len()
    }

    fn push(&mut self, bytes: &[u8]) {
        if self.pending.is_empty() {
            self.stream.progress_at = monotonic_now();
        }
        self.pending.extend_from_slice(bytes);
        self.note();
    }

    fn take(&mut self, count: usize) {
        self.pending.advance(count);
        self.stream.taken += count as u64;
        self.stream.progress_at = monotonic_now();
        self.note();
    }

    fn note(&mut self) {
        self.stream.held = self.pending.len();
        self.share.note(self.stream);
    }

    /// Writes to the caller until it has taken something; returns why its stream ends, if it does.
    async fn write_some(&mut self, caller: &HttpConn) -> Result<(), OutletEnd> {
        let left = STALL_LIMIT.saturating_sub(monotonic_now().since(self.stream.progress_at));
        let wrote = tokio::select! {
            biased;
            () = self.share.given_up() => return Err(OutletEnd::GivenUp),
            wrote = timeout(Duration::from(left), caller.write_some_message(&self.pending, &[], 0)) => wrote,
        };
        match wrote {
            Ok(Ok(count)) if count > 0 => {
                self.take(count);
                Ok(())
            }
            Ok(_) => Err(OutletEnd::CallerLeft),
            Err(_) => Err(OutletEnd::Stalled),
        }
    }
}

/// Why a stream ends before the caller has taken it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OutletEnd {
    /// The caller disconnected.
    CallerLeft,
    /// The caller took nothing for too long.
    Stalled,
    /// The memory for all streams ran out.
    GivenUp,
}

/// What happened first while a stream was read and written.
pub(super) enum RelayEvent {
    Piece(Result<BodyPiece, ConnError>),
    TimedOut,
    Ended(OutletEnd),
}

impl RequestRun<'_> {
    /// Begins to read ahead for the caller, if the service calls for it.
    pub(super) fn open_outlet(&mut self) {
        let service = &self.job.routed.service;
        if self.outlet.is_some() || guarded_capacity(self.core, service).is_none() {
            return;
        }
        // If these calls fail, the kernel holds more bytes or gives the caller up earlier; the stream still works.
        let _ = self.caller.bound_send_buffer(SEND_BUFFER_BYTES);
        let _ = self.caller.raise_user_timeout(STALL_LIMIT);
        let now = monotonic_now();
        self.outlet = Some(CallerOutlet {
            pending: BytesMut::new(),
            share: ReadAhead::open(self.core),
            stream: HeldStream {
                held: 0,
                taken: 0,
                begun_at: now,
                progress_at: now,
            },
        });
    }

    /// Waits for the next piece of an answer, and writes meanwhile what the caller has not taken.
    pub(super) async fn next_piece(&mut self, limit: Span, answer: &mut Exchange) -> RelayEvent {
        let mut until = monotonic_now() + limit;
        loop {
            let left = until.since(monotonic_now());
            let Some(outlet) = self.outlet.as_mut().filter(|outlet| outlet.len() > 0) else {
                let next = answer.next();
                return match self.wait_or_stop(left, next).await {
                    WaitOutcome::Completed(piece) => RelayEvent::Piece(piece),
                    WaitOutcome::CallerLeft => RelayEvent::Ended(OutletEnd::CallerLeft),
                    WaitOutcome::TimedOut => RelayEvent::TimedOut,
                };
            };
            let may_read = outlet.len() < MAX_CALLER_BYTES;
            if !may_read {
                // While the gateway does not read, the backend server cannot make progress, so its time limit waits.
                until = monotonic_now() + limit;
            }
            tokio::select! {
                biased;
                wrote = outlet.write_some(self.caller) => if let Err(end) = wrote {
                    return RelayEvent::Ended(end);
                },
                piece = answer.next(), if may_read => return RelayEvent::Piece(piece),
                () = sleep(Duration::from(left)), if may_read => return RelayEvent::TimedOut,
            }
        }
    }

    /// Hands bytes to the outlet, if there is one; returns whether there is.
    pub(super) fn push_outlet(&mut self, bytes: &[u8]) -> bool {
        match &mut self.outlet {
            Some(outlet) => {
                outlet.push(bytes);
                true
            }
            None => false,
        }
    }

    /// Writes what is held for the caller, however long it takes while the caller makes progress: its backend server
    /// has done the work.
    pub(super) async fn drain_outlet(&mut self) -> Result<(), RunResult> {
        while let Some(outlet) = self.outlet.as_mut().filter(|outlet| outlet.len() > 0) {
            if let Err(end) = outlet.write_some(self.caller).await {
                return Err(self.end_outlet(end));
            }
        }
        Ok(())
    }

    /// Ends a stream that the caller does not take.
    pub(super) fn end_outlet(&mut self, end: OutletEnd) -> RunResult {
        let reason = match end {
            OutletEnd::CallerLeft => return self.caller_left(),
            OutletEnd::Stalled => "the caller took nothing for too long",
            OutletEnd::GivenUp => "the caller was too slow for the memory that is left",
        };
        self.last_problem = reason.to_owned();
        if let Some(stream) = self.outlet.as_ref().map(|outlet| outlet.stream) {
            self.log_given_up(&stream, reason);
        }
        RunResult {
            end: RequestEnd::Cut,
            keeps_alive: false,
        }
    }
}
