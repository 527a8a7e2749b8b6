//! The state that all threads of an entry VM share, and the way of tickets through it.
//!
//! A request enters the desk with a ticket; the ticket goes to the pool's dispatcher, which may be
//! this VM; the outcome comes back to the desk. The same code serves a local and a remote
//! dispatcher, so that tier order does not depend on where a request entered.

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use oleander_base::prelude::*;
use oleander_base::{
    CacheEvent, GrantNotice, HeldGrant, LoadReport, ProgressNotice, ReleaseNotice, ShedNotice,
    WithdrawNotice, monotonic_now,
};
use oleander_caller::{CallerError, ErrorCode};
use oleander_decide::{Decision, DecisionNotice};
use oleander_peer::{MemberState, PeerMessage};
use oleander_records::RecordSet;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::answer::AnswerShelf;
use crate::changes::ChangeLog;
use crate::counters::{EntryCounters, ServiceKey, bump};
use crate::desk::{GrantEffect, TicketDesk, TicketOutcome};
use crate::dispatch::{DispatchBoard, OfferEnd};
use crate::journal::Journal;
use crate::life::{LifeCycle, LifeStage};
use crate::limit_board::LimitBoard;
use crate::limits::LimitDesk;
use crate::order_role::OrderRole;
use crate::retries::RetryDesk;
use crate::settings::EntrySettings;
use crate::spill::SpillBoard;
use crate::status::{BackendUse, InstanceStatus, StatusBoard};
use crate::view::{FleetMember, FleetView};

/// Changes of state in a status.
const STATUS_CHANGES: usize = 30;

/// The way to the other entry VMs.
pub trait PeerLink: Send + Sync {
    /// Queues a message for sending; a message that cannot be queued is dropped and counted.
    fn send(&self, to: InstanceId, message: PeerMessage);
}

/// What a view is made of, apart from the records.
#[derive(Debug, Default)]
struct ViewInputs {
    members: Vec<FleetMember>,
    listed_leaving: FastSet<BackendId>,
}

/// The shared state of one entry VM.
pub struct EntryNode {
    /// The settings.
    pub settings: EntrySettings,
    /// This instance.
    pub me: InstanceId,
    /// Its data centre.
    pub centre: CentreId,
    /// Tickets and slots of the requests that this VM holds.
    pub desk: TicketDesk,
    /// The pools whose queue this VM holds.
    pub board: DispatchBoard,
    /// Answers in progress.
    pub answers: AnswerShelf,
    /// What the pools decided.
    pub journal: Arc<Journal>,
    /// Counters.
    pub counters: EntryCounters,
    /// Whether the VM takes requests.
    pub life: LifeCycle,
    /// Customers' limits here.
    pub limits: LimitDesk,
    /// How the limits are divided among the entry VMs.
    pub limit_board: LimitBoard,
    /// The budget of repeated attempts.
    pub retries: RetryDesk,
    /// How full the pools of all data centres are.
    pub spill: SpillBoard,
    /// The other entry VMs' statuses.
    pub statuses: StatusBoard,
    /// The last changes of state.
    pub changes: ChangeLog,
    /// The members' states as they were last noted.
    pub member_states: Mutex<FastMap<InstanceId, MemberState>>,
    /// Whether a planned stop on record made this VM leave.
    pub stopped_by_record: AtomicBool,
    informed: AtomicU64,
    view: ArcSwap<FleetView>,
    inputs: Mutex<ViewInputs>,
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
    /// Makes the state of a process that has no records and knows no other member.
    pub fn new(settings: EntrySettings, me: InstanceId) -> Arc<Self> {
        let journal = Arc::new(Journal::default());
        let dispatch = &settings.dispatch;
        let board = DispatchBoard::new(dispatch.policy, dispatch.queue_limit, Arc::clone(&journal));
        let empty = FleetView::new(
            Arc::new(RecordSet::default()),
            Vec::new(),
            &FastSet::default(),
        );
        Arc::new(Self {
            me,
            centre: CentreId::from_name(&settings.instance.centre),
            settings,
            desk: TicketDesk::new(),
            board,
            answers: AnswerShelf::new(),
            journal,
            counters: EntryCounters::default(),
            life: LifeCycle::default(),
            limits: LimitDesk::default(),
            limit_board: LimitBoard::default(),
            retries: RetryDesk::default(),
            spill: SpillBoard::default(),
            statuses: StatusBoard::default(),
            changes: ChangeLog::default(),
            member_states: Mutex::new(FastMap::default()),
            stopped_by_record: AtomicBool::new(false),
            informed: AtomicU64::new(0),
            view: ArcSwap::from_pointee(empty),
            inputs: Mutex::new(ViewInputs::default()),
            link: OnceLock::new(),
            orders: OnceLock::new(),
            serial: AtomicU64::new(0),
        })
    }

