//! The errors that the verification of a policy's state reports.

use oleander_base::prelude::*;
use thiserror::Error;

/// A broken invariant of a policy's state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum VerifyError {
    /// A queued ticket is missing from an index, or an index contains a ticket that is not queued.
    #[error("index `{index}` holds {held} entries for {wanted} queued tickets")]
    IndexSize {
        /// The name of the index.
        index: &'static str,
        /// The number of entries in the index.
        held: usize,
        /// The number of entries that it should have.
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
        /// The counted slots in use.
        counted: u32,
        /// The number of grants for this backend server.
        grants: u32,
    },
    /// A backend server's limit is out of bounds.
    #[error("{backend} has limit {limit} of {slots} slots")]
    LimitBounds {
        /// The backend server.
        backend: BackendId,
        /// The current limit.
        limit: u32,
        /// The slots of its record.
        slots: u32,
    },
    /// The queue is longer than its bound.
    #[error("{queued} tickets are queued, the bound is {bound}")]
    QueueBound {
        /// The number of queued tickets.
        queued: usize,
        /// The largest permitted number.
        bound: usize,
    },
    /// Every backend server that could take work is ejected; holds their number.
    #[error("all {0} usable backend servers are ejected")]
    PoolEmptied(usize),
}
