//! Parses settings section by section and checks their ranges, collecting all errors.

use std::path::Path;

use oleander_base::prelude::*;
use oleander_records::is_name;
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::settings::{
    CallerSettings, DispatchSection, EntrySettings, InstanceSettings, OperatorSettings,
    PeerSection, PlatformSection, SettingsFault,
};

/// The section names, in the order of the file format.
const SECTIONS: [&str; 7] = [
    "instance",
    "callers",
    "operators",
    "peers",
    "platform",
    "dispatch",
    "log",
];
/// Sections that may be omitted.
const OPTIONAL_SECTIONS: [&str; 2] = ["dispatch", "log"];

/// Parses a settings text, or returns all errors in it.
pub(crate) fn parse(text: &str) -> Result<EntrySettings, Vec<SettingsFault>> {
    let table: Table = text
        .parse()
        .map_err(|error| vec![syntax_fault(text, &error)])?;
    let mut check = SettingsCheck {
        text,
        table: &table,
        faults: Vec::new(),
    };
    check.unknown_sections();
    let instance = check.section("instance");
    let callers = check.section("callers");
    let operators = check.section("operators");
    let peers = check.section("peers");
    let platform = check.section("platform");
    let dispatch = check.section("dispatch");
    let log = check.section("log");
    check.instance(instance.as_ref());
    check.callers(callers.as_ref());
    check.operators(operators.as_ref());
    check.peers(peers.as_ref());
    check.platform(platform.as_ref());
    check.dispatch(dispatch.as_ref());
    let faults = check.faults;
    let (
        Some(instance),
        Some(callers),
        Some(operators),
        Some(peers),
        Some(platform),
        Some(dispatch),
        Some(log),
    ) = (instance, callers, operators, peers, platform, dispatch, log)
    else {
        return Err(faults);
    };
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(EntrySettings {
        instance,
        callers,
        operators,
        peers,
        platform,
        dispatch,
        log,
    })
}

struct SettingsCheck<'a> {
    text: &'a str,
    table: &'a Table,
    faults: Vec<SettingsFault>,
}

impl SettingsCheck<'_> {
    fn unknown_sections(&mut self) {
        for key in self.table.keys() {
            if !SECTIONS.contains(&key.as_str()) {
                let message = format!("no such section; the sections are {}", SECTIONS.join(", "));
                self.fault(key, "", message);
            }
        }
    }

    /// Reads one section. If it does not parse as a whole, its keys are tried one by one, so that
    /// all errors are reported.
    fn section<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = match self.table.get(name) {
            Some(value) => value.clone(),
            None if OPTIONAL_SECTIONS.contains(&name) => Value::Table(Table::new()),
            None => {
                self.fault(name, "", "the section is missing".to_owned());
                return None;
            }
        };
        match value.clone().try_into() {
            Ok(section) => Some(section),
            Err(error) => {
                self.section_faults::<T>(name, value, error.message());
                None
            }
        }
    }

    /// Removes one invalid key after another, so that each is reported.
    fn section_faults<T: DeserializeOwned>(&mut self, name: &str, value: Value, first: &str) {
        let Value::Table(mut table) = value else {
            self.fault(name, "", "must be a section `[..]`".to_owned());
            return;
        };
        let mut message = first.to_owned();
        let mut reported = FastSet::default();
        while let Some(key) = faulty_key::<T>(&table, &message) {
            if !reported.insert(key.clone()) {
                break;
            }
            let expected = expected_value(name, &key);
            self.fault(name, &key, format!("{message}{expected}"));
            table.remove(&key);
            match Value::Table(table.clone()).try_into::<T>() {
                Ok(_) => return,
                Err(error) => message = error.message().to_owned(),
            }
            if message.contains(&format!("missing field `{key}`")) {
                return;
            }
        }
        if reported.is_empty() {
            self.fault(name, "", message);
        }
    }

    fn instance(&mut self, settings: Option<&InstanceSettings>) {
        let Some(settings) = settings else { return };
        let name_message = "must be a name of 1 to 64 letters, digits, `.`, `_` or `-`";
        let name = is_name(&settings.name);
        self.require(name, "instance", "name", name_message);
        let centre = is_name(&settings.centre);
        self.require(centre, "instance", "centre", name_message);
        self.require(
            settings.weight > 0.0 && settings.weight <= 1_000.0,
            "instance",
            "weight",
            "must be over 0 and at most 1000",
        );
    }

    fn callers(&mut self, settings: Option<&CallerSettings>) {
        let Some(settings) = settings else { return };
        self.require(
            (1..=256).contains(&settings.workers),
            "callers",
            "workers",
            "must be 1 to 256",
        );
        self.require(
            settings.body_limit >= 1_024,
            "callers",
            "body_limit",
            "must be at least 1024 bytes",
        );
        self.require(
            settings.request_limit >= 1,
            "callers",
            "request_limit",
            "must be at least 1",
        );
        self.require(
            settings.tls_certificate.is_some() == settings.tls_key.is_some(),
            "callers",
            "tls_certificate",
            "tls_certificate and tls_key must stand together",
        );
        self.file(
            "callers",
            "tls_certificate",
            settings.tls_certificate.as_deref(),
        );
        self.file("callers", "tls_key", settings.tls_key.as_deref());
    }

    fn operators(&mut self, settings: Option<&OperatorSettings>) {
        let Some(settings) = settings else { return };
        self.secret("operators", "key_file", &settings.key_file);
    }

    fn peers(&mut self, settings: Option<&PeerSection>) {
        let Some(settings) = settings else { return };
        self.require(
            !settings.listen.ip().is_unspecified(),
            "peers",
            "listen",
            "must be the IP number that other entry VMs reach, not a wildcard",
        );
        self.file("peers", "certificate", Some(&settings.certificate));
        self.file("peers", "key", Some(&settings.key));
        self.file("peers", "authority", Some(&settings.authority));
    }

    fn platform(&mut self, settings: Option<&PlatformSection>) {
        let Some(settings) = settings else { return };
        let calls = settings.calls_per_second;
        self.require(
            calls > 0.0 && calls <= 2_000.0,
            "platform",
            "calls_per_second",
            "must be over 0 and at most 2000",
        );
        self.secret("platform", "token_key_file", &settings.token_key_file);
    }

    fn dispatch(&mut self, settings: Option<&DispatchSection>) {
        let Some(settings) = settings else { return };
        self.require(
            settings.queue_limit >= 1,
            "dispatch",
            "queue_limit",
            "must be at least 1",
        );
        self.require(
            settings.report_interval_ms >= 50,
            "dispatch",
            "report_interval_ms",
            "must be at least 50 ms",
        );
    }

    fn file(&mut self, section: &str, key: &str, path: Option<&Path>) {
        if let Some(path) = path
            && let Err(error) = std::fs::File::open(path)
        {
            let place = path.display();
            let message = format!("file {place} cannot be read: {error}; must be a file here");
            self.fault(section, key, message);
        }
    }

    /// Checks a file that holds a secret; error messages never show its content.
    fn secret(&mut self, section: &str, key: &str, path: &Path) {
        match std::fs::read_to_string(path) {
            Ok(text) if text.trim().is_empty() => {
                let message = format!("file {} is empty; must hold a key", path.display());
                self.fault(section, key, message);
            }
            Ok(_) => {}
            Err(_) => self.file(section, key, Some(path)),
        }
    }

    fn require(&mut self, holds: bool, section: &str, key: &str, message: &str) {
        if !holds {
            self.fault(section, key, message.to_owned());
        }
    }

    fn fault(&mut self, section: &str, key: &str, message: String) {
        let line = key_line(self.text, section, key);
        let key = if key.is_empty() {
            section.to_owned()
        } else {
            format!("{section}.{key}")
        };
        self.faults.push(SettingsFault { line, key, message });
    }
}

