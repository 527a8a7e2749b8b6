//! Documents: text formats, schema versions, defaults, errors and unknown fields.

mod common;

use common::seeded;
use oleander_base::prelude::*;
use oleander_records::{
    RecordBody, RecordDocument, RecordKind, SchemaCatalog, parse_document, parse_with, schemas,
};
use proptest::prelude::*;
use serde_json::{Map, Value, json};

fn class(text: &str) -> oleander_records::ClassRecord {
    match parse_document(RecordKind::Class, text.as_bytes())
        .unwrap()
        .body
    {
        RecordBody::Class(record) => record,
        other => panic!("{other:?}"),
    }
}

fn error(kind: RecordKind, text: &str) -> String {
    parse_document(kind, text.as_bytes())
        .unwrap_err()
        .to_string()
}

#[test]
fn toml_and_json_parse_to_the_same_record() {
    let toml = "schema = 2\nname = \"draft\"\ntier = 1\nfirst_token_target_ms = 800\n";
    let json = r#"{"schema": 2, "name": "draft", "tier": 1, "first_token_target_ms": 800}"#;
    let document = parse_document(RecordKind::Class, toml.as_bytes()).unwrap();
    assert_eq!(class(toml), class(json));
    let again = parse_document(RecordKind::Class, document.to_json().as_bytes()).unwrap();
    assert_eq!(again, document);
    let again = parse_document(RecordKind::Class, document.to_toml().as_bytes()).unwrap();
    assert_eq!(again, document);
}

#[test]
fn an_old_version_takes_the_defaults_of_the_new_one() {
    let old = class("schema = 1\nname = \"d\"\ntier = 0\nfirst_token_target_ms = 5\n");
    assert_eq!((old.tier, old.token_gap_target_ms), (Tier(0), 100));
    assert_eq!((old.minimum_share, old.patience_ms), (0.02, 30_000));
    // A field of a later version has no effect in an old document.
    let stray = class(
        "schema = 1\nname = \"d\"\ntier = 0\nfirst_token_target_ms = 5\ntoken_gap_target_ms = 7\n",
    );
    assert_eq!(stray, old);
}

#[test]
fn an_old_program_applies_known_fields_and_preserves_unknown_ones() {
    let old = SchemaCatalog::current().up_to(RecordKind::Customer, 1);
    let text = br#"{"schema": 3, "name": "a", "share": 2, "default_class": "d",
        "concurrency_limit": 9, "colour": {"of": ["later", 1]}}"#;
    let document = parse_with(&old, RecordKind::Customer, text).unwrap();
    let RecordBody::Customer(record) = &document.body else {
        panic!("{document:?}")
    };
    assert_eq!((record.share, record.concurrency_limit), (2.0, None));
    let mut changes = Map::new();
    changes.insert("share".to_owned(), json!(3));
    let edited = document.edited(&old, &changes).unwrap();
    let read = parse_document(RecordKind::Customer, edited.to_json().as_bytes()).unwrap();
    let RecordBody::Customer(record) = &read.body else {
        panic!("{read:?}")
    };
    assert_eq!((record.share, record.concurrency_limit), (3.0, Some(9)));
    assert_eq!(read.fields()["colour"], json!({"of": ["later", 1]}));
    assert_eq!(read.version, 3);
}

