//! Provides helpers that the tests of this package share.

#![allow(dead_code)]

use std::future::Future;
use std::time::Duration;

use oleander_platform::{BudgetLimits, ClientSettings, PlatformClient};
use oleander_standin::{PlatformSettings, PlatformStandIn};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks after which the test fails.
const MAX_POLLS: usize = 6_000;

pub(crate) fn bind_standin() -> PlatformStandIn {
    PlatformStandIn::bind(PlatformSettings::default()).unwrap()
}

pub(crate) fn open_client(standin: &PlatformStandIn) -> PlatformClient {
    let mut settings = ClientSettings::new(standin.address());
    settings.limits = BudgetLimits {
        reads_per_second: 1_000.0,
        writes_per_second: 1_000.0,
    };
    PlatformClient::open(settings).unwrap()
}

pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(future)
}

pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the condition was still false after the last check");
}
