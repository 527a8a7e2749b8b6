//! Tests the writer and the reader of records against the stand-in and its faults.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{bind_standin, block_on, open_client, wait_until};
use oleander_base::prelude::*;
use oleander_platform::{
    CompletedWrite, Expected, KeyValueStore, ReaderCounters, ReaderEvent, ReaderSettings,
    RecordReader, RecordWriter, WriteError,
};
use oleander_records::{
    RecordDocument, RecordKey, RecordKind, RecordReplica, RecordSet, SchemaCatalog, parse_document,
};
use oleander_standin::{FaultPlan, OutageKind, PlatformSettings, PlatformStandIn};
use parking_lot::Mutex;
use serde_json::{Map, Value, json};

fn class(name: &str, target: u64) -> RecordDocument {
    let text = format!(
        r#"{{"schema":2,"name":"{name}","tier":1,"first_token_target_ms":{target},"minimum_share":0}}"#
    );
    parse_document(RecordKind::Class, text.as_bytes()).unwrap()
}

fn class_key(name: &str) -> RecordKey {
    RecordKey::new(RecordKind::Class, name).unwrap()
}

fn target_change(target: u64) -> Map<String, Value> {
    let fields = json!({"first_token_target_ms": target});
    fields.as_object().unwrap().clone()
}

fn open_writer(standin: &PlatformStandIn) -> RecordWriter {
    RecordWriter::new(Arc::new(open_client(standin)), SchemaCatalog::current())
}

/// Combines a reader with the replica that it updates.
struct ReplicaReader {
    reader: RecordReader,
    replica: Arc<Mutex<RecordReplica>>,
}

impl ReplicaReader {
    fn spawn(standin: &PlatformStandIn) -> Self {
        let replica = Arc::new(Mutex::new(RecordReplica::default()));
        let target = Arc::clone(&replica);
        let sink = Arc::new(move |event: ReaderEvent| {
            let mut replica = target.lock();
            event.apply_to(&mut replica);
            assert_eq!(replica.verify(), Vec::<String>::new());
        });
        let settings = ReaderSettings {
            wait: Duration::from_millis(200),
            ..ReaderSettings::default()
        };
        let reader = RecordReader::spawn(Arc::new(open_client(standin)), settings, sink);
        reader.start(Revision(0));
        Self { reader, replica }
    }

    async fn wait_synced(&self, revision: Revision) {
        wait_until(|| self.replica.lock().synced_revision() >= revision).await;
    }

    fn set(&self) -> Arc<RecordSet> {
        self.replica.lock().set()
    }

    fn counters(&self) -> ReaderCounters {
        self.reader.counters()
    }
}

#[test]
fn forty_writers_on_one_record_have_one_winner_a_revision() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        let mut expected = Expected::Absent;
        for round in 0..5 {
            let writes = (1..=40).map(|index| {
                let (writer, set) = (writer.clone(), set.clone());
                let document = class("d", 100 * round + index);
                tokio::spawn(async move { writer.put(&set, document, expected).await })
            });
            let mut winners = Vec::new();
            let mut losers = Vec::new();
            for write in writes.collect::<Vec<_>>() {
                match write.await.unwrap() {
                    Ok(done) => winners.push(done.revision),
                    Err(WriteError::Conflict { current }) => losers.push(current.unwrap().revision),
                    Err(error) => panic!("{error}"),
                }
            }
            assert_eq!((winners.len(), losers.len()), (1, 39), "round {round}");
            assert!(losers.iter().all(|revision| *revision == winners[0]));
            expected = Expected::At(winners[0]);
        }
        assert_eq!(standin.revision(), Revision(5));
    });
}

#[test]
fn a_lost_answer_is_resolved_by_reading_again() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        standin.drop_write_answers(1);
        let first = writer.put(&set, class("d", 5), Expected::Absent).await;
        let first = first.unwrap();
        assert!(first.was_unknown);
        assert_eq!(first.revision, standin.revision());
        standin.drop_write_answers(1);
        let edit = writer.edit(&set, &class_key("d"), &target_change(6)).await;
        assert!(edit.unwrap().was_unknown);
        standin.drop_write_answers(1);
        let revision = standin.revision();
        let delete = writer.delete(&set, &class_key("d"), revision).await;
        let delete = delete.unwrap();
        assert!(delete.was_unknown);
        assert_eq!(delete.revision, standin.revision());
    });
}

