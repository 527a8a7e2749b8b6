//! Builds the report of one run from the records of its calls.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use serde::Serialize;

use crate::outcome::{CallOutcome, CallRecord, CallSubject};
use crate::reconcile::ReconcileReport;
use crate::run::LoadTargets;
use crate::scenario::Scenario;
use crate::stats::{
    GapStats, GroupReport, GroupStats, GroupTarget, LatencySummary, new_histogram, record_time,
};
use crate::tier::TierReport;

/// Totals over the measured interval.
///
/// `goodput`, `goodput_share` and `tokens_per_second` count the calls that ended in the interval,
/// all others the calls that were due in it.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct RunTotals {
    /// The number of calls by outcome.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// The number of calls by verdict.
    pub verdicts: BTreeMap<String, u64>,
    /// The number of calls by error code.
    pub codes: BTreeMap<String, u64>,
    /// How often callers reconnected for the rest of an answer.
    pub reconnects: u64,
    /// How often an entry VM could not be reached and was skipped.
    pub rerouted: u64,
    /// The calls within their targets as a fraction of all calls that were due and not refused.
    pub attainment: f64,
    /// Whole answers per second, weighted by the goodput weight of their class or operation.
    pub goodput: f64,
    /// The work of whole model answers that ended in the measured interval, as a fraction of the
    /// capacity of the engines in it.
    pub goodput_share: f64,
    /// The work of all model answers that were due in the measured interval, as a fraction of the
    /// same capacity; every answer counts with the mean length of its class.
    pub offered_share: f64,
    /// Tokens per second in whole answers.
    pub tokens_per_second: f64,
}

/// The report of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunReport {
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the scenario.
    pub seed: u64,
    /// The demand of the scenario, as a fraction of the capacity of the engines.
    pub demand: f64,
    /// The name of the policy in force.
    pub policy: String,
    /// The number of entry VMs.
    pub entries: usize,
    /// The length of the measured interval, in seconds.
    pub measured_s: f64,
    /// Totals over the measured interval.
    pub totals: RunTotals,
    /// The classes in the order of the scenario.
    pub classes: Vec<GroupReport>,
    /// The operations of plain services in the order of the scenario.
    pub operations: Vec<GroupReport>,
    /// The customers in the order of the scenario.
    pub customers: Vec<GroupReport>,
    /// How much later than due calls were sent, over the whole run with the warm-up; large values
    /// mean that the load tool was slow.
    pub lateness: LatencySummary,
    /// The comparison with the counters of engines and services, once the driver has called
    /// [`RunReport::reconcile`].
    #[serde(rename = "settled")]
    pub reconciled: Option<ReconcileReport>,
    /// Violations of the tier promise, if the driver has checked the dispatchers' logs.
    pub tiers: Option<TierReport>,
    /// The records of all calls, for further checks.
    #[serde(skip)]
    pub records: Vec<CallRecord>,
}

