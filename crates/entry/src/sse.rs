//! Streamed answers as HTTP bodies of server-sent events.
//!
//! An event's id has the form `NUMBER.TOKENS`. The number is the position at which a reconnecting
//! caller continues in a kept answer; the token count lets another entry VM resume the answer if
//! the one that held it is gone. A failed stream ends with an `error` event and a broken
//! connection, so that it never looks complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures_util::Stream;
use ntex::util::{BufMut, Bytes, BytesMut};
use oleander_caller::CallerError;

use crate::answer::{AnswerEnd, AnswerEvent, AnswerReader, ReadItem};

/// The last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// A position in an answer, as written in an event id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventPosition {
    /// The number of the last event received.
    pub number: u64,
    /// The number of tokens up to and including that event.
    pub tokens: u32,
}

impl EventPosition {
    /// Parses an event id.
    pub fn parse(text: &str) -> Option<Self> {
        let (number, tokens) = text.trim().split_once('.')?;
        Some(Self {
            number: number.parse().ok()?,
            tokens: tokens.parse().ok()?,
        })
    }
}

/// A body of server-sent events.
#[derive(Debug)]
pub struct EventBody {
    reader: AnswerReader,
    pending_failure: Option<CallerError>,
    done: bool,
}

impl EventBody {
    /// Creates the body that reads from `reader`.
    pub fn new(reader: AnswerReader) -> Self {
        Self {
            reader,
            pending_failure: None,
            done: false,
        }
    }
}

impl Stream for EventBody {
    type Item = Result<Bytes, CallerError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(error) = self.pending_failure.take() {
            return Poll::Ready(Some(Err(error)));
        }
        if self.done {
            return Poll::Ready(None);
        }
        match Pin::new(&mut self.reader).poll_next(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(ReadItem::Event(event))) => Poll::Ready(Some(Ok(event_text(&event)))),
            Poll::Ready(Some(ReadItem::End(AnswerEnd::Whole))) => {
                self.done = true;
                Poll::Ready(Some(Ok(Bytes::from_static(DONE))))
            }
            Poll::Ready(Some(ReadItem::End(AnswerEnd::Failed(error)))) => {
                let text = format!("event: error\ndata: {}\n\n", error.to_json());
                self.pending_failure = Some(error);
                Poll::Ready(Some(Ok(Bytes::from(text))))
            }
            Poll::Ready(None) => Poll::Ready(None),
        }
    }
}

fn event_text(event: &AnswerEvent) -> Bytes {
    let mut text = BytesMut::with_capacity(event.data.len() + 40);
    text.put_slice(format!("id: {}.{}\ndata: ", event.number, event.tokens).as_bytes());
    text.put_slice(&event.data);
    text.put_slice(b"\n\n");
    text.freeze()
}
