//! What entry VMs tell each other for the screens, while somebody watches.
//!
//! A VM with open screens subscribes at the others for a limited time and repeats that while it
//! is watched; a VM sends its status only to subscribers. A fleet that nobody watches therefore
//! sends nothing for the screens.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{BackendSummary, PoolSummary};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::changes::ChangeEntry;
use crate::counters::TrafficLine;
use crate::life::LifeStage;

/// How long a subscription lasts.
pub(crate) const SUBSCRIPTION_SPAN: Span = Span::from_secs(15);
/// How long after the last look at the screens a VM goes on subscribing.
const WATCH_SPAN: Span = Span::from_secs(10);
/// How long the status of a VM that says nothing more is shown.
const STATUS_RETENTION: Span = Span::from_secs(120);

/// The status of one entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// The name from its settings.
    pub name: String,
    /// The name of its data centre.
    pub centre: String,
    /// Its stage.
    pub stage: LifeStage,
    /// The newest record revision in force.
    pub revision: Revision,
    /// Tickets that wait.
    pub pending: u32,
    /// Slots in use.
    pub held: u32,
    /// Slots in use by backend server.
    pub held_by_backend: Vec<BackendUse>,
    /// Counters by customer and class.
    pub lines: Vec<TrafficLine>,
    /// Pools that it dispatches.
    pub pools: Vec<PoolSummary>,
    /// Backend servers of these pools.
    pub backends: Vec<BackendSummary>,
    /// Its last changes of state, the newest first.
    pub changes: Vec<ChangeEntry>,
}

/// The slots that one entry VM uses at one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendUse {
    /// The backend server.
    pub backend: BackendId,
    /// The slots.
    pub held: u32,
}

/// A message of this protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StatusMessage {
    /// Asks for the receiver's status for [`SUBSCRIPTION_SPAN`].
    Subscribe,
    /// The sender's status.
    Report(Box<InstanceStatus>),
}

impl StatusMessage {
    /// Returns the bytes of the message.
    pub fn encode(&self) -> Bytes {
        postcard::to_allocvec(self)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Reads a message; bytes that a newer program wrote differently are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// A status with the time at which it came.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedStatus {
    /// The status.
    pub status: InstanceStatus,
    /// When it came.
    pub received: MonoTime,
}

#[derive(Debug, Default)]
struct StatusState {
    seen: FastMap<InstanceId, ReceivedStatus>,
    subscribers: FastMap<InstanceId, MonoTime>,
    watched: Option<MonoTime>,
}

/// The statuses of the other entry VMs, and who wants this one's.
#[derive(Debug, Default)]
pub struct PeerStatusTable {
    state: Mutex<StatusState>,
}

impl PeerStatusTable {
    /// Takes a message in.
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

    /// Notes that somebody looks at the screens of this VM.
    pub fn mark_watched(&self) {
        self.state.lock().watched = Some(monotonic_now());
    }

    /// Returns whether this VM should subscribe at the others.
    pub fn is_watched(&self) -> bool {
        let now = monotonic_now();
        self.state
            .lock()
            .watched
            .is_some_and(|watched| now.since(watched) < WATCH_SPAN)
    }

    /// Returns who wants this VM's status now.
    pub fn subscribers(&self) -> Vec<InstanceId> {
        let now = monotonic_now();
        let mut state = self.state.lock();
        state.subscribers.retain(|_, until| *until > now);
        state.subscribers.keys().copied().collect()
    }

    /// Returns the statuses that are not too old to show, in the order of their instances.
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
