//! The platform's services: the key-value service and the VM list.

mod store;

pub use store::{
    BoxFuture, Expected, KeyValueStore, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError,
    VmEntry, VmList, VmState, WatchBatch, WatchEvent,
};
