//! One member as the rest of the program sees it.

use std::fmt;

use oleander_base::prelude::*;

/// The state of a member in the view of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers but is not ready to serve.
    Joining,
    /// The member serves.
    Live,
    /// The member missed a probe; it serves until the suspicion is confirmed or refuted.
    Suspect,
    /// The member serves what it holds and takes no new work.
    Leaving,
    /// The member's data centre cannot be seen; the member may well be alive.
    Unreachable,
    /// The member left, was replaced or stopped answering.
    Gone,
}

impl MemberState {
    /// Returns the word that dumps and screens show.
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

    /// Returns whether new work and roles may go to a member in this state.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }

    /// Returns whether messages to a member in this state can be expected to arrive.
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
    /// Its data centre.
    pub centre: CentreId,
    /// Its size against the others; roles are given in proportion to it.
    pub weight: u16,
    /// Its state in the view of this instance.
    pub state: MemberState,
    /// The newest records that it is known to have in force.
    ///
    /// It is kept up to date inside our data centre only; of another one, see
    /// [`crate::CentreView::oldest_revision`].
    pub revision: Revision,
    /// When the state last changed, on this instance's clock.
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