    /// Sets the way to the other entry VMs; only the first call counts.
    pub fn connect(&self, link: Arc<dyn PeerLink>) {
        let _ = self.link.set(link);
    }

    /// Sets the role of sending orders; only the first call counts.
    pub fn set_orders(&self, orders: Arc<OrderRole>) {
        let _ = self.orders.set(orders);
    }

    /// Returns the role of sending orders, once the process has opened it.
    pub fn orders(&self) -> Option<&Arc<OrderRole>> {
        self.orders.get()
    }

    /// Returns the fleet as this VM sees it now.
    pub fn view(&self) -> arc_swap::Guard<Arc<FleetView>> {
        self.view.load()
    }

    /// Returns a new request id.
    pub fn next_request(&self) -> RequestId {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId {
            home: self.me,
            serial,
        }
    }

    /// Puts new records into force.
    pub fn set_records(&self, records: Arc<RecordSet>) {
        self.rebuild(|_| {}, Some(records));
    }

    /// Takes in a new membership.
    pub fn set_members(&self, members: Vec<FleetMember>) {
        self.rebuild(|inputs| inputs.members = members, None);
    }

    /// Takes in which backend servers the platform's list or the servers themselves call leaving.
    pub fn set_listed_leaving(&self, leaving: FastSet<BackendId>) {
        self.rebuild(|inputs| inputs.listed_leaving = leaving, None);
    }

    /// Replaces the view and moves pools, tickets and slots to where they belong now.
    fn rebuild(&self, change: impl FnOnce(&mut ViewInputs), records: Option<Arc<RecordSet>>) {
        let mut inputs = self.inputs.lock();
        change(&mut inputs);
        let old = self.view.load_full();
        let records = records.unwrap_or_else(|| Arc::clone(&old.records));
        let new = Arc::new(FleetView::new(
            records,
            inputs.members.clone(),
            &inputs.listed_leaving,
        ));
        self.view.store(Arc::clone(&new));
        let now = monotonic_now();
        self.take_roles(&new, now);
        self.move_tickets(&old, &new, now);
        self.forget_members(&old, &new, now);
    }

    /// Takes over and drops pools, and tells the kept ones what changed.
    fn take_roles(&self, view: &FleetView, now: MonoTime) {
        for id in self.board.ids() {
            let mine = view
                .pool(id)
                .is_some_and(|route| route.dispatcher == Some(self.me));
            if !mine && self.board.drop_pool(id) {
                self.changes.note(
                    format!("pool {id} is dispatched elsewhere now"),
                    "the live entry VMs changed",
                );
            }
        }
        let mine = view
            .pools()
            .filter(|route| route.dispatcher == Some(self.me));
        for id in mine.map(|route| route.pool) {
            let Some(pool_view) = view.pool_view(id) else {
                continue;
            };
            if self.board.take_over(id, &pool_view, now) {
                self.changes.note(
                    format!("pool {id} is dispatched here now"),
                    "the live entry VMs changed",
                );
            } else {
                self.deliver(self.board.set_view(id, &pool_view, now));
            }
        }
    }

