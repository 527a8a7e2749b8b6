//! Reconstruction of one request's timeline from the logs of gateways.
//!
//! Each log line is parsed as a JSON object. Text in front of the object, such as a time or a name
//! that a log collector added, is skipped. Lines that cannot be parsed are counted and ignored.
//! docs/OPERATIONS.md shows an example.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::{self, BufRead, BufReader, Read};

use serde::Deserialize;
use thiserror::Error;

mod processes;

use processes::{process_queries, unframed_ends};

/// The time before and after a request within which state changes are shown, in milliseconds.
const VIEW_CHANGE_WINDOW_MS: u64 = 3_000;

/// The time after a request's last line within which a start of its gateway process is taken as
/// the cause of its end, in milliseconds.
const RESTART_WINDOW_MS: u64 = 30_000;

/// One line of a gateway's log; docs/OPERATIONS.md describes the fields.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct LogLine {
    time_ms: u64,
    node: String,
    event: String,
    id: Option<String>,
    backend: Option<String>,
    verdict: Option<String>,
    outcome: Option<String>,
    reason: Option<String>,
    change: Option<String>,
    end: Option<String>,
    status: Option<u16>,
    events: Option<u64>,
    total_ms: Option<f64>,
    first_ms: Option<f64>,
    longest_gap_ms: Option<f64>,
    left_ms: Option<f64>,
    first_wait_ms: Option<f64>,
    return_after_ms: Option<f64>,
    unread: Option<f64>,
    candidates: Option<u64>,
    send: Option<u32>,
    manifest: Option<u64>,
    registry: Option<u64>,
    store_age_ms: Option<f64>,
    version: Option<serde_json::Value>,
    era: Option<u64>,
    for_ms: Option<f64>,
    part: Option<String>,
    digest: Option<String>,
    gateway: Option<String>,
    crashes: Option<u64>,
    software: Option<String>,
    resumed_attempt: Option<String>,
    framing: Option<String>,
    broken_by: Option<String>,
    partial_bytes: Option<u64>,
    evidence: Option<String>,
    last_event: Option<u64>,
    lines: Option<u64>,
    resume_from: Option<u64>,
    started_ms: Option<u64>,
    expected_ms: Option<u64>,
    met_ms: Option<u64>,
    met: Option<String>,
}

/// Holds the parsed lines of the gateways' logs.
#[derive(Debug, Default)]
pub struct GatewayLogs {
    lines: Vec<LogLine>,
    damaged: u64,
    left_out: u64,
}

/// The error that no log line of a request was found.
#[derive(Debug, Error)]
#[error(
    "no line of request {id}: {left_out} lines were left out by the gateways, {damaged} could not be read"
)]
pub struct UnknownRequest {
    id: String,
    left_out: u64,
    damaged: u64,
}

