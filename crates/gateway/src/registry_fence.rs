//! Confirms that this gateway knows all software versions that were in the registry until a moment.
//!
//! The view of the registry follows the key-value store at an interval, and is older while the store or another gateway
//! cannot be reached, or after this process stood still. That a service has a single version may only be inferred from it
//! once it is known to be complete up to the moment in question: an answer of the store that was asked for later shows
//! all changes until then. It comes with the view, or by a call that this task makes at once when a stream waits for it
//! (docs/PLATFORM.md, "Software versions"). The versions in the changes are noted one by one, so that one that has left
//! again is known too.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::GatewayCore;
use crate::prelude::*;
use crate::store_client::{StoreClient, StoreError, StorePurpose};

/// The timeout of one call.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// The pause after each call, so that streams that come together share one.
const CALL_INTERVAL: Span = Span::from_millis(100);

/// The time between two looks whether the view has been completed otherwise.
const CHECK_INTERVAL: Span = Span::from_millis(50);

#[derive(Debug, Serialize)]
struct FailedFields {
    reason: String,
}

/// The moment up to which all registered versions are known, and the streams that wait for a later one.
#[derive(Debug, Default)]
pub(crate) struct RegistryFence {
    /// The moment up to which a call has shown all changes.
    passed_at: Cell<Option<MonoTime>>,
    /// The latest moment that a stream waits for.
    wanted_at: Cell<MonoTime>,
    /// When no stream waits any longer.
    wanted_until: Cell<MonoTime>,
    wanted: Notify,
    passed: Notify,
}

impl RegistryFence {
    /// Waits until all versions that were in the registry until a moment are known, for as long as `limit`. Returns
    /// whether they are.
    pub(crate) async fn pass(&self, core: &GatewayCore, moment: MonoTime, limit: Span) -> bool {
        let until = monotonic_now() + limit;
        loop {
            if self.is_passed(core, moment) {
                return true;
            }
            let left = until.since(monotonic_now());
            if left == Span::ZERO {
                return false;
            }
            self.request(moment, until);
            let passed = self.passed.notified();
            // Both ends of the wait are followed by the same.
            let _ = timeout(Duration::from(left.min(CHECK_INTERVAL)), passed).await;
        }
    }

    fn request(&self, moment: MonoTime, until: MonoTime) {
        self.wanted_at.set(self.wanted_at.get().max(moment));
        self.wanted_until.set(self.wanted_until.get().max(until));
        self.wanted.notify_one();
    }

    fn is_passed(&self, core: &GatewayCore, moment: MonoTime) -> bool {
        let complete_at = core.view.borrow().complete_at;
        self.passed_at.get().max(complete_at) >= Some(moment)
    }

    /// Returns whether a stream still waits.
    fn is_wanted(&self, core: &GatewayCore) -> bool {
        monotonic_now() < self.wanted_until.get() && !self.is_passed(core, self.wanted_at.get())
    }
}

/// Reads the registry's changes whenever a stream waits for them, for as long as the process runs.
pub(crate) async fn run_registry_fence(core: Rc<GatewayCore>) {
    let mut client = StoreClient::open(Rc::clone(&core));
    loop {
        core.registry_fence.wanted.notified().await;
        while core.registry_fence.is_wanted(&core) {
            if let Err(error) = read_changes(&core, &mut client).await {
                let reason = error.to_string();
                core.log
                    .change("registry-not-confirmed", FailedFields { reason });
            }
            sleep(Duration::from(CALL_INTERVAL)).await;
        }
        // Such streams are rare, so no connection is kept for the next one.
        client.close();
    }
}

/// Notes the versions in all changes of the registry up to now, unless the view has to be listed first.
async fn read_changes(core: &GatewayCore, client: &mut StoreClient) -> Result<(), StoreError> {
    let known = core.view.borrow().version;
    if known == StoreVersion::default() || known.era < core.store_era() {
        // The listing that the view waits for confirms it.
        return Ok(());
    }
    let request = core.port.watch_request(known.revision, Span::ZERO);
    let asked_at = monotonic_now();
    let call = client.call(StorePurpose::Fence, &request, CALL_TIMEOUT);
    let reply = call.await?;
    if reply.era != known.era {
        return Err(StoreError::EraChanged);
    }
    let changes = core.port.decode_changes(&reply.body);
    let changes = changes.map_err(|error| StoreError::Answer(error.to_string()))?;
    core.origins.observe_changes(core, &changes.items);
    let fence = &core.registry_fence;
    fence.passed_at.set(Some(asked_at));
    fence.passed.notify_waiters();
    Ok(())
}
