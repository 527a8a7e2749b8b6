//! The state that all tasks of a gateway share.
//!
//! A gateway runs on one thread, so its state is held in cells. No borrow is held across an await.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use oleander_balance::{
    BackendKey, BackendState, Choice, ChoiceInput, FleetTable, InFlightSend, LatencyModel,
    LeaseEnd, LoadReport, NeedModel, PacedRequest, ProcessLink, ReadMeter, RetryWindow,
    ServicePace, ServiceTraffic, StreamId, VersionId, choose_backend,
};
use oleander_base::{FastMap, monotonic_now};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::backend_reach::BackendReach;
use crate::client_budget::{ClientBudget, ClientSide};
use crate::client_turn::{BulkRate, SlowedClients};
use crate::conn_pool::ConnPool;
use crate::duty::DutyState;
use crate::http::HttpConn;
use crate::internal_server::PagePace;
use crate::log_line::LogWriter;
use crate::memory::{MemoryExchange, MemoryHold};
use crate::metrics::{GatewayMetrics, GaugeReading};
use crate::origin_exchange::{OriginExchange, ReplicaCounts};
use crate::origin_log::OriginLog;
use crate::peer_socket::PeerSocket;
use crate::platform_view::{ApplyContext, PlatformView, ViewUpdate};
use crate::prelude::*;
use crate::process_monitor::MonitorTable;
use crate::quarantine::CrashQuarantine;
use crate::read_ahead::ReadAheadTable;
use crate::registry_contact::RegistryContact;
use crate::registry_fence::RegistryFence;
use crate::relay_targets::RelayTargets;
use crate::shutdown::ShutdownState;
use crate::slots::{SlotExchange, SlotLease};
use crate::suspend::SuspendDetector;

/// The number of gateways assumed until the key-value store's state is known.
const ASSUMED_GATEWAYS: usize = 8;

/// The learned state of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) latency: LatencyModel,
    pub(crate) retries: RetryWindow,
    pub(crate) traffic: ServiceTraffic,
    pub(crate) reading: ReadMeter,
    pub(crate) pace: ServicePace,
    /// What its requests need of an engine's memory, if that is guarded.
    pub(crate) needs: NeedModel,
}

/// The state that all tasks share.
#[derive(Debug)]
pub(crate) struct GatewayCore {
    pub(crate) port: Rc<dyn PlatformPort>,
    pub(crate) settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) view: RefCell<PlatformView>,
    pub(crate) fleet: RefCell<FleetTable>,
    pub(crate) pool: RefCell<ConnPool>,
    pub(crate) monitors: MonitorTable,
    pub(crate) services: RefCell<FastMap<Arc<str>, ServiceState>>,
    pub(crate) peers: PeerSocket,
    pub(crate) origins: OriginExchange,
    pub(crate) origin_log: OriginLog,
    pub(crate) registry_contact: RegistryContact,
    pub(crate) registry_fence: RegistryFence,
    pub(crate) quarantine: CrashQuarantine,
    pub(crate) reach: BackendReach,
    pub(crate) relays: RelayTargets,
    pub(crate) slots: SlotExchange,
    pub(crate) duties: DutyState,
    pub(crate) memory: MemoryExchange,
    pub(crate) read_ahead: ReadAheadTable,
    store_era: Cell<StoreEra>,
    pub(crate) shutdown: ShutdownState,
    pub(crate) metrics: Rc<GatewayMetrics>,
    pub(crate) log: LogWriter,
    pub(crate) suspend: SuspendDetector,
    /// Whether this gateway reads the store itself and gets no answer.
    pub(crate) is_store_lost: Cell<bool>,
    /// Wakes the held queries of other gateways when there is news for them.
    pub(crate) view_changed: Notify,
    /// Wakes waiting tasks when the gateway begins to stop.
    pub(crate) stop_notify: Notify,
    /// Tells idle connections of callers to close.
    pub(crate) idle_close: Notify,
    pub(crate) in_flight: Cell<usize>,
    /// The connections of callers.
    pub(crate) callers: Rc<ClientBudget>,
    /// The connections at the internal addresses.
    pub(crate) internal_clients: [Rc<ClientBudget>; 3],
    /// The connections that are told that there are too many.
    pub(crate) turned_away: Cell<usize>,
    /// The connections whose pipelined requests are slowed down.
    pub(crate) slowed: SlowedClients,
    pub(crate) bulk_rate: BulkRate,
    pub(crate) page_pace: PagePace,
    /// The bytes of answers that count towards the budget of [`crate::held_bytes`].
    pub(crate) held_bytes: Cell<usize>,
    /// The bytes of all answers that are not complete.
    pub(crate) answer_bytes: Cell<usize>,
    random: RefCell<SmallRng>,
}

