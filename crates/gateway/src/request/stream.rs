//! Delivers streams event by event.

use std::time::Duration;

use oleander_balance::{LeaseEnd, ReachFailure, StreamSample};
use oleander_base::monotonic_now;
use tokio::time::timeout;

use super::attempt::{SendTarget, Step};
use super::outlet::RelayEvent;
use super::{MIN_SEND_TIME, RequestRun, RunResult};
use crate::core::SendGuard;
use crate::event_split::{EventBatch, EventSplitter, follows};
use crate::exchange::Exchange;
use crate::held_bytes::HeldBytes;
use crate::http::{
    AnswerHead, BodyFraming, BodyPiece, ByteBound, ConnError, push_chunk, push_last_chunk,
};
use crate::metrics::RequestEnd;
use crate::port::AnswerFraming;
use crate::prelude::*;

/// The header that names the form of a body; the parts of one stream have the same.
const CONTENT_TYPE: &str = "Content-Type";

/// How many latency targets a resumable stream may be silent before it is resumed elsewhere.
const STREAM_SILENCE_TARGETS: u64 = 2;

/// The shortest silence after which a resumable stream is resumed elsewhere.
const MIN_STREAM_SILENCE: Span = Span::from_millis(2_400);

/// Why a stream is broken off whose next event is not the one that follows.
const OUT_OF_ORDER: &str = "events out of order";

/// How one attempt's stream ended.
#[derive(Debug)]
pub(super) struct StreamEnd<'a> {
    pub(super) framing: BodyFraming,
    /// Why the stream is not complete, unless it is.
    pub(super) broken_by: Option<&'a str>,
    /// The number of complete events in this attempt.
    pub(super) events: usize,
    /// The number of bytes after the last complete event.
    pub(super) partial_bytes: usize,
}

/// What was received of one attempt's stream.
#[derive(Debug, Default)]
struct StreamState {
    splitter: EventSplitter,
    timing: StreamTiming,
}

impl StreamState {
    /// Adds bytes and returns the events that are now complete; what is left is held.
    fn push(
        &mut self,
        data: &[u8],
        held: &mut HeldBytes<'_>,
    ) -> Result<Option<EventBatch>, ByteBound> {
        let batch = self.splitter.push(data)?;
        held.grow_to(self.splitter.pending_len())?;
        Ok(batch)
    }

    /// Returns why a stream whose body ended as its framing says is not complete, unless it is.
    ///
    /// A broken stream without length or chunks ends with an orderly close like a complete one, so
    /// the framing alone does not decide. Only a stream that may have had its last event before may be empty.
    fn truncation(&self, framing: BodyFraming, may_be_empty: bool) -> Option<&'static str> {
        if self.splitter.is_inside_event() {
            return Some("the stream ended inside an event");
        }
        if framing == BodyFraming::UntilClose && self.timing.events == 0 && !may_be_empty {
            return Some("the stream ended before its first event");
        }
        None
    }

    fn end<'a>(&self, framing: BodyFraming, broken_by: Option<&'a str>) -> StreamEnd<'a> {
        StreamEnd {
            framing,
            broken_by,
            events: self.timing.events,
            partial_bytes: self.splitter.pending_len(),
        }
    }
}

/// The times and the number of the events received in one attempt of a stream.
#[derive(Debug, Default)]
pub(super) struct StreamTiming {
    pub(super) first: Option<MonoTime>,
    pub(super) last: MonoTime,
    pub(super) longest: Span,
    pub(super) events: usize,
}

impl StreamTiming {
    pub(super) fn record(&mut self, count: usize, now: MonoTime) {
        if self.first.is_some() {
            self.longest = self.longest.max(now.since(self.last));
        } else {
            self.first = Some(now);
        }
        self.last = now;
        self.events += count;
    }

    /// Returns the mean time between the last event and `count` events that are there now.
    fn gap(&self, count: usize, now: MonoTime) -> Option<Span> {
        self.first?;
        Some(Span(now.since(self.last).0 / count.max(1) as u64))
    }

    pub(super) fn sample(&self, sent_at: MonoTime) -> Option<StreamSample> {
        let first = self.first?;
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 2)? as u64;
        Some(StreamSample {
            mean_gap: Span(self.last.since(first).0 / gaps),
            longest_gap: self.longest,
            slot_time: self.last.since(sent_at),
        })
    }
}

