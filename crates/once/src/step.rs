//! What the writer of a claim log asks for and what it can find.

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_platform::Expected;
use thiserror::Error;

use crate::segment::SegmentError;

/// Bounds of a shard's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WriterLimits {
    /// The size at which a segment is sealed, in bytes.
    pub segment_bytes: usize,
    /// The most archives that count at a time.
    pub segments: u64,
    /// How long an archive counts after it was sealed, at least.
    pub retention: Span,
}

/// What the driver does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreStep {
    /// Reads the tail and calls `on_tail`.
    ReadTail,
    /// Lists the archives after this one (all, if none) and calls `on_archives`.
    ListArchives {
        /// The archive before the first that is wanted.
        after: Option<u64>,
    },
    /// Creates an archive and calls `on_archive_written`.
    WriteArchive {
        /// Its number.
        seq: u64,
        /// Its content.
        value: Bytes,
    },
    /// Writes the tail and calls `on_tail_written`.
    WriteTail {
        /// What the write must find.
        expected: Expected,
        /// The content.
        value: Bytes,
    },
    /// Every claim of the batch has an answer.
    Resolved,
    /// The log holds as many archives as it may; nothing is claimed until some may go.
    Full,
}

/// An archive as it was listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedArchive {
    /// Its number.
    pub seq: u64,
    /// The revision of its key.
    pub revision: Revision,
    /// Its content.
    pub value: Bytes,
}

/// The log in the store is not as it must be; nothing is claimed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// A segment cannot be read.
    #[error("segment {seq:?}: {error}")]
    Segment {
        /// The archive, or none for the tail.
        seq: Option<u64>,
        /// What is wrong.
        error: SegmentError,
    },
    /// The tail was there and is gone; earlier claims may be lost.
    #[error("the log's tail has disappeared from the store")]
    TailLost,
    /// An archive that must be there is not.
    #[error("archive {seq} is missing")]
    ArchiveMissing {
        /// Its number.
        seq: u64,
    },
}
