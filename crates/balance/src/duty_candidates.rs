//! How often each gateway checks whether the duties towards the provider are vacant.
//!
//! All gateways together check at one rate, whatever their number, so that a vacancy is found about as
//! soon in every fleet and the number of calls to the store does not grow with it. Each gateway checks at
//! the times of a Poisson process: gateways need not agree on them, and the checks of all together are a
//! Poisson process as well (docs/design/duties.md).

use oleander_base::prelude::*;

/// The checks of all gateways together, in checks a second.
const FLEET_CHECKS_PER_S: f64 = 2.0;

/// The longest pause between two checks, as a multiple of the gateway's mean pause. Without a bound, the
/// exponential distribution has pauses that would leave a small fleet without a holder for many seconds.
const MAX_MEAN_PAUSES: f64 = 4.0;

/// Returns how long a gateway waits before its next check.
///
/// `capacities` are those of all gateways that may check, this one's included; see
/// [`passing_capacity`](crate::passing_capacity), which counts in powers of two. A gateway's rate is in
/// proportion to its capacity plus one: weak machines check less often, but a fleet with few strong ones does
/// not depend on these alone. `random` is from 0 up to 1.
pub fn next_duty_check(own: u32, capacities: impl Iterator<Item = u32>, random: f64) -> Span {
    let weight = |capacity: u32| f64::from(capacity) + 1.0;
    let total: f64 = capacities.map(weight).sum();
    let share = weight(own) / total.max(weight(own));
    let mean_s = 1.0 / (FLEET_CHECKS_PER_S * share);
    let pauses = -(1.0 - random.clamp(0.0, 1.0)).ln();
    let pause_s = mean_s * pauses.min(MAX_MEAN_PAUSES);
    Span((pause_s * Span::from_secs(1).0 as f64) as u64)
}
