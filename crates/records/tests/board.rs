//! The board under any order of deliveries, and between peers.

mod common;

use std::collections::BTreeMap;

use common::seeded;
use oleander_base::prelude::*;
use oleander_records::{
    Applied, DigestOrder, RecordBoard, RecordDelivery, RecordKey, RecordKind, SchemaCatalog,
};
use proptest::prelude::*;

/// One change in the life of a few keys.
#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    text: Option<String>,
}

fn class_text(name: &str, target: u64) -> String {
    format!(r#"{{"schema":2,"name":"{name}","tier":1,"first_token_target_ms":{target}}}"#)
}

/// A history of changes, each with the next revision; some documents are bad.
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

/// A history and a longer list of deliveries from it: all of it, some twice, in any order.
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

fn apply(board: &mut RecordBoard, change: &Change) -> Applied {
    board.apply(&RecordDelivery {
        key: &change.key,
        revision: Revision(change.revision),
        text: change.text.as_deref().map(str::as_bytes),
    })
}

fn informed_board(history: &[Change]) -> RecordBoard {
    let mut board = RecordBoard::default();
    for change in history {
        apply(&mut board, change);
        board.advance(Revision(change.revision));
    }
    assert_eq!(board.verify(), Vec::<String>::new());
    board
}

/// Returns the newest text of each live key after a history, as the store's listing has it.
fn live(history: &[Change]) -> BTreeMap<&str, &Change> {
    let mut live = BTreeMap::new();
    for change in history {
        live.insert(change.key.as_str(), change);
    }
    live.retain(|_, change| change.text.is_some());
    live
}

fn list_into(board: &mut RecordBoard, history: &[Change]) {
    let revision = Revision(history.last().map_or(0, |change| change.revision));
    let live = live(history);
    for change in live.values() {
        let delivery = RecordDelivery {
            key: &change.key,
            revision: Revision(change.revision),
            text: change.text.as_deref().map(str::as_bytes),
        };
        board.apply_listed(&delivery, revision);
    }
    let listed = live.keys().map(|key| (*key).to_owned()).collect();
    board.finish_listing(revision, &listed);
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_order_of_deliveries_converges_and_never_reverts((history, order) in deliveries()) {
        let whole = informed_board(&history);
        let mut board = RecordBoard::default();
        let mut newest: BTreeMap<RecordKey, Revision> = BTreeMap::new();
        for index in order {
            let change = &history[index];
            apply(&mut board, change);
            prop_assert_eq!(board.verify(), Vec::<String>::new());
            let key: RecordKey = change.key.parse().unwrap();
            if let Some(revision) = board.revision_of(&key) {
                let before = newest.insert(key, revision);
                prop_assert!(before.is_none_or(|before| before <= revision));
            }
        }
        for change in live(&history).values() {
            let key: RecordKey = change.key.parse().unwrap();
            prop_assert_eq!(board.revision_of(&key), whole.revision_of(&key));
        }
        prop_assert_eq!(board.len(), whole.len());
    }

    #[test]
    fn a_listing_makes_any_board_whole((history, order) in deliveries(), cut in 0..40_usize) {
        let mut board = RecordBoard::default();
        for index in order.into_iter().take(cut) {
            apply(&mut board, &history[index]);
        }
        list_into(&mut board, &history);
        prop_assert_eq!(board.verify(), Vec::<String>::new());
        let live = live(&history);
        prop_assert_eq!(board.len(), live.len());
        for change in live.values() {
            let key: RecordKey = change.key.parse().unwrap();
            prop_assert_eq!(board.revision_of(&key), Some(Revision(change.revision)));
        }
    }

    #[test]
    fn an_old_listing_or_an_old_peer_reverts_nothing(history in history(), cut in 0..40_usize) {
        let mut board = informed_board(&history);
        let before = board.dump();
        let cut = cut.min(history.len());
        let mut old = informed_board(&history[..cut]);
        list_into(&mut board, &history[..cut]);
        prop_assert_eq!(&board.dump(), &before);
        board.merge(&old.whole());
        board.merge(&old.delta(Revision(0), usize::MAX));
        prop_assert_eq!(&board.dump(), &before);
        for change in &history[..cut] {
            prop_assert_eq!(apply(&mut board, change), Applied::Old);
        }
        old.merge(&board.delta(old.informed(), usize::MAX));
        prop_assert_eq!(old.digest(), board.digest());
    }

    #[test]
    fn peers_converge_by_deltas_of_any_size(
        history in history(), cut in 0..40_usize, limit in 1..2_000_usize, keep in 0..6_usize,
    ) {
        let source = informed_board(&history).with_tombstone_limit(keep);
        let mut source = source;
        source.advance(Revision(history.len() as u64));
        let mut peer = informed_board(&history[..cut.min(history.len())]);
        for _ in 0..=history.len() {
            if peer.compare(source.digest()) != DigestOrder::PeerAhead {
                break;
            }
            let before = peer.informed();
            let outcome = peer.merge(&source.delta(before, limit));
            prop_assert!(!outcome.has_gap);
            prop_assert!(peer.informed() > before);
            prop_assert_eq!(peer.verify(), Vec::<String>::new());
        }
        prop_assert_eq!(peer.compare(source.digest()), DigestOrder::Same);
        prop_assert_eq!(peer.set(), source.set());
    }

    #[test]
    fn dropped_tombstones_do_not_let_a_record_come_back(history in history()) {
        let mut board = informed_board(&history).with_tombstone_limit(0);
        board.advance(Revision(history.len() as u64));
        prop_assert_eq!(board.verify(), Vec::<String>::new());
        let before = board.dump();
        prop_assert!(!before.contains("deleted"));
        for change in &history {
            prop_assert_eq!(apply(&mut board, change), Applied::Old);
        }
        prop_assert_eq!(board.dump(), before);
    }
}

#[test]
fn a_bad_document_leaves_the_last_good_one_in_force() {
    let mut board = RecordBoard::default();
    let change = |revision, text: &str| Change {
        key: "records/class/d".to_owned(),
        revision,
        text: Some(text.to_owned()),
    };
    apply(&mut board, &change(1, &class_text("d", 5)));
    let bad = apply(&mut board, &change(2, "schema = 2\nname = \"d\"\n"));
    assert!(matches!(bad, Applied::Faulty(_)), "{bad:?}");
    let id = ClassId::from_name("d");
    assert_eq!(board.set().classes[&id].first_token_target_ms, 5);
    let fault = &board.faults()[0];
    assert_eq!(
        (fault.revision, fault.in_force),
        (Revision(2), Some(Revision(1)))
    );
    assert!(fault.problem.contains("`tier` is nothing"), "{fault:?}");
    // A fresh process gets the good document from a peer beside the bad one.
    board.advance(Revision(2));
    let mut fresh = RecordBoard::default();
    fresh.merge(&board.delta(Revision(0), usize::MAX));
    assert_eq!(fresh.set(), board.set());
    assert_eq!(fresh.digest(), board.digest());
    let wrong_name = apply(&mut board, &change(3, &class_text("other", 5)));
    assert!(matches!(wrong_name, Applied::Faulty(_)));
    apply(&mut board, &change(4, &class_text("d", 6)));
    assert_eq!(board.set().classes[&id].first_token_target_ms, 6);
    assert!(board.faults().is_empty());
}

#[test]
fn old_and_new_programs_hold_the_same_records_side_by_side() {
    let text = r#"{"schema":2,"name":"a","share":2,"default_class":"d","concurrency_limit":4}"#;
    let change = Change {
        key: "records/customer/a".to_owned(),
        revision: 1,
        text: Some(text.to_owned()),
    };
    let mut new = RecordBoard::default();
    apply(&mut new, &change);
    new.advance(Revision(1));
    let catalog = SchemaCatalog::current().up_to(RecordKind::Customer, 1);
    let mut old = RecordBoard::new(catalog);
    old.merge(&new.delta(Revision(0), usize::MAX));
    let id = CustomerId::from_name("a");
    assert_eq!(old.set().customers[&id].concurrency_limit, None);
    assert_eq!(old.set().customers[&id].share, 2.0);
    let mut third = RecordBoard::default();
    third.merge(&old.delta(Revision(0), usize::MAX));
    assert_eq!(third.set().customers[&id].concurrency_limit, Some(4));
    assert_eq!(third.digest(), old.digest());
}

#[test]
fn the_dump_is_readable() {
    let mut board = RecordBoard::default();
    apply(
        &mut board,
        &Change {
            key: "records/class/d".into(),
            revision: 3,
            text: Some(class_text("d", 5)),
        },
    );
    apply(
        &mut board,
        &Change {
            key: "records/class/e".into(),
            revision: 4,
            text: None,
        },
    );
    board.advance(Revision(5));
    assert_eq!(
        board.dump(),
        "records: informed 5, 1 in force\n  records/class/d at 3: schema 2\n  \
         records/class/e at 4: deleted\n"
    );
}
