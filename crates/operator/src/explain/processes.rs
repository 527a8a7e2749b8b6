//! Explains what a request's gateways knew of backend servers' processes.

use super::LogLine;

/// Why a process is not asked, where the line gives no reason.
const UNASKED: &str = "its backend server counts as one that does not tell its start";

/// Why a process is not asked before a stream goes on there.
const PROVEN: &str = "was not asked, because its connection was known to lead to it";

/// The end of a finding if the request was sent.
const SENT: &str = ": the request was sent there";

/// The end of a finding if no byte of the request was sent.
const NOT_SENT: &str = ": the request was not sent there";

/// The outcome of a send that was given up for the time that it took; its query may have taken that time.
const TIMED_OUT: &str = "no answer: no answer in time";

/// Returns why each answer without a frame was taken for whole, or for broken.
pub(super) fn unframed_ends(own: &[&LogLine]) -> String {
    let ends = own.iter().filter(|line| line.event == "unframed-end");
    let note = |end: &&LogLine| {
        let broken = own
            .iter()
            .find(|line| line.event == "stream-broken" && line.backend == end.backend);
        let broken_by = broken.and_then(|line| line.broken_by.as_deref());
        let (outcome, reason) = match (end.evidence.as_deref(), broken_by) {
            (Some("closed-together"), _) => (
                "did not count",
                "another connection to it closed at the same time",
            ),
            (Some("unreachable"), _) => ("did not count", "its process was not reached"),
            (Some("replaced"), _) => ("did not count", "another process had its address"),
            (Some("silent"), _) => ("did not count", "its process said nothing in time"),
            (_, Some(broken_by)) => ("did not count", broken_by),
            (Some("told"), None) => ("counted", "its process told that it still ran"),
            (Some("stayed-open"), None) => ("counted", "another connection to it stayed open"),
            (Some("accepted"), None) => ("counted", "it took a new connection"),
            _ => ("counted", "of no stated evidence"),
        };
        let backend = end.backend.as_deref().unwrap_or("?");
        format!("; the answer of {backend} had no frame and {outcome} as whole, because {reason}")
    };
    ends.map(note).collect()
}

/// Returns which processes were asked who they are before sends of the request, what came of it, and why one was not
/// asked.
pub(super) fn process_queries(own: &[&LogLine]) -> String {
    let notes = own.iter().enumerate().filter_map(|(index, line)| {
        let later = of_gateway(line, &own[index + 1..]);
        match line.event.as_str() {
            "process-asked" => Some(note(line, &asked(line), sent(line, &later))),
            "process-unasked" => Some(note(line, &unasked(line), sent(line, &later))),
            "send" if is_proven_resume(line, &of_gateway(line, &own[..index]), &later) => {
                Some(note(line, PROVEN, ""))
            }
            _ => None,
        }
    });
    notes.collect()
}

fn note(line: &LogLine, finding: &str, sent: &str) -> String {
    let backend = line.backend.as_deref().unwrap_or("?");
    format!("; the process of {backend} {finding}{sent}")
}

/// Returns the lines that the gateway of `line` wrote.
fn of_gateway<'a>(line: &LogLine, lines: &[&'a LogLine]) -> Vec<&'a LogLine> {
    let written = lines.iter().filter(|other| other.node == line.node);
    written.copied().collect()
}

/// Returns why a process was not asked.
fn unasked(line: &LogLine) -> String {
    let reason = line.reason.as_deref().unwrap_or(UNASKED);
    format!("was not asked, because {reason}")
}

/// Returns what a process showed when it was asked.
fn asked(line: &LogLine) -> String {
    if line.met.as_deref() == Some("untold") && line.expected_ms.is_none() {
        return "was not asked, because its entry names no start".to_owned();
    }
    let answer = match line.met.as_deref() {
        Some("expected") => "is the one that its entry describes",
        Some("other") => "is another one than its entry describes",
        Some("untold") => "does not tell its start",
        Some("silent") => "said nothing in time",
        Some("refused") => "answered, but refused to tell its start then",
        Some("ended") => "could not answer, because its connection ended",
        Some("lost") => "gave no answer of use",
        _ => "showed nothing that is known here",
    };
    let reason = line.reason.as_ref().filter(|reason| !reason.is_empty());
    let reason = reason.map_or_else(String::new, |reason| format!(" ({reason})"));
    format!("was asked, and {answer}{reason}")
}

/// Returns whether the request was sent after a query, as far as the next line tells.
fn sent(query: &LogLine, later: &[&LogLine]) -> &'static str {
    let Some(next) = later.first() else {
        return "";
    };
    let is_there = next.backend == query.backend;
    let outcome = next.outcome.as_deref().unwrap_or("");
    match next.event.as_str() {
        "attempt-failed" if is_there && was_not_sent(outcome) => NOT_SENT,
        "attempt-failed" if is_there && outcome != TIMED_OUT => SENT,
        "attempt-rejected" | "stream-broken" | "unframed-end" if is_there => SENT,
        "end" if next.end.as_deref() == Some("answered") => SENT,
        _ => "",
    }
}

/// Returns whether an outcome says that no byte of a request left the gateway.
fn was_not_sent(outcome: &str) -> bool {
    outcome.starts_with("not sent") || outcome.starts_with("not reached")
}

/// Returns whether a stream went on at a process that the gateway had no need to ask. `earlier` and `later` are the
/// lines of the same gateway before and after the send.
fn is_proven_resume(send: &LogLine, earlier: &[&LogLine], later: &[&LogLine]) -> bool {
    let is_stream = earlier
        .iter()
        .any(|line| line.event == "stream-resumed" || line.event == "stream-broken");
    let was_asked = later
        .iter()
        .take_while(|line| line.event != "send" && line.event != "relayed")
        .any(|line| line.event == "process-asked" || line.event == "process-unasked");
    let is_sent = sent(send, later) == SENT;
    is_stream && send.resume_from.is_some() && send.started_ms.is_some() && !was_asked && is_sent
}
