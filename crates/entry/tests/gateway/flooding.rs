//! Answers that go on without end.

use oleander_standin::users::{EngineReply, SeenRequest};

/// How an engine floods its connection.
#[derive(Debug, Clone, Copy)]
pub enum FloodKind {
    /// A stream's event without end.
    Event,
    /// Comment lines of a stream.
    Comments,
    /// Interim answers before the head.
    InterimAnswers,
    /// The trailers of a stream in chunks.
    Trailers,
    /// A head.
    Head,
    /// A body without a frame.
    Body,
    /// Answers to other requests before the expected one.
    LateAnswers,
}

impl FloodKind {
    /// Returns the reply that floods the answer to a request.
    pub fn reply(self, request: &SeenRequest) -> EngineReply {
        let line = |text: &str| text.repeat(4_096 / text.len()).into_bytes();
        let after = |mut head: Vec<u8>, text: &str| {
            head.extend(text.as_bytes());
            head
        };
        match self {
            Self::Event => EngineReply::Flood(
                after(request.unframed_stream_head(), "id: 1\ndata: "),
                line("endless "),
            ),
            Self::Comments => {
                EngineReply::Flood(request.unframed_stream_head(), line(": still here\n"))
            }
            Self::InterimAnswers => {
                EngineReply::Flood(Vec::new(), line("HTTP/1.1 100 Continue\r\n\r\n"))
            }
            Self::Trailers => {
                EngineReply::Flood(after(request.stream_head(), "0\r\n"), line("X-More: 1\r\n"))
            }
            Self::Head => {
                EngineReply::Flood(b"HTTP/1.1 200 OK\r\nX-More: ".to_vec(), line("endless "))
            }
            Self::LateAnswers => {
                let late = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n";
                EngineReply::Flood(Vec::new(), line(late))
            }
            Self::Body => EngineReply::Flood(request.unframed_stream_head(), line("endless ")),
        }
    }
}
