//! Reads the records from the key-value store for a data centre.
//!
//! While reading is enabled, the task watches for changes after the revision that the replica has
//! reached. If the store no longer keeps the changes after that revision, the task lists all
//! records again. After a failure it waits for a delay that doubles with each failure, with jitter,
//! so that readers do not all return to the store at the same time.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use oleander_base::prelude::*;
use oleander_records::{ApplyOutcome, RECORD_PREFIX, RecordDelivery, RecordReplica};
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::store::{KeyValueStore, StoreEntry, StoreError, WatchBatch};

/// Reports the result of a listing or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReaderEvent {
    /// All records, as of the revision of the first page.
    Listing {
        /// The revision of the first page.
        revision: Revision,
        /// The entries of all pages.
        entries: Vec<StoreEntry>,
    },
    /// The changes since the last event. An empty batch shows that the store was reached.
    Batch(WatchBatch),
    /// A call to the store failed.
    Failed(StoreError),
}

impl ReaderEvent {
    /// Applies the event to a replica and returns how many records changed.
    pub fn apply_to(&self, replica: &mut RecordReplica) -> usize {
        match self {
            Self::Listing { revision, entries } => apply_listing(replica, *revision, entries),
            Self::Batch(batch) => apply_batch(replica, batch),
            Self::Failed(_) => 0,
        }
    }
}

/// Receives each event of a reader.
pub type ReaderSink = Arc<dyn Fn(ReaderEvent) + Send + Sync>;

/// Configures a [`RecordReader`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// The maximum wait of a watch. The other instances expect to be notified of a contact with the
    /// store at least this often.
    pub wait: Duration,
    /// The delay after the first failure, before jitter; it doubles with each further failure.
    pub first_delay: Duration,
    /// The maximum delay after a failure, unless the store asks for a longer one.
    pub max_delay: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            first_delay: Duration::from_millis(100),
            max_delay: Duration::from_secs(2),
        }
    }
}

/// Counts the calls of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReaderCounters {
    /// The number of complete listings.
    pub listings: u64,
    /// The number of watches that returned a batch.
    pub watches: u64,
    /// The number of listings and watches that failed, apart from those counted in `compacted`.
    pub failed: u64,
    /// The number of watches from a revision after which the store no longer kept all changes.
    pub compacted: u64,
}

/// Selects what the reader's task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderMode {
    Idle,
    /// Watch for changes after a revision, or list first if it is zero.
    Read(Revision),
}

/// Controls the task that reads records; dropping it ends the task.
#[derive(Debug)]
pub struct RecordReader {
    mode: watch::Sender<ReaderMode>,
    counters: Arc<Mutex<ReaderCounters>>,
    task: JoinHandle<()>,
}

impl RecordReader {
    /// Starts the task on the current runtime. It is idle until [`Self::start`] is called.
    pub fn spawn(
        store: Arc<dyn KeyValueStore>,
        settings: ReaderSettings,
        sink: ReaderSink,
    ) -> Self {
        let (mode, modes) = watch::channel(ReaderMode::Idle);
        let counters = Arc::new(Mutex::new(ReaderCounters::default()));
        let task = ReaderTask {
            store,
            settings,
            sink,
            counters: Arc::clone(&counters),
        };
        let task = tokio::spawn(task.run(modes));
        Self {
            mode,
            counters,
            task,
        }
    }

    /// Starts to read changes after `revision`, which the replica has reached; if it is zero, all
    /// records are listed first. Has no effect while the reader is reading.
    pub fn start(&self, revision: Revision) {
        self.mode.send_if_modified(|mode| {
            let is_new = *mode == ReaderMode::Idle;
            if is_new {
                *mode = ReaderMode::Read(revision);
            }
            is_new
        });
    }

    /// Lists all records again, for a replica that is not in the expected state. Has no effect
    /// unless the reader is reading.
    pub fn relist(&self) {
        self.mode.send_if_modified(|mode| {
            let is_reading = *mode != ReaderMode::Idle;
            if is_reading {
                *mode = ReaderMode::Read(Revision::default());
            }
            is_reading
        });
    }

