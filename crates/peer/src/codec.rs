//! The wire format: frames with a length, a kind and a body, which is postcard or opaque bytes.
//!
//! A frame is the length of its body (four bytes), its kind (two bytes), both little-endian, and
//! the body. The decoder skips the body of an unknown kind, so a newer program may send kinds that
//! an older one does not know. Fields may be appended to a body, because decoders ignore what
//! follows the fields they know. A change of the element type of a list requires a new kind.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::message::{MessageKind, PeerCall, PeerMessage, PeerReply, StreamOpen};

/// The maximum size of a frame's body, in bytes.
pub const MAX_FRAME_BODY: usize = 8 << 20;

const HEADER_SIZE: usize = 6;

const HELLO: u16 = 0;
const CALL_FETCH_RECORDS: u16 = 0x100;
const CALL_FETCH_SNAPSHOT: u16 = 0x101;
const CALL_FORWARD_REQUEST: u16 = 0x102;
const CALL_REQUEST_STATUS: u16 = 0x103;
const CALL_COMMIT_CLAIM: u16 = 0x104;
const STREAM_FORWARD_REQUEST: u16 = 0x200;
const STREAM_RECONNECT: u16 = 0x201;
const REPLY_ANSWER: u16 = 0x300;
const REPLY_REFUSED: u16 = 0x301;
const REPLY_UNSUPPORTED: u16 = 0x302;

/// A version of the peer protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProtocolVersion(pub u16);

/// The range of protocol versions that a program supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProtocolRange {
    /// The oldest supported version.
    pub oldest: ProtocolVersion,
    /// The newest supported version.
    pub newest: ProtocolVersion,
}

impl ProtocolRange {
    /// The versions that this program supports.
    pub const SUPPORTED: Self = Self {
        oldest: ProtocolVersion(1),
        newest: ProtocolVersion(1),
    };

    /// Returns the newest version that both programs support.
    pub fn common(self, other: Self) -> Option<ProtocolVersion> {
        let version = self.newest.min(other.newest);
        (version >= self.oldest.max(other.oldest)).then_some(version)
    }
}

/// The first frame of each direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) protocol: ProtocolRange,
    pub(crate) instance: InstanceId,
    pub(crate) centre: CentreId,
}

/// The error of decoding a frame or a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The frame's length exceeds the limit, so the rest of the stream cannot be decoded.
    #[error("a frame of {0} bytes is over the limit")]
    TooLarge(usize),
    /// The body of a known kind cannot be decoded; later frames are not affected.
    #[error("the body of a frame of kind {0} does not parse")]
    Malformed(u16),
}

/// One frame of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Frame {
    pub(crate) kind: u16,
    pub(crate) body: Bytes,
}

/// A decoded frame of the message stream.
#[derive(Debug, Clone, PartialEq)]
pub enum DecodedMessage {
    /// A message of a known kind.
    Known(PeerMessage),
    /// The number of an unknown kind, which a newer program sent.
    Unknown(u16),
}

/// A buffer that splits the bytes of a stream into frames.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Appends the next bytes of the stream.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Removes the next complete frame, if there is one, and decodes it as a message.
    pub fn next_message(&mut self) -> Result<Option<DecodedMessage>, CodecError> {
        self.next_frame()?
            .map(|frame| decode_message(&frame))
            .transpose()
    }

    /// Removes the next complete frame, if there is one.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Frame>, CodecError> {
        let Some(header) = self.bytes.first_chunk::<HEADER_SIZE>() else {
            return Ok(None);
        };
        let size = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let kind = u16::from_le_bytes([header[4], header[5]]);
        if size > MAX_FRAME_BODY {
            return Err(CodecError::TooLarge(size));
        }
        if self.bytes.len() < HEADER_SIZE + size {
            return Ok(None);
        }
        self.bytes.advance(HEADER_SIZE);
        let body = self.bytes.split_to(size).freeze();
        Ok(Some(Frame { kind, body }))
    }

    /// Returns the bytes after the last removed frame.
    pub(crate) fn into_rest(self) -> Bytes {
        self.bytes.freeze()
    }
}

/// Appends a message's frame to `out` and returns its size in bytes.
pub fn encode_message(message: &PeerMessage, out: &mut BytesMut) -> usize {
    let kind = message.kind() as u16;
    match message {
        PeerMessage::Offer(list) => write_value(kind, list, out),
        PeerMessage::Withdraw(list) => write_value(kind, list, out),
        PeerMessage::Release(list) => write_value(kind, list, out),
        PeerMessage::Held(list) => write_value(kind, list, out),
        PeerMessage::Grant(list) => write_value(kind, list, out),
        PeerMessage::Shed(list) => write_value(kind, list, out),
        PeerMessage::Report(list) => write_value(kind, list, out),
        PeerMessage::CacheEvents(list) => write_value(kind, list, out),
        PeerMessage::Progress(list) => write_value(kind, list, out),
        PeerMessage::Misrouted(list) => write_value(kind, list, out),
        PeerMessage::Holding(list) => write_value(kind, list, out),
        PeerMessage::PoolSummaries(body)
        | PeerMessage::Records(body)
        | PeerMessage::Limits(body)
        | PeerMessage::Status(body) => write_frame(kind, body, out),
    }
}

