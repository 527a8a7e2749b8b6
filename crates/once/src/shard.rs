//! The task that commits the claims of one shard in groups.
//!
//! The first claim after an idle time is committed at once. While commits follow each other, the
//! claims that arrive within the commit interval share the next commit. So a committer writes the
//! tail at most once an interval under any load, apart from retries after a conflict or an unknown
//! outcome. A claim that fits into the next group waits at most one interval and one commit.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_platform::{BoxFuture, Expected, ListPage, StoreError};
use parking_lot::Mutex;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::route::{ClaimEntry, ClaimReply, NotWritten, ShardId};
use crate::shard_handle::{QueuedClaim, ShardContext};
use crate::step::{ListedArchive, LogError, StoreStep};
use crate::writer::ShardWriter;

/// The longest wait for the store's call budget before a group of claims is refused.
const BUDGET_WAIT_LIMIT: Duration = Duration::from_millis(200);

/// The number of writes with an unknown outcome after which a group of claims is refused.
const MAX_UNKNOWN_WRITES: u32 = 3;
/// The number of conflicts after which a group waits for its next commit slot.
const CONFLICTS_PER_SLOT: u32 = 3;
/// The key that holds the number of shards that the log was laid out for.
pub(crate) const LAYOUT_KEY: &str = "claims/layout";

/// Lists the reasons why a group of claims could not be committed.
#[derive(Debug, Error)]
enum GroupFailure {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Log(#[from] LogError),
    #[error("the log was laid out for {found} shards")]
    Layout { found: String },
    #[error("the log is full")]
    Full,
    #[error("the claims' deadline passed before they were committed")]
    DeadlinePassed,
}

pub(crate) struct ShardTask {
    shard: ShardId,
    context: Arc<ShardContext>,
    /// Locked for single steps, never across a call to the store.
    writer: Arc<Mutex<ShardWriter>>,
    next_slot: MonoTime,
    /// How many tail writes of the current group conflicted with another writer.
    conflicts: u32,
    is_layout_checked: bool,
    /// How many tail writes of the current group had an unknown outcome.
    unknown_writes: u32,
    /// How many archive writes of the current group had an unknown outcome.
    unknown_archives: u32,
}

impl ShardTask {
    pub(crate) fn new(
        shard: ShardId,
        context: Arc<ShardContext>,
        writer: Arc<Mutex<ShardWriter>>,
    ) -> Self {
        Self {
            shard,
            context,
            writer,
            next_slot: MonoTime(0),
            conflicts: 0,
            is_layout_checked: false,
            unknown_writes: 0,
            unknown_archives: 0,
        }
    }

    pub(crate) async fn run(mut self, mut claims: mpsc::Receiver<QueuedClaim>) {
        while let Some(first) = claims.recv().await {
            let mut group = vec![first];
            self.answer_known(&mut group);
            if group.is_empty() {
                continue;
            }
            self.wait_for_slot().await;
            while group.len() < self.context.settings.batch_claims {
                match claims.try_recv() {
                    Ok(queued) => group.push(queued),
                    Err(_) => break,
                }
            }
            self.commit_group(group, &mut claims).await;
        }
    }

    /// Answers the claims whose keys the writer has already read; a claim stays valid once read.
    fn answer_known(&self, group: &mut Vec<QueuedClaim>) {
        let mut rest = Vec::new();
        for queued in group.drain(..) {
            match self.writer.lock().answer(&queued.entry) {
                Some(reply) => drop(queued.reply.send(reply)),
                None => rest.push(queued),
            }
        }
        *group = rest;
    }

    async fn commit_group(
        &mut self,
        mut group: Vec<QueuedClaim>,
        claims: &mut mpsc::Receiver<QueuedClaim>,
    ) {
        self.unknown_writes = 0;
        self.unknown_archives = 0;
        self.conflicts = 0;
        if self.writer.lock().is_contended() {
            self.writer.lock().refresh();
        }
        group.retain(|queued| !queued.reply.is_closed());
        if group.is_empty() {
            return;
        }
        let batch: Vec<_> = group.iter().map(|queued| queued.entry).collect();
        match self.resolve(&batch).await {
            Ok(()) => {
                self.answer_known(&mut group);
                self.delete_garbage().await;
            }
            Err(failure) => {
                let reason = self.record_failure(&failure);
                self.answer_known(&mut group);
                self.refuse(group, claims, reason);
            }
        }
    }

