//! The bounds on bytes that other processes may send without end.
//!
//! A process in trouble may send bytes that never complete what they belong to. Each bound limits
//! what is held or skipped of that; a send that passes one counts as broken (docs/PLATFORM.md,
//! "Bytes without end").

use thiserror::Error;

/// The longest head of an answer, in bytes.
pub const MAX_ANSWER_HEAD_BYTES: usize = 32 * 1024;

/// The greatest number of interim answers before an answer.
pub const MAX_INTERIM_ANSWERS: usize = 16;

/// The greatest number of late answers, to earlier requests on a connection, before the expected answer.
pub const MAX_LATE_ANSWERS: usize = 16;

/// The most bytes of the bodies of late answers before the expected answer.
pub const MAX_LATE_BYTES: usize = 1024 * 1024;

/// The longest event of a stream, with the comments before it, in bytes. An event may repeat a whole answer.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The longest run of comments before an event, in bytes.
pub const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// The most trailers of one body, in bytes.
pub(super) const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// The longest answer that is held before it is delivered, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The longest body of an answer that may list the whole registry, in bytes. A gateway reads one such answer at a
/// time.
pub const MAX_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// The longest body of an answer with one key of the key-value store, or one page of a few keys, in bytes.
pub const MAX_VALUE_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The longest body of another gateway's answer with its counts, in bytes. Several are read at once.
pub const MAX_USAGE_ANSWER_BYTES: usize = 256 * 1024;

/// The longest body of an answer that only confirms a call, in bytes.
pub const MAX_SHORT_ANSWER_BYTES: usize = 64 * 1024;

/// A bound that a send has passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ByteBound {
    /// [`MAX_ANSWER_HEAD_BYTES`].
    #[error("the head is longer than {MAX_ANSWER_HEAD_BYTES} bytes")]
    Head,
    /// [`MAX_INTERIM_ANSWERS`].
    #[error("the interim answers are longer than {MAX_INTERIM_ANSWERS} heads")]
    InterimAnswers,
    /// [`MAX_LATE_ANSWERS`] or [`MAX_LATE_BYTES`].
    #[error(
        "the late answers are longer than {MAX_LATE_ANSWERS} answers or {MAX_LATE_BYTES} bytes"
    )]
    LateAnswers,
    /// [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    Event,
    /// [`MAX_COMMENT_BYTES`].
    #[error("the comments before an event are longer than {MAX_COMMENT_BYTES} bytes")]
    Comments,
    /// [`MAX_TRAILER_BYTES`].
    #[error("the trailers are longer than {MAX_TRAILER_BYTES} bytes")]
    Trailers,
    /// [`MAX_ANSWER_BYTES`].
    #[error("the answer is longer than {MAX_ANSWER_BYTES} bytes")]
    Answer,
    /// The bound on an answer of the key-value store, the provider or another gateway.
    #[error("the answer is longer than {max_bytes} bytes")]
    Control {
        /// The bound for its kind of call, in bytes.
        max_bytes: usize,
    },
    /// What is left of the memory for all answers together.
    #[error("the answers held at once are longer than their part of the memory")]
    HeldAnswers,
}

impl ByteBound {
    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::InterimAnswers => "interim-answers",
            Self::LateAnswers => "late-answers",
            Self::Event => "event",
            Self::Comments => "comments",
            Self::Trailers => "trailers",
            Self::Answer => "answer",
            Self::Control { .. } => "control",
            Self::HeldAnswers => "held-answers",
        }
    }
}
