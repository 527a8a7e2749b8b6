//! A soak of real processes: gateways and engines that are killed, paused and replaced, callers that resume their
//! streams, and a checker of what they receive.
//!
//! `OLEANDERPLANK_SOAK_SEED`, `OLEANDERPLANK_SOAK_COUNT`, `OLEANDERPLANK_SOAK_SECONDS` and `OLEANDERPLANK_SOAK_CALLERS`
//! choose the first seed, the number of seeds, the length of a run and the number of callers.
//! `OLEANDERPLANK_SOAK_KINDS` names the kinds of faults, such as `lossy-link,engine-upgrade`: the variants of `Trouble`
//! in kebab case, as often as they are to be chosen. `OLEANDERPLANK_PROGRAM` names another gateway program,
//! and `OLEANDERPLANK_OLD_PROGRAM` one for each second gateway.

mod gateway;
mod order_soak;

use std::thread;
use std::time::Duration;

use order_soak::caller::{SoakCaller, stagger};
use order_soak::engine;
use order_soak::fleet::{Fleet, Links};
use order_soak::outcome::Outcome;
use order_soak::trace::Trace;
use order_soak::trouble::{TroubleMaker, end_after};
use order_soak::trouble_kind::{self, Trouble};
use parking_lot::Mutex;

/// The number of callers.
const CALLERS: u64 = 24;

/// The parameters of a soak, which the environment may change.
#[derive(Debug, Clone)]
struct SoakPlan {
    seed: u64,
    run_seconds: u64,
    callers: u64,
    choices: Vec<Trouble>,
    links: Links,
}

impl SoakPlan {
    /// Returns the plan as the environment changes it.
    fn adjusted(self) -> Self {
        Self {
            seed: from_environment("OLEANDERPLANK_SOAK_SEED", self.seed),
            run_seconds: from_environment("OLEANDERPLANK_SOAK_SECONDS", self.run_seconds),
            callers: from_environment("OLEANDERPLANK_SOAK_CALLERS", self.callers),
            choices: named_kinds().unwrap_or(self.choices),
            ..self
        }
    }
}

/// Returns the kinds of faults that the environment names.
fn named_kinds() -> Option<Vec<Trouble>> {
    let text = std::env::var("OLEANDERPLANK_SOAK_KINDS").ok()?;
    let kind = |name: &str| serde_json::from_value(name.trim().into());
    let kinds: Result<_, _> = text.split(',').map(kind).collect();
    Some(kinds.expect("kinds of faults in kebab case"))
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
fn play(plan: &SoakPlan) -> Outcome {
    gateway::ports::reuse_ports();
    let fleet = Fleet::start(plan.links);
    let (seed, length) = (plan.seed, Duration::from_secs(plan.run_seconds));
    let troubles = TroubleMaker::new(&fleet, seed, &plan.choices);
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
    let outcomes = seeds.map(|seed| {
        play(&SoakPlan {
            seed,
            ..plan.clone()
        })
    });
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
        choices: trouble_kind::FAULTS.to_vec(),
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
        choices: trouble_kind::UPGRADES.to_vec(),
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
        choices: trouble_kind::SILENT_UPGRADES.to_vec(),
        links: Links::All,
    });
}

// Guards against streams of two versions, and answers that are short or another's, because an engine that is heard late or
// that fails is taken for a sound one.
#[test]
fn answers_are_whole_and_of_one_version_while_engines_are_in_doubt() {
    play_all(SoakPlan {
        seed: 54,
        run_seconds: 12,
        callers: CALLERS,
        choices: trouble_kind::DOUBTS.to_vec(),
        links: Links::All,
    });
}

// Guards against streams of two versions, and short answers that end as whole, because an engine that refuses its report for a
// moment is taken for one that never reports itself.
#[test]
fn answers_are_whole_and_of_one_version_while_engines_refuse_their_reports() {
    play_all(SoakPlan {
        seed: 56,
        run_seconds: 12,
        callers: CALLERS,
        choices: trouble_kind::UNREPORTED.to_vec(),
        links: Links::All,
    });
}

// Guards against faults of answers while the store, the registry, gateways and callers behave as badly as they may.
#[test]
fn answers_are_whole_and_of_one_version_while_the_surroundings_fail() {
    play_all(SoakPlan {
        seed: 55,
        run_seconds: 20,
        callers: CALLERS,
        choices: trouble_kind::SURROUNDINGS.to_vec(),
        links: Links::Half,
    });
}
