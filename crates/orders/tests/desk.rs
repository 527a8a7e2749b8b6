//! Tests orders to the engine's stand-in, with and without its check of fencing numbers, and the
//! loss of the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_base::{EngineRole, monotonic_now};
use oleander_engine::{AttemptTimeouts, ClientSettings, EngineClient, EngineOrder, OrderAnswer};
use oleander_orders::{
    EngineSender, LeaseView, OrderController, OrderError, OrderLimits, OrderSender, SendCheck,
};
use oleander_platform::BoxFuture;
use oleander_records::{BackendKind, BackendRecord, RecordSet, WantedState};
use oleander_standin::{EngineSettings, EngineStandIn, OrderMode};
use parking_lot::Mutex;

/// Number of checks of a condition after which the test fails.
const MAX_POLLS: usize = 4_000;

#[derive(Debug, Default)]
struct FakeLease(Mutex<Option<Revision>>);

impl LeaseView for FakeLease {
    fn fencing(&self) -> Option<Revision> {
        *self.0.lock()
    }
}

/// Loses the lease between planning and sending, like a process that is paused there.
struct PausedSender {
    inner: EngineSender,
    lease: Arc<FakeLease>,
}

impl OrderSender for PausedSender {
    fn send_order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a EngineOrder,
        may_send: SendCheck,
    ) -> BoxFuture<'a, Result<OrderAnswer, OrderError>> {
        *self.lease.0.lock() = None;
        self.inner.send_order(address, order, may_send)
    }
}

fn bind_engine(orders: OrderMode) -> EngineStandIn {
    let settings = EngineSettings {
        report_interval_ms: 20,
        report_lag_ms: 20,
        load_ms: 20,
        orders,
        ..EngineSettings::default()
    };
    EngineStandIn::bind(settings).unwrap()
}

fn records_wanting(engine: &EngineStandIn, version: &str) -> RecordSet {
    let record = BackendRecord {
        name: "e".to_owned(),
        kind: BackendKind::Engine,
        centre: "c".to_owned(),
        address: engine.address(),
        serves: vec!["model".to_owned()],
        slots: 4,
        speed: 1.0,
        checks_fencing: false,
        wanted: Some(WantedState {
            model: "model".to_owned(),
            version: version.to_owned(),
            adapters: Vec::new(),
            role: EngineRole::Full,
        }),
        routes: Vec::new(),
    };
    let mut set = RecordSet::default();
    set.backends.insert(BackendId::from_name("e"), record);
    set
}

fn limits() -> OrderLimits {
    OrderLimits {
        loads_per_minute: 6_000.0,
        repeat_interval: Span::from_millis(100),
        ..OrderLimits::default()
    }
}

fn open_sender() -> EngineSender {
    EngineSender::spawn(ClientSettings::default(), AttemptTimeouts::default()).unwrap()
}

fn open_controller(lease: &Arc<FakeLease>) -> OrderController {
    let lease: Arc<dyn LeaseView> = lease.clone();
    OrderController::open("c", limits(), lease, Arc::new(open_sender()))
}

/// Runs rounds with the engine's own reports until it has this version.
async fn run_until(
    controller: &OrderController,
    engine: &EngineStandIn,
    set: &RecordSet,
    version: &str,
) {
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    for _ in 0..MAX_POLLS {
        let report = client.read_report(engine.address(), AttemptTimeouts::default());
        let report = report.await.unwrap();
        if report.models[0].version == version {
            return;
        }
        controller.on_report(monotonic_now(), BackendId::from_name("e"), report);
        controller.run_round(monotonic_now(), set).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!(
        "the engine never had version {version}: {}",
        controller.dump()
    );
}

#[ntex::test]
async fn an_engine_is_brought_to_its_wanted_state() {
    let engine = bind_engine(OrderMode::Checks);
    let lease = Arc::new(FakeLease(Mutex::new(Some(Revision(3)))));
    let controller = open_controller(&lease);
    run_until(&controller, &engine, &records_wanting(&engine, "2"), "2").await;
    assert!(controller.counters().accepted >= 1);
    assert_eq!(controller.counters().failed, 0);
}

#[ntex::test]
async fn a_late_order_of_a_paused_holder_does_not_stand() {
    let engine = bind_engine(OrderMode::Ignores);
    let lease = Arc::new(FakeLease(Mutex::new(Some(Revision(8)))));
    let controller = open_controller(&lease);
    let set = records_wanting(&engine, "2");
    run_until(&controller, &engine, &set, "2").await;
    // The earlier holder wrote this order before it was paused, and it arrives only now.
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    let late = EngineOrder {
        fencing: 5,
        models: vec!["model".to_owned()],
        version: "1".to_owned(),
        adapters: Vec::new(),
        role: EngineRole::Full,
    };
    let sent = client.send_order(engine.address(), &late, AttemptTimeouts::default());
    assert_eq!(sent.await.unwrap(), OrderAnswer::Accepted);
    let none = Arc::new(FakeLease::default());
    run_until(&open_controller(&none), &engine, &set, "1").await;
    run_until(&controller, &engine, &set, "2").await;
}

#[ntex::test]
async fn an_engine_that_checks_refuses_the_late_order() {
    let engine = bind_engine(OrderMode::Checks);
    let lease = Arc::new(FakeLease(Mutex::new(Some(Revision(8)))));
    run_until(
        &open_controller(&lease),
        &engine,
        &records_wanting(&engine, "2"),
        "2",
    )
    .await;
    let old = Arc::new(FakeLease(Mutex::new(Some(Revision(5)))));
    let controller = open_controller(&old);
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    let set = records_wanting(&engine, "1");
    while controller.counters().old_fencing == 0 {
        let report = client.read_report(engine.address(), AttemptTimeouts::default());
        controller.on_report(
            monotonic_now(),
            BackendId::from_name("e"),
            report.await.unwrap(),
        );
        controller.run_round(monotonic_now(), &set).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(controller.counters().accepted, 0);
}

#[ntex::test]
async fn a_lease_lost_between_plan_and_send_holds_the_order_back() {
    let engine = bind_engine(OrderMode::Ignores);
    let lease = Arc::new(FakeLease(Mutex::new(Some(Revision(3)))));
    let sender = PausedSender {
        inner: open_sender(),
        lease: lease.clone(),
    };
    let controller = OrderController::open("c", limits(), lease.clone(), Arc::new(sender));
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    let set = records_wanting(&engine, "2");
    let mut planned = 0;
    while planned == 0 {
        let report = client.read_report(engine.address(), AttemptTimeouts::default());
        controller.on_report(
            monotonic_now(),
            BackendId::from_name("e"),
            report.await.unwrap(),
        );
        planned = controller.run_round(monotonic_now(), &set).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        (controller.counters().failed, controller.counters().accepted),
        (1, 0)
    );
    assert_eq!(engine.totals().orders, 0);
    assert_eq!(controller.run_round(monotonic_now(), &set).await, 0);
}
