//! Validation of changes against the records in force, and lookup of API keys.

use oleander_base::prelude::*;
use oleander_records::{
    RecordChange, RecordDelivery, RecordKey, RecordKind, RecordReplica, RecordSet, check, hash_key,
    parse_document,
};

fn replica(documents: &[(&str, &str)]) -> RecordReplica {
    let mut replica = RecordReplica::default();
    for (index, (key, text)) in documents.iter().enumerate() {
        replica.apply(&RecordDelivery {
            key,
            revision: Revision(index as u64 + 1),
            text: Some(text.as_bytes()),
        });
    }
    assert_eq!(replica.verify(), Vec::<String>::new());
    replica
}

fn sample() -> RecordReplica {
    let customer = format!(
        r#"{{"schema":2,"name":"a","share":1,"default_class":"d","key_hashes":["{}"]}}"#,
        hash_key("secret-a")
    );
    replica(&[
        (
            "records/class/d",
            r#"{"schema":2,"name":"d","tier":1,"first_token_target_ms":9,"minimum_share":0.3}"#,
        ),
        ("records/customer/a", &customer),
        (
            "records/backend/b",
            r#"{"schema":1,"name":"b","kind":"engine","centre":"c","slots":1,
               "address":"127.0.0.1:1","serves":["m"]}"#,
        ),
        (
            "records/stop/s",
            r#"{"schema":1,"name":"s","target":{"kind":"backend","name":"b"}}"#,
        ),
        (
            "records/priority/p",
            r#"{"schema":1,"name":"p","customer":"a","class":"d","tier":0}"#,
        ),
    ])
}

fn put_faults(kind: RecordKind, text: &str) -> Vec<String> {
    let document = parse_document(kind, text.as_bytes()).unwrap();
    faults(&RecordChange::Put(Box::new(document)))
}

fn faults(change: &RecordChange) -> Vec<String> {
    match check(&sample().set(), change) {
        Ok(()) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn references_must_exist() {
    let text = r#"{"schema":2,"name":"n","share":1,"default_class":"x"}"#;
    assert_eq!(
        put_faults(RecordKind::Customer, text),
        ["records/customer/n: `default_class` is `x`, but must be the name of a class record"]
    );
    let text = r#"{"schema":1,"name":"q","customer":"x","class":"y","tier":0}"#;
    assert_eq!(put_faults(RecordKind::Priority, text).len(), 2);
    let text = r#"{"schema":1,"name":"q","target":{"kind":"centre","name":"y"}}"#;
    assert_eq!(put_faults(RecordKind::Stop, text).len(), 1);
    let text = r#"{"schema":1,"name":"q","target":{"kind":"centre","name":"c"}}"#;
    assert!(put_faults(RecordKind::Stop, text).is_empty());
}

#[test]
fn a_record_in_use_cannot_be_deleted() {
    let delete = |kind, name| {
        let key = RecordKey::new(kind, name).unwrap();
        faults(&RecordChange::Delete(key)).len()
    };
    assert_eq!(delete(RecordKind::Class, "d"), 2);
    assert_eq!(delete(RecordKind::Customer, "a"), 1);
    assert_eq!(delete(RecordKind::Backend, "b"), 1);
    assert_eq!(delete(RecordKind::Stop, "s"), 0);
    assert_eq!(delete(RecordKind::Priority, "p"), 0);
}

#[test]
fn keys_addresses_and_priorities_must_be_unique() {
    let hash = hash_key("secret-a");
    let text = format!(
        r#"{{"schema":2,"name":"n","share":1,"default_class":"d","key_hashes":["{hash}"]}}"#
    );
    assert_eq!(put_faults(RecordKind::Customer, &text).len(), 1);
    let text = r#"{"schema":1,"name":"n","kind":"engine","centre":"c","slots":1,
        "address":"127.0.0.1:1","serves":["m"]}"#;
    assert_eq!(put_faults(RecordKind::Backend, text).len(), 1);
    let text = r#"{"schema":1,"name":"q","customer":"a","class":"d","tier":2}"#;
    assert_eq!(put_faults(RecordKind::Priority, text).len(), 1);
}

#[test]
fn engines_and_services_have_their_own_fields() {
    let text = r#"{"schema":1,"name":"n","kind":"service","centre":"c","slots":1,
        "address":"127.0.0.1:2","serves":["m","o"],"wanted":{"model":"m","version":"1"}}"#;
    assert_eq!(put_faults(RecordKind::Backend, text).len(), 2);
    let text = r#"{"schema":1,"name":"n","kind":"engine","centre":"c","slots":1,
        "address":"127.0.0.1:2","serves":["m"],"wanted":{"model":"o","version":"1"},
        "routes":[{"method":"GET","path":"/"}]}"#;
    assert_eq!(put_faults(RecordKind::Backend, text).len(), 2);
}

