//! Shares the processor between connections: each one yields after a bounded amount of work, long bodies
//! together are read no faster than the link could bring them, and a client that sends requests without waiting
//! for their answers is slowed down.

use std::cell::Cell;
use std::time::Duration;

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use tokio::task::yield_now;

/// The bytes after which a connection yields. A round of a hundred such turns takes about a millisecond of
/// a core, and ten times as long on the weakest machines.
const TURN_BYTES: usize = 16 * 1024;

/// The work of handling one piece of any length, expressed in bytes. Tiny chunks cost far more processor time for each
/// byte than long ones.
const PIECE_COST_BYTES: usize = 256;

/// The bounds of the rate of all long bodies together, in bytes a second. Reading a megabyte takes some tenths of
/// a millisecond of a core, so that these take up to a few hundredths of a core.
const MIN_BULK_BYTES_PER_S: f64 = 16e6;
const MAX_BULK_BYTES_PER_S: f64 = 125e6;

/// The shortest wait of a long body for its share, which is the resolution of the timer.
const MIN_BULK_WAIT: Span = Span::from_millis(1);

/// The number of requests that a client may send in a row, each before the answer to the one before, without being
/// slowed down.
const PIPELINE_BURST: u32 = 32;

/// By how many the count of pipelined requests in a row is reduced by a request that is not pipelined.
const PIPELINE_RELIEF: u32 = 8;

/// The shortest time between two requests of a client that is slowed down.
const MIN_PIPELINE_INTERVAL: Span = Span::from_millis(20);

/// The time between two requests of all clients that are slowed down, which leaves most of the processor to
/// the others on the weakest machines.
const SHARED_PIPELINE_INTERVAL: Span = Span(500);

/// The work that a connection has done since it last yielded.
#[derive(Debug, Default)]
pub(crate) struct WorkTurn {
    bytes: usize,
}

impl WorkTurn {
    /// Counts a piece of work.
    pub(crate) fn count(&mut self, bytes: usize) {
        self.bytes += bytes.max(PIECE_COST_BYTES);
    }

    /// Yields if the turn is used up.
    pub(crate) async fn yield_if_used(&mut self) {
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            yield_now().await;
        }
    }

    /// Waits for its share of the rate of long bodies if the turn is used up.
    pub(crate) async fn share_if_used(&mut self, rate: &BulkRate, link_mbps: Option<f64>) {
        if self.bytes >= TURN_BYTES {
            let bytes = std::mem::take(&mut self.bytes);
            rate.take(bytes, link_mbps).await;
        }
    }
}

/// The rate at which all long bodies together are read.
#[derive(Debug, Default)]
pub(crate) struct BulkRate {
    /// When the bytes that were read so far would have arrived at the bounded rate.
    next: Cell<MonoTime>,
}

impl BulkRate {
    /// Waits until the bytes that were read would have arrived at the bounded rate.
    async fn take(&self, bytes: usize, link_mbps: Option<f64>) {
        let now = monotonic_now();
        let start = self.next.get().max(now);
        let took = Span((bytes as f64 * 1e6 / bulk_bytes_per_s(link_mbps)) as u64);
        self.next.set(start + took);
        let wait = start.since(now);
        if wait < MIN_BULK_WAIT {
            yield_now().await;
        } else {
            tokio::time::sleep(Duration::from(wait)).await;
        }
    }
}

/// Returns the rate of all long bodies together, in bytes a second: twice that of the link, so that a link is
/// never slowed down.
fn bulk_bytes_per_s(link_mbps: Option<f64>) -> f64 {
    let bytes_per_s = link_mbps.map_or(MAX_BULK_BYTES_PER_S, |rate| 2.0 * rate * 1e6 / 8.0);
    bytes_per_s.clamp(MIN_BULK_BYTES_PER_S, MAX_BULK_BYTES_PER_S)
}

/// The number of connections that are slowed down at this moment.
#[derive(Debug, Default)]
pub(crate) struct SlowedClients(Cell<u32>);

impl SlowedClients {
    /// Returns the number.
    pub(crate) fn count(&self) -> u32 {
        self.0.get()
    }
}

struct SlowedGuard<'a>(&'a Cell<u32>);

impl Drop for SlowedGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The pace of one connection's requests.
#[derive(Debug, Default)]
pub(crate) struct PipelinePace {
    in_a_row: u32,
}

impl PipelinePace {
    /// Counts a request; `is_pipelined` tells that it came before the answer to the one before was written.
    pub(crate) fn count(&mut self, is_pipelined: bool) {
        self.in_a_row = match is_pipelined {
            true => (self.in_a_row + 1).min(2 * PIPELINE_BURST),
            false => self.in_a_row.saturating_sub(PIPELINE_RELIEF),
        };
    }

    /// Waits before the next pipelined request.
    pub(crate) async fn wait(&self, slowed: &SlowedClients) {
        if self.in_a_row < PIPELINE_BURST {
            yield_now().await;
            return;
        }
        slowed.0.set(slowed.0.get() + 1);
        let _guard = SlowedGuard(&slowed.0);
        let shared = Span(SHARED_PIPELINE_INTERVAL.0 * u64::from(slowed.0.get()));
        tokio::time::sleep(Duration::from(shared.max(MIN_PIPELINE_INTERVAL))).await;
    }
}
