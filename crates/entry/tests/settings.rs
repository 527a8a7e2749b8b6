//! Invalid settings files and records: each error names the place and the expected value.

use std::path::{Path, PathBuf};

use oleander_entry::{EntrySettings, SettingsError};
use oleander_records::{RecordKind, parse_document};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EXAMPLE: &str = include_str!("../../../examples/entry.toml");
const SECRET: &str = "a-key-that-nobody-may-see";
const SECRET_FILES: [&str; 2] = ["operators.key", "token.key"];
const FILES: [&str; 5] = [
    "operators.key",
    "peer.pem",
    "peer.key",
    "fleet.pem",
    "token.key",
];

/// The example settings, with the files that they name in a temporary directory.
struct Example {
    directory: tempfile::TempDir,
    text: String,
}

impl Example {
    fn write() -> Self {
        let directory = tempfile::tempdir().unwrap();
        for file in FILES {
            std::fs::write(directory.path().join(file), SECRET).unwrap();
        }
        let place = directory.path().display().to_string();
        let text = EXAMPLE.replace("/etc/oleanderplank", &place);
        Self { directory, text }
    }

    fn parse(&self, text: &str) -> Result<EntrySettings, SettingsError> {
        EntrySettings::parse(Path::new("entry.toml"), text)
    }

    /// Returns the text with each line that starts with `old` replaced.
    fn with_line(&self, old: &str, new: &str) -> String {
        assert!(self.text.contains(old), "{old}");
        let replaced = |line: &str| {
            if line.starts_with(old) {
                new.to_owned()
            } else {
                line.to_owned()
            }
        };
        let lines: Vec<String> = self.text.lines().map(replaced).collect();
        lines.join("\n")
    }

    fn line_of(&self, start: &str) -> usize {
        let mut lines = self.text.lines();
        lines.position(|line| line.starts_with(start)).unwrap() + 1
    }
}

#[test]
fn example_is_valid_and_shows_no_secret() {
    let example = Example::write();
    let settings = example.parse(&example.text).unwrap();
    let shown = format!("{settings:?}");
    assert!(shown.contains("operators.key"));
    assert!(!shown.contains(SECRET));
    assert_eq!(
        settings.dispatch,
        oleander_entry::DispatchSection::default()
    );
    assert_eq!(settings.log, oleander_entry::LogSection::default());
}

/// The start of the replaced line, its replacement, the key that the error names and a part of the
/// expected value.
const BAD_LINES: [(&str, &str, &str, &str); 23] = [
    ("name =", "name = \"\"", "instance.name", "1 to 64 letters"),
    ("name =", "name = 7", "instance.name", "must be a name"),
    ("name =", "name = \"ke entry\"", "instance.name", "letters"),
    ("centre =", "centre = \"\"", "instance.centre", "letters"),
    ("centre =", "center = \"ke\"", "instance.center", "spelling"),
    ("centre =", "", "instance.centre", "must be a name"),
    ("weight =", "weight = 0.0", "instance.weight", "over 0"),
    (
        "weight =",
        "weight = \"big\"",
        "instance.weight",
        "a number",
    ),
    ("workers =", "workers = 0", "callers.workers", "1 to 256"),
    (
        "workers =",
        "workers = -1",
        "callers.workers",
        "a whole number",
    ),
    (
        "workers =",
        "workers = \"two\"",
        "callers.workers",
        "a whole number",
    ),
    (
        "body_limit =",
        "body_limit = 10",
        "callers.body_limit",
        "1024",
    ),
    (
        "request_limit =",
        "request_limit = 0",
        "callers.request_limit",
        "at least 1",
    ),
    (
        "key_file =",
        "key_file = \"/absent/key\"",
        "operators.key_file",
        "a file",
    ),
    (
        "key_file =",
        "key_file = 4",
        "operators.key_file",
        "path of a file",
    ),
    (
        "seeds =",
        "seeds = [\"entry-2\"]",
        "peers.seeds",
        "IP numbers",
    ),
    ("certificate =", "", "peers.certificate", "path of a file"),
    (
        "address =",
        "address = \"store.example:2400\"",
        "platform.address",
        "IP number",
    ),
    (
        "calls_per_second =",
        "calls_per_second = 9000.0",
        "platform.calls_per_second",
        "2000",
    ),
    ("policy =", "policy = \"fifo\"", "dispatch.policy", "tiered"),
    (
        "queue_limit =",
        "queue_limit = 0",
        "dispatch.queue_limit",
        "at least 1",
    ),
    (
        "report_interval_ms =",
        "report_interval_ms = 1",
        "dispatch.report_interval_ms",
        "50 ms",
    ),
    ("level =", "level = \"loud\"", "log.level", "\"debug\""),
];

#[test]
fn each_bad_line_is_named_with_the_expected_value() {
    let example = Example::write();
    for (old, new, key, expected) in BAD_LINES {
        let error = example.parse(&example.with_line(old, new)).unwrap_err();
        let found = error.faults.iter().find(|fault| fault.key == key);
        let fault = found.unwrap_or_else(|| panic!("{new}: {error}"));
        assert!(fault.message.contains(expected), "{new}: {error}");
        let line = fault.line.unwrap();
        if !new.is_empty() {
            assert_eq!(line, example.line_of(old), "{new}: {error}");
        }
        let shown = error.to_string();
        assert!(shown.starts_with(&format!("entry.toml:{line}: ")) || error.faults.len() > 1);
        assert!(!shown.contains(SECRET), "{shown}");
    }
}

