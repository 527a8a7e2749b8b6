//! Defines the wire format of the platform's interface (docs/PLATFORM-INTERFACE.md).
//!
//! Every call is an HTTP POST with a JSON body to one of the paths of [`WirePath`]. Values are sent
//! as base64 text. A refused call is answered with a [`WireError`] and the status that belongs to
//! it.

use std::net::IpAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use oleander_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use crate::store::{
    Expected, LeaseGrant, LeaseId, ListPage, StoreEntry, StoreError, VmEntry, VmState, WatchBatch,
    WatchEvent,
};

/// Lists the paths of the interface.
#[derive(Debug, Clone, Copy)]
pub struct WirePath;

impl WirePath {
    /// The path of a call that reads one key.
    pub const GET: &str = "/v1/get";
    /// The path of a call that reads a page of keys.
    pub const LIST: &str = "/v1/list";
    /// The path of a call that writes one key by compare-and-swap.
    pub const PUT: &str = "/v1/put";
    /// The path of a call that deletes one key by compare-and-swap.
    pub const DELETE: &str = "/v1/delete";
    /// The path of a call that waits for changes.
    pub const WATCH: &str = "/v1/watch";
    /// The path of a call that requests a new lease.
    pub const GRANT: &str = "/v1/lease/grant";
    /// The path of a call that renews a lease.
    pub const RENEW: &str = "/v1/lease/renew";
    /// The path of a call that revokes a lease.
    pub const REVOKE: &str = "/v1/lease/revoke";
    /// The path of a call that reads the VM list.
    pub const VMS: &str = "/v1/vms";
}

/// Holds a value that is serialised as base64 text.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WireValue(pub Bytes);

impl Serialize for WireValue {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for WireValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let value = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(value.into()))
    }
}

/// Holds the body of a get.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GetBody {
    /// The key.
    pub key: String,
}

/// Holds the answer to a get.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GetAnswer {
    /// The entry, or `None` if the key is absent.
    pub entry: Option<WireEntry>,
}

/// Holds one key with its value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: WireValue,
    /// The revision of the last write.
    pub revision: Revision,
}

/// Holds the body of a list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListBody {
    /// The prefix of the keys.
    pub prefix: String,
    /// The key after which the page starts.
    #[serde(default)]
    pub after: Option<String>,
}

/// Holds the answer to a list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListAnswer {
    /// The entries in the order of their keys.
    pub entries: Vec<WireEntry>,
    /// The store's revision when the page was read.
    pub revision: Revision,
    /// Whether further entries follow the last one.
    pub more: bool,
}

/// Holds the state of the key that a write expects.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireExpected {
    /// The revision of the key's last write, or `None` if the key must be absent.
    pub revision: Option<Revision>,
}

/// Holds the body of a put.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PutBody {
    /// The key.
    pub key: String,
    /// The state of the key that the write expects.
    pub expected: WireExpected,
    /// The new value.
    pub value: WireValue,
    /// The lease with which the key expires.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Holds the body of a delete.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DeleteBody {
    /// The key.
    pub key: String,
    /// The state of the key that the write expects.
    pub expected: WireExpected,
}

/// Holds the answer to a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The revision of the write.
    pub revision: Revision,
}

/// Holds the body of a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchBody {
    /// The prefix of the keys.
    pub prefix: String,
    /// The revision after which changes are returned.
    pub after: Revision,
    /// The maximum time for which the store may hold the call, in milliseconds.
    pub wait_ms: u64,
}

/// Describes one change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireEvent {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key was deleted.
    pub value: Option<WireValue>,
    /// The revision of the change.
    pub revision: Revision,
}

/// Holds the answer to a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// The changes in the order of their revisions.
    pub events: Vec<WireEvent>,
    /// The revision up to which the watcher has received all changes.
    pub revision: Revision,
}

/// Holds the body of a lease grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantBody {
    /// The duration of the lease without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Holds the answer to a lease grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// The ID of the lease.
    pub lease: u64,
    /// The duration of the lease in milliseconds; the store may grant less than requested.
    pub ttl_ms: u64,
    /// The revision at the grant.
    pub fencing: Revision,
}

/// Holds the body of a lease renewal or revocation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The ID of the lease.
    pub lease: u64,
}