#[test]
fn minimum_shares_and_patience_stay_in_their_bounds() {
    let text = r#"{"schema":2,"name":"e","tier":1,"first_token_target_ms":9,
        "minimum_share":0.25,"patience_ms":8}"#;
    let found = put_faults(RecordKind::Class, text);
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[1].contains("at most 0.200"), "{found:?}");
    let own = r#"{"schema":2,"name":"d","tier":1,"first_token_target_ms":9,"minimum_share":0.5}"#;
    assert!(put_faults(RecordKind::Class, own).is_empty());
}

/// Returns two names with the same 32-bit hash.
fn colliding_names() -> (String, String) {
    let mut seen = FastMap::default();
    for index in 0..2_000_000_u32 {
        let name = format!("c{index}");
        if let Some(other) = seen.insert(CustomerId::from_name(&name), index) {
            return (format!("c{other}"), name);
        }
    }
    panic!("two million names have no collision");
}

#[test]
fn names_with_the_same_hash_cannot_both_be_in_force() {
    let (first, second) = colliding_names();
    let text =
        |name: &str| format!(r#"{{"schema":2,"name":"{name}","share":1,"default_class":"d"}}"#);
    let key = format!("records/customer/{first}");
    let mut replica = replica(&[(&key, &text(&first))]);
    let document = parse_document(RecordKind::Customer, text(&second).as_bytes()).unwrap();
    let errors = check(&replica.set(), &RecordChange::Put(Box::new(document))).unwrap_err();
    assert!(errors[0].to_string().contains("`name`"), "{errors:?}");
    let key = format!("records/customer/{second}");
    replica.apply(&RecordDelivery {
        key: &key,
        revision: Revision(9),
        text: Some(text(&second).as_bytes()),
    });
    assert_eq!(replica.set().customers.len(), 1);
    let faults = replica.faults();
    let fault = faults
        .iter()
        .find(|fault| fault.in_force.is_none())
        .unwrap();
    assert!(fault.problem.contains("another name"), "{fault:?}");
}

#[test]
fn a_key_finds_its_customer_with_and_without_the_index() {
    let mut documents = Vec::new();
    for index in 0..580 {
        let hash = hash_key(&format!("key-{index}"));
        documents.push((
            format!("records/customer/c{index}"),
            format!(
                r#"{{"schema":2,"name":"c{index}","share":1,"default_class":"d","key_hashes":["{hash}"]}}"#
            ),
        ));
    }
    let borrowed: Vec<_> = documents
        .iter()
        .map(|(key, text)| (key.as_str(), text.as_str()))
        .collect();
    let indexed = replica(&borrowed).set();
    let plain = RecordSet {
        customers: indexed.customers.clone(),
        ..RecordSet::default()
    };
    for set in [&*indexed, &plain] {
        for index in [0, 7, 579] {
            let wanted = CustomerId::from_name(&format!("c{index}"));
            assert_eq!(set.customer_by_key(&format!("key-{index}")), Some(wanted));
        }
        assert_eq!(set.customer_by_key("key-580"), None);
        assert_eq!(set.customer_by_key(""), None);
    }
}
