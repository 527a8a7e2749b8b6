//! The report of one run.

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

/// Sums over the measured time.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct RunTotals {
    /// Calls by how they ended.
    pub outcomes: BTreeMap<CallOutcome, u64>,
    /// Calls by the verdict that the system gave.
    pub verdicts: BTreeMap<String, u64>,
    /// Calls by the code of their error.
    pub codes: BTreeMap<String, u64>,
    /// How often callers came back for the rest of an answer.
    pub reconnects: u64,
    /// How often an entry VM could not be reached and another one was taken.
    pub rerouted: u64,
    /// Calls within their targets against all that were due and not refused.
    pub attainment: f64,
    /// Whole answers a second, weighted by kind.
    pub goodput: f64,
    /// The work of whole answers that ended in the measured time, as a share of what the engines
    /// can do in it.
    pub goodput_share: f64,
    /// The work of all answers that were due in the measured time, as such a share.
    pub offered_share: f64,
    /// Tokens a second in whole answers.
    pub tokens_per_second: f64,
}

/// The report of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunReport {
    /// The scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// The demand that it asks for.
    pub demand: f64,
    /// The policy in force.
    pub policy: String,
    /// The number of entry VMs.
    pub entries: usize,
    /// The measured time, in seconds.
    pub measured_s: f64,
    /// Sums.
    pub totals: RunTotals,
    /// Classes in the order of the scenario.
    pub classes: Vec<GroupReport>,
    /// Plain services' calls in the order of the scenario.
    pub operations: Vec<GroupReport>,
    /// Customers in the order of the scenario.
    pub customers: Vec<GroupReport>,
    /// How much later than due calls were sent; large values say that the load tool was slow.
    pub lateness: LatencySummary,
    /// What the engines and services counted, if the driver has settled the run.
    #[serde(rename = "settled")]
    pub reconciled: Option<ReconcileReport>,
    /// Breaks of the tier promise, if the driver has checked the dispatchers' logs.
    pub tiers: Option<TierReport>,
    /// Every call, for further checks.
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
        serde_json::to_string_pretty(self).expect("a report has only plain fields")
    }

    /// Returns the figures of one class.
    pub fn class(&self, name: &str) -> Option<&GroupReport> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns how many calls ended in this way.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.totals.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

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

    /// Returns the work of an answer in seconds of the whole pool of its model.
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