#[test]
fn whole_file_mistakes_are_named() {
    let example = Example::write();
    let syntax = example.parse(&example.with_line("weight =", "weight = = 1"));
    let syntax = syntax.unwrap_err();
    assert_eq!(syntax.faults[0].line, Some(example.line_of("weight =")));
    let section = example.parse(&format!("{}\n[unknown]\n", example.text));
    let section = section.unwrap_err().to_string();
    assert!(
        section.contains("the sections are instance, callers"),
        "{section}"
    );
    let missing = example.parse(&example.text.replace("[platform]", "[log.platform]"));
    let missing = missing.unwrap_err().to_string();
    assert!(
        missing.contains("platform: the section is missing"),
        "{missing}"
    );
    let wildcard = example
        .text
        .replace("listen = \"10.0.0.7:7000\"", "listen = \"0.0.0.0:7000\"");
    let wildcard = example.parse(&wildcard).unwrap_err().to_string();
    assert!(wildcard.contains("not a wildcard"), "{wildcard}");
    let host = example
        .text
        .replace("listen = \"10.0.0.7:8080\"", "listen = \"localhost\"");
    let host = example.parse(&host).unwrap_err().to_string();
    assert!(
        host.contains("callers.listen") && host.contains("10.0.0.7:8080"),
        "{host}"
    );
    let half = example.with_line("request_limit =", "tls_key = \"/absent\"");
    let half = example.parse(&half).unwrap_err().to_string();
    assert!(half.contains("must stand together"), "{half}");
    for file in SECRET_FILES {
        let path: PathBuf = example.directory.path().join(file);
        std::fs::write(&path, "\n").unwrap();
        let empty = example.parse(&example.text).unwrap_err().to_string();
        assert!(empty.contains("must hold a key"), "{empty}");
        std::fs::write(&path, SECRET).unwrap();
    }
    let absent = EntrySettings::read(Path::new("/absent/entry.toml")).unwrap_err();
    assert!(absent.to_string().contains("cannot be read"));
}

#[test]
fn mistakes_of_all_sections_come_at_once() {
    let example = Example::write();
    let mut text = example.text.clone();
    for (old, new) in [
        ("weight = 1.0", "weight = -1.0"),
        ("workers = 2", "workers = \"two\""),
        ("body_limit = 4194304", "body_limit = \"big\""),
        ("queue_limit = 20000", "queue_limit = 0"),
        ("level = \"info\"", "level = \"loud\""),
    ] {
        text = text.replace(old, new);
    }
    let error = example.parse(&text).unwrap_err();
    let keys: Vec<&str> = error
        .faults
        .iter()
        .map(|fault| fault.key.as_str())
        .collect();
    for key in [
        "instance.weight",
        "callers.workers",
        "callers.body_limit",
        "dispatch.queue_limit",
        "log.level",
    ] {
        assert!(keys.contains(&key), "{key}: {error}");
    }
}

/// An invalid record, the field that the error names and a part of the expected value.
const BAD_RECORDS: [(RecordKind, &str, &str, &str); 10] = [
    (RecordKind::Class, "name = \"a\"", "`schema`", "the version"),
    (
        RecordKind::Class,
        "schema = 0\nname = \"a\"",
        "`schema`",
        "the version",
    ),
    (
        RecordKind::Class,
        "schema = 2\nname = \"a b\"",
        "`name`",
        "1 to 64 letters",
    ),
    (
        RecordKind::Class,
        "schema = 2\nname = \"a\"\ntier = 300",
        "`tier`",
        "a whole number from 0",
    ),
    (
        RecordKind::Class,
        "schema = 2\nname = \"a\"\ntier = \"x\"",
        "`tier`",
        "a whole number",
    ),
    (
        RecordKind::Customer,
        "schema = 2\nname = \"a\"\nshare = 0",
        "`share`",
        "a number",
    ),
    (
        RecordKind::Customer,
        "schema = 2\nname = \"a\"\nkey_hashes = [\"x\"]",
        "`key_hashes",
        "SHA-256",
    ),
    (
        RecordKind::Backend,
        "schema = 1\nname = \"a\"\naddress = \"host:1\"",
        "`address`",
        "an IP address with a port",
    ),
    (
        RecordKind::Stop,
        "schema = 1\nname = \"a\"\ntarget = { kind = \"rack\", name = \"b\" }",
        "`target.kind`",
        "one of backend, entry, centre",
    ),
    (RecordKind::Stop, "schema = 1\nname = ", "line 2", "column"),
];

#[test]
fn each_bad_record_is_named_with_the_expected_value() {
    for (kind, text, field, expected) in BAD_RECORDS {
        let error = parse_document(kind, text.as_bytes()).unwrap_err();
        let shown = error.to_string();
        assert!(
            shown.contains(field) && shown.contains(expected),
            "{text}: {shown}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,200}") {
        let _ = EntrySettings::parse(Path::new("entry.toml"), &text);
        for kind in RecordKind::ALL {
            let _ = parse_document(kind, text.as_bytes());
        }
    }

    #[test]
    fn any_bytes_are_a_record_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        for kind in RecordKind::ALL {
            let _ = parse_document(kind, &bytes);
        }
    }

    #[test]
    fn any_change_of_the_example_is_read_or_refused(
        at in 0..EXAMPLE.len(),
        length in 0..40_usize,
        patch in "[\\PC\\n]{0,20}",
    ) {
        let start = EXAMPLE.floor_char_boundary(at);
        let end = EXAMPLE.floor_char_boundary((start + length).min(EXAMPLE.len()));
        let text = format!("{}{patch}{}", &EXAMPLE[..start], &EXAMPLE[end..]);
        let error = EntrySettings::parse(Path::new("entry.toml"), &text).unwrap_err();
        prop_assert!(!error.faults.is_empty());
    }
}
