//! HTTP/1.1 connections that the gateway manages itself.
//!
//! Heads and chunk sizes are parsed by the `httparse` library. The connections are not those of an
//! HTTP library, because the gateway has to know what such a library hides: whether a request left
//! this process before its connection broke, whether bytes follow a complete answer, which request
//! a late answer belongs to, and that a caller has disconnected while its request waits
//! (docs/PLATFORM.md, "Connections").

mod body;
mod bounds;
mod conn;
mod head;

pub use body::{BodyError, BodyFraming, BodyPiece, BodyReader, push_chunk, push_last_chunk};
pub use bounds::{
    ByteBound, MAX_ANSWER_BYTES, MAX_ANSWER_HEAD_BYTES, MAX_COMMENT_BYTES, MAX_CONTROL_BYTES,
    MAX_EVENT_BYTES, MAX_INTERIM_ANSWERS, MAX_LATE_ANSWERS, MAX_LATE_BYTES, MAX_SHORT_ANSWER_BYTES,
    MAX_USAGE_ANSWER_BYTES, MAX_VALUE_ANSWER_BYTES,
};
pub use conn::{
    ConnError, HeadLimits, HttpConn, IdleState, SocketBuffers, TcpTimeouts, open_socket,
};
pub use head::{AnswerHead, HeadError, HeadScan, HeaderBlock, HeaderView, RequestHead};
