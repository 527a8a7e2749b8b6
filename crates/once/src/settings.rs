//! Bounds and times of the claim log.

use std::time::Duration;

use oleander_base::prelude::*;

use crate::outcome::TableLimits;

/// Settings of a claim book; those of the log must be equal at every instance of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The number of shards. The log's layout depends on it, so a change needs a new `prefix`.
    pub shards: u16,
    /// The least time between two commits of one shard by one committer.
    pub commit_interval: Span,
    /// The most claims of one commit.
    pub batch_claims: usize,
    /// The size at which a segment is archived, in bytes.
    pub segment_bytes: usize,
    /// The most archived segments of a shard; above it claims are refused, never dropped early.
    pub segments: u64,
    /// For how long after a key's first use its later uses are known as repeats, at least.
    pub retention: Span,
    /// How long after its arrival a request may be sent; far below the retention.
    pub send_limit: Span,
    /// How long a request waits for its claim.
    pub claim_wait: Duration,
    /// How long one call of the store may take.
    pub store_timeout: Duration,
    /// How long after a failure the store is first probed; the interval doubles up to eightfold.
    pub probe_interval: Duration,
    /// The most claims that wait for one shard's commits.
    pub queue_claims: usize,
    /// The most keys that this instance remembers.
    pub records: usize,
    /// Memory for kept results, in bytes.
    pub kept_bytes: usize,
    /// The largest answer that is kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 4,
            commit_interval: Span::from_millis(50),
            batch_claims: 100,
            segment_bytes: 4 << 10,
            segments: 8_192,
            retention: Span::from_secs(1_800),
            send_limit: Span::from_secs(60),
            claim_wait: Duration::from_millis(2_000),
            store_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_millis(250),
            queue_claims: 2_000,
            records: 100_000,
            kept_bytes: 8 << 20,
            answer_bytes: 64 << 10,
        }
    }
}

impl ClaimSettings {
    /// Returns the bounds of the owner's book.
    pub fn table_limits(&self) -> TableLimits {
        TableLimits {
            send_limit: self.send_limit,
            retention: self.retention,
            records: self.records,
            kept_bytes: self.kept_bytes,
            answer_bytes: self.answer_bytes,
        }
    }
}
