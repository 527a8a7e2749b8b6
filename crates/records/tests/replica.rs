//! Replicas under any order of deliveries, and their synchronisation between peers.

mod common;

use std::collections::BTreeMap;

use common::seeded;
use oleander_base::prelude::*;
use oleander_records::{
    ApplyOutcome, DigestOrder, RecordDelivery, RecordKey, RecordKind, RecordReplica, SchemaCatalog,
};
use proptest::prelude::*;

/// One change in a history of a few keys.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    text: Option<String>,
}

fn class_text(name: &str, target: u64) -> String {
    format!(r#"{{"schema":2,"name":"{name}","tier":1,"first_token_target_ms":{target}}}"#)
}

/// Generates a history of changes with consecutive revisions; some documents are invalid.
fn history() -> impl Strategy<Value = Vec<Change>> {
    prop::collection::vec((0..5_u8, 0..4_u8), 1..40).prop_map(|steps| {
        let steps = steps.into_iter().enumerate();
        let change = |(index, (name, what)): (usize, (u8, u8))| {
            let revision = index as u64 + 1;
            let name = format!("n{name}");
            Change {
                key: format!("records/class/{name}"),
                revision,
                text: match what {
                    0 => None,
                    1 => Some("schema = 2\ntier = 99\n".to_owned()),
                    _ => Some(class_text(&name, revision)),
                },
            }
        };
        steps.map(change).collect()
    })
}

/// Generates a history and deliveries of it: every change at least once, some repeatedly, in any
/// order.
fn deliveries() -> impl Strategy<Value = (Vec<Change>, Vec<usize>)> {
    history().prop_flat_map(|history| {
        let count = history.len();
        let order = prop::collection::vec(0..count, 0..2 * count);
        (Just(history), order).prop_flat_map(move |(history, mut order)| {
            order.extend(0..count);
            (Just(history), Just(order).prop_shuffle())
        })
    })
}

fn apply(replica: &mut RecordReplica, change: &Change) -> ApplyOutcome {
    replica.apply(&RecordDelivery {
        key: &change.key,
        revision: Revision(change.revision),
        text: change.text.as_deref().map(str::as_bytes),
    })
}

fn synced_replica(history: &[Change]) -> RecordReplica {
    let mut replica = RecordReplica::default();
    for change in history {
        apply(&mut replica, change);
        replica.advance(Revision(change.revision));
    }
    assert_eq!(replica.verify(), Vec::<String>::new());
    replica
}

/// Returns the newest change of each key that exists after a history, as in a listing of the
/// key-value store.
fn live(history: &[Change]) -> BTreeMap<&str, &Change> {
    let mut live = BTreeMap::new();
    for change in history {
        live.insert(change.key.as_str(), change);
    }
    live.retain(|_, change| change.text.is_some());
    live
}

fn list_into(replica: &mut RecordReplica, history: &[Change]) {
    let revision = Revision(history.last().map_or(0, |change| change.revision));
    let live = live(history);
    for change in live.values() {
        let delivery = RecordDelivery {
            key: &change.key,
            revision: Revision(change.revision),
            text: change.text.as_deref().map(str::as_bytes),
        };
        replica.apply_listed(&delivery, revision);
    }
    let listed = live.keys().map(|key| (*key).to_owned()).collect();
    replica.finish_listing(revision, &listed);
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_order_of_deliveries_converges_and_never_reverts((history, order) in deliveries()) {
        let whole = synced_replica(&history);
        let mut replica = RecordReplica::default();
        let mut newest: BTreeMap<RecordKey, Revision> = BTreeMap::new();
        for index in order {
            let change = &history[index];
            apply(&mut replica, change);
            prop_assert_eq!(replica.verify(), Vec::<String>::new());
            let key: RecordKey = change.key.parse().unwrap();
            if let Some(revision) = replica.revision_of(&key) {
                let before = newest.insert(key, revision);
                prop_assert!(before.is_none_or(|before| before <= revision));
            }
        }
        for change in live(&history).values() {
            let key: RecordKey = change.key.parse().unwrap();
            prop_assert_eq!(replica.revision_of(&key), whole.revision_of(&key));
        }
        prop_assert_eq!(replica.len(), whole.len());
    }

    #[test]
    fn a_listing_completes_any_replica((history, order) in deliveries(), cut in 0..40_usize) {
        let mut replica = RecordReplica::default();
        for index in order.into_iter().take(cut) {
            apply(&mut replica, &history[index]);
        }
        list_into(&mut replica, &history);
        prop_assert_eq!(replica.verify(), Vec::<String>::new());
        let live = live(&history);
        prop_assert_eq!(replica.len(), live.len());
        for change in live.values() {
            let key: RecordKey = change.key.parse().unwrap();
            prop_assert_eq!(replica.revision_of(&key), Some(Revision(change.revision)));
        }
    }

    #[test]
    fn an_old_listing_or_an_old_peer_reverts_nothing(history in history(), cut in 0..40_usize) {
        let mut replica = synced_replica(&history);
        let before = replica.dump();
        let cut = cut.min(history.len());
        let mut old = synced_replica(&history[..cut]);
        list_into(&mut replica, &history[..cut]);
        prop_assert_eq!(&replica.dump(), &before);
        replica.merge(&old.full_copy());
        replica.merge(&old.delta(Revision(0), usize::MAX));
        prop_assert_eq!(&replica.dump(), &before);
        for change in &history[..cut] {
            prop_assert_eq!(apply(&mut replica, change), ApplyOutcome::Stale);
        }
        old.merge(&replica.delta(old.synced_revision(), usize::MAX));
        prop_assert_eq!(old.digest(), replica.digest());
    }

    #[test]
    fn peers_converge_by_deltas_of_any_size(
        history in history(), cut in 0..40_usize, limit in 1..2_000_usize, keep in 0..6_usize,
    ) {
        let source = synced_replica(&history).with_max_tombstones(keep);
        let mut source = source;
        source.advance(Revision(history.len() as u64));
        let mut peer = synced_replica(&history[..cut.min(history.len())]);
        for _ in 0..=history.len() {
            if peer.compare(source.digest()) != DigestOrder::PeerAhead {
                break;
            }
            let before = peer.synced_revision();
            let outcome = peer.merge(&source.delta(before, limit));
            prop_assert!(!outcome.has_gap);
            prop_assert!(peer.synced_revision() > before);
            prop_assert_eq!(peer.verify(), Vec::<String>::new());
        }
        prop_assert_eq!(peer.compare(source.digest()), DigestOrder::Same);
        prop_assert_eq!(&peer.set().classes, &source.set().classes);
    }

    #[test]
    fn dropping_tombstones_does_not_restore_deleted_records(history in history()) {
        let mut replica = synced_replica(&history).with_max_tombstones(0);
        replica.advance(Revision(history.len() as u64));
        prop_assert_eq!(replica.verify(), Vec::<String>::new());
        let before = replica.dump();
        prop_assert!(!before.contains("deleted"));
        for change in &history {
            prop_assert_eq!(apply(&mut replica, change), ApplyOutcome::Stale);
        }
        prop_assert_eq!(replica.dump(), before);
    }
}

#[test]
fn writes_of_other_keys_neither_rebuild_the_set_nor_require_a_delta() {
    let mut replica = RecordReplica::default();
    let change = Change {
        key: "records/class/d".to_owned(),
        revision: 4,
        text: Some(class_text("d", 5)),
    };
    apply(&mut replica, &change);
    // The process of the writer applies a change before its replica is synced up to that revision.
    assert_eq!(replica.set().revision, Revision(0));
    replica.advance(Revision(4));
    let set = replica.set();
    assert_eq!(set.revision, Revision(4));
    let mut peer = replica.clone();
    replica.advance(Revision(90));
    assert!(std::sync::Arc::ptr_eq(&set, &replica.set()));
    assert_eq!(peer.compare(replica.digest()), DigestOrder::PeerAhead);
    assert_eq!(
        peer.compare_and_advance(replica.digest()),
        DigestOrder::Same
    );
    assert_eq!(peer.synced_revision(), Revision(90));
    assert_eq!(apply(&mut peer, &change), ApplyOutcome::Stale);
    let later = Change {
        revision: 91,
        ..change
    };
    apply(&mut replica, &later);
    replica.advance(Revision(91));
    assert_eq!(
        peer.compare_and_advance(replica.digest()),
        DigestOrder::PeerAhead
    );
    assert_eq!(peer.synced_revision(), Revision(90));
}

#[test]
fn an_invalid_document_leaves_the_last_valid_one_in_force() {
    let mut replica = RecordReplica::default();
    let change = |revision, text: &str| Change {
        key: "records/class/d".to_owned(),
        revision,
        text: Some(text.to_owned()),
    };
    apply(&mut replica, &change(1, &class_text("d", 5)));
    let invalid = apply(&mut replica, &change(2, "schema = 2\nname = \"d\"\n"));
    assert!(matches!(invalid, ApplyOutcome::Invalid(_)), "{invalid:?}");
    let id = ClassId::from_name("d");
    assert_eq!(replica.set().classes[&id].first_token_target_ms, 5);
    let fault = &replica.faults()[0];
    assert_eq!(
        (fault.revision, fault.in_force),
        (Revision(2), Some(Revision(1)))
    );
    assert!(fault.problem.contains("`tier` is nothing"), "{fault:?}");
    // A new process gets the last valid document from a peer along with the invalid one.
    replica.advance(Revision(2));
    let mut fresh = RecordReplica::default();
    fresh.merge(&replica.delta(Revision(0), usize::MAX));
    assert_eq!(fresh.set(), replica.set());
    assert_eq!(fresh.digest(), replica.digest());
    let wrong_name = apply(&mut replica, &change(3, &class_text("other", 5)));
    assert!(matches!(wrong_name, ApplyOutcome::Invalid(_)));
    apply(&mut replica, &change(4, &class_text("d", 6)));
    assert_eq!(replica.set().classes[&id].first_token_target_ms, 6);
    assert!(replica.faults().is_empty());
}

#[test]
fn old_and_new_programs_hold_the_same_records_side_by_side() {
    let text = r#"{"schema":2,"name":"a","share":2,"default_class":"d","concurrency_limit":4}"#;
    let change = Change {
        key: "records/customer/a".to_owned(),
        revision: 1,
        text: Some(text.to_owned()),
    };
    let mut new = RecordReplica::default();
    apply(&mut new, &change);
    new.advance(Revision(1));
    let catalog = SchemaCatalog::current().up_to(RecordKind::Customer, 1);
    let mut old = RecordReplica::new(catalog);
    old.merge(&new.delta(Revision(0), usize::MAX));
    let id = CustomerId::from_name("a");
    assert_eq!(old.set().customers[&id].concurrency_limit, None);
    assert_eq!(old.set().customers[&id].share, 2.0);
    let mut third = RecordReplica::default();
    third.merge(&old.delta(Revision(0), usize::MAX));
    assert_eq!(third.set().customers[&id].concurrency_limit, Some(4));
    assert_eq!(third.compare(old.digest()), DigestOrder::Same);
}

#[test]
fn a_document_that_an_old_program_cannot_parse_does_not_cause_endless_requests() {
    let old_text = r#"{"schema":1,"name":"a","share":2,"default_class":"d"}"#;
    let new_text = r#"{"schema":2,"name":"a","weight":2,"default_class":"d"}"#;
    let change = |revision, text: &str| Change {
        key: "records/customer/a".to_owned(),
        revision,
        text: Some(text.to_owned()),
    };
    let old_catalog = || SchemaCatalog::current().up_to(RecordKind::Customer, 1);
    let mut old = RecordReplica::new(old_catalog());
    let mut fresh = RecordReplica::new(old_catalog());
    apply(&mut old, &change(1, old_text));
    for replica in [&mut old, &mut fresh] {
        apply(replica, &change(2, new_text));
        replica.advance(Revision(2));
    }
    // Programs that know the same schemas converge to the same documents in force.
    assert_eq!(old.compare(fresh.digest()), DigestOrder::Diverged);
    fresh.merge(&old.full_copy());
    assert_eq!(old.compare(fresh.digest()), DigestOrder::Same);
    let id = CustomerId::from_name("a");
    assert_eq!(fresh.set().customers[&id].share, 2.0);
    // A program that knows other schemas may have a different document in force.
    let mut other = RecordReplica::default();
    apply(&mut other, &change(2, new_text));
    other.advance(Revision(2));
    assert_eq!(other.compare(old.digest()), DigestOrder::Same);
}

#[test]
fn the_dump_is_readable() {
    let mut replica = RecordReplica::default();
    apply(
        &mut replica,
        &Change {
            key: "records/class/d".into(),
            revision: 3,
            text: Some(class_text("d", 5)),
        },
    );
    apply(
        &mut replica,
        &Change {
            key: "records/class/e".into(),
            revision: 4,
            text: None,
        },
    );
    replica.advance(Revision(5));
    assert_eq!(
        replica.dump(),
        "records: informed 5, 1 in force\n  records/class/d at 3: schema 2\n  \
         records/class/e at 4: deleted\n"
    );
}
