//! Updates the tiered policy's estimates from the end of a grant.

use oleander_base::prelude::*;
use oleander_base::{EndKind, ReleaseNotice};

use crate::config::PoolKind;
use crate::grant_table::GrantEntry;
use crate::health::FailureEffect;
use crate::slot_limit::TargetSample;
use crate::speed::SpeedSample;
use crate::tiered::TieredPool;

/// The shortest answer, in tokens, from which the time between tokens is measured.
const GAP_TOKENS: u32 = 8;

impl TieredPool {
    /// Updates the estimates, limits and health from the end of a grant.
    pub(crate) fn observe_release(
        &mut self,
        entry: &GrantEntry,
        release: &ReleaseNotice,
        now: MonoTime,
    ) {
        match release.end {
            EndKind::Finished => self.observe_finished(entry, release, now),
            EndKind::Cancelled => {
                if release.tokens > 0
                    && let Some(state) = self.backends.get_mut(entry.backend)
                {
                    state.on_progress(now);
                }
            }
            EndKind::Failed | EndKind::Crashed => self.observe_failure(entry.backend, now),
            EndKind::Refused => {
                if let Some(state) = self.backends.get_mut(entry.backend) {
                    state.limit.on_refusal();
                }
                self.observe_failure(entry.backend, now);
            }
        }
    }

    /// Records a complete answer; for a plain service the whole answer counts as the first token.
    fn observe_finished(&mut self, entry: &GrantEntry, release: &ReleaseNotice, now: MonoTime) {
        let ticket = &entry.ticket;
        let is_engine = self.config.kind == PoolKind::Engines;
        if is_engine {
            self.lengths
                .observe(ticket.class, ticket.customer, release.tokens);
        }
        let gap_target = self
            .classes
            .get(&ticket.class)
            .map(|class| class.token_gap_target);
        let Some(state) = self.backends.get_mut(entry.backend) else {
            return;
        };
        state.on_progress(now);
        state.health.succeeded(state.view.slots, now);
        let first_token = if is_engine {
            release.first_token
        } else {
            Some(release.total)
        };
        let load = state.occupancy(now);
        state.speed.observe(&SpeedSample {
            work: if is_engine {
                f64::from(release.tokens)
            } else {
                1.0
            },
            first_token,
            is_first_token_known: entry.first_token_seen,
            total: release.total,
            load,
        });
        let gap = gap_target
            .filter(|_| is_engine)
            .and_then(|target| gap_sample(release, target));
        state
            .limit
            .observe(gap, first_token.map(|span| sample(span, ticket.target)));
    }

    fn observe_failure(&mut self, backend: BackendId, now: MonoTime) {
        let Some(state) = self.backends.get_mut(backend) else {
            return;
        };
        if state.health.failed(now) == FailureEffect::Eject {
            self.backends
                .eject(backend, self.config.ejection_share, now);
        }
    }
}

fn sample(observed: Span, target: Span) -> TargetSample {
    TargetSample {
        observed: observed.0 as f64,
        target: target.0 as f64,
    }
}

fn gap_sample(release: &ReleaseNotice, target: Span) -> Option<TargetSample> {
    if release.tokens < GAP_TOKENS {
        return None;
    }
    let streamed = release.total.saturating_sub(release.first_token?);
    Some(TargetSample {
        observed: streamed.0 as f64 / f64::from(release.tokens - 1),
        target: target.0 as f64,
    })
}
