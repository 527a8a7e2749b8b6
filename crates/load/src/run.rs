//! Runs the calls of a schedule against entry VMs.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use oleander_attempt::{AttemptClient, AttemptSettings};
use oleander_base::prelude::*;
use tokio::time::Instant;

use crate::caller::CallerContext;
use crate::outcome::CallRecord;
use crate::report::RunReport;
use crate::scenario::Scenario;
use crate::schedule::{PlannedCall, Schedule};
use crate::stats::GapStats;
use crate::timeline::{FaultAction, FaultEvent};

/// Time between the spawning of the threads and the start of the schedule.
const START_DELAY: Duration = Duration::from_millis(200);

/// Injects a fault; called at the fault's time on a thread that is used only for faults.
pub type FaultCallback = Box<dyn Fn(&FaultAction) + Send>;

/// The entry VMs that a run calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadTargets {
    /// The addresses at which the entry VMs accept calls.
    pub entries: Vec<SocketAddr>,
    /// The name of the policy in force, for reports.
    pub policy: String,
}

/// The records and statistics of one load thread.
struct ThreadResult {
    records: Vec<CallRecord>,
    gaps: GapStats,
}

/// A run in progress.
#[derive(Debug)]
pub struct LoadRun {
    scenario: Scenario,
    targets: LoadTargets,
    planned: u64,
    ended: Arc<AtomicU64>,
    threads: Vec<JoinHandle<ThreadResult>>,
    faults: Option<JoinHandle<()>>,
}

impl LoadRun {
    /// Draws the schedule and starts the threads that run its calls and inject its faults.
    pub fn spawn(
        scenario: &Scenario,
        targets: LoadTargets,
        on_fault: FaultCallback,
    ) -> io::Result<Self> {
        if targets.entries.is_empty() {
            return Err(io::Error::other("a run needs an entry VM"));
        }
        let schedule = Schedule::draw(scenario);
        let planned = schedule.calls.len() as u64;
        let ended = Arc::new(AtomicU64::new(0));
        let start = Instant::now() + START_DELAY;
        let mut threads = Vec::new();
        for (number, calls) in split_calls(schedule, scenario.threads.max(1))
            .into_iter()
            .enumerate()
        {
            let scenario = scenario.clone();
            let entries = targets.entries.clone();
            let ended = ended.clone();
            let thread = std::thread::Builder::new()
                .name(format!("load-{number}"))
                .spawn(move || {
                    let runner = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
                    runner.block_on(run_calls(scenario, entries, calls, start, ended))
                })?;
            threads.push(thread);
        }
        let events = scenario.faults.clone();
        let faults = std::thread::Builder::new()
            .name("load-faults".to_owned())
            .spawn(move || inject_faults(events, start, &on_fault))?;
        Ok(Self {
            scenario: scenario.clone(),
            targets,
            planned,
            ended,
            threads,
            faults: Some(faults),
        })
    }

    /// Returns the number of calls in the schedule.
    pub fn planned(&self) -> u64 {
        self.planned
    }

    /// Returns the number of calls that have ended so far.
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }

    /// Waits until every call has ended and every fault has been injected, and returns the report.
    pub fn finish(mut self) -> RunReport {
        let mut records = Vec::new();
        let mut gaps = GapStats::new(gap_targets(&self.scenario));
        for thread in self.threads.drain(..) {
            let result = thread.join().expect("a load thread does not panic");
            records.extend(result.records);
            gaps.merge(&result.gaps);
        }
        if let Some(faults) = self.faults.take() {
            let _ = faults.join();
        }
        records.sort_by_key(|record| record.serial);
        RunReport::build(&self.scenario, &self.targets, records, &gaps)
    }
}

/// Distributes the calls over the threads round-robin.
fn split_calls(schedule: Schedule, threads: u32) -> Vec<Vec<PlannedCall>> {
    let mut parts = vec![Vec::new(); threads as usize];
    for (number, call) in schedule.calls.into_iter().enumerate() {
        parts[number % threads as usize].push(call);
    }
    parts
}

fn gap_targets(scenario: &Scenario) -> Vec<Span> {
    let classes = scenario.classes.iter();
    classes
        .map(|class| Span::from_millis(class.token_gap_target_ms))
        .collect()
}

async fn run_calls(
    scenario: Scenario,
    entries: Vec<SocketAddr>,
    calls: Vec<PlannedCall>,
    start: Instant,
    ended: Arc<AtomicU64>,
) -> ThreadResult {
    let gaps = GapStats::new(gap_targets(&scenario));
    let settings = AttemptSettings::default();
    let client = AttemptClient::open(settings).await;
    let context = Rc::new(CallerContext {
        scenario: Rc::new(scenario),
        targets: Rc::new(entries),
        client: client.expect("a client without addresses opens"),
        start,
        gaps: RefCell::new(gaps),
    });
    let mut tasks = Vec::with_capacity(calls.len());
    for call in calls {
        tokio::time::sleep_until(start + Duration::from(call.at)).await;
        let (context, ended) = (context.clone(), ended.clone());
        tasks.push(ntex::rt::spawn(async move {
            let record = context.run_call(&call).await;
            ended.fetch_add(1, Ordering::Relaxed);
            record
        }));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.push(task.await.expect("a caller's task does not panic"));
    }
    let gaps = context.gaps.replace(GapStats::new([]));
    ThreadResult { records, gaps }
}

fn inject_faults(mut events: Vec<FaultEvent>, start: Instant, on_fault: &FaultCallback) {
    events.sort_by_key(FaultEvent::at);
    for event in events {
        let due = start + Duration::from(event.at());
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        on_fault(&event.action);
    }
}
