//! The store operations that a claim log's writer requests, and the faults that it can detect.

use bytes::Bytes;
use oleander_base::prelude::*;
use oleander_platform::Expected;
use thiserror::Error;

use crate::segment::SegmentError;

/// Holds the bounds of a shard's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WriterLimits {
    /// The size at which a segment is sealed, in bytes.
    pub segment_bytes: usize,
    /// The maximum number of live archives.
    pub segments: u64,
    /// The minimum time that an archive stays live after it was sealed.
    pub retention: Span,
}

/// Names the next step of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreStep {
    /// Read the tail and call `on_tail`.
    ReadTail,
    /// List the archives after `after` and call `on_archives`.
    ListArchives {
        /// The last archive to skip; with none, all archives are listed.
        after: Option<u64>,
    },
    /// Create an archive and call `on_archive_written`.
    WriteArchive {
        /// The number of the archive.
        seq: u64,
        /// The encoded segment.
        value: Bytes,
    },
    /// Write the tail and call `on_tail_written`.
    WriteTail {
        /// The state of the key that the write requires.
        expected: Expected,
        /// The encoded segment.
        value: Bytes,
    },
    /// Do nothing: every claim of the batch has an answer.
    Resolved,
    /// Refuse the claims: the log holds the maximum number of archives, and nothing is claimed
    /// until the retention of some has passed.
    Full,
}

/// Holds an archive as it was listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedArchive {
    /// The number of the archive.
    pub seq: u64,
    /// The revision of the archive's key.
    pub revision: Revision,
    /// The encoded segment.
    pub value: Bytes,
}

/// Lists the faults of a stored log under which nothing is claimed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// A segment cannot be read.
    #[error("segment {seq:?}: {error}")]
    Segment {
        /// The number of the archive, or none for the tail.
        seq: Option<u64>,
        /// The reason.
        error: SegmentError,
    },
    /// The tail existed before and is absent now; earlier claims may be lost.
    #[error("the log's tail has disappeared from the store")]
    TailLost,
    /// A live archive is absent.
    #[error("archive {seq} is missing")]
    ArchiveMissing {
        /// The number of the archive.
        seq: u64,
    },
}
