//! Tests of backend servers that leave or ask for backoff.

mod common;

use common::{choose_plain, entry};
use oleander_balance::{BackendKey, FleetTable};
use oleander_base::prelude::*;

const SERVICE: &str = "desk";
const START: MonoTime = MonoTime(1_000_000);
const BACKOFF: Span = Span::from_secs(2);

fn fleet(count: usize) -> (FleetTable, Vec<BackendKey>) {
    let mut fleet = FleetTable::default();
    for number in 0..count {
        fleet.upsert(entry(&format!("i-{number}"), SERVICE, 6));
    }
    let keys = fleet.service_keys(SERVICE).to_vec();
    (fleet, keys)
}

fn choose(fleet: &mut FleetTable, now: MonoTime) -> Option<BackendKey> {
    choose_plain(fleet, SERVICE, now)
}

// Guards against a leaving backend server that is chosen because it is the last one.
#[test]
fn a_leaving_backend_server_is_never_chosen() {
    let (mut fleet, keys) = fleet(1);
    assert!(fleet.get_mut(keys[0]).unwrap().state.mark_leaving());
    assert!(!fleet.get_mut(keys[0]).unwrap().state.mark_leaving());
    assert_eq!(choose(&mut fleet, START), None);
    fleet.upsert(entry("i-0", SERVICE, 8));
    assert_eq!(
        choose(&mut fleet, START),
        None,
        "the registry does not undo it"
    );
    fleet.remove("i-0");
    fleet.upsert(entry("i-0", SERVICE, 8));
    assert!(choose(&mut fleet, START).is_some(), "another incarnation");
}

// Guards against sends during a backoff, and against all waiting requests at its end.
#[test]
fn after_a_backoff_requests_come_one_by_one_until_one_succeeds() {
    let (mut fleet, keys) = fleet(1);
    let key = keys[0];
    let state = &mut fleet.get_mut(key).unwrap().state;
    state.back_off(BACKOFF, START);
    state.back_off(Span::from_millis(1), START);
    state.succeeded(6, START);
    let end = START + BACKOFF;
    assert_eq!(fleet.first_opening(SERVICE, START), Some(end));
    assert_eq!(choose(&mut fleet, START + Span::from_millis(1_999)), None);
    assert_eq!(fleet.first_opening(SERVICE, end), None);
    assert_eq!(choose(&mut fleet, end), Some(key));
    let state = &mut fleet.get_mut(key).unwrap().state;
    let _send = state.sent(0.0, false, end);
    assert!(!state.is_open(end + Span::from_millis(10)), "one probe");
    assert!(
        state.is_open(end + Span::from_millis(200)),
        "the next probe"
    );
    state.succeeded(6, end + Span::from_millis(210));
    let _send = state.sent(0.0, false, end + Span::from_millis(220));
    assert!(state.is_open(end + Span::from_millis(221)));
}

// Guards against a backend server in backoff that is chosen before others are considered.
#[test]
fn others_serve_during_a_backoff() {
    let (mut fleet, keys) = fleet(3);
    for key in &keys[..2] {
        fleet.get_mut(*key).unwrap().state.back_off(BACKOFF, START);
    }
    for number in 0..50 {
        let now = START + Span::from_millis(number);
        assert_eq!(choose(&mut fleet, now), Some(keys[2]));
    }
}