    /// Offers tickets and reports held slots to dispatchers that are new.
    fn move_tickets(&self, old: &FleetView, new: &FleetView, now: MonoTime) {
        for id in self.desk.pools() {
            let Some(dispatcher) = new.pool(id).and_then(|route| route.dispatcher) else {
                continue;
            };
            let before = old.pool(id).and_then(|route| route.dispatcher);
            if before != Some(dispatcher) {
                self.send_held(dispatcher, self.desk.held_in(id, now), now);
            }
            let tickets = self.desk.repoint(id, dispatcher, now);
            if !tickets.is_empty() {
                let count = tickets.len() as u64;
                self.counters
                    .process
                    .repointed
                    .fetch_add(count, Ordering::Relaxed);
                self.send_offer(dispatcher, tickets, now);
            }
        }
    }

    /// Forgets members that are gone in the pools that are dispatched here.
    fn forget_members(&self, old: &FleetView, new: &FleetView, now: MonoTime) {
        let is_kept = |instance: InstanceId| new.members.iter().any(|m| m.instance == instance);
        for member in old
            .members
            .iter()
            .filter(|member| !is_kept(member.instance))
        {
            self.deliver(self.board.instance_gone(member.instance, now));
        }
    }

    /// Enters a ticket; its outcome comes through the returned channel.
    ///
    /// Returns none if no entry VM can dispatch the pool.
    pub fn ask(&self, ticket: Ticket) -> Option<oneshot::Receiver<TicketOutcome>> {
        let dispatcher = self.view().pool(ticket.pool)?.dispatcher?;
        let now = monotonic_now();
        let outcome = self.desk.enter(ticket.clone(), dispatcher, now);
        self.send_offer(dispatcher, vec![ticket], now);
        Some(outcome)
    }

    /// Takes a ticket back whose request will not be sent.
    pub fn withdraw(&self, request: RequestId, pool: PoolId) {
        let Some(dispatcher) = self.desk.withdraw(request) else {
            return;
        };
        self.send_withdraw(dispatcher, WithdrawNotice { request, pool });
    }

    /// Frees the slot of a request.
    pub fn release(&self, notice: ReleaseNotice) {
        if self.desk.release(notice.request).is_some() {
            self.send_release(notice);
        }
    }

    /// Tells the dispatcher that a request got its first token.
    pub fn progress(&self, notice: ProgressNotice) {
        let Some(dispatcher) = self.dispatcher_of(notice.pool) else {
            return;
        };
        if dispatcher == self.me {
            self.board.progress(&notice, monotonic_now());
        } else {
            self.send(dispatcher, PeerMessage::Progress(vec![notice]));
        }
    }

    /// Lets time pass in the pools that are dispatched here.
    pub fn tick(&self) {
        self.deliver(self.board.tick(monotonic_now()));
    }

    /// Offers tickets again that have waited long without an outcome, since a message may have
    /// been lost; the dispatcher knows those that it holds.
    pub fn offer_again(&self) {
        let now = monotonic_now();
        for offer in self.desk.due_again(now) {
            self.send_offer(offer.dispatcher, offer.tickets, now);
        }
    }

    /// Tells each dispatcher which slots this VM uses, so that it frees those whose release was
    /// lost.
    pub fn reconcile(&self) {
        let now = monotonic_now();
        for holding in self.desk.holdings() {
            match self.dispatcher_of(holding.pool) {
                Some(dispatcher) if dispatcher == self.me => {
                    self.deliver(self.board.reconcile(&holding, self.me, now));
                }
                Some(dispatcher) => self.send(dispatcher, PeerMessage::Holding(vec![holding])),
                None => {}
            }
        }
    }

    /// Returns the instance that dispatches a pool.
    pub fn dispatcher_of(&self, pool: PoolId) -> Option<InstanceId> {
        self.view().pool(pool)?.dispatcher
    }

