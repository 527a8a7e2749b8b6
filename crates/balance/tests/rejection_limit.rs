//! Tests of the rejections that brittle backend servers survive, as gateways know them.

mod common;

use common::{choose_plain, entry};
use oleander_balance::{Brittleness, FleetTable, RejectionLimit};
use oleander_base::prelude::*;

const SERVICE: &str = "desk";
const START: MonoTime = MonoTime(1_000_000);

fn at(ms: u64) -> MonoTime {
    START + Span::from_millis(ms)
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
