//! Reads a monotonic clock that advances while the machine is suspended.

use oleander_base::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine was started, including the time for which it was suspended.
///
/// The usual monotonic clock stops during a suspension, so a process that measured a lease with it
/// would treat a lease as held long after it expired.
pub fn boot_time() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    MonoTime(micros)
}