impl GatewayCore {
    pub(crate) fn open(
        port: Rc<dyn PlatformPort>,
        settings: GatewaySettings,
        metrics: GatewayMetrics,
    ) -> Self {
        let quarantine = CrashQuarantine::new(&settings.name);
        let metrics = Rc::new(metrics);
        let mut random = SmallRng::from_os_rng();
        Self {
            log: LogWriter::spawn(&settings.name),
            port,
            settings: RefCell::new(Rc::new(settings)),
            view: RefCell::default(),
            fleet: RefCell::default(),
            pool: RefCell::default(),
            monitors: MonitorTable::default(),
            services: RefCell::default(),
            peers: PeerSocket::new(Rc::clone(&metrics)),
            origins: OriginExchange::default(),
            origin_log: OriginLog::default(),
            registry_contact: RegistryContact::default(),
            registry_fence: RegistryFence::default(),
            quarantine,
            reach: BackendReach::default(),
            relays: RelayTargets::default(),
            slots: SlotExchange::open(random.random()),
            duties: DutyState::open(random.random()),
            memory: MemoryExchange::default(),
            read_ahead: ReadAheadTable::default(),
            store_era: Cell::default(),
            shutdown: ShutdownState::default(),
            metrics,
            suspend: SuspendDetector::open(),
            is_store_lost: Cell::new(false),
            view_changed: Notify::new(),
            stop_notify: Notify::new(),
            idle_close: Notify::new(),
            in_flight: Cell::new(0),
            callers: Rc::new(ClientBudget::new(ClientSide::Callers)),
            internal_clients: ClientSide::INTERNAL.map(|side| Rc::new(ClientBudget::new(side))),
            turned_away: Cell::new(0),
            slowed: SlowedClients::default(),
            bulk_rate: BulkRate::default(),
            page_pace: PagePace::default(),
            held_bytes: Cell::new(0),
            answer_bytes: Cell::new(0),
            random: RefCell::new(random),
        }
    }

    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    pub(crate) fn manifest(&self) -> Option<Rc<Manifest>> {
        self.view.borrow().manifest.clone()
    }

    /// Returns the connections at an internal address.
    pub(crate) fn internal_clients(&self, side: ClientSide) -> &Rc<ClientBudget> {
        let at = ClientSide::INTERNAL.iter().position(|known| *known == side);
        &self.internal_clients[at.expect("the address is internal")]
    }

    /// Returns a random number from 0 up to 1.
    pub(crate) fn random(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Returns a random number.
    pub(crate) fn random_number(&self) -> u64 {
        self.random.borrow_mut().random()
    }

    /// Returns the addresses of the gateways that keep the origin of a stream.
    pub(crate) fn origin_replicas(
        &self,
        stream: StreamId,
        counts: ReplicaCounts,
    ) -> Vec<SocketAddr> {
        let settings = self.settings();
        let view = self.view.borrow();
        view.origin_replicas(stream, counts, &settings.name, &settings.centre)
    }

    /// Returns the newest era of the store that is known.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.store_era.get()
    }

    /// Takes over a newer era of the store. What was read in an older one is read again.
    pub(crate) fn raise_era(&self, era: StoreEra, source: &'static str) {
        let known = self.store_era.get();
        if era <= known {
            return;
        }
        self.store_era.set(era);
        let view = self.view.borrow();
        let fields = EraFields {
            source,
            era,
            known: view.version,
            manifest: view.manifest.as_ref().map(|manifest| manifest.version),
        };
        self.log.change("store-era", fields);
    }

    /// Logs an answer of the store whose era cannot be read.
    pub(crate) fn log_bad_era(&self, error: &DecodeError) {
        let fields = BadEraFields {
            known: self.store_era.get(),
            reason: error.to_string(),
        };
        self.log.change("store-era-unreadable", fields);
    }

