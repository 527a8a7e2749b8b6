//! Reports the usage of customers while this gateway holds the duties.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::{
    CarriedWindows, MedianClock, TrueTime, UsageSchedule, WindowStep, WindowTerms,
};
use oleander_platform::boot_time;
use serde::Serialize;
use tokio::time::sleep;

use super::lease::HeldDuty;
use super::provider::ProviderClient;
use super::token::FencingToken;
use super::usage_collect::{CollectedUsage, CountRange, collect_usage};
use super::usage_exchange::{wall_clock, window_terms};
use super::usage_intents::IntentStore;
use crate::core::GatewayCore;
use crate::port::UsageReport;
use crate::prelude::*;
use crate::store_client::StoreError;

/// The time between two checks of what is due.
const TICK: Span = Span::from_millis(100);

/// The time between two checks whether this gateway holds the duties.
const IDLE_TICK: Span = Span::from_millis(250);

/// The pause after a step that failed.
const RETRY_PAUSE: Span = Span::from_millis(400);

/// The least number of other gateways at which this one gives the duties up if none of them answers. With fewer, the
/// fault may as well be theirs.
const MIN_WITNESSES: usize = 2;

#[derive(Debug, Serialize)]
struct BeganFields {
    token: FencingToken,
    first: u64,
    intents: usize,
    /// Whether this gateway was the holder in the era before, and knows the texts of all its windows.
    is_carried: bool,
    clocks: usize,
    clock_off_ms: f64,
}

#[derive(Debug, Serialize)]
struct CollectedFields<'a> {
    window: u64,
    requests: u64,
    customers: usize,
    asked: usize,
    answered: usize,
    from_replicas: u64,
    problem: Option<&'a str>,
    clocks: usize,
    clock_off_ms: f64,
}

#[derive(Debug, Serialize)]
struct ReportedFields {
    window: u64,
    token: FencingToken,
    /// The time that was left until the report was due; negative if it was late.
    left_ms: f64,
    tries: u32,
}

#[derive(Debug, Serialize)]
struct ProblemFields<'a> {
    window: u64,
    reason: &'a str,
}

/// Reports usage whenever this gateway holds the duties, for as long as the process runs.
pub(crate) async fn run_usage_reports(core: Rc<GatewayCore>) {
    let mut carried = None;
    loop {
        sleep(Duration::from(IDLE_TICK)).await;
        let settings = core.settings();
        let Some((terms, _)) = window_terms(&settings) else {
            continue;
        };
        let Some(held) = core.duties.lease.held() else {
            continue;
        };
        let reporter = UsageReporter::open(&core, terms, held, carried.take());
        carried = reporter.run().await;
    }
}

/// What a holder knows of its windows when the store's era changes. In the next era the intents may be gone from the
/// store.
#[derive(Debug)]
struct CarriedUsage {
    era: StoreEra,
    windows: CarriedWindows,
}

/// The reports of one holder.
struct UsageReporter {
    core: Rc<GatewayCore>,
    terms: WindowTerms,
    held: HeldDuty,
    intents: IntentStore,
    provider: ProviderClient,
    clock: MedianClock,
    /// The texts whose writes to the store had no answer.
    drafts: BTreeMap<u64, Arc<str>>,
    tries: BTreeMap<u64, u32>,
    last_problem: String,
    /// Until when nothing is tried after a failure.
    rests_until: MonoTime,
    /// What this gateway knew when it lost the duties by a change of the era.
    carried: Option<CarriedUsage>,
    /// Until when the lease held by its last renewal.
    held_until: MonoTime,
}