impl RequestRun<'_> {
    /// Delivers the events of a stream as they arrive.
    pub(super) async fn relay_stream(
        &mut self,
        mut answer: Exchange,
        guard: &mut SendGuard,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        let mut state = StreamState::default();
        let mut held = HeldBytes::open(self.core);
        let may_be_empty = std::mem::take(&mut self.may_be_complete);
        self.open_outlet();
        self.record_doubtful_origin(target, &answer);
        loop {
            let limit = self.stream_timeout(target).min(self.time_left());
            let piece = match self.next_piece(limit, &mut answer).await {
                RelayEvent::Piece(piece) => piece,
                RelayEvent::Ended(end) => return Step::Done(self.end_outlet(end)),
                RelayEvent::TimedOut if self.time_left() < MIN_SEND_TIME => {
                    self.record_cut(&state.timing, target, sent_at);
                    self.last_problem = "the stream was not whole in time".to_owned();
                    return Step::GiveUp("the stream was not whole in time");
                }
                RelayEvent::TimedOut => Err(answer.on_silence()),
            };
            self.record_unframed_end(target, &answer);
            if state.timing.events > 0 {
                self.check_origin(target, &answer);
            }
            match piece {
                Ok(BodyPiece::Data(data)) => {
                    let batch = match state.push(&data, &mut held) {
                        Ok(Some(batch)) => batch,
                        Ok(None) => continue,
                        Err(bound) => {
                            let reason = self.broken_by(&ConnError::OverBound(bound));
                            return self.break_off(answer, &state, target, &reason, sent_at);
                        }
                    };
                    if self.is_out_of_order(&batch, state.timing.events == 0) {
                        return self.break_off(answer, &state, target, OUT_OF_ORDER, sent_at);
                    }
                    self.record_bytes(target, &answer);
                    if state.timing.events == 0
                        && let Err(reason) = self.bind_version(target, &answer)
                    {
                        return self.break_off(answer, &state, target, reason, sent_at);
                    }
                    if state.timing.first.is_none() {
                        self.record_wait(target, sent_at);
                    }
                    self.record_events(&batch, &mut state.timing, guard, target);
                    if let Err(result) = self.write_events(&answer.head, &batch.bytes).await {
                        return Step::Done(result);
                    }
                    if batch.is_cut {
                        return self.break_off(answer, &state, target, OUT_OF_ORDER, sent_at);
                    }
                }
                Ok(_) => {
                    return match state.truncation(answer.head.framing, may_be_empty) {
                        Some(reason) => {
                            self.record_broken(target, state.timing.events > 0, sent_at);
                            self.break_off(answer, &state, target, reason, sent_at)
                        }
                        None => {
                            guard.end_slot(LeaseEnd::Free);
                            if self.outlet.is_some() {
                                guard.end_send();
                            }
                            self.complete(answer, state, target, sent_at).await
                        }
                    };
                }
                Err(error) => {
                    let is_end =
                        matches!(error, ConnError::ProcessEnded | ConnError::UnconfirmedEnd);
                    self.may_be_complete = is_end && !state.splitter.is_inside_event();
                    match error {
                        ConnError::Closed | ConnError::Broken(_) | ConnError::ProcessEnded => {
                            self.record_out_of_reach(target, ReachFailure::Connection);
                            self.record_broken(target, state.timing.events > 0, sent_at);
                        }
                        ConnError::Silent | ConnError::UnconfirmedEnd => {
                            self.record_out_of_reach(target, ReachFailure::Silence);
                        }
                        ConnError::HeadTooLong
                        | ConnError::BlankLines
                        | ConnError::OverBound(_) => {}
                    }
                    let reason = self.broken_by(&error);
                    return self.break_off(answer, &state, target, &reason, sent_at);
                }
            }
        }
    }

    /// Ends a stream that was received completely.
    async fn complete(
        &mut self,
        answer: Exchange,
        mut state: StreamState,
        target: &SendTarget,
        sent_at: MonoTime,
    ) -> Step {
        self.record_stream_end(target, &state.end(answer.head.framing, None));
        self.record_latency(&state.timing, target, sent_at);
        self.record_size();
        self.record_complete();
        self.record_success(target);
        let rest = state.splitter.take_rest();
        let head = answer.head.clone();
        answer.finish(self.core);
        Step::Done(self.end_stream(&head, &rest).await)
    }

    /// Ends one attempt's broken stream without its incomplete event. The connection is closed.
    fn break_off(
        &mut self,
        answer: Exchange,
        state: &StreamState,
        target: &SendTarget,
        reason: &str,
        sent_at: MonoTime,
    ) -> Step {
        self.record_stream_end(target, &state.end(answer.head.framing, Some(reason)));
        drop(answer);
        self.record_failure(target, Verdict::Ran, reason, sent_at);
        self.handle_broken_stream("the backend server's stream broke")
    }

    /// Returns how long a stream may be silent before its attempt is given up. Another gateway gives up
    /// its own attempt first.
    pub(super) fn stream_timeout(&self, target: &SendTarget) -> Span {
        let route = &self.job.routed.route;
        if route.repeat != RepeatKind::ResumableStream || !self.may_run_again() {
            return self.time_left();
        }
        match target.key {
            Some(_) => self.stream_silence(),
            None => Span(2 * self.stream_silence().0),
        }
    }

    /// Returns the silence after which a resumable stream is taken to be lost.
    pub(super) fn stream_silence(&self) -> Span {
        let target = self.job.routed.route.latency_target;
        Span(target.0.saturating_mul(STREAM_SILENCE_TARGETS)).max(MIN_STREAM_SILENCE)
    }

    /// Returns whether events do not follow those before; `is_first` tells that they are the first of an attempt.
    pub(super) fn is_out_of_order(&self, batch: &EventBatch, is_first: bool) -> bool {
        match (self.last_event, batch.first_id) {
            (Some(last), Some(first)) => !follows(last, first),
            // A stream with ids goes on with an event that has one.
            (Some(_), None) => is_first && batch.count > 0,
            _ => false,
        }
    }

    /// Returns whether an answer may go on in the stream that the caller has received a part of.
    pub(super) fn is_continuation(&self, head: &AnswerHead) -> bool {
        let is_same_type = head.headers.text(CONTENT_TYPE) == self.stream_type.as_deref();
        !self.is_head_sent || ((200..300).contains(&head.status) && is_same_type)
    }

    pub(super) fn record_events(
        &mut self,
        batch: &EventBatch,
        timing: &mut StreamTiming,
        guard: &mut SendGuard,
        target: &SendTarget,
    ) {
        let now = monotonic_now();
        if timing.first.is_none() {
            guard.mark_prompt_read();
            self.record_begun();
            self.count_stream(target);
            let parts = &self.job.facts.parts;
            self.with_target(target, |state| {
                for part in parts {
                    state.parts.touch(part.id, now);
                }
            });
            if self.events == 0 {
                let took = now.since(self.job.started);
                self.first_after = Some(took);
                self.core
                    .metrics
                    .record_first_bytes(&self.job.routed.service, took);
            }
        }
        if let Some(gap) = timing.gap(batch.count, now) {
            self.record_gap(gap, target);
        }
        timing.record(batch.count, now);
        self.longest_gap = self.longest_gap.max(timing.longest);
        self.events += batch.count;
        if batch.count > 0 {
            self.has_resume_point = batch.ends_with_id;
        }
        self.last_event = batch.last_id.or(self.last_event);
    }

    pub(super) async fn write_events(
        &mut self,
        head: &AnswerHead,
        bytes: &[u8],
    ) -> Result<(), RunResult> {
        let mut out = Vec::with_capacity(512 + bytes.len());
        self.push_stream_head(head, &mut out);
        push_chunk(&mut out, bytes);
        self.write_out(&out).await
    }

    pub(super) fn push_stream_head(&mut self, head: &AnswerHead, out: &mut Vec<u8>) {
        if self.is_head_sent {
            return;
        }
        self.is_head_sent = true;
        self.stream_type = head.headers.text(CONTENT_TYPE).map(Box::from);
        self.closes |= self.core.shutdown.is_stopping();
        let framing = AnswerFraming {
            length: None,
            closes: self.closes,
        };
        self.core.port.encode_answer(head, framing, out);
    }

    pub(super) async fn write_out(&mut self, out: &[u8]) -> Result<(), RunResult> {
        if self.push_outlet(out) {
            return Ok(());
        }
        let write = self.caller.write_all(out);
        match timeout(Duration::from(self.deadline.since(monotonic_now())), write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(self.caller_left()),
            Err(_) => {
                self.last_problem = "the caller did not take the stream in time".to_owned();
                Err(RunResult {
                    end: RequestEnd::Cut,
                    keeps_alive: false,
                })
            }
        }
    }

    pub(super) async fn end_stream(&mut self, head: &AnswerHead, rest: &[u8]) -> RunResult {
        let mut out = Vec::with_capacity(256 + rest.len());
        self.push_stream_head(head, &mut out);
        push_chunk(&mut out, rest);
        push_last_chunk(&mut out);
        let written = match self.write_out(&out).await {
            Ok(()) => self.drain_outlet().await,
            Err(result) => Err(result),
        };
        match written {
            Ok(()) => RunResult {
                end: RequestEnd::Answered,
                keeps_alive: !self.closes,
            },
            Err(result) => result,
        }
    }

    pub(super) fn handle_broken_stream(&mut self, reason: &'static str) -> Step {
        self.last_problem = reason.to_owned();
        self.after_failed_run(reason)
    }
}
