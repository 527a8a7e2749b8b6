//! A monotonic clock that goes on while the machine is suspended.

use oleander_base::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine's start, with the time that it was suspended.
///
/// The usual monotonic clock stands still during a suspension, so a process that counts a lease
/// on it would believe in a lease that lapsed long ago.
pub fn boot_time() -> MonoTime {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
    MonoTime(micros)
}
