//! Formats reports as Markdown tables.

use std::fmt::Write;

use crate::report::RunReport;
use crate::stats::GroupReport;

/// Returns a table with one row per run, to compare the policies of one scenario.
pub fn comparison_table(reports: &[&RunReport]) -> String {
    let mut text = String::from(
        "| scenario | demand | policy | entry VMs | attainment | goodput (weighted/s) \
         | goodput of capacity | wasted tokens | shed | failed | truncated or mixed \
         | reconnects | rerouted |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for report in reports {
        let totals = &report.totals;
        let wasted = report.reconciled.map_or("-".to_owned(), |reconciled| {
            percent(reconciled.wasted_share)
        });
        let groups = || report.classes.iter().chain(&report.operations);
        let _ = writeln!(
            text,
            "| {} | {:.2} | {} | {} | {} | {:.2} | {} | {wasted} | {} | {} | {} | {} | {} |",
            report.scenario,
            report.demand,
            report.policy,
            report.entries,
            percent(totals.attainment),
            totals.goodput,
            percent(totals.goodput_share),
            groups().map(|group| group.shed).sum::<u64>(),
            groups().map(|group| group.failed).sum::<u64>(),
            groups()
                .map(|group| group.truncated + group.mixed)
                .sum::<u64>(),
            totals.reconnects,
            totals.rerouted,
        );
    }
    text
}

/// Returns a table with one row per class and operation of each run.
pub fn class_table(reports: &[&RunReport]) -> String {
    let mut text = group_head("class");
    for report in reports {
        for group in report.classes.iter().chain(&report.operations) {
            group_row(&mut text, report, group);
        }
    }
    text
}

/// Returns a table with one row per customer of each run.
pub fn customer_table(reports: &[&RunReport]) -> String {
    let mut text = group_head("customer");
    for report in reports {
        for group in &report.customers {
            group_row(&mut text, report, group);
        }
    }
    text
}

fn group_head(kind: &str) -> String {
    format!(
        "| policy | {kind} | tier | due | whole | shed | refused | failed | attainment \
         | goodput (weighted/s) | first p50 / p95 / p99 ms \
         | from send p50 / p99 ms | gap p50 / p95 ms \
         | gaps in target | least in 30 s |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"
    )
}

fn group_row(text: &mut String, report: &RunReport, group: &GroupReport) {
    let tier = group.tier.map_or("-".to_owned(), |tier| tier.0.to_string());
    let least = group
        .least_in_30_s
        .map_or("-".to_owned(), |least| least.to_string());
    let _ = writeln!(
        text,
        "| {} | {} | {tier} | {} | {} | {} | {} | {} | {} | {:.2} \
         | {:.0} / {:.0} / {:.0} | {:.2} / {:.2} | {:.1} / {:.1} | {} | {least} |",
        report.policy,
        group.name,
        group.offered,
        group.whole,
        group.shed,
        group.refused,
        group.failed + group.truncated + group.mixed,
        group.attainment.map_or("-".to_owned(), percent),
        group.goodput,
        group.first.p50_ms,
        group.first.p95_ms,
        group.first.p99_ms,
        group.sent_first.p50_ms,
        group.sent_first.p99_ms,
        group.gap.p50_ms,
        group.gap.p95_ms,
        group.gap_within.map_or("-".to_owned(), percent),
    );
}

fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}