    /// Stops reading and cancels a waiting watch. [`Self::start`] starts it again.
    pub fn stop(&self) {
        self.mode.send_replace(ReaderMode::Idle);
    }

    /// Returns whether reading is enabled.
    pub fn is_reading(&self) -> bool {
        *self.mode.borrow() != ReaderMode::Idle
    }

    /// Returns the counters of the reader.
    pub fn counters(&self) -> ReaderCounters {
        *self.counters.lock()
    }
}

impl Drop for RecordReader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct ReaderTask {
    store: Arc<dyn KeyValueStore>,
    settings: ReaderSettings,
    sink: ReaderSink,
    counters: Arc<Mutex<ReaderCounters>>,
}

impl ReaderTask {
    async fn run(self, mut modes: watch::Receiver<ReaderMode>) {
        loop {
            let mode = *modes.borrow_and_update();
            let ReaderMode::Read(position) = mode else {
                if modes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                () = self.read(position) => {}
                changed = modes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Reads until the future is dropped, and waits after each failure except a compacted history,
    /// which is followed by a listing at once.
    async fn read(&self, position: Revision) {
        info!("reading the records from revision {position}");
        let mut position = Some(position).filter(|position| *position > Revision::default());
        let mut failures = 0;
        loop {
            let result = match position {
                Some(position) => self.watch(position).await,
                None => self.list().await,
            };
            match result {
                Ok(revision) => {
                    position = Some(revision);
                    failures = 0;
                }
                Err(StoreError::Compacted { .. }) => {
                    self.counters.lock().compacted += 1;
                    position = None;
                }
                Err(error) => {
                    let delay = self.retry_delay(failures, &error);
                    failures += 1;
                    self.counters.lock().failed += 1;
                    (self.sink)(ReaderEvent::Failed(error));
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    async fn watch(&self, position: Revision) -> Result<Revision, StoreError> {
        let watch = self
            .store
            .watch(RECORD_PREFIX, position, self.settings.wait);
        let batch = watch.await?;
        let revision = batch.revision;
        self.counters.lock().watches += 1;
        (self.sink)(ReaderEvent::Batch(batch));
        Ok(revision.max(position))
    }

    async fn list(&self) -> Result<Revision, StoreError> {
        let mut page = self.store.list(RECORD_PREFIX, None).await?;
        let revision = page.revision;
        let mut entries = page.entries;
        while page.more {
            let after = entries.last().map(|entry| entry.key.clone());
            page = self.store.list(RECORD_PREFIX, after.as_deref()).await?;
            entries.append(&mut page.entries);
        }
        self.counters.lock().listings += 1;
        (self.sink)(ReaderEvent::Listing { revision, entries });
        Ok(revision)
    }

    fn retry_delay(&self, failures: u32, error: &StoreError) -> Duration {
        let settings = &self.settings;
        let grown = settings.first_delay * 2_u32.saturating_pow(failures.min(16));
        let mut delay = grown.min(settings.max_delay);
        if let StoreError::OverBudget { retry_after } = error {
            delay = delay.max(*retry_after);
        }
        delay.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

fn apply_listing(replica: &mut RecordReplica, revision: Revision, entries: &[StoreEntry]) -> usize {
    let mut listed = FastSet::default();
    let mut changed = 0;
    for entry in entries {
        let delivery = RecordDelivery {
            key: &entry.key,
            revision: entry.revision,
            text: Some(&entry.value),
        };
        changed += usize::from(is_change(&replica.apply_listed(&delivery, revision)));
        listed.insert(entry.key.clone());
    }
    let before = replica.len();
    replica.finish_listing(revision, &listed);
    changed + (before - replica.len())
}

fn apply_batch(replica: &mut RecordReplica, batch: &WatchBatch) -> usize {
    let mut changed = 0;
    for event in &batch.events {
        let delivery = RecordDelivery {
            key: &event.key,
            revision: event.revision,
            text: event.value.as_deref(),
        };
        changed += usize::from(is_change(&replica.apply(&delivery)));
    }
    replica.advance(batch.revision);
    changed
}

fn is_change(applied: &ApplyOutcome) -> bool {
    matches!(applied, ApplyOutcome::Changed | ApplyOutcome::Invalid(_))
}
