//! Tests the check of the tier promise on event logs.

use oleander_base::prelude::*;
use oleander_load::{TierCheck, TierReport};

const WINDOW: Span = Span::from_millis(1);

fn check(lines: &[(u64, &str, &str, u8)]) -> TierReport {
    let mut log = String::new();
    for (at_us, event, request, tier) in lines {
        log.push_str(&format!(
            "{{\"at_us\":{at_us},\"pool\":\"p\",\"event\":\"{event}\",\
             \"request\":\"{request}\",\"tier\":{tier}}}\n"
        ));
    }
    let mut check = TierCheck::new();
    check.add_log(&log);
    check.run(&[], WINDOW)
}

#[test]
fn shedding_the_lowest_tier_first_keeps_the_promise() {
    let report = check(&[
        (1, "queue", "a", 0),
        (2, "queue", "b", 2),
        (3, "shed", "b", 2),
        (4, "shed", "a", 0),
    ]);
    assert_eq!((report.sheds, report.break_count()), (2, 0));
}

#[test]
fn a_queued_lower_tier_breaks_the_promise() {
    let report = check(&[
        (1, "queue", "a", 1),
        (2, "queue", "b", 2),
        (3, "shed", "a", 1),
    ]);
    assert_eq!((report.queued_below, report.granted_below), (1, 0));
    assert_eq!(report.breaks.len(), 1);
}

#[test]
fn a_lower_tier_granted_instead_breaks_the_promise() {
    let in_place = check(&[
        (1, "queue", "b", 2),
        (5, "queue", "a", 1),
        (900, "grant", "b", 2),
        (1_000, "shed", "a", 1),
    ]);
    assert_eq!((in_place.queued_below, in_place.granted_below), (0, 1));
    let long_before = check(&[
        (1, "queue", "b", 2),
        (5, "queue", "a", 1),
        (900, "grant", "b", 2),
        (9_000, "shed", "a", 1),
    ]);
    assert_eq!(long_before.break_count(), 0);
    let before_arrival = check(&[
        (1, "queue", "b", 2),
        (900, "grant", "b", 2),
        (950, "queue", "a", 1),
        (1_000, "shed", "a", 1),
    ]);
    assert_eq!(before_arrival.break_count(), 0);
}

#[test]
fn logs_of_several_dispatchers_are_merged_by_time() {
    let line = |at: u64, event: &str, request: &str, tier: u8| {
        format!(
            "{{\"at_us\":{at},\"pool\":\"p\",\"event\":\"{event}\",\
             \"request\":\"{request}\",\"tier\":{tier}}}"
        )
    };
    let mut check = TierCheck::new();
    check.add_log(&line(5, "shed", "a", 0));
    check.add_log(&line(2, "queue", "b", 3));
    check.add_log("no event");
    let report = check.run(&[], WINDOW);
    assert_eq!((report.queued_below, report.bad_lines), (1, 1));
}
