//! Probes under way, and the order in which members are probed.

use std::collections::BTreeMap;

use oleander_base::prelude::*;
use rand::Rng;
use rand::seq::SliceRandom;

/// Why a member is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Its turn came inside the data centre; `asked` tells whether helpers were asked already.
    Inside { asked: bool },
    /// A relay looks whether the member's data centre can be seen.
    Across { centre: CentreId },
    /// Another member asked for it.
    OnBehalf { of: InstanceId, nonce: u32 },
    /// This instance woke up and wants to hear from anybody.
    WakeUp,
}

/// A probe under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) target: InstanceId,
    pub(crate) kind: ProbeKind,
    /// When helpers are asked.
    pub(crate) help_at: MonoTime,
    /// When the probe has failed.
    pub(crate) ends_at: MonoTime,
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
            .any(|p| p.target == target && matches!(p.kind, ProbeKind::Inside { .. }))
    }

    /// Marks the probes for which helpers are to be asked now, and returns them.
    pub(crate) fn take_unhelped(&mut self, now: MonoTime) -> Vec<(u32, InstanceId)> {
        let mut due = Vec::new();
        for (nonce, probe) in &mut self.probes {
            let unasked = probe.kind == ProbeKind::Inside { asked: false };
            if unasked && probe.help_at <= now {
                probe.kind = ProbeKind::Inside { asked: true };
                due.push((*nonce, probe.target));
            }
        }
        due
    }

    /// Removes and returns the probes that have failed.
    pub(crate) fn take_failed(&mut self, now: MonoTime) -> Vec<Probe> {
        let failed: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.ends_at <= now)
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
            probe.help_at = probe.help_at + by;
            probe.ends_at = probe.ends_at + by;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.probes.clear();
    }
}

/// A shuffled round over a changing set: everyone has a turn before anyone has a second one.
#[derive(Debug)]
pub(crate) struct ProbeRound<T> {
    waiting: Vec<T>,
}

impl<T: Copy + PartialEq> ProbeRound<T> {
    pub(crate) fn new() -> Self {
        Self {
            waiting: Vec::new(),
        }
    }

    /// Returns whose turn it is among those in `all`.
    pub(crate) fn next(&mut self, all: &[T], rng: &mut impl Rng) -> Option<T> {
        while let Some(turn) = self.waiting.pop() {
            if all.contains(&turn) {
                return Some(turn);
            }
        }
        self.waiting.extend_from_slice(all);
        self.waiting.shuffle(rng);
        self.waiting.pop()
    }
}
