//! Long-lived bidirectional streams between two peers.
//!
//! A sender that is dropped before [`PeerSender::finish`] resets its direction, so that the
//! receiver never takes a truncated stream for a complete one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use oleander_base::prelude::*;
use quinn::{RecvStream, SendStream, VarInt};

use crate::codec::{FrameBuffer, MAX_FRAME_BODY};
use crate::error::{PeerError, PeerResult};

/// The reset code of a sender that was dropped before it finished the stream.
const ABANDONED: VarInt = VarInt::from_u32(1);

/// The maximum number of bytes that one read returns.
const READ_SIZE: usize = 64 << 10;

/// A bidirectional stream.
#[derive(Debug)]
pub struct PeerStream {
    sender: PeerSender,
    receiver: PeerReceiver,
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct PeerSender {
    peer: InstanceId,
    stream: SendStream,
    finished: bool,
    _active: ActiveGuard,
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct PeerReceiver {
    peer: InstanceId,
    stream: RecvStream,
    /// Bytes that were read together with the first frame.
    buffered: Bytes,
    _active: ActiveGuard,
}

/// Counts a use of a connection, which keeps the connection open.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Arc<AtomicUsize>);

impl ActiveGuard {
    pub(crate) fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PeerStream {
    pub(crate) fn new(
        peer: InstanceId,
        send: SendStream,
        receive: RecvStream,
        buffered: Bytes,
        active: &Arc<AtomicUsize>,
    ) -> Self {
        Self {
            sender: PeerSender {
                peer,
                stream: send,
                finished: false,
                _active: ActiveGuard::new(active),
            },
            receiver: PeerReceiver {
                peer,
                stream: receive,
                buffered,
                _active: ActiveGuard::new(active),
            },
        }
    }

    /// Returns the instance at the other end.
    pub fn peer(&self) -> InstanceId {
        self.sender.peer
    }

    /// Sends bytes; see [`PeerSender::send`].
    pub async fn send(&mut self, bytes: Bytes) -> PeerResult<()> {
        self.sender.send(bytes).await
    }

    /// Finishes the sending half; see [`PeerSender::finish`].
    pub fn finish(&mut self) {
        self.sender.finish();
    }

    /// Receives bytes; see [`PeerReceiver::receive`].
    pub async fn receive(&mut self) -> PeerResult<Option<Bytes>> {
        self.receiver.receive().await
    }

    /// Splits the stream into its halves, so that two tasks can use them.
    pub fn split(self) -> (PeerSender, PeerReceiver) {
        (self.sender, self.receiver)
    }
}

impl PeerSender {
    /// Sends bytes, and waits while the flow-control window is exhausted.
    pub async fn send(&mut self, bytes: Bytes) -> PeerResult<()> {
        let written = self.stream.write_chunk(bytes).await;
        written.map_err(|error| connection_lost(self.peer, &error))
    }

    /// Marks the end of the stream, so that the peer reads a complete stream.
    pub fn finish(&mut self) {
        if self.stream.finish().is_ok() {
            self.finished = true;
        }
    }

    /// Waits until the peer stops reading, for example because its caller disconnected.
    ///
    /// It also returns once the peer has received everything after [`Self::finish`], or when the
    /// connection closes.
    pub async fn stopped(&self) {
        let _ = self.stream.stopped().await;
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.stream.reset(ABANDONED);
        }
    }
}

impl PeerReceiver {
    /// Receives the next bytes in order, or `None` if the peer finished the stream.
    ///
    /// A stream that the peer reset ends in an error, never in `None`.
    pub async fn receive(&mut self) -> PeerResult<Option<Bytes>> {
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        match self.stream.read_chunk(READ_SIZE, true).await {
            Ok(chunk) => Ok(chunk.map(|chunk| chunk.bytes)),
            Err(error) => Err(connection_lost(self.peer, &error)),
        }
    }
}

/// Reads one frame from the start of a stream, and returns it with the bytes read after it.
pub(crate) async fn read_frame(
    peer: InstanceId,
    stream: &mut RecvStream,
) -> PeerResult<(crate::codec::Frame, Bytes)> {
    let mut buffer = FrameBuffer::default();
    loop {
        match buffer.next_frame() {
            Ok(Some(frame)) => return Ok((frame, buffer.into_rest())),
            Ok(None) => {}
            Err(_) => return Err(PeerError::Malformed { peer }),
        }
        match stream.read_chunk(MAX_FRAME_BODY, true).await {
            Ok(Some(chunk)) => buffer.extend(&chunk.bytes),
            Ok(None) => return Err(connection_lost(peer, &"the stream ended inside a frame")),
            Err(error) => return Err(connection_lost(peer, &error)),
        }
    }
}

/// Checks that an encoded frame is within the limit that peers accept.
pub(crate) fn check_size(frame: Bytes) -> PeerResult<Bytes> {
    if frame.len() > MAX_FRAME_BODY {
        return Err(PeerError::TooLarge {
            size: frame.len(),
            limit: MAX_FRAME_BODY,
        });
    }
    Ok(frame)
}

pub(crate) fn connection_lost(peer: InstanceId, reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Lost {
        peer,
        reason: reason.to_string(),
    }
}
