//! Stand-ins for the users' platform, written from its published documentation.
//!
//! The key-value store supports revisions, leases, a history of changes and watches. Engines are
//! scripted, so that a test determines every byte that a connection carries.

mod duty_checker;
mod engine_link;
mod faulty_link;
mod provider;
mod scaling_provider;
mod scripted_engine;
mod users_store;
mod wire_reader;

pub use duty_checker::{DutyChecker, ProviderCall};
pub use engine_link::{EngineLink, LinkCut};
pub use faulty_link::FaultyLink;
pub use provider::{ProviderMode, UsersProvider};
pub use scaling_provider::{ScalingProvider, SeenOrder};
pub use scripted_engine::{EngineReply, PacedEnd, ScriptedEngine, SeenRequest};
pub use users_store::{StoreCopy, StoreMode, UsersStore};
pub use wire_reader::{WireMessage, read_message};
