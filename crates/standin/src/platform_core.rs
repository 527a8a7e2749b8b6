//! The state that the handlers of the platform's stand-in share.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use oleander_base::prelude::*;
use oleander_platform::TokenBucket;
use oleander_platform::wire::{WatchAnswer, WatchBody, WireError, WireVm};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::platform::PlatformSettings;
use crate::platform_faults::{FaultPlan, FaultState, PlatformCounters};
use crate::platform_state::StoreState;

#[derive(Debug)]
struct RateState {
    reads: TokenBucket,
    writes: TokenBucket,
}

/// A version of the VM list and the time when it was set.
#[derive(Debug)]
struct VmVersion {
    set_at: MonoTime,
    vms: Vec<WireVm>,
}

/// The shared state of all handlers. Each part has its own lock.
#[derive(Debug)]
pub(crate) struct PlatformCore {
    settings: PlatformSettings,
    started_at: Instant,
    state: Mutex<StoreState>,
    faults: Mutex<FaultState>,
    rates: Mutex<RateState>,
    counters: Mutex<PlatformCounters>,
    vms: Mutex<VecDeque<VmVersion>>,
    change_count: watch::Sender<u64>,
    watches_open: watch::Sender<bool>,
}

impl PlatformCore {
    pub(crate) fn new(settings: PlatformSettings) -> Self {
        let state = StoreState::new(
            settings.history_limit,
            settings.value_limit,
            settings.page_entries,
        );
        let rates = RateState {
            reads: one_second_bucket(settings.reads_per_second),
            writes: one_second_bucket(settings.writes_per_second),
        };
        Self {
            settings,
            started_at: Instant::now(),
            state: Mutex::new(state),
            faults: Mutex::new(FaultState::new(FaultPlan::default())),
            rates: Mutex::new(rates),
            counters: Mutex::new(PlatformCounters::default()),
            vms: Mutex::new(VecDeque::new()),
            change_count: watch::channel(0).0,
            watches_open: watch::channel(true).0,
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        MonoTime(Span::from(self.started_at.elapsed()).0)
    }

    pub(crate) fn set_faults(&self, plan: FaultPlan) {
        *self.faults.lock() = FaultState::new(plan);
    }

    pub(crate) fn faults(&self) -> FaultPlan {
        self.faults.lock().plan.clone()
    }

    pub(crate) fn should_drop_answer(&self, write: &[u8]) -> bool {
        self.faults.lock().should_drop_answer(write)
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        self.counters.lock().clone()
    }

    pub(crate) fn count(&self, update: impl FnOnce(&mut PlatformCounters)) {
        update(&mut self.counters.lock());
    }

    pub(crate) fn compact(&self) {
        self.state.lock().compact();
        self.notify_watches();
    }

    pub(crate) fn revision(&self) -> Revision {
        self.state.lock().revision()
    }

    pub(crate) fn dump(&self) -> String {
        self.state.lock().dump()
    }

    /// Ends every waiting watch, so that the server can stop.
    pub(crate) fn close_watches(&self) {
        self.watches_open.send_replace(false);
    }

    pub(crate) fn open_watches(&self) {
        self.watches_open.send_replace(true);
    }

    /// Takes a token from the bucket of reads or of writes.
    pub(crate) fn take_rate_token(&self, is_write: bool) -> Result<(), WireError> {
        let now = self.now();
        let mut rates = self.rates.lock();
        let bucket = if is_write {
            &mut rates.writes
        } else {
            &mut rates.reads
        };
        bucket
            .take(now, 0.0)
            .map_err(|retry_after| WireError::RateLimited {
                retry_after_ms: retry_after.as_millis() as u64 + 1,
            })
    }

    /// Expires leases, runs `call` on the data, and wakes the watches if the revision has changed.
    pub(crate) fn with_state<T>(&self, call: impl FnOnce(&mut StoreState, MonoTime) -> T) -> T {
        let now = self.now();
        let mut state = self.state.lock();
        let before = state.revision();
        state.expire(now);
        let result = call(&mut state, now);
        let is_changed = state.revision() != before;
        drop(state);
        if is_changed {
            self.notify_watches();
        }
        result
    }

    /// Waits for changes that match the watch, at most for its `wait_ms`. The answer has no events
    /// if none came in time or the watches were closed.
    pub(crate) async fn wait_for_changes(
        &self,
        body: &WatchBody,
    ) -> Result<WatchAnswer, WireError> {
        let mut changed = self.change_count.subscribe();
        let mut open = self.watches_open.subscribe();
        let deadline = tokio::time::sleep(Duration::from_millis(body.wait_ms));
        tokio::pin!(deadline);
        loop {
            changed.borrow_and_update();
            let found = self.with_state(|state, _| {
                let found = state.changes(&body.prefix, body.after);
                found.map(|answer| (answer, state.revision()))
            });
            let (answer, revision) = found?;
            if let Some(answer) = answer {
                return Ok(answer);
            }
            let is_over = tokio::select! {
                result = changed.changed() => result.is_err(),
                () = &mut deadline => true,
                _ = open.wait_for(|open| !open) => true,
            };
            if is_over {
                return Ok(WatchAnswer {
                    events: Vec::new(),
                    revision: revision.max(body.after),
                });
            }
        }
    }

    pub(crate) fn set_vms(&self, vms: Vec<WireVm>) {
        let set_at = self.now();
        self.vms.lock().push_back(VmVersion { set_at, vms });
    }

    /// Returns the newest VM list that has reached the lag, or an empty one if none has.
    pub(crate) fn visible_vms(&self) -> Vec<WireVm> {
        let now = self.now();
        let lag = Span::from(self.settings.vm_lag);
        let mut versions = self.vms.lock();
        while versions
            .get(1)
            .is_some_and(|next| now.since(next.set_at) >= lag)
        {
            versions.pop_front();
        }
        match versions.front() {
            Some(version) if now.since(version.set_at) >= lag => version.vms.clone(),
            _ => Vec::new(),
        }
    }

    fn notify_watches(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }
}

/// Returns a full token bucket with the burst of one second at `rate` (at least one token).
fn one_second_bucket(rate: f64) -> TokenBucket {
    TokenBucket::full(rate, rate.max(1.0))
}
