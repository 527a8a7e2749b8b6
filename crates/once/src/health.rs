//! The availability of the key-value store, as seen by this instance.
//!
//! A call that times out, or an error that fails a group of claims, marks the store as
//! unavailable. From then on claims are refused at once, and one task reads a key at growing
//! intervals until the store answers, so that no claim has to wait as a probe.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use oleander_platform::KeyValueStore;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// The maximum number of times that the probe interval is doubled.
const PROBE_DOUBLINGS: u32 = 3;

/// Tracks whether the key-value store is available.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    is_unavailable: AtomicBool,
    became_unavailable: Notify,
}

/// Holds the key that a probe reads, the interval between probes and the timeout of one.
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

    /// Marks the store as unavailable and returns whether it was available before.
    pub(crate) fn mark_unavailable(&self) -> bool {
        let has_changed = !self.is_unavailable.swap(true, Ordering::AcqRel);
        if has_changed {
            self.became_unavailable.notify_one();
        }
        has_changed
    }

    /// Marks the store as available and returns whether it was unavailable before.
    pub(crate) fn mark_available(&self) -> bool {
        self.is_unavailable.swap(false, Ordering::AcqRel)
    }
}

/// Probes the store whenever it is unavailable; runs until it is aborted.
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
