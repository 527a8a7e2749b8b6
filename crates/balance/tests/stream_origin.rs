//! Tests of the origins of streams and of the versions of services.

mod common;

use std::sync::Arc;

use common::{NoIdleConnections, entry};
use oleander_balance::{
    BackendEntry, ChoiceInput, FleetTable, LatencyModel, ORIGIN_RETENTION, OriginTable,
    ServiceTraffic, StreamId, UnregisteredProcesses, VersionHistory, VersionId, VersionRecord,
    VersionSpan, choose_backend, sole_version,
};
use oleander_base::prelude::*;
use proptest::prelude::*;

const SERVICE: &str = "engines";
const START: MonoTime = MonoTime(1_000_000);

fn version(name: &str) -> VersionId {
    VersionId::of(name)
}

#[test]
fn the_record_of_a_stream_stands_until_it_expires() {
    let mut table = OriginTable::default();
    let stream = StreamId::of("a1");
    table.record(stream, version("v1"), START);
    table.record(stream, version("v1"), START);
    assert_eq!(table.get(stream, START), Some(version("v1")));
    let expired = START + ORIGIN_RETENTION;
    assert_eq!(table.get(stream, expired), None);
    table.record(StreamId::of("a2"), version("v2"), expired);
    assert_eq!(table.len(), 1, "expired origins are dropped");
}

// Guards against a stream that goes on at the version that one of two gateways began, when its caller got the events of
// the other one.
#[test]
fn a_stream_with_records_of_two_versions_has_no_certain_one() {
    for names in [["v1", "v2", "v2"], ["v1", "v2", "v1"]] {
        let mut table = OriginTable::default();
        let stream = StreamId::of("a1");
        for name in names {
            table.record(stream, version(name), START);
        }
        assert_eq!(table.get(stream, START), Some(VersionId::UNCERTAIN));
        assert_eq!(table.len(), 1);
    }
}

#[test]
fn records_that_differ_name_no_certain_version() {
    assert_eq!(version("v1").joined_with(version("v1")), version("v1"));
    for other in [version("v2"), VersionId::UNCERTAIN] {
        let joined = [
            version("v1").joined_with(other),
            other.joined_with(version("v1")),
        ];
        assert_eq!(joined, [VersionId::UNCERTAIN; 2]);
    }
}

#[test]
fn a_version_counts_for_as_long_as_a_stream_that_it_began_can_last() {
    let mut history = VersionHistory::default();
    let service = Arc::from(SERVICE);
    assert_eq!(history.span(SERVICE, START), VersionSpan::Unknown);
    history.observe(&service, version("v1"), START);
    assert_eq!(
        history.span(SERVICE, START),
        VersionSpan::Single(version("v1"))
    );
    let later = START + Span::from_secs(20);
    history.observe(&service, version("v2"), later);
    assert_eq!(history.span(SERVICE, later), VersionSpan::Mixed);
    let expired = START + ORIGIN_RETENTION;
    history.prune(expired);
    assert_eq!(
        history.span(SERVICE, expired),
        VersionSpan::Single(version("v2"))
    );
}

#[test]
fn gateways_have_a_sole_version_only_if_no_view_contradicts_it() {
    let single = |name| VersionSpan::Single(version(name));
    let cases = [
        (vec![], None),
        (vec![VersionSpan::Unknown], None),
        (
            vec![VersionSpan::Unknown, single("v1")],
            Some(version("v1")),
        ),
        (vec![single("v1"), single("v1")], Some(version("v1"))),
        (vec![single("v1"), single("v2")], None),
        (vec![single("v1"), VersionSpan::Mixed], None),
    ];
    for (spans, expected) in cases {
        assert_eq!(sole_version(&spans), expected, "{spans:?}");
    }
}

/// Returns the record that names these versions of the service.
fn record(names: &[&str]) -> VersionRecord {
    let service = Arc::from(SERVICE);
    let mut record = VersionRecord::default();
    for name in names {
        record.insert(&service, version(name));
    }
    record
}

/// The versions that two gateways see in the registry, and the record that both of them write.
struct RecordedFleet {
    record: VersionRecord,
    histories: Vec<VersionHistory>,
    writes: usize,
}

impl RecordedFleet {
    fn start(record: VersionRecord, gateways: usize, now: MonoTime) -> Self {
        let start = |_| {
            let mut history = VersionHistory::default();
            history.adopt(&record, &VersionRecord::default(), now);
            history
        };
        let histories = (0..gateways).map(start).collect();
        Self {
            record,
            histories,
            writes: 0,
        }
    }

