//! Reads and writes message bodies: framed by length, in chunks, or by the end of the connection.

use std::io::Write;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

use super::bounds::{ByteBound, MAX_TRAILER_BYTES};

/// The longest chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body ends after this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends when its connection closes.
    UntilClose,
}

impl BodyFraming {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }
}

/// Why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk or a trailer is malformed.
    #[error("a chunk of the body is malformed")]
    BadChunk,
    /// The connection ended before the body did.
    #[error("the connection ended before the body did")]
    Cut,
    /// The body passes a bound.
    #[error("{0}")]
    OverBound(ByteBound),
}

/// The result of one step of the reader.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End,
    /// The buffer holds nothing to return until more bytes arrive.
    NeedsMore,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    Remaining(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// The number of trailer bytes so far.
    Trailers(usize),
    UntilClose,
    Done,
}

/// Reads one body from a connection's buffer.
#[derive(Debug)]
pub struct BodyReader {
    state: ReadState,
}

impl BodyReader {
    /// Creates a reader for a body with the given framing.
    pub fn open(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(length) => ReadState::Remaining(length),
            BodyFraming::Chunked => ReadState::ChunkSize,
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body has ended.
    pub fn is_done(&self) -> bool {
        matches!(self.state, ReadState::Done | ReadState::Remaining(0))
    }

    /// Takes the next piece from the buffer.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<BodyPiece, BodyError> {
        loop {
            match self.state {
                ReadState::Remaining(0) | ReadState::Done => {
                    self.state = ReadState::Done;
                    return Ok(BodyPiece::End);
                }
                ReadState::Remaining(left) => {
                    let Some(data) = take_up_to(buffer, left) else {
                        return Ok(BodyPiece::NeedsMore);
                    };
                    self.state = ReadState::Remaining(left - data.len() as u64);
                    return Ok(BodyPiece::Data(data));
                }
                ReadState::UntilClose => {
                    return Ok(match take_up_to(buffer, u64::MAX) {
                        Some(data) => BodyPiece::Data(data),
                        None => BodyPiece::NeedsMore,
                    });
                }
                ReadState::ChunkSize => match chunk_size(buffer)? {
                    None => return Ok(BodyPiece::NeedsMore),
                    Some(0) => self.state = ReadState::Trailers(0),
                    Some(size) => self.state = ReadState::ChunkData(size),
                },
                ReadState::ChunkData(left) => {
                    let Some(data) = take_up_to(buffer, left) else {
                        return Ok(BodyPiece::NeedsMore);
                    };
                    let left = left - data.len() as u64;
                    self.state = if left == 0 {
                        ReadState::ChunkEnd
                    } else {
                        ReadState::ChunkData(left)
                    };
                    return Ok(BodyPiece::Data(data));
                }
                ReadState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(BodyPiece::NeedsMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    buffer.advance(2);
                    self.state = ReadState::ChunkSize;
                }
                ReadState::Trailers(seen) => match trailer_line(buffer)? {
                    None => return Ok(BodyPiece::NeedsMore),
                    Some(0) => self.state = ReadState::Done,
                    Some(len) if seen + len > MAX_TRAILER_BYTES => {
                        return Err(BodyError::OverBound(ByteBound::Trailers));
                    }
                    Some(len) => self.state = ReadState::Trailers(seen + len),
                },
            }
        }
    }

    /// Handles an orderly end of the connection, which is an error unless the body is complete.
    pub fn on_eof(&mut self) -> Result<(), BodyError> {
        match self.state {
            ReadState::UntilClose | ReadState::Done | ReadState::Remaining(0) => {
                self.state = ReadState::Done;
                Ok(())
            }
            _ => Err(BodyError::Cut),
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let count = (buffer.len() as u64).min(limit) as usize;
    Some(buffer.split_to(count).freeze())
}

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, BodyError> {
    match httparse::parse_chunk_size(buffer) {
        // The bound holds however the line was split on its way.
        Ok(httparse::Status::Complete((used, size))) if used <= MAX_LINE_BYTES => {
            buffer.advance(used);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() < MAX_LINE_BYTES => Ok(None),
        _ => Err(BodyError::BadChunk),
    }
}

/// Takes one trailer line and returns its length without its end; the empty line ends the body.
fn trailer_line(buffer: &mut BytesMut) -> Result<Option<usize>, BodyError> {
    let Some(end) = memchr::memmem::find(buffer, b"\r\n") else {
        if buffer.len() > MAX_LINE_BYTES {
            return Err(BodyError::BadChunk);
        }
        return Ok(None);
    };
    if end >= MAX_LINE_BYTES {
        return Err(BodyError::BadChunk);
    }
    buffer.advance(end + 2);
    Ok(Some(end))
}

/// Writes one chunk; empty data writes nothing, because an empty chunk would end the body.
pub fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    write!(out, "{:x}\r\n", data.len()).expect("writing to a vector cannot fail");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the last chunk, which marks the body as complete.
pub fn push_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
