//! Tests of the parts of prompts that crash backend servers.

use oleander_balance::{
    BackendCrash, CLAIM_WAIT, PartId, PromptPart, ServiceId, SuspectId, SuspectSet, SuspectTable,
    SuspectVerdict,
};
use oleander_base::prelude::*;

const SERVICE: &str = "engines";
const START: MonoTime = MonoTime(1_000_000);
const SHARED: u64 = 1;
const CALLER: u64 = 2;
const CRASHING: u64 = 3;
const OTHER: u64 = 9;

fn at(ms: u64) -> MonoTime {
    START + Span::from_millis(ms)
}

/// The time that others have to clear a part after the crash that makes them enough.
const OBSERVED: Span = Span::from_secs(1);

/// Returns the parts that other requests may share of a prompt with these parts and one of its own.
fn ids(parts: &[u64]) -> Vec<SuspectId> {
    let part = |id: &u64| PromptPart {
        id: PartId(*id),
        tokens: 100,
    };
    let own = part(&u64::MAX);
    let parts: Vec<PromptPart> = parts.iter().map(part).chain([own]).collect();
    SuspectId::shared(SERVICE, &parts)
}

/// Returns a crash of a backend server of the service that had a request for long.
fn crash(backend: u64, at: MonoTime) -> BackendCrash {
    BackendCrash {
        service: ServiceId::of(SERVICE),
        backend,
        sent_at: START,
        at,
    }
}

/// Records a crash that becomes known at once.
fn record(table: &mut SuspectTable, ids: &[SuspectId], crash: BackendCrash) -> Vec<SuspectId> {
    table.record_crash(ids, crash, crash.at)
}

fn blocks(table: &mut SuspectTable, parts: &[u64], now: MonoTime) -> bool {
    table.refresh(now);
    table.check(&ids(parts), now) != SuspectVerdict::Sound
}

/// Returns a table that has seen `count` crashes on these parts, one each 400 ms, with other answers in
/// between, and the time of the last crash.
fn crashed(parts: &[u64], count: u64) -> (SuspectTable, MonoTime) {
    let mut table = SuspectTable::default();
    for number in 0..count {
        record(
            &mut table,
            &ids(parts),
            crash(100 + number, at(number * 400)),
        );
        table.record_answer(
            ServiceId::of(SERVICE),
            &ids(&[OTHER]),
            at(number * 400 + 200),
        );
    }
    (table, at((count - 1) * 400))
}

#[test]
fn a_part_is_quarantined_after_three_crashes_without_an_answer() {
    let (mut table, last) = crashed(&[SHARED, CRASHING], 2);
    assert!(!blocks(
        &mut table,
        &[SHARED, CRASHING],
        last + Span::from_secs(2)
    ));
    let (mut table, last) = crashed(&[SHARED, CRASHING], 3);
    table.record_answer(ServiceId::of(SERVICE), &ids(&[SHARED]), last);
    let later = last + Span::from_secs(2);
    assert!(blocks(&mut table, &[SHARED, CRASHING], later));
    assert!(
        !blocks(&mut table, &[SHARED, OTHER], later),
        "a sound request"
    );
}

#[test]
fn the_last_part_and_other_services_are_never_suspects() {
    let (mut table, last) = crashed(&[CRASHING], 5);
    let last = last + OBSERVED;
    table.refresh(last);
    let part = |id| PromptPart {
        id: PartId(id),
        tokens: 100,
    };
    let own = SuspectId::shared(SERVICE, &[part(OTHER), part(CRASHING)]);
    assert_eq!(table.check(&own, last), SuspectVerdict::Sound);
    let elsewhere = SuspectId::shared("others", &[part(CRASHING), part(OTHER)]);
    assert_eq!(table.check(&elsewhere, last), SuspectVerdict::Sound);
    assert!(blocks(&mut table, &[CRASHING], last));
}

#[test]
fn an_answer_that_begins_clears_a_part() {
    let (mut table, last) = crashed(&[CRASHING], 4);
    let last = last + OBSERVED;
    assert!(blocks(&mut table, &[CRASHING], last));
    table.record_answer(
        ServiceId::of(SERVICE),
        &ids(&[CRASHING]),
        last + Span::from_millis(1),
    );
    assert!(!blocks(
        &mut table,
        &[CRASHING],
        last + Span::from_millis(2)
    ));
}

#[test]
fn crashes_at_one_moment_count_once() {
    let mut table = SuspectTable::default();
    for backend in 0..18 {
        record(&mut table, &ids(&[SHARED]), crash(backend, at(backend / 2)));
    }
    table.record_answer(ServiceId::of(SERVICE), &ids(&[OTHER]), at(900));
    assert!(!blocks(&mut table, &[SHARED], at(2_000)));
}

