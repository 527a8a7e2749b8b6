//! What one run of the soak has shown.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

use super::checker::{self, Fault};
use super::fleet::Fleet;
use super::shape::{self, Framing};
use super::trace::{End, Kind, Trace};
use super::trouble_kind::Trouble;

/// The number of streams of two software versions that the rule ORDER allows.
const TWO_VERSIONS_BOUND: usize = 2;

/// The counts of one run and the requests that broke a rule.
#[derive(Debug)]
pub struct Outcome {
    seed: u64,
    requests: usize,
    complete: BTreeMap<&'static str, usize>,
    broken_attempts: usize,
    broken_unframed: usize,
    resumed: usize,
    refused: usize,
    kills: usize,
    troubles: Vec<(Trouble, usize)>,
    faults: BTreeMap<Fault, usize>,
    /// The requests that broke a rule.
    pub faulty: Vec<(Vec<Fault>, Trace)>,
}

impl Outcome {
    /// Checks all that callers received.
    pub fn of(seed: u64, fleet: &Fleet, traces: &[Trace], troubles: Vec<(Trouble, usize)>) -> Self {
        let reports = fleet.reports.lock();
        let attempts = || traces.iter().flat_map(|trace| &trace.attempts);
        let is_broken = |end: End, status: u16| end == End::Broken && status == 200;
        let mut outcome = Self {
            seed,
            requests: traces.len(),
            complete: BTreeMap::new(),
            broken_attempts: attempts().filter(|a| is_broken(a.end, a.status)).count(),
            broken_unframed: count_broken_unframed(traces),
            resumed: attempts().filter(|attempt| attempt.from > 0).count(),
            refused: attempts().filter(|attempt| attempt.status == 503).count(),
            kills: reports.kills.values().sum(),
            troubles,
            faults: BTreeMap::new(),
            faulty: Vec::new(),
        };
        for trace in traces {
            if trace.is_complete() {
                *outcome.complete.entry(trace.kind.route()).or_default() += 1;
            }
            let faults: Vec<Fault> = checker::check(trace, &reports.runs).into_iter().collect();
            for fault in &faults {
                *outcome.faults.entry(*fault).or_default() += 1;
            }
            if !faults.is_empty() {
                outcome.faulty.push((faults, trace.clone()));
            }
        }
        outcome
    }

    /// Returns whether more faults were seen than the rules allow: none, but for two streams of two versions.
    pub fn breaks_rules(&self) -> bool {
        self.faults.iter().any(|(fault, count)| match fault {
            Fault::TwoVersions => *count > TWO_VERSIONS_BOUND,
            _ => true,
        })
    }

    /// Returns whether each kind of request had whole answers. A run in which nothing is delivered checks nothing.
    pub fn has_delivered(&self) -> bool {
        let kinds = [Kind::Digest, Kind::Draft, Kind::Lookup, Kind::Publish];
        kinds
            .iter()
            .all(|kind| self.complete.contains_key(kind.route()))
    }

    /// Prints the requests that broke a rule, with the gateways' lines about the first few.
    pub fn print_faulty(&self, fleet: &Fleet) {
        const WITH_LINES: usize = 4;
        for (nth, (faults, trace)) in self.faulty.iter().enumerate() {
            println!("seed {}: {faults:?} in {}", self.seed, text_of(trace));
            if nth >= WITH_LINES {
                continue;
            }
            for (index, gateway) in fleet.gateways.iter().enumerate() {
                for line in gateway.lock().lines_with(&format!("\"{}a", trace.name)) {
                    println!("  gateway {index}: {line}");
                }
            }
        }
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} requests, complete {:?}, broken {} ({} unframed), resumed {}, status 503 {}, engines ended {}, {:?}; faults {:?}",
            self.seed,
            self.requests,
            self.complete,
            self.broken_attempts,
            self.broken_unframed,
            self.resumed,
            self.refused,
            self.kills,
            self.troubles,
            self.faults
        )
    }
}

fn count_broken_unframed(traces: &[Trace]) -> usize {
    let streams = traces.iter().filter(|trace| trace.kind.is_stream());
    let attempts = streams.flat_map(|trace| &trace.attempts);
    let broken = attempts.filter(|attempt| attempt.status == 200 && attempt.end == End::Broken);
    let is_unframed = |id: &str| shape::stream_framing(id) == Framing::UntilClose;
    broken.filter(|attempt| is_unframed(&attempt.id)).count()
}

/// Returns a caller's trace as text, one line per attempt.
fn text_of(trace: &Trace) -> String {
    let mut text = format!(
        "{} {} (whole: {} events)",
        trace.kind.route(),
        trace.name,
        shape::stream_length(&trace.name)
    );
    for attempt in &trace.attempts {
        let events = attempt.events.iter();
        let events = events.map(|event| format!("{}/{}", event.id, event.version));
        let events: Vec<String> = events.collect();
        text.push_str(&format!(
            "\n  {} at gateway {} after {}: status {} {:?}, {:?}, {} ms, {:?}, body {:?}, events {}",
            attempt.id,
            attempt.gateway,
            attempt.from,
            attempt.status,
            attempt.end,
            framing_of(trace.kind, &attempt.id),
            attempt.lasted.as_millis(),
            attempt.signature,
            attempt.body,
            events.join(" ")
        ));
    }
    text
}

fn framing_of(kind: Kind, attempt: &str) -> Framing {
    match kind.is_stream() {
        true => shape::stream_framing(attempt),
        false => shape::body_framing(attempt),
    }
}
