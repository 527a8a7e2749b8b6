//! The faults and counters of the platform's stand-in.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The way in which the service is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// The service is available.
    #[default]
    None,
    /// The call is answered with 503 and has no effect.
    Refuse,
    /// The connection is closed and the call has no effect.
    Close,
    /// No answer comes and the call has no effect.
    Hang,
}

/// The faults in effect.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultPlan {
    /// The way in which the service is unavailable to every call.
    pub outage: OutageKind,
    /// How long every call is delayed before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The number of further successful writes whose answers are dropped.
    pub drop_next_answers: u32,
    /// A text that such a write contains, its key for example; empty for any write.
    pub drop_only: String,
    /// The share of successful writes whose answers are dropped, from 0 to 1.
    pub drop_share: f64,
    /// The seed of the random choices for `drop_share`.
    pub seed: u64,
}

/// The counts of calls by path and by result.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Calls that arrived, by path.
    pub calls: BTreeMap<String, u64>,
    /// Reads that were served.
    pub reads: u64,
    /// Writes that were served, including those that failed, for instance with a conflict.
    pub writes: u64,
    /// Calls that were refused by the rate limit.
    pub rate_limited: u64,
    /// Writes that were refused because the key's revision was not the expected one.
    pub conflicts: u64,
    /// Calls that arrived during an outage.
    pub outages: u64,
    /// Answers that were dropped after the write took effect.
    pub dropped_answers: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
}

/// The faults in effect and the random generator of their choices.
#[derive(Debug)]
pub(crate) struct FaultState {
    pub(crate) plan: FaultPlan,
    random: ChaCha8Rng,
}

impl FaultState {
    pub(crate) fn new(plan: FaultPlan) -> Self {
        let random = ChaCha8Rng::seed_from_u64(plan.seed);
        Self { plan, random }
    }

    /// Returns whether to drop the answer of the present write, and counts it.
    pub(crate) fn should_drop_answer(&mut self, write: &[u8]) -> bool {
        let is_meant = memchr::memmem::find(write, self.plan.drop_only.as_bytes()).is_some();
        if self.plan.drop_next_answers > 0 && is_meant {
            self.plan.drop_next_answers -= 1;
            return true;
        }
        self.plan.drop_share > 0.0 && self.random.random::<f64>() < self.plan.drop_share
    }
}