#[test]
fn an_outage_in_which_no_answer_begins_quarantines_nothing() {
    let mut table = SuspectTable::default();
    for backend in 0..18 {
        record(
            &mut table,
            &ids(&[SHARED]),
            crash(backend, at(backend * 200)),
        );
    }
    assert!(!blocks(&mut table, &[SHARED], at(10_000)));
}

#[test]
fn a_part_that_only_shares_crashes_blocks_nothing_by_itself() {
    let (mut table, last) = crashed(&[CALLER, CRASHING], 4);
    // One request with the crashing part had another caller.
    record(&mut table, &ids(&[CRASHING]), crash(7, last));
    let later = last + OBSERVED;
    assert!(!blocks(&mut table, &[CALLER, OTHER], later));
    assert!(blocks(&mut table, &[CRASHING, OTHER], later));
    assert!(blocks(&mut table, &[CALLER, CRASHING], later));
}

#[test]
fn one_gateway_probes_after_a_quarantine_that_grows_with_each_crash() {
    let (mut table, last) = crashed(&[CRASHING], 3);
    let crashing = ids(&[CRASHING]);
    table.refresh(last + Span::from_secs(1));
    let probe = SuspectVerdict::Probe(crashing.clone());
    let over = last + Span::from_secs(60);
    assert_ne!(table.check(&crashing, last + Span::from_secs(59)), probe);
    assert_eq!(table.check(&crashing, over), probe);
    table.claim(&crashing, over);
    assert!(table.holds_claim(&crashing, over + CLAIM_WAIT));
    let later = over + Span::from_secs(1);
    assert_ne!(table.check(&crashing, later), probe, "one request only");
    record(&mut table, &crashing, crash(55, over));
    assert_ne!(table.check(&crashing, over + Span::from_secs(119)), probe);
    assert_eq!(table.check(&crashing, over + Span::from_secs(120)), probe);
}

// Guards against a probe from each of several gateways that have claimed it at the same time.
#[test]
fn one_of_the_gateways_that_claim_a_probe_at_once_keeps_the_claim() {
    let crashing = ids(&[CRASHING]);
    let (mut first, last) = crashed(&[CRASHING], 3);
    first.refresh(last + Span::from_secs(1));
    let quarantined = first.record(crashing[0], last).unwrap();
    let mut second = SuspectTable::new(1);
    second.merge(&quarantined, last);
    let over = last + Span::from_secs(60);
    first.claim(&crashing, over);
    second.claim(&crashing, over + Span::from_millis(1));
    let later = over + Span::from_millis(20);
    let claims = [&first, &second].map(|table| table.record(crashing[0], later).unwrap());
    first.merge(&claims[1], later);
    second.merge(&claims[0], later);
    assert!(first.holds_claim(&crashing, over + CLAIM_WAIT));
    assert!(!second.holds_claim(&crashing, over + CLAIM_WAIT));
}

// Guards against sound requests that stay blocked by a part that all parts that do crash occur with.
#[test]
fn a_part_whose_crashes_others_account_for_is_probed_within_seconds() {
    let (mut table, last) = crashed(&[SHARED, CRASHING], 2);
    for number in 0..2 {
        let crash = crash(200 + number, last + Span::from_millis(number * 60));
        record(&mut table, &ids(&[SHARED, CALLER]), crash);
    }
    let sound = ids(&[SHARED, OTHER]);
    let now = last + Span::from_secs(2);
    assert!(blocks(&mut table, &[SHARED, OTHER], now));
    assert_eq!(
        table.check(&sound, now),
        SuspectVerdict::Probe(ids(&[SHARED]))
    );
    let bad = table.check(&ids(&[SHARED, CRASHING]), now);
    assert!(matches!(bad, SuspectVerdict::Blocked(_)), "tells nothing");
    table.record_answer(ServiceId::of(SERVICE), &sound, now);
    assert!(!blocks(&mut table, &[SHARED, OTHER], now));
}

