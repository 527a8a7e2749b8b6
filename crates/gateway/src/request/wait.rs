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
const WHOLE_LIMIT: usize = 8 * 1024 * 1024;

/// What a wait on a backend server brought.
pub(super) enum Waited<T> {
    Came(T),
    CallerLeft,
    TimedOut,
}

/// Waits for a backend server while it watches whether the caller leaves.
pub(super) async fn wait<T>(
    caller: &mut HttpConn,
    limit: Span,
    work: impl Future<Output = T>,
) -> Waited<T> {
    tokio::select! {
        biased;
        done = timeout(Duration::from(limit), work) => match done {
            Ok(value) => Waited::Came(value),
            Err(_) => Waited::TimedOut,
        },
        () = caller.wait_gone(READ_AHEAD) => Waited::CallerLeft,
    }
}

/// Reads a whole body.
pub(super) async fn read_whole(answer: &mut Exchange) -> Result<Bytes, ConnError> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await? {
            BodyPiece::Data(data) => body.extend_from_slice(&data),
            _ => return Ok(body.freeze()),
        }
        if body.len() > WHOLE_LIMIT {
            return Err(ConnError::HeadTooLong);
        }
    }
}