    /// Returns whether the gateway can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.is_stopping()
            && self.view.borrow().manifest.is_some()
            && self.fleet.borrow().members().next().is_some()
    }

    /// Returns how many gateways share the fleet, including this one.
    pub(crate) fn gateway_count(&self) -> usize {
        let view = self.view.borrow();
        let floor = if view.version > StoreVersion::default() {
            1
        } else {
            ASSUMED_GATEWAYS
        };
        view.gateway_count(floor, monotonic_now())
    }

    /// Chooses a backend server for a request.
    pub(crate) fn choose(&self, query: &ChoiceQuery<'_>) -> Option<Choice> {
        let gateways = self.gateway_count();
        let pace = self.pace_terms(query, gateways);
        let services = self.services.borrow();
        let service = services.get(query.service)?;
        let settings = self.settings();
        let input = ChoiceInput {
            service: query.service,
            centre: &settings.centre,
            parts: &query.facts.parts,
            prompt_tokens: query.facts.prompt_tokens,
            urgency: query.urgency,
            first_target: query.route.latency_target,
            pause_limit: query.route.pause_limit,
            connections: &*self.pool.borrow(),
            tried: query.tried,
            accepts_full: query.accepts_full,
            version: query.version,
            gateways,
            service_latency: &service.latency,
            traffic: &service.traffic,
            pace,
            now: monotonic_now(),
        };
        choose_backend(&mut self.fleet.borrow_mut(), &input, || self.random())
    }

    /// Calls a function with the state of one service, which is created if it is missing.
    pub(crate) fn with_service<T>(
        &self,
        name: &Arc<str>,
        work: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        work(services.entry(Arc::clone(name)).or_default())
    }

    /// Calls a function with the state of one backend server, if it still exists.
    pub(crate) fn with_backend<T>(
        &self,
        key: BackendKey,
        work: impl FnOnce(&mut BackendState) -> T,
    ) -> Option<T> {
        let mut fleet = self.fleet.borrow_mut();
        fleet.get_mut(key).map(|member| work(&mut member.state))
    }

    /// Returns the relation of a connection's process to the one that the registry's entry describes; a gateway has no
    /// entry.
    pub(crate) fn process_link(&self, key: Option<BackendKey>, conn: &HttpConn) -> ProcessLink {
        let link_to =
            |key| self.with_backend(key, |state| state.process.link(conn.proof, conn.made_at));
        let link = key.and_then(link_to);
        link.unwrap_or(ProcessLink::Presumed)
    }

    /// Returns whether streams may go on at a backend server, as far as its process is concerned.
    pub(crate) fn takes_resumes(&self, key: BackendKey) -> bool {
        self.with_backend(key, |state| state.process.takes_resumes()) == Some(true)
    }

    /// Returns the address of a backend server, if it still exists.
    pub(crate) fn backend_address(&self, key: BackendKey) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(key).map(|member| member.entry.address)
    }

    /// Returns the hash of a backend server's id, if it still exists.
    pub(crate) fn backend_hash(&self, key: BackendKey) -> Option<u64> {
        self.fleet.borrow().get(key).map(|member| member.id_hash)
    }

    /// Returns the backend server whose id has this hash.
    pub(crate) fn backend_key(&self, id_hash: u64) -> Option<BackendKey> {
        self.fleet.borrow().key_of_hash(id_hash)
    }

    /// Takes one extra send out of a service's retry budget; returns whether it was allowed.
    pub(crate) fn take_retry(&self, service: &Arc<str>) -> bool {
        let gateways = self.gateway_count();
        let limits = self.settings().retry;
        let is_allowed = self.with_service(service, |state| {
            state.retries.try_take(&limits, gateways, monotonic_now())
        });
        self.metrics.record_retry(service, is_allowed);
        is_allowed
    }

    /// Changes the view, logs what changed and closes the idle connections that this invalidates.
    pub(crate) fn update_view(
        &self,
        source: &'static str,
        change: impl FnOnce(&mut PlatformView, &mut ApplyContext<'_>),
    ) {
        let mut fleet = self.fleet.borrow_mut();
        let mut context = ApplyContext {
            fleet: &mut fleet,
            port: &*self.port,
            now: monotonic_now(),
            update: ViewUpdate::default(),
        };
        change(&mut self.view.borrow_mut(), &mut context);
        let update = context.update;
        drop(fleet);
        self.origins.observe(self);
        if !update.changes.is_empty() {
            self.view_changed.notify_waiters();
        }
        self.on_view_update(update, source);
    }

    fn on_view_update(&self, update: ViewUpdate, source: &'static str) {
        for change in &update.changes {
            self.log
                .change("belief", ViewChangeFields { source, change });
        }
        let mut pool = self.pool.borrow_mut();
        for key in update.disconnected {
            pool.discard(key);
        }
    }

    pub(crate) fn gauges(&self) -> GaugeReading {
        let view = self.view.borrow();
        let now = monotonic_now();
        GaugeReading {
            manifest_version: view.manifest.as_ref().map_or(0, |known| known.version),
            store_era: self.store_era(),
            store_contact_age: view.store_contact.map(|contact| now.since(contact)),
            backends: self.fleet.borrow().members().count(),
            kept_connections: self.pool.borrow().len(),
            in_flight: self.in_flight.get(),
            caller_connections: self.callers.len(),
            internal_connections: self
                .internal_clients
                .iter()
                .map(|clients| clients.len())
                .sum(),
            held_bytes: self.callers.held() + self.answer_bytes.get(),
            slowed_connections: self.slowed.count(),
            quarantined: self.quarantine.counts(),
            is_cut_off: self.reach.is_cut_off(),
            slots: self.slots.counts(),
            duties: self.duties.status(),
            memory: self.memory.counts(),
            read_ahead_bytes: self.read_ahead.held_bytes(),
        }
    }
}

