//! Waits for conditions, with generous time limits.

use std::time::{Duration, Instant};

/// Time after which a wait fails.
pub const LIMIT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
const PERIOD: Duration = Duration::from_millis(50);

/// Waits until a condition holds; panics with `what` if it does not hold in time.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(PERIOD);
    }
}
