//! The faults, rates and counters of the platform's stand-in.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// What a call meets instead of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageKind {
    /// The service works.
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
    /// What a call meets instead of the service.
    pub outage: OutageKind,
    /// How long every call is delayed before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// How many further writes take effect without an answer.
    pub drop_next_answers: u32,
    /// The share of writes that take effect without an answer, 0 to 1.
    pub drop_share: f64,
    /// The seed of the choice that `drop_share` makes.
    pub seed: u64,
}

/// The counts of calls, by path, and of what became of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Calls that arrived, by path.
    pub calls: BTreeMap<String, u64>,
    /// Reads that were served.
    pub reads: u64,
    /// Writes that were served, whatever they found.
    pub writes: u64,
    /// Calls refused for their rate.
    pub rate_limited: u64,
    /// Writes that met something else than they expected.
    pub conflicts: u64,
    /// Calls that an outage took.
    pub outages: u64,
    /// Answers that were dropped after the write took effect.
    pub dropped_answers: u64,
    /// Watches that wait at present.
    pub waiting_watches: u64,
}

/// The state of the faults between calls.
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

    /// Returns whether this write's answer is to be dropped.
    pub(crate) fn should_drop_answer(&mut self) -> bool {
        if self.plan.drop_next_answers > 0 {
            self.plan.drop_next_answers -= 1;
            return true;
        }
        self.plan.drop_share > 0.0 && self.random.random::<f64>() < self.plan.drop_share
    }
}
