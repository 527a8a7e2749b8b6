//! The state that all threads of an entry VM share.
//!
//! `ticket_flow` implements the flow of tickets through this state, and `roles` applies changes of
//! records and members to it.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_caller::{CallerError, ErrorCode};
use oleander_peer::{MemberState, PeerMessage};
use oleander_records::RecordSet;
use parking_lot::Mutex;

use crate::answer::AnswerCache;
use crate::changes::ChangeLog;
use crate::counters::{EntryCounters, TrafficKey};
use crate::dispatch::DispatcherTable;
use crate::fleet_limits::FleetLimits;
use crate::journal::Journal;
use crate::life::{LifeCycle, LifeStage};
use crate::limits::CustomerLimits;
use crate::order_role::OrderRole;
use crate::remote_pools::RemotePools;
use crate::retries::RetryControl;
use crate::settings::EntrySettings;
use crate::status::{BackendUse, InstanceStatus, PeerStatusTable};
use crate::ticket_tracker::TicketTracker;
use crate::view::{FleetMember, FleetView};

/// Number of state changes in a status.
const STATUS_CHANGES: usize = 30;

/// Sends messages to the other entry VMs.
pub trait PeerLink: Send + Sync {
    /// Queues a message for sending; a message that cannot be queued is dropped and counted.
    fn send(&self, to: InstanceId, message: PeerMessage);
}

/// The inputs of a view, apart from the records.
#[derive(Debug, Default)]
pub(crate) struct ViewInputs {
    pub(crate) members: Vec<FleetMember>,
    pub(crate) listed_leaving: FastSet<BackendId>,
}

/// The shared state of one entry VM.
pub struct EntryNode {
    /// The settings.
    pub settings: EntrySettings,
    /// The id of this instance.
    pub me: InstanceId,
    /// The data centre of this instance.
    pub centre: CentreId,
    /// The tickets and slots of the requests that this VM runs.
    pub tickets: TicketTracker,
    /// The pools that this VM dispatches.
    pub dispatchers: DispatcherTable,
    /// Answers in progress or kept for a reconnect.
    pub answers: AnswerCache,
    /// The journal of the pools' decisions.
    pub journal: Arc<Journal>,
    /// The traffic and process counters.
    pub counters: EntryCounters,
    /// The life stage of the process.
    pub life: LifeCycle,
    /// The customers' limits at this VM.
    pub limits: CustomerLimits,
    /// Divides the customers' limits among the entry VMs.
    pub fleet_limits: FleetLimits,
    /// The retry budget.
    pub retries: RetryControl,
    /// The load of the pools of all data centres.
    pub remote_pools: RemotePools,
    /// The statuses of the other entry VMs.
    pub statuses: PeerStatusTable,
    /// The latest changes of state.
    pub changes: ChangeLog,
    /// The members' states as last recorded.
    pub member_states: Mutex<FastMap<InstanceId, MemberState>>,
    /// Whether this VM is leaving because of a planned stop on record.
    pub stopped_by_record: AtomicBool,
    known_revision: AtomicU64,
    pub(crate) view: ArcSwap<FleetView>,
    pub(crate) inputs: Mutex<ViewInputs>,
    link: OnceLock<Arc<dyn PeerLink>>,
    orders: OnceLock<Arc<OrderRole>>,
    serial: AtomicU64,
}

impl fmt::Debug for EntryNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryNode")
            .field("me", &self.me)
            .field("centre", &self.centre)
            .finish_non_exhaustive()
    }
}

impl EntryNode {
    /// Creates the state of a process without records and without other members.
    pub fn new(settings: EntrySettings, me: InstanceId) -> Arc<Self> {
        let journal = Arc::new(Journal::default());
        let dispatch = &settings.dispatch;
        let dispatchers =
            DispatcherTable::new(dispatch.policy, dispatch.queue_limit, Arc::clone(&journal));
        let empty = FleetView::new(
            Arc::new(RecordSet::default()),
            Vec::new(),
            &FastSet::default(),
        );
        Arc::new(Self {
            me,
            centre: CentreId::from_name(&settings.instance.centre),
            settings,
            tickets: TicketTracker::new(),
            dispatchers,
            answers: AnswerCache::new(),
            journal,
            counters: EntryCounters::default(),
            life: LifeCycle::default(),
            limits: CustomerLimits::default(),
            fleet_limits: FleetLimits::default(),
            retries: RetryControl::default(),
            remote_pools: RemotePools::default(),
            statuses: PeerStatusTable::default(),
            changes: ChangeLog::default(),
            member_states: Mutex::new(FastMap::default()),
            stopped_by_record: AtomicBool::new(false),
            known_revision: AtomicU64::new(0),
            view: ArcSwap::from_pointee(empty),
            inputs: Mutex::new(ViewInputs::default()),
            link: OnceLock::new(),
            orders: OnceLock::new(),
            serial: AtomicU64::new(0),
        })
    }

