//! Tests of the checker: it passes what the rules allow and sees each fault.

use std::collections::BTreeSet;
use std::time::Duration;

use super::checker::{self, Fault, Runs};
use super::shape::{self, Framing};
use super::trace::{Attempt, End, Event, Kind, Trace};

/// Returns a name of a stream of at least ten events whose first attempt has the framing.
fn stream_name(framing: Framing) -> String {
    let names = (0..).map(|number| format!("n{number}"));
    let is_fit = |name: &String| {
        shape::stream_length(name) >= 10 && shape::stream_framing(&format!("{name}a1")) == framing
    };
    names
        .into_iter()
        .find(is_fit)
        .expect("half of the names fit")
}

fn attempt(name: &str, number: usize, from: u64, ids: &[u64], end: End) -> Attempt {
    let event = |id: &u64| Event {
        id: *id,
        name: name.to_owned(),
        number: *id,
        version: "v1".to_owned(),
    };
    let id = format!("{name}a{number}");
    Attempt {
        gateway: 0,
        from,
        status: 200,
        signature: Some(format!("proof-{id}")),
        answered_id: Some(id.clone()),
        events: ids.iter().map(event).collect(),
        body: String::new(),
        end,
        lasted: Duration::ZERO,
        id,
    }
}

fn digest(name: &str, attempts: Vec<Attempt>) -> Trace {
    Trace {
        name: name.to_owned(),
        kind: Kind::Digest,
        attempts,
    }
}

fn faults(trace: &Trace) -> Vec<Fault> {
    let faults: BTreeSet<Fault> = checker::check(trace, &Runs::default());
    faults.into_iter().collect()
}

fn all_events(name: &str) -> Vec<u64> {
    (1..=shape::stream_length(name)).collect()
}

#[test]
fn the_checker_passes_whole_broken_and_resumed_streams() {
    let name = stream_name(Framing::UntilClose);
    let all = all_events(&name);
    let whole = attempt(&name, 1, 0, &all, End::Complete);
    assert_eq!(faults(&digest(&name, vec![whole])), []);
    let broken = attempt(&name, 1, 0, &all[..4], End::Broken);
    let rest = attempt(&name, 2, 4, &all[4..], End::Complete);
    assert_eq!(faults(&digest(&name, vec![broken, rest])), []);
}

#[test]
fn the_checker_sees_missing_double_and_backward_pieces() {
    let name = stream_name(Framing::Chunked);
    let cases: [(&[u64], Fault); 4] = [
        (&[1, 2, 4], Fault::MissingPiece),
        (&[2, 3], Fault::MissingPiece),
        (&[1, 2, 2, 3], Fault::DoublePiece),
        (&[1, 2, 3, 1], Fault::BackwardPiece),
    ];
    for (ids, fault) in cases {
        let trace = digest(&name, vec![attempt(&name, 1, 0, ids, End::Broken)]);
        assert_eq!(faults(&trace), [fault], "{ids:?}");
    }
}

#[test]
fn the_checker_sees_a_resumed_stream_that_repeats_or_skips_an_event() {
    let name = stream_name(Framing::Chunked);
    for (next, fault) in [
        (4, Fault::DoublePiece),
        (3, Fault::BackwardPiece),
        (6, Fault::MissingPiece),
    ] {
        let first = attempt(&name, 1, 0, &[1, 2, 3, 4], End::Broken);
        let second = attempt(&name, 2, 4, &[next], End::Broken);
        assert_eq!(
            faults(&digest(&name, vec![first, second])),
            [fault],
            "{next}"
        );
    }
}

#[test]
fn the_checker_sees_a_stream_that_is_complete_before_its_last_piece() {
    for (framing, fault) in [
        (Framing::UntilClose, Fault::UnframedEnd),
        (Framing::Chunked, Fault::FramedEnd),
    ] {
        let name = stream_name(framing);
        let all = all_events(&name);
        let short = attempt(&name, 1, 0, &all[..all.len() - 1], End::Complete);
        assert_eq!(faults(&digest(&name, vec![short])), [fault]);
    }
}

#[test]
fn the_checker_sees_two_versions_in_one_answer_and_over_attempts() {
    let name = stream_name(Framing::Chunked);
    let mut joined = attempt(&name, 1, 0, &[1, 2, 3], End::Broken);
    joined.events[2].version = "v2".to_owned();
    assert_eq!(faults(&digest(&name, vec![joined])), [Fault::TwoVersions]);
    let first = attempt(&name, 1, 0, &[1, 2], End::Broken);
    let mut second = attempt(&name, 2, 2, &[3], End::Broken);
    second.events[0].version = "v2".to_owned();
    assert_eq!(
        faults(&digest(&name, vec![first, second])),
        [Fault::TwoVersions]
    );
}

