//! Group membership and failure detection for entry VMs.
//!
//! The crate is a state machine that performs no I/O. Its driver, in `oleander-peer`, passes in the
//! time, received datagrams and the results of dialling addresses, and executes the returned
//! actions. docs/MEMBERSHIP.md describes the protocol and its bounds.

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
