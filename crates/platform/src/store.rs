//! Defines the traits and types through which the rest of the system calls the platform.

use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use oleander_base::prelude::*;
use thiserror::Error;

/// A boxed future that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Identifies a lease of the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// Describes a lease that was granted, with its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The ID of the lease.
    pub lease: LeaseId,
    /// The duration of the lease without renewal, from the time at which the request for it was
    /// sent.
    pub time_to_live: Duration,
    /// The revision at the grant; a later grant has a larger one.
    pub fencing: Revision,
}

/// Holds one key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// The value, at most 1 MiB.
    pub value: Bytes,
    /// The revision of the last write to this key.
    pub revision: Revision,
}

/// Holds one page of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListPage {
    /// The entries in the order of their keys.
    pub entries: Vec<StoreEntry>,
    /// The store's revision when the page was read.
    pub revision: Revision,
    /// Whether further entries follow the last one.
    pub more: bool,
}

/// States what a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key's last write has this revision.
    At(Revision),
}

/// Describes one change that a watch returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The revision of the change.
    pub revision: Revision,
}

/// Holds the result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// The changes in the order of their revisions; empty if the wait ended without one.
    pub events: Vec<WatchEvent>,
    /// The revision up to which the watcher has received all changes.
    pub revision: Revision,
}

/// Reports why a call to the platform's services failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The key was not in the state that the write expected; the write did not take effect.
    #[error("conflict: the key is at revision {current:?}")]
    Conflict {
        /// The revision found, or `None` if the key is absent.
        current: Option<Revision>,
    },
    /// The call did not take effect.
    #[error("the platform's service is not available: {reason}")]
    Unavailable {
        /// The error that was observed.
        reason: String,
    },
    /// The call may have taken effect; reading the key again resolves the outcome.
    #[error("the outcome of the call is unknown: {reason}")]
    Unknown {
        /// The error that was observed.
        reason: String,
    },
    /// The service or this process's own limits refused the call; it did not take effect.
    #[error("over the call budget; try again in {retry_after:?}")]
    OverBudget {
        /// The time to wait before the next attempt.
        retry_after: Duration,
    },
    /// The value is larger than the store's limit.
    #[error("a value of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The store no longer keeps the changes after the watch's revision; the caller has to list
    /// again.
    #[error("changes before revision {oldest} are no longer kept")]
    Compacted {
        /// The oldest revision that a watch may start from.
        oldest: Revision,
    },
    /// The store no longer knows the lease.
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

/// Calls the platform's key-value store.
///
/// Every method makes one call to the store. An implementation never retries a call.
pub trait KeyValueStore: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Reads a page of the keys under `prefix` that come after `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<ListPage, StoreError>>;

    /// Writes a key if it is as expected; a key with a lease is deleted when the lease expires.
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

    /// Requests a new lease.
    fn grant_lease(&self, time_to_live: Duration) -> BoxFuture<'_, Result<LeaseGrant, StoreError>>;

    /// Renews a lease, which then lasts its full duration from the time at which the call was sent.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease and deletes its keys at once.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Describes the state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Describes one VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's address.
    pub address: IpAddr,
    /// The port of the peers' socket or of the backend server, if the platform knows it.
    pub port: Option<u16>,
    /// The state of the VM, which may be out of date.
    pub state: VmState,
}

/// Reads the platform's VM list.
pub trait VmList: Send + Sync {
    /// Reads the whole list with one call.
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, StoreError>>;
}