/// Finds the key of a section that a message is about: the key that it names, or the one whose
/// removal makes the message go away.
fn faulty_key<T: DeserializeOwned>(table: &Table, message: &str) -> Option<String> {
    if message.starts_with("missing field") || message.starts_with("unknown field") {
        return message.split('`').nth(1).map(str::to_owned);
    }
    let is_cause = |key: &String| {
        let mut rest = table.clone();
        rest.remove(key);
        let read = Value::Table(rest).try_into::<T>();
        read.map_or_else(|error| error.message() != message, |_| true)
    };
    let in_value = |key: &String| message.contains(table[key].to_string().trim_matches('"'));
    let causes = table.keys().find(|key| is_cause(key));
    let key = causes.or_else(|| table.keys().find(|key| in_value(key)));
    key.cloned()
}

/// Returns the expected form of a key's value, to append to the message of a parse error.
fn expected_value(section: &str, key: &str) -> String {
    let wanted = match (section, key) {
        (_, "listen") | ("platform", "address") => {
            "an IP number with a port, such as \"10.0.0.7:8080\""
        }
        ("peers", "seeds") => "a list of IP numbers with ports, such as [\"10.0.0.8:7000\"]",
        ("instance", "name" | "centre") => "a name, such as \"ke-entry-1\" or \"ke\"",
        ("instance", "weight") | ("platform", "calls_per_second") => "a number, such as 20.0",
        ("callers", "workers" | "body_limit" | "request_limit")
        | ("dispatch", "queue_limit" | "report_interval_ms") => "a whole number, such as 1000",
        ("dispatch", "spill") | ("log", "json") => "true or false",
        ("dispatch", "policy") => "\"tiered\"",
        ("log", "level") => "\"error\", \"warn\", \"info\" or \"debug\"",
        ("callers", "tls_certificate" | "tls_key")
        | ("operators", "key_file")
        | ("peers", "certificate" | "key" | "authority")
        | ("platform", "token_key_file") => "the path of a file in quotes",
        _ => return "; remove it or mend its spelling".to_owned(),
    };
    format!("; must be {wanted}")
}

fn key_line(text: &str, section: &str, key: &str) -> Option<usize> {
    let header = format!("[{section}]");
    let mut lines = text.lines().enumerate();
    let start = lines
        .by_ref()
        .find(|(_, line)| line.trim_start().starts_with(&header))?
        .0;
    if key.is_empty() {
        return Some(start + 1);
    }
    let found = lines
        .take_while(|(_, line)| !line.trim_start().starts_with('['))
        .find(|(_, line)| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        });
    Some(found.map_or(start, |(index, _)| index) + 1)
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> SettingsFault {
    let line = error
        .span()
        .map(|span| text[..span.start.min(text.len())].lines().count().max(1));
    SettingsFault {
        line,
        key: "syntax".to_owned(),
        message: error.message().to_owned(),
    }
}