// Guards against probes each second of a part that does crash backend servers.
#[test]
fn two_probes_at_most_are_sent_before_the_quarantine_is_over() {
    let (mut table, mut now) = crashed(&[SHARED, CRASHING], 5);
    let sound = |part: u64| ids(&[SHARED, part]);
    for (part, delay_s) in [(20, 1), (21, 4)] {
        now = now + Span::from_secs(delay_s);
        table.refresh(now);
        let probe = SuspectVerdict::Probe(ids(&[SHARED]));
        assert_eq!(table.check(&sound(part), now), probe);
        table.claim(&ids(&[SHARED]), now);
        let probing = BackendCrash {
            sent_at: now,
            ..crash(now.0, now)
        };
        record(&mut table, &sound(part), probing);
    }
    for delay_s in [5, 60] {
        let verdict = table.check(&sound(22), now + Span::from_secs(delay_s));
        assert!(matches!(verdict, SuspectVerdict::Blocked(_)));
    }
}

#[test]
fn a_quarantine_that_nobody_probes_is_dropped_in_the_end() {
    let (mut table, last) = crashed(&[CRASHING], 3);
    table.refresh(last + Span::from_secs(1));
    assert!(table.prune(last + Span::from_secs(119)).is_empty());
    assert_eq!(table.prune(last + Span::from_secs(120)), ids(&[CRASHING]));
    assert!(table.is_empty());
}

// Guards against a quarantine that goes on for ever because each gateway drops it a little later than another one.
#[test]
fn a_dropped_quarantine_is_not_brought_back() {
    let (mut first, last) = crashed(&[CRASHING], 3);
    first.refresh(last + Span::from_secs(1));
    let told = last + Span::from_secs(119);
    let record = first.record(ids(&[CRASHING])[0], told).unwrap();
    let mut second = SuspectTable::default();
    assert!(second.merge(&record, told + Span::from_millis(5)));
    let over = last + Span::from_secs(120);
    first.prune(over);
    assert!(
        second
            .recent(Span::from_secs(5), over + Span::from_millis(5))
            .is_empty()
    );
    let late = second.record(ids(&[CRASHING])[0], over + Span::from_millis(10));
    assert!(!first.merge(&late.unwrap(), over + Span::from_millis(15)));
}

#[test]
fn a_gateway_that_started_after_the_crashes_takes_over_the_quarantine() {
    let (mut table, last) = crashed(&[CRASHING], 3);
    table.refresh(last + Span::from_secs(1));
    let now = last + Span::from_secs(30);
    let record = table.record(ids(&[CRASHING])[0], now).unwrap();
    let mut late = SuspectTable::default();
    let started = MonoTime(10);
    assert!(late.merge(&record, started));
    assert!(!late.merge(&record, started), "nothing new");
    let SuspectVerdict::Blocked(quarantine) = late.check(&ids(&[CRASHING]), started) else {
        panic!("it is sent");
    };
    assert_eq!(quarantine.crashes, 3);
    assert!(quarantine.time_left < Span::from_secs(31));
}

#[test]
fn an_older_report_does_not_bring_back_what_was_cleared() {
    let (mut table, last) = crashed(&[CRASHING], 3);
    table.refresh(last + Span::from_secs(1));
    let now = last + Span::from_secs(2);
    let older = table.record(ids(&[CRASHING])[0], now).unwrap();
    table.record_answer(ServiceId::of(SERVICE), &ids(&[CRASHING]), now);
    table.merge(&older, now);
    assert!(!blocks(&mut table, &[CRASHING], now));
    let cleared = table.record(ids(&[CRASHING])[0], now).unwrap();
    let (mut other, _) = crashed(&[CRASHING], 3);
    other.refresh(now);
    assert!(other.merge(&cleared, now));
    assert!(!blocks(&mut other, &[CRASHING], now));
}

// Guards against a part that others never hear of, because many innocent ones fill the message.
#[test]
fn the_part_with_the_most_crashes_is_told_first() {
    let (mut table, last) = crashed(&[CRASHING], 2);
    for part in 1_000..1_100 {
        record(
            &mut table,
            &ids(&[part]),
            crash(101, last + Span::from_millis(1)),
        );
    }
    let told = table.recent(Span::from_secs(5), last + Span::from_millis(2));
    assert_eq!(told[0], ids(&[CRASHING])[0]);
}

#[test]
fn a_table_stays_bounded_and_keeps_quarantined_parts() {
    let (mut table, last) = crashed(&[CRASHING], 3);
    table.refresh(last + Span::from_secs(1));
    for part in 1_000..2_000 {
        record(&mut table, &ids(&[part]), crash(part, last));
    }
    assert!(table.recent(Span::from_secs(9), last).len() <= 256);
    assert_eq!(
        table.recent(Span::from_secs(9), last)[0],
        ids(&[CRASHING])[0]
    );
}

