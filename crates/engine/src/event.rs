//! A parser of server-sent events that performs no I/O.
//!
//! [`EventParser`] accepts a body in pieces of any size and yields the data of each event. An
//! event is complete at its blank line; bytes after the last blank line are buffered until the
//! next piece arrives. The data of an event is a view of the received piece, without a copy, if
//! nothing was buffered before that piece and the event has one data line.

use ntex::util::{Bytes, BytesMut};

/// The maximum size of the buffer after a piece is appended to bytes that are already buffered. A
/// piece that arrives while the buffer is empty is not checked.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the event that marks the end of an answer.
const END_MARK: &[u8] = b"[DONE]";

/// The reason that an engine states for the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the caller's token limit.
    Length,
    /// The engine stated another reason, or none.
    Other,
}

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEvent {
    /// The event's data, or the whole body if the answer is not streamed.
    pub payload: Bytes,
    /// The number of tokens in this event.
    pub tokens: u32,
    /// The finish reason, if this event ends the answer.
    pub finish: Option<FinishReason>,
}

/// An event as parsed from the stream, before its data is interpreted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawEvent {
    /// An event that carries data.
    Data(Bytes),
    /// The event that marks the end of the answer.
    End,
}

/// The error of a stream whose buffered bytes exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Parses the server-sent events of one stream.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Bytes,
    last_id: Option<Bytes>,
}

impl EventParser {
    /// Appends a piece of the body to the buffer.
    pub fn push(&mut self, piece: Bytes) -> Result<(), EventTooLarge> {
        if self.buffer.is_empty() {
            self.buffer = piece;
            return Ok(());
        }
        if self.buffer.len() + piece.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        let mut joined = BytesMut::with_capacity(self.buffer.len() + piece.len());
        joined.extend_from_slice(&self.buffer);
        joined.extend_from_slice(&piece);
        self.buffer = joined.freeze();
        Ok(())
    }

    /// Removes and returns the next complete event that carries data.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        loop {
            let (end, skip) = blank_line(&self.buffer)?;
            let block = self.buffer.split_to(end);
            let _ = self.buffer.split_to(skip);
            if let Some(id) = event_id(&block) {
                self.last_id = Some(id);
            }
            if let Some(data) = event_data(&block) {
                if &data[..] == END_MARK {
                    return Some(RawEvent::End);
                }
                return Some(RawEvent::Data(data));
            }
        }
    }

    /// Returns the id of the last complete event parsed so far that begins with an id.
    pub fn last_id(&self) -> Option<&str> {
        std::str::from_utf8(self.last_id.as_ref()?).ok()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the offset at which the first event ends and the number of line-end bytes after it.
fn blank_line(buffer: &[u8]) -> Option<(usize, usize)> {
    let mut from = 0;
    while let Some(offset) = buffer[from..].iter().position(|byte| *byte == b'\n') {
        let at = from + offset;
        let rest = &buffer[at + 1..];
        if rest.first() == Some(&b'\n') {
            return Some((at, 2));
        }
        if rest.starts_with(b"\r\n") {
            return Some((at, 3));
        }
        from = at + 1;
    }
    None
}

/// Returns the data lines of an event, joined by line feeds, or none if it has no data line.
fn event_data(block: &Bytes) -> Option<Bytes> {
    let mut data: Option<Bytes> = None;
    let mut start = 0;
    for line in block.split(|byte| *byte == b'\n') {
        let from = start;
        start += line.len() + 1;
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        let skipped = 5 + usize::from(value.first() == Some(&b' '));
        let value = block.slice(from + skipped..from + line.len());
        data = Some(match data {
            None => value,
            Some(before) => join_lines(&before, &value),
        });
    }
    data
}

/// Returns the id of an event whose first line is its id, or none.
fn event_id(block: &Bytes) -> Option<Bytes> {
    if !block.starts_with(b"id:") {
        return None;
    }
    let end = block.iter().position(|byte| *byte == b'\n');
    let line = &block[..end.unwrap_or(block.len())];
    let value = line[3..].trim_ascii();
    Some(Bytes::copy_from_slice(value))
}

fn join_lines(first: &[u8], second: &[u8]) -> Bytes {
    let mut joined = BytesMut::with_capacity(first.len() + second.len() + 1);
    joined.extend_from_slice(first);
    joined.extend_from_slice(b"\n");
    joined.extend_from_slice(second);
    joined.freeze()
}

impl EngineEvent {
    /// Creates an event from its data; the token count and the finish reason are found by a scan
    /// for field names, without parsing the JSON text.
    pub(crate) fn streamed(payload: Bytes) -> Self {
        let finish = finish_reason(&payload);
        let has_text = has_content(&payload);
        Self {
            tokens: u32::from(has_text),
            finish,
            payload,
        }
    }
}

/// Returns the finish reason that the JSON text states, if it is not null.
pub(crate) fn finish_reason(payload: &[u8]) -> Option<FinishReason> {
    let value = field_value(payload, b"\"finish_reason\":")?;
    if value.starts_with(b"null") {
        return None;
    }
    Some(if value.starts_with(b"\"stop\"") {
        FinishReason::Stop
    } else if value.starts_with(b"\"length\"") {
        FinishReason::Length
    } else {
        FinishReason::Other
    })
}

/// Returns whether the event adds text to the answer.
fn has_content(payload: &[u8]) -> bool {
    let value =
        field_value(payload, b"\"content\":").or_else(|| field_value(payload, b"\"text\":"));
    value.is_some_and(|value| value.starts_with(b"\"") && !value.starts_with(b"\"\""))
}

/// Returns the text after the first occurrence of a field's name and colon.
fn field_value<'a>(payload: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let mut from = 0;
    while let Some(offset) = payload[from..].iter().position(|byte| *byte == b'"') {
        let at = from + offset;
        if payload[at..].starts_with(name) {
            let value = &payload[at + name.len()..];
            let blank = value.iter().take_while(|byte| **byte == b' ').count();
            return Some(&value[blank..]);
        }
        from = at + 1;
    }
    None
}
