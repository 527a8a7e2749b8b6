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

/// What the HTTP client leaves to be checked at the end of a body.
#[derive(Debug)]
pub(crate) enum BodyEnd {
    /// Nothing is left.
    Checked,
    /// So many more bytes have to come. The HTTP client takes the end of an HTTP/1.0 connection for the end of the
    /// body, whatever length the answer states.
    Length(u64),
}

impl BodyEnd {
    /// Counts bytes of the body.
    fn count(&mut self, bytes: usize) {
        if let Self::Length(left) = self {
            *left = left.saturating_sub(bytes as u64);
        }
    }
}

/// Streams the body of an answer; dropping it before its end closes the connection.
pub struct AttemptBody {
    payload: Payload,
    end: BodyEnd,
    is_unframed: bool,
    idle: Duration,
    last: Instant,
    timer: Pin<Box<Sleep>>,
}

impl AttemptBody {
    pub(crate) fn new(payload: Payload, end: BodyEnd, idle: Duration) -> Self {
        Self {
            payload,
            end,
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
            ..Self::new(Payload::None, BodyEnd::Checked, idle)
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
            return match chunk {
                Some(Ok(chunk)) => {
                    self.end.count(chunk.len());
                    Poll::Ready(Some(Ok(chunk)))
                }
                Some(Err(error)) => Poll::Ready(Some(Err(body_error(&error)))),
                None => self.poll_end(),
            };
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

    /// Checks that the end of the connection is the end of the body.
    fn poll_end(&self) -> Poll<Option<Result<Bytes>>> {
        match self.end {
            BodyEnd::Checked | BodyEnd::Length(0) => Poll::Ready(None),
            BodyEnd::Length(_) => Poll::Ready(Some(Err(AttemptError::may_have_run(
                AttemptFailure::Truncated,
            )))),
        }
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