    /// Refuses a group, together with the claims that arrived while it failed.
    fn refuse(
        &self,
        group: Vec<QueuedClaim>,
        claims: &mut mpsc::Receiver<QueuedClaim>,
        reason: NotWritten,
    ) {
        let not_written = ClaimReply::NotWritten(reason);
        let reply = match self.unknown_writes {
            0 => not_written,
            _ => ClaimReply::Unknown,
        };
        for queued in group {
            let _ = queued.reply.send(reply);
        }
        while let Ok(queued) = claims.try_recv() {
            let reply = self
                .writer
                .lock()
                .answer(&queued.entry)
                .unwrap_or(not_written);
            let _ = queued.reply.send(reply);
        }
    }

    fn record_failure(&self, failure: &GroupFailure) -> NotWritten {
        self.context.counters.failures.add(1);
        match failure {
            GroupFailure::Full
            | GroupFailure::DeadlinePassed
            | GroupFailure::Store(StoreError::OverBudget { .. }) => {
                return NotWritten::Overloaded;
            }
            GroupFailure::Store(error) => self.on_store_unavailable(error),
            GroupFailure::Log(_) | GroupFailure::Layout { .. } => {
                log::error!("claims of {} are refused: {failure}", self.shard);
            }
        }
        NotWritten::StoreUnavailable
    }

    fn on_store_unavailable(&self, error: &StoreError) {
        if self.context.health.mark_unavailable() {
            log::warn!("claims are refused: {error}");
        }
    }

    /// Executes the writer's steps until every claim of the batch has an answer in the log.
    async fn resolve(&mut self, batch: &[ClaimEntry]) -> Result<(), GroupFailure> {
        let deadline = self.context.clock.now() + self.context.settings.claim_wait.into();
        self.check_layout().await?;
        loop {
            let now = self.context.clock.now();
            if now > deadline {
                return Err(GroupFailure::DeadlinePassed);
            }
            let step = self.writer.lock().next_step(batch, now);
            match step {
                StoreStep::Resolved => return Ok(()),
                StoreStep::Full => return Err(GroupFailure::Full),
                StoreStep::ReadTail => self.read_tail().await?,
                StoreStep::ListArchives { after } => self.list_archives(after).await?,
                StoreStep::WriteArchive { seq, value } => self.write_archive(seq, value).await?,
                StoreStep::WriteTail { expected, value } => {
                    self.write_tail(expected, value).await?;
                }
            }
        }
    }

    /// Checks that the log was laid out for the configured number of shards.
    ///
    /// With two layouts at once, a key could be claimed in each.
    async fn check_layout(&mut self) -> Result<(), GroupFailure> {
        if self.is_layout_checked {
            return Ok(());
        }
        let wanted = Bytes::from(self.context.settings.shards.to_string());
        let store = &self.context.store;
        let mut found = self.call(store.get(LAYOUT_KEY)).await?;
        if found.is_none() {
            let put = store.put(LAYOUT_KEY, Expected::Absent, wanted.clone(), None);
            // Another instance may have written the key first, so the value is read again.
            let _ = self.call(put).await;
            found = self.call(store.get(LAYOUT_KEY)).await?;
        }
        let found = found.map_or_else(Bytes::new, |entry| entry.value);
        if found != wanted {
            let found = String::from_utf8_lossy(&found).into_owned();
            return Err(GroupFailure::Layout { found });
        }
        self.is_layout_checked = true;
        Ok(())
    }

    async fn read_tail(&mut self) -> Result<(), GroupFailure> {
        let key = self.tail_key();
        let found = self.call(self.context.store.get(&key)).await?;
        let now = self.context.clock.now();
        let tail = found
            .as_ref()
            .map(|entry| (entry.revision, &entry.value[..]));
        self.writer.lock().on_tail(tail, now)?;
        Ok(())
    }

    async fn list_archives(&mut self, after: Option<u64>) -> Result<(), GroupFailure> {
        let prefix = self.archive_prefix();
        let after = after.map(|seq| self.archive_key(seq));
        let page = self
            .call(self.context.store.list(&prefix, after.as_deref()))
            .await?;
        let archives = listed_archives(&prefix, &page);
        self.writer.lock().on_archives(&archives, page.more)?;
        Ok(())
    }

