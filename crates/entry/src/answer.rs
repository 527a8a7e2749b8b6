//! Buffers answers in progress, so that a caller gets each event once and in order.
//!
//! One writer (the request's driver) appends events; any number of readers follow, each at its own
//! position. A reader that reconnects with the number of the last event that it has seen continues
//! after that event. Events are numbered from 1 without gaps, also when an answer is resumed at
//! another engine.
//!
//! Invariants: events are never changed or renumbered; only the oldest are dropped, and only those
//! that every present reader has passed; a reader sees the end of a whole answer only if the answer
//! ended with [`AnswerEnd::Whole`].

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use futures_util::Stream;
use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_caller::CallerError;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Limit on the buffered bytes of one answer; above it the writer waits for readers.
const RETAINED_BYTES_LIMIT: usize = 1024 * 1024;
/// Number of shards of the cache, each under its own lock.
const SHARD_COUNT: usize = 16;

/// The end of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEnd {
    /// The answer is complete.
    Whole,
    /// The request failed; the events so far are not the whole answer.
    Failed(CallerError),
}

/// One event of a streamed answer, or the body of one that is not streamed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The event's number, counted from 1.
    pub number: u64,
    /// The number of tokens generated up to and including this event.
    pub tokens: u32,
    /// The event's data.
    pub data: Bytes,
}

#[derive(Debug, Default)]
struct AnswerState {
    events: VecDeque<AnswerEvent>,
    /// The number of the first buffered event.
    first: u64,
    kept_bytes: usize,
    end: Option<AnswerEnd>,
    ended: Option<MonoTime>,
    readers: Vec<ReaderPosition>,
    reader_serial: u64,
    unread_since: Option<MonoTime>,
    writer: Option<Waker>,
}

#[derive(Debug)]
struct ReaderPosition {
    serial: u64,
    next: u64,
    waker: Option<Waker>,
}

/// The buffer of an answer that is in progress or ended recently.
#[derive(Debug)]
pub struct AnswerBuffer {
    /// The customer that may read it.
    pub customer: CustomerId,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The time for which the request continues after its last reader disconnected. An answer that
    /// has ended is kept for at least this time.
    pub retention: Span,
    state: Mutex<AnswerState>,
    abandoned: Notify,
}

/// The error of a reader that asks for events which the buffer does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventsDropped;

impl AnswerBuffer {
    /// Creates the buffer of a new request whose caller has `events_before` events already.
    pub fn new(
        customer: CustomerId,
        stream: bool,
        retention: Span,
        events_before: u64,
    ) -> Arc<Self> {
        let state = AnswerState {
            first: events_before + 1,
            ..AnswerState::default()
        };
        let state = Mutex::new(state);
        Arc::new(Self {
            customer,
            stream,
            retention,
            state,
            abandoned: Notify::new(),
        })
    }

    /// Appends an event and wakes the readers.
    pub fn push(&self, data: Bytes, tokens: u32) {
        let mut state = self.state.lock();
        let number = state.next_number();
        state.kept_bytes += data.len();
        state.events.push_back(AnswerEvent {
            number,
            tokens,
            data,
        });
        state.wake_readers();
    }

    /// Ends the answer and wakes the readers.
    pub fn finish(&self, end: AnswerEnd, now: MonoTime) {
        let mut state = self.state.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended = Some(now);
        }
        state.wake_readers();
    }

    /// Waits until the buffer is below its limit, so that a slow reader slows only its own engine.
    pub fn writable(self: &Arc<Self>) -> WritableFuture {
        WritableFuture {
            buffer: Arc::clone(self),
        }
    }

    /// Returns the number of events so far and the tokens in them.
    pub fn progress(&self) -> (u64, u32) {
        let state = self.state.lock();
        let tokens = state.events.back().map_or(0, |event| event.tokens);
        (state.next_number() - 1, tokens)
    }

    /// Returns how the answer ended, if it did.
    pub fn end(&self) -> Option<AnswerEnd> {
        self.state.lock().end.clone()
    }

    /// Adds a reader that starts after the event numbered `after`.
    pub fn reader(self: &Arc<Self>, after: u64) -> Result<AnswerReader, EventsDropped> {
        let mut state = self.state.lock();
        if after + 1 < state.first || after + 1 > state.next_number() {
            return Err(EventsDropped);
        }
        state.reader_serial += 1;
        let serial = state.reader_serial;
        state.readers.push(ReaderPosition {
            serial,
            next: after + 1,
            waker: None,
        });
        state.unread_since = None;
        drop(state);
        Ok(AnswerReader {
            buffer: Arc::clone(self),
            serial,
            done: false,
        })
    }

    /// Completes once the answer is marked as abandoned.
    pub async fn abandoned(&self) {
        self.abandoned.notified().await;
    }

    /// Marks an answer in progress as abandoned if its last reader disconnected at least the
    /// retention time ago.
    pub fn check_abandoned(&self, now: MonoTime) {
        let state = self.state.lock();
        let unread = state
            .unread_since
            .is_some_and(|since| now.since(since) >= self.retention);
        if unread && state.end.is_none() {
            self.abandoned.notify_one();
        }
    }

    /// Returns whether the answer ended, has no reader and was kept long enough for a reconnect.
    pub fn is_disposable(&self, now: MonoTime, min_retention: Span) -> bool {
        let state = self.state.lock();
        let ended = state
            .ended
            .is_some_and(|ended| now.since(ended) >= min_retention.max(self.retention));
        ended && state.readers.is_empty()
    }
}

