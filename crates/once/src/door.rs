//! The door to a shard's task: queues claims, and refuses them at once while the store is away.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use oleander_base::prelude::*;
use oleander_platform::KeyValueStore;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::gate::MonoClock;
use crate::route::{ClaimEntry, ClaimReply, NotWritten, ShardId};
use crate::settings::ClaimSettings;
use crate::shard::ShardTask;
use crate::stats::ClaimCounters;

/// A claim that waits for a commit.
pub(crate) struct QueuedClaim {
    pub(crate) entry: ClaimEntry,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// What all shards of a claim book share.
pub(crate) struct ShardParts {
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) clock: Arc<dyn MonoClock>,
    pub(crate) settings: ClaimSettings,
    pub(crate) counters: Arc<ClaimCounters>,
}

/// The door to a shard's task.
pub(crate) struct ShardDoor {
    queue: mpsc::Sender<QueuedClaim>,
    state: Arc<ShardState>,
    clock: Arc<dyn MonoClock>,
    probe_interval: Span,
}

/// What a shard's task shows to its door.
pub(crate) struct ShardState {
    /// When a claim may try the store again, in microseconds; zero while the store answers.
    pub(crate) probe_at: AtomicU64,
    pub(crate) dump: Mutex<String>,
}

impl ShardDoor {
    /// Starts the task of a shard; it ends when the door is dropped.
    pub(crate) fn spawn(shard: ShardId, parts: Arc<ShardParts>) -> Self {
        let (queue, claims) = mpsc::channel(parts.settings.queue_claims.max(1));
        let state = Arc::new(ShardState {
            probe_at: AtomicU64::new(0),
            dump: Mutex::new("not read yet".to_owned()),
        });
        let door = Self {
            queue,
            state: Arc::clone(&state),
            clock: Arc::clone(&parts.clock),
            probe_interval: parts.settings.probe_interval,
        };
        let task = ShardTask::new(shard, parts, state);
        tokio::spawn(task.run(claims));
        door
    }

    /// Queues a claim and waits for the log's reply.
    pub(crate) async fn commit(&self, entry: ClaimEntry) -> ClaimReply {
        if !self.may_try() {
            return ClaimReply::NotWritten(NotWritten::StoreAway);
        }
        let (reply, answer) = oneshot::channel();
        let queued = QueuedClaim { entry, reply };
        if self.queue.try_send(queued).is_err() {
            return ClaimReply::NotWritten(NotWritten::Overloaded);
        }
        answer.await.unwrap_or(ClaimReply::Unknown)
    }

    /// While the store is away, one claim in each probe interval tries it again.
    fn may_try(&self) -> bool {
        let probe_at = self.state.probe_at.load(Ordering::Acquire);
        if probe_at == 0 {
            return true;
        }
        let now = self.clock.now();
        if now.0 < probe_at {
            return false;
        }
        let next = (now + self.probe_interval).0;
        let swap = self.state.probe_at.compare_exchange(
            probe_at,
            next,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        swap.is_ok()
    }

    /// Returns the shard's state as text.
    pub(crate) fn dump(&self) -> String {
        let mut text = self.state.dump.lock().clone();
        if self.state.probe_at.load(Ordering::Acquire) != 0 {
            let _ = write!(text, ", store away");
        }
        text
    }
}
