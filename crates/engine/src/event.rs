//! Server-sent events, as pure code.
//!
//! [`EventParser`] takes the pieces of a body in any division and yields each event's data. An
//! event is complete at its blank line; what follows the last blank line is kept for the next
//! piece. The data is a view of the received piece wherever the event lies in one piece.

use ntex::util::{Bytes, BytesMut};

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of an event that ends an answer.
const END_MARK: &[u8] = b"[DONE]";

/// Why an engine ended an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The answer came to its own end.
    Stop,
    /// The caller's limit cut it.
    Length,
    /// Any other reason.
    Other,
}

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineEvent {
    /// The event's data, or the whole body of an answer that is not streamed.
    pub payload: Bytes,
    /// Tokens in this event.
    pub tokens: u32,
    /// Why the answer ends here, if it does.
    pub finish: Option<FinishReason>,
}

/// An event as the parser sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RawEvent {
    /// Data of the answer.
    Data(Bytes),
    /// The end mark.
    End,
}

/// The stream holds an event over the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// The parser of one stream.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Bytes,
    last_id: Option<Bytes>,
}

impl EventParser {
    /// Adds a piece of the body.
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

    /// Returns the next complete event that carries data.
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

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        std::str::from_utf8(self.last_id.as_ref()?).ok()
    }

    /// Returns whether a part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns where the first event ends, and the length of the blank line after it.
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

/// Returns the data lines of an event, joined, or none if it has none.
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

/// Returns the id of an event whose lines begin with it, or none.
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
    /// Reads what the router needs to know of an event's data, without parsing all of it.
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
