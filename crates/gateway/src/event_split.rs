//! Splits a stream into complete events, so that a broken stream can be resumed after the last one.

use bytes::{Bytes, BytesMut};

use crate::http::{ByteBound, MAX_COMMENT_BYTES, MAX_EVENT_BYTES};

/// The ends of an event, after any end of its last line: a blank line that ends with a line feed, or with a carriage
/// return before it. The lines of one event may end differently.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// The longest of [`EVENT_ENDS`], in bytes.
const MAX_END_BYTES: usize = 3;

/// Holds the bytes at the end of a stream that do not yet form a complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    /// Whether a search has found a field in the pending bytes.
    has_field: bool,
}

/// A run of complete events.
#[derive(Debug, Default)]
pub(crate) struct EventBatch {
    /// The bytes of the events.
    pub(crate) bytes: Bytes,
    /// The id of the first event that has one.
    pub(crate) first_id: Option<u64>,
    /// The id of the last event that has one.
    pub(crate) last_id: Option<u64>,
    /// The number of events.
    pub(crate) count: usize,
    /// Whether the last event has an id.
    pub(crate) ends_with_id: bool,
    /// Whether an event that is out of order followed. It and what came after it are left out.
    pub(crate) is_cut: bool,
}

impl EventBatch {
    /// Takes the events in order from bytes that end with an event.
    fn open(mut bytes: Bytes) -> Self {
        let mut batch = Self::default();
        let mut event = EventFields::default();
        let (mut start, mut end) = (0, 0);
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            end += line.len();
            let line = without_end(line);
            if !line.is_empty() {
                event.read(line);
                continue;
            }
            if !batch.add(&std::mem::take(&mut event)) {
                batch.is_cut = true;
                break;
            }
            start = end;
        }
        bytes.truncate(start);
        batch.bytes = bytes;
        batch
    }

    /// Adds an event; returns false if it does not follow the one before.
    fn add(&mut self, event: &EventFields) -> bool {
        if let (Some(last), Some(id)) = (self.last_id, event.id)
            && !follows(last, id)
        {
            return false;
        }
        self.first_id = self.first_id.or(event.id);
        self.last_id = event.id.or(self.last_id);
        if event.has_field {
            self.count += 1;
            self.ends_with_id = event.id.is_some();
        }
        true
    }
}

/// Returns whether the event `id` is the next one after `last`. A stream that skips an id has lost an event.
pub(crate) fn follows(last: u64, id: u64) -> bool {
    last.checked_add(1) == Some(id)
}

/// The fields of one event that matter for its order.
#[derive(Debug, Default)]
struct EventFields {
    /// Whether it has any line but comments.
    has_field: bool,
    id: Option<u64>,
}

impl EventFields {
    fn read(&mut self, line: &[u8]) {
        self.has_field |= is_field(line);
        self.id = event_id(line).or(self.id);
    }
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete. Bytes that were searched before are not
    /// searched again.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<Option<EventBatch>, ByteBound> {
        let searched = self.pending.len().saturating_sub(MAX_END_BYTES - 1);
        self.pending.extend_from_slice(data);
        let Some(end) = last_event_end(&self.pending[searched..]) else {
            return match self.passed_bound() {
                Some(bound) => Err(bound),
                None => Ok(None),
            };
        };
        self.has_field = false;
        let bytes = self.pending.split_to(searched + end).freeze();
        Ok(Some(EventBatch::open(bytes)))
    }

    /// Returns the bound that the pending bytes have passed, if any. They are searched for a field once.
    fn passed_bound(&mut self) -> Option<ByteBound> {
        if self.pending.len() > MAX_EVENT_BYTES {
            return Some(ByteBound::Event);
        }
        if self.pending.len() > MAX_COMMENT_BYTES && !self.has_field {
            self.has_field = self.is_inside_event();
            return (!self.has_field).then_some(ByteBound::Comments);
        }
        None
    }

    /// Returns the number of bytes received after the last complete event.
    pub(crate) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether the bytes after the last complete event belong to another event. Blank lines
    /// and comments do not.
    pub(crate) fn is_inside_event(&self) -> bool {
        lines(&self.pending).any(is_field)
    }

    /// Returns the remaining bytes of a stream that ended between two events.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        let at = memchr::memmem::rfind(bytes, end)?;
        Some(at + end.len())
    });
    ends.max()
}

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split_inclusive(|byte| *byte == b'\n')
        .map(without_end)
}

/// Returns a line without its line feed and the carriage return before that.
fn without_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Returns whether a line belongs to an event, which blank lines and comments do not.
fn is_field(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
}

/// Returns the id in a line that has one.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
