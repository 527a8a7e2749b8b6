//! Sends the planned orders while the lease is held.

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

/// Reports why an order did not reach an engine, or may not have reached it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the order failed: {reason}")]
pub struct OrderError {
    /// The error that was observed.
    pub reason: String,
}

/// Sends orders to engines.
pub trait OrderSender: Send + Sync {
    /// Sends an order once, if `may_send` returns true right before the send.
    fn send_order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a EngineOrder,
        may_send: SendCheck,
    ) -> BoxFuture<'a, Result<OrderAnswer, OrderError>>;
}

/// Checks the lease right before an order is sent; false means that it is no longer held.
pub type SendCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Gives access to the state of the lease.
pub trait LeaseView: Send + Sync {
    /// Returns the fencing number if the lease is held now.
    fn fencing(&self) -> Option<Revision>;
}

impl LeaseView for LeaseHolder {
    fn fencing(&self) -> Option<Revision> {
        Self::fencing(self)
    }
}

/// Counts the results of a data centre's orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OrderCounters {
    /// The number of orders that an engine accepted.
    pub accepted: u64,
    /// The number of orders that an engine refused because of an old fencing number.
    pub old_fencing: u64,
    /// The number of orders that failed, including those whose sender found that the lease was no
    /// longer held.
    pub failed: u64,
    /// The number of orders that were not passed to the sender because the lease was lost after
    /// planning.
    pub held_back: u64,
}

/// Plans and sends the orders of one data centre.
pub struct OrderController {
    centre: String,
    lease: Arc<dyn LeaseView>,
    sender: Arc<dyn OrderSender>,
    planner: Mutex<OrderPlanner>,
    counters: Mutex<OrderCounters>,
}

impl std::fmt::Debug for OrderController {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OrderController")
            .field("centre", &self.centre)
            .finish_non_exhaustive()
    }
}

impl OrderController {
    /// Returns a controller for the orders of a data centre.
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

    /// Passes an engine's report to the planner.
    pub fn on_report(&self, now: MonoTime, backend: BackendId, report: LoadReport) {
        self.planner.lock().on_report(now, backend, report);
    }

    /// Runs one round of planning and sending, and returns the number of planned orders. It is
    /// meant to be called every second.
    pub async fn run_round(&self, now: MonoTime, set: &RecordSet) -> usize {
        let fencing = self.lease.fencing();
        let planned = {
            let mut planner = self.planner.lock();
            if planner.fencing() != fencing {
                log_lease_change(&self.centre, fencing);
            }
            planner.set_fencing(now, fencing);
            planner.plan(now, set, &self.centre)
        };
        join_all(planned.iter().map(|order| self.send(order))).await;
        planned.len()
    }

    /// Returns the counters of the orders.
    pub fn counters(&self) -> OrderCounters {
        *self.counters.lock()
    }

    /// Returns the number of engines that differed from their records in the last round in which
    /// the lease was held.
    pub fn differing_engines(&self) -> usize {
        self.planner.lock().differing_engines()
    }

    /// Returns the state of the planner as readable text.
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

fn log_lease_change(centre: &str, fencing: Option<Revision>) {
    match fencing {
        Some(fencing) => info!("orders of {centre}: sending with fencing number {fencing}"),
        None => info!("orders of {centre}: lease not held, sending none"),
    }
}