impl UsageReporter {
    fn open(
        core: &Rc<GatewayCore>,
        terms: WindowTerms,
        held: HeldDuty,
        carried: Option<CarriedUsage>,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            terms,
            held,
            intents: IntentStore::open(Rc::clone(core), held),
            provider: ProviderClient::open(Rc::clone(core)),
            clock: MedianClock::default(),
            drafts: BTreeMap::new(),
            tries: BTreeMap::new(),
            last_problem: String::new(),
            rests_until: MonoTime::default(),
            carried,
            held_until: held.lease.expires_at(),
        }
    }

    /// Reports until this gateway is not the holder any more. Returns what it knows if the era has changed
    /// while its lease held.
    async fn run(mut self) -> Option<CarriedUsage> {
        let now = boot_time();
        // The first queries are for an empty window: only the clocks of the gateways are needed.
        let range = CountRange { from: now, to: now };
        collect_usage(&self.core, range, &mut self.clock).await;
        let mut schedule = None;
        while self.is_holder() {
            match &mut schedule {
                None => match self.begin().await {
                    Ok(begun) => schedule = Some(begun),
                    Err(error) => self.on_problem(0, &error.to_string()),
                },
                Some(schedule) => self.work(schedule).await,
            }
            let own = self.core.duties.usage.incarnation();
            self.clock.observe(own, wall_clock(), boot_time());
            sleep(Duration::from(TICK)).await;
        }
        let is_carried = self.core.store_era() != self.held.era && boot_time() < self.held_until;
        let windows = schedule.filter(|_| is_carried)?.carry(&self.drafts);
        Some(CarriedUsage {
            era: self.held.era,
            windows,
        })
    }

    fn is_holder(&mut self) -> bool {
        let held = self.core.duties.lease.held();
        let Some(held) = held.filter(|held| held.token() == self.held.token()) else {
            return false;
        };
        self.held_until = held.lease.expires_at();
        true
    }

    /// Returns what this gateway knows from the era directly before this one.
    fn take_carried(&mut self) -> Option<CarriedWindows> {
        let carried = self.carried.take()?;
        let is_next = carried.era.0 + 1 == self.held.era.0;
        is_next.then_some(carried.windows)
    }

    /// Reads what earlier holders have left.
    async fn begin(&mut self) -> Result<UsageSchedule, StoreError> {
        let found = self.intents.read_all().await?;
        let is_first_holder = found.first.is_none();
        let carried = self.take_carried().filter(|_| is_first_holder);
        let first = match (found.first, &carried) {
            (Some(first), _) => first,
            (None, Some(carried)) => carried.first_without_text(),
            (None, None) => self.terms.first_without_intent(self.now()),
        };
        if is_first_holder {
            self.intents
                .write_start(first, found.start_revision)
                .await?;
        }
        let fields = BeganFields {
            token: self.held.token(),
            first,
            intents: found.intents.len(),
            is_carried: carried.is_some(),
            clocks: self.clock.clocks(boot_time()),
            clock_off_ms: self.clock_off_ms(),
        };
        self.core.log.change("usage-begun", fields);
        let mut schedule = UsageSchedule::new(self.terms, first);
        for (window, text) in found.intents {
            schedule.add_intent(window, text);
        }
        if let Some(carried) = carried {
            schedule.take_over(carried);
        }
        Ok(schedule)
    }

    /// Does everything that is due now.
    async fn work(&mut self, schedule: &mut UsageSchedule) {
        if boot_time() < self.rests_until {
            return;
        }
        // This is read once for each pass: if calls become permitted within it, the next pass sends the oldest
        // window first.
        let may_send = self.core.duties.lease.current().is_some();
        let mut skipped = Vec::new();
        while let Some(step) = schedule.next_step(self.now(), &skipped) {
            if !self.is_holder() {
                return;
            }
            let (window, is_done) = match step {
                WindowStep::Collect(window) => (window, self.collect(schedule, window).await),
                WindowStep::Send(window, _) if !may_send => (window, false),
                WindowStep::Send(window, text) => {
                    (window, self.send(schedule, window, &text).await)
                }
                WindowStep::Drop(window) => {
                    self.drop_window(schedule, window);
                    (window, true)
                }
            };
            if !is_done {
                skipped.push(window);
            }
        }
    }

    /// Collects the counts of a window and writes its intent; returns whether that worked.
    async fn collect(&mut self, schedule: &mut UsageSchedule, window: u64) -> bool {
        let Some(text) = self.draft(window).await else {
            return false;
        };
        self.drafts.insert(window, Arc::clone(&text));
        let old = schedule.old_intents(self.now());
        match self.intents.write(window, &text, &old).await {
            Ok(text) => {
                self.drafts.remove(&window);
                schedule.add_intent(window, text);
                for window in old {
                    schedule.forget_intent(window);
                }
                true
            }
            Err(error) => {
                self.on_problem(window, &error.to_string());
                false
            }
        }
    }

    /// Returns the text of a window's report. A text that may have been written to the store is not changed any more,
    /// since another holder may send it.
    async fn draft(&mut self, window: u64) -> Option<Arc<str>> {
        if let Some(text) = self.drafts.get(&window) {
            return Some(Arc::clone(text));
        }
        let now = boot_time();
        let range = CountRange {
            from: self.clock.mono_time(self.terms.begin(window), now)?,
            to: self.clock.mono_time(self.terms.end(window), now)?,
        };
        let collected = collect_usage(&self.core, range, &mut self.clock).await;
        self.clock.prune(boot_time());
        if self.is_out_of_touch(&collected) {
            self.on_problem(window, "no other gateway answers");
            self.core.duties.lease.resign("no other gateway answers");
            return None;
        }
        let counts = collected.counts.total();
        let requests: u64 = counts.values().sum();
        let from_replicas = collected.counts.from_replicas();
        let fields = CollectedFields {
            window,
            requests,
            customers: counts.len(),
            asked: collected.asked,
            answered: collected.answered,
            from_replicas,
            problem: collected.problem.as_deref(),
            clocks: self.clock.clocks(boot_time()),
            clock_off_ms: self.clock_off_ms(),
        };
        self.core.log.change("usage-collected", fields);
        let metrics = &self.core.metrics;
        metrics.record_usage_counts("gateway", requests - from_replicas);
        metrics.record_usage_counts("replica", from_replicas);
        let report = UsageReport {
            window,
            counts: &counts,
        };
        Some(Arc::from(self.core.port.usage_request(&report).body))
    }

    /// Returns whether this gateway should leave the duties to one that reaches the others. It gives them up
    /// once; if it gets them again, there is no better one.
    fn is_out_of_touch(&self, collected: &CollectedUsage) -> bool {
        let is_alone = collected.asked >= MIN_WITNESSES && collected.answered == 0;
        let was_alone = self.core.duties.was_alone.replace(is_alone);
        is_alone && !was_alone
    }

    /// Sends the text of a window; returns whether the provider has accepted it.
    async fn send(&mut self, schedule: &mut UsageSchedule, window: u64, text: &Arc<str>) -> bool {
        let Some(grant) = self.core.duties.lease.current() else {
            return false;
        };
        let request = self.core.port.repeated_usage_request(text.to_string());
        let tries = self.tries.entry(window).or_default();
        *tries += 1;
        let tries = *tries;
        match self.provider.call(&grant, &request).await {
            Ok(reply) if reply.is_accepted() => {
                schedule.finish(window);
                self.tries.remove(&window);
                self.last_problem.clear();
                self.log_reported(window, tries);
                true
            }
            Ok(reply) => {
                self.on_problem(window, &format!("the provider answered {}", reply.status));
                false
            }
            Err(error) => {
                self.on_problem(window, &error.to_string());
                false
            }
        }
    }

    fn log_reported(&self, window: u64, tries: u32) {
        let left_us = self.terms.due(window).0 as f64 - self.now().0 as f64;
        let outcome = if left_us < 0.0 { "late" } else { "reported" };
        self.core.metrics.record_usage_window(outcome);
        let fields = ReportedFields {
            window,
            token: self.held.token(),
            left_ms: left_us / 1_000.0,
            tries,
        };
        self.core.log.change("usage-reported", fields);
    }

    fn drop_window(&mut self, schedule: &mut UsageSchedule, window: u64) {
        schedule.finish(window);
        self.tries.remove(&window);
        self.core.metrics.record_usage_window("dropped");
        let fields = ProblemFields {
            window,
            reason: &format!("it is overdue; {}", self.last_problem),
        };
        self.core.log.change("usage-dropped", fields);
    }

    /// Logs a failure, once for each reason in a row, and pauses.
    fn on_problem(&mut self, window: u64, reason: &str) {
        self.rests_until = boot_time() + RETRY_PAUSE;
        // Reasons are compared up to their first digit, because a time in them differs with each try.
        let kind = reason.split(|c: char| c.is_ascii_digit()).next();
        let kind = kind.unwrap_or_default();
        if self.last_problem.starts_with(kind) && !self.last_problem.is_empty() {
            return;
        }
        reason.clone_into(&mut self.last_problem);
        let fields = ProblemFields { window, reason };
        self.core.log.change("usage-delayed", fields);
    }

    fn now(&self) -> TrueTime {
        let now = boot_time();
        self.clock.true_time(now).unwrap_or_else(wall_clock)
    }

    /// Returns by how much the wall clock of this gateway is ahead of the median.
    fn clock_off_ms(&self) -> f64 {
        (wall_clock().0 as f64 - self.now().0 as f64) / 1_000.0
    }
}
