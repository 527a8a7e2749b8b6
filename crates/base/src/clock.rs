//! The monotonic clock of the process.

use std::sync::LazyLock;
use std::time::Instant;

use crate::time::MonoTime;

static PROCESS_START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the instant at which [`monotonic_now`] is zero.
pub fn process_origin() -> Instant {
    *PROCESS_START
}

/// Reads the monotonic clock; drivers call this and pass the result to decision code.
///
/// The clock advances while a signal stops the process, so a resumed process sees the gap.
pub fn monotonic_now() -> MonoTime {
    let elapsed = process_origin().elapsed();
    MonoTime(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
