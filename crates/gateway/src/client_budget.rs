//! Applies the bounds on connections and memory to the clients of one address.
//!
//! `oleander_balance::ClientLedger` decides which connection gives way; this module signals the task of that
//! connection to end it (docs/design/client-limits.md).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{
    ClientId, ClientLedger, ClientLimits, ClientPhase, ClientVictim, PlaceGrant,
};
use oleander_base::{FastMap, monotonic_now};
use serde::Serialize;
use tokio::sync::Notify;

use crate::client_turn::WorkTurn;
use crate::core::GatewayCore;
use crate::log_line::LineKind;
use crate::prelude::*;

/// The memory that a connection takes besides what it holds: its task, a read buffer and the kernel's
/// records, in bytes.
const CONNECTION_BYTES: usize = 24 * 1024;

/// The part of the process's memory that is for clients and for held answers, as a divisor. The rest is for
/// the process itself, for the kernel's buffers and for what the allocator cannot use.
const MEMORY_DIVISOR: u64 = 2;

/// The number of equal parts that the memory for clients is divided into. [`ClientSide::memory_parts`] assigns them to
/// the addresses.
const MEMORY_PARTS: usize = 16;

/// The share of an address's memory that its connections may take by their number alone, as a fraction. The rest
/// remains for what they hold.
const CONNECTION_SHARE: (usize, usize) = (3, 4);

/// The file descriptors that are not for sockets: files, pipes and those of the runtime.
const FILE_DESCRIPTORS: u32 = 200;

/// The number of sockets of which one may be a connection to a backend server that is kept without a request.
const KEPT_SOCKET_DIVISOR: u32 = 8;

/// The least number of connections at an address. With fewer, clients that connect again and again take the place of a
/// proper client before its request has arrived.
const MIN_CONNECTIONS: u32 = 16;

/// The addresses at which a gateway has clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClientSide {
    Callers,
    Readiness,
    Metrics,
    Control,
}

impl ClientSide {
    /// The addresses that are not for callers.
    pub(crate) const INTERNAL: [Self; 3] = [Self::Readiness, Self::Metrics, Self::Control];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Control => "control",
        }
    }

    /// Returns how many of [`MEMORY_PARTS`] are for this address.
    fn memory_parts(self) -> usize {
        match self {
            Self::Callers => 10,
            Self::Control => 4,
            Self::Readiness | Self::Metrics => 1,
        }
    }

    /// Returns the number of sockets of which one is for this address. A request may need another socket to
    /// a backend server, so callers get less than half; the control address needs one for each gateway that
    /// may query this one.
    fn socket_divisor(self) -> u32 {
        match self {
            Self::Callers => 3,
            Self::Control => 8,
            Self::Readiness | Self::Metrics => 64,
        }
    }
}

/// Why a connection was ended in favour of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EvictionCause {
    Memory,
    Places,
}

impl EvictionCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Places => "places",
        }
    }

    /// Returns the reason for the client.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Memory => "the gateway has no memory left for this request",
            Self::Places => "the gateway has too many connections",
        }
    }
}

/// Tells a connection's task to end.
#[derive(Debug, Default)]
struct EvictionSignal {
    cause: Cell<Option<EvictionCause>>,
    notify: Notify,
}

/// The connections of one address.
#[derive(Debug)]
pub(crate) struct ClientBudget {
    side: ClientSide,
    ledger: RefCell<ClientLedger>,
    signals: RefCell<FastMap<ClientId, Rc<EvictionSignal>>>,
}

#[derive(Debug, Serialize)]
struct EvictedFields {
    side: &'static str,
    cause: &'static str,
    phase: &'static str,
    age_ms: f64,
    bytes: usize,
    held: usize,
    limit: usize,
    connections: usize,
    max_connections: usize,
}

#[derive(Debug, Serialize)]
struct TurnedAwayFields {
    side: &'static str,
    connections: usize,
    max_connections: usize,
}

impl ClientBudget {
    pub(crate) fn new(side: ClientSide) -> Self {
        Self {
            side,
            ledger: RefCell::default(),
            signals: RefCell::default(),
        }
    }

    /// Admits a connection once there is a place for it, unless none can be had. Meanwhile no other connection is
    /// accepted.
    pub(crate) async fn admit(self: &Rc<Self>, core: &Rc<GatewayCore>) -> Option<ClientHold> {
        loop {
            let limits = limits(&core.settings(), self.side);
            let grant = self.ledger.borrow_mut().open(&limits, monotonic_now());
            match grant {
                PlaceGrant::Granted(id, victim) => return Some(self.hold(core, id, victim)),
                PlaceGrant::Later(wait) => tokio::time::sleep(Duration::from(wait)).await,
                PlaceGrant::Full => {
                    self.log_full(core, &limits);
                    return None;
                }
            }
        }
    }

    fn log_full(&self, core: &GatewayCore, limits: &ClientLimits) {
        core.metrics.record_eviction(self.side.as_str(), "full");
        let fields = TurnedAwayFields {
            side: self.side.as_str(),
            connections: self.len(),
            max_connections: limits.connections,
        };
        core.log
            .request("client-turned-away", LineKind::Failure, "", fields);
    }

