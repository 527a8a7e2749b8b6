//! Counts the requests that begin at backend servers, and keeps replicas of the counts of a few other gateways, so that
//! they are reported also if such a gateway ends.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use oleander_balance::{UsageCounts, UsageLog};
use oleander_base::FastMap;
use oleander_platform::boot_time;

use crate::peer_message::UsageBatch;
use crate::prelude::*;

/// The most other processes whose counts are kept. A gateway is the replica of about two others, and of more while the
/// fleet changes.
const MAX_REPLICAS: usize = 64;

/// How long a process may send nothing before each answer to the holder includes its counts: it has most likely ended.
const SILENCE: Span = Span::from_millis(1_500);

/// The counts of this gateway and those that it keeps for others. Times are of the clock that keeps
/// running while the machine is suspended.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    /// A random number that names this process.
    incarnation: u64,
    own: RefCell<UsageLog>,
    replicas: RefCell<FastMap<u64, ReplicaLog>>,
    /// Events of other processes that did not arrive here.
    missed: Cell<u64>,
}

/// What is kept for another process.
#[derive(Debug, Default)]
struct ReplicaLog {
    log: UsageLog,
    /// The index after the last event that was received.
    next: Option<u64>,
    heard_at: MonoTime,
}

/// The counts of another process.
#[derive(Debug)]
pub(super) struct ReplicaCounts {
    pub(super) incarnation: u64,
    pub(super) counts: UsageCounts,
}

impl UsageCounter {
    pub(super) fn open(incarnation: u64) -> Self {
        Self {
            incarnation,
            own: RefCell::default(),
            replicas: RefCell::default(),
            missed: Cell::new(0),
        }
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Counts a request that began at a backend server at `at`.
    pub(crate) fn record(&self, at: MonoTime, customer: &Arc<str>) {
        self.own.borrow_mut().record(at, Arc::clone(customer));
    }

    /// Calls a function with the counts of this gateway.
    pub(super) fn with_own<T>(&self, work: impl FnOnce(&UsageLog) -> T) -> T {
        work(&self.own.borrow())
    }

    /// Returns the counts of the processes that are silent, or of all.
    pub(super) fn replica_counts(
        &self,
        from: MonoTime,
        to: MonoTime,
        tells_all: bool,
    ) -> Vec<ReplicaCounts> {
        let now = boot_time();
        let is_told = |kept: &ReplicaLog| tells_all || now.since(kept.heard_at) > SILENCE;
        let replicas = self.replicas.borrow();
        let told = replicas.iter().filter(|(_, kept)| is_told(kept));
        told.map(|(incarnation, kept)| ReplicaCounts {
            incarnation: *incarnation,
            counts: kept.log.counts(from, to),
        })
        .filter(|replica| !replica.counts.is_empty())
        .collect()
    }

    /// Keeps the counts that another process sent. Events that were received before are passed over.
    pub(super) fn keep(&self, batch: &UsageBatch) {
        let now = boot_time();
        let mut replicas = self.replicas.borrow_mut();
        let is_known = replicas.contains_key(&batch.incarnation);
        if !is_known && replicas.len() >= MAX_REPLICAS {
            return;
        }
        let kept = replicas.entry(batch.incarnation).or_default();
        kept.heard_at = now;
        let next = kept.next.unwrap_or(batch.first);
        self.missed
            .set(self.missed.get() + batch.first.saturating_sub(next));
        let skipped = usize::try_from(next.saturating_sub(batch.first)).unwrap_or(usize::MAX);
        let names: Vec<Arc<str>> = batch.names.iter().map(|name| Arc::from(&**name)).collect();
        for event in batch.events.iter().skip(skipped) {
            if let Some(customer) = names.get(usize::from(event.customer)) {
                let age = Span::from_millis(u64::from(event.age_ms));
                let at = MonoTime(now.0.saturating_sub(age.0));
                kept.log.record(at, Arc::clone(customer));
            }
        }
        kept.next = Some(next.max(batch.first + batch.events.len() as u64));
    }

    /// Drops what no window can ask for any more.
    pub(super) fn prune(&self, retention: Span) {
        let now = boot_time();
        let oldest = MonoTime(now.0.saturating_sub(retention.0));
        self.own.borrow_mut().prune(oldest);
        self.replicas.borrow_mut().retain(|_, kept| {
            kept.log.prune(oldest);
            now.since(kept.heard_at) <= retention
        });
    }

    /// Returns how many events did not arrive: datagrams from others, and own ones over the bound.
    pub(super) fn not_delivered(&self) -> u64 {
        self.missed.get() + self.with_own(UsageLog::lost)
    }
}
