//! The limits and periods of a pool's policy.

use oleander_base::prelude::*;

/// The kind of a pool's backend servers, which determines how work is counted.
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
    /// The kind of its backend servers.
    pub kind: PoolKind,
    /// The most tickets that may be queued.
    pub queue_bound: usize,
    /// How long a new policy grants nothing, so that entry VMs can first report the grants of the
    /// previous dispatcher.
    pub rebuild_span: Span,
    /// How often [`tick`](crate::PoolPolicy::tick) is called.
    pub tick_period: Span,
    /// How far a customer may exceed its fair share before deadlines stop counting, as time of the
    /// whole pool.
    pub fairness_window: Span,
    /// How long a class must be without a grant to be served ahead of tiers that are being shed.
    pub progress_span: Span,
    /// How long a pool must be saturated before it sheds tickets that will miss their target.
    pub overload_span: Span,
    /// The age of a report from which the load of other senders counts as unknown.
    pub report_stale: Span,
    /// How long a slot stays in use after the entry VM that held it is gone.
    pub orphan_delay: Span,
    /// How old a grant must be to count as ended when it is missing from an entry VM's list.
    pub reconcile_delay: Span,
    /// How long tickets wait if the pool has no usable backend server.
    pub no_backend_grace: Span,
    /// The first pause of an ejected backend server; each further ejection doubles it.
    pub ejection_pause: Span,
    /// The longest pause of an ejected backend server.
    pub ejection_pause_limit: Span,
    /// The fraction of a pool's backend servers that may be ejected at the same time, 0 to 1.
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