    /// Takes in a dispatch message of a peer; other kinds are not for the node.
    pub fn on_dispatch(&self, from: InstanceId, message: PeerMessage) {
        let now = monotonic_now();
        match message {
            PeerMessage::Offer(tickets) => self.on_offer(from, tickets, now),
            PeerMessage::Withdraw(notices) => {
                for notice in notices {
                    self.deliver(self.board.withdraw(notice.pool, notice.request, now));
                }
            }
            PeerMessage::Release(notices) => {
                for notice in notices {
                    self.deliver(self.board.release(&notice, now));
                }
            }
            PeerMessage::Held(grants) => self.on_held(from, &grants, now),
            PeerMessage::Progress(notices) => {
                for notice in notices {
                    self.board.progress(&notice, now);
                }
            }
            PeerMessage::Grant(notices) => {
                let notices = notices.into_iter().map(DecisionNotice::Grant);
                self.on_notices(from, notices.collect(), now);
            }
            PeerMessage::Shed(notices) => {
                let notices = notices.into_iter().map(DecisionNotice::Shed);
                self.on_notices(from, notices.collect(), now);
            }
            PeerMessage::Holding(holdings) => {
                for holding in holdings {
                    self.deliver(self.board.reconcile(&holding, from, now));
                }
            }
            PeerMessage::Misrouted(requests) => self.desk.mark_misrouted(&requests, now),
            _ => {}
        }
    }

    fn on_offer(&self, from: InstanceId, tickets: Vec<Ticket>, now: MonoTime) {
        let mut misrouted = Vec::new();
        for ticket in tickets {
            let request = ticket.request;
            match self.board.offer(ticket, from, now) {
                OfferEnd::Queued(decisions) => self.deliver(decisions),
                OfferEnd::NotHere => misrouted.push(request),
            }
        }
        if misrouted.is_empty() {
            return;
        }
        if from == self.me {
            self.desk.mark_misrouted(&misrouted, now);
        } else {
            self.send(from, PeerMessage::Misrouted(misrouted));
        }
    }

    fn on_held(&self, from: InstanceId, grants: &[HeldGrant], now: MonoTime) {
        for held in grants {
            self.deliver(self.board.adopt(held.ticket.pool, held, from, now));
        }
    }

    fn on_notices(&self, from: InstanceId, notices: Vec<DecisionNotice>, now: MonoTime) {
        for notice in notices {
            let follow_ups = self.on_notice(from, &notice, now);
            self.deliver(follow_ups);
        }
    }

    /// Hands decisions to the requests of this VM and to the other entry VMs.
    ///
    /// A grant that nobody waits for frees its slot, which can decide further tickets; the loop
    /// takes these in turn without recursion.
    fn deliver(&self, decisions: Vec<Decision>) {
        if decisions.is_empty() {
            return;
        }
        let mut queue = VecDeque::from(decisions);
        let mut outbox = DecisionOutbox::default();
        while let Some(decision) = queue.pop_front() {
            if decision.to == self.me {
                queue.extend(self.on_notice(self.me, &decision.notice, monotonic_now()));
            } else {
                outbox.add(&decision);
            }
        }
        outbox.send(|to, message| self.send(to, message));
    }

    /// Takes one outcome in; returns decisions that follow at pools dispatched here.
    fn on_notice(&self, from: InstanceId, notice: &DecisionNotice, now: MonoTime) -> Vec<Decision> {
        match notice {
            DecisionNotice::Grant(grant) => self.on_grant(from, grant, now),
            DecisionNotice::Shed(shed) => {
                self.desk.shed(shed, from);
                Vec::new()
            }
        }
    }