#[test]
fn errors_name_the_field_its_value_and_a_valid_value() {
    let cases = [
        (
            RecordKind::Class,
            "schema = 2\nname = \"d\"\nfirst_token_target_ms = 5\n",
            "`tier` is nothing, but must be a whole number from 0 to 15",
        ),
        (
            RecordKind::Class,
            "schema = 2\nname = \"d\"\ntier = 16\nfirst_token_target_ms = 0\n",
            "`tier` is 16, but must be a whole number from 0 to 15; `first_token_target_ms` is 0, \
             but must be a whole number from 1 to 86400000",
        ),
        (
            RecordKind::Customer,
            "schema = 2\nname = \"a\"\ndefault_class = \"d\"\n",
            "`share` is nothing, but must be a number above 0 up to 1000000",
        ),
        (
            RecordKind::Customer,
            "name = \"a\"\n",
            "`schema` is nothing, but must be the version of the customer schema, such as 2",
        ),
        (
            RecordKind::Customer,
            "schema = 0\n",
            "`schema` is 0, but must be the version of the customer schema, such as 2",
        ),
        (
            RecordKind::Stop,
            "schema = 1\nname = \"s\"\n[target]\nkind = \"rack\"\nname = \"x\"\n",
            "`target.kind` is \"rack\", but must be one of backend, entry, centre",
        ),
        (
            RecordKind::Backend,
            "schema = 1\nname = \"b\"\nkind = \"service\"\ncentre = \"c\"\nslots = 1\n\
             serves = [\"orders\"]\naddress = \"10.0.0.7\"\n[[routes]]\nmethod = \"get\"\n\
             path = \"/x\"\n",
            "`address` is \"10.0.0.7\", but must be an IP address with a port, such as \
             10.0.0.7:8000; `routes[0].method` is \"get\", but must be one of GET, HEAD, POST, \
             PUT, PATCH, DELETE",
        ),
    ];
    for (kind, text, wanted) in cases {
        assert_eq!(error(kind, text), wanted);
    }
    let syntax = error(RecordKind::Class, "schema = 2\ntier = = 4\n");
    assert!(syntax.starts_with("line 2, column "), "{syntax}");
    let syntax = error(RecordKind::Class, "{\"schema\": 2,\n  tier}");
    assert!(syntax.starts_with("line 2, column "), "{syntax}");
}

#[test]
fn every_schema_describes_itself() {
    let text: String = schemas().iter().map(ToString::to_string).collect();
    assert!(text.contains("class schema 1\n"));
    assert!(text.contains("class schema 2\n"));
    assert!(text.contains(
        "  patience_ms: a whole number from 1 to 86400000, in ms, default 30000. How long"
    ));
    serde_json::to_string(schemas()).unwrap();
}

#[test]
fn every_default_is_allowed_by_its_own_schema() {
    for kind in RecordKind::ALL {
        let text = match kind {
            RecordKind::Customer => r#"{"schema":2,"name":"a","share":1,"default_class":"d"}"#,
            RecordKind::Class => r#"{"schema":2,"name":"a","tier":1,"first_token_target_ms":1}"#,
            RecordKind::Priority => r#"{"schema":1,"name":"a","class":"c","tier":1}"#,
            RecordKind::Backend => {
                r#"{"schema":1,"name":"a","kind":"engine","centre":"c","slots":1,
                "address":"[::1]:1","serves":["m"],"wanted":{"model":"m","version":"1"}}"#
            }
            RecordKind::Stop => {
                r#"{"schema":1,"name":"a","target":{"kind":"entry","name":"127.0.0.1:9"}}"#
            }
        };
        let document = parse_document(kind, text.as_bytes()).unwrap();
        assert!(
            document
                .unknown_fields(&SchemaCatalog::current())
                .is_empty()
        );
    }
    let text = r#"{"schema":1,"name":"a","target":{"kind":"entry","name":"nowhere"}}"#;
    assert!(error(RecordKind::Stop, text).contains("record"));
}

#[test]
fn fields_that_the_version_does_not_define_are_found() {
    let text = br#"{"schema":2,"name":"a","share":1,"default_class":"d","shar":2,"write_id":"x"}"#;
    let document = parse_document(RecordKind::Customer, text).unwrap();
    let unknown = document.unknown_fields(&SchemaCatalog::current());
    assert_eq!(unknown, ["shar"]);
    assert_eq!(document.write_id(), Some("x"));
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9.:]{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 5, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(field_name(), inner, 0..5)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

fn field_name() -> impl Strategy<Value = String> {
    let known = [
        "schema", "name", "kind", "target", "tier", "wanted", "routes", "serves",
    ];
    prop_oneof![
        prop::sample::select(known.to_vec()).prop_map(str::to_owned),
        "[a-z]{1,6}",
    ]
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn no_text_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in 0..5_usize) {
        let _ = parse_document(RecordKind::ALL[kind], &bytes);
    }

    #[test]
    fn no_fields_panic_and_valid_documents_round_trip(
        fields in prop::collection::btree_map(field_name(), any_json(), 0..8),
        kind in 0..5_usize,
    ) {
        let kind = RecordKind::ALL[kind];
        let catalog = SchemaCatalog::current();
        let fields = fields.into_iter().collect();
        if let Ok(document) = RecordDocument::from_fields(&catalog, kind, fields) {
            let again = parse_document(kind, document.to_json().as_bytes()).unwrap();
            prop_assert_eq!(again, document);
        }
    }
}
