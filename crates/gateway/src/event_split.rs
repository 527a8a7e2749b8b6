//! Cuts a stream into whole events, so that a broken stream can go on after its last one.

use bytes::{Bytes, BytesMut};

/// The bytes of a stream that do not yet make a whole event.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
}

/// Whole events in one piece.
#[derive(Debug)]
pub(crate) struct EventBatch {
    /// Their bytes.
    pub(crate) bytes: Bytes,
    /// The id of the first one.
    pub(crate) first_id: Option<u64>,
    /// The id of the last one.
    pub(crate) last_id: Option<u64>,
    /// How many there are.
    pub(crate) count: usize,
}

impl EventSplitter {
    /// Takes more bytes and returns the events that are whole now.
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

    /// Returns what is left when the stream has ended as a whole.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the event that was cut.
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
