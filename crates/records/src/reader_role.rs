//! Who reads the store for a data centre.
//!
//! The platform counts each call and a waiting watch as one, so two entry VMs of a data centre
//! read for all of it. They are chosen by rendezvous hashing over the live instances, so that
//! every process makes the same choice from the same membership, and a change of membership
//! moves as few roles as it can. The others check how long ago any reader last reached the store.
//! While that is too long, the role of a third reader passes from one instance to the next, so
//! that an instance that can still reach the store is found without all of them trying at once.

use std::hash::{Hash, Hasher};

use oleander_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// How many instances read for a data centre.
pub const READER_COUNT: usize = 2;

/// How often readers must reach the store, and how long a substitute tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderLimits {
    /// After how long without news from any reader a substitute begins.
    pub contact_timeout: Span,
    /// How long one instance is the substitute.
    pub substitute_turn: Span,
}

impl Default for ReaderLimits {
    fn default() -> Self {
        Self {
            contact_timeout: Span::from_secs(3),
            substitute_turn: Span::from_secs(2),
        }
    }
}

/// The readers of one data centre, in the order of their rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderRole {
    ranked: Vec<InstanceId>,
}

impl ReaderRole {
    /// Ranks the live instances of a data centre.
    pub fn choose(centre: CentreId, live: &[InstanceId]) -> Self {
        let mut ranked = live.to_vec();
        ranked.sort_unstable();
        ranked.dedup();
        ranked.sort_by_cached_key(|instance| rank(centre, instance));
        Self { ranked }
    }

    /// Returns the instances that read.
    pub fn readers(&self) -> &[InstanceId] {
        &self.ranked[..READER_COUNT.min(self.ranked.len())]
    }

    /// Returns whether an instance is to read, when some reader last reached the store
    /// `last_contact` ago.
    ///
    /// An instance that is not in the list reads for itself; it may be cut off from the others.
    pub fn is_reader(
        &self,
        instance: &InstanceId,
        last_contact: Span,
        limits: &ReaderLimits,
    ) -> bool {
        let Some(rank) = self.ranked.iter().position(|other| other == instance) else {
            return true;
        };
        rank < READER_COUNT || self.substitute(last_contact, limits) == Some(rank)
    }

    /// Returns the rank of the substitute whose turn it is.
    fn substitute(&self, last_contact: Span, limits: &ReaderLimits) -> Option<usize> {
        let others = self.ranked.len().checked_sub(READER_COUNT)?;
        if others == 0 || last_contact < limits.contact_timeout {
            return None;
        }
        let waited = last_contact.saturating_sub(limits.contact_timeout);
        let turn = waited.0 / limits.substitute_turn.0.max(1);
        Some(READER_COUNT + (turn % others as u64) as usize)
    }
}

fn rank(centre: CentreId, instance: &InstanceId) -> u64 {
    let mut hasher = Xxh3::new();
    centre.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
