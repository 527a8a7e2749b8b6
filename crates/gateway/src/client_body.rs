//! Reads the body of a caller's request within the bounds on length, memory, rate and processor time.

use std::time::Duration;

use bytes::Bytes;
use oleander_balance::{ClientPhase, QUIET_BYTES, TransferPace};
use oleander_base::monotonic_now;
use tokio::time::timeout;

use crate::client_budget::{ClientHold, EvictionCause};
use crate::client_io::write_message;
use crate::client_turn::WorkTurn;
use crate::http::{BodyFraming, BodyPiece, BodyReader, HttpConn, RequestHead};
use crate::manifest::CallerLimits;
use crate::prelude::*;

/// The answer to a caller that waits before it sends its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How long a caller may pause within a body.
const PAUSE_LIMIT: Span = Span::from_secs(3);

/// The room that is reserved first for a body of unknown length, in bytes.
const FIRST_ROOM_BYTES: usize = 8 * 1024;

/// The bytes by which the framing of a chunked body may exceed the body itself. A body in tiny chunks costs far more
/// processor time than its length suggests.
const FRAMING_BYTES: usize = 64 * 1024;

/// The most bytes of a refused body that are skipped to keep the connection usable.
const SKIPPED_BYTES: usize = 64 * 1024;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The caller has disconnected.
    CallerLeft,
    /// It is longer than the limit.
    TooLong,
    /// Its chunks are so short that their framing passes its bound.
    TinyChunks,
    /// Nothing came for too long.
    Paused,
    /// Its average rate is below the least one.
    TooSlow,
    /// It is not framed as it says.
    Malformed,
    /// It has to give way to other connections.
    Evicted(EvictionCause),
}

/// A body that is being read.
struct IncomingBody<'a> {
    hold: &'a ClientHold,
    /// What the connection held before.
    held: usize,
    bytes: Vec<u8>,
    /// The greatest length that it can have.
    max_len: usize,
}

impl IncomingBody<'_> {
    fn push(&mut self, data: &[u8]) -> Result<(), BodyEnd> {
        let length = self.bytes.len() + data.len();
        if length > self.max_len {
            return Err(BodyEnd::TooLong);
        }
        if length > self.bytes.capacity() {
            let doubled = FIRST_ROOM_BYTES.max(2 * self.bytes.capacity());
            let room = doubled.min(self.max_len).max(length);
            let held = self.held + room;
            self.hold.resize(held).map_err(BodyEnd::Evicted)?;
            self.bytes.reserve_exact(room - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Reads a complete body.
pub(crate) async fn read_body(
    conn: &mut HttpConn,
    hold: &ClientHold,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Bytes, BodyEnd> {
    let max_len = match head.framing {
        BodyFraming::Length(length) if length > limits.body_bytes as u64 => {
            return Err(BodyEnd::TooLong);
        }
        BodyFraming::Length(length) => length as usize,
        BodyFraming::Chunked | BodyFraming::UntilClose => limits.body_bytes,
    };
    if head.expects_continue && max_len > 0 {
        let written = write_message(conn, hold, CONTINUE, b"").await;
        written.map_err(|_| BodyEnd::CallerLeft)?;
    }
    hold.enter(ClientPhase::Receiving);
    let mut reader = BodyReader::open(head.framing);
    let mut body = IncomingBody {
        hold,
        held: hold.bytes(),
        bytes: Vec::new(),
        max_len,
    };
    let pace = TransferPace::begin(monotonic_now());
    let mut turn = WorkTurn::default();
    let mut framing_bytes = 0;
    loop {
        let buffered = conn.buffer.len();
        let piece = reader.next(&mut conn.buffer);
        let data = match piece.map_err(|_| BodyEnd::Malformed)? {
            BodyPiece::End => return Ok(Bytes::from(body.bytes)),
            BodyPiece::Data(data) => Some(data),
            BodyPiece::NeedsMore => None,
        };
        let taken = buffered - conn.buffer.len();
        let data_len = data.as_ref().map_or(0, Bytes::len);
        framing_bytes += taken - data_len;
        if framing_bytes > FRAMING_BYTES + body.bytes.len() {
            return Err(BodyEnd::TinyChunks);
        }
        turn.count(taken);
        if body.bytes.len() > QUIET_BYTES {
            hold.share_bulk_rate(&mut turn).await;
        }
        turn.yield_if_used().await;
        match data {
            Some(data) => body.push(&data)?,
            None => fill(conn, hold, &pace, body.bytes.len()).await?,
        }
    }
}

/// Waits for more bytes of a body of which `received` bytes are there.
async fn fill(
    conn: &mut HttpConn,
    hold: &ClientHold,
    pace: &TransferPace,
    received: usize,
) -> Result<(), BodyEnd> {
    let left = pace.time_left(received, monotonic_now());
    tokio::select! {
        biased;
        cause = hold.evicted() => Err(BodyEnd::Evicted(cause)),
        filled = timeout(Duration::from(left.min(PAUSE_LIMIT)), conn.fill()) => match filled {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(BodyEnd::CallerLeft),
            Err(_) if left < PAUSE_LIMIT => Err(BodyEnd::TooSlow),
            Err(_) => Err(BodyEnd::Paused),
        },
    }
}

/// Skips the body of a refused request as far as it has arrived; returns whether it was complete.
pub(crate) fn skip_arrived_body(conn: &mut HttpConn, head: &RequestHead) -> bool {
    let mut reader = BodyReader::open(head.framing);
    let mut skipped = 0;
    while skipped <= SKIPPED_BYTES {
        let buffered = conn.buffer.len();
        match reader.next(&mut conn.buffer) {
            Ok(BodyPiece::End) => return true,
            Ok(BodyPiece::Data(_)) => {}
            Ok(BodyPiece::NeedsMore) if matches!(conn.fill_arrived(), Ok(true)) => continue,
            Ok(BodyPiece::NeedsMore) | Err(_) => return false,
        }
        skipped += buffered - conn.buffer.len();
    }
    false
}
