//! Compares what callers were told with what engines and services counted.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use oleander_standin::{EffectRecord, EngineStandIn, EngineTotals, ServiceStandIn};
use serde::Serialize;

use crate::outcome::{CallOutcome, CallRecord};
use crate::report::RunReport;

/// The counters of all stand-ins over a whole run.
#[derive(Debug, Clone, Default)]
pub struct ReconcileInput {
    /// The sum of the engines' counters.
    pub engines: EngineTotals,
    /// The tags of all answers that any engine started.
    pub started: FastSet<u64>,
    /// The records of the plain services by operation id, summed over their servers.
    pub effects: BTreeMap<String, EffectRecord>,
}

impl ReconcileInput {
    /// Collects the current counters of these stand-ins.
    pub fn gather(engines: &[EngineStandIn], services: &[ServiceStandIn]) -> Self {
        let mut input = Self::default();
        for engine in engines {
            input.engines = input.engines.plus(&engine.totals());
            let tags = engine.started_tags();
            input.started.extend(tags.into_iter().map(|tag| tag.0));
        }
        for service in services {
            for (operation, record) in service.records() {
                let sum = input.effects.entry(operation).or_default();
                sum.arrivals += record.arrivals;
                sum.effects += record.effects;
            }
        }
        input
    }
}

/// The result of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct ReconcileReport {
    /// Tokens that the engines generated.
    pub generated: u64,
    /// Tokens in answers that callers received whole.
    pub delivered: u64,
    /// The fraction of the generated tokens that no caller received in a whole answer.
    pub wasted_share: f64,
    /// Answers that an engine started although the caller was told that the call did not run.
    pub false_not_run: u64,
    /// Calls of plain services that took effect although the caller was told they did not run.
    pub false_not_run_effects: u64,
    /// Operations that took effect more than once.
    pub doubled_effects: u64,
    /// Operations that were acknowledged and reached a server but took no effect.
    pub lost_effects: u64,
}

impl RunReport {
    /// Compares the run with the counters of the stand-ins and stores the result in the report.
    pub fn reconcile(&mut self, input: &ReconcileInput) -> ReconcileReport {
        let mut report = ReconcileReport {
            generated: input.engines.tokens,
            ..ReconcileReport::default()
        };
        for record in &self.records {
            reconcile_answer(record, input, &mut report);
            reconcile_effect(record, input, &mut report);
        }
        let wasted = report.generated.saturating_sub(report.delivered);
        report.wasted_share = wasted as f64 / report.generated.max(1) as f64;
        let effects = input.effects.values();
        report.doubled_effects = effects.filter(|record| record.effects > 1).count() as u64;
        self.reconciled = Some(report);
        report
    }
}

fn reconcile_answer(record: &CallRecord, input: &ReconcileInput, report: &mut ReconcileReport) {
    let Some(tag) = record.tag else {
        return;
    };
    if record.outcome == CallOutcome::Whole {
        report.delivered += u64::from(record.tokens);
    }
    if record.verdict == Some(Verdict::NotRun) && input.started.contains(&tag) {
        report.false_not_run += 1;
    }
}

fn reconcile_effect(record: &CallRecord, input: &ReconcileInput, report: &mut ReconcileReport) {
    let Some(operation) = &record.operation else {
        return;
    };
    let effects = input
        .effects
        .get(operation)
        .map_or(0, |record| record.effects);
    if record.verdict == Some(Verdict::NotRun) && effects > 0 {
        report.false_not_run_effects += 1;
    }
    let known = input.effects.contains_key(operation);
    if record.acknowledged > 0 && known && effects == 0 {
        report.lost_effects += 1;
    }
}
