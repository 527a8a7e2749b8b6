//! A request body that records when it is handed to the connection.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};

use ntex::http::body::{BodySize, MessageBody};
use ntex::util::Bytes;

/// Records whether the body of one request has been handed to the connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct SendFlag(Rc<Cell<bool>>);

impl SendFlag {
    /// Returns whether the connection has taken the body.
    pub(crate) fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Holds a body of known size and its send flag.
///
/// The HTTP client polls the body only once it has a connection and has flushed the head. The flag
/// is set at that moment, before the first byte of the body is returned.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    content: Option<Bytes>,
    size: u64,
    flag: SendFlag,
}

impl TrackedBody {
    pub(crate) fn new(content: Bytes, flag: SendFlag) -> Self {
        Self {
            size: content.len() as u64,
            content: Some(content),
            flag,
        }
    }
}

impl MessageBody for TrackedBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.size)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.flag.0.set(true);
        Poll::Ready(self.content.take().map(Ok))
    }
}
