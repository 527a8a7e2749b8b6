//! The platform's services: the key-value service and the VM list.
//!
//! [`KeyValueStore`] and [`VmList`] are the border; [`PlatformClient`] implements them over HTTP
//! (docs/PLATFORM-INTERFACE.md). Nothing in this package repeats a call by itself, and every
//! error says whether the call may have taken effect.

mod budget;
mod client;
mod client_thread;
mod store;
pub mod wire;

pub use budget::{BudgetLimits, CallBudget, CallClass, CallKind};
pub use client::{ClientCounters, ClientSettings, PlatformClient, VALUE_LIMIT};
pub use store::{
    BoxFuture, Expected, KeyValueStore, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError,
    VmEntry, VmList, VmState, WatchBatch, WatchEvent,
};
