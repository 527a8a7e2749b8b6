//! Waits on a backend server that end when the caller leaves.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oleander_base::prelude::*;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::http::{BodyPiece, ConnError, HttpConn};

/// How much of a caller's next request is read ahead while one is served, in bytes.
const READ_AHEAD: usize = 64 * 1024;

/// The longest answer that is held as a whole before it is delivered, in bytes.
const MAX_BUFFERED_ANSWER: usize = 8 * 1024 * 1024;

/// What a wait on a backend server brought.
pub(super) enum WaitOutcome<T> {
    Completed(T),
    CallerLeft,
    TimedOut,
}

/// Waits for a backend server while it watches whether the caller leaves.
pub(super) async fn wait<T>(
    caller: &mut HttpConn,
    limit: Span,
    work: impl Future<Output = T>,
) -> WaitOutcome<T> {
    tokio::select! {
        biased;
        done = timeout(Duration::from(limit), work) => match done {
            Ok(value) => WaitOutcome::Completed(value),
            Err(_) => WaitOutcome::TimedOut,
        },
        () = caller.wait_closed(READ_AHEAD) => WaitOutcome::CallerLeft,
    }
}

/// Reads a whole body.
pub(super) async fn read_to_end(answer: &mut Exchange) -> Result<Bytes, ConnError> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await? {
            BodyPiece::Data(data) => body.extend_from_slice(&data),
            _ => return Ok(body.freeze()),
        }
        if body.len() > MAX_BUFFERED_ANSWER {
            return Err(ConnError::HeadTooLong);
        }
    }
}
