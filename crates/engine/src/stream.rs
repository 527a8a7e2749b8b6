//! The answer of one call.

use ntex::util::Bytes;
use oleander_attempt::{AttemptBody, AttemptResponse};
use serde::Deserialize;

use crate::error::{EngineError, EngineFailure, Result};
use crate::event::{EngineEvent, EventParser, FinishReason, RawEvent, finish_reason};

/// The largest answer that is not streamed, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

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

#[derive(Debug)]
enum StreamState {
    /// Events are coming.
    Streaming { body: AttemptBody },
    /// The answer comes in one piece.
    Whole { body: AttemptBody },
    /// Nothing more comes.
    Ended,
}

/// The answer of one call; dropping it before its end cancels the engine's work.
#[derive(Debug)]
pub struct EngineStream {
    state: StreamState,
    parser: EventParser,
    complete: bool,
}

impl EngineStream {
    pub(crate) fn new(response: AttemptResponse) -> Self {
        let streamed = response
            .header("content-type")
            .is_some_and(|kind| kind.starts_with("text/event-stream"));
        let body = response.body;
        let state = if streamed {
            StreamState::Streaming { body }
        } else {
            StreamState::Whole { body }
        };
        Self {
            state,
            parser: EventParser::default(),
            complete: false,
        }
    }

    /// Returns the next event, none after the whole answer, or an error.
    ///
    /// After an error or the end nothing more comes.
    pub async fn next(&mut self) -> Option<Result<EngineEvent>> {
        match std::mem::replace(&mut self.state, StreamState::Ended) {
            StreamState::Ended => None,
            StreamState::Whole { body } => Some(self.read_whole(body).await),
            StreamState::Streaming { body } => self.next_streamed(body).await,
        }
    }

    /// Returns whether the engine has marked the end of the answer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    async fn next_streamed(&mut self, mut body: AttemptBody) -> Option<Result<EngineEvent>> {
        loop {
            match self.parser.next_event() {
                Some(RawEvent::Data(payload)) => {
                    self.state = StreamState::Streaming { body };
                    return Some(Ok(EngineEvent::streamed(payload)));
                }
                Some(RawEvent::End) => {
                    self.complete = true;
                    // Reading on to the end of the body lets the connection be used again.
                    let _ = body.next().await;
                    return None;
                }
                None => {}
            }
            match body.next().await {
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

    async fn read_whole(&mut self, body: AttemptBody) -> Result<EngineEvent> {
        let payload = body.read(ANSWER_LIMIT).await?;
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

/// Returns the error of an answer that is not what the interface describes.
pub(crate) fn malformed(reason: &str) -> EngineError {
    EngineError::may_have_run(EngineFailure::Malformed(reason.to_owned()))
}

/// Reads the body of an error answer as far as it is of use.
pub(crate) async fn read_error(body: AttemptBody) -> Bytes {
    const ERROR_LIMIT: usize = 64 << 10;
    body.read(ERROR_LIMIT).await.unwrap_or_default()
}
