//! The streamed body of an answer, with an idle timeout.

use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::util::{Bytes, BytesMut, Stream};
use tokio::time::{Instant, Sleep, sleep};

use crate::error::{AttemptError, AttemptFailure, Result};

/// Streams the body of an answer; dropping it before its end closes the connection.
pub struct AttemptBody {
    payload: Payload,
    is_unframed: bool,
    idle: Duration,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

impl AttemptBody {
    pub(crate) fn new(payload: Payload, idle: Duration) -> Self {
        Self {
            payload,
            is_unframed: false,
            idle,
            last: Instant::now(),
            timer: Box::pin(sleep(idle)),
        }
    }

    /// Creates the body of an answer with neither a length nor chunks; reading it is an error.
    pub(crate) fn unframed(idle: Duration) -> Self {
        Self {
            is_unframed: true,
            ..Self::new(Payload::None, idle)
        }
    }

    /// Returns the next chunk, or none after the end of the body.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads the whole body and returns an error if it has more than `limit` bytes.
    pub async fn read(mut self, limit: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > limit {
                return Err(AttemptError::may_have_run(AttemptFailure::TooLarge {
                    limit,
                }));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        if self.is_unframed {
            let failure = AttemptFailure::Unframed;
            return Poll::Ready(Some(Err(AttemptError::may_have_run(failure))));
        }
        if let Poll::Ready(chunk) = Pin::new(&mut self.payload).poll_next(cx) {
            self.last = Instant::now();
            return Poll::Ready(chunk.map(|chunk| chunk.map_err(|error| body_error(&error))));
        }
        // The timer is reset only when it fires, not for each chunk.
        while self.timer.as_mut().poll(cx).is_ready() {
            let due = self.last + self.idle;
            if Instant::now() >= due {
                let failure = AttemptFailure::IdleTimeout;
                return Poll::Ready(Some(Err(AttemptError::may_have_run(failure))));
            }
            self.timer.as_mut().reset(due);
        }
        Poll::Pending
    }
}

impl fmt::Debug for AttemptBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptBody")
            .field("idle", &self.idle)
            .finish_non_exhaustive()
    }
}

fn body_error(error: &PayloadError) -> AttemptError {
    AttemptError::may_have_run(AttemptFailure::Broken(error.to_string()))
}
