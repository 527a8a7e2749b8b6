//! Claims about the state of an instance, and the join of two claims.
//!
//! Claims about one instance form a join semilattice, so that the order, loss and repetition of
//! messages do not matter. Only the instance itself advances the sequence: a claim with a higher
//! sequence replaces earlier ones. At the same sequence the later phase and the worse health win.
//! [`Health::Final`] overrides everything: it is claimed only of an instance that announced its own
//! end or at whose address another instance answered.

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The lifecycle phase of an instance, as the instance itself announced it or as the platform's VM
/// list requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The instance is not ready to serve.
    Joining,
    /// The instance serves requests.
    Live,
    /// The instance accepts no new work.
    Leaving,
}

/// The health of an instance as found by the failure detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The instance responds to probes.
    Alive,
    /// The instance failed a probe.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Gone,
    /// The instance ended and never returns.
    Final,
}

/// A claim about the state of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that the claim is about.
    pub instance: InstanceId,
    /// The instance's data centre.
    pub centre: CentreId,
    /// The sequence number, which only the instance itself advances.
    pub sequence: u32,
    /// The instance's lifecycle phase.
    pub phase: Phase,
    /// The instance's health.
    pub health: Health,
    /// The instance's relative capacity.
    pub weight: u16,
    /// The newest revision of the records that the instance applies; it never decreases.
    pub revision: Revision,
}

/// The part of a claim that a join changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum JoinChange {
    Nothing,
    Revision,
    State,
}

impl Claim {
    /// Joins another claim about the same instance into this one.
    pub(crate) fn join(&mut self, other: &Self) -> JoinChange {
        let before = *self;
        self.revision = self.revision.max(other.revision);
        if self.health != Health::Final {
            self.join_state(other);
        }
        let newer = self.revision;
        if (Self {
            revision: newer,
            ..before
        }) != *self
        {
            JoinChange::State
        } else if before.revision != newer {
            JoinChange::Revision
        } else {
            JoinChange::Nothing
        }
    }

    fn join_state(&mut self, other: &Self) {
        if other.health == Health::Final {
            self.health = Health::Final;
        } else if other.sequence > self.sequence {
            let revision = self.revision;
            *self = Self { revision, ..*other };
        } else if other.sequence == self.sequence {
            self.phase = self.phase.max(other.phase);
            self.health = self.health.max(other.health);
        }
    }

    /// Returns the join of two claims about the same instance.
    #[must_use]
    pub fn joined(mut self, other: &Self) -> Self {
        self.join(other);
        self
    }

    /// Returns whether the instance counts as running.
    pub fn is_present(&self) -> bool {
        self.health < Health::Gone
    }

    /// Returns whether the instance may receive new work and roles.
    pub fn takes_work(&self) -> bool {
        self.is_present() && self.phase == Phase::Live
    }
}
