//! Reads settings section by section and checks their ranges, gathering every mistake.

use oleander_base::prelude::*;
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::settings::{EntrySettings, SettingsFault};

/// The sections in the order of the file format.
const SECTIONS: [&str; 7] = [
    "instance",
    "callers",
    "operators",
    "peers",
    "platform",
    "dispatch",
    "log",
];
/// Sections that have a default as a whole.
const OPTIONAL_SECTIONS: [&str; 2] = ["dispatch", "log"];

/// Reads a settings text or returns every mistake in it.
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
        return Err(check.faults);
    };
    let settings = EntrySettings {
        instance,
        callers,
        operators,
        peers,
        platform,
        dispatch,
        log,
    };
    check.ranges(&settings);
    check.files(&settings);
    if check.faults.is_empty() {
        Ok(settings)
    } else {
        Err(check.faults)
    }
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

    /// Reads one section; a key at a time, if the whole does not parse, to report all mistakes.
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

    /// Takes out one faulty key after the other, so that each is reported.
    fn section_faults<T: DeserializeOwned>(&mut self, name: &str, value: Value, first: &str) {
        let Value::Table(mut table) = value else {
            self.fault(name, "", "must be a section `[..]`".to_owned());
            return;
        };
        let mut message = first.to_owned();
        let mut reported = FastSet::default();
        while let Some(key) = faulty_key(&table, &message) {
            if !reported.insert(key.clone()) {
                break;
            }
            self.fault(name, &key, message.clone());
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

    fn ranges(&mut self, settings: &EntrySettings) {
        let instance = &settings.instance;
        self.require(
            !instance.name.is_empty(),
            "instance",
            "name",
            "must not be empty",
        );
        self.require(
            !instance.centre.is_empty(),
            "instance",
            "centre",
            "must not be empty",
        );
        let weight = instance.weight;
        self.require(
            weight > 0.0 && weight <= 1_000.0,
            "instance",
            "weight",
            "must be over 0 and at most 1000",
        );
        let callers = &settings.callers;
        self.require(
            (1..=256).contains(&callers.workers),
            "callers",
            "workers",
            "must be 1 to 256",
        );
        self.require(
            callers.body_limit >= 1_024,
            "callers",
            "body_limit",
            "must be at least 1024 bytes",
        );
        self.require(
            callers.request_limit >= 1,
            "callers",
            "request_limit",
            "must be at least 1",
        );
        self.require(
            callers.tls_certificate.is_some() == callers.tls_key.is_some(),
            "callers",
            "tls_certificate",
            "tls_certificate and tls_key must stand together",
        );
        let unspecified = settings.peers.listen.ip().is_unspecified();
        self.require(
            !unspecified,
            "peers",
            "listen",
            "must be the IP number that other entry VMs reach, not a wildcard",
        );
        let calls = settings.platform.calls_per_second;
        self.require(
            calls > 0.0 && calls <= 2_000.0,
            "platform",
            "calls_per_second",
            "must be over 0 and at most 2000",
        );
        let dispatch = &settings.dispatch;
        self.require(
            dispatch.queue_limit >= 1,
            "dispatch",
            "queue_limit",
            "must be at least 1",
        );
        self.require(
            dispatch.report_interval_ms >= 50,
            "dispatch",
            "report_interval_ms",
            "must be at least 50 ms",
        );
    }

    fn files(&mut self, settings: &EntrySettings) {
        let named = [
            (
                "callers",
                "tls_certificate",
                settings.callers.tls_certificate.as_ref(),
            ),
            ("callers", "tls_key", settings.callers.tls_key.as_ref()),
            ("operators", "key_file", Some(&settings.operators.key_file)),
            ("peers", "certificate", Some(&settings.peers.certificate)),
            ("peers", "key", Some(&settings.peers.key)),
            ("peers", "authority", Some(&settings.peers.authority)),
            (
                "platform",
                "token_key_file",
                Some(&settings.platform.token_key_file),
            ),
        ];
        for (section, key, path) in named {
            if let Some(path) = path
                && let Err(error) = std::fs::File::open(path)
            {
                self.fault(
                    section,
                    key,
                    format!("file {} cannot be read: {error}", path.display()),
                );
            }
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

/// Finds which key of a section a message is about: one that it names, or one whose value alone
/// is refused.
fn faulty_key(table: &Table, message: &str) -> Option<String> {
    let named = message.split('`').nth(1).map(str::to_owned);
    if message.starts_with("missing field") || message.starts_with("unknown field") {
        return named;
    }
    let in_value = |value: &Value| {
        let text = value.to_string();
        message.contains(text.trim_matches('"'))
    };
    let shown = table.iter().find(|(_, value)| in_value(value));
    let key = shown.or_else(|| table.iter().next())?.0;
    Some(key.clone())
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
