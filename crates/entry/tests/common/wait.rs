//! Waits on conditions with generous limits.

use std::time::{Duration, Instant};

/// How long any condition may take.
pub const LIMIT: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const PERIOD: Duration = Duration::from_millis(50);

/// Waits until a condition holds, and says what was waited for if it does not.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(PERIOD);
    }
}
