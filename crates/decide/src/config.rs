//! The bounds and periods of a pool's policy.

use oleander_base::prelude::*;

/// What a pool's backend servers are, which decides how their work is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines: work is counted in tokens of the answer.
    Engines,
    /// Plain services: work is counted in calls.
    Services,
}

/// The settings of one pool's policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    /// The pool.
    pub pool: PoolId,
    /// What its backend servers are.
    pub kind: PoolKind,
    /// The most tickets that may wait.
    pub queue_bound: usize,
    /// For how long a new policy grants nothing, so that entry VMs can first tell of the grants of
    /// the dispatcher before.
    pub rebuild_span: Span,
    /// How often [`tick`](crate::PoolPolicy::tick) is called.
    pub tick_period: Span,
    /// How far a customer may run ahead of its fair share before deadlines stop counting, as time
    /// of the whole pool.
    pub fairness_window: Span,
    /// A class that got no grant for so long may be served ahead of tiers that are being shed.
    pub progress_span: Span,
    /// How long a pool has to be saturated before it gives up tickets that will miss their target.
    pub overload_span: Span,
    /// How old a report may become before the load of other senders counts as unknown.
    pub report_stale: Span,
    /// How long a slot stays in use after the entry VM that held it is gone.
    pub orphan_delay: Span,
    /// How old a grant must be for its absence from an entry VM's list to mean that it ended.
    pub reconcile_delay: Span,
    /// How long tickets wait for a backend server if the pool has none.
    pub no_backend_grace: Span,
    /// The first pause of an ejected backend server; each further failure doubles it.
    pub ejection_pause: Span,
    /// The longest pause of an ejected backend server.
    pub ejection_pause_limit: Span,
    /// The share of a pool's backend servers that may be ejected at once, 0 to 1.
    pub ejection_share: f64,
}

impl PoolConfig {
    /// Returns the defaults for a pool of model engines.
    pub fn engines(pool: PoolId) -> Self {
        Self {
            pool,
            kind: PoolKind::Engines,
            queue_bound: 10_000,
            rebuild_span: Span::ZERO,
            tick_period: Span::from_millis(20),
            fairness_window: Span::from_millis(250),
            progress_span: Span::from_secs(10),
            overload_span: Span::from_millis(500),
            report_stale: Span::from_secs(5),
            orphan_delay: Span::from_secs(2),
            reconcile_delay: Span::from_secs(5),
            no_backend_grace: Span::from_secs(2),
            ejection_pause: Span::from_secs(1),
            ejection_pause_limit: Span::from_secs(30),
            ejection_share: 0.5,
        }
    }

    /// Returns the defaults for a pool of plain services.
    pub fn services(pool: PoolId) -> Self {
        Self {
            kind: PoolKind::Services,
            ..Self::engines(pool)
        }
    }
}
