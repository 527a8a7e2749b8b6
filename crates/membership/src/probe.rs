//! Pending probes and the order in which members are probed.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

/// The purpose of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// A member of the local data centre is probed; `indirect_sent` tells whether indirect probes
    /// have been requested.
    Local { indirect_sent: bool },
    /// A relay checks whether the member's data centre is reachable.
    Remote { centre: CentreId },
    /// Another member requested an indirect probe.
    Indirect { requester: InstanceId, nonce: u32 },
    /// This instance was paused and needs an acknowledgement from any member.
    Resume,
}

/// A pending probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) kind: ProbeKind,
    /// The time at which indirect probes are requested.
    pub(crate) indirect_at: MonoTime,
    /// The time at which the probe counts as failed.
    pub(crate) expires_at: MonoTime,
}

/// The set of pending probes by nonce.
#[derive(Debug, Default)]
pub(crate) struct ProbeSet {
    probes: BTreeMap<u32, Probe>,
    next: u32,
}

impl ProbeSet {
    pub(crate) fn start(&mut self, probe: Probe) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.probes.insert(self.next, probe);
        self.next
    }

    pub(crate) fn finish(&mut self, nonce: u32) -> Option<Probe> {
        self.probes.remove(&nonce)
    }

    pub(crate) fn get(&self, nonce: u32) -> Option<&Probe> {
        self.probes.get(&nonce)
    }

    /// Returns whether a local probe of a member is pending.
    pub(crate) fn is_probing(&self, target: InstanceId) -> bool {
        self.probes
            .values()
            .any(|p| p.target == target && matches!(p.kind, ProbeKind::Local { .. }))
    }

    /// Marks the local probes for which indirect probes are due, and returns their nonces and
    /// targets.
    pub(crate) fn take_indirect_due(&mut self, now: MonoTime) -> Vec<(u32, InstanceId)> {
        let mut due = Vec::new();
        for (nonce, probe) in &mut self.probes {
            let not_indirect = probe.kind
                == ProbeKind::Local {
                    indirect_sent: false,
                };
            if not_indirect && probe.indirect_at <= now {
                probe.kind = ProbeKind::Local {
                    indirect_sent: true,
                };
                due.push((*nonce, probe.target));
            }
        }
        due
    }

    /// Removes and returns the probes that have expired.
    pub(crate) fn take_expired(&mut self, now: MonoTime) -> Vec<Probe> {
        let failed: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.expires_at <= now)
            .map(|(nonce, _)| *nonce)
            .collect();
        failed
            .into_iter()
            .filter_map(|nonce| self.probes.remove(&nonce))
            .collect()
    }

    /// Extends every pending probe after a gap in which this instance did not run.
    pub(crate) fn extend(&mut self, by: Span) {
        for probe in self.probes.values_mut() {
            probe.indirect_at = probe.indirect_at + by;
            probe.expires_at = probe.expires_at + by;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }
}

/// Iterates over a changing set in shuffled rounds, each element at most once per round.
#[derive(Debug)]
pub(crate) struct ProbeRound<T> {
    pending: Vec<T>,
}

impl<T: Copy + PartialEq> ProbeRound<T> {
    pub(crate) fn new() -> Self {
        Self {
            pending: Vec::new(),
        }
    }

    /// Returns the next element of the round that is in `all`, and starts a new round after the
    /// last.
    pub(crate) fn next(&mut self, all: &[T], rng: &mut impl Rng) -> Option<T> {
        while let Some(next) = self.pending.pop() {
            if all.contains(&next) {
                return Some(next);
            }
        }
        self.pending.extend_from_slice(all);
        self.pending.shuffle(rng);
        self.pending.pop()
    }
}
