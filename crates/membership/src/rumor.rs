//! Rumours: changes that are still to be piggybacked on other datagrams.
//!
//! Each change is sent a number of times that grows with the logarithm of the number of receivers,
//! and those with the most sends left go first. Relays send it to other data centres too.

use std::collections::BTreeMap;

use oleander_base::prelude::*;

/// The factor by which the binary logarithm of the number of receivers is multiplied to get the
/// number of sends of a state change.
const REPEAT_FACTOR: u32 = 3;

/// Whether the receiver of a datagram is in the local data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// The receiver is in the local data centre.
    Local,
    /// The receiver is in another data centre.
    Remote,
}

#[derive(Debug, Clone, Copy, Default)]
struct RemainingSends {
    local: u32,
    remote: u32,
}

/// The queue of changes that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    member_states: BTreeMap<InstanceId, RemainingSends>,
    revisions: BTreeMap<InstanceId, u32>,
}

impl RumorQueue {
    /// Queues a member's state for as many sends as these numbers of members and data centres
    /// require.
    pub(crate) fn push(&mut self, instance: InstanceId, members: usize, centres: usize) {
        let remaining = RemainingSends {
            local: REPEAT_FACTOR * log2(members),
            remote: REPEAT_FACTOR * log2(centres),
        };
        self.member_states.insert(instance, remaining);
    }

    /// Queues a member's revision in force for as many sends as this number of members requires.
    pub(crate) fn push_revision(&mut self, instance: InstanceId, members: usize) {
        self.revisions.insert(instance, log2(members));
    }

    /// Takes up to `limit` states for one datagram, those with the most sends left first.
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

    /// Takes up to `limit` revisions for one datagram within the local data centre.
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

    /// Drops the remaining sends to other data centres, which only a relay makes.
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

/// Returns the number of bits needed to represent `n`, at least one.
fn log2(n: usize) -> u32 {
    (usize::BITS - n.leading_zeros()).max(1)
}
