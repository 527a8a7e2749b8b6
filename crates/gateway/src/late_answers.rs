//! Skips late answers to earlier requests, which come on a kept connection before the expected answer.

use crate::core::GatewayCore;
use crate::exchange::{SendError, over_bound, unanswered};
use crate::http::{BodyPiece, BodyReader, ByteBound, HttpConn, MAX_LATE_ANSWERS, MAX_LATE_BYTES};

/// The late answers that came before the expected one.
#[derive(Debug, Default)]
pub(crate) struct SkippedAnswers {
    count: usize,
    bytes: usize,
}

impl SkippedAnswers {
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Reads one more late answer and drops it.
    pub(crate) async fn skip(
        &mut self,
        core: &GatewayCore,
        conn: &mut HttpConn,
        mut reader: BodyReader,
    ) -> Result<(), SendError> {
        self.count += 1;
        loop {
            if self.count > MAX_LATE_ANSWERS || self.bytes > MAX_LATE_BYTES {
                return Err(over_bound(core, ByteBound::LateAnswers));
            }
            let piece = reader.next(&mut conn.buffer);
            match piece.map_err(|error| unanswered(&error))? {
                BodyPiece::Data(data) => self.bytes += data.len(),
                BodyPiece::End => return Ok(()),
                BodyPiece::NeedsMore => conn.fill().await.map_err(|error| unanswered(&error))?,
            }
        }
    }
}
