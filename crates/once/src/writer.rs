//! The writer of one shard's claim log: a pure state machine.
//!
//! The driver asks for the next [`StoreStep`], executes it, and reports the result. A claim is
//! written only after the writer has read every live segment, by compare-and-swap on the revision
//! of the tail that it read. So with any number of writers, each claim is decided by one that has
//! read all earlier claims. This is a version-checked commit that carries its deduplication
//! records in the same write (docs/AT-MOST-ONCE.md, "The log").
//!
//! Invariants:
//!
//! - The tail key is never deleted and revisions are never reused, so a paused writer's write with
//!   an old revision always fails. Claims are never written by creating a key, except in the first
//!   write of a shard.
//! - A sealed tail is copied to its archive before the tail is replaced by the next segment. A
//!   sealed segment never changes, so late copies of it are harmless.
//! - The floor rises only in a tail write, and only past archives that were sealed at least the
//!   retention ago in the log's time, which never runs faster than real time. Archives below the
//!   floor are deleted later, by any writer.

mod check;

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use oleander_platform::{Expected, StoreError};

use crate::hash::{BodyHash, KeyHash};
use crate::route::{ClaimEntry, ClaimReply};
use crate::segment::Segment;
use crate::step::{ListedArchive, LogError, StoreStep, WriterLimits};

