//! Admission and refusal of requests under particular load patterns.

use oleander_balance::{Admission, AdmissionQuery, RequestTraits, ServiceTraffic, admit};
use oleander_base::prelude::*;
use proptest::prelude::*;

const NOW: MonoTime = MonoTime(20_000_000);

fn query(first_wait_ms: u64) -> AdmissionQuery {
    AdmissionQuery {
        first_wait: Span::from_millis(first_wait_ms),
        first_target: Span::from_millis(2_000),
        time_left: Span::from_millis(12_000),
        route_time: Span::from_millis(12_000),
        is_least_urgent: true,
        has_queue: true,
    }
}

/// For some seconds, twice as many long prompts arrive as the engines can read. Requests that would
/// be late anyway are refused at once, with the time after which to retry.
#[test]
fn in_an_overload_a_new_request_is_refused_at_once_with_a_retry_time() {
    assert_eq!(admit(&query(2_000)), Admission::Admit);
    let later = Admission::RetryAfter(Span::from_millis(2_000));
    assert_eq!(admit(&query(4_000)), later);
}

#[test]
fn a_retry_takes_precedence_over_new_requests() {
    let retry = AdmissionQuery {
        time_left: Span::from_millis(9_000),
        ..query(4_000)
    };
    assert_eq!(admit(&retry), Admission::Admit);
}

#[test]
fn no_request_is_refused_without_a_queue() {
    let quiet = AdmissionQuery {
        has_queue: false,
        ..query(9_000)
    };
    assert_eq!(admit(&quiet), Admission::Admit);
}

/// Three kinds of requests are mixed, and backend servers start the more urgent ones first.
#[test]
fn only_the_least_urgent_kind_is_refused_and_waits_for_the_whole_queue() {
    let mut traffic = ServiceTraffic::default();
    for index in 0..100 {
        let urgency = match index % 10 {
            0..=2 => 3,
            3..=4 => 4,
            _ => 5,
        };
        let request = RequestTraits {
            parts: &[],
            prompt_tokens: 17_000,
            urgency,
        };
        traffic.record(&request, NOW);
    }
    let least = [3, 4, 5].map(|urgency| traffic.is_least_urgent(urgency));
    assert_eq!(least, [false, false, true]);
    let ahead = [3, 4, 5].map(|urgency| traffic.ahead_share(urgency));
    assert!(ahead[0] < ahead[1] && ahead[1] < 0.3 && ahead[2] == 1.0);
    let urgent = AdmissionQuery {
        is_least_urgent: false,
        ..query(9_000)
    };
    assert_eq!(admit(&urgent), Admission::Admit);
}

proptest! {
    #[test]
    fn a_longer_wait_never_turns_a_refusal_into_a_send(wait in 0u64..20_000, more in 0u64..5_000, left in 100u64..12_000) {
        let at = |first_wait_ms| {
            admit(&AdmissionQuery { time_left: Span::from_millis(left), ..query(first_wait_ms) })
        };
        if at(wait) != Admission::Admit {
            prop_assert_ne!(at(wait + more), Admission::Admit);
        }
    }
}
