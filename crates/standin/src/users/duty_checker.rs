//! Checks the calls that a provider gets against the rules for holders of duties.
//!
//! The rules have the numbers of docs/design/hard-load.md, part A: one text for each usage window (1), one holder for
//! each fencing token (2), and no call of an earlier holder after one of a later holder (3).

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;

/// One call that the provider got.
#[derive(Debug, Clone)]
pub struct ProviderCall {
    /// When it was read.
    pub at: Instant,
    /// The path, which names the duty.
    pub path: String,
    /// The name of the gateway.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
    /// The body.
    pub body: Value,
    /// Whether the provider accepted it.
    pub is_accepted: bool,
}

impl ProviderCall {
    /// Returns the duty and subject for which the rules hold: all usage windows together are one subject, and each
    /// pair of a service and a data centre is one.
    fn subject(&self) -> String {
        match self.path.as_str() {
            "/scaling" => format!("/scaling {} {}", self.body["backend"], self.body["zone"]),
            path => path.to_owned(),
        }
    }
}

/// Finds breaches of the rules in the calls of a provider, in their order.
#[derive(Debug)]
pub struct DutyChecker {
    lease: Duration,
    excused_until: Option<Instant>,
    reports: BTreeMap<u64, Value>,
    subjects: HashMap<String, SubjectState>,
    breaches: Vec<String>,
}

#[derive(Debug, Default)]
struct SubjectState {
    highest: u64,
    holders: HashMap<u64, String>,
    /// Each holder with its last call, in the order of these calls.
    last_calls: Vec<(String, Instant)>,
}

impl DutyChecker {
    /// Creates a checker. Another holder must not act between two calls of one holder that are less than `lease`
    /// apart.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            excused_until: None,
            reports: BTreeMap::new(),
            subjects: HashMap::new(),
            breaches: Vec::new(),
        }
    }

    /// Ignores breaches of rule 3 until `until`, as the platform does after a sender was resumed from a suspension.
    pub fn excuse(&mut self, until: Instant) {
        self.excused_until = self.excused_until.max(Some(until));
    }

    /// Checks one call.
    pub fn observe(&mut self, call: &ProviderCall) {
        self.check_report(call);
        let is_excused = self.excused_until.is_some_and(|until| call.at <= until);
        let state = self.subjects.entry(call.subject()).or_default();
        let known = state.holders.get(&call.token);
        if known.is_some_and(|known| *known != call.holder) {
            let other = known.cloned().unwrap_or_default();
            self.breaches.push(format!(
                "rule 2: {} and {other} sent token {}",
                call.holder, call.token
            ));
        }
        state.holders.insert(call.token, call.holder.clone());
        if is_excused {
            return;
        }
        if call.token < state.highest {
            self.breaches.push(format!(
                "rule 3: {} sent token {} after {}",
                call.holder, call.token, state.highest
            ));
        }
        state.highest = state.highest.max(call.token);
        let last = state
            .last_calls
            .iter()
            .position(|(holder, _)| *holder == call.holder);
        if let Some(index) = last {
            let (_, at) = state.last_calls[index];
            let others_acted = index + 1 < state.last_calls.len();
            if others_acted && call.at.duration_since(at) < self.lease {
                self.breaches.push(format!(
                    "rule 3: {} acted again {:?} after its last call, with another holder between",
                    call.holder,
                    call.at.duration_since(at)
                ));
            }
            state.last_calls.remove(index);
        }
        state.last_calls.push((call.holder.clone(), call.at));
    }

    fn check_report(&mut self, call: &ProviderCall) {
        let Some(window) = call.body["window_id"].as_u64() else {
            return;
        };
        if !call.is_accepted {
            return;
        }
        let counts = &call.body["instance_counts"];
        let known = self.reports.entry(window).or_insert_with(|| counts.clone());
        if known != counts {
            self.breaches.push(format!(
                "rule 1: window {window} has counts {counts} after {known}"
            ));
        }
    }

    /// Returns the accepted counts by window.
    pub fn reports(&self) -> &BTreeMap<u64, Value> {
        &self.reports
    }

    /// Returns the breaches in order.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }
}