/// Sends one write over a connection that closes before the request takes effect.
async fn write_to_closing_store(
    standin: &PlatformStandIn,
    document: RecordDocument,
    expected: Expected,
) -> Result<CompletedWrite, WriteError> {
    let writer = open_writer(standin);
    let before = standin.counters().outages;
    standin.set_faults(FaultPlan {
        outage: OutageKind::Close,
        ..FaultPlan::default()
    });
    let set = RecordSet::default();
    let writing = tokio::spawn(async move { writer.put(&set, document, expected).await });
    wait_until(|| standin.counters().outages > before).await;
    standin.set_faults(FaultPlan::default());
    writing.await.unwrap()
}

#[test]
fn a_change_that_never_arrived_is_sent_again_and_takes_effect_once() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        let first = writer.put(&set, class("d", 5), Expected::Absent).await;
        let expected = Expected::At(first.unwrap().revision);
        let done = write_to_closing_store(&standin, class("d", 6), expected).await;
        let done = done.unwrap();
        assert!(done.was_unknown);
        assert_eq!(
            (done.revision, standin.revision()),
            (Revision(2), Revision(2))
        );
    });
}

#[test]
fn a_creation_that_never_arrived_is_not_sent_again() {
    let standin = bind_standin();
    block_on(async move {
        let unresolved = write_to_closing_store(&standin, class("d", 5), Expected::Absent).await;
        assert_eq!(unresolved.unwrap_err().verdict(), Verdict::MayHaveRun);
        assert_eq!(standin.counters().calls["/v1/put"], 1);
    });
}

#[test]
fn a_lost_answer_whose_write_was_replaced_is_found_in_the_history() {
    let standin = bind_standin();
    let (writer, other) = (open_writer(&standin), open_writer(&standin));
    block_on(async move {
        let set = RecordSet::default();
        standin.drop_write_answers(1);
        let document = class("d", 5);
        let first = tokio::spawn(async move { writer.put(&set, document, Expected::Absent).await });
        wait_until(|| standin.revision() == Revision(1)).await;
        let set = RecordSet::default();
        let second = other.edit(&set, &class_key("d"), &target_change(7)).await;
        assert_eq!(second.unwrap().revision, Revision(2));
        assert_eq!(first.await.unwrap().unwrap().revision, Revision(1));
    });
}

#[test]
fn an_unresolved_write_is_reported_as_unknown() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        standin.set_faults(FaultPlan {
            outage: OutageKind::Refuse,
            ..FaultPlan::default()
        });
        let refused = writer.put(&set, class("d", 5), Expected::Absent).await;
        let refused = refused.unwrap_err();
        assert!(matches!(refused, WriteError::Store(_)), "{refused}");
        assert_eq!(refused.verdict(), Verdict::NotRun);
        standin.set_faults(FaultPlan {
            outage: OutageKind::Close,
            ..FaultPlan::default()
        });
        let unresolved = writer.put(&set, class("d", 5), Expected::Absent).await;
        assert_eq!(unresolved.unwrap_err().verdict(), Verdict::MayHaveRun);
    });
}

#[test]
fn bad_changes_are_refused_before_the_store_is_asked() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        let text = r#"{"schema":2,"name":"a","share":1,"default_class":"none","shar":2}"#;
        let document = parse_document(RecordKind::Customer, text.as_bytes()).unwrap();
        let error = writer
            .put(&set, document, Expected::Absent)
            .await
            .unwrap_err();
        assert!(
            error.to_string().contains("`shar` is an unknown field"),
            "{error}"
        );
        let text = r#"{"schema":2,"name":"a","share":1,"default_class":"none"}"#;
        let document = parse_document(RecordKind::Customer, text.as_bytes()).unwrap();
        let error = writer
            .put(&set, document, Expected::Absent)
            .await
            .unwrap_err();
        assert!(error.to_string().contains("`default_class`"), "{error}");
        assert!(standin.counters().calls.is_empty());
        let missing = writer.edit(&set, &class_key("d"), &target_change(1)).await;
        assert_eq!(missing.unwrap_err(), WriteError::Missing(class_key("d")));
    });
}

