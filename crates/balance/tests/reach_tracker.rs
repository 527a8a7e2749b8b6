//! Tests of the evidence on whether backend servers are in reach.

use oleander_balance::{
    BackendKey, ProbeCandidate, ProbeRound, ReachFailure, ReachTracker, pick_probes,
};
use oleander_base::prelude::*;

const START: MonoTime = MonoTime(1_000_000);

/// Probes of a gateway that reaches other gateways and no backend server.
const NONE_REACHED: ProbeRound = ProbeRound {
    reached_backend: false,
    reached_gateway: Some(true),
};

fn at(ms: u64) -> MonoTime {
    START + Span::from_millis(ms)
}

#[test]
fn a_failed_connection_raises_a_doubt_that_a_new_one_settles() {
    let mut tracker = ReachTracker::default();
    let mut fail = |ms| tracker.on_failure(BackendKey(1), ReachFailure::Connection, 18, at(ms));
    assert!(fail(0));
    assert!(!fail(10), "it is in doubt already");
    assert!(tracker.has_failed(BackendKey(1)));
    assert_eq!(tracker.on_connected(at(20)), None);
    assert!(!tracker.is_doubtful(18, at(20)));
}

// Guards against a gateway that doubts its links because one engine is silent for a moment.
#[test]
fn the_silence_of_one_backend_server_is_no_doubt_unless_it_is_the_only_one() {
    let silent = |backends, keys: &[u32]| {
        let mut tracker = ReachTracker::default();
        for key in keys {
            tracker.on_failure(BackendKey(*key), ReachFailure::Silence, backends, at(0));
        }
        tracker.is_doubtful(backends, at(1))
    };
    assert!(!silent(18, &[1, 1]));
    assert!(silent(18, &[1, 2]));
    assert!(silent(1, &[1]));
}

#[test]
fn a_cut_lasts_until_a_connection_is_made() {
    let mut tracker = ReachTracker::default();
    tracker.on_failure(BackendKey(1), ReachFailure::Connection, 18, at(0));
    assert!(!tracker.is_cut_off());
    assert!(tracker.on_probes(NONE_REACHED, at(300)));
    assert!(!tracker.on_probes(NONE_REACHED, at(900)));
    assert!(tracker.is_doubtful(18, at(60_000)), "a cut does not expire");
    assert_eq!(tracker.on_connected(at(1_300)), Some(Span::from_secs(1)));
    assert!(!tracker.is_cut_off());
}

/// The time that a probe may take, in milliseconds.
const PROBE_MS: u64 = 300;

/// Returns the result of probes that take a number of milliseconds; `None` stands for those that never connect.
fn round(backend_ms: Option<u64>, gateway_ms: Option<u64>) -> ProbeRound {
    let is_in_time = |ms: Option<u64>| ms.is_some_and(|ms| ms <= PROBE_MS);
    ProbeRound {
        reached_backend: is_in_time(backend_ms),
        reached_gateway: Some(is_in_time(gateway_ms)),
    }
}

// Guards against a slow gateway, or one whose link is full, that takes itself for cut off and relays its requests.
#[test]
fn a_gateway_that_is_only_slow_is_not_cut_off() {
    let is_cut_off = |round: ProbeRound| {
        let mut tracker = ReachTracker::default();
        tracker.on_failure(BackendKey(1), ReachFailure::Connection, 144, at(0));
        tracker.on_probes(round, at(PROBE_MS)) && tracker.is_cut_off()
    };
    for slow_ms in [301, 1_200, 20_000] {
        assert!(
            !is_cut_off(round(Some(slow_ms), Some(slow_ms))),
            "{slow_ms} ms"
        );
    }
    assert!(!is_cut_off(round(None, None)), "cut off from all");
    assert!(!is_cut_off(round(Some(290), None)), "cut off from gateways");
    assert!(
        is_cut_off(round(None, Some(20))),
        "backend servers are silent or refuse"
    );
    let alone = ProbeRound {
        reached_backend: false,
        reached_gateway: None,
    };
    assert!(is_cut_off(alone), "there is no other gateway");
}

#[test]
fn old_failures_raise_no_doubt() {
    let mut tracker = ReachTracker::default();
    tracker.on_failure(BackendKey(1), ReachFailure::Connection, 18, at(0));
    assert!(!tracker.is_doubtful(18, at(1_500)));
}

/// Returns 144 backend servers, each fourth in the own data centre.
fn candidates(seed: u64) -> Vec<ProbeCandidate> {
    let candidate = |key: u32| ProbeCandidate {
        key: BackendKey(key),
        is_near: key.is_multiple_of(4),
        has_failed: false,
        order: (u64::from(key) + seed).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    (0..144).map(candidate).collect()
}

// Guards against a gateway that counts as cut off although it reaches all backend servers of its data centre.
#[test]
fn half_of_the_probes_stay_in_the_own_data_centre() {
    for seed in 0..1_000 {
        let probes = pick_probes(candidates(seed), 8);
        let near = probes.iter().filter(|key| key.0.is_multiple_of(4));
        assert!(near.count() >= 4, "seed {seed}");
        assert!(pick_probes(candidates(seed), 1)[0].0.is_multiple_of(4));
    }
}

#[test]
fn probes_go_to_those_first_that_have_not_failed() {
    let mut candidates = candidates(7);
    for candidate in &mut candidates {
        candidate.has_failed = candidate.key.0 >= 16;
    }
    let probes = pick_probes(candidates.clone(), 8);
    assert_eq!(probes.len(), 8);
    assert!(probes.iter().all(|key| key.0 < 16), "{probes:?}");
    candidates.retain(|candidate| !candidate.is_near);
    assert_eq!(pick_probes(candidates, 8).len(), 8, "none is near");
}
