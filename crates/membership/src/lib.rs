//! Membership: which entry VMs there are, and which of them can be reached.
//!
//! The package is a pure state machine. Its driver, in `oleander-peer`, hands in the time, the
//! messages that arrived and what a dialled address answered; it carries out the actions that come
//! back. docs/MEMBERSHIP.md describes the protocol and its bounds.

mod member;
mod view;

pub use member::{Member, MemberState};
pub use view::{CentreView, MemberView};
