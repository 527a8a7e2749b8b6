//! The decision which orders to send, as pure data.
//!
//! An order states the wanted end state, so sending it again is harmless, and the planner trusts
//! only the engines' reports: an engine that differs from its record gets its order again at an
//! interval until a report shows that it is as it should be. So an order of an earlier holder of
//! the lease that arrives late, at an engine that ignores fencing numbers, does not stand.
//!
//! Loads come out of a budget, because the weight store is rate-limited and an engine that loads
//! does not serve: so many at a time, so many a minute, and no more than a quarter of a model's
//! engines at once. A new holder of the lease does not know what its predecessor started, so its
//! budget starts empty.
//!
//! Invariants: no order without a report that is fresh enough; no more loads at a time than the
//! limits say; an engine that leaves or is to stop gets no order.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use oleander_base::LoadReport;
use oleander_base::prelude::*;
use oleander_engine::EngineOrder;
use oleander_platform::TokenBucket;
use oleander_records::{BackendKind, BackendRecord, RecordSet, StopTarget, WantedState};

use crate::budget::OrderLimits;
use crate::compare::{Difference, build_order, compare};

/// The model's engines are divided by this to get how many of them may load at once.
const MODEL_LOAD_DIVISOR: usize = 4;

/// An order that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
    /// The order.
    pub order: EngineOrder,
}

#[derive(Debug, Clone)]
struct EngineState {
    report: LoadReport,
    /// When the report was taken, by our clock.
    reported_at: MonoTime,
    /// Since when the engine differs from its record.
    differs_since: Option<MonoTime>,
    sent: Option<SentOrder>,
}

#[derive(Debug, Clone)]
struct SentOrder {
    wanted: WantedState,
    sent_at: MonoTime,
    /// When the first of the same orders was sent, if it makes the engine load.
    load_started_at: Option<MonoTime>,
}

/// The state of one data centre's orders.
#[derive(Debug, Clone)]
pub struct OrderPlanner {
    limits: OrderLimits,
    fencing: Option<Revision>,
    budget: TokenBucket,
    engines: BTreeMap<BackendId, EngineState>,
}

