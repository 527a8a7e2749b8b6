//! Writes structured logs to standard output, one JSON object per line.
//!
//! A line is written for each decision about a request and for each change of the process's view
//! (docs/OPERATIONS.md lists the fields). The request path only appends to a bounded buffer. A
//! dedicated thread writes it, so that a blocked reader does not slow down requests. Above a rate,
//! lines about requests are sampled by attempt id, so that the lines of one request are kept or
//! dropped together; lines about failures have the higher limit. Dropped lines are counted.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The greatest number of batches queued for a slow reader.
const MAX_QUEUED_BATCHES: usize = 16;

/// The buffer size above which a batch is handed to the log thread, in bytes.
const BATCH_BYTES: usize = 32 * 1024;

/// The rate above which lines about normal requests are sampled, in lines per second.
const NORMAL_LINES_PER_SECOND: u32 = 60;

/// The rate above which lines about failures are sampled, in lines per second.
const FAILURE_LINES_PER_SECOND: u32 = 200;

/// Above the rate, the lines of one in this many requests are kept.
const SAMPLED_ONE_IN: u64 = 16;

/// The kind of a line about a request, which decides its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// The request proceeds normally.
    Normal,
    /// The request or one of its attempts failed.
    Failure,
}

#[derive(Debug, Serialize)]
struct Line<'a, T> {
    time_ms: u64,
    node: &'a str,
    event: &'static str,
    #[serde(flatten)]
    fields: T,
}

/// The lines counted in the current second.
#[derive(Debug, Default)]
struct RateWindow {
    second: Cell<u64>,
    normal: Cell<u32>,
    failures: Cell<u32>,
    dropped: Cell<u32>,
}

#[derive(Debug, Serialize)]
struct DroppedFields {
    lines: u32,
    reason: &'static str,
}

/// The log of one process.
#[derive(Debug)]
pub(crate) struct LogWriter {
    node: String,
    buffer: RefCell<Vec<u8>>,
    sender: SyncSender<Vec<u8>>,
    window: RateWindow,
}

impl LogWriter {
    /// Opens the log and spawns the thread that writes it to standard output.
    pub(crate) fn spawn(node: &str) -> Self {
        Self::spawn_to(node, std::io::stdout())
    }

    /// Opens the log and spawns the thread that writes it to `sink`.
    pub(crate) fn spawn_to(node: &str, mut sink: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || {
                for batch in receiver {
                    if sink.write_all(&batch).and_then(|()| sink.flush()).is_err() {
                        // The reader of the log is gone, and there is no other place to report
                        // that.
                        return;
                    }
                }
            })
            .expect("cannot spawn the log thread");
        Self {
            node: node.to_owned(),
            buffer: RefCell::new(Vec::with_capacity(4 * 1024)),
            sender,
            window: RateWindow::default(),
        }
    }

    /// Writes a line about a change of the process's state.
    pub(crate) fn change(&self, event: &'static str, fields: impl Serialize) {
        self.append(event, fields);
    }

    /// Writes a line about a request, unless the rate limit drops it.
    pub(crate) fn request(
        &self,
        event: &'static str,
        kind: LineKind,
        attempt_id: &str,
        fields: impl Serialize,
    ) {
        if self.admits(kind, attempt_id) {
            self.append(event, fields);
        }
    }

    /// Hands the buffered lines to the log thread.
    pub(crate) fn flush(&self) {
        self.roll_window();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return;
        }
        let batch = std::mem::replace(&mut *buffer, Vec::with_capacity(4 * 1024));
        if let Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) =
            self.sender.try_send(batch)
        {
            let lines = memchr::memchr_iter(b'\n', &batch).count();
            self.window
                .dropped
                .set(self.window.dropped.get() + u32::try_from(lines).unwrap_or(u32::MAX));
        }
    }

    fn admits(&self, kind: LineKind, attempt_id: &str) -> bool {
        self.roll_window();
        let (used, limit) = match kind {
            LineKind::Normal => (&self.window.normal, NORMAL_LINES_PER_SECOND),
            LineKind::Failure => (&self.window.failures, FAILURE_LINES_PER_SECOND),
        };
        used.set(used.get() + 1);
        let is_sampled = xxh3_64(attempt_id.as_bytes()).is_multiple_of(SAMPLED_ONE_IN);
        let is_admitted = used.get() <= limit || is_sampled;
        if !is_admitted {
            self.window.dropped.set(self.window.dropped.get() + 1);
        }
        is_admitted
    }

    fn roll_window(&self) {
        let second = monotonic_now().0 / Span::from_secs(1).0;
        if second == self.window.second.get() {
            return;
        }
        self.window.second.set(second);
        self.window.normal.set(0);
        self.window.failures.set(0);
        let dropped = self.window.dropped.take();
        if dropped > 0 {
            let fields = DroppedFields {
                lines: dropped,
                reason: "the rate of lines was above its bound, or the reader was slow",
            };
            self.append("lines-left-out", fields);
        }
    }

    fn append(&self, event: &'static str, fields: impl Serialize) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() > BATCH_BYTES {
            drop(buffer);
            self.flush();
            buffer = self.buffer.borrow_mut();
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = Line {
            time_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            node: &self.node,
            event,
            fields,
        };
        serde_json::to_writer(&mut *buffer, &line).expect("log fields always serialize");
        buffer.push(b'\n');
    }
}