    async fn write_archive(&mut self, seq: u64, value: Bytes) -> Result<(), GroupFailure> {
        let counters = &self.context.counters;
        counters.archive_writes.add(1);
        counters.written_bytes.add(value.len() as u64);
        let key = self.archive_key(seq);
        let put = self.context.store.put(&key, Expected::Absent, value, None);
        let result = self.call(put).await;
        self.writer.lock().on_archive_written(&result);
        if let Err(StoreError::Unknown { .. }) = &result {
            self.unknown_archives += 1;
        }
        self.handle_write_error(result.err()).await
    }

    async fn write_tail(&mut self, expected: Expected, value: Bytes) -> Result<(), GroupFailure> {
        let counters = &self.context.counters;
        counters.tail_writes.add(1);
        counters.written_bytes.add(value.len() as u64);
        let interval = self.context.settings.commit_interval;
        self.next_slot = self.context.clock.now() + self.writer.lock().shared_interval(interval);
        let key = self.tail_key();
        let put = self.context.store.put(&key, expected, value, None);
        let result = self.call(put).await;
        self.writer
            .lock()
            .on_tail_written(&result, self.context.clock.now());
        match &result {
            Err(StoreError::Unknown { .. }) => self.unknown_writes += 1,
            Err(StoreError::Conflict { .. }) => self.conflicts += 1,
            _ => {}
        }
        self.handle_write_error(result.err()).await
    }

    /// Decides whether the group continues after the outcome of a write.
    ///
    /// It continues after a conflict or an unknown outcome, which the next read resolves, and
    /// after a short wait for the call budget. Any other error fails the group, and so does the
    /// unknown outcome that reaches [`MAX_UNKNOWN_WRITES`].
    async fn handle_write_error(&self, error: Option<StoreError>) -> Result<(), GroupFailure> {
        match error {
            None => Ok(()),
            Some(StoreError::Conflict { .. }) => {
                self.context.counters.conflicts.add(1);
                if self.conflicts.is_multiple_of(CONFLICTS_PER_SLOT) {
                    self.wait_for_slot().await;
                }
                Ok(())
            }
            Some(StoreError::Unknown { .. })
                if self.unknown_writes + self.unknown_archives < MAX_UNKNOWN_WRITES =>
            {
                Ok(())
            }
            Some(StoreError::OverBudget { retry_after }) if retry_after <= BUDGET_WAIT_LIMIT => {
                tokio::time::sleep(retry_after).await;
                Ok(())
            }
            Some(error) => Err(error.into()),
        }
    }

    async fn delete_garbage(&mut self) {
        let Some((seq, revision)) = self.writer.lock().take_garbage() else {
            return;
        };
        self.context.counters.deletes.add(1);
        let key = self.archive_key(seq);
        let delete = self.context.store.delete(&key, Expected::At(revision));
        // A failed delete leaves an archive below the floor, which the first listing of the next
        // writer finds.
        let _ = self.call(delete).await;
    }

    async fn call<T>(&self, call: BoxFuture<'_, Result<T, StoreError>>) -> Result<T, StoreError> {
        let limit = self.context.settings.store_timeout;
        let result = tokio::time::timeout(limit, call).await;
        result.unwrap_or_else(|_| {
            let reason = format!("no answer within {limit:?}");
            let error = StoreError::Unknown { reason };
            // Later claims are refused at once, before this group has failed.
            self.on_store_unavailable(&error);
            Err(error)
        })
    }

    async fn wait_for_slot(&self) {
        let wait = self.next_slot.since(self.context.clock.now());
        if wait > Span::ZERO {
            tokio::time::sleep(wait.into()).await;
        }
    }

    fn tail_key(&self) -> String {
        format!("claims/{:03}/tail", self.shard.0)
    }

    fn archive_prefix(&self) -> String {
        format!("claims/{:03}/archive/", self.shard.0)
    }

    fn archive_key(&self, seq: u64) -> String {
        format!("claims/{:03}/archive/{seq:016x}", self.shard.0)
    }
}

fn listed_archives(prefix: &str, page: &ListPage) -> Vec<ListedArchive> {
    let archives = page.entries.iter().filter_map(|entry| {
        let digits = entry.key.strip_prefix(prefix)?;
        let seq = u64::from_str_radix(digits, 16).ok()?;
        Some(ListedArchive {
            seq,
            revision: entry.revision,
            value: entry.value.clone(),
        })
    });
    archives.collect()
}
