//! Membership: which entry VMs there are, and which of them can be reached.
//!
//! The package is a pure state machine. Its driver, in `oleander-peer`, hands in the time, the
//! datagrams that arrived and what a dialled address answered; it carries out the actions that
//! come back. docs/MEMBERSHIP.md describes the protocol and its bounds.

mod centre;
mod claim;
mod discovery;
mod dissemination;
mod introspection;
mod lifecycle;
mod machine;
mod member;
mod probe;
mod probing;
mod receive;
mod relay;
mod rumor;
mod settings;
mod table;
mod view;
mod wire;

pub use claim::{Claim, Health, Phase};
pub use lifecycle::ListedVm;
pub use machine::{Membership, MembershipAction, SelfDescription};
pub use member::{Member, MemberState};
pub use settings::MembershipSettings;
pub use view::{CentreView, MemberView};
