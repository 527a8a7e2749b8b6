//! Sending the planned orders while the lease is held.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use log::info;
use oleander_base::LoadReport;
use oleander_base::prelude::*;
use oleander_engine::{EngineOrder, OrderAnswer};
use oleander_platform::{BoxFuture, LeaseHolder};
use oleander_records::RecordSet;
use parking_lot::Mutex;
use thiserror::Error;

use crate::budget::OrderLimits;
use crate::planner::{OrderPlanner, PlannedOrder};

/// Why an order did not reach an engine, or is not known to have.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the order failed: {reason}")]
pub struct OrderError {
    /// What was seen.
    pub reason: String,
}

/// The border to the engines.
pub trait OrderSender: Send + Sync {
    /// Sends an order, once, if `may_send` still says so right before the send.
    fn send_order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a EngineOrder,
        may_send: SendCheck,
    ) -> BoxFuture<'a, Result<OrderAnswer, OrderError>>;
}

/// Asked right before an order is sent; false means that the lease is gone.
pub type SendCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// The border to the lease.
pub trait LeaseView: Send + Sync {
    /// Returns the fencing number if the lease is held at this moment.
    fn fencing(&self) -> Option<Revision>;
}

impl LeaseView for LeaseHolder {
    fn fencing(&self) -> Option<Revision> {
        Self::fencing(self)
    }
}

/// What a data centre's orders came to so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounters {
    /// Orders that an engine accepted.
    pub accepted: u64,
    /// Orders that an engine refused for an old fencing number.
    pub old_fencing: u64,
    /// Orders that failed.
    pub failed: u64,
    /// Orders that were held back because the lease had gone between plan and send.
    pub held_back: u64,
}

/// The orders of one data centre.
pub struct OrderDesk {
    centre: String,
    lease: Arc<dyn LeaseView>,
    sender: Arc<dyn OrderSender>,
    planner: Mutex<OrderPlanner>,
    counters: Mutex<OrderCounters>,
}

impl std::fmt::Debug for OrderDesk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OrderDesk")
            .field("centre", &self.centre)
            .finish_non_exhaustive()
    }
}

impl OrderDesk {
    /// Opens the orders of a data centre.
    pub fn open(
        centre: impl Into<String>,
        limits: OrderLimits,
        lease: Arc<dyn LeaseView>,
        sender: Arc<dyn OrderSender>,
    ) -> Self {
        Self {
            centre: centre.into(),
            lease,
            sender,
            planner: Mutex::new(OrderPlanner::new(limits)),
            counters: Mutex::new(OrderCounters::default()),
        }
    }

    /// Takes in an engine's report.
    pub fn note_report(&self, now: MonoTime, backend: BackendId, report: LoadReport) {
        self.planner.lock().note_report(now, backend, report);
    }

    /// Plans and sends once, and returns how many orders were planned; call it every second.
    pub async fn run_round(&self, now: MonoTime, set: &RecordSet) -> usize {
        let fencing = self.lease.fencing();
        let planned = {
            let mut planner = self.planner.lock();
            if planner.fencing() != fencing {
                note_change(&self.centre, fencing);
            }
            planner.set_fencing(now, fencing);
            planner.plan(now, set, &self.centre)
        };
        join_all(planned.iter().map(|order| self.send(order))).await;
        planned.len()
    }

    /// Returns what the orders came to so far.
    pub fn counters(&self) -> OrderCounters {
        *self.counters.lock()
    }

    /// Returns how many engines differ from their records, by the last round.
    pub fn different(&self) -> usize {
        self.planner.lock().different()
    }

    /// Returns the state as readable text.
    pub fn dump(&self) -> String {
        self.planner.lock().to_string()
    }

    async fn send(&self, planned: &PlannedOrder) {
        let fencing = Revision(planned.order.fencing);
        let lease = Arc::clone(&self.lease);
        let may_send: SendCheck = Arc::new(move || lease.fencing() == Some(fencing));
        if !may_send() {
            self.counters.lock().held_back += 1;
            return;
        }
        let sent = self
            .sender
            .send_order(planned.address, &planned.order, may_send);
        let result = sent.await;
        let mut counters = self.counters.lock();
        match result {
            Ok(OrderAnswer::Accepted) => counters.accepted += 1,
            Ok(OrderAnswer::StaleFencing { .. }) => counters.old_fencing += 1,
            Err(_) => counters.failed += 1,
        }
    }
}

fn note_change(centre: &str, fencing: Option<Revision>) {
    match fencing {
        Some(fencing) => info!("orders of {centre}: sent with fencing number {fencing}"),
        None => info!("orders of {centre}: the lease is not held, none are sent"),
    }
}
