//! Clients for the platform's services: the key-value store and the VM list.
//!
//! [`KeyValueStore`] and [`VmList`] define the interface; [`PlatformClient`] implements them over
//! HTTP (docs/PLATFORM-INTERFACE.md). An implementation of these traits never retries a call, and
//! every error says whether the call may have taken effect.
//!
//! [`RecordReader`] and [`RecordWriter`] build on these traits to read and write the operators'
//! records (docs/RECORDS.md), and [`LeaseHolder`] uses them to acquire and renew a lease.

mod boot_clock;
mod budget;
mod client;
mod client_store;
mod client_thread;
mod lease_holder;
mod lease_state;
mod record_reader;
mod record_writer;
mod store;
pub mod wire;

pub use boot_clock::boot_time;
pub use budget::{BudgetLimits, CallBudget, CallClass, CallKind, TokenBucket};
pub use client::{ClientCounters, ClientSettings, MAX_VALUE_BYTES, PlatformClient};
pub use lease_holder::{LeaseCounters, LeaseHolder, LeaseSettings};
pub use lease_state::HeldLease;
pub use record_reader::{ReaderCounters, ReaderEvent, ReaderSettings, ReaderSink, RecordReader};
pub use record_writer::{CompletedWrite, RecordWriter, WriteError};
pub use store::{
    BoxFuture, Expected, KeyValueStore, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError,
    VmEntry, VmList, VmState, WatchBatch, WatchEvent,
};
