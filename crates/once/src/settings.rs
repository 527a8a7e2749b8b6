//! The settings of the claim table and the claim log.

use std::time::Duration;

use oleander_base::prelude::*;

use crate::outcome::TableLimits;

/// Holds the settings of a claim table and of the claim log.
///
/// The settings of the log must be equal at every instance of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The number of shards of the log, whose stored layout depends on it.
    ///
    /// A log that was laid out for another number is refused.
    pub shards: u16,
    /// The minimum time between two commits of one shard by one committer.
    pub commit_interval: Span,
    /// The maximum number of claims in one commit.
    pub batch_claims: usize,
    /// The size at which a segment is archived, in bytes.
    pub segment_bytes: usize,
    /// The maximum number of live archived segments of a shard; above it new claims are refused,
    /// and no segment is dropped early.
    pub segments: u64,
    /// The minimum time after a key's first use in which later uses are recognised as repeats.
    pub retention: Span,
    /// How long after its arrival a request may be sent; far below the retention.
    pub send_limit: Span,
    /// How long a request waits for its claim.
    pub claim_wait: Duration,
    /// The timeout of one call to the store.
    pub store_timeout: Duration,
    /// How long after a failure the store is first probed; the interval doubles up to eight times
    /// this value.
    pub probe_interval: Duration,
    /// The maximum number of claims that wait for a commit of one shard.
    pub queue_claims: usize,
    /// The maximum number of keys in this instance's claim table.
    pub records: usize,
    /// The maximum size of all kept results, in bytes.
    pub kept_bytes: usize,
    /// The maximum size of a kept answer, in bytes.
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
    /// Returns the bounds of the owner's claim table.
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