/// Stands for an empty body or answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EmptyBody {}

/// Describes the state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WireVmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Describes one VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVm {
    /// The address.
    pub address: IpAddr,
    /// The port, if it is known.
    #[serde(default)]
    pub port: Option<u16>,
    /// The state.
    pub state: WireVmState,
}

/// Holds the answer to a read of the VM list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmsAnswer {
    /// All VMs of the list.
    pub vms: Vec<WireVm>,
}

/// Holds the body of the answer to a refused call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum WireError {
    /// The key was not in the state that the write expected; status 409.
    Conflict {
        /// The revision found, or `None` if the key is absent.
        current: Option<Revision>,
    },
    /// The store no longer keeps the requested changes; status 410.
    Compacted {
        /// The oldest revision that a watch may start from.
        oldest: Revision,
    },
    /// The store does not know the lease; status 404.
    LeaseLapsed,
    /// The call exceeds the rate limit; status 429.
    RateLimited {
        /// The time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The value is too large; status 413.
    TooLarge {
        /// The size of the value in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The call did not take effect; status 503.
    Unavailable {
        /// The reason for the refusal.
        reason: String,
    },
    /// The request does not conform to this interface; status 400.
    Invalid {
        /// The reason for the refusal.
        reason: String,
    },
}

impl WireError {
    /// Returns the HTTP status that belongs to the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::Invalid { .. } => 400,
            Self::LeaseLapsed => 404,
            Self::Conflict { .. } => 409,
            Self::Compacted { .. } => 410,
            Self::TooLarge { .. } => 413,
            Self::RateLimited { .. } => 429,
            Self::Unavailable { .. } => 503,
        }
    }
}

impl From<WireError> for StoreError {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Conflict { current } => Self::Conflict { current },
            WireError::Compacted { oldest } => Self::Compacted { oldest },
            WireError::LeaseLapsed => Self::LeaseLapsed,
            WireError::RateLimited { retry_after_ms } => Self::OverBudget {
                retry_after: Duration::from_millis(retry_after_ms),
            },
            WireError::TooLarge { size, limit } => Self::TooLarge { size, limit },
            WireError::Unavailable { reason } | WireError::Invalid { reason } => {
                Self::Unavailable { reason }
            }
        }
    }
}

impl From<Expected> for WireExpected {
    fn from(expected: Expected) -> Self {
        let revision = match expected {
            Expected::Absent => None,
            Expected::At(revision) => Some(revision),
        };
        Self { revision }
    }
}

impl From<WireExpected> for Expected {
    fn from(expected: WireExpected) -> Self {
        expected.revision.map_or(Self::Absent, Self::At)
    }
}

impl From<WireEntry> for StoreEntry {
    fn from(entry: WireEntry) -> Self {
        Self {
            key: entry.key,
            value: entry.value.0,
            revision: entry.revision,
        }
    }
}

impl From<StoreEntry> for WireEntry {
    fn from(entry: StoreEntry) -> Self {
        Self {
            key: entry.key,
            value: WireValue(entry.value),
            revision: entry.revision,
        }
    }
}

impl From<ListAnswer> for ListPage {
    fn from(answer: ListAnswer) -> Self {
        Self {
            entries: answer.entries.into_iter().map(Into::into).collect(),
            revision: answer.revision,
            more: answer.more,
        }
    }
}

impl From<WatchAnswer> for WatchBatch {
    fn from(answer: WatchAnswer) -> Self {
        let events = answer.events.into_iter().map(|event| WatchEvent {
            key: event.key,
            value: event.value.map(|value| value.0),
            revision: event.revision,
        });
        Self {
            events: events.collect(),
            revision: answer.revision,
        }
    }
}

impl From<GrantAnswer> for LeaseGrant {
    fn from(answer: GrantAnswer) -> Self {
        Self {
            lease: LeaseId(answer.lease),
            time_to_live: Duration::from_millis(answer.ttl_ms),
            fencing: answer.fencing,
        }
    }
}

impl From<WireVm> for VmEntry {
    fn from(vm: WireVm) -> Self {
        let state = match vm.state {
            WireVmState::Live => VmState::Live,
            WireVmState::Leaving => VmState::Leaving,
        };
        Self {
            address: vm.address,
            port: vm.port,
            state,
        }
    }
}
