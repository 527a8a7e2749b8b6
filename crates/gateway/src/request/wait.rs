//! Waits on a backend server that end when the caller disconnects.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oleander_base::prelude::*;
use tokio::time::timeout;

use super::RequestRun;
use crate::core::GatewayCore;
use crate::exchange::Exchange;
use crate::held_bytes::HeldBytes;
use crate::http::{BodyPiece, ByteBound, ConnError, HttpConn, MAX_ANSWER_BYTES};

/// The limit on bytes read ahead from a caller while its request is served, which is the longest head.
const READ_AHEAD: usize = 16 * 1024;

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

impl RequestRun<'_> {
    /// Waits like [`wait`], at most until the stopping gateway gives requests in flight their final answers. A stream
    /// that has begun has no final answer but its end, so its waits go on.
    pub(super) async fn wait_or_stop<T>(
        &mut self,
        limit: Span,
        work: impl Future<Output = T>,
    ) -> WaitOutcome<T> {
        if self.is_head_sent {
            return wait(self.caller, limit, work).await;
        }
        tokio::select! {
            biased;
            waited = wait(self.caller, limit, work) => waited,
            () = self.core.shutdown.wait_requests_end() => WaitOutcome::TimedOut,
        }
    }
}

/// Reads a body completely.
pub(super) async fn read_to_end(
    core: &GatewayCore,
    answer: &mut Exchange,
) -> Result<Bytes, ConnError> {
    let mut body = BytesMut::new();
    let mut held = HeldBytes::open(core);
    loop {
        match answer.next().await? {
            BodyPiece::Data(data) => body.extend_from_slice(&data),
            _ => return Ok(body.freeze()),
        }
        if body.len() > MAX_ANSWER_BYTES {
            return Err(ConnError::OverBound(ByteBound::Answer));
        }
        held.grow_to(body.len()).map_err(ConnError::OverBound)?;
    }
}
