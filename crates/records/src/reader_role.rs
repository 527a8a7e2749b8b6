//! Selection of the instances that read the key-value store for a data centre.
//!
//! The platform counts every call, and a pending watch as one call, so only two entry VMs read for
//! their data centre. They are chosen by rendezvous hashing over the live instances: every process
//! makes the same choice from the same membership, and a change of membership reassigns as few
//! roles as possible. The other instances check how long ago any reader last reached the key-value
//! store. While that is too long, the role of a third reader rotates through them, so that an
//! instance that can still reach the key-value store is found without all of them trying at once.

use std::hash::{Hash, Hasher};

use oleander_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

/// The number of regular readers in a data centre.
pub const READER_COUNT: usize = 2;

/// The timeouts that control substitute readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderLimits {
    /// The time without contact between any reader and the key-value store after which a substitute
    /// starts to read.
    pub contact_timeout: Span,
    /// The time for which one instance is the substitute.
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

/// The live instances of one data centre in the order of their rank; the first ones are readers.
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

    /// Returns the regular readers, without the substitute.
    pub fn readers(&self) -> &[InstanceId] {
        &self.ranked[..READER_COUNT.min(self.ranked.len())]
    }

    /// Returns whether an instance reads, given that some reader last reached the key-value store
    /// `last_contact` ago.
    ///
    /// An instance that is not in the list reads for itself, as it may be partitioned from the
    /// others.
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

    /// Returns the rank of the current substitute, or none if no substitute is needed.
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
