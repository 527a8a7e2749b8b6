//! The handle of a shard's task: queues claims, and refuses them at once while the store is
//! unavailable.

use std::sync::Arc;

use oleander_platform::KeyValueStore;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

use crate::deadline::MonoClock;
use crate::health::StoreHealth;
use crate::route::{ClaimEntry, ClaimReply, NotWritten, ShardId};
use crate::settings::ClaimSettings;
use crate::shard::ShardTask;
use crate::stats::ClaimCounters;
use crate::step::WriterLimits;
use crate::writer::ShardWriter;

/// Holds a claim that waits for a commit, with the channel for its reply.
pub(crate) struct QueuedClaim {
    pub(crate) entry: ClaimEntry,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// Holds what all shards of a claim table share.
pub(crate) struct ShardContext {
    pub(crate) store: Arc<dyn KeyValueStore>,
    pub(crate) clock: Arc<dyn MonoClock>,
    pub(crate) settings: ClaimSettings,
    pub(crate) counters: Arc<ClaimCounters>,
    pub(crate) health: Arc<StoreHealth>,
}

/// Sends claims to a shard's task.
pub(crate) struct ShardHandle {
    queue: mpsc::Sender<QueuedClaim>,
    writer: Arc<Mutex<ShardWriter>>,
    health: Arc<StoreHealth>,
}

impl ShardHandle {
    /// Spawns the task of a shard, which ends when the handle is dropped.
    pub(crate) fn spawn(shard: ShardId, context: Arc<ShardContext>) -> Self {
        let settings = &context.settings;
        let (queue, claims) = mpsc::channel(settings.queue_claims.max(1));
        let writer = ShardWriter::new(WriterLimits {
            segment_bytes: settings.segment_bytes,
            segments: settings.segments,
            // A repeat may arrive just within the retention and be claimed up to the send limit
            // later.
            retention: settings.retention + settings.send_limit,
        });
        let writer = Arc::new(Mutex::new(writer));
        let handle = Self {
            queue,
            writer: Arc::clone(&writer),
            health: Arc::clone(&context.health),
        };
        let task = ShardTask::new(shard, context, writer);
        tokio::spawn(task.run(claims));
        handle
    }

    /// Returns the log's reply to a claim.
    ///
    /// The reply is immediate if the key has already been read, since a claim stays valid once
    /// read, or if the store is unavailable. Otherwise it comes from the next commit.
    pub(crate) async fn commit(&self, entry: ClaimEntry) -> ClaimReply {
        let known = self.writer.lock().answer(&entry);
        if let Some(reply) = known {
            return reply;
        }
        if self.health.is_unavailable() {
            return ClaimReply::NotWritten(NotWritten::StoreUnavailable);
        }
        let (reply, answer) = oneshot::channel();
        let queued = QueuedClaim { entry, reply };
        if self.queue.try_send(queued).is_err() {
            return ClaimReply::NotWritten(NotWritten::Overloaded);
        }
        answer.await.unwrap_or(ClaimReply::Unknown)
    }

    /// Returns the shard's state as text for diagnostics.
    pub(crate) fn dump(&self) -> String {
        self.writer.lock().dump()
    }
}