    fn on_grant(&self, from: InstanceId, grant: &GrantNotice, now: MonoTime) -> Vec<Decision> {
        match self.desk.grant(grant, from, now) {
            GrantEffect::Accepted | GrantEffect::Repeated => Vec::new(),
            GrantEffect::Moved { asked, held } => {
                let notice = WithdrawNotice {
                    request: grant.request,
                    pool: held.ticket.pool,
                };
                self.send_withdraw(asked, notice);
                self.send_held(asked, vec![held], now);
                Vec::new()
            }
            GrantEffect::Unwanted => {
                bump(&self.counters.process.unwanted_grants);
                self.return_grant(from, grant, now)
            }
        }
    }

    /// Gives an unwanted grant back to the dispatcher that made it.
    fn return_grant(&self, from: InstanceId, grant: &GrantNotice, now: MonoTime) -> Vec<Decision> {
        let pools = self.view().pools_with(grant.backend);
        if from == self.me {
            let withdraw = |pool| self.board.withdraw(pool, grant.request, now);
            return pools.into_iter().flat_map(withdraw).collect();
        }
        let notice = |pool| WithdrawNotice {
            request: grant.request,
            pool,
        };
        self.send(
            from,
            PeerMessage::Withdraw(pools.into_iter().map(notice).collect()),
        );
        Vec::new()
    }

    fn send_offer(&self, to: InstanceId, tickets: Vec<Ticket>, now: MonoTime) {
        if to == self.me {
            self.on_offer(self.me, tickets, now);
        } else {
            self.send(to, PeerMessage::Offer(tickets));
        }
    }

    fn send_held(&self, to: InstanceId, grants: Vec<HeldGrant>, now: MonoTime) {
        if grants.is_empty() {
            return;
        }
        if to == self.me {
            self.on_held(self.me, &grants, now);
        } else {
            self.send(to, PeerMessage::Held(grants));
        }
    }

    fn send_withdraw(&self, to: InstanceId, notice: WithdrawNotice) {
        if to == self.me {
            self.deliver(
                self.board
                    .withdraw(notice.pool, notice.request, monotonic_now()),
            );
        } else {
            self.send(to, PeerMessage::Withdraw(vec![notice]));
        }
    }

    fn send_release(&self, notice: ReleaseNotice) {
        let Some(dispatcher) = self.dispatcher_of(notice.pool) else {
            return;
        };
        if dispatcher == self.me {
            self.deliver(self.board.release(&notice, monotonic_now()));
        } else {
            self.send(dispatcher, PeerMessage::Release(vec![notice]));
        }
    }

    fn send(&self, to: InstanceId, message: PeerMessage) {
        if let Some(link) = self.link.get() {
            link.send(to, message);
        }
    }

    /// Returns the pool of a model that a request of this VM goes to by default: the own data
    /// centre's, or any other if that has no backend server on record.
    pub fn home_pool(&self, model: ModelId) -> Option<PoolId> {
        let view = self.view();
        let pools = view.pools_of(model);
        let own = pools.iter().find(|pool| pool.centre == self.centre);
        own.or_else(|| pools.first()).copied()
    }

    /// Sends a ticket to another data centre if that serves it better than its own.
    pub fn spill_over(&self, ticket: &mut Ticket) {
        if !self.settings.dispatch.spill {
            return;
        }
        if let Some(pool) = self.spill.choose(&self.view(), ticket) {
            ticket.pool = pool;
            ticket.spilled = true;
            bump(&self.counters.process.spilled);
        }
    }

    /// Takes in a load report of a backend server whose pools are dispatched here.
    pub fn take_report(&self, backend: BackendId, report: &LoadReport) {
        if let Some(orders) = self.orders() {
            orders.note_report(backend, report.clone());
        }
        let now = monotonic_now();
        for pool in self.view().pools_with(backend) {
            self.deliver(self.board.report(pool, backend, report, now));
        }
    }

    /// Takes in an event of an engine's prefix cache.
    pub fn take_cache_event(&self, backend: BackendId, event: CacheEvent) {
        let now = monotonic_now();
        for pool in self.view().pools_with(backend) {
            self.board.cache_event(pool, backend, event, now);
        }
    }

