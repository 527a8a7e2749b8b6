//! The public description of a member.

use std::fmt;

use oleander_base::prelude::*;

/// The state of a member in the view of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// The member responds to probes but is not ready to serve.
    Joining,
    /// The member serves requests.
    Live,
    /// The member failed a probe; it counts as serving until the suspicion times out or is refuted.
    Suspect,
    /// The member completes its requests and accepts no new work.
    Leaving,
    /// The member's data centre is cut off from this instance; the member may be alive.
    Unreachable,
    /// The member ended, was replaced or failed to refute a suspicion.
    Gone,
}

impl MemberState {
    /// Returns the name that dumps and screens show.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Gone => "gone",
        }
    }

    /// Returns whether a member in this state may receive new work and roles.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }

    /// Returns whether messages to a member in this state are expected to arrive.
    pub fn is_reachable(self) -> bool {
        matches!(
            self,
            Self::Joining | Self::Live | Self::Suspect | Self::Leaving
        )
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One member of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The member's data centre.
    pub centre: CentreId,
    /// The member's relative capacity; roles are assigned in proportion to it.
    pub weight: u16,
    /// The member's state in the view of this instance.
    pub state: MemberState,
    /// The newest revision of the records that the member is known to apply.
    ///
    /// It is kept up to date only for members of the local data centre; for another one, see
    /// [`crate::CentreView::oldest_revision`].
    pub revision: Revision,
    /// The time at which the phase or health last changed, on this instance's clock.
    pub since: MonoTime,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} weight {} revision {} since {}",
            self.instance, self.centre, self.state, self.weight, self.revision, self.since
        )
    }
}
