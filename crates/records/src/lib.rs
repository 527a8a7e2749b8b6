//! Operators' records: customers, request classes, priorities, backend servers, planned stops.

mod data;
mod keys;

pub use keys::key_hash;

pub use data::{
    BackendKind, BackendRecord, ClassRecord, CustomerRecord, PriorityRecord, RecordSet,
    ServiceRoute, StopRecord, StopTarget, WantedState,
};