#[test]
fn the_checker_sees_pieces_and_signatures_of_other_requests() {
    let name = stream_name(Framing::Chunked);
    let mut foreign = attempt(&name, 1, 0, &[1, 2], End::Broken);
    foreign.events[1].name = "another".to_owned();
    assert_eq!(faults(&digest(&name, vec![foreign])), [Fault::ForeignPiece]);
    let mut unsigned = attempt(&name, 1, 0, &[1], End::Broken);
    unsigned.signature = None;
    assert_eq!(
        faults(&digest(&name, vec![unsigned])),
        [Fault::WrongSignature]
    );
}

/// Returns a call that may run once, with the body it got.
fn publish(name: &str, body: &str, end: End) -> Trace {
    let mut attempt = attempt(name, 1, 0, &[], end);
    attempt.body = body.to_owned();
    Trace {
        name: name.to_owned(),
        kind: Kind::Publish,
        attempts: vec![attempt],
    }
}

#[test]
fn the_checker_sees_short_and_wrong_bodies() {
    let name = "n1";
    let pieces = shape::body_pieces(name, "v1");
    assert_eq!(faults(&publish(name, &pieces.concat(), End::Complete)), []);
    let short = pieces[..pieces.len() - 1].concat();
    assert_eq!(faults(&publish(name, &short, End::Broken)), []);
    let seen = faults(&publish(name, &short, End::Complete));
    assert!(
        matches!(seen[..], [Fault::UnframedEnd | Fault::WrongBody]),
        "{seen:?}"
    );
    let other = shape::body_pieces("n2", "v1").concat();
    assert_eq!(
        faults(&publish(name, &other, End::Complete)),
        [Fault::WrongBody]
    );
}

#[test]
fn the_checker_sees_calls_that_ran_twice_or_after_a_refusal() {
    let body = shape::body_pieces("n1", "v1").concat();
    let mut runs = Runs::default();
    runs.insert("n1".to_owned(), vec!["n1a1".to_owned()]);
    let mut trace = publish("n1", &body, End::Complete);
    assert_eq!(checker::check(&trace, &runs), BTreeSet::new());
    trace.attempts[0].status = 503;
    assert_eq!(
        checker::check(&trace, &runs),
        BTreeSet::from([Fault::RefusedYetRan])
    );
    trace.attempts[0].status = 200;
    runs.insert("n1".to_owned(), vec!["n1a1".to_owned(), "n1a1".to_owned()]);
    assert_eq!(
        checker::check(&trace, &runs),
        BTreeSet::from([Fault::RanTwice])
    );
}

// An engine that lives ends a stream inside an event.
#[test]
fn the_checker_sees_a_stream_that_is_complete_inside_an_event() {
    let name = stream_name(Framing::UntilClose);
    let all = all_events(&name);
    let mut inside = attempt(&name, 1, 0, &all[..3], End::Complete);
    inside.body = format!("id: 4\ndata: {name} 4");
    let seen = faults(&digest(&name, vec![inside]));
    assert_eq!(seen, [Fault::UnframedEnd, Fault::WrongBody]);
}

// An engine adds a second answer on a connection that is kept.
#[test]
fn the_checker_sees_an_answer_to_an_earlier_request_on_the_same_connection() {
    let body = shape::body_pieces("n1", "v1").concat();
    let mut second = publish("n2", &body, End::Complete);
    second.attempts[0].answered_id = Some("n1a1".to_owned());
    second.attempts[0].signature = Some("proof-n1a1".to_owned());
    assert_eq!(faults(&second), [Fault::WrongBody, Fault::WrongSignature]);
}

// An address is used again by an engine of the other service.
#[test]
fn the_checker_sees_answers_of_engines_of_the_other_service() {
    let name = stream_name(Framing::Chunked);
    let mut stream = attempt(&name, 1, 0, &[1, 2], End::Broken);
    for event in &mut stream.events {
        event.version = "desk-v1".to_owned();
    }
    assert_eq!(faults(&digest(&name, vec![stream])), [Fault::OtherService]);
    let body = shape::body_pieces("n1", "engines-v1").concat();
    let seen = faults(&publish("n1", &body, End::Complete));
    assert_eq!(seen, [Fault::OtherService]);
}
