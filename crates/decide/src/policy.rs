//! The interface between a pool's dispatcher and its scheduling policy.

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

/// A decision that the dispatcher must send to one entry VM.
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
    /// The request was shed and has not run.
    Shed(ShedNotice),
}

/// The policy of one pool: it queues tickets, grants slots and sheds.
///
/// A policy uses no clock, no socket and no random source. Every method takes the time, and
/// decisions for entry VMs are appended to `out` in the order in which they are made. Every offered
/// ticket gets exactly one outcome, a grant or a shed notice, unless its owner withdraws it or is
/// gone.
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

    /// Queues a ticket, or repeats its grant if it already has one.
    ///
    /// The call is idempotent for each request. A ticket that comes from another dispatcher keeps
    /// its place, because it carries the time that it has waited.
    fn offer(&mut self, ticket: Ticket, from: InstanceId, now: MonoTime, out: &mut Vec<Decision>);

    /// Removes a ticket whose request will not be sent, and frees its slot if it has one.
    fn withdraw(&mut self, request: RequestId, now: MonoTime, out: &mut Vec<Decision>);

    /// Frees a slot and updates the estimates from the entry VM's measurements.
    fn release(&mut self, release: &ReleaseNotice, now: MonoTime, out: &mut Vec<Decision>);

    /// Records a grant of an earlier dispatcher, regardless of any limit, because it is already in
    /// use.
    fn adopt(
        &mut self,
        held_grant: &HeldGrant,
        from: InstanceId,
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Compares the grants that an entry VM holds with those in use here.
    ///
    /// A grant of that entry VM that is missing from its list and older than
    /// [`PoolConfig::reconcile_delay`] was ended by a release that was lost; its slot is freed.
    fn reconcile(
        &mut self,
        from: InstanceId,
        held: &[RequestId],
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Records that a granted request got its first token; this is sent before the release.
    fn progress(&mut self, progress: &ProgressNotice, now: MonoTime);

    /// Applies a backend server's load report.
    fn report(
        &mut self,
        backend: BackendId,
        report: &LoadReport,
        now: MonoTime,
        out: &mut Vec<Decision>,
    );

    /// Applies a prefix-cache event of a backend server.
    fn cache_event(&mut self, backend: BackendId, event: CacheEvent, now: MonoTime);

    /// Removes the tickets of an entry VM that is gone, and frees its slots after a delay.
    fn instance_gone(&mut self, instance: InstanceId, now: MonoTime, out: &mut Vec<Decision>);

    /// Runs the time-driven work; must be called every [`PoolConfig::tick_period`].
    fn tick(&mut self, now: MonoTime, out: &mut Vec<Decision>);

    /// Returns the statistics of the pool, for screens and for spill-over.
    fn summary(&self, now: MonoTime) -> PoolSummary;

    /// Returns the statistics of each backend server, for screens.
    fn backend_summaries(&self, now: MonoTime) -> Vec<BackendSummary>;

    /// Returns the state as text.
    fn dump(&self, now: MonoTime) -> String;

    /// Returns a function that writes the text of [`Self::dump`] from a copy of the state.
    ///
    /// Writing the text takes longer than copying the state. A caller that holds a lock around the
    /// policy therefore takes the copy under the lock and calls the function after releasing it.
    fn dump_later(&self, now: MonoTime) -> DeferredText {
        let text = self.dump(now);
        Box::new(move || text)
    }

    /// Checks the invariants of the state.
    fn verify(&self) -> Result<(), VerifyError>;
}

/// A text that is written when the function is called.
pub type DeferredText = Box<dyn FnOnce() -> String + Send>;

/// The policies that settings and experiments can select.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Tiers, deadlines, fairness, adaptive limits and ejection.
    #[default]
    Tiered,
    /// One FIFO queue, with the backend servers in round-robin order.
    RoundRobin,
    /// One FIFO queue, with the backend server that has the fewest outstanding requests.
    Least,
}

/// A text that is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{text}` is no policy (expected `tiered`, `round-robin` or `least`)")]
pub struct ParsePolicyError {
    text: String,
}

impl PolicyKind {
    /// Every kind, with the default policy first.
    pub const ALL: [Self; 3] = [Self::Tiered, Self::RoundRobin, Self::Least];

    /// Returns the name used in settings and reports.
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

/// Creates an empty policy for a pool.
pub fn open(kind: PolicyKind, config: PoolConfig) -> Box<dyn PoolPolicy> {
    match kind {
        PolicyKind::Tiered => Box::new(TieredPool::open(config)),
        PolicyKind::RoundRobin => Box::new(FifoPool::open(FifoOrder::RoundRobin, config)),
        PolicyKind::Least => Box::new(FifoPool::open(FifoOrder::Least, config)),
    }
}