/// The number of times that the archives are listed again before a missing one is reported.
const RELIST_LIMIT: u32 = 3;
/// The maximum number of writers among which a shard's commits are divided.
const WRITERS_LIMIT: f64 = 16.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ViewPhase {
    /// The tail must be read.
    Stale,
    /// Archives after this one must be listed.
    Listing { after: Option<u64> },
    /// Every live segment has been read, up to the tail's revision.
    Complete,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClaimHolder {
    request: RequestId,
    body: BodyHash,
    seq: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OwnCommit {
    commits: u64,
    at: MonoTime,
}

#[derive(Debug, Clone, Hash)]
struct ArchiveInfo {
    revision: Revision,
    sealed_at: Span,
    keys: Vec<KeyHash>,
}

/// Holds the state of one writer of one shard's log.
#[derive(Debug, Clone, Hash)]
pub struct ShardWriter {
    limits: WriterLimits,
    phase: ViewPhase,
    tail: Segment,
    tail_revision: Option<Revision>,
    tail_read_at: MonoTime,
    has_listed: bool,
    relists: u32,
    pending: Option<Segment>,
    own_commit: Option<OwnCommit>,
    foreign_commits: u64,
    own_interval: Span,
    index: BTreeMap<KeyHash, ClaimHolder>,
    archives: BTreeMap<u64, ArchiveInfo>,
    garbage: BTreeMap<u64, Revision>,
}

impl ShardWriter {
    /// Returns a writer that has read nothing yet.
    pub fn new(limits: WriterLimits) -> Self {
        Self {
            limits,
            phase: ViewPhase::Stale,
            tail: Segment::default(),
            tail_revision: None,
            tail_read_at: MonoTime(0),
            has_listed: false,
            relists: 0,
            pending: None,
            own_commit: None,
            foreign_commits: 0,
            own_interval: Span::ZERO,
            index: BTreeMap::new(),
            archives: BTreeMap::new(),
            garbage: BTreeMap::new(),
        }
    }

    /// Returns the log's reply to a claim, if the segments read so far contain its key.
    pub fn answer(&self, entry: &ClaimEntry) -> Option<ClaimReply> {
        let holder = self.index.get(&entry.key)?;
        if holder.request == entry.request {
            return Some(ClaimReply::Granted);
        }
        Some(ClaimReply::Taken {
            holder: holder.request,
            body: holder.body,
        })
    }

    /// Returns the next step towards an answer for every claim of a batch.
    pub fn next_step(&mut self, batch: &[ClaimEntry], now: MonoTime) -> StoreStep {
        match self.phase {
            ViewPhase::Stale => return StoreStep::ReadTail,
            ViewPhase::Listing { after } => return StoreStep::ListArchives { after },
            ViewPhase::Complete => {}
        }
        if batch.iter().all(|entry| self.answer(entry).is_some()) {
            return StoreStep::Resolved;
        }
        if self.tail.is_sealed && !self.archives.contains_key(&self.tail.seq) {
            return StoreStep::WriteArchive {
                seq: self.tail.seq,
                value: self.tail.encode(),
            };
        }
        self.compose_tail(batch, now)
    }

    fn compose_tail(&mut self, batch: &[ClaimEntry], now: MonoTime) -> StoreStep {
        let mut segment = match self.tail.is_sealed {
            true => self.tail.next(),
            false => self.tail.clone(),
        };
        segment.commits = self.tail.commits + 1;
        segment.log_time = self.tail.log_time + now.since(self.tail_read_at);
        segment.floor = self.next_floor(segment.log_time);
        if segment.seq - segment.floor > self.limits.segments {
            return StoreStep::Full;
        }
        self.push_new(&mut segment, batch);
        let mut value = segment.encode();
        if value.len() >= self.limits.segment_bytes {
            segment.is_sealed = true;
            value = segment.encode();
        }
        self.pending = Some(segment);
        let expected = self.tail_revision.map_or(Expected::Absent, Expected::At);
        StoreStep::WriteTail { expected, value }
    }

    fn push_new(&self, segment: &mut Segment, batch: &[ClaimEntry]) {
        let mut added = FastSet::default();
        for entry in batch {
            if self.answer(entry).is_none() && added.insert(entry.key) {
                segment.push(entry);
            }
        }
    }

    fn next_floor(&self, log_time: Span) -> u64 {
        let mut floor = self.tail.floor;
        for (seq, info) in &self.archives {
            let age = log_time.saturating_sub(info.sealed_at);
            if *seq != floor || age < self.limits.retention {
                break;
            }
            floor = seq + 1;
        }
        floor
    }

    /// Applies the tail that was read; `None` means that the key is absent.
    pub fn on_tail(
        &mut self,
        found: Option<(Revision, &[u8])>,
        now: MonoTime,
    ) -> Result<(), LogError> {
        let Some((revision, bytes)) = found else {
            return self.on_absent_tail(now);
        };
        let segment = Segment::decode(bytes);
        let segment = segment.map_err(|error| LogError::Segment { seq: None, error })?;
        self.accept_tail(segment, revision, now);
        self.phase = match self.missing_archive() {
            // The first listing also covers archives below the floor that were not deleted yet.
            _ if !self.has_listed => ViewPhase::Listing { after: None },
            Some(seq) => ViewPhase::Listing {
                after: seq.checked_sub(1),
            },
            None => ViewPhase::Complete,
        };
        Ok(())
    }

    fn on_absent_tail(&mut self, now: MonoTime) -> Result<(), LogError> {
        if self.tail_revision.is_some() {
            return Err(LogError::TailLost);
        }
        self.tail_read_at = now;
        self.phase = ViewPhase::Complete;
        Ok(())
    }

    fn accept_tail(&mut self, segment: Segment, revision: Revision, now: MonoTime) {
        for entry in segment.entries() {
            self.add_to_index(&entry, segment.seq);
        }
        let old_seq = std::mem::replace(&mut self.tail, segment).seq;
        self.tail_revision = Some(revision);
        self.tail_read_at = now;
        self.drop_below_floor();
        let floor = self.tail.floor;
        if old_seq < floor {
            self.index.retain(|_, holder| holder.seq >= floor);
        }
    }

    fn add_to_index(&mut self, entry: &ClaimEntry, seq: u64) {
        let holder = ClaimHolder {
            request: entry.request,
            body: entry.body,
            seq,
        };
        let known = self.index.entry(entry.key).or_insert(holder);
        if known.seq < seq {
            *known = holder;
        }
    }

    fn missing_archive(&self) -> Option<u64> {
        let mut wanted = self.tail.floor..self.tail.seq;
        wanted.find(|seq| !self.archives.contains_key(seq))
    }

    fn drop_below_floor(&mut self) {
        while let Some(first) = self.archives.first_entry() {
            if *first.key() >= self.tail.floor {
                break;
            }
            let (seq, info) = first.remove_entry();
            for key in &info.keys {
                if self.index.get(key).is_some_and(|holder| holder.seq == seq) {
                    self.index.remove(key);
                }
            }
            self.garbage.insert(seq, info.revision);
        }
    }

    /// Applies a page of listed archives; `more` tells whether further pages follow.
    pub fn on_archives(&mut self, page: &[ListedArchive], more: bool) -> Result<(), LogError> {
        for archive in page {
            self.accept_archive(archive)?;
        }
        let last = page.last().map(|archive| archive.seq);
        if more && last.is_some() {
            self.phase = ViewPhase::Listing { after: last };
            return Ok(());
        }
        self.has_listed = true;
        let Some(seq) = self.missing_archive() else {
            self.relists = 0;
            self.phase = ViewPhase::Complete;
            return Ok(());
        };
        // The floor may have risen since the tail was read, so the tail is read again before a
        // missing archive is reported.
        self.phase = ViewPhase::Stale;
        self.relists += 1;
        if self.relists <= RELIST_LIMIT {
            return Ok(());
        }
        self.relists = 0;
        Err(LogError::ArchiveMissing { seq })
    }

    fn accept_archive(&mut self, archive: &ListedArchive) -> Result<(), LogError> {
        let seq = archive.seq;
        if seq < self.tail.floor {
            self.garbage.insert(seq, archive.revision);
            return Ok(());
        }
        if seq >= self.tail.seq {
            return Ok(());
        }
        let segment = Segment::decode(&archive.value).map_err(|error| {
            let seq = Some(seq);
            LogError::Segment { seq, error }
        })?;
        for entry in segment.entries() {
            self.add_to_index(&entry, seq);
        }
        self.add_archive(&segment, seq, archive.revision);
        Ok(())
    }

    fn add_archive(&mut self, segment: &Segment, seq: u64, revision: Revision) {
        let info = ArchiveInfo {
            revision,
            sealed_at: segment.log_time,
            keys: segment.entries().map(|entry| entry.key).collect(),
        };
        self.archives.insert(seq, info);
    }

    /// Applies the outcome of an archive's creation.
    ///
    /// A conflict means that the archive exists already, with the same content.
    pub fn on_archive_written(&mut self, result: &Result<Revision, StoreError>) {
        let revision = match result {
            Ok(revision) => *revision,
            Err(StoreError::Conflict {
                current: Some(revision),
            }) => *revision,
            Err(StoreError::Unavailable { .. } | StoreError::OverBudget { .. }) => return,
            Err(_) => {
                self.phase = ViewPhase::Stale;
                return;
            }
        };
        let segment = std::mem::take(&mut self.tail);
        self.add_archive(&segment, segment.seq, revision);
        self.tail = segment;
    }

    /// Applies the outcome of a tail write; after a conflict or an unknown outcome the tail is read
    /// again.
    pub fn on_tail_written(&mut self, result: &Result<Revision, StoreError>, now: MonoTime) {
        let pending = self.pending.take();
        match (result, pending) {
            (Ok(revision), Some(segment)) => {
                self.record_own_commit(segment.commits, now);
                self.accept_tail(segment, *revision, now);
            }
            (Err(StoreError::Unavailable { .. } | StoreError::OverBudget { .. }), _) => {}
            _ => self.phase = ViewPhase::Stale,
        }
    }

    fn record_own_commit(&mut self, commits: u64, at: MonoTime) {
        let before = self.own_commit.replace(OwnCommit { commits, at });
        if let Some(before) = before {
            self.foreign_commits = commits - before.commits - 1;
            self.own_interval = at.since(before.at);
        }
    }

    /// Returns whether other writers wrote the tail between the last two writes of this writer.
    pub fn is_contended(&self) -> bool {
        self.foreign_commits > 0
    }

    /// Returns the commit interval of this writer, lengthened by the other writers' commits between
    /// its own, so that all of them together commit about once an `interval`.
    pub fn shared_interval(&self, interval: Span) -> Span {
        let foreign = self.foreign_commits as f64;
        let slots = self.own_interval.0 as f64 / interval.0.max(1) as f64;
        let by_count = (foreign + 1.0).min(WRITERS_LIMIT);
        let factor = match slots > foreign {
            true => by_count.min(slots / (slots - foreign)),
            false => by_count,
        };
        Span((interval.0 as f64 * factor) as u64)
    }

    /// Forces a read of the tail before the next write, which would probably conflict otherwise.
    pub fn refresh(&mut self) {
        self.phase = ViewPhase::Stale;
    }

    /// Removes and returns one archive below the floor, which the driver should delete.
    pub fn take_garbage(&mut self) -> Option<(u64, Revision)> {
        self.garbage.pop_first()
    }

    /// Returns the number of claims in the index.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the index holds no claim.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}
