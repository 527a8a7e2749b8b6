//! Tests of what the explanation of a request tells of its backend servers' processes, from log lines.

use oleander_operator::GatewayLogs;
use serde_json::{Value, json};

/// Returns a line of a request at one gateway, with the fields of `more`.
fn line(time_ms: u64, event: &str, more: &Value) -> String {
    let mut line =
        json!({"time_ms": time_ms, "node": "edge-1", "event": event, "id": "a", "backend": "i-1"});
    let more = more.as_object().expect("fields").clone();
    line.as_object_mut().expect("an object").extend(more);
    format!("{line}\n")
}

fn explain(lines: &[String]) -> String {
    let mut logs = GatewayLogs::default();
    logs.read(lines.concat().as_bytes()).expect("lines");
    logs.explain("a").expect("the request has lines")
}

/// Explains a request whose process was asked, with this result and these lines after it.
fn explain_query(fields: &Value, after: &[String]) -> String {
    let mut lines = vec![
        line(10, "send", &json!({"started_ms": 1_000})),
        line(20, "process-asked", fields),
    ];
    lines.extend_from_slice(after);
    explain(&lines)
}

fn not_sent() -> String {
    line(
        30,
        "attempt-failed",
        &json!({"outcome": "not sent: another process at its address"}),
    )
}

fn answered(time_ms: u64) -> String {
    line(time_ms, "end", &json!({"backend": null, "end": "answered"}))
}

// Guards against explanations in which silence, refusals and other processes look the same.
#[test]
fn what_a_process_showed_is_told() {
    let cases = [
        ("expected", "is the one that its entry describes"),
        ("other", "is another one than its entry describes"),
        ("untold", "does not tell its start"),
        ("silent", "said nothing in time"),
        (
            "refused",
            "answered, but refused to tell its start then (busy)",
        ),
        ("lost", "gave no answer of use (busy)"),
    ];
    for (met, expected) in cases {
        let has_reason = matches!(met, "refused" | "lost");
        let reason = has_reason.then_some("busy");
        let fields = json!({"met": met, "expected_ms": 1_000, "reason": reason});
        let text = explain_query(&fields, &[not_sent()]);
        let note = format!(
            "; the process of i-1 was asked, and {expected}: the request was not sent there"
        );
        assert!(text.contains(&note), "{text}");
        let text = explain_query(&fields, &[answered(30)]);
        let note =
            format!("; the process of i-1 was asked, and {expected}: the request was sent there");
        assert!(text.contains(&note), "{text}");
    }
}

// Guards against claims about a send of which the log says nothing.
#[test]
fn a_send_that_may_have_ended_within_its_query_is_left_open() {
    let timed_out = line(
        30,
        "attempt-failed",
        &json!({"outcome": "no answer: no answer in time"}),
    );
    let left = line(30, "end", &json!({"backend": null, "end": "caller-left"}));
    for after in [vec![], vec![timed_out], vec![left]] {
        let text = explain_query(&json!({"met": "silent", "expected_ms": 1_000}), &after);
        assert!(text.contains("said nothing in time\n"), "{text}");
    }
}

// Guards against explanations that do not say why a process was not asked.
#[test]
fn why_a_process_was_not_asked_is_told() {
    let no_start = explain_query(&json!({"met": "untold"}), &[answered(30)]);
    let unasked = explain(&[
        line(10, "send", &json!({})),
        line(20, "process-unasked", &json!({"expected_ms": 1_000})),
        answered(30),
    ]);
    let proven = explain(&[
        line(5, "stream-resumed", &json!({"backend": null})),
        line(10, "send", &json!({"started_ms": 1_000, "resume_from": 3})),
        answered(30),
    ]);
    let cases = [
        (no_start, "its entry names no start"),
        (
            unasked,
            "its backend server counts as one that does not tell its start",
        ),
        (proven, "its connection was known to lead to it"),
    ];
    for (text, reason) in cases {
        let note = format!("; the process of i-1 was not asked, because {reason}");
        assert!(text.contains(&note), "{text}");
    }
}

// Guards against the claim that a process was proven where its gateway asked none, or the stream did not go on there.
#[test]
fn nothing_is_said_of_a_process_that_no_line_shows() {
    let resumed = line(5, "stream-resumed", &json!({"backend": null}));
    let send = |fields: &Value| line(10, "send", fields);
    let cases = [
        vec![send(&json!({"started_ms": 1_000})), answered(30)],
        vec![
            resumed.clone(),
            send(&json!({"resume_from": 3})),
            answered(30),
        ],
        vec![
            resumed,
            send(&json!({"started_ms": 1_000, "resume_from": 3})),
            not_sent(),
        ],
    ];
    for lines in cases {
        let text = explain(&lines);
        assert!(!text.contains("the process of"), "{text}");
    }
}

// Guards against an answer without a frame whose process could not be heard, and that is explained as whole.
#[test]
fn an_end_whose_process_was_silent_is_told_as_broken() {
    let text = explain(&[
        line(10, "send", &json!({})),
        line(20, "unframed-end", &json!({"evidence": "silent"})),
        line(21, "process-asked", &json!({"id": null, "met": "silent"})),
    ]);
    let note = "the answer of i-1 had no frame and did not count as whole, because its process said nothing in time";
    assert!(text.contains(note), "{text}");
    assert!(
        text.contains("process-asked backend=i-1 met=silent"),
        "{text}"
    );
}
