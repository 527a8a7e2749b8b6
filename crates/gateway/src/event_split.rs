//! Splits a stream into complete events, so that a broken stream can be resumed after the last one.

use bytes::{Bytes, BytesMut};

/// Holds the bytes at the end of a stream that do not yet form a complete event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
}

/// A run of complete events.
#[derive(Debug)]
pub(crate) struct EventBatch {
    /// The bytes of the events.
    pub(crate) bytes: Bytes,
    /// The id of the first event that has one.
    pub(crate) first_id: Option<u64>,
    /// The id of the last event that has one.
    pub(crate) last_id: Option<u64>,
    /// The number of events.
    pub(crate) count: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(data);
        let end = last_event_end(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        let mut ids = event_ids(&bytes);
        let first_id = ids.next();
        let last_id = ids.last().or(first_id);
        let count = memchr::memmem::find_iter(&bytes, b"\n\n").count();
        Some(EventBatch {
            bytes,
            first_id,
            last_id,
            count,
        })
    }

    /// Returns the number of bytes received after the last complete event.
    pub(crate) fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the remaining bytes after an orderly end of the stream.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Discards the incomplete event of a broken stream.
    pub(crate) fn discard_partial(&mut self) {
        self.pending.clear();
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let carriage = memchr::memmem::rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(carriage)
}

fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
