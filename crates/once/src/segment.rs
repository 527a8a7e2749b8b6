//! The segments of a claim log, as they are stored.
//!
//! A shard's log consists of one tail key, which is only written by compare-and-swap on its
//! revision and never deleted, and of archives, one key for each full segment. The tail carries
//! the number of its segment, the floor (the lowest live archive) and the log's own time, a lower
//! bound of the real time since the log began.

use bytes::Bytes;
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::hash::{BodyHash, KeyHash};
use crate::route::ClaimEntry;

/// The version of the segment layout, stored in the first byte; every other layout must have its
/// own number.
const SEGMENT_VERSION: u8 = 1;

/// Lists the reasons why a stored segment cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SegmentError {
    /// The layout has another version.
    #[error("segment layout {0} is not known")]
    Version(u8),
    /// The bytes are not a valid segment.
    #[error("the segment's bytes do not parse")]
    Malformed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct PackedClaim {
    key: KeyHash,
    body: BodyHash,
    owner: u32,
    serial: u64,
}

/// Holds a part of a shard's claim log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Segment {
    /// The number of the segment, one more than that of the segment before it.
    pub seq: u64,
    /// The number of the lowest live archive.
    pub floor: u64,
    /// How often the tail was written since the log began; a writer derives from it how often
    /// other writers committed.
    pub commits: u64,
    /// The log's time when the segment was last written.
    pub log_time: Span,
    /// Whether the segment is full; a sealed segment never changes again.
    pub is_sealed: bool,
    owners: Vec<InstanceId>,
    claims: Vec<PackedClaim>,
}

impl Segment {
    /// Returns the empty segment that follows this one in the tail.
    #[must_use]
    pub fn next(&self) -> Self {
        Self {
            seq: self.seq + 1,
            floor: self.floor,
            commits: self.commits,
            log_time: self.log_time,
            ..Self::default()
        }
    }

    /// Adds a claim.
    pub fn push(&mut self, entry: &ClaimEntry) {
        let owner = self.owner_index(entry.request.origin);
        self.claims.push(PackedClaim {
            key: entry.key,
            body: entry.body,
            owner,
            serial: entry.request.serial,
        });
    }

    fn owner_index(&mut self, origin: InstanceId) -> u32 {
        let known = self.owners.iter().position(|owner| *owner == origin);
        let index = known.unwrap_or_else(|| {
            self.owners.push(origin);
            self.owners.len() - 1
        });
        index as u32
    }

    /// Returns the claims in the order in which they were added.
    pub fn entries(&self) -> impl Iterator<Item = ClaimEntry> {
        self.claims.iter().map(|claim| ClaimEntry {
            key: claim.key,
            body: claim.body,
            request: RequestId {
                origin: self.owners[claim.owner as usize],
                serial: claim.serial,
            },
        })
    }

    /// Returns the number of claims in the segment.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the segment holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the segment's stored form.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![SEGMENT_VERSION]);
        bytes.unwrap_or_default().into()
    }

    /// Decodes and validates the stored form of a segment.
    pub fn decode(bytes: &[u8]) -> Result<Self, SegmentError> {
        let (version, rest) = bytes.split_first().ok_or(SegmentError::Malformed)?;
        if *version != SEGMENT_VERSION {
            return Err(SegmentError::Version(*version));
        }
        let segment: Self = postcard::from_bytes(rest).map_err(|_| SegmentError::Malformed)?;
        let owners = segment.owners.len();
        let is_whole = segment.claims.iter().all(|c| (c.owner as usize) < owners);
        if is_whole && segment.floor <= segment.seq {
            Ok(segment)
        } else {
            Err(SegmentError::Malformed)
        }
    }
}
