//! Acquires and renews a lease that one process at a time holds.
//!
//! The holder is the process that wrote the lease's key; the key-value store deletes the key with
//! the lease. The fencing number is the revision of that write, so it is greater than the numbers
//! of all earlier holders, whatever the order in which their leases were granted. A candidate that
//! finds the key present checks again later; it writes only when the key is absent.
//!
//! A write is never retried blindly: if its outcome is unknown, the key is read and the random
//! nonce in its value is compared.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use oleander_base::prelude::*;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::boot_clock::boot_time;
use crate::lease_state::HeldLease;
use crate::store::{Expected, KeyValueStore, LeaseId, StoreError};

/// Maximum time to wait for the key-value store when the lease is released. After that, the lease
/// expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Configures a [`LeaseHolder`].
#[derive(Debug, Clone)]
pub struct LeaseSettings {
    /// The key that the holder of the lease writes.
    pub key: String,
    /// The name of the holder, written into the key's value for operators.
    pub holder: String,
    /// The duration of the lease without renewal.
    pub time_to_live: Duration,
    /// The clock that measures the lease: [`boot_time`], except in tests.
    pub clock: fn() -> MonoTime,
}

impl LeaseSettings {
    /// Returns settings for a key, with defaults for the other fields.
    pub fn new(key: impl Into<String>, holder: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            holder: holder.into(),
            time_to_live: Duration::from_secs(6),
            clock: boot_time,
        }
    }
}

/// Counts acquisitions and losses of a lease, and failed attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseCounters {
    /// The number of times that the lease was acquired.
    pub acquired: u64,
    /// The number of times that the lease ended without being released.
    pub lost: u64,
    /// The number of failed attempts to acquire, renew or release the lease. An attempt whose put
    /// certainly did not take effect is not counted if the lease granted for it was revoked, and
    /// neither is a release that timed out.
    pub failed: u64,
}

#[derive(Debug)]
struct HolderShared {
    settings: LeaseSettings,
    held: Mutex<Option<HeldLease>>,
    counters: Mutex<LeaseCounters>,
}

/// Selects what the holder's task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderMode {
    /// Acquire the lease when it is free, and renew it.
    Hold,
    /// Release the lease and do not acquire it.
    Idle,
    /// Release the lease and end the task.
    Stop,
}

/// Controls the task that acquires and renews a lease.
#[derive(Debug)]
pub struct LeaseHolder {
    shared: Arc<HolderShared>,
    mode: watch::Sender<HolderMode>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl LeaseHolder {
    /// Starts the task on the current runtime. It is idle until [`Self::set_candidate`] is called
    /// with true.
    ///
    /// The calls of `store` should count as [`CallClass::Lease`](crate::CallClass), so that other
    /// calls cannot use up their budget.
    pub fn spawn(store: Arc<dyn KeyValueStore>, settings: LeaseSettings) -> Self {
        let shared = Arc::new(HolderShared {
            settings,
            held: Mutex::new(None),
            counters: Mutex::new(LeaseCounters::default()),
        });
        let (mode, modes) = watch::channel(HolderMode::Idle);
        let task = HolderTask {
            store,
            shared: Arc::clone(&shared),
            modes,
        };
        let task = tokio::spawn(task.run());
        Self {
            shared,
            mode,
            task: Mutex::new(Some(task)),
        }
    }

    /// Sets whether this process is a candidate for the lease; a holder that is no longer a
    /// candidate releases it. Has no effect after [`Self::stop`].
    pub fn set_candidate(&self, is_candidate: bool) {
        let mode = if is_candidate {
            HolderMode::Hold
        } else {
            HolderMode::Idle
        };
        self.mode.send_if_modified(|current| {
            let is_new = *current != mode && *current != HolderMode::Stop;
            if is_new {
                *current = mode;
            }
            is_new
        });
    }

    /// Returns the fencing number if the lease is held now.
    ///
    /// Call this right before each use: the result is valid only at the time of the call.
    pub fn fencing(&self) -> Option<Revision> {
        let now = (self.shared.settings.clock)();
        let held = (*self.shared.held.lock())?;
        held.is_held(now).then_some(held.fencing)
    }

    /// Returns whether the lease is held at `now`, a time of the clock in the settings.
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.shared
            .held
            .lock()
            .is_some_and(|held| held.is_held(now))
    }

    /// Returns the counters of the lease.
    pub fn counters(&self) -> LeaseCounters {
        *self.shared.counters.lock()
    }

    /// Releases the lease and ends the task.
    pub async fn stop(&self) {
        self.mode.send_replace(HolderMode::Stop);
        let task = self.task.lock().take();
        if let Some(task) = task {
            // The task neither panics nor is cancelled, and it returns no value, so the result can
            // be ignored.
            let _ = task.await;
        }
    }

