//! Measures the cost of an entry VM, idle and under load, at several fleet sizes; for
//! docs/CAPACITY.md.
//!
//! `cargo test --release -p oleander-entry --test cost -- --ignored --nocapture`

mod common;

use std::time::{Duration, Instant};

use common::fleet::{Fleet, Vm};

const SMALL: &str = include_str!("common/small.toml");
/// Fleet sizes, in entry VMs.
const SIZES: [usize; 4] = [4, 8, 16, 32];
/// Demands at the fleet size of the scenario, as shares of the engines' capacity.
const DEMANDS: [f64; 3] = [0.2, 0.4, 0.8];
/// Time for which an idle fleet is measured.
const IDLE: Duration = Duration::from_secs(15);
/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resources that a fleet has used so far, summed over its VMs.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    processor_s: f64,
    resident_mb: f64,
    peer_bytes: f64,
    store_reads: f64,
    store_writes: f64,
}

fn usage(fleet: &Fleet) -> Usage {
    let mut sum = Usage::default();
    for vm in &fleet.vms {
        sum.processor_s += processor_seconds(vm);
        sum.resident_mb += resident_mb(vm);
        sum.peer_bytes += peer_bytes(fleet, vm);
    }
    let counters = fleet.deployment.platform.counters();
    sum.store_reads = counters.reads as f64;
    sum.store_writes = counters.writes as f64;
    sum
}

fn processor_seconds(vm: &Vm) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", vm.id())).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / TICKS_PER_SECOND
}

fn resident_mb(vm: &Vm) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", vm.id())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<f64>()
        .unwrap()
        / 1_024.0
}

fn peer_bytes(fleet: &Fleet, vm: &Vm) -> f64 {
    let metrics = fleet.operator(vm, "GET", "/metrics", "").unwrap().body;
    let line = metrics
        .lines()
        .find(|line| line.starts_with("oleander_peers") && line.contains("direction=\"sent\""));
    line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
}

fn print_row(what: &str, vms: usize, seconds: f64, before: Usage, after: Usage) {
    let each = |amount: f64| amount / seconds / vms as f64;
    println!(
        "| {what} | {vms} | {:.2} | {:.1} | {:.2} | {:.2} | {:.2} |",
        100.0 * each(after.processor_s - before.processor_s),
        after.resident_mb / vms as f64,
        each(after.peer_bytes - before.peer_bytes) / 1_000.0,
        (after.store_reads - before.store_reads) / seconds,
        (after.store_writes - before.store_writes) / seconds,
    );
}

#[test]
#[ignore = "measures for minutes; run it by hand on a quiet machine"]
fn cost_of_an_entry_vm_by_size_and_load() {
    println!(
        "| state | entry VMs | processor, % of a core each | resident MB each | sent to peers, KB/s each | store reads/s, fleet | store writes/s, fleet |"
    );
    println!("|---|---|---|---|---|---|---|");
    for vms in SIZES {
        let text = SMALL.replace("entries = 4", &format!("entries = {vms}"));
        let fleet = Fleet::start(&text);
        std::thread::sleep(Duration::from_secs(16));
        let before = usage(&fleet);
        std::thread::sleep(IDLE);
        print_row("idle", vms, IDLE.as_secs_f64(), before, usage(&fleet));
        let before = usage(&fleet);
        let began = Instant::now();
        let report = fleet.finish(fleet.load(|_| {}));
        let calls = report.records.len();
        print_row(
            &format!("{calls} calls"),
            vms,
            began.elapsed().as_secs_f64(),
            before,
            usage(&fleet),
        );
    }
    println!("| demand | calls | tokens | processor ms, fleet | resident MB each |");
    println!("|---|---|---|---|---|");
    for demand in DEMANDS {
        let fleet = Fleet::start(&SMALL.replace("demand = 0.4", &format!("demand = {demand}")));
        let before = usage(&fleet);
        let report = fleet.finish(fleet.load(|_| {}));
        let after = usage(&fleet);
        let tokens: u64 = report
            .records
            .iter()
            .map(|call| u64::from(call.tokens))
            .sum();
        println!(
            "| {demand} | {} | {tokens} | {:.0} | {:.1} |",
            report.records.len(),
            1_000.0 * (after.processor_s - before.processor_s),
            after.resident_mb / fleet.vms.len() as f64,
        );
    }
}
