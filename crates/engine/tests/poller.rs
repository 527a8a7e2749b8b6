//! Tests that the poller reads exactly the engines of its current set.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_engine::{
    ClientSettings, EngineClient, EngineUpdate, PollTarget, PollerSettings, ReportPoller,
};
use oleander_standin::{EngineFault, EngineSettings, EngineStandIn};

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct UpdateCounts {
    reports: u32,
    failures: u32,
    leaving: bool,
}

type UpdateLog = Rc<RefCell<FastMap<BackendId, UpdateCounts>>>;

fn bind() -> EngineStandIn {
    EngineStandIn::bind(EngineSettings {
        report_interval_ms: 5,
        report_lag_ms: 5,
        ..EngineSettings::default()
    })
    .unwrap()
}

fn target(number: u32, engine: &EngineStandIn) -> PollTarget {
    PollTarget {
        backend: BackendId(number),
        address: engine.address(),
    }
}

async fn open_poller(log: &UpdateLog) -> ReportPoller {
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    let settings = PollerSettings {
        interval: Duration::from_millis(10),
        ..PollerSettings::default()
    };
    let log = log.clone();
    ReportPoller::open(client, settings, move |backend, update| {
        let mut log = log.borrow_mut();
        let count = log.entry(backend).or_default();
        match update {
            EngineUpdate::Report(report) => {
                count.reports += 1;
                count.leaving = report.leaving;
            }
            EngineUpdate::Failed(_) => count.failures += 1,
            EngineUpdate::Cache(_) => {}
        }
    })
}

async fn wait_until(log: &UpdateLog, condition: impl Fn(UpdateCounts, UpdateCounts) -> bool) {
    for _ in 0..2_000 {
        let count = |number| {
            let log = log.borrow();
            log.get(&BackendId(number)).copied().unwrap_or_default()
        };
        if condition(count(1), count(2)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the expected updates did not arrive: {:?}", log.borrow());
}

#[ntex::test]
async fn each_engine_is_polled_independently() {
    let (first, second) = (bind(), bind());
    let log = UpdateLog::default();
    let poller = open_poller(&log).await;
    poller.set_targets(&[target(1, &first), target(2, &second)]);
    wait_until(&log, |first, second| {
        first.reports > 2 && second.reports > 2
    })
    .await;

    first.fault(EngineFault::Crash { for_ms: None }).unwrap();
    second.fault(EngineFault::Leaving { on: true }).unwrap();
    wait_until(&log, |first, second| first.failures > 2 && second.leaving).await;

    first.fault(EngineFault::Restore).unwrap();
    let before = log.borrow()[&BackendId(1)].reports;
    wait_until(&log, |first, _| first.reports > before).await;

    poller.set_targets(&[target(2, &second)]);
    assert_eq!(poller.target_count(), 1);
    let stopped = log.borrow()[&BackendId(1)];
    let before = log.borrow()[&BackendId(2)].reports;
    wait_until(&log, |_, second| second.reports > before + 5).await;
    assert_eq!(log.borrow()[&BackendId(1)], stopped);
}