#[test]
fn an_edit_keeps_fields_that_its_version_lacks() {
    let standin = bind_standin();
    let client = open_client(&standin);
    let writer = open_writer(&standin);
    block_on(async move {
        let text = r#"{"schema":2,"name":"d","tier":1,"first_token_target_ms":5,"later":[1]}"#;
        let put = client.put("records/class/d", Expected::Absent, text.into(), None);
        put.await.unwrap();
        let set = RecordSet::default();
        let edit = writer.edit(&set, &class_key("d"), &target_change(6)).await;
        edit.unwrap();
        let entry = client.get("records/class/d").await.unwrap().unwrap();
        let value: Value = serde_json::from_slice(&entry.value).unwrap();
        assert_eq!(
            (&value["later"], &value["first_token_target_ms"]),
            (&json!([1]), &json!(6))
        );
    });
}

#[test]
fn a_reader_lists_by_pages_and_then_follows() {
    let standin = PlatformStandIn::bind(PlatformSettings {
        page_entries: 3,
        ..PlatformSettings::default()
    })
    .unwrap();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        for index in 0..8 {
            let document = class(&format!("c{index}"), 5);
            writer.put(&set, document, Expected::Absent).await.unwrap();
        }
        let read = ReplicaReader::spawn(&standin);
        read.wait_synced(Revision(8)).await;
        assert_eq!(read.set().classes.len(), 8);
        let revision = Revision(3);
        let done = writer
            .delete(&set, &class_key("c2"), revision)
            .await
            .unwrap();
        read.wait_synced(done.revision).await;
        assert_eq!(read.set().classes.len(), 7);
        assert_eq!(read.counters().listings, 1);
    });
}

#[test]
fn a_reader_behind_the_compaction_lists_again_and_sees_deletions() {
    let mut standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        for name in ["c0", "c1"] {
            writer
                .put(&set, class(name, 5), Expected::Absent)
                .await
                .unwrap();
        }
        let read = ReplicaReader::spawn(&standin);
        read.wait_synced(Revision(2)).await;
        read.reader.stop();
        wait_until(|| standin.counters().waiting_watches == 0).await;
        writer
            .delete(&set, &class_key("c0"), Revision(1))
            .await
            .unwrap();
        standin.compact();
        let synced = read.replica.lock().synced_revision();
        read.reader.start(synced);
        read.wait_synced(Revision(3)).await;
        assert_eq!(read.set().classes.len(), 1);
        assert_eq!(
            (read.counters().listings, read.counters().compacted),
            (2, 1)
        );
        // After an outage, the reader resumes its watch without a listing.
        standin.stop();
        wait_until(|| read.counters().failed >= 2).await;
        assert_eq!(read.set().classes.len(), 1);
        standin.resume().unwrap();
        let put = writer.put(&set, class("c2", 5), Expected::Absent);
        let done = put.await.unwrap();
        read.wait_synced(done.revision).await;
        assert_eq!(read.set().classes.len(), 2);
        assert_eq!(read.counters().listings, 2);
    });
}

#[test]
fn a_slow_store_delays_but_does_not_revert() {
    let standin = bind_standin();
    let writer = open_writer(&standin);
    block_on(async move {
        let set = RecordSet::default();
        let first = writer.put(&set, class("d", 1), Expected::Absent).await;
        let mut revision = first.unwrap().revision;
        let read = ReplicaReader::spawn(&standin);
        standin.set_faults(FaultPlan {
            delay_ms: 50,
            drop_share: 0.3,
            seed: 6,
            ..FaultPlan::default()
        });
        let id = ClassId::from_name("d");
        for target in 2..=10 {
            let change = target_change(target);
            let edit = writer.edit(&set, &class_key("d"), &change).await;
            let done = edit.unwrap();
            assert!(done.revision > revision);
            revision = done.revision;
            read.wait_synced(revision).await;
            assert_eq!(read.set().classes[&id].first_token_target_ms, target);
        }
        assert_eq!(standin.revision(), Revision(10));
        assert!(standin.counters().dropped_answers > 0);
    });
}