    /// Drops every pool that is dispatched here; they are rebuilt from what entry VMs hold.
    ///
    /// A process that was paused calls this, since others may have taken its pools over.
    pub fn forget_pools(&self) {
        for id in self.board.ids() {
            self.board.drop_pool(id);
        }
        self.rebuild(|_| {}, None);
    }

    /// Counts a request against its customer's limits, or refuses it.
    pub fn enter_limits(&self, key: ServiceKey) -> Result<(), CallerError> {
        match self.limits.enter(key.customer, monotonic_now()) {
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

    /// Notes the revision up to which every record is known here.
    pub fn set_informed(&self, revision: Revision) {
        self.informed.store(revision.0, Ordering::Release);
    }

    /// Returns the revision up to which every record is known here.
    pub fn informed(&self) -> Revision {
        Revision(self.informed.load(Ordering::Acquire))
    }

    /// Returns the status of this VM for the screens.
    pub fn own_status(&self) -> InstanceStatus {
        let now = monotonic_now();
        let count = self.desk.count();
        let held_by_backend = self.desk.held_by_backend();
        InstanceStatus {
            instance: self.me,
            name: self.settings.instance.name.clone(),
            centre: self.settings.instance.centre.clone(),
            stage: self.life.stage(),
            revision: self.informed(),
            pending: count.pending as u32,
            held: count.held as u32,
            held_by_backend: held_by_backend
                .into_iter()
                .map(|(backend, held)| BackendUse { backend, held })
                .collect(),
            lines: self.counters.lines(),
            pools: self
                .board
                .summaries(now)
                .into_iter()
                .map(|status| status.summary)
                .collect(),
            backends: self.board.backend_summaries(now),
            changes: self.changes.latest(STATUS_CHANGES),
        }
    }

    /// Returns the entry VMs that learn of changed records from this one: all of its own data
    /// centre, and one of each other.
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
                // Different VMs choose different targets, so that one that cannot be reached
                // does not keep its data centre uninformed.
                if gossip_rank(self.me, member.instance) > gossip_rank(self.me, *chosen) {
                    *chosen = member.instance;
                }
            }
        }
        targets.extend(other_centres.into_values());
        targets
    }

    /// Returns the live entry VMs of this data centre, with this one.
    pub fn centre_instances(&self) -> Vec<InstanceId> {
        let view = self.view();
        let inside = view
            .members
            .iter()
            .filter(|member| member.centre == self.centre);
        inside.map(|member| member.instance).collect()
    }

    /// Returns whether a request of this VM is still in progress.
    pub fn is_busy(&self) -> bool {
        let count = self.desk.count();
        count.pending > 0 || count.held > 0 || self.answers.has_unfinished()
    }

    /// Returns whether the VM takes roles and new requests.
    pub fn is_ready(&self) -> bool {
        self.life.stage() == LifeStage::Ready
    }
}

fn gossip_rank(from: InstanceId, to: InstanceId) -> u64 {
    (from.incarnation ^ to.incarnation.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Decisions for other entry VMs, gathered into one message of a kind for each.
#[derive(Debug, Default)]
struct DecisionOutbox {
    grants: FastMap<InstanceId, Vec<GrantNotice>>,
    sheds: FastMap<InstanceId, Vec<ShedNotice>>,
}

impl DecisionOutbox {
    fn add(&mut self, decision: &Decision) {
        match decision.notice {
            DecisionNotice::Grant(grant) => self.grants.entry(decision.to).or_default().push(grant),
            DecisionNotice::Shed(shed) => self.sheds.entry(decision.to).or_default().push(shed),
        }
    }

    fn send(self, send: impl Fn(InstanceId, PeerMessage)) {
        for (to, grants) in self.grants {
            send(to, PeerMessage::Grant(grants));
        }
        for (to, sheds) in self.sheds {
            send(to, PeerMessage::Shed(sheds));
        }
    }
}
