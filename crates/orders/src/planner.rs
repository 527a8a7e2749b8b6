//! Decides which orders to send, without I/O.
//!
//! An order states the wanted final state, so it is safe to send it again, and the planner relies
//! only on the engines' reports: an engine that differs from its record gets its order again at an
//! interval until a report shows the wanted state. A late order of an earlier lease holder, at an
//! engine that ignores fencing numbers, is corrected in this way.
//!
//! Loads are limited by a budget, because the weight store limits the rate of requests and an
//! engine does not serve while it loads. The limits are the number of loads at once, the number of
//! loads per minute, and a quarter (rounded up) of a model's engines in the data centre at once. A
//! new holder of the lease does not know which loads its predecessor started, so its budget starts
//! empty.
//!
//! Invariants: no order is based on a report that is too old; the number of loads at once stays
//! within the limit; an engine that is leaving or is to be stopped gets no order.

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

/// One in this many of a model's engines, rounded up, may load at the same time.
const MODEL_LOAD_DIVISOR: usize = 4;

/// Describes an order that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine that the order is for.
    pub backend: BackendId,
    /// The address of the engine.
    pub address: SocketAddr,
    /// The order to send.
    pub order: EngineOrder,
}

#[derive(Debug, Clone)]
struct EngineState {
    report: LoadReport,
    /// The time at which the report was taken, on the local clock.
    reported_at: MonoTime,
    /// The time since which the engine has differed from its record.
    differs_since: Option<MonoTime>,
    sent: Option<SentOrder>,
}

#[derive(Debug, Clone)]
struct SentOrder {
    wanted: WantedState,
    sent_at: MonoTime,
    /// The time at which the load that the order requires is taken to have started, if it requires
    /// one; sending the same order again does not change it while the load counts as running.
    load_started_at: Option<MonoTime>,
}

/// Plans the orders of one data centre.
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

    /// Sets the fencing number of the orders; `None` means that no orders are sent. A change
    /// empties the load budget and clears the orders recorded as sent.
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

    /// Returns the fencing number with which orders are sent.
    pub fn fencing(&self) -> Option<Revision> {
        self.fencing
    }

    /// Records an engine's report, unless it is older than the last one.
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

    /// Returns the orders to send now, and records them as sent.
    ///
    /// The engines that have differed from their records for longest come first.
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

    /// Returns the number of engines that are loading because of this planner's orders.
    pub fn loading_engines(&self, now: MonoTime) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| self.is_loading(now, engine))
            .count()
    }

    /// Returns the number of engines that differ from their records.
    pub fn differing_engines(&self) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.differs_since.is_some())
            .count()
    }

    /// Returns the violated invariants of the planner; an empty list means that there are none.
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

    /// Returns the engines that are loading, except `backend`, whose load a new order would
    /// replace.
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

/// Returns the maximum number of engines of a model that may load at once in a data centre.
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
