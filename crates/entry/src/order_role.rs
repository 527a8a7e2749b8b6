//! Sends orders to the engines of this data centre, while this VM holds the lease for them.
//!
//! Rendezvous hashing makes one VM of the data centre the candidate; the platform's lease decides.
//! Without the lease no orders are sent, and requests are still served.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use oleander_attempt::AttemptTimeouts;
use oleander_base::prelude::*;
use oleander_base::{LoadReport, monotonic_now};
use oleander_decide::{DispatcherCandidate, choose_dispatcher};
use oleander_engine::ClientSettings;
use oleander_orders::{EngineSender, OrderController, OrderCounters, OrderLimits};
use oleander_platform::{KeyValueStore, LeaseHolder, LeaseSettings};

use crate::life::LifeStage;
use crate::node::EntryNode;

/// The prefix of the order leases' keys; the data centre's name follows.
const LEASE_PREFIX: &str = "leases/orders/";
/// Interval between rounds, each of which compares records with reports.
const ROUND_PERIOD: Duration = Duration::from_secs(1);
/// The model name that stands for the order role in the keys of the rendezvous hash.
const ROLE_KEY: &str = "order lease";
/// Timeouts for the phases of sending an order.
const ORDER_TIMEOUTS: AttemptTimeouts = AttemptTimeouts {
    connect: Duration::from_millis(1_000),
    first_byte: Duration::from_secs(5),
    idle: Duration::from_secs(5),
};

/// The role of sending orders to the engines of one data centre.
#[derive(Debug)]
pub struct OrderRole {
    holder: Arc<LeaseHolder>,
    controller: OrderController,
}

impl OrderRole {
    /// Opens the role; it is inactive until [`run_orders`] makes this VM a candidate.
    pub(crate) fn open(node: &EntryNode, store: Arc<dyn KeyValueStore>) -> io::Result<Arc<Self>> {
        let centre = &node.settings.instance.centre;
        let key = format!("{LEASE_PREFIX}{centre}");
        let holder = Arc::new(LeaseHolder::spawn(
            store,
            LeaseSettings::new(key, node.me.to_string()),
        ));
        let sender = EngineSender::spawn(ClientSettings::default(), ORDER_TIMEOUTS)?;
        let lease = Arc::clone(&holder);
        let controller =
            OrderController::open(centre, OrderLimits::default(), lease, Arc::new(sender));
        Ok(Arc::new(Self { holder, controller }))
    }

    /// Returns whether this VM holds the lease now.
    pub fn is_holder(&self) -> bool {
        self.holder.fencing().is_some()
    }

    /// Passes an engine's load report to the order controller.
    pub fn on_report(&self, backend: BackendId, report: LoadReport) {
        self.controller.on_report(monotonic_now(), backend, report);
    }

    /// Returns the counters of the orders so far.
    pub fn counters(&self) -> OrderCounters {
        self.controller.counters()
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        format!("{}{}", self.holder.dump(), self.controller.dump())
    }

    /// Releases the lease.
    pub(crate) async fn stop(&self) {
        self.holder.stop().await;
    }
}

/// Competes for the role and performs it, for as long as the process runs.
pub(crate) async fn run_orders(node: Arc<EntryNode>, role: Arc<OrderRole>) {
    let mut held = false;
    loop {
        tokio::time::sleep(ROUND_PERIOD).await;
        role.holder.set_candidate(is_candidate(&node));
        let holds = role.is_holder();
        if holds != held {
            held = holds;
            let what = if holds {
                "orders are sent from here"
            } else {
                "no orders are sent from here"
            };
            node.changes
                .record(what, "the order lease changed hands or lapsed");
        }
        let records = Arc::clone(&node.view().records);
        role.controller.run_round(monotonic_now(), &records).await;
    }
}

fn is_candidate(node: &EntryNode) -> bool {
    if node.life.stage() != LifeStage::Ready {
        return false;
    }
    let view = node.view();
    let inside = view
        .members
        .iter()
        .filter(|m| m.centre == node.centre && m.takes_roles);
    let candidates: Vec<DispatcherCandidate> = inside
        .map(|member| DispatcherCandidate {
            instance: member.instance,
            weight: member.weight,
        })
        .collect();
    let key = PoolId {
        centre: node.centre,
        model: ModelId::from_name(ROLE_KEY),
    };
    choose_dispatcher(key, &candidates) == Some(node.me)
}