// Guards against a part that gateways quarantine and release in turn, because one that was cleared of it has
// forgotten that among the many suspects of one moment.
#[test]
fn a_cleared_part_is_remembered_in_a_full_table() {
    let part = ids(&[SHARED]);
    let (mut first, last) = crashed(&[SHARED], 4);
    let later = last + OBSERVED;
    first.refresh(later);
    let quarantined = first.record(part[0], later).unwrap();
    let mut second = SuspectTable::default();
    second.merge(&quarantined, later);
    assert!(blocks(&mut second, &[SHARED], later));
    let answered = later + Span::from_millis(1);
    second.record_answer(ServiceId::of(SERVICE), &part, answered);
    for other in 1_000..2_000 {
        record(&mut second, &ids(&[other]), crash(other, answered));
    }
    let told = answered + Span::from_secs(1);
    second.merge(&first.record(part[0], told).unwrap(), told);
    assert!(!blocks(&mut second, &[SHARED], told));
}

// Guards against a part that gateways quarantine and release in turn, because each datagram makes the times of
// crashes and answers seem later than they were.
#[test]
fn news_of_a_cleared_part_comes_to_rest() {
    let part = ids(&[SHARED]);
    let (mut first, last) = crashed(&[SHARED], 4);
    first.refresh(last + Span::from_secs(1));
    let mut second = SuspectTable::default();
    second.merge(&first.record(part[0], last).unwrap(), last);
    let cleared_at = last + Span::from_millis(1);
    first.record_answer(ServiceId::of(SERVICE), &part, cleared_at);
    let mut news = 0;
    for round in 1..=20 {
        let [told, arrived] = [100, 150].map(|ms| last + Span::from_millis(round * 100 + ms));
        let records = [&first, &second].map(|table| table.record(part[0], told).unwrap());
        news += usize::from(second.merge(&records[0], arrived));
        news += usize::from(first.merge(&records[1], arrived));
        assert!(!blocks(&mut first, &[SHARED], arrived), "round {round}");
    }
    assert!(!blocks(&mut second, &[SHARED], last + Span::from_secs(9)));
    assert_eq!(news, 1, "the answer, once");
}

// Guards against news without end of a part that was cleared of more crashes than one message holds.
#[test]
fn news_of_many_cleared_crashes_comes_to_rest() {
    let part = ids(&[SHARED]);
    let mut tables = [SuspectTable::default(), SuspectTable::default()];
    for number in 0..40 {
        for (first, table) in [100, 1_000].into_iter().zip(&mut tables) {
            record(table, &part, crash(first + number, at(number * 10)));
            table.record_answer(ServiceId::of(SERVICE), &part, at(number * 10 + 5));
        }
    }
    let mut exchange = |now| {
        let records = [0, 1].map(|index: usize| tables[index].record(part[0], now).unwrap());
        let news = tables[0].merge(&records[1], now);
        tables[1].merge(&records[0], now) || news
    };
    assert!(exchange(at(500)));
    for round in 1..20 {
        assert!(!exchange(at(500 + round * 10)), "round {round}");
    }
}

// Guards against a quarantine that a gateway takes over although it knows that few of the crashes are left.
#[test]
fn a_quarantine_of_cleared_crashes_is_not_taken_over() {
    let (mut first, last) = crashed(&[SHARED], 4);
    first.refresh(last + Span::from_secs(1));
    let older = first.record(ids(&[SHARED])[0], last).unwrap();
    let (mut second, _) = crashed(&[SHARED], 3);
    second.record_answer(
        ServiceId::of(SERVICE),
        &ids(&[SHARED]),
        last + Span::from_millis(1),
    );
    record(
        &mut second,
        &ids(&[SHARED]),
        crash(900, last + Span::from_millis(2)),
    );
    second.merge(&older, last + Span::from_secs(1));
    assert!(!blocks(&mut second, &[SHARED], last + Span::from_secs(2)));
}

/// Returns the suspects of a request with these parts.
fn request(digest: u64, parts: &[u64]) -> SuspectSet {
    let part = |id: &u64| PromptPart {
        id: PartId(*id),
        tokens: 100,
    };
    let parts: Vec<PromptPart> = parts.iter().chain([&u64::MAX]).map(part).collect();
    SuspectSet::of(SERVICE, RequestDigest(digest), &parts)
}

fn blocks_request(table: &mut SuspectTable, set: &SuspectSet, now: MonoTime) -> bool {
    table.refresh(now);
    table.check(set.all(), now) != SuspectVerdict::Sound
}