impl RunReport {
    pub(crate) fn build(
        scenario: &Scenario,
        targets: &LoadTargets,
        records: Vec<CallRecord>,
        gaps: &GapStats,
    ) -> Self {
        let mut builder = ReportBuilder::new(scenario);
        for record in &records {
            builder.add(record);
        }
        let builder = builder;
        Self {
            scenario: scenario.name.clone(),
            seed: scenario.seed,
            demand: scenario.demand,
            policy: targets.policy.clone(),
            entries: targets.entries.len(),
            measured_s: scenario.measured_s(),
            totals: builder.totals(),
            classes: builder.class_reports(gaps),
            operations: builder.operation_reports(),
            customers: builder.customer_reports(),
            lateness: LatencySummary::from_histogram(&builder.lateness),
            reconciled: None,
            tiers: None,
            records,
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report always serializes to JSON")
    }

    /// Returns the statistics of the class with this name.
    pub fn class(&self, name: &str) -> Option<&GroupReport> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns how many calls that were due in the measured interval had this outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.totals.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// Accumulates the records of a run.
struct ReportBuilder<'a> {
    scenario: &'a Scenario,
    classes: Vec<GroupStats>,
    operations: Vec<GroupStats>,
    customers: Vec<GroupStats>,
    totals: RunTotals,
    attained: u64,
    eligible: u64,
    completed_cost: f64,
    offered_cost: f64,
    lateness: hdrhistogram::Histogram<u64>,
}

impl<'a> ReportBuilder<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let empty = |count: usize| {
            (0..count)
                .map(|_| GroupStats::new(scenario.duration_s))
                .collect()
        };
        Self {
            scenario,
            classes: empty(scenario.classes.len()),
            operations: empty(scenario.operations.len()),
            customers: empty(scenario.customers.len()),
            totals: RunTotals::default(),
            attained: 0,
            eligible: 0,
            completed_cost: 0.0,
            offered_cost: 0.0,
            lateness: new_histogram(),
        }
    }

    fn add(&mut self, record: &CallRecord) {
        let target = self.target(record.subject);
        let warmup = Span((self.scenario.warmup_s * 1_000_000.0) as u64);
        let end = Span((self.scenario.duration_s * 1_000_000.0) as u64);
        let due_in_measurement = record.at >= warmup;
        record_time(&mut self.lateness, record.lateness);
        let group = match record.subject {
            CallSubject::Class(number) => &mut self.classes[number],
            CallSubject::Operation(number) => &mut self.operations[number],
        };
        group.record_completion(record);
        self.customers[record.customer].record_completion(record);
        let ended_in_measurement = record.ended() >= warmup && record.ended() < end;
        if record.outcome == CallOutcome::Whole && ended_in_measurement {
            self.totals.goodput += target.weight;
            self.totals.tokens_per_second += f64::from(record.tokens);
            self.completed_cost += self.cost(record, f64::from(record.tokens));
        }
        if !due_in_measurement {
            return;
        }
        let group = match record.subject {
            CallSubject::Class(number) => &mut self.classes[number],
            CallSubject::Operation(number) => &mut self.operations[number],
        };
        group.add(record, &target);
        self.customers[record.customer].add(record, &target);
        self.count(record, &target);
    }

    fn count(&mut self, record: &CallRecord, target: &GroupTarget) {
        *self.totals.outcomes.entry(record.outcome).or_default() += 1;
        self.totals.reconnects += u64::from(record.reconnects);
        self.totals.rerouted += u64::from(record.rerouted);
        if let Some(verdict) = record.verdict {
            let name = verdict.as_str().to_owned();
            *self.totals.verdicts.entry(name).or_default() += 1;
        }
        if let Some(code) = &record.code {
            *self.totals.codes.entry(code.clone()).or_default() += 1;
        }
        self.attained += u64::from(target.is_met(record));
        self.eligible += u64::from(record.outcome != CallOutcome::Refused);
        if let CallSubject::Class(number) = record.subject {
            let answer = self.scenario.classes[number].answer.mean;
            self.offered_cost += self.cost(record, answer);
        }
    }

    /// Returns the work of an answer in seconds of all engines of the deployment together.
    fn cost(&self, record: &CallRecord, tokens: f64) -> f64 {
        let CallSubject::Class(number) = record.subject else {
            return 0.0;
        };
        let class = &self.scenario.classes[number];
        let Some(group) = self.scenario.deployment.group_for_model(&class.model) else {
            return 0.0;
        };
        group.unit_cost(f64::from(record.prompt_tokens), tokens) / self.deployment_speed()
    }

    fn deployment_speed(&self) -> f64 {
        let groups = self.scenario.deployment.engines.iter();
        groups.map(|group| group.total_speed()).sum()
    }

    fn target(&self, subject: CallSubject) -> GroupTarget {
        match subject {
            CallSubject::Class(number) => {
                let class = &self.scenario.classes[number];
                GroupTarget {
                    first: Span::from_millis(class.first_token_target_ms),
                    gap: Some(Span::from_millis(class.token_gap_target_ms)),
                    weight: class.goodput_weight,
                }
            }
            CallSubject::Operation(number) => {
                let operation = &self.scenario.operations[number];
                GroupTarget {
                    first: Span::from_millis(operation.target_ms),
                    gap: None,
                    weight: operation.goodput_weight,
                }
            }
        }
    }

    fn totals(&self) -> RunTotals {
        let measured_s = self.scenario.measured_s();
        let mut totals = self.totals.clone();
        totals.attainment = self.attained as f64 / self.eligible.max(1) as f64;
        totals.goodput /= measured_s;
        totals.tokens_per_second /= measured_s;
        totals.goodput_share = self.completed_cost / measured_s;
        totals.offered_share = self.offered_cost / measured_s;
        totals
    }

    fn class_reports(&self, gaps: &GapStats) -> Vec<GroupReport> {
        let warmup_s = self.scenario.warmup_s;
        let plans = self.scenario.classes.iter().zip(&self.classes);
        plans
            .enumerate()
            .map(|(number, (plan, stats))| {
                let mut report = stats.report(&plan.name, Some(Tier(plan.tier)), warmup_s);
                let (gap, within) = gaps.summary(number);
                report.gap = gap;
                report.gap_within = (gap.count > 0).then_some(within);
                report
            })
            .collect()
    }

    fn operation_reports(&self) -> Vec<GroupReport> {
        let warmup_s = self.scenario.warmup_s;
        let plans = self.scenario.operations.iter().zip(&self.operations);
        plans
            .map(|(plan, stats)| stats.report(&plan.name, Some(Tier(plan.tier)), warmup_s))
            .collect()
    }

    fn customer_reports(&self) -> Vec<GroupReport> {
        let warmup_s = self.scenario.warmup_s;
        let plans = self.scenario.customers.iter().zip(&self.customers);
        plans
            .map(|(plan, stats)| stats.report(&plan.name, None, warmup_s))
            .collect()
    }
}