    /// Sets the link to the other entry VMs; only the first call has an effect.
    pub fn connect(&self, link: Arc<dyn PeerLink>) {
        let _ = self.link.set(link);
    }

    /// Sets the order role; only the first call has an effect.
    pub fn set_orders(&self, orders: Arc<OrderRole>) {
        let _ = self.orders.set(orders);
    }

    /// Returns the order role, once the process has opened it.
    pub fn orders(&self) -> Option<&Arc<OrderRole>> {
        self.orders.get()
    }

    /// Returns the current view of the fleet.
    pub fn view(&self) -> arc_swap::Guard<Arc<FleetView>> {
        self.view.load()
    }

    /// Allocates a request id.
    pub fn next_request(&self) -> RequestId {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId {
            origin: self.me,
            serial,
        }
    }

    pub(crate) fn send(&self, to: InstanceId, message: PeerMessage) {
        if let Some(link) = self.link.get() {
            link.send(to, message);
        }
    }

    /// Returns the pool of a model that requests at this VM use by default: the one of this data
    /// centre, or any other if this data centre has no backend server for it on record.
    pub fn default_pool(&self, model: ModelId) -> Option<PoolId> {
        let view = self.view();
        let pools = view.pools_of(model);
        let own = pools.iter().find(|pool| pool.centre == self.centre);
        own.or_else(|| pools.first()).copied()
    }

    /// Counts a request against its customer's limits, or refuses it.
    pub fn acquire_limits(&self, key: TrafficKey) -> Result<(), CallerError> {
        match self.limits.acquire(key.customer, monotonic_now()) {
            Ok(()) => {
                self.counters.count(key, |count| count.accepted += 1);
                Ok(())
            }
            Err(refusal) => {
                self.counters.count(key, |count| count.over_limit += 1);
                let error = CallerError::not_run(ErrorCode::OverLimit, refusal.to_string());
                Err(error.after(refusal.retry_after()))
            }
        }
    }

    /// Sets the revision up to which every record is known here.
    pub fn set_known_revision(&self, revision: Revision) {
        self.known_revision.store(revision.0, Ordering::Release);
    }

    /// Returns the revision up to which every record is known here.
    pub fn known_revision(&self) -> Revision {
        Revision(self.known_revision.load(Ordering::Acquire))
    }

    /// Returns the status of this VM, for the screens.
    pub fn own_status(&self) -> InstanceStatus {
        let now = monotonic_now();
        let count = self.tickets.count();
        let held_by_backend = self.tickets.held_by_backend();
        InstanceStatus {
            instance: self.me,
            name: self.settings.instance.name.clone(),
            centre: self.settings.instance.centre.clone(),
            stage: self.life.stage(),
            revision: self.known_revision(),
            pending: count.pending as u32,
            held: count.held as u32,
            held_by_backend: held_by_backend
                .into_iter()
                .map(|(backend, held)| BackendUse { backend, held })
                .collect(),
            lines: self.counters.lines(),
            pools: self
                .dispatchers
                .summaries(now)
                .into_iter()
                .map(|status| status.summary)
                .collect(),
            backends: self.dispatchers.backend_summaries(now),
            changes: self.changes.latest(STATUS_CHANGES),
        }
    }

    /// Returns the entry VMs that this one sends record digests to: all others of its own data
    /// centre, and one of each other data centre.
    pub fn gossip_targets(&self) -> Vec<InstanceId> {
        let view = self.view();
        let mut targets = Vec::new();
        let mut other_centres: FastMap<CentreId, InstanceId> = FastMap::default();
        for member in view
            .members
            .iter()
            .filter(|member| member.instance != self.me)
        {
            if member.centre == self.centre {
                targets.push(member.instance);
            } else {
                let chosen = other_centres
                    .entry(member.centre)
                    .or_insert(member.instance);
                // Different VMs choose different targets, so that one unreachable target does not
                // keep its data centre from learning of new records.
                if gossip_rank(self.me, member.instance) > gossip_rank(self.me, *chosen) {
                    *chosen = member.instance;
                }
            }
        }
        targets.extend(other_centres.into_values());
        targets
    }

    /// Returns the reachable entry VMs of this data centre, including this one.
    pub fn centre_instances(&self) -> Vec<InstanceId> {
        let view = self.view();
        let inside = view
            .members
            .iter()
            .filter(|member| member.centre == self.centre);
        inside.map(|member| member.instance).collect()
    }

    /// Returns whether a ticket is pending, a slot is held, or an answer is unfinished or being
    /// read.
    pub fn is_busy(&self) -> bool {
        let count = self.tickets.count();
        count.pending > 0 || count.held > 0 || self.answers.has_unfinished()
    }

    /// Returns whether the VM is in the ready stage, in which it takes roles.
    pub fn is_ready(&self) -> bool {
        self.life.stage() == LifeStage::Ready
    }
}

fn gossip_rank(from: InstanceId, to: InstanceId) -> u64 {
    (from.incarnation ^ to.incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
