//! What a caller received, attempt by attempt.

use std::time::Duration;

/// The kind of a caller's request, which decides what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may be resumed.
    Digest,
    /// A stream that runs once.
    Draft,
    /// A call that may be repeated.
    Lookup,
    /// A call that runs once.
    Publish,
}

impl Kind {
    /// Returns the first segment of the paths of this kind.
    pub fn route(self) -> &'static str {
        match self {
            Self::Digest => "digest",
            Self::Draft => "draft",
            Self::Lookup => "lookup",
            Self::Publish => "publish",
        }
    }

    /// Returns whether answers of this kind are streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Digest | Self::Draft)
    }

    /// Returns whether a request of this kind may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Digest | Self::Lookup)
    }
}

/// An event as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The id of the event.
    pub id: u64,
    /// The name of the request that the event says it belongs to.
    pub name: String,
    /// The number that the event's data names.
    pub number: u64,
    /// The software version of the engine that wrote the event.
    pub version: String,
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer was received up to the end that its framing marks.
    Complete,
    /// The connection ended, or fell silent, before that.
    Broken,
    /// The caller closed the connection in the middle.
    Left,
    /// No connection could be opened.
    Refused,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    /// The index of the gateway.
    pub gateway: usize,
    /// The id of the last event that the caller had before.
    pub from: u64,
    /// The status of the answer, or 0 if there was none.
    pub status: u16,
    /// The value of `Server-Signature`.
    pub signature: Option<String>,
    /// The value of the answer's `Attempt-Id`.
    pub answered_id: Option<String>,
    /// The whole events of a stream.
    pub events: Vec<Event>,
    /// The body of an answer that is no stream, and the bytes of a stream that are no event.
    pub body: String,
    pub end: End,
    pub lasted: Duration,
}

/// All attempts of a caller for one request.
#[derive(Debug, Clone)]
pub struct Trace {
    pub name: String,
    pub kind: Kind,
    pub attempts: Vec<Attempt>,
}

impl Trace {
    /// Returns whether the caller has the whole answer.
    pub fn is_complete(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.status == 200 && attempt.end == End::Complete)
    }
}
