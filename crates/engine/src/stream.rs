//! The answer to one call, streamed or in one piece.

use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use oleander_attempt::{AttemptBody, AttemptResponse};
use serde::Deserialize;
use tokio::time::timeout;

use crate::error::{EngineError, EngineFailure, Result};
use crate::event::{EngineEvent, EventParser, FinishReason, RawEvent, finish_reason};

/// How long the client waits for the end of the body after the end mark.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest unstreamed answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

#[derive(Debug, Deserialize)]
struct WholeAnswer {
    #[serde(default)]
    usage: AnswerUsage,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerUsage {
    #[serde(default)]
    completion_tokens: u32,
}

/// The state of an answer's transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    /// The answer arrives as server-sent events.
    Streaming,
    /// The answer arrives as one JSON body.
    Unstreamed,
    /// The end mark has arrived; the rest of the body is read so that the connection can be
    /// reused.
    Draining,
    /// The answer has ended or failed.
    Ended,
}

/// The answer to one call; dropping it before its end cancels the engine's work.
#[derive(Debug)]
pub struct EngineStream {
    state: StreamState,
    body: AttemptBody,
    parser: EventParser,
    buffer: BytesMut,
    complete: bool,
}

impl EngineStream {
    pub(crate) fn new(response: AttemptResponse) -> Self {
        let streamed = response
            .header("content-type")
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        let state = if streamed {
            StreamState::Streaming
        } else {
            StreamState::Unstreamed
        };
        Self {
            state,
            body: response.body,
            parser: EventParser::default(),
            buffer: BytesMut::new(),
            complete: false,
        }
    }

    /// Returns whether the answer arrives as events.
    pub(crate) fn is_streamed(&self) -> bool {
        self.state != StreamState::Unstreamed
    }

    /// Returns the next event or an error, or none after the end of the answer.
    ///
    /// After an error or the end it returns none. The method is cancel safe: dropping its future
    /// loses no event.
    pub async fn next(&mut self) -> Option<Result<EngineEvent>> {
        let outcome = match self.state {
            StreamState::Streaming => self.next_streamed().await,
            StreamState::Unstreamed => Some(self.read_unstreamed().await),
            StreamState::Draining => self.drain().await,
            StreamState::Ended => None,
        };
        if matches!(outcome, Some(Err(_))) {
            self.state = StreamState::Ended;
        }
        outcome
    }

    /// Returns whether the engine has marked the end of the answer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    async fn next_streamed(&mut self) -> Option<Result<EngineEvent>> {
        loop {
            match self.parser.next_event() {
                Some(RawEvent::Data(payload)) => {
                    return Some(Ok(EngineEvent::streamed(payload)));
                }
                Some(RawEvent::End) => {
                    self.complete = true;
                    self.state = StreamState::Draining;
                    return self.drain().await;
                }
                None => {}
            }
            match self.body.next().await {
                Some(Ok(piece)) => {
                    if self.parser.push(piece).is_err() {
                        return Some(Err(malformed("an event is too large")));
                    }
                }
                Some(Err(error)) => return Some(Err(error.into())),
                None => return Some(Err(EngineError::may_have_run(EngineFailure::Truncated))),
            }
        }
    }

    async fn drain(&mut self) -> Option<Result<EngineEvent>> {
        let _ = timeout(DRAIN_TIMEOUT, self.body.next()).await;
        self.state = StreamState::Ended;
        None
    }

    async fn read_unstreamed(&mut self) -> Result<EngineEvent> {
        while let Some(piece) = self.body.next().await {
            let piece = piece?;
            if self.buffer.len() + piece.len() > MAX_ANSWER_BYTES {
                return Err(malformed("the answer is too large"));
            }
            self.buffer.extend_from_slice(&piece);
        }
        self.state = StreamState::Ended;
        let payload = std::mem::take(&mut self.buffer).freeze();
        let answer: WholeAnswer =
            serde_json::from_slice(&payload).map_err(|error| malformed(&error.to_string()))?;
        self.complete = true;
        Ok(EngineEvent {
            tokens: answer.usage.completion_tokens,
            finish: finish_reason(&payload).or(Some(FinishReason::Other)),
            payload,
        })
    }
}

/// Creates the error of an answer that does not follow the engine's interface.
pub(crate) fn malformed(reason: &str) -> EngineError {
    EngineError::may_have_run(EngineFailure::Malformed(reason.to_owned()))
}

/// Reads the body of an error response, or returns an empty one if that fails or the body
/// exceeds the limit.
pub(crate) async fn read_error(body: AttemptBody) -> Bytes {
    const MAX_ERROR_BYTES: usize = 64 << 10;
    body.read(MAX_ERROR_BYTES).await.unwrap_or_default()
}
