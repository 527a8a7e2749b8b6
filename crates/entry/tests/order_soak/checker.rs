//! Checks what callers received against the rules ORDER, MIXED, TWICE and REFUSED.

use std::collections::BTreeSet;

use oleander_base::FastMap;

use super::shape::{self, Framing};
use super::trace::{Attempt, End, Event, Kind, Trace};

/// The way in which an answer broke a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// An answer with neither a length nor chunks ended as complete before its last piece.
    UnframedEnd,
    /// A chunked stream ended as complete before its last piece.
    FramedEnd,
    /// A piece is missing between two others.
    MissingPiece,
    /// A piece came twice in a row.
    DoublePiece,
    /// A piece came after a later one.
    BackwardPiece,
    /// Pieces of two software versions were joined.
    TwoVersions,
    /// A piece belongs to another request, or its data has another number than its id.
    ForeignPiece,
    /// An answer that is no stream was complete with another body than the engine's.
    WrongBody,
    /// A success lacks the engine's signature, or bears that of another request.
    WrongSignature,
    /// An engine of the other service answered.
    OtherService,
    /// A request that may run once ran more often.
    RanTwice,
    /// A request that was refused with a promise has run.
    RefusedYetRan,
}

/// The services, and the software versions by which answers of those of their engines are known that serve at an
/// address of an engine of the other service.
pub const OTHER_SERVICE: [(&str, &str); 2] = [("desk", "desk-v1"), ("engines", "engines-v1")];

/// The attempt ids with which each request ran at engines, by the request's name.
pub type Runs = FastMap<String, Vec<String>>;

/// Returns all faults in what a caller received.
pub fn check(trace: &Trace, runs: &Runs) -> BTreeSet<Fault> {
    let mut faults = BTreeSet::new();
    for attempt in &trace.attempts {
        check_signature(attempt, &mut faults);
        match trace.kind.is_stream() {
            true => check_stream(&trace.name, attempt, &mut faults),
            false => check_body(&trace.name, attempt, &mut faults),
        }
    }
    check_service(trace, &mut faults);
    if count_versions(trace) > 1 {
        faults.insert(Fault::TwoVersions);
    }
    if !trace.kind.is_repeatable() {
        check_runs(trace, runs, &mut faults);
    }
    faults
}

/// Checks that streams come from engines of the streaming service, and other answers from those of the log service.
fn check_service(trace: &Trace, faults: &mut BTreeSet<Fault>) {
    let (_, other) = OTHER_SERVICE[usize::from(!trace.kind.is_stream())];
    for attempt in &trace.attempts {
        let has_event = attempt.events.iter().any(|event| event.version == other);
        if has_event || attempt.body.contains(other) {
            faults.insert(Fault::OtherService);
        }
    }
}

fn check_signature(attempt: &Attempt, faults: &mut BTreeSet<Fault>) {
    if attempt.status != 200 {
        return;
    }
    let is_signed = attempt.signature.as_deref() == Some(&format!("proof-{}", attempt.id));
    let is_ours = attempt
        .answered_id
        .as_ref()
        .is_none_or(|id| *id == attempt.id);
    if !is_signed || !is_ours {
        faults.insert(Fault::WrongSignature);
    }
}

fn check_stream(name: &str, attempt: &Attempt, faults: &mut BTreeSet<Fault>) {
    let mut last = attempt.from;
    for event in &attempt.events {
        faults.extend(fault_of_event(name, event, last));
        last = last.max(event.id);
    }
    if attempt.status != 200 || attempt.end != End::Complete {
        return;
    }
    if !attempt.body.is_empty() {
        faults.insert(Fault::WrongBody);
    }
    if last < shape::stream_length(name) {
        faults.insert(match shape::stream_framing(&attempt.id) {
            Framing::UntilClose => Fault::UnframedEnd,
            Framing::Chunked | Framing::Length => Fault::FramedEnd,
        });
    }
}

/// Returns what is wrong with an event that follows the one with the id `last`.
fn fault_of_event(name: &str, event: &Event, last: u64) -> Option<Fault> {
    let is_foreign =
        event.name != name || event.number != event.id || event.id > shape::stream_length(name);
    if is_foreign {
        return Some(Fault::ForeignPiece);
    }
    match event.id {
        id if id == last + 1 => None,
        id if id > last => Some(Fault::MissingPiece),
        id if id == last => Some(Fault::DoublePiece),
        _ => Some(Fault::BackwardPiece),
    }
}

fn check_body(name: &str, attempt: &Attempt, faults: &mut BTreeSet<Fault>) {
    if attempt.status != 200 || attempt.end != End::Complete {
        return;
    }
    let version = attempt.body.rsplit(' ').next().unwrap_or("");
    let whole = shape::body_pieces(name, version.trim_end_matches(']')).concat();
    if attempt.body == whole {
        return;
    }
    let is_short = whole.starts_with(&attempt.body);
    faults.insert(match shape::body_framing(&attempt.id) {
        Framing::UntilClose if is_short => Fault::UnframedEnd,
        _ => Fault::WrongBody,
    });
}

fn count_versions(trace: &Trace) -> usize {
    if trace.kind != Kind::Digest {
        return 1;
    }
    let events = trace.attempts.iter().flat_map(|attempt| &attempt.events);
    let versions: BTreeSet<&str> = events.map(|event| event.version.as_str()).collect();
    versions.len()
}

fn check_runs(trace: &Trace, runs: &Runs, faults: &mut BTreeSet<Fault>) {
    const PROMISES: [u16; 4] = [408, 421, 429, 503];
    let Some(ran) = runs.get(&trace.name) else {
        return;
    };
    if ran.len() > 1 {
        faults.insert(Fault::RanTwice);
    }
    let refused = trace.attempts.iter();
    let mut refused = refused.filter(|attempt| PROMISES.contains(&attempt.status));
    if refused.any(|attempt| ran.contains(&attempt.id)) {
        faults.insert(Fault::RefusedYetRan);
    }
}
