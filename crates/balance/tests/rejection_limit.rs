//! Tests of the rejections that brittle backend servers survive, as gateways know them.

mod common;

use common::{choose_plain, entry};
use oleander_balance::{BackendKey, Brittleness, FleetTable, RejectionLimit};
use oleander_base::prelude::*;

const SERVICE: &str = "desk";
const START: MonoTime = MonoTime(1_000_000);

fn at(ms: u64) -> MonoTime {
    START + Span::from_millis(ms)
}

fn threshold(fleet: &FleetTable, key: BackendKey) -> Option<u32> {
    fleet
        .get(key)
        .expect("it is there")
        .state
        .rejection_limit
        .threshold()
}

#[test]
fn a_sturdy_backend_server_has_no_limit() {
    let mut limit = RejectionLimit::default();
    assert!(limit.name(Brittleness::Brittle(1), START));
    limit.mark_full(at(9_000));
    assert_eq!(limit.full_until(at(2)), Some(at(9_000)));
    assert!(!limit.name(Brittleness::Unknown, at(3)));
    assert_eq!(limit.threshold(), Some(1));
    assert!(limit.name(Brittleness::Sturdy, at(4)));
    assert!(
        !limit.name(Brittleness::Brittle(1), at(3)),
        "an older answer"
    );
    assert_eq!(limit.threshold(), None);
    assert_eq!(limit.full_until(at(5)), None);
}

#[test]
fn rejections_of_one_moment_are_the_same_news() {
    let mut limit = RejectionLimit::default();
    assert!(limit.record_rejection(at(10)));
    assert!(!limit.record_rejection(at(60)), "the same news");
    assert!(limit.record_rejection(at(161)));
}

// Guards against all gateways sending at once to a brittle backend server that is back as another process.
#[test]
fn a_backend_server_that_is_back_counts_as_brittle_before_its_first_answer() {
    let mut fleet = FleetTable::default();
    for id in ["i-0", "i-1"] {
        fleet.upsert(entry(id, SERVICE, 6));
    }
    let keys = fleet.service_keys(SERVICE).to_vec();
    assert!(fleet.name_brittleness(keys[0], Brittleness::Brittle(5), at(1)));
    assert_eq!(threshold(&fleet, keys[1]), Some(5), "it has said nothing");
    fleet.remove("i-0");
    fleet.upsert(entry("i-0", SERVICE, 6));
    let back = fleet.key_of("i-0").expect("it is back");
    assert_eq!(threshold(&fleet, back), Some(5));
    let limit = &fleet.get(back).expect("it is there").state.rejection_limit;
    assert_eq!(limit.own_threshold(), None, "it has not said so itself");
    fleet.upsert(entry("other", "engines", 6));
    let other = fleet.key_of("other").expect("it is there");
    assert_eq!(threshold(&fleet, other), None, "another service");
}

#[test]
fn its_own_word_counts_for_a_backend_server_and_the_newest_for_those_without() {
    let mut fleet = FleetTable::default();
    for id in ["i-0", "i-1", "i-2"] {
        fleet.upsert(entry(id, SERVICE, 6));
    }
    let keys = fleet.service_keys(SERVICE).to_vec();
    fleet.name_brittleness(keys[0], Brittleness::Brittle(5), at(10));
    fleet.name_brittleness(keys[1], Brittleness::Sturdy, at(20));
    assert_eq!(threshold(&fleet, keys[0]), Some(5));
    assert_eq!(threshold(&fleet, keys[1]), None);
    assert_eq!(threshold(&fleet, keys[2]), None);
    fleet.name_brittleness(keys[0], Brittleness::Brittle(5), at(15));
    assert_eq!(threshold(&fleet, keys[2]), None, "an older answer");
    fleet.name_brittleness(keys[0], Brittleness::Brittle(4), at(30));
    assert_eq!(threshold(&fleet, keys[2]), Some(4));
}

// Guards against requests that are sent into a queue which may be closed before they run: an entry that tells of more
// slots than there are.
#[test]
fn the_slots_that_a_backend_server_reports_count_if_they_are_fewer() {
    let mut fleet = FleetTable::default();
    fleet.upsert(entry("i-0", SERVICE, 6));
    let key = fleet.key_of("i-0").expect("it is there");
    let state = &mut fleet.get_mut(key).expect("it is there").state;
    assert_eq!(state.usable_slots(), 6);
    state.set_reported_slots(2);
    assert_eq!(state.usable_slots(), 2);
    state.set_reported_slots(8);
    assert_eq!(state.usable_slots(), 6);
}

#[test]
fn a_full_backend_server_is_not_chosen_while_it_is_brittle() {
    let mut fleet = FleetTable::default();
    fleet.upsert(entry("i-0", SERVICE, 6));
    let key = fleet.key_of("i-0").expect("it is there");
    fleet.name_brittleness(key, Brittleness::Brittle(2), START);
    let state = &mut fleet.get_mut(key).expect("it is there").state;
    state.rejection_limit.mark_full(at(30));
    assert_eq!(choose_plain(&mut fleet, SERVICE, at(29)), None);
    assert_eq!(fleet.first_opening(SERVICE, at(29)), Some(at(30)));
    assert_eq!(choose_plain(&mut fleet, SERVICE, at(30)), Some(key));
}