#[derive(Debug, serde::Serialize)]
struct ViewChangeFields<'a> {
    source: &'static str,
    #[serde(flatten)]
    change: &'a crate::platform_view::ViewChange,
}

#[derive(Debug, serde::Serialize)]
struct EraFields {
    source: &'static str,
    era: StoreEra,
    /// The version up to which this gateway's view was complete.
    known: StoreVersion,
    /// The manifest in force, which stays in force.
    manifest: Option<u64>,
}

#[derive(Debug, serde::Serialize)]
struct BadEraFields {
    known: StoreEra,
    reason: String,
}

/// The properties of a request that the choice of a backend server depends on.
#[derive(Debug)]
pub(crate) struct ChoiceQuery<'a> {
    pub(crate) service: &'a str,
    pub(crate) facts: &'a CallFacts,
    pub(crate) route: &'a RouteSpec,
    pub(crate) urgency: u8,
    pub(crate) tried: &'a [BackendKey],
    /// Whether a backend server without a free slot may be chosen.
    pub(crate) accepts_full: bool,
    pub(crate) version: Option<VersionId>,
    /// What matters at a service whose backend servers report their pace.
    pub(crate) paced: PacedRequest,
}

/// Counts one send at its backend server until it is dropped.
#[derive(Debug)]
pub(crate) struct SendGuard {
    core: Rc<GatewayCore>,
    key: Option<BackendKey>,
    send: Option<InFlightSend>,
    /// The slot of a brittle backend server.
    slot: Option<SlotLease>,
    /// The memory that the request holds at a model engine.
    memory: Option<MemoryHold>,
}

impl SendGuard {
    pub(crate) fn open(
        core: &Rc<GatewayCore>,
        choice: &Choice,
        slot: Option<SlotLease>,
        memory: Option<MemoryHold>,
    ) -> Self {
        let send = core.with_backend(choice.key, |state| {
            state.sent(choice.prefill.total(), choice.is_short, monotonic_now())
        });
        Self {
            core: Rc::clone(core),
            key: Some(choice.key),
            send,
            slot,
            memory,
        }
    }

    /// Creates a guard for a send that goes to no backend server.
    pub(crate) fn detached(core: &Rc<GatewayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            key: None,
            send: None,
            slot: None,
            memory: None,
        }
    }

    /// Gives the slot and the memory back, if there are any; returns whether there was a slot.
    pub(crate) fn end_slot(&mut self, end: LeaseEnd) -> bool {
        if let Some(memory) = self.memory.take() {
            memory.end();
        }
        let slot = self.slot.take();
        let had_slot = slot.is_some();
        if let Some(slot) = slot {
            slot.end(end);
        }
        had_slot
    }

    /// Counts the send no longer, because the backend server has ended its part.
    pub(crate) fn end_send(&mut self) {
        if let (Some(key), Some(send)) = (self.key, self.send.take()) {
            self.core.with_backend(key, |state| state.ended(send));
        }
    }

    /// Marks the prompt as read by the backend server.
    pub(crate) fn mark_prompt_read(&mut self) {
        if let (Some(key), Some(send)) = (self.key, &mut self.send) {
            self.core.with_backend(key, |state| state.prompt_read(send));
        }
    }

    /// Records the load that was reported with an answer, if any.
    pub(crate) fn record_load(&self, load: Option<LoadReport>) {
        if let (Some(key), Some(load)) = (self.key, load) {
            self.core
                .with_backend(key, |state| state.reported(load, monotonic_now()));
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.end_send();
    }
}
