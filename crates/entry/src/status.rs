//! Exchanges statuses between entry VMs for the screens, while screens are open.
//!
//! A VM with open screens subscribes to the other VMs for a limited time, and renews the
//! subscriptions while its screens are requested. A VM sends its status only to subscribers, so a
//! fleet without open screens sends no statuses.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{BackendSummary, PoolSummary};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::changes::ChangeEntry;
use crate::counters::TrafficLine;
use crate::life::LifeStage;

/// Lifetime of a subscription.
pub(crate) const SUBSCRIPTION_SPAN: Span = Span::from_secs(15);
/// Time after the last request for a screen during which a VM renews its subscriptions.
const WATCH_SPAN: Span = Span::from_secs(10);
/// Time for which the last status of a silent VM is shown.
const STATUS_RETENTION: Span = Span::from_secs(120);

/// The status of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The id of the instance.
    pub instance: InstanceId,
    /// The instance's name from its settings.
    pub name: String,
    /// The name of its data centre.
    pub centre: String,
    /// The instance's life stage.
    pub stage: LifeStage,
    /// The revision up to which every record is known.
    pub revision: Revision,
    /// The number of pending tickets.
    pub pending: u32,
    /// The number of held slots.
    pub held: u32,
    /// The number of held slots for each backend server.
    pub held_by_backend: Vec<BackendUse>,
    /// The traffic counters by customer and class.
    pub lines: Vec<TrafficLine>,
    /// The pools that the instance dispatches.
    pub pools: Vec<PoolSummary>,
    /// The backend servers of these pools.
    pub backends: Vec<BackendSummary>,
    /// The latest changes of state, newest first.
    pub changes: Vec<ChangeEntry>,
}

/// The number of slots that one entry VM holds at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendUse {
    /// The backend server.
    pub backend: BackendId,
    /// The number of held slots.
    pub held: u32,
}

/// A message for the exchange of statuses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StatusMessage {
    /// Subscribes the sender to the receiver's status for [`SUBSCRIPTION_SPAN`].
    Subscribe,
    /// The sender's status.
    Report(Box<InstanceStatus>),
}

impl StatusMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Bytes {
        postcard::to_allocvec(self)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Decodes a message; returns `None` for the format of an incompatible version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A status with the time at which it arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedStatus {
    /// The status.
    pub status: InstanceStatus,
    /// The time of arrival.
    pub received: MonoTime,
}

#[derive(Debug, Default)]
struct StatusState {
    seen: FastMap<InstanceId, ReceivedStatus>,
    subscribers: FastMap<InstanceId, MonoTime>,
    watched: Option<MonoTime>,
}

/// The statuses of the other entry VMs, and the subscribers to this VM's status.
#[derive(Debug, Default)]
pub struct PeerStatusTable {
    state: Mutex<StatusState>,
}

impl PeerStatusTable {
    /// Handles a message of another entry VM.
    pub fn on_message(&self, from: InstanceId, message: StatusMessage) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        match message {
            StatusMessage::Subscribe => {
                state.subscribers.insert(from, now + SUBSCRIPTION_SPAN);
            }
            StatusMessage::Report(status) => {
                state.seen.insert(
                    from,
                    ReceivedStatus {
                        status: *status,
                        received: now,
                    },
                );
            }
        }
    }

    /// Records that a screen of this VM was requested.
    pub fn mark_watched(&self) {
        self.state.lock().watched = Some(monotonic_now());
    }

    /// Returns whether this VM should subscribe to the others.
    pub fn is_watched(&self) -> bool {
        let now = monotonic_now();
        self.state
            .lock()
            .watched
            .is_some_and(|watched| now.since(watched) < WATCH_SPAN)
    }

    /// Returns the current subscribers to this VM's status.
    pub fn subscribers(&self) -> Vec<InstanceId> {
        let now = monotonic_now();
        let mut state = self.state.lock();
        state.subscribers.retain(|_, until| *until > now);
        state.subscribers.keys().copied().collect()
    }

    /// Returns the statuses that are recent enough to show, ordered by instance.
    pub fn recent(&self) -> Vec<ReceivedStatus> {
        let now = monotonic_now();
        let mut state = self.state.lock();
        state
            .seen
            .retain(|_, seen| now.since(seen.received) < STATUS_RETENTION);
        let mut seen: Vec<ReceivedStatus> = state.seen.values().cloned().collect();
        seen.sort_by_key(|seen| seen.status.instance);
        seen
    }
}
