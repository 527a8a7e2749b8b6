//! Logging through `simplelog`, as text or as JSON lines on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use serde::Serialize;
use simplelog::{
    ColorChoice, CombinedLogger, Config, ConfigBuilder, SharedLogger, TermLogger, TerminalMode,
};

use crate::settings::{LogLevel, LogSection};

/// Targets of libraries whose lines are dropped, since they do not report state changes of this
/// program.
const QUIET_TARGETS: [&str; 6] = ["ntex", "quinn", "rustls", "quinn_proto", "quinn_udp", "mio"];

/// Installs the logger; a logger that is installed already stays in place.
pub fn start_logging(section: &LogSection) {
    let level = section.level.filter();
    let logger: Box<dyn SharedLogger> = if section.json {
        Box::new(JsonLogger { level })
    } else {
        TermLogger::new(
            level,
            text_config(),
            TerminalMode::Stderr,
            ColorChoice::Never,
        )
    };
    if CombinedLogger::init(vec![logger]).is_err() {
        log::debug!("a logger is already installed");
    }
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
        }
    }
}

fn text_config() -> Config {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339();
    for target in QUIET_TARGETS {
        config.add_filter_ignore_str(target);
    }
    config.build()
}

/// One log line in JSON.
#[derive(Serialize)]
struct JsonLine<'a> {
    time_ms: u128,
    level: &'a str,
    target: &'a str,
    message: String,
}

/// Writes each log line as one JSON object.
#[derive(Debug)]
struct JsonLogger {
    level: LevelFilter,
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let quiet = QUIET_TARGETS
            .iter()
            .any(|target| metadata.target().starts_with(target));
        metadata.level() <= self.level && !quiet
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = JsonLine {
            time_ms: since_epoch.as_millis(),
            level: record.level().as_str(),
            target: record.target(),
            message: record.args().to_string(),
        };
        if let Ok(text) = serde_json::to_string(&line) {
            let _ = writeln!(std::io::stderr().lock(), "{text}");
        }
    }

    fn flush(&self) {
        let _ = std::io::stderr().flush();
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
