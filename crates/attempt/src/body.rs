//! The streamed body of an answer, with an idle timeout.

use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::util::{Bytes, BytesMut, Stream};
use tokio::time::{Instant, Sleep, sleep};

use crate::error::{AttemptError, AttemptFailure, Result};
use crate::process_watch::ProcessWatch;

/// The check at the end of a body that the HTTP client leaves to its user.
pub(crate) enum BodyEnd {
    /// Nothing is left.
    Checked,
    /// So many more bytes have to come. The HTTP client takes the end of an HTTP/1.0 connection for the end of the
    /// body, whatever length the answer states.
    Length(u64),
    /// The server's process has to outlive the answer, which ends with its connection.
    Process(ProcessWatch),
    /// This tells whether it has.
    Outlived(Pin<Box<dyn Future<Output = bool>>>),
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
        if let BodyEnd::Outlived(outlived) = &mut self.end {
            let has_outlived = ready!(outlived.as_mut().poll(cx));
            self.payload = Payload::None;
            self.end = BodyEnd::Checked;
            return Poll::Ready(process_end(has_outlived));
        }
        if let Poll::Ready(chunk) = Pin::new(&mut self.payload).poll_next(cx) {
            self.last = Instant::now();
            return match chunk {
                Some(Ok(chunk)) => {
                    self.end.count(chunk.len());
                    Poll::Ready(Some(Ok(chunk)))
                }
                Some(Err(error)) => Poll::Ready(Some(Err(body_error(&error)))),
                None => self.poll_end(cx),
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
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        match std::mem::replace(&mut self.end, BodyEnd::Checked) {
            BodyEnd::Checked | BodyEnd::Length(0) => Poll::Ready(None),
            BodyEnd::Length(_) => {
                let failure = AttemptFailure::Truncated;
                Poll::Ready(Some(Err(AttemptError::may_have_run(failure))))
            }
            BodyEnd::Process(watch) => {
                self.end = BodyEnd::Outlived(Box::pin(watch.has_outlived()));
                self.poll_next(cx)
            }
            outlived @ BodyEnd::Outlived(_) => {
                self.end = outlived;
                self.poll_next(cx)
            }
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

/// Returns the end of a body whose end is the end of its connection.
fn process_end(has_outlived: bool) -> Option<Result<Bytes>> {
    let failure = AttemptError::may_have_run(AttemptFailure::ProcessEnded);
    (!has_outlived).then_some(Err(failure))
}

fn body_error(error: &PayloadError) -> AttemptError {
    AttemptError::may_have_run(AttemptFailure::Broken(error.to_string()))
}