    /// Lets each gateway see these versions and write the record if it finds it out of date.
    fn observe(&mut self, names: &[&str], now: MonoTime) {
        let service = Arc::from(SERVICE);
        for index in 0..self.histories.len() {
            let history = &mut self.histories[index];
            for name in names {
                history.observe(&service, version(name), now);
            }
            history.prune(now);
            if let Some(next) = history.next_record(&self.record, now) {
                let before = std::mem::replace(&mut self.record, next);
                self.writes += 1;
                for history in &mut self.histories {
                    history.adopt(&self.record, &before, now);
                }
            }
        }
    }

    fn span(&self, now: MonoTime) -> VersionSpan {
        self.histories[0].span(SERVICE, now)
    }
}

// Guards against a gateway that has just started and takes the version that is left for the only one there was.
#[test]
fn a_gateway_that_has_just_started_counts_the_versions_of_the_record() {
    let mut fleet = RecordedFleet::start(record(&["v1", "v2"]), 1, START);
    fleet.observe(&["v2"], START);
    assert_eq!(fleet.span(START), VersionSpan::Mixed);
    assert_eq!(fleet.record, record(&["v1", "v2"]), "v1 may be needed yet");
    let over = START + ORIGIN_RETENTION;
    fleet.observe(&["v2"], over);
    assert_eq!(fleet.span(over), VersionSpan::Single(version("v2")));
    assert_eq!(fleet.record, record(&["v2"]));
    assert_eq!(fleet.writes, 1);
}

#[test]
fn a_gateway_that_has_just_started_believes_a_record_of_one_version() {
    let mut fleet = RecordedFleet::start(record(&["v1"]), 1, START);
    fleet.observe(&["v1"], START);
    assert_eq!(fleet.span(START), VersionSpan::Single(version("v1")));
    assert_eq!(fleet.writes, 0, "nothing has changed");
}

// Guards against gateways that write the record by turns, one back what the other has removed.
// Guards against a stream that goes on at the only version that is left, because the record of those before could not be read
// and counts as an empty one.
#[test]
fn versions_before_an_unreadable_record_count_as_several_until_no_stream_is_left() {
    let mut history = VersionHistory::default();
    history.distrust_past(START);
    assert_eq!(history.span(SERVICE, START), VersionSpan::Unknown);
    history.observe(&Arc::from(SERVICE), version("v1"), START);
    assert_eq!(history.span(SERVICE, START), VersionSpan::Mixed);
    assert!(history.is_any_mixed(START));
    let later = START + ORIGIN_RETENTION;
    history.observe(&Arc::from(SERVICE), version("v1"), later);
    assert_eq!(
        history.span(SERVICE, later),
        VersionSpan::Single(version("v1"))
    );
}

#[test]
fn a_record_is_written_once_for_each_version_that_comes_or_goes() {
    let second = |number: u64| START + Span::from_secs(number);
    let mut fleet = RecordedFleet::start(VersionRecord::default(), 3, START);
    for number in 0..300 {
        let names: &[&str] = match number {
            0..20 => &["v1"],
            20..30 => &["v1", "v2"],
            30..100 => &["v1"],
            100..140 => &["v1", "v3"],
            _ => &["v3"],
        };
        fleet.observe(names, second(number));
        let is_mixed = fleet.span(second(number)) == VersionSpan::Mixed;
        let expects_mixed = (20..89).contains(&number) || (100..199).contains(&number);
        assert_eq!(is_mixed, expects_mixed, "second {number}");
    }
    assert_eq!(fleet.record, record(&["v3"]));
    // v1, v2 and v3 come, v2 and v1 go.
    assert_eq!(fleet.writes, 5);
    // A gateway that starts while a version is remembered does not keep it alive.
    let mut fleet = RecordedFleet::start(record(&["v3", "v4"]), 2, START);
    fleet.histories[1] = VersionHistory::default();
    for number in 0..80 {
        fleet.observe(&["v3"], second(number));
        if number == 50 {
            let known = fleet.record.clone();
            fleet.histories[1].adopt(&known, &VersionRecord::default(), second(number));
        }
    }
    assert_eq!(fleet.record, record(&["v3"]));
}

