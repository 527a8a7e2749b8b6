//! Explains what a request's gateways knew of backend servers' processes.

use super::LogLine;

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
            (Some("unreachable"), _) => ("did not count", "it took no new connection"),
            (Some("replaced"), _) => ("did not count", "another process had its address"),
            (_, Some(broken_by)) => ("did not count", broken_by),
            (Some("told"), None) => ("counted", "its process told that it still ran"),
            (Some("stayed-open"), None) => ("counted", "another connection to it stayed open"),
            (Some("silent"), None) => (
                "counted",
                "another connection to it stayed open, on which it said nothing",
            ),
            (Some("accepted"), None) => ("counted", "it took a new connection"),
            _ => ("counted", "of no stated evidence"),
        };
        let backend = end.backend.as_deref().unwrap_or("?");
        format!("; the answer of {backend} had no frame and {outcome} as whole, because {reason}")
    };
    ends.map(note).collect()
}