impl AnswerState {
    fn next_number(&self) -> u64 {
        self.first + self.events.len() as u64
    }

    fn wake_readers(&mut self) {
        for reader in &mut self.readers {
            if let Some(waker) = reader.waker.take() {
                waker.wake();
            }
        }
    }

    /// Drops the oldest events that every reader has passed, while the buffer is over its limit.
    fn trim(&mut self) {
        let slowest = self.readers.iter().map(|reader| reader.next).min();
        let Some(slowest) = slowest else { return };
        while self.kept_bytes > RETAINED_BYTES_LIMIT && self.first < slowest {
            let Some(event) = self.events.pop_front() else {
                return;
            };
            self.kept_bytes -= event.data.len();
            self.first += 1;
        }
    }
}

/// A future that completes once a buffer is below its limit.
#[derive(Debug)]
pub struct WritableFuture {
    buffer: Arc<AnswerBuffer>,
}

impl Future for WritableFuture {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.buffer.state.lock();
        state.trim();
        if state.kept_bytes <= RETAINED_BYTES_LIMIT {
            return Poll::Ready(());
        }
        state.writer = Some(context.waker().clone());
        Poll::Pending
    }
}

/// An item that a reader receives.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadItem {
    /// The next event.
    Event(AnswerEvent),
    /// The end of the answer, delivered once; nothing follows.
    End(AnswerEnd),
}

/// A reader of an answer. Dropping it removes its position from the buffer.
#[derive(Debug)]
pub struct AnswerReader {
    buffer: Arc<AnswerBuffer>,
    serial: u64,
    done: bool,
}

impl AnswerReader {
    /// Waits for the next item and returns it without consuming it.
    pub async fn peek(&mut self) -> Option<ReadItem> {
        std::future::poll_fn(|context| self.poll_peek(context)).await
    }

    fn poll_peek(&self, context: &mut Context<'_>) -> Poll<Option<ReadItem>> {
        let mut guard = self.buffer.state.lock();
        let state = &mut *guard;
        let Some(position) = state
            .readers
            .iter_mut()
            .find(|reader| reader.serial == self.serial)
        else {
            return Poll::Ready(None);
        };
        let index = (position.next - state.first) as usize;
        if let Some(event) = state.events.get(index) {
            return Poll::Ready(Some(ReadItem::Event(event.clone())));
        }
        if let Some(end) = &state.end {
            return Poll::Ready(Some(ReadItem::End(end.clone())));
        }
        position.waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Consumes the item that [`Self::poll_peek`] returned.
    fn take(&mut self, item: &ReadItem) {
        match item {
            ReadItem::Event(event) => {
                let mut state = self.buffer.state.lock();
                let serial = self.serial;
                let position = state
                    .readers
                    .iter_mut()
                    .find(|reader| reader.serial == serial);
                if let Some(position) = position {
                    position.next = event.number + 1;
                }
                if let Some(writer) = state.writer.take() {
                    writer.wake();
                }
            }
            ReadItem::End(_) => self.done = true,
        }
    }
}

impl Stream for AnswerReader {
    type Item = ReadItem;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<ReadItem>> {
        if self.done {
            return Poll::Ready(None);
        }
        let item = std::task::ready!(self.poll_peek(context));
        if let Some(item) = &item {
            self.take(item);
        }
        Poll::Ready(item)
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let mut state = self.buffer.state.lock();
        state.readers.retain(|reader| reader.serial != self.serial);
        if state.readers.is_empty() {
            state.unread_since = Some(oleander_base::monotonic_now());
        }
        if let Some(writer) = state.writer.take() {
            writer.wake();
        }
        drop(state);
        if self.buffer.retention == Span::ZERO {
            self.buffer.check_abandoned(oleander_base::monotonic_now());
        }
    }
}

/// All answers of this entry VM that a caller may still read.
#[derive(Debug)]
pub struct AnswerCache {
    shards: [Mutex<FastMap<u64, Arc<AnswerBuffer>>>; SHARD_COUNT],
}

impl Default for AnswerCache {
    fn default() -> Self {
        Self::new()
    }
}

impl AnswerCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(FastMap::default())),
        }
    }

    /// Adds an answer under the serial number of its request.
    pub fn insert(&self, serial: u64, buffer: Arc<AnswerBuffer>) {
        self.shard(serial).lock().insert(serial, buffer);
    }

    /// Returns an answer by the serial number of its request.
    pub fn get(&self, serial: u64) -> Option<Arc<AnswerBuffer>> {
        self.shard(serial).lock().get(&serial).cloned()
    }

    /// Drops answers that ended long enough ago, and marks answers in progress as abandoned if the
    /// last reader of them disconnected long enough ago.
    pub fn sweep(&self, now: MonoTime, min_retention: Span) {
        for shard in &self.shards {
            let mut shard = shard.lock();
            shard.retain(|_, buffer| !buffer.is_disposable(now, min_retention));
            for buffer in shard.values() {
                buffer.check_abandoned(now);
            }
        }
    }

    /// Returns whether any answer is still in progress or being read.
    pub fn has_unfinished(&self) -> bool {
        let unfinished = |buffer: &Arc<AnswerBuffer>| {
            let state = buffer.state.lock();
            state.end.is_none() || !state.readers.is_empty()
        };
        self.shards
            .iter()
            .any(|shard| shard.lock().values().any(unfinished))
    }

    /// Returns the number of answers in the cache.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, serial: u64) -> &Mutex<FastMap<u64, Arc<AnswerBuffer>>> {
        &self.shards[serial as usize % SHARD_COUNT]
    }
}
