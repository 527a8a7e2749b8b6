//! The border between a pool's dispatcher and the policy that decides for it.

use std::fmt::Debug;
use std::str::FromStr;

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, GrantNotice, LoadReport, ReleaseNotice, ShedNotice};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::baseline::{FifoOrder, FifoPool};
use crate::config::PoolConfig;
use crate::summary::{BackendSummary, PoolSummary};
use crate::tiered::TieredPool;
use crate::verify::VerifyError;
use crate::views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};

/// What the dispatcher is to tell one entry VM.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The entry VM that holds the request.
    pub to: InstanceId,
    /// The notice to send.
    pub notice: DecisionNotice,
}

/// The content of a [`Decision`].
#[derive(Debug, Clone, PartialEq)]
pub enum DecisionNotice {
    /// The request may be sent to a backend server.
    Grant(GrantNotice),
    /// The request is given up and has not run.
    Shed(ShedNotice),
}

/// The policy of one pool: it queues tickets, grants slots and sheds.
///
/// A policy has no clock, no socket and no random source. Every method takes the time, and what
/// has to be told to entry VMs is appended to `out`, in the order in which it was decided. Every
/// offered ticket gets exactly one outcome, a grant or a shed notice, unless its owner withdraws
/// it or is gone.
pub trait PoolPolicy: Send + Debug {
    /// Replaces the backend servers of the pool.
    fn set_backends(&mut self, backends: &[BackendView], now: MonoTime, out: &mut Vec<Decision>);

    /// Replaces the request classes and the customers' weights.
    fn set_classes(
        &mut self,
        classes: &[ClassView],
        customers: &[CustomerView],
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Queues a ticket, or repeats its grant if it has one already.
    ///
    /// The call is idempotent for each request. A ticket that comes from another dispatcher keeps
    /// its place, since its age comes with it.
    fn offer(&mut self, ticket: Ticket, from: InstanceId, now: MonoTime, out: &mut Vec<Decision>);

    /// Removes a ticket whose request will not be sent, and frees its slot if it has one.
    fn withdraw(&mut self, request: RequestId, now: MonoTime, out: &mut Vec<Decision>);

    /// Frees a slot and learns from what the entry VM saw.
    fn release(&mut self, release: &ReleaseNotice, now: MonoTime, out: &mut Vec<Decision>);

    /// Records a grant of an earlier dispatcher, without any limit, because it is in use.
    fn adopt(
        &mut self,
        holding: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Compares the grants that an entry VM holds with those in use here.
    ///
    /// A grant of that entry VM that is not in its list, and is older than
    /// [`PoolConfig::reconcile_delay`], was ended by a release that got lost; its slot is freed.
    fn reconcile(
        &mut self,
        from: InstanceId,
        held: &[RequestId],
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Learns that a granted request got its first token; this is sent ahead of the release.
    fn progress(&mut self, progress: &ProgressNotice, now: MonoTime);

    /// Takes a backend server's load report.
    fn report(
        &mut self,
        backend: BackendId,
        report: &LoadReport,
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Takes a prefix-cache event of a backend server.
    fn cache_event(&mut self, backend: BackendId, event: CacheEvent, now: MonoTime);

    /// Drops the tickets of an entry VM that is gone, and frees its slots after a delay.
    fn instance_gone(&mut self, instance: InstanceId, now: MonoTime, out: &mut Vec<Decision>);

    /// Does what time alone causes; to be called every [`PoolConfig::tick_period`].
    fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>);

    /// Returns figures for screens and for spill-over.
    fn summary(&self, now: MonoTime) -> PoolSummary;

    /// Returns the figures of each backend server, for screens.
    fn backend_summaries(&self, now: MonoTime) -> Vec<BackendSummary>;

    /// Returns the state as text.
    fn dump(&self, now: MonoTime) -> String;

    /// Returns a copy of what [`Self::dump`] shows, whose text is written later.
    ///
    /// To write the text takes longer than to copy the state, so that a caller who holds a lock
    /// around the policy takes the copy under it and calls the result without it.
    fn dump_later(&self, now: MonoTime) -> DeferredText {
        let text = self.dump(now);
        Box::new(move || text)
    }

    /// Checks the invariants of the state.
    fn verify(&self) -> Result<(), VerifyError>;
}

/// A text that is written when it is called for.
pub type DeferredText = Box<dyn FnOnce() -> String + Send>;

/// The policies that can be chosen in settings and experiments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Tiers, deadlines, fairness, adaptive limits and ejection.
    #[default]
    Tiered,
    /// One FIFO queue and the backend servers in turn.
    RoundRobin,
    /// One FIFO queue and the backend server with the fewest requests outstanding.
    Least,
}

/// A text names no policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is no policy (expected `tiered`, `round-robin` or `least`)")]
pub struct ParsePolicyError {
    text: String,
}

impl PolicyKind {
    /// Every kind, the product's policy first.
    pub const ALL: [Self; 3] = [Self::Tiered, Self::RoundRobin, Self::Least];

    /// Returns the word of settings and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tiered => "tiered",
            Self::RoundRobin => "round-robin",
            Self::Least => "least",
        }
    }
}

impl std::fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for PolicyKind {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ParsePolicyError {
                text: text.chars().take(40).collect(),
            })
    }
}

/// Opens a pool's policy, empty, to be filled by the first calls.
pub fn open(kind: PolicyKind, config: PoolConfig) -> Box<dyn PoolPolicy> {
    match kind {
        PolicyKind::Tiered => Box::new(TieredPool::open(config)),
        PolicyKind::RoundRobin => Box::new(FifoPool::open(FifoOrder::RoundRobin, config)),
        PolicyKind::Least => Box::new(FifoPool::open(FifoOrder::Least, config)),
    }
}
