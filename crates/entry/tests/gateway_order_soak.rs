//! A soak of real processes: gateways and engines that are killed, paused and replaced, callers that resume their
//! streams, and a checker of what they receive.
//!
//! `OLEANDERPLANK_SOAK_SEED`, `OLEANDERPLANK_SOAK_COUNT`, `OLEANDERPLANK_SOAK_SECONDS` and `OLEANDERPLANK_SOAK_CALLERS`
//! choose the first seed, the number of seeds, the length of a run and the number of callers. `OLEANDERPLANK_PROGRAM`
//! names another gateway program.

mod gateway;
mod order_soak;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use order_soak::caller::{SoakCaller, stagger};
use order_soak::checker::{self, Fault, Runs};
use order_soak::engine;
use order_soak::fleet::{Fleet, Links};
use order_soak::outcome::Outcome;
use order_soak::shape::{self, Framing};
use order_soak::trace::{Attempt, End, Event, Kind, Trace};
use order_soak::trouble::{self, Trouble, TroubleMaker, end_after};
use parking_lot::Mutex;

/// The number of callers.
const CALLERS: u64 = 24;

/// What a soak plays unless the environment says otherwise.
#[derive(Debug, Clone, Copy)]
struct SoakPlan {
    seed: u64,
    run_seconds: u64,
    callers: u64,
    choices: &'static [Trouble],
    links: Links,
}

impl SoakPlan {
    /// Returns the plan as the environment changes it.
    fn adjusted(self) -> Self {
        Self {
            seed: from_environment("OLEANDERPLANK_SOAK_SEED", self.seed),
            run_seconds: from_environment("OLEANDERPLANK_SOAK_SECONDS", self.run_seconds),
            callers: from_environment("OLEANDERPLANK_SOAK_CALLERS", self.callers),
            ..self
        }
    }
}

fn from_environment(name: &str, otherwise: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(otherwise, |text| text.parse().expect("a whole number"))
}

// The process of an engine; it returns at once where it is run as a test.
#[test]
fn engine_process() {
    engine::serve_if_asked();
}

/// Plays the faults of a plan's seed and returns what callers received.
fn play(plan: SoakPlan) -> Outcome {
    gateway::reuse_ports();
    let fleet = Fleet::start(plan.links);
    let (seed, length) = (plan.seed, Duration::from_secs(plan.run_seconds));
    let troubles = TroubleMaker::new(&fleet, seed, plan.choices);
    let traces: Vec<Trace> = thread::scope(|scope| {
        let (fleet, troubles) = (&fleet, &troubles);
        scope.spawn(|| fleet.keep_registry());
        scope.spawn(|| end_after(fleet, length));
        scope.spawn(|| troubles.release(length));
        scope.spawn(move || troubles.play(scope, length));
        let spawn = |number| {
            scope.spawn(move || {
                stagger(number);
                SoakCaller::new(fleet, seed, number).run()
            })
        };
        let callers: Vec<_> = (0..plan.callers).map(spawn).collect();
        let traces = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"));
        traces.flatten().collect()
    });
    let outcome = Outcome::of(seed, &fleet, &traces, troubles.counts());
    println!("{outcome}");
    outcome.print_faulty(&fleet);
    outcome
}

/// Plays as many seeds as the environment names and fails if one of them breaks a rule.
fn play_all(plan: SoakPlan) {
    /// Runs share the ports of this process.
    static ONE_RUN: Mutex<()> = Mutex::new(());
    let _one_run = ONE_RUN.lock();
    let count = from_environment("OLEANDERPLANK_SOAK_COUNT", 1);
    let plan = plan.adjusted();
    let seeds = plan.seed..plan.seed + count;
    let outcomes = seeds.map(|seed| play(SoakPlan { seed, ..plan }));
    let broken: Vec<String> = outcomes
        .filter(|outcome| outcome.breaks_rules() || !outcome.has_delivered())
        .map(|outcome| outcome.to_string())
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {count} seeds: {broken:#?}",
        broken.len()
    );
}

// Guards against streams that are out of order, and answers that are short or another's, when processes are killed,
// paused and replaced and connections fail.
#[test]
fn what_callers_receive_is_in_order_and_whole_while_processes_are_killed() {
    play_all(SoakPlan {
        seed: 51,
        run_seconds: 35,
        callers: CALLERS,
        choices: &trouble::FAULTS,
        links: Links::Half,
    });
}

// Guards against streams that go on at another software version because the engine at a known id and address has started
// again with it, which gateways learn from the registry later.
#[test]
fn streams_stay_at_their_version_while_engines_start_again_at_another() {
    play_all(SoakPlan {
        seed: 52,
        run_seconds: 15,
        callers: CALLERS,
        choices: &trouble::UPGRADES,
        links: Links::Half,
    });
}

// Guards against short answers that end as whole, and streams of two versions, because an engine that cannot be heard is taken
// for one that stands still or that never tells its start.
#[test]
fn answers_are_whole_and_of_one_version_while_engines_start_again_behind_silent_links() {
    const MANY_CALLERS: u64 = 60;
    play_all(SoakPlan {
        seed: 53,
        run_seconds: 20,
        callers: MANY_CALLERS,
        choices: &trouble::SILENT_UPGRADES,
        links: Links::All,
    });
}

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