impl GatewayLogs {
    /// Reads the lines of one log.
    pub fn read(&mut self, source: impl Read) -> io::Result<()> {
        let mut reader = BufReader::new(source);
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            self.parse_line(&bytes);
            bytes.clear();
        }
        self.lines.sort_by_key(|line| line.time_ms);
        Ok(())
    }

    fn parse_line(&mut self, bytes: &[u8]) {
        let Some(start) = bytes.iter().position(|byte| *byte == b'{') else {
            self.damaged += u64::from(!bytes.trim_ascii().is_empty());
            return;
        };
        match serde_json::from_slice::<LogLine>(bytes[start..].trim_ascii()) {
            Ok(line) => {
                if line.event == "lines-left-out" {
                    self.left_out += line.lines.unwrap_or(0);
                }
                self.lines.push(line);
            }
            Err(_) => self.damaged += 1,
        }
    }

    /// Returns the timeline of a request, each gateway's view of the platform when the request
    /// arrived, and the cause of its end.
    pub fn explain(&self, id: &str) -> Result<String, UnknownRequest> {
        let own: Vec<&LogLine> = self
            .lines
            .iter()
            .filter(|line| line.id.as_deref() == Some(id))
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Err(UnknownRequest {
                id: id.to_owned(),
                left_out: self.left_out,
                damaged: self.damaged,
            });
        };
        let mut out = String::new();
        self.write_timeline(&mut out, &own, first, last);
        self.write_platform_views(&mut out, &own, first);
        let queries = process_queries(&own);
        let ends = unframed_ends(&own);
        let _ = writeln!(out, "cause: {}{queries}{ends}", self.cause(&own, last));
        if self.damaged + self.left_out > 0 {
            let _ = writeln!(
                out,
                "note: {} lines could not be read, {} were left out by the gateways",
                self.damaged, self.left_out
            );
        }
        Ok(out)
    }

    /// Writes the request's own lines and the state changes around them that may have affected it.
    fn write_timeline(&self, out: &mut String, own: &[&LogLine], first: &LogLine, last: &LogLine) {
        let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
        let backends: Vec<&str> = own
            .iter()
            .filter_map(|line| line.backend.as_deref())
            .collect();
        let from = first.time_ms.saturating_sub(VIEW_CHANGE_WINDOW_MS);
        let to = last.time_ms + VIEW_CHANGE_WINDOW_MS;
        for line in &self.lines {
            let is_own = line.id == first.id;
            let is_near = line.id.is_none()
                && (from..=to).contains(&line.time_ms)
                && nodes.contains(&line.node.as_str())
                && is_relevant(line, &backends);
            if is_own || is_near {
                let offset = line.time_ms as i64 - first.time_ms as i64;
                let _ = writeln!(out, "{offset:>+7} ms  {}  {}", line.node, describe(line));
            }
        }
    }

    /// Writes each gateway's view of the platform when the request arrived.
    fn write_platform_views(&self, out: &mut String, own: &[&LogLine], first: &LogLine) {
        let mut stores: BTreeMap<&str, &LogLine> = BTreeMap::new();
        for line in &self.lines {
            let is_store = line.event == "store-lost" || line.event == "store-regained";
            if is_store && line.time_ms <= first.time_ms {
                stores.insert(&line.node, line);
            }
        }
        let mut written_nodes: Vec<&str> = Vec::new();
        for line in own {
            if written_nodes.contains(&line.node.as_str()) {
                continue;
            }
            written_nodes.push(&line.node);
            let store = match stores.get(line.node.as_str()) {
                Some(lost) if lost.event == "store-lost" => format!(
                    "the store had not answered for {} ms ({})",
                    first.time_ms - lost.time_ms,
                    lost.reason.as_deref().unwrap_or("no reason")
                ),
                _ => "the store answered".to_owned(),
            };
            let manifest = line
                .manifest
                .map_or_else(|| "unknown".to_owned(), |version| version.to_string());
            let registry = line.registry.map_or_else(String::new, |revision| {
                format!(", registry at revision {revision}")
            });
            let _ = writeln!(
                out,
                "belief: {}: manifest {manifest}{registry}; {store}",
                line.node
            );
        }
    }

    fn cause(&self, own: &[&LogLine], last: &LogLine) -> String {
        if let Some(refused) = own.iter().find(|line| line.event == "refused") {
            return format!(
                "the gateway refused it with {}, because {}; it did not run",
                refused.status.unwrap_or(0),
                reason(refused)
            );
        }
        let failures: Vec<String> = own
            .iter()
            .filter(|line| line.event == "attempt-failed" || line.event == "attempt-rejected")
            .map(|line| {
                format!(
                    "{}: {}",
                    line.backend.as_deref().unwrap_or("?"),
                    line.outcome.as_deref().unwrap_or("?")
                )
            })
            .collect();
        let after = if failures.is_empty() {
            String::new()
        } else {
            format!(", after {}", failures.join("; "))
        };
        let Some(end) = own.iter().rev().find(|line| line.event == "end") else {
            return self.cause_without_end(last, &after);
        };
        let verdict = end.verdict.as_deref().unwrap_or("unknown");
        let total = end.total_ms.unwrap_or(0.0);
        match end.end.as_deref() {
            Some("answered") => format!("it was answered as a whole after {total:.0} ms{after}"),
            Some("caller-left") => {
                format!("the caller left after {total:.0} ms{after}; verdict {verdict}")
            }
            Some("cut") => format!(
                "its answer was cut after {} events and {total:.0} ms, because {}{after}",
                end.events.unwrap_or(0),
                reason(end)
            ),
            Some("refused") => format!(
                "it was refused after {total:.0} ms, because {}{after}; it did not run",
                reason(end)
            ),
            _ => format!(
                "it failed after {total:.0} ms, because {}{after}; verdict {verdict}",
                reason(end)
            ),
        }
    }

    fn cause_without_end(&self, last: &LogLine, after: &str) -> String {
        let restart = self.lines.iter().find(|line| {
            line.event == "start"
                && line.node == last.node
                && line.time_ms >= last.time_ms
                && line.time_ms - last.time_ms <= RESTART_WINDOW_MS
        });
        match restart {
            Some(start) => format!(
                "{} ended while it held the request, without a word, and started again {} ms later{after}; it may have run",
                last.node,
                start.time_ms - last.time_ms
            ),
            None => format!(
                "the log of {} ends before the request does: the process was killed, or the log was taken earlier{after}; it may have run",
                last.node
            ),
        }
    }
}

