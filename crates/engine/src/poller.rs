//! Periodic reading of load reports and prefix-cache events from a set of engines.
//!
//! Which entry VM reads which engine is decided elsewhere; the poller reads the engines of the
//! set that it is given. Each engine has its own task, so that an engine that does not answer
//! delays no other, and the starts of the tasks are spread over one interval.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::rt::JoinHandle;
use oleander_attempt::AttemptTimeouts;
use oleander_base::prelude::*;
use oleander_base::{CacheEvent, LoadReport};

use crate::client::EngineClient;
use crate::error::EngineError;

/// The settings of a [`ReportPoller`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollerSettings {
    /// The pause between two polls of one engine, from the end of one to the start of the next.
    pub interval: Duration,
    /// The time limit of each phase of a call to an engine.
    pub timeout: Duration,
    /// Whether prefix-cache events are read as well as load reports.
    pub cache_events: bool,
}

impl Default for PollerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            cache_events: true,
        }
    }
}

/// An engine that is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PollTarget {
    /// The engine's backend id.
    pub backend: BackendId,
    /// The engine's address.
    pub address: SocketAddr,
}

/// The prefix-cache events of an engine since the last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdate {
    /// The events in the order of their numbers.
    pub events: Vec<CacheEvent>,
    /// The number of the last event.
    pub last_number: u64,
    /// The number of events that are missing, by the gaps in the events' numbers.
    pub missed: u64,
}

/// An update that the poller passes to its callback.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineUpdate {
    /// A load report was read.
    Report(LoadReport),
    /// New prefix-cache events were read.
    Cache(CacheUpdate),
    /// A call to the engine failed.
    Failed(EngineError),
}

type UpdateCallback = Rc<dyn Fn(BackendId, EngineUpdate)>;
type PollTasks = FastMap<PollTarget, JoinHandle<()>>;

/// Polls a set of engines on one ntex thread; dropping the poller cancels its tasks.
pub struct ReportPoller {
    client: EngineClient,
    settings: PollerSettings,
    callback: UpdateCallback,
    tasks: RefCell<PollTasks>,
}

impl ReportPoller {
    /// Creates a poller without engines; `callback` is called on this thread.
    pub fn open(
        client: EngineClient,
        settings: PollerSettings,
        callback: impl Fn(BackendId, EngineUpdate) + 'static,
    ) -> Self {
        Self {
            client,
            settings,
            callback: Rc::new(callback),
            tasks: RefCell::default(),
        }
    }

    /// Replaces the set of engines that are polled.
    pub fn set_targets(&self, targets: &[PollTarget]) {
        let new_targets: FastSet<PollTarget> = targets.iter().copied().collect();
        let mut tasks = self.tasks.borrow_mut();
        let removed: Vec<_> = tasks
            .keys()
            .filter(|target| !new_targets.contains(target))
            .copied()
            .collect();
        for target in removed {
            if let Some(task) = tasks.remove(&target) {
                task.cancel();
            }
        }
        let count = new_targets.len().max(1) as u32;
        for (position, target) in targets.iter().enumerate() {
            if tasks.contains_key(target) {
                continue;
            }
            let delay = self.settings.interval * position as u32 / count;
            tasks.insert(*target, self.spawn(*target, delay));
        }
    }

    /// Returns the number of engines that are polled.
    pub fn target_count(&self) -> usize {
        self.tasks.borrow().len()
    }

    fn spawn(&self, target: PollTarget, delay: Duration) -> JoinHandle<()> {
        let task = PollTask {
            client: self.client.clone(),
            settings: self.settings,
            callback: self.callback.clone(),
            target,
            last_number: 0,
        };
        ntex::rt::spawn(task.run(delay))
    }
}

impl Drop for ReportPoller {
    fn drop(&mut self) {
        for (_, task) in self.tasks.get_mut().drain() {
            task.cancel();
        }
    }
}

impl fmt::Debug for ReportPoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReportPoller")
            .field("settings", &self.settings)
            .field("targets", &self.target_count())
            .finish_non_exhaustive()
    }
}

struct PollTask {
    client: EngineClient,
    settings: PollerSettings,
    callback: UpdateCallback,
    target: PollTarget,
    last_number: u64,
}

impl PollTask {
    async fn run(mut self, delay: Duration) {
        tokio::time::sleep(delay).await;
        loop {
            self.poll().await;
            tokio::time::sleep(self.settings.interval).await;
        }
    }

    async fn poll(&mut self) {
        let timeouts = AttemptTimeouts {
            connect: self.settings.timeout,
            first_byte: self.settings.timeout,
            idle: self.settings.timeout,
        };
        let address = self.target.address;
        match self.client.read_report(address, timeouts).await {
            Ok(report) => self.notify(EngineUpdate::Report(report)),
            Err(error) => {
                self.notify(EngineUpdate::Failed(error));
                return;
            }
        }
        if !self.settings.cache_events {
            return;
        }
        let cache_events_read = self
            .client
            .read_cache_events(address, self.last_number, timeouts);
        match cache_events_read.await {
            Ok(update) if update.events.is_empty() => {}
            Ok(update) => {
                self.last_number = update.last_number;
                self.notify(EngineUpdate::Cache(update));
            }
            Err(error) => self.notify(EngineUpdate::Failed(error)),
        }
    }

    fn notify(&self, update: EngineUpdate) {
        (self.callback)(self.target.backend, update);
    }
}
