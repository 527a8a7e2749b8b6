//! Reading the records from the store for a data centre.
//!
//! While it is told to read, the task watches from the revision that the board is informed of. A
//! watch that lost its place lists again. Failures are followed by a pause that doubles, with
//! jitter, so that readers do not come back to a store all at once.

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

/// What a reader learnt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReaderEvent {
    /// Every record, as of the revision of the first page.
    Listing {
        /// The revision of the first page.
        revision: Revision,
        /// The entries of all pages.
        entries: Vec<StoreEntry>,
    },
    /// The changes since the last event; none if there were none, which is news as well.
    Batch(WatchBatch),
    /// The store did not answer.
    Failed(StoreError),
}

impl ReaderEvent {
    /// Takes the event in, and returns how many records changed.
    pub fn apply_to(&self, board: &mut RecordReplica) -> usize {
        match self {
            Self::Listing { revision, entries } => apply_listing(board, *revision, entries),
            Self::Batch(batch) => apply_batch(board, batch),
            Self::Failed(_) => 0,
        }
    }
}

/// What a reader calls with each event.
pub type ReaderSink = Arc<dyn Fn(ReaderEvent) + Send + Sync>;

/// How a reader reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// How long a watch waits; the others expect to hear of a contact at least this often.
    pub wait: Duration,
    /// The pause after a first failure.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(2),
        }
    }
}

/// What a reader has done so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReaderCounters {
    /// Whole listings.
    pub listings: u64,
    /// Watches that returned.
    pub watches: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Watches that had lost their place.
    pub lost_places: u64,
}

/// What the task is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderWish {
    Rest,
    /// Watch from a revision, or list first if it is zero.
    Read(Revision),
}

/// A handle on the task that reads; dropping it ends the task.
#[derive(Debug)]
pub struct RecordReader {
    wish: watch::Sender<ReaderWish>,
    counters: Arc<Mutex<ReaderCounters>>,
    task: JoinHandle<()>,
}

impl RecordReader {
    /// Starts the task on the present runtime; it rests until it is told to read.
    pub fn spawn(
        store: Arc<dyn KeyValueStore>,
        settings: ReaderSettings,
        sink: ReaderSink,
    ) -> Self {
        let (wish, wishes) = watch::channel(ReaderWish::Rest);
        let counters = Arc::new(Mutex::new(ReaderCounters::default()));
        let task = ReaderTask {
            store,
            settings,
            sink,
            counters: Arc::clone(&counters),
        };
        let task = tokio::spawn(task.run(wishes));
        Self {
            wish,
            counters,
            task,
        }
    }

    /// Begins to read after the revision that the board is informed of; zero lists first.
    pub fn start(&self, informed: Revision) {
        self.wish.send_if_modified(|wish| {
            let is_new = *wish == ReaderWish::Rest;
            if is_new {
                *wish = ReaderWish::Read(informed);
            }
            is_new
        });
    }

    /// Lists again, because the board is not what it should be.
    pub fn list_again(&self) {
        self.wish.send_if_modified(|wish| {
            let is_reading = *wish != ReaderWish::Rest;
            if is_reading {
                *wish = ReaderWish::Read(Revision::default());
            }
            is_reading
        });
    }

    /// Ends reading and gives up a waiting watch.
    pub fn rest(&self) {
        self.wish.send_replace(ReaderWish::Rest);
    }

    /// Returns whether the reader was told to read.
    pub fn is_reading(&self) -> bool {
        *self.wish.borrow() != ReaderWish::Rest
    }

    /// Returns what the reader has done so far.
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
    async fn run(self, mut wishes: watch::Receiver<ReaderWish>) {
        loop {
            let wish = *wishes.borrow_and_update();
            let ReaderWish::Read(place) = wish else {
                if wishes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                () = self.read(place) => {}
                changed = wishes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Reads until the future is dropped.
    async fn read(&self, place: Revision) {
        info!("reading the records from revision {place}");
        let mut place = Some(place).filter(|place| *place > Revision::default());
        let mut failures = 0;
        loop {
            let result = match place {
                Some(place) => self.watch(place).await,
                None => self.list().await,
            };
            match result {
                Ok(revision) => {
                    place = Some(revision);
                    failures = 0;
                }
                Err(StoreError::Compacted { .. }) => {
                    self.counters.lock().lost_places += 1;
                    place = None;
                }
                Err(error) => {
                    let pause = self.pause(failures, &error);
                    failures += 1;
                    self.counters.lock().failed += 1;
                    (self.sink)(ReaderEvent::Failed(error));
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    async fn watch(&self, place: Revision) -> Result<Revision, StoreError> {
        let watch = self.store.watch(RECORD_PREFIX, place, self.settings.wait);
        let batch = watch.await?;
        let revision = batch.revision;
        self.counters.lock().watches += 1;
        (self.sink)(ReaderEvent::Batch(batch));
        Ok(revision.max(place))
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

    fn pause(&self, failures: u32, error: &StoreError) -> Duration {
        let settings = &self.settings;
        let grown = settings.first_pause * 2_u32.saturating_pow(failures.min(16));
        let mut pause = grown.min(settings.longest_pause);
        if let StoreError::OverBudget { retry_after } = error {
            pause = pause.max(*retry_after);
        }
        pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

fn apply_listing(board: &mut RecordReplica, revision: Revision, entries: &[StoreEntry]) -> usize {
    let mut listed = FastSet::default();
    let mut changed = 0;
    for entry in entries {
        let delivery = RecordDelivery {
            key: &entry.key,
            revision: entry.revision,
            text: Some(&entry.value),
        };
        changed += usize::from(is_change(&board.apply_listed(&delivery, revision)));
        listed.insert(entry.key.clone());
    }
    let before = board.len();
    board.finish_listing(revision, &listed);
    changed + (before - board.len())
}

fn apply_batch(board: &mut RecordReplica, batch: &WatchBatch) -> usize {
    let mut changed = 0;
    for event in &batch.events {
        let delivery = RecordDelivery {
            key: &event.key,
            revision: event.revision,
            text: event.value.as_deref(),
        };
        changed += usize::from(is_change(&board.apply(&delivery)));
    }
    board.advance(batch.revision);
    changed
}

fn is_change(applied: &ApplyOutcome) -> bool {
    matches!(applied, ApplyOutcome::Changed | ApplyOutcome::Invalid(_))
}
