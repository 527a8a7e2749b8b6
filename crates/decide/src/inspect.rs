//! What the tiered policy shows of its state: figures, text and the verifier.

use std::fmt::Write as _;

use oleander_base::prelude::*;

use crate::summary::{ClassSummary, PoolSummary, TierSummary};
use crate::tiered::TieredPool;
use crate::verify::VerifyError;

impl TieredPool {
    /// Returns figures for screens and for spill-over.
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
            saturated: self.saturated.is_some(),
            tiers: tiers.collect(),
            classes: self.class_summaries(),
        }
    }

    /// Returns the state as text.
    pub(crate) fn dump_text(&self, now: MonoTime) -> String {
        let mut text = self.summarize(now).to_string();
        self.backends.dump(now, &mut text);
        let mut entries: Vec<_> = self.queue.iter().collect();
        entries.sort_unstable_by_key(|entry| (entry.ticket.tier, entry.due, entry.key));
        for entry in entries {
            let ticket = &entry.ticket;
            let _ = writeln!(
                text,
                "  queued {} {} {} {} due {} expires {} work {}",
                ticket.request,
                ticket.tier,
                ticket.class,
                ticket.customer,
                entry.due,
                entry.expires,
                entry.work
            );
        }
        let mut grants: Vec<_> = self.grants.iter().collect();
        grants.sort_unstable_by_key(|entry| (entry.granted, entry.ticket.request));
        for entry in grants {
            let _ = writeln!(
                text,
                "  granted {} {} at {}",
                entry.ticket.request, entry.backend, entry.granted
            );
        }
        text
    }

    /// Checks the invariants of the state.
    pub(crate) fn check(&self) -> Result<(), VerifyError> {
        self.queue.verify()?;
        self.backends.verify(self.latest)?;
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
