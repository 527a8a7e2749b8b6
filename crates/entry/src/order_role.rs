//! Orders to the engines of this data centre, while this VM holds the lease for them.
//!
//! One VM of the data centre is the candidate by rendezvous hashing; the platform's lease decides.
//! Without the lease nothing is sent, and serving goes on.

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

/// What the keys of the order leases begin with; the data centre's name follows.
const LEASE_PREFIX: &str = "leases/orders/";
/// The time between two comparisons of records and reports.
const ROUND_PERIOD: Duration = Duration::from_secs(1);
/// The name of the order role among the pools of the hash.
const ROLE_SPACE: &str = "order lease";
/// How long the phases of sending an order may take.
const ORDER_TIMEOUTS: AttemptTimeouts = AttemptTimeouts {
    connect: Duration::from_millis(1_000),
    first_byte: Duration::from_secs(5),
    idle: Duration::from_secs(5),
};

/// The orders of one data centre at one entry VM.
#[derive(Debug)]
pub struct OrderRole {
    holder: Arc<LeaseHolder>,
    desk: OrderController,
}

impl OrderRole {
    /// Opens the role; it rests until [`run_orders`] makes it a candidate.
    pub(crate) fn open(node: &EntryNode, store: Arc<dyn KeyValueStore>) -> io::Result<Arc<Self>> {
        let centre = &node.settings.instance.centre;
        let key = format!("{LEASE_PREFIX}{centre}");
        let holder = Arc::new(LeaseHolder::spawn(
            store,
            LeaseSettings::new(key, node.me.to_string()),
        ));
        let sender = EngineSender::spawn(ClientSettings::default(), ORDER_TIMEOUTS)?;
        let lease = Arc::clone(&holder);
        let desk = OrderController::open(centre, OrderLimits::default(), lease, Arc::new(sender));
        Ok(Arc::new(Self { holder, desk }))
    }

    /// Returns whether this VM holds the lease now.
    pub fn is_holder(&self) -> bool {
        self.holder.fencing().is_some()
    }

    /// Takes in an engine's report.
    pub fn note_report(&self, backend: BackendId, report: LoadReport) {
        self.desk.on_report(monotonic_now(), backend, report);
    }

    /// Returns what the orders came to so far.
    pub fn counters(&self) -> OrderCounters {
        self.desk.counters()
    }

    /// Returns the state as text.
    pub fn dump(&self) -> String {
        format!("{}{}", self.holder.dump(), self.desk.dump())
    }

    /// Gives the lease back.
    pub(crate) async fn stop(&self) {
        self.holder.stop().await;
    }
}

/// Takes and uses the role, for as long as the process runs.
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
                .note(what, "the order lease changed hands or lapsed");
        }
        let records = Arc::clone(&node.view().records);
        role.desk.run_round(monotonic_now(), &records).await;
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
        model: ModelId::from_name(ROLE_SPACE),
    };
    choose_dispatcher(key, &candidates) == Some(node.me)
}
