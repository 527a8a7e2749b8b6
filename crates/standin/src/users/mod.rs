//! Stand-ins for the users' platform, written from its published pages.
//!
//! The store keeps revisions, leases, history and watches; engines are scripted, so that a test
//! writes the very bytes that a connection carries.

mod scripted_engine;
mod users_store;
mod wire_reader;

pub use scripted_engine::{EngineReply, ScriptedEngine, SeenRequest};
pub use users_store::{StoreMode, UsersStore};
pub use wire_reader::{WireMessage, read_message};