impl OrderPlanner {
    /// Returns a planner that knows no engine and holds no lease.
    pub fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            fencing: None,
            budget: limits.new_load_budget(MonoTime::default()),
            engines: BTreeMap::new(),
        }
    }

    /// Notes with which fencing number orders are sent from now on; none means no orders.
    pub fn set_fencing(&mut self, now: MonoTime, fencing: Option<Revision>) {
        if self.fencing == fencing {
            return;
        }
        self.fencing = fencing;
        self.budget = self.limits.new_load_budget(now);
        for engine in self.engines.values_mut() {
            engine.sent = None;
        }
    }

    /// Returns the fencing number that orders are sent with.
    pub fn fencing(&self) -> Option<Revision> {
        self.fencing
    }

    /// Takes in an engine's report; one that is older than the last one is passed over.
    pub fn on_report(&mut self, now: MonoTime, backend: BackendId, report: LoadReport) {
        let reported_at = now - report.age;
        match self.engines.get_mut(&backend) {
            Some(engine) if engine.reported_at > reported_at => {}
            Some(engine) => {
                engine.report = report;
                engine.reported_at = reported_at;
            }
            None => {
                let engine = EngineState {
                    report,
                    reported_at,
                    differs_since: None,
                    sent: None,
                };
                self.engines.insert(backend, engine);
            }
        }
    }

    /// Decides which orders to send now, and notes them as sent.
    ///
    /// Engines that have waited longest come first.
    pub fn plan(&mut self, now: MonoTime, set: &RecordSet, centre: &str) -> Vec<PlannedOrder> {
        self.engines
            .retain(|backend, _| set.backends.contains_key(backend));
        let Some(fencing) = self.fencing else {
            return Vec::new();
        };
        let mut waiting = self.find_differing(now, set, centre);
        waiting.sort_by_key(|(since, backend, _)| (*since, *backend));
        let mut planned = Vec::new();
        for (_, backend, difference) in waiting {
            let record = &set.backends[&backend];
            let Some(wanted) = &record.wanted else {
                continue;
            };
            if self.admit(now, set, backend, wanted, difference) {
                self.record_sent(now, backend, wanted, difference);
                planned.push(PlannedOrder {
                    backend,
                    address: record.address,
                    order: build_order(wanted, fencing),
                });
            }
        }
        planned
    }

    /// Returns how many engines are loading because of our orders.
    pub fn loading_engines(&self, now: MonoTime) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| self.is_loading(now, engine))
            .count()
    }

    /// Returns how many engines differ from their records.
    pub fn differing_engines(&self) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.differs_since.is_some())
            .count()
    }

    /// Returns what is wrong with the planner's state; an empty list is right.
    pub fn verify(&self, now: MonoTime) -> Vec<String> {
        let mut problems = Vec::new();
        if self.loading_engines(now) > self.limits.max_concurrent_loads {
            problems.push(format!(
                "{} engines load at once",
                self.loading_engines(now)
            ));
        }
        if self.fencing.is_none() && self.engines.values().any(|engine| engine.sent.is_some()) {
            problems.push("orders are noted as sent without a lease".to_owned());
        }
        problems
    }

    fn find_differing(
        &mut self,
        now: MonoTime,
        set: &RecordSet,
        centre: &str,
    ) -> Vec<(MonoTime, BackendId, Difference)> {
        let mut waiting = Vec::new();
        for (backend, engine) in &mut self.engines {
            let record = &set.backends[backend];
            let Some(wanted) = &record.wanted else {
                engine.differs_since = None;
                engine.sent = None;
                continue;
            };
            let difference = compare(wanted, &engine.report);
            if difference == Difference::None {
                engine.differs_since = None;
                engine.sent = None;
                continue;
            }
            let since = *engine.differs_since.get_or_insert(now);
            let is_fresh = now.since(engine.reported_at) <= self.limits.max_report_age;
            let takes_orders = record.kind == BackendKind::Engine
                && record.centre == centre
                && !engine.report.leaving
                && !is_stopping(set, record);
            if is_fresh && takes_orders {
                waiting.push((since, *backend, difference));
            }
        }
        waiting
    }

    fn admit(
        &mut self,
        now: MonoTime,
        set: &RecordSet,
        backend: BackendId,
        wanted: &WantedState,
        difference: Difference,
    ) -> bool {
        let engine = &self.engines[&backend];
        let same = engine.sent.as_ref().filter(|sent| sent.wanted == *wanted);
        if same.is_some_and(|sent| now.since(sent.sent_at) < self.limits.repeat_interval) {
            return false;
        }
        let is_loading = same.is_some() && self.is_loading(now, engine);
        if difference == Difference::Reconfigure || is_loading {
            return true;
        }
        let others = self.other_loading_engines(now, backend);
        let below_total_limit = others.len() < self.limits.max_concurrent_loads;
        let same_model = others
            .iter()
            .filter(|other| serves_model(&set.backends[*other], &wanted.model));
        let centre = &set.backends[&backend].centre;
        let below_model_limit = same_model.count() < model_limit(set, centre, wanted);
        below_total_limit && below_model_limit && self.budget.take(now, 0.0).is_ok()
    }

    fn record_sent(
        &mut self,
        now: MonoTime,
        backend: BackendId,
        wanted: &WantedState,
        difference: Difference,
    ) {
        let Some(engine) = self.engines.get_mut(&backend) else {
            return;
        };
        let timeout = self.limits.load_timeout;
        let before = engine.sent.take().filter(|sent| sent.wanted == *wanted);
        let running = before
            .and_then(|sent| sent.load_started_at)
            .filter(|started_at| now.since(*started_at) < timeout);
        let load_started_at = match difference {
            Difference::Load => running.or(Some(now)),
            Difference::Reconfigure | Difference::None => running,
        };
        engine.sent = Some(SentOrder {
            wanted: wanted.clone(),
            sent_at: now,
            load_started_at,
        });
    }

    fn is_loading(&self, now: MonoTime, engine: &EngineState) -> bool {
        let started_at = engine.sent.as_ref().and_then(|sent| sent.load_started_at);
        started_at.is_some_and(|started_at| now.since(started_at) < self.limits.load_timeout)
    }

    /// Returns the engines that load, without one whose load a new order would replace.
    fn other_loading_engines(&self, now: MonoTime, backend: BackendId) -> Vec<BackendId> {
        let others = self
            .engines
            .iter()
            .filter(|(other, engine)| **other != backend && self.is_loading(now, engine));
        others.map(|(other, _)| *other).collect()
    }
}

fn serves_model(record: &BackendRecord, model: &str) -> bool {
    record.serves.iter().any(|name| name == model)
}

/// Returns how many engines of a model may load at once in a data centre.
fn model_limit(set: &RecordSet, centre: &str, wanted: &WantedState) -> usize {
    let engines = set.backends.values();
    let engines =
        engines.filter(|record| record.centre == centre && serves_model(record, &wanted.model));
    engines.count().div_ceil(MODEL_LOAD_DIVISOR).max(1)
}

fn is_stopping(set: &RecordSet, record: &BackendRecord) -> bool {
    set.stops.values().any(|stop| match &stop.target {
        StopTarget::Backend(name) => *name == record.name,
        StopTarget::Centre(name) => *name == record.centre,
        StopTarget::Entry(_) => false,
    })
}

impl fmt::Display for OrderPlanner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.fencing {
            Some(fencing) => writeln!(f, "orders: fencing number {fencing}")?,
            None => writeln!(f, "orders: no lease")?,
        }
        for (backend, engine) in &self.engines {
            write!(f, "  {backend}: report of {}", engine.reported_at)?;
            if let Some(since) = engine.differs_since {
                write!(f, ", differs since {since}")?;
            }
            if let Some(sent) = &engine.sent {
                let WantedState { model, version, .. } = &sent.wanted;
                write!(f, ", {model} {version} ordered at {}", sent.sent_at)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