    fn hold(
        self: &Rc<Self>,
        core: &Rc<GatewayCore>,
        id: ClientId,
        victim: Option<ClientVictim>,
    ) -> ClientHold {
        if let Some(victim) = victim {
            self.evict(core, &victim, EvictionCause::Places);
        }
        let signal = Rc::new(EvictionSignal::default());
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        ClientHold {
            core: Rc::clone(core),
            budget: Rc::clone(self),
            id,
            bytes: Cell::new(0),
            signal,
        }
    }

    /// Returns the bytes that all connections hold.
    pub(crate) fn held(&self) -> usize {
        self.ledger.borrow().held()
    }

    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.ledger.borrow().len()
    }

    fn evict(&self, core: &GatewayCore, victim: &ClientVictim, cause: EvictionCause) {
        if let Some(signal) = self.signals.borrow_mut().remove(&victim.id) {
            signal.cause.set(Some(cause));
            signal.notify.notify_one();
        }
        core.metrics
            .record_eviction(self.side.as_str(), cause.as_str());
        let limits = limits(&core.settings(), self.side);
        let fields = EvictedFields {
            side: self.side.as_str(),
            cause: cause.as_str(),
            phase: phase_name(victim.phase),
            age_ms: victim.age.as_millis_f64(),
            bytes: victim.bytes,
            held: self.held(),
            limit: limits.bytes,
            connections: self.len(),
            max_connections: limits.connections,
        };
        core.log
            .request("client-evicted", LineKind::Failure, "", fields);
    }
}

/// The place and the memory of one connection, until this is dropped.
#[derive(Debug)]
pub(crate) struct ClientHold {
    core: Rc<GatewayCore>,
    budget: Rc<ClientBudget>,
    id: ClientId,
    bytes: Cell<usize>,
    signal: Rc<EvictionSignal>,
}

impl ClientHold {
    /// Waits until the rate of all long bodies together allows what was read, if the connection's turn is used up.
    pub(crate) async fn share_bulk_rate(&self, turn: &mut WorkTurn) {
        let link_mbps = self.core.settings().link_mbps;
        turn.share_if_used(&self.core.bulk_rate, link_mbps).await;
    }

    /// Returns the bytes that the connection holds.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns whether the connection has to give way; its place then belongs to another one already.
    pub(crate) fn is_evicted(&self) -> bool {
        self.signal.cause.get().is_some()
    }

    /// Records what the connection does from now on.
    pub(crate) fn enter(&self, phase: ClientPhase) {
        let mut ledger = self.budget.ledger.borrow_mut();
        ledger.enter(self.id, phase, monotonic_now());
    }

    /// Holds this many bytes in all, unless the connection has to give way itself.
    pub(crate) fn resize(&self, bytes: usize) -> Result<(), EvictionCause> {
        if let Some(cause) = self.signal.cause.get() {
            return Err(cause);
        }
        let core = &self.core;
        let limits = limits(&core.settings(), self.budget.side);
        let others = match self.budget.side {
            ClientSide::Callers => core.answer_bytes.get(),
            _ => 0,
        };
        let grant = self.budget.ledger.borrow_mut().resize(
            self.id,
            bytes,
            others,
            &limits,
            monotonic_now(),
        );
        for victim in &grant.victims {
            self.budget.evict(core, victim, EvictionCause::Memory);
        }
        if grant.is_granted {
            self.bytes.set(bytes);
            return Ok(());
        }
        let side = self.budget.side.as_str();
        core.metrics.record_eviction(side, "no-memory");
        Err(EvictionCause::Memory)
    }

    /// Waits until the connection has to give way.
    pub(crate) async fn evicted(&self) -> EvictionCause {
        loop {
            if let Some(cause) = self.signal.cause.get() {
                return cause;
            }
            self.signal.notify.notified().await;
        }
    }
}

impl Drop for ClientHold {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().close(self.id);
        self.budget.signals.borrow_mut().remove(&self.id);
    }
}

/// Returns how many connections to backend servers may be kept open without a request.
pub(crate) fn max_kept_connections(settings: &GatewaySettings) -> usize {
    sockets(settings).map_or(usize::MAX, |sockets| {
        (sockets / KEPT_SOCKET_DIVISOR) as usize
    })
}

/// Returns the number of descriptors that are for sockets, if that is limited.
fn sockets(settings: &GatewaySettings) -> Option<u32> {
    let descriptors = settings.descriptors?;
    Some(descriptors.saturating_sub(FILE_DESCRIPTORS))
}

/// Returns the limits of one address. The memory is not limited unless the settings limit it.
fn limits(settings: &GatewaySettings, side: ClientSide) -> ClientLimits {
    let bytes = settings.memory_bytes.map_or(usize::MAX, |bytes| {
        let budget = usize::try_from(bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        budget / MEMORY_PARTS * side.memory_parts()
    });
    let (numerator, denominator) = CONNECTION_SHARE;
    let by_memory = bytes / denominator * numerator / CONNECTION_BYTES;
    let by_descriptors = sockets(settings).map_or(usize::MAX, |sockets| {
        (sockets / side.socket_divisor()).max(MIN_CONNECTIONS) as usize
    });
    ClientLimits {
        bytes,
        connections: by_memory.min(by_descriptors).max(1),
        connection_bytes: CONNECTION_BYTES,
    }
}

fn phase_name(phase: ClientPhase) -> &'static str {
    match phase {
        ClientPhase::Fresh => "fresh",
        ClientPhase::Receiving => "receiving",
        ClientPhase::Running => "running",
        ClientPhase::Delivering => "delivering",
        ClientPhase::Idle => "idle",
    }
}
