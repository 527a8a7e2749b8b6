//! Claims: what one instance says about another, and how two claims are joined.
//!
//! Claims about one instance form a lattice, so that the order, loss and repetition of messages do
//! not matter. The instance itself owns the sequence: a claim with a higher one replaces what was
//! said before. At the same sequence the later phase and the worse health win. [`Health::Final`]
//! wins over everything: it is said only of an instance that ended by its own word, or at whose
//! address another instance answered.

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

/// How far an instance is in its life, by its own word or a sign that it must leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It is not ready to serve.
    Joining,
    /// It serves.
    Live,
    /// It takes no new work.
    Leaving,
}

/// Whether an instance answers, by the word of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Alive,
    /// It missed a probe.
    Suspect,
    /// It did not refute the suspicion in time.
    Gone,
    /// It ended and never comes back.
    Final,
}

/// What is claimed about one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// The number of the instance's last word on itself.
    pub sequence: u32,
    /// Its phase.
    pub phase: Phase,
    /// Its health.
    pub health: Health,
    /// Its size against the others.
    pub weight: u16,
    /// The newest records that it has in force; it only grows.
    pub revision: Revision,
}

/// What a join changed.
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

    /// Returns whether the instance is taken for running.
    pub fn is_present(&self) -> bool {
        self.health < Health::Gone
    }

    /// Returns whether the instance may be given new work and roles.
    pub fn takes_work(&self) -> bool {
        self.is_present() && self.phase == Phase::Live
    }
}
