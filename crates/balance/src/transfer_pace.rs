//! The least average rate at which a client sends a body or takes an answer.

use oleander_base::prelude::*;

/// The least average rate, in bytes a second: a quarter of the 64 kB a second of a slow link that is to be
/// served.
const MIN_BYTES_PER_S: u64 = 16 * 1024;

/// The time that a transfer has in addition to its time at the least rate. It covers the longest pause that a
/// client may make, and the start of a connection.
const GRACE_TIME: Span = Span::from_secs(4);

/// The pace of one transfer.
#[derive(Debug, Clone, Copy)]
pub struct TransferPace {
    started: MonoTime,
}

impl TransferPace {
    /// Starts to measure a transfer.
    pub fn begin(now: MonoTime) -> Self {
        Self { started: now }
    }

    /// Returns how long a transfer of which this many bytes are done may go on without another byte.
    pub fn time_left(&self, bytes: usize, now: MonoTime) -> Span {
        let earned = Span(bytes as u64 * 1_000_000 / MIN_BYTES_PER_S);
        (self.started + GRACE_TIME + earned).since(now)
    }
}
