//! The border to the platform: traits that the rest of the system calls.

use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::prelude::*;
use thiserror::Error;

/// A boxed future that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A lease that was granted, with its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: LeaseId,
    /// How long it lasts without renewal, from when the request for it was sent.
    pub time_to_live: Duration,
    /// The revision at the grant; a later grant has a larger one.
    pub fencing: Revision,
}

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// The revision of the last write to this key.
    pub revision: Revision,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListPage {
    /// Entries in the order of their keys.
    pub entries: Vec<StoreEntry>,
    /// The service's revision when the page was read.
    pub revision: Revision,
    /// Whether further entries follow the last one.
    pub more: bool,
}

/// What a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key's last write has this revision.
    At(Revision),
}

/// One change that a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// The new value, or none if the key was deleted.
    pub value: Option<Bytes>,
    /// The revision of the change.
    pub revision: Revision,
}

/// What a watch returned.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Changes in the order of their revisions; empty if the wait ran out.
    pub events: Vec<WatchEvent>,
    /// The revision up to which the watcher is now informed.
    pub revision: Revision,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The write found something else than it expected, and did nothing.
    #[error("conflict: the key is at revision {current:?}")]
    Conflict {
        /// The revision found, or none if the key is absent.
        current: Option<Revision>,
    },
    /// The call did not take effect.
    #[error("the platform's service is not available: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The call may have taken effect; read the key again to settle it.
    #[error("the outcome of the call is unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The service or our own budget refused the call; it did not take effect.
    #[error("over the call budget; try again in {retry_after:?}")]
    OverBudget {
        /// When to try again.
        retry_after: Duration,
    },
    /// The value is larger than the service holds.
    #[error("a value of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The watch asked for a revision that is no longer kept; list again.
    #[error("changes before revision {oldest} are no longer kept")]
    Compacted {
        /// The oldest revision that a watch may start from.
        oldest: Revision,
    },
    /// The lease is not known any more.
    #[error("the lease has lapsed")]
    LeaseLapsed,
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// The platform's key-value service.
///
/// Every method is one call of the service. Implementations never repeat a call by themselves.
pub trait KeyValueStore: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Reads a page of the keys under `prefix` that come after `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<ListPage, StoreError>>;

    /// Writes a key if it is as expected; a key with a lease goes when the lease lapses.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Deletes a key if it is as expected.
    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: Expected,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>>;

    /// Takes out a lease.
    fn grant_lease(&self, time_to_live: Duration) -> BoxFuture<'_, Result<LeaseGrant, StoreError>>;

    /// Renews a lease; it then lasts its full time from when the call was sent.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Gives a lease back; its keys go at once.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// The state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to go.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's address.
    pub address: IpAddr,
    /// The port of the peers' socket or of the backend server, if the platform knows it.
    pub port: Option<u16>,
    /// Its state, which lags.
    pub state: VmState,
}

/// The platform's VM list.
pub trait VmList: Send + Sync {
    /// Reads the whole list; one call.
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, StoreError>>;
}
