//! The one clock of a process.

use std::sync::LazyLock;
use std::time::Instant;

use crate::time::MonoTime;

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the moment that [`monotonic_now`] counts from.
pub fn process_origin() -> Instant {
    *PROCESS_START
}

/// Reads the monotonic clock; drivers call this and pass the result to decision code.
///
/// The clock goes on while the process is stopped by a signal, so a paused process that goes on
/// sees the gap.
pub fn monotonic_now() -> MonoTime {
    let elapsed = process_origin().elapsed();
    MonoTime(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
