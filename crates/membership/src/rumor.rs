//! Rumours: changes that still have to be told, on the back of other datagrams.
//!
//! Each change is told a number of times that grows with the logarithm of the audience, the least
//! told first. Relays tell it to other data centres too.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

/// How many times the logarithm of the audience a change is told.
const REPEATS: u32 = 3;

/// How far a datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// To a member of the same data centre.
    Inside,
    /// To a member of another data centre.
    Across,
}

#[derive(Debug, Clone, Copy, Default)]
struct RumorCount {
    inside: u32,
    across: u32,
}

/// Changes that still have to be told.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    states: BTreeMap<InstanceId, RumorCount>,
    revisions: BTreeMap<InstanceId, u32>,
}

impl RumorQueue {
    /// Starts to tell a member's state to so many members and data centres.
    pub(crate) fn push(&mut self, instance: InstanceId, members: usize, centres: usize) {
        let count = RumorCount {
            inside: REPEATS * log2(members),
            across: REPEATS * log2(centres),
        };
        self.states.insert(instance, count);
    }

    /// Starts to tell a member's revision in force to so many members.
    pub(crate) fn push_revision(&mut self, instance: InstanceId, members: usize) {
        self.revisions.insert(instance, log2(members));
    }

    /// Takes up to `limit` states for one datagram, the least told first.
    pub(crate) fn take(&mut self, reach: Reach, limit: usize) -> Vec<InstanceId> {
        let mut waiting: Vec<_> = self
            .states
            .iter()
            .map(|(instance, count)| (*count.at(reach), *instance))
            .filter(|(left, _)| *left > 0)
            .collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        waiting.truncate(limit);
        for (_, instance) in &waiting {
            self.count_down(*instance, reach);
        }
        waiting.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Takes up to `limit` revisions for one datagram inside the data centre.
    pub(crate) fn take_revisions(&mut self, limit: usize) -> Vec<InstanceId> {
        let mut waiting: Vec<_> = self.revisions.iter().map(|(i, left)| (*left, *i)).collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        waiting.truncate(limit);
        for (left, instance) in &waiting {
            if *left > 1 {
                self.revisions.insert(*instance, left - 1);
            } else {
                self.revisions.remove(instance);
            }
        }
        waiting.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Drops what is only left for other data centres, which a member that is no relay never tells.
    pub(crate) fn drop_across(&mut self) {
        self.states.retain(|_, count| {
            count.across = 0;
            count.inside > 0
        });
    }

    fn count_down(&mut self, instance: InstanceId, reach: Reach) {
        let Some(count) = self.states.get_mut(&instance) else {
            return;
        };
        match reach {
            Reach::Inside => count.inside -= 1,
            Reach::Across => count.across -= 1,
        }
        if count.inside == 0 && count.across == 0 {
            self.states.remove(&instance);
        }
    }
}

impl RumorCount {
    fn at(&self, reach: Reach) -> &u32 {
        match reach {
            Reach::Inside => &self.inside,
            Reach::Across => &self.across,
        }
    }
}

/// Returns the number of bits that count to `n`, at least one.
fn log2(n: usize) -> u32 {
    (usize::BITS - n.leading_zeros()).max(1)
}