/// Returns a table that has seen `count` crashes of one request, one each 100 ms, with answers on its
/// parts in between, and the time of the last crash.
fn crashed_by(crashing: &SuspectSet, count: u64) -> (SuspectTable, MonoTime) {
    let mut table = SuspectTable::default();
    for number in 0..count {
        record(
            &mut table,
            crashing.all(),
            crash(100 + number, at(number * 100)),
        );
        table.record_answer(crashing.service, crashing.parts(), at(number * 100 + 50));
    }
    (table, at((count - 1) * 100))
}

// Guards against repeats of a request that begins to answer before each crash, so that its parts are sound.
#[test]
fn a_request_is_quarantined_after_three_crashes_without_a_whole_answer() {
    let crashing = request(1, &[SHARED]);
    let (mut table, last) = crashed_by(&crashing, 2);
    assert!(!blocks_request(&mut table, &crashing, last));
    let (mut table, last) = crashed_by(&crashing, 3);
    assert!(blocks_request(&mut table, &crashing, last));
    let other = request(2, &[SHARED]);
    assert!(!blocks_request(&mut table, &other, last), "another request");
}

#[test]
fn a_whole_answer_clears_a_request() {
    let crashing = request(1, &[SHARED]);
    let (mut table, last) = crashed_by(&crashing, 3);
    table.record_answer(crashing.service, crashing.request(), last);
    assert!(!blocks_request(&mut table, &crashing, last));
}

// Guards against a quarantine of requests that waited at each of the backend servers that another one crashed.
#[test]
fn a_request_that_only_shares_crashes_is_not_blocked() {
    let crashing = request(1, &[SHARED]);
    let waiting = request(2, &[SHARED, OTHER]);
    let (mut table, last) = crashed_by(&crashing, 4);
    for backend in 100..103 {
        record(
            &mut table,
            waiting.all(),
            crash(backend, at((backend - 100) * 100)),
        );
    }
    assert!(!blocks_request(&mut table, &waiting, last));
    assert!(blocks_request(&mut table, &crashing, last));
}

/// Returns a table with crashes of one request, each by when it was sent and when its backend server crashed.
fn crashed_at(crashing: &SuspectSet, crashes: &[(u64, u64)]) -> SuspectTable {
    let mut table = SuspectTable::default();
    for (backend, (sent_ms, crashed_ms)) in (0..).zip(crashes) {
        let crash = BackendCrash {
            sent_at: at(*sent_ms),
            ..crash(backend, at(*crashed_ms))
        };
        record(&mut table, crashing.all(), crash);
    }
    table.record_answer(crashing.service, &[], at(crashes[crashes.len() - 1].1));
    table
}

// Guards against a request that crashes several backend servers in no time as it is sent on, and counts for one.
#[test]
fn crashes_after_sends_that_follow_each_other_are_separate() {
    let crashing = request(1, &[]);
    let mut table = crashed_at(&crashing, &[(1, 2), (3, 4), (200, 201)]);
    assert!(blocks_request(&mut table, &crashing, at(201)));
    let mut table = crashed_at(&crashing, &[(1, 2), (3, 4), (5, 6), (7, 8)]);
    assert!(!blocks_request(&mut table, &crashing, at(9)), "one moment");
}

// Guards against an outage that ends backend servers in turn while they all have a request.
#[test]
fn crashes_of_requests_that_were_sent_before_the_first_are_one() {
    let crashing = request(1, &[]);
    let mut table = crashed_at(&crashing, &[(1, 100), (2, 110), (3, 120), (4, 155)]);
    assert!(!blocks_request(&mut table, &crashing, at(155)));
}

// Guards against a part of many requests that is blocked because its crashes become known late, after links
// that were cut, and all at once.
#[test]
fn crashes_that_become_known_late_leave_the_same_time_to_clear_a_part() {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        let crash = crash(100 + number, at(number * 400));
        table.record_crash(&ids(&[SHARED]), crash, at(3_000));
    }
    table.record_answer(ServiceId::of(SERVICE), &ids(&[OTHER]), at(3_001));
    assert!(!blocks(&mut table, &[SHARED], at(3_999)));
    assert!(blocks(&mut table, &[SHARED], at(4_000)));
}

// Guards against a request whose route leads to several services, each of which sees a part of its crashes.
#[test]
fn crashes_at_several_services_count_together() {
    let crashing = request(1, &[]);
    let mut table = SuspectTable::default();
    for (number, service) in ["engines", "others", "engines"].into_iter().enumerate() {
        let service = ServiceId::of(service);
        let crash = BackendCrash {
            service,
            ..crash(number as u64, at(number as u64 * 100))
        };
        record(&mut table, crashing.all(), crash);
        table.record_answer(service, &[], at(number as u64 * 100 + 50));
    }
    assert!(blocks_request(&mut table, &crashing, at(300)));
}
