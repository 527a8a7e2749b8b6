//! Which suspects are at fault for crashes that several of them share.
//!
//! A crash is the fault of one of the suspects that its backend server had. Suspects that occur together
//! share crashes, so that one part of all prompts has the crashes of all parts that do crash backend servers.
//! An answer tells them apart: a suspect with an answer since is sound, and one with an answer not long
//! before is at fault only if it takes too many others to account for its crashes.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::suspect_crashes::{MIN_CRASHES, SuspectCrashes};
use crate::suspect_id::SuspectId;

/// The greatest number of suspects that are at fault at the same time rather than one that had an answer
/// lately.
const MAX_CULPRITS: usize = 5;

/// All suspects of a table.
pub(crate) type SuspectMap = FastMap<SuspectId, SuspectCrashes>;

/// Returns whether others are at fault for the crashes of a suspect that had an answer lately.
pub(crate) fn is_accounted_for(
    suspects: &SuspectMap,
    id: SuspectId,
    state: &SuspectCrashes,
    now: MonoTime,
) -> bool {
    if !state.is_proven(now) || state.crashes.len() >= MAX_CULPRITS * MIN_CRASHES {
        return false;
    }
    let others: Vec<&SuspectCrashes> = suspects
        .iter()
        .filter(|(other_id, other)| **other_id != id && !other.is_proven(now))
        .map(|(_, other)| other)
        .collect();
    let mut left: Vec<u64> = state.crashes.iter().map(|crash| crash.backend).collect();
    let allowed = unseen_crashes(state);
    for _ in 0..MAX_CULPRITS {
        if left.len() <= allowed {
            return true;
        }
        let shared = |other: &&SuspectCrashes| count_shared(other, &left);
        let Some(other) = others.iter().copied().max_by_key(shared) else {
            return false;
        };
        left.retain(|backend| !other.has_crash(*backend));
    }
    left.len() <= allowed
}

/// Returns whether one suspect that a request lacks is a better explanation of another one's crashes.
///
/// That one has more crashes, all of the other one's among them. A request is preferred to a part with the
/// same ones, because fewer requests are turned away if that is wrong.
pub(crate) fn is_attributed_elsewhere(
    suspects: &SuspectMap,
    state: &SuspectCrashes,
    ids: &[SuspectId],
) -> bool {
    suspects.iter().any(|(other_id, other)| {
        let is_better = match other_id {
            SuspectId::Part { .. } => other.crashes.len() > state.crashes.len(),
            SuspectId::Request(_) => other.crashes.len() >= state.crashes.len(),
        };
        other.is_quarantined
            && is_better
            && !ids.contains(other_id)
            && count_missing(state, other) == 0
    })
}

/// Returns whether parts that a request lacks may be at fault for all crashes of one of its suspects, so
/// that an answer to this request would tell.
pub(crate) fn is_disputed(
    suspects: &SuspectMap,
    state: &SuspectCrashes,
    ids: &[SuspectId],
    now: MonoTime,
) -> bool {
    let others: Vec<&SuspectCrashes> = suspects
        .iter()
        .filter(|(other_id, _)| !other_id.is_request() && !ids.contains(other_id))
        .map(|(_, other)| other)
        .filter(|other| !other.is_proven(now))
        .collect();
    let is_shared = |backend: u64| others.iter().any(|other| other.has_crash(backend));
    state.crashes.iter().all(|crash| is_shared(crash.backend))
}

/// Returns how many crashes of a suspect others may lack, because the gateway that saw them is gone.
fn unseen_crashes(state: &SuspectCrashes) -> usize {
    state.crashes.len() / 4
}

/// Returns the number of a suspect's crashes that another one lacks.
fn count_missing(state: &SuspectCrashes, other: &SuspectCrashes) -> usize {
    let crashes = state.crashes.iter();
    let missing = crashes.filter(|crash| !other.has_crash(crash.backend));
    missing.count()
}

fn count_shared(state: &SuspectCrashes, backends: &[u64]) -> usize {
    let shared = backends.iter().filter(|backend| state.has_crash(**backend));
    shared.count()
}