fn decode_message(frame: &Frame) -> Result<DecodedMessage, CodecError> {
    let Some(kind) = MessageKind::from_number(frame.kind) else {
        return Ok(DecodedMessage::Unknown(frame.kind));
    };
    let message = match kind {
        MessageKind::Offer => PeerMessage::Offer(read_value(frame)?),
        MessageKind::Withdraw => PeerMessage::Withdraw(read_value(frame)?),
        MessageKind::Release => PeerMessage::Release(read_value(frame)?),
        MessageKind::Held => PeerMessage::Held(read_value(frame)?),
        MessageKind::Grant => PeerMessage::Grant(read_value(frame)?),
        MessageKind::Shed => PeerMessage::Shed(read_value(frame)?),
        MessageKind::Report => PeerMessage::Report(read_value(frame)?),
        MessageKind::CacheEvents => PeerMessage::CacheEvents(read_value(frame)?),
        MessageKind::PoolSummaries => PeerMessage::PoolSummaries(frame.body.clone()),
        MessageKind::Records => PeerMessage::Records(frame.body.clone()),
        MessageKind::Limits => PeerMessage::Limits(frame.body.clone()),
        MessageKind::Status => PeerMessage::Status(frame.body.clone()),
        MessageKind::Progress => PeerMessage::Progress(read_value(frame)?),
        MessageKind::Misrouted => PeerMessage::Misrouted(read_value(frame)?),
        MessageKind::Holding => PeerMessage::Holding(read_value(frame)?),
    };
    Ok(DecodedMessage::Known(message))
}

pub(crate) fn encode_hello(hello: &Hello) -> Bytes {
    let mut out = BytesMut::new();
    write_value(HELLO, hello, &mut out);
    out.freeze()
}

pub(crate) fn decode_hello(frame: &Frame) -> Result<Hello, CodecError> {
    if frame.kind != HELLO {
        return Err(CodecError::Malformed(frame.kind));
    }
    read_value(frame)
}

pub(crate) fn encode_call(call: &PeerCall) -> Bytes {
    let mut out = BytesMut::new();
    match call {
        PeerCall::FetchRecords(body) => write_frame(CALL_FETCH_RECORDS, body, &mut out),
        PeerCall::FetchSnapshot(body) => write_frame(CALL_FETCH_SNAPSHOT, body, &mut out),
        PeerCall::ForwardRequest(body) => write_frame(CALL_FORWARD_REQUEST, body, &mut out),
        PeerCall::RequestStatus(id) => write_value(CALL_REQUEST_STATUS, id, &mut out),
        PeerCall::CommitClaim(body) => write_frame(CALL_COMMIT_CLAIM, body, &mut out),
    };
    out.freeze()
}

pub(crate) fn encode_open(open: &StreamOpen) -> Bytes {
    let mut out = BytesMut::new();
    match open {
        StreamOpen::ForwardRequest(body) => write_frame(STREAM_FORWARD_REQUEST, body, &mut out),
        StreamOpen::Reconnect(body) => write_frame(STREAM_RECONNECT, body, &mut out),
    };
    out.freeze()
}

/// The first frame of a stream that a peer opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Opening {
    Call(PeerCall),
    Stream(StreamOpen),
    Unknown(u16),
}

pub(crate) fn decode_opening(frame: &Frame) -> Result<Opening, CodecError> {
    let body = frame.body.clone();
    Ok(match frame.kind {
        CALL_FETCH_RECORDS => Opening::Call(PeerCall::FetchRecords(body)),
        CALL_FETCH_SNAPSHOT => Opening::Call(PeerCall::FetchSnapshot(body)),
        CALL_FORWARD_REQUEST => Opening::Call(PeerCall::ForwardRequest(body)),
        CALL_REQUEST_STATUS => Opening::Call(PeerCall::RequestStatus(read_value(frame)?)),
        CALL_COMMIT_CLAIM => Opening::Call(PeerCall::CommitClaim(body)),
        STREAM_FORWARD_REQUEST => Opening::Stream(StreamOpen::ForwardRequest(body)),
        STREAM_RECONNECT => Opening::Stream(StreamOpen::Reconnect(body)),
        kind => Opening::Unknown(kind),
    })
}

pub(crate) fn encode_reply(reply: &PeerReply) -> Bytes {
    let mut out = BytesMut::new();
    match reply {
        PeerReply::Answer(body) => write_frame(REPLY_ANSWER, body, &mut out),
        PeerReply::Refused(reason) => write_value(REPLY_REFUSED, reason, &mut out),
        PeerReply::Unsupported => write_frame(REPLY_UNSUPPORTED, &[], &mut out),
    };
    out.freeze()
}

pub(crate) fn decode_reply(frame: &Frame) -> Result<PeerReply, CodecError> {
    match frame.kind {
        REPLY_ANSWER => Ok(PeerReply::Answer(frame.body.clone())),
        REPLY_REFUSED => Ok(PeerReply::Refused(read_value(frame)?)),
        REPLY_UNSUPPORTED => Ok(PeerReply::Unsupported),
        kind => Err(CodecError::Malformed(kind)),
    }
}

fn write_value<T: Serialize + ?Sized>(kind: u16, value: &T, out: &mut BytesMut) -> usize {
    let body = postcard::to_allocvec(value).expect("a frame body always serializes");
    write_frame(kind, &body, out)
}

fn write_frame(kind: u16, body: &[u8], out: &mut BytesMut) -> usize {
    out.reserve(HEADER_SIZE + body.len());
    out.put_u32_le(u32::try_from(body.len()).unwrap_or(u32::MAX));
    out.put_u16_le(kind);
    out.put_slice(body);
    HEADER_SIZE + body.len()
}

fn read_value<'a, T: Deserialize<'a>>(frame: &'a Frame) -> Result<T, CodecError> {
    postcard::take_from_bytes(&frame.body)
        .map(|(value, _)| value)
        .map_err(|_| CodecError::Malformed(frame.kind))
}