fn reason(line: &LogLine) -> &str {
    line.reason.as_deref().unwrap_or("of no stated reason")
}

/// Returns whether a state change may affect a request that was sent to these backend servers.
fn is_relevant(line: &LogLine, backends: &[&str]) -> bool {
    match line.event.as_str() {
        // A query for no request of its own follows the end of answers without a frame.
        "process-asked" => {
            let backend = line.backend.as_deref().unwrap_or("");
            backends.contains(&backend) && line.met.as_deref() != Some("expected")
        }
        "belief" | "backend-ejected" | "backend-told-down" => match &line.backend {
            Some(backend) => backends.contains(&backend.as_str()),
            None => line.change.as_deref() == Some("manifest"),
        },
        // A request that was sent nowhere may have found that all backend servers leave or back off.
        "backend-leaving" | "backend-backoff" => {
            let backend = line.backend.as_deref().unwrap_or("");
            backends.is_empty() || backends.contains(&backend)
        }
        "store-lost" | "store-regained" | "store-era" | "stopping" | "stopped" | "start"
        | "suspended" => true,
        _ => false,
    }
}

fn describe(line: &LogLine) -> String {
    let mut text = line.event.clone();
    let mut add = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            let _ = write!(text, " {name}={value}");
        }
    };
    add("backend", line.backend.clone());
    add("change", line.change.clone());
    add("version", line.version.as_ref().map(ToString::to_string));
    add("send", line.send.map(|send| send.to_string()));
    add("unread", line.unread.map(|tokens| format!("{tokens:.0}")));
    add("candidates", line.candidates.map(|count| count.to_string()));
    add("left_ms", line.left_ms.map(|span| format!("{span:.0}")));
    add(
        "first_wait_ms",
        line.first_wait_ms.map(|span| format!("{span:.0}")),
    );
    add(
        "return_after_ms",
        line.return_after_ms.map(|span| format!("{span:.0}")),
    );
    add(
        "store_age_ms",
        line.store_age_ms.map(|span| format!("{span:.0}")),
    );
    add("status", line.status.map(|status| status.to_string()));
    add("end", line.end.clone());
    add("verdict", line.verdict.clone());
    add("events", line.events.map(|events| events.to_string()));
    add("first_ms", line.first_ms.map(|span| format!("{span:.0}")));
    add(
        "longest_gap_ms",
        line.longest_gap_ms.map(|span| format!("{span:.0}")),
    );
    add("total_ms", line.total_ms.map(|span| format!("{span:.0}")));
    add(
        "outcome",
        line.outcome.as_ref().map(|text| format!("{text:?}")),
    );
    add("era", line.era.map(|era| era.to_string()));
    add("part", line.part.clone());
    add("digest", line.digest.clone());
    add("gateway", line.gateway.clone());
    add("crashes", line.crashes.map(|count| count.to_string()));
    add("for_ms", line.for_ms.map(|span| format!("{span:.0}")));
    add("software", line.software.clone());
    add("resumed_attempt", line.resumed_attempt.clone());
    add("framing", line.framing.clone());
    add(
        "broken_by",
        line.broken_by.as_ref().map(|text| format!("{text:?}")),
    );
    add(
        "partial_bytes",
        line.partial_bytes.map(|count| count.to_string()),
    );
    add("met", line.met.clone());
    add(
        "expected_ms",
        line.expected_ms.map(|start| start.to_string()),
    );
    add("met_ms", line.met_ms.map(|start| start.to_string()));
    add("evidence", line.evidence.clone());
    add("last_event", line.last_event.map(|id| id.to_string()));
    let reason = line.reason.as_ref().filter(|reason| !reason.is_empty());
    add("reason", reason.map(|text| format!("{text:?}")));
    text
}
