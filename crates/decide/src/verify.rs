//! What a policy's verifier finds.

use oleander_base::prelude::*;
use thiserror::Error;

/// A broken invariant of a policy's state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// A queued ticket is missing from an index, or an index names a ticket that is not queued.
    #[error("index `{index}` holds {held} entries for {wanted} queued tickets")]
    IndexSize {
        /// The index.
        index: &'static str,
        /// Entries in the index.
        held: usize,
        /// Tickets that it should name.
        wanted: usize,
    },
    /// A request is both queued and granted.
    #[error("{0} is queued and holds a slot")]
    TwoStates(RequestId),
    /// A backend server's count of slots in use differs from its grants.
    #[error("{backend} counts {counted} slots for {grants} grants")]
    SlotCount {
        /// The backend server.
        backend: BackendId,
        /// What the count says.
        counted: u32,
        /// Grants that name it.
        grants: u32,
    },
    /// A backend server's limit lies outside of its bounds.
    #[error("{backend} has limit {limit} of {slots} slots")]
    LimitBounds {
        /// The backend server.
        backend: BackendId,
        /// The limit in force.
        limit: u32,
        /// The slots of its record.
        slots: u32,
    },
    /// The queue is longer than its bound.
    #[error("{queued} tickets are queued, the bound is {bound}")]
    QueueBound {
        /// Tickets that wait.
        queued: usize,
        /// The bound.
        bound: usize,
    },
    /// Every backend server that could take work is ejected.
    #[error("all {0} usable backend servers are ejected")]
    PoolEmptied(usize),
}
