//! Which stream is given up first when the memory for what callers have not taken yet runs out.
//!
//! A caller that reads slowly must not hold up its engine, so a gateway reads on and holds what the caller has not
//! taken. When the bound on all that it holds is reached, it gives up the stream that would keep its memory longest, at
//! the rate at which its caller has read so far. A caller that takes nothing would keep it for ever; of equal ones the
//! stream that holds more is given up. A stream that holds little is never given up, because that would free next to
//! nothing (docs/design/engine-memory.md).

use oleander_base::prelude::*;

/// What a stream may hold without being given up, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// The time without progress after which a caller counts as one that takes nothing.
const STALL_TIME: Span = Span::from_secs(5);

/// What a gateway holds of one stream.
#[derive(Debug, Clone, Copy)]
pub struct HeldStream {
    /// The bytes that the caller has not taken.
    pub held: usize,
    /// The bytes that it has taken.
    pub taken: u64,
    /// When the first of these bytes could have been taken.
    pub begun_at: MonoTime,
    /// When it last took any.
    pub progress_at: MonoTime,
}

impl HeldStream {
    /// Returns whether the caller counts as one that takes nothing.
    pub fn is_stalled(&self, now: MonoTime) -> bool {
        now.since(self.progress_at) >= STALL_TIME
    }

    /// Returns how long the caller needs for what is held, at its rate so far, in seconds.
    fn drain_seconds(&self, now: MonoTime) -> f64 {
        if self.is_stalled(now) || self.taken == 0 {
            return f64::INFINITY;
        }
        let elapsed = now.since(self.begun_at).as_secs_f64();
        self.held as f64 * elapsed / self.taken as f64
    }
}

/// Returns the index of the stream that is given up first, if any holds more than may always be kept.
pub fn first_given_up(streams: &[HeldStream], now: MonoTime) -> Option<usize> {
    let order = |index: &usize| {
        let stream = &streams[*index];
        (stream.drain_seconds(now), stream.held)
    };
    (0..streams.len())
        .filter(|index| streams[*index].held > KEPT_BYTES)
        .max_by(|a, b| order(a).partial_cmp(&order(b)).expect("no order is NaN"))
}
