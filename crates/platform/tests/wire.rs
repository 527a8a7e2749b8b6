//! Tests the wire format: no text makes a decoder panic, and decoding restores what was encoded.

use oleander_base::prelude::*;
use oleander_platform::wire::{
    GrantAnswer, ListAnswer, PutBody, VmsAnswer, WatchAnswer, WireError, WireExpected, WireValue,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates texts of the wire format's tokens in any order.
fn token_sequences() -> impl Strategy<Value = String> {
    let tokens = [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"revision\"",
        "\"events\"",
        "\"value\"",
        "\"error\"",
        "\"conflict\"",
        "\"current\"",
        "null",
        "-1",
        "18446744073709551616",
        "\"AA==\"",
        "\"%\"",
    ];
    prop::collection::vec(prop::sample::select(tokens.to_vec()), 0..20)
        .prop_map(|tokens| tokens.concat())
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn no_text_panics(text in prop_oneof![token_sequences(), any::<String>()]) {
        let _ = serde_json::from_str::<ListAnswer>(&text);
        let _ = serde_json::from_str::<WatchAnswer>(&text);
        let _ = serde_json::from_str::<GrantAnswer>(&text);
        let _ = serde_json::from_str::<VmsAnswer>(&text);
        let _ = serde_json::from_str::<WireError>(&text);
    }

    #[test]
    fn a_put_is_read_as_it_was_written(
        key in any::<String>(),
        value in prop::collection::vec(any::<u8>(), 0..300),
        revision in prop::option::of(any::<u64>()),
        lease in prop::option::of(any::<u64>()),
    ) {
        let body = PutBody {
            key: key.clone(),
            expected: WireExpected { revision: revision.map(Revision) },
            value: WireValue(value.into()),
            lease,
        };
        let text = serde_json::to_string(&body).unwrap();
        let read: PutBody = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read.key, key);
        prop_assert_eq!(read.value, body.value);
        prop_assert_eq!(read.expected.revision, body.expected.revision);
        prop_assert_eq!(read.lease, lease);
    }
}
