//! Waits on a backend server that end when the caller disconnects.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oleander_base::prelude::*;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::http::{BodyPiece, ConnError, HttpConn};

/// The limit on bytes read ahead from a caller while its request is served.
const READ_AHEAD: usize = 64 * 1024;

/// The longest answer that is buffered before it is delivered, in bytes.
const MAX_BUFFERED_ANSWER: usize = 8 * 1024 * 1024;

/// The outcome of a wait on a backend server.
pub(super) enum WaitOutcome<T> {
    Completed(T),
    CallerLeft,
    TimedOut,
}

/// Waits for work at a backend server until it completes, `limit` passes or the caller disconnects.
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

/// Reads a body completely.
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
