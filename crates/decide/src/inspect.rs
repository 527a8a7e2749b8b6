//! Statistics, text dump and verification of the tiered policy's state.

use std::fmt::Write as _;

use oleander_base::prelude::*;

use crate::pool_queue::TicketKey;
use crate::queue_time::QueueTime;
use crate::summary::{ClassSummary, PoolSummary, TierSummary};
use crate::tiered::TieredPool;
use crate::verify::VerifyError;

/// A queued ticket in a dump; the order of the fields determines the order of the lines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedLine {
    tier: Tier,
    due: QueueTime,
    key: TicketKey,
    request: RequestId,
    class: ClassId,
    customer: CustomerId,
    expires: QueueTime,
    work: u32,
}

/// A grant in a dump; the order of the fields determines the order of the lines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct GrantedLine {
    granted: MonoTime,
    request: RequestId,
    backend: BackendId,
}

/// A copy of the state that a dump shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DumpCopy {
    head: String,
    queued: Vec<QueuedLine>,
    granted: Vec<GrantedLine>,
}

impl DumpCopy {
    /// Returns the text of the dump.
    pub(crate) fn write(mut self) -> String {
        let mut text = self.head;
        self.queued.sort_unstable();
        for line in &self.queued {
            let _ = writeln!(
                text,
                "  queued {} {} {} {} due {} expires {} work {}",
                line.request,
                line.tier,
                line.class,
                line.customer,
                line.due,
                line.expires,
                line.work
            );
        }
        self.granted.sort_unstable();
        for line in &self.granted {
            let _ = writeln!(
                text,
                "  granted {} {} at {}",
                line.request, line.backend, line.granted
            );
        }
        text
    }
}

impl TieredPool {
    /// Returns the statistics for screens and for spill-over.
    pub(crate) fn summarize(&self, now: MonoTime) -> PoolSummary {
        let states = || self.backends.iter().filter(|state| state.is_usable());
        let tiers = self.queue.tiers().map(|(tier, queue)| TierSummary {
            tier,
            queued: queue.len() as u32,
            expected_wait: self.expected_wait(tier, now).unwrap_or(Span::ZERO),
        });
        PoolSummary {
            pool: self.config.pool,
            slots_total: states().map(|state| state.ceiling(now)).sum(),
            slots_used: states().map(|state| state.in_use(now)).sum(),
            backends_usable: states().count() as u32,
            backends_ejected: states().filter(|s| s.health.is_ejected(now)).count() as u32,
            saturated: self.saturated_since.is_some(),
            tiers: tiers.collect(),
            classes: self.class_summaries(),
        }
    }

    /// Returns a copy of the state that a dump shows.
    pub(crate) fn dump_copy(&self, now: MonoTime) -> DumpCopy {
        let mut head = self.summarize(now).to_string();
        self.backends.dump(now, &mut head);
        let queued = self.queue.iter().map(|entry| QueuedLine {
            tier: entry.ticket.tier,
            due: entry.due,
            key: entry.key,
            request: entry.ticket.request,
            class: entry.ticket.class,
            customer: entry.ticket.customer,
            expires: entry.expires,
            work: entry.work,
        });
        let granted = self.grants.iter().map(|entry| GrantedLine {
            granted: entry.granted,
            request: entry.ticket.request,
            backend: entry.backend,
        });
        DumpCopy {
            head,
            queued: queued.collect(),
            granted: granted.collect(),
        }
    }

    /// Checks the invariants of the state.
    pub(crate) fn check(&self) -> Result<(), VerifyError> {
        self.queue.verify()?;
        self.backends.verify(self.latest_time)?;
        let bound = self.config.queue_bound;
        if self.queue.len() > bound {
            let queued = self.queue.len();
            return Err(VerifyError::QueueBound { queued, bound });
        }
        let twice = self.queue.iter().map(|entry| entry.ticket.request);
        if let Some(request) = twice.into_iter().find(|r| self.grants.contains(*r)) {
            return Err(VerifyError::TwoStates(request));
        }
        self.check_slots()
    }

    fn check_slots(&self) -> Result<(), VerifyError> {
        let mut counts: FastMap<BackendId, u32> = FastMap::default();
        for entry in self.grants.iter() {
            *counts.entry(entry.backend).or_default() += 1;
        }
        for state in self.backends.iter() {
            let backend = state.view.backend;
            let grants = counts.remove(&backend).unwrap_or(0);
            let counted = state.outstanding();
            if counted != grants {
                return Err(VerifyError::SlotCount {
                    backend,
                    counted,
                    grants,
                });
            }
        }
        match counts.into_iter().next() {
            None => Ok(()),
            Some((backend, grants)) => Err(VerifyError::SlotCount {
                backend,
                counted: 0,
                grants,
            }),
        }
    }

    fn class_summaries(&self) -> Vec<ClassSummary> {
        let accounts = self.ledger.accounts();
        accounts
            .map(|(class, account)| ClassSummary {
                class,
                queued: account.queued,
                running: account.running,
                granted: account.granted,
                granted_by_share: account.granted_by_share,
                shed: account.shed,
            })
            .collect()
    }
}
