//! Reads load reports and prefix-cache events of a set of engines at an interval.
//!
//! Which entry VM reads which engine is decided elsewhere; the poller only follows the set that it
//! is given. Each engine has a task of its own, so that one that does not answer delays no other,
//! and the tasks start spread over one interval.

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

/// How often, and for how long, engines are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollerSettings {
    /// The time between two questions to one engine.
    pub interval: Duration,
    /// How long an engine has for its answer.
    pub timeout: Duration,
    /// Whether cache events are read too.
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

/// An engine that is to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PollTarget {
    /// The engine.
    pub backend: BackendId,
    /// Its address.
    pub address: SocketAddr,
}

/// New prefix-cache events of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheUpdate {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// The number of the last one.
    pub last_number: u64,
    /// How many events are missing between them.
    pub missed: u64,
}

/// What the poller tells.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineUpdate {
    /// A load report.
    Report(LoadReport),
    /// Prefix-cache events.
    Cache(CacheUpdate),
    /// The engine did not answer as it should.
    Failed(EngineError),
}

type UpdateCallback = Rc<dyn Fn(BackendId, EngineUpdate)>;
type PollTasks = FastMap<PollTarget, JoinHandle<()>>;

/// A running poller of one ntex thread; dropping it ends its tasks.
pub struct ReportPoller {
    client: EngineClient,
    settings: PollerSettings,
    callback: UpdateCallback,
    tasks: RefCell<PollTasks>,
}

impl ReportPoller {
    /// Returns a poller without engines; `callback` is called on this thread.
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

    /// Asks exactly these engines from now on.
    pub fn set_targets(&self, targets: &[PollTarget]) {
        let wanted: FastSet<PollTarget> = targets.iter().copied().collect();
        let mut tasks = self.tasks.borrow_mut();
        let removed: Vec<_> = tasks
            .keys()
            .filter(|target| !wanted.contains(target))
            .copied()
            .collect();
        for target in removed {
            if let Some(task) = tasks.remove(&target) {
                task.cancel();
            }
        }
        let count = wanted.len().max(1) as u32;
        for (position, target) in targets.iter().enumerate() {
            if tasks.contains_key(target) {
                continue;
            }
            let delay = self.settings.interval * position as u32 / count;
            tasks.insert(*target, self.spawn(*target, delay));
        }
    }

    /// Returns the number of engines that are asked.
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
