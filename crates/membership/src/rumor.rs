//! Rumours: changes that still have to be told, on the back of other datagrams.
//!
//! Each change is told a number of times that grows with the logarithm of the audience, the least
//! told first. Relays tell it to other data centres too.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

/// How many times the logarithm of the audience a change is told.
const REPEAT_FACTOR: u32 = 3;

/// How far a datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// To a member of the same data centre.
    Local,
    /// To a member of another data centre.
    Remote,
}

#[derive(Debug, Clone, Copy, Default)]
struct RemainingSends {
    local: u32,
    remote: u32,
}

/// Changes that still have to be told.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    member_states: BTreeMap<InstanceId, RemainingSends>,
    revisions: BTreeMap<InstanceId, u32>,
}

impl RumorQueue {
    /// Starts to tell a member's state to so many members and data centres.
    pub(crate) fn push(&mut self, instance: InstanceId, members: usize, centres: usize) {
        let remaining = RemainingSends {
            local: REPEAT_FACTOR * log2(members),
            remote: REPEAT_FACTOR * log2(centres),
        };
        self.member_states.insert(instance, remaining);
    }

    /// Starts to tell a member's revision in force to so many members.
    pub(crate) fn push_revision(&mut self, instance: InstanceId, members: usize) {
        self.revisions.insert(instance, log2(members));
    }

    /// Takes up to `limit` states for one datagram, the least told first.
    pub(crate) fn take(&mut self, scope: Scope, limit: usize) -> Vec<InstanceId> {
        let mut pending: Vec<_> = self
            .member_states
            .iter()
            .map(|(instance, remaining)| (*remaining.sends_to(scope), *instance))
            .filter(|(sends_left, _)| *sends_left > 0)
            .collect();
        pending.sort_unstable_by(|a, b| b.cmp(a));
        pending.truncate(limit);
        for (_, instance) in &pending {
            self.count_down(*instance, scope);
        }
        pending.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Takes up to `limit` revisions for one datagram inside the data centre.
    pub(crate) fn take_revisions(&mut self, limit: usize) -> Vec<InstanceId> {
        let mut pending: Vec<_> = self
            .revisions
            .iter()
            .map(|(i, sends_left)| (*sends_left, *i))
            .collect();
        pending.sort_unstable_by(|a, b| b.cmp(a));
        pending.truncate(limit);
        for (sends_left, instance) in &pending {
            if *sends_left > 1 {
                self.revisions.insert(*instance, sends_left - 1);
            } else {
                self.revisions.remove(instance);
            }
        }
        pending.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Drops what is only left for other data centres, which a member that is no relay never tells.
    pub(crate) fn drop_remote(&mut self) {
        self.member_states.retain(|_, remaining| {
            remaining.remote = 0;
            remaining.local > 0
        });
    }

    fn count_down(&mut self, instance: InstanceId, scope: Scope) {
        let Some(remaining) = self.member_states.get_mut(&instance) else {
            return;
        };
        match scope {
            Scope::Local => remaining.local -= 1,
            Scope::Remote => remaining.remote -= 1,
        }
        if remaining.local == 0 && remaining.remote == 0 {
            self.member_states.remove(&instance);
        }
    }
}

impl RemainingSends {
    fn sends_to(&self, scope: Scope) -> &u32 {
        match scope {
            Scope::Local => &self.local,
            Scope::Remote => &self.remote,
        }
    }
}

/// Returns the number of bits that count to `n`, at least one.
fn log2(n: usize) -> u32 {
    (usize::BITS - n.leading_zeros()).max(1)
}