// Guards against an engine that starts again under its id with other software and keeps its state.
#[test]
fn another_software_version_is_another_incarnation() {
    let mut fleet = FleetTable::default();
    fleet.upsert(entry("i-1", SERVICE, 8));
    let first = fleet.key_of("i-1");
    fleet.upsert(BackendEntry {
        software: Arc::from("v2"),
        ..entry("i-1", SERVICE, 8)
    });
    assert_ne!(fleet.key_of("i-1"), first);
}

// Guards against an engine whose process counts as one that never tells its start, and its versions as certain, because one
// write of its entry does not name the start.
#[test]
fn an_entry_without_a_start_keeps_the_known_one() {
    let mut fleet = FleetTable::default();
    fleet.upsert(entry("i-1", SERVICE, 8));
    let first = fleet.key_of("i-1").expect("it is there");
    let without_start = |slots| BackendEntry {
        started_ms: 0,
        ..entry("i-1", SERVICE, slots)
    };
    fleet.upsert(without_start(9));
    let member = fleet.get(first).expect("it is the same process");
    assert_eq!((member.entry.start(), member.entry.slots), (Some(1), 9));
    fleet.upsert(BackendEntry {
        software: Arc::from("v2"),
        ..without_start(9)
    });
    let second = fleet.key_of("i-1").expect("it is there");
    let member = fleet.get(second).expect("it is there");
    assert_ne!(first, second);
    assert_eq!(member.entry.start(), None, "of another process");
}

// Guards against a process that is forgotten, with the streams that it began, when the entry of the one before it goes.
#[test]
fn an_unregistered_process_is_remembered_after_the_entry_before_it_has_gone() {
    let mut processes = UnregisteredProcesses::default();
    let mut fleet = FleetTable::default();
    for id in ["i-1", "i-2"] {
        fleet.upsert(entry(id, SERVICE, 8));
        let key = fleet.key_of(id).expect("it is there");
        fleet.mark_replaced(key, START);
    }
    processes.observe(&fleet, START);
    fleet.upsert(BackendEntry {
        started_ms: 2,
        ..entry("i-1", SERVICE, 8)
    });
    processes.observe(&fleet, START);
    assert!(!processes.has_gone(SERVICE, START), "it is registered now");
    fleet.remove("i-2");
    processes.observe(&fleet, START);
    assert!(processes.has_gone(SERVICE, START));
    assert!(!processes.has_gone(SERVICE, START + ORIGIN_RETENTION));
}

proptest! {
    // Guards against a choice at another version when the engines of the right one are full,
    // ejected, lapsed or tried.
    #[test]
    fn a_bound_stream_is_never_sent_to_another_version(
        members in prop::collection::vec((0..3_usize, any::<bool>(), any::<bool>(), any::<bool>()), 1..40),
        wanted in 0..3_usize,
        seed in any::<u64>(),
    ) {
        let names = ["v1", "v1.1", "v2"];
        let mut fleet = FleetTable::default();
        let mut tried = Vec::new();
        let mut free = 0;
        for (number, (index, is_tried, is_ejected, is_lapsed)) in members.into_iter().enumerate() {
            let id = format!("i-{number}");
            fleet.upsert(BackendEntry {
                software: Arc::from(names[index]),
                ..entry(&id, SERVICE, 8)
            });
            let key = fleet.key_of(&id).unwrap();
            if is_tried {
                tried.push(key);
            } else {
                free += usize::from(index == wanted);
            }
            if is_ejected {
                fleet.mark_replaced(key, START);
            }
            if is_lapsed {
                fleet.mark_lapsed(&id, START);
            }
        }
        let latency = LatencyModel::default();
        let traffic = ServiceTraffic::default();
        let input = ChoiceInput {
            service: SERVICE,
            centre: "north",
            parts: &[],
            prompt_tokens: 0,
            urgency: 1,
            first_target: Span::from_millis(1_000),
            pause_limit: None,
            connections: &NoIdleConnections,
            tried: &tried,
            accepts_full: false,
            version: Some(version(names[wanted])),
            gateways: 2,
            service_latency: &latency,
            traffic: &traffic,
            pace: None,
            now: START,
        };
        let mut state = seed;
        let choice = choose_backend(&mut fleet, &input, || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 11) as f64 / (1_u64 << 53) as f64
        });
        match choice {
            Some(choice) => {
                let member = fleet.get(choice.key).unwrap();
                prop_assert_eq!(&*member.entry.software, names[wanted]);
            }
            None => prop_assert_eq!(free, 0, "an engine of the version is left"),
        }
    }
}
