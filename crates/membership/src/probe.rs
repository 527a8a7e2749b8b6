//! Probes under way, and the order in which members are probed.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

/// Why a member is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Its turn came inside the data centre; `indirect_sent` tells whether helpers were asked already.
    Local { indirect_sent: bool },
    /// A relay looks whether the member's data centre can be seen.
    Remote { centre: CentreId },
    /// Another member asked for it.
    Indirect { requester: InstanceId, nonce: u32 },
    /// This instance woke up and wants to hear from anybody.
    Resume,
}

/// A probe under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) kind: ProbeKind,
    /// When helpers are asked.
    pub(crate) indirect_at: MonoTime,
    /// When the probe has failed.
    pub(crate) expires_at: MonoTime,
}

/// Probes under way by their number.
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

    /// Returns whether a member is being probed in its turn.
    pub(crate) fn is_probing(&self, target: InstanceId) -> bool {
        self.probes
            .values()
            .any(|p| p.target == target && matches!(p.kind, ProbeKind::Local { .. }))
    }

    /// Marks the probes for which helpers are to be asked now, and returns them.
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

    /// Removes and returns the probes that have failed.
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

    /// Gives every probe more time, because this instance was late itself.
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

/// A shuffled round over a changing set: everyone has a turn before anyone has a second one.
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

    /// Returns whose turn it is among those in `all`.
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