    /// Returns the state of the lease as readable text.
    pub fn dump(&self) -> String {
        let key = &self.shared.settings.key;
        match *self.shared.held.lock() {
            Some(held) => format!("{key}: {held}\n"),
            None => format!("{key}: not held\n"),
        }
    }
}

struct HolderTask {
    store: Arc<dyn KeyValueStore>,
    shared: Arc<HolderShared>,
    modes: watch::Receiver<HolderMode>,
}

impl HolderTask {
    async fn run(mut self) {
        loop {
            let mode = *self.modes.borrow_and_update();
            let delay = match mode {
                HolderMode::Hold => self.acquire_or_renew().await,
                HolderMode::Idle => {
                    self.release().await;
                    Duration::MAX
                }
                HolderMode::Stop => {
                    self.release().await;
                    return;
                }
            };
            tokio::select! {
                changed = self.modes.changed() => {
                    if changed.is_err() {
                        self.release().await;
                        return;
                    }
                }
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    /// Acquires or renews the lease once and returns the delay before the next attempt.
    async fn acquire_or_renew(&self) -> Duration {
        let held = *self.shared.held.lock();
        let result = match held {
            Some(held) if held.is_held(self.now()) => self.renew(held).await,
            Some(_) => {
                self.mark_lost("it was not renewed in time");
                self.acquire().await
            }
            None => self.acquire().await,
        };
        if let Err(error) = result {
            self.shared.counters.lock().failed += 1;
            return self.retry_delay(&error);
        }
        let held = *self.shared.held.lock();
        match held {
            Some(held) => held.renewal_due().since(self.now()).into(),
            None => jittered(self.shared.settings.time_to_live / 6),
        }
    }

    async fn renew(&self, mut held: HeldLease) -> Result<(), StoreError> {
        let sent = self.now();
        match self.store.renew_lease(held.lease).await {
            Ok(()) => {
                held.renew(sent);
                *self.shared.held.lock() = Some(held);
                Ok(())
            }
            Err(StoreError::LeaseLapsed) => {
                self.mark_lost("it has lapsed at the service");
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Acquires the lease if its key is absent.
    async fn acquire(&self) -> Result<(), StoreError> {
        let settings = &self.shared.settings;
        if self.store.get(&settings.key).await?.is_some() {
            return Ok(());
        }
        let sent = self.now();
        let grant = self.store.grant_lease(settings.time_to_live).await?;
        let nonce = rand::rng().random::<u128>();
        let value = Bytes::from(format!("{} {nonce:032x}", settings.holder));
        let put = self.store.put(
            &settings.key,
            Expected::Absent,
            value.clone(),
            Some(grant.lease),
        );
        let fencing = match put.await {
            Ok(revision) => Some(revision),
            Err(StoreError::Unknown { .. }) => self.resolve(&value).await?,
            Err(_) => None,
        };
        let Some(fencing) = fencing else {
            return self.store.revoke_lease(grant.lease).await;
        };
        let held = HeldLease {
            lease: grant.lease,
            fencing,
            time_to_live: grant.time_to_live.into(),
            sent,
        };
        info!("{}: acquired {held}", settings.key);
        *self.shared.held.lock() = Some(held);
        self.shared.counters.lock().acquired += 1;
        Ok(())
    }

    /// Reads the key after a write whose outcome is unknown, and returns its revision if it has the
    /// written `value`.
    async fn resolve(&self, value: &Bytes) -> Result<Option<Revision>, StoreError> {
        let entry = self.store.get(&self.shared.settings.key).await?;
        let own = entry.filter(|entry| entry.value == *value);
        Ok(own.map(|entry| entry.revision))
    }

    async fn release(&self) {
        let held = self.shared.held.lock().take();
        let Some(held) = held else { return };
        info!("{}: releasing {held}", self.shared.settings.key);
        let revoke = self.revoke(held.lease);
        // If no answer arrives in time, the lease expires by itself.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, revoke).await;
    }

    async fn revoke(&self, lease: LeaseId) {
        if self.store.revoke_lease(lease).await.is_err() {
            self.shared.counters.lock().failed += 1;
        }
    }

    fn mark_lost(&self, reason: &str) {
        *self.shared.held.lock() = None;
        self.shared.counters.lock().lost += 1;
        info!("{}: lost the lease: {reason}", self.shared.settings.key);
    }

    fn retry_delay(&self, error: &StoreError) -> Duration {
        let usual = self.shared.settings.time_to_live / 12;
        match error {
            StoreError::OverBudget { retry_after } => jittered(usual.max(*retry_after)),
            _ => jittered(usual),
        }
    }

    fn now(&self) -> MonoTime {
        (self.shared.settings.clock)()
    }
}

/// Returns a random duration from half of `usual` to one and a half times `usual`, so that
/// candidates do not retry at the same time.
fn jittered(usual: Duration) -> Duration {
    usual.mul_f64(rand::rng().random_range(0.5..1.5))
}
