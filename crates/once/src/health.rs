//! Whether the key-value service answers, as this instance sees it.
//!
//! One failed call marks the service as away. From then on claims are refused at once, and one
//! task reads a key at growing intervals until the service answers; no claim waits as a probe.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use oleander_platform::KeyValueStore;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// How often the probe interval is doubled at most.
const PROBE_DOUBLINGS: u32 = 3;

/// The state of the key-value service.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    is_unavailable: AtomicBool,
    became_unavailable: Notify,
}

/// What a probe reads, and how patiently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProbePlan {
    pub(crate) key: &'static str,
    pub(crate) interval: Duration,
    pub(crate) limit: Duration,
}

impl StoreHealth {
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_unavailable.load(Ordering::Acquire)
    }

    /// Marks the service as away; returns whether that is news.
    pub(crate) fn mark_unavailable(&self) -> bool {
        let has_changed = !self.is_unavailable.swap(true, Ordering::AcqRel);
        if has_changed {
            self.became_unavailable.notify_one();
        }
        has_changed
    }

    /// Marks the service as answering; returns whether that is news.
    pub(crate) fn mark_available(&self) -> bool {
        self.is_unavailable.swap(false, Ordering::AcqRel)
    }
}

/// Probes the service whenever it is away; runs until it is aborted.
pub(crate) async fn probe_store(
    health: Arc<StoreHealth>,
    store: Arc<dyn KeyValueStore>,
    plan: ProbePlan,
) {
    let mut doublings = 0;
    loop {
        if !health.is_unavailable() {
            doublings = 0;
            health.became_unavailable.notified().await;
            continue;
        }
        sleep(plan.interval * 2_u32.pow(doublings)).await;
        let answer = timeout(plan.limit, store.get(plan.key)).await;
        if matches!(answer, Ok(Ok(_))) && health.mark_available() {
            log::info!("claims: the key-value service answers again");
        }
        doublings = (doublings + 1).min(PROBE_DOUBLINGS);
    }
}
