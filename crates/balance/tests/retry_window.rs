//! The retry budget summed over all gateways.

use oleander_balance::{RetryLimits, RetryWindow};
use oleander_base::prelude::*;
use proptest::prelude::*;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    burst: 52.0,
    window: Span::from_secs(10),
};

#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: MonoTime,
    is_extra: bool,
}

/// Returns whether every window that ends with an arrival stays within the bound of [`LIMITS`].
fn is_within_bound(arrivals: &[Arrival]) -> bool {
    arrivals.iter().all(|last| {
        let in_window =
            |arrival: &&Arrival| arrival.at <= last.at && last.at.since(arrival.at) < LIMITS.window;
        let window: Vec<&Arrival> = arrivals.iter().filter(in_window).collect();
        let extras = window.iter().filter(|arrival| arrival.is_extra).count();
        let requests = window.len() - extras;
        extras as f64 <= LIMITS.ratio * requests as f64 + LIMITS.burst
    })
}

#[test]
fn the_burst_is_split_between_the_gateways() {
    let mut window = RetryWindow::default();
    let now = MonoTime(5_000_000);
    let taken = (0..100)
        .filter(|_| window.try_take(&LIMITS, 6, now))
        .count();
    assert!((5..=8).contains(&taken), "{taken}");
}

#[test]
fn extra_sends_expire_after_a_window() {
    let mut window = RetryWindow::default();
    let now = MonoTime(5_000_000);
    while window.try_take(&LIMITS, 6, now) {}
    assert!(!window.try_take(&LIMITS, 6, now + Span::from_secs(9)));
    assert!(window.try_take(&LIMITS, 6, now + Span::from_secs(11)));
}

proptest! {
    /// Every engine fails, and each gateway tries to repeat every request. The sum over all gateways
    /// stays within the bound in any sliding window.
    #[test]
    fn the_sum_over_all_gateways_holds_in_any_window(
        seeds in proptest::collection::vec((0u64..40_000, 0usize..6), 50..600),
    ) {
        let mut windows: Vec<RetryWindow> = (0..6).map(|_| RetryWindow::default()).collect();
        let mut order = seeds;
        order.sort_unstable();
        let mut arrivals = Vec::new();
        for (millis, gateway) in order {
            let at = MonoTime(millis * 1_000);
            windows[gateway].count_request(&LIMITS, at);
            arrivals.push(Arrival { at, is_extra: false });
            for _ in 0..3 {
                if windows[gateway].try_take(&LIMITS, 6, at) {
                    arrivals.push(Arrival { at, is_extra: true });
                }
            }
        }
        prop_assert!(is_within_bound(&arrivals));
    }
}
