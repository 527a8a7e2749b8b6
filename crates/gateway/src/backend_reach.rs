//! Finds out whether this gateway is cut off from all backend servers.
//!
//! Failed sends are the evidence; probes decide (`oleander_balance::ReachTracker`). While it is cut off
//! the gateway relays its callers' requests to others and goes on probing, so that it notices soon when
//! its links are back (docs/PLATFORM.md, "Cut off from backend servers").

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::{
    BackendKey, ProbeCandidate, ProbeRound, ReachFailure, ReachTracker, pick_probes,
};
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::core::GatewayCore;
use crate::exchange::{connect_backend, connect_gateway};
use crate::prelude::*;

/// The number of backend servers that must all refuse a connection before the gateway counts as cut off,
/// if there are as many. Fewer may all have crashed.
const DECISIVE_PROBES: usize = 8;

/// The number of backend servers that are probed together while the gateway is cut off.
const CUT_OFF_PROBES: usize = 3;

/// The number of other gateways that are probed beside them.
const GATEWAY_PROBES: usize = 3;

/// The time between two rounds of probes while the gateway is cut off.
const PROBE_INTERVAL: Span = Span::from_millis(500);

#[derive(Debug, Serialize)]
struct LostFields {
    /// The number of backend servers in the registry.
    backends: usize,
}

/// The probes that did not come about while this gateway's own link was slow.
#[derive(Debug, Serialize)]
struct OwnLinkFields {
    backends: usize,
    gateways: usize,
}

#[derive(Debug, Serialize)]
struct RegainedFields {
    away_ms: f64,
}

/// The state of this gateway's own links to backend servers.
#[derive(Debug, Default)]
pub(crate) struct BackendReach {
    tracker: RefCell<ReachTracker>,
    is_probing: Cell<bool>,
    settled: Notify,
}

impl BackendReach {
    /// Notes that a send failed, and probes if that raises a doubt.
    pub(crate) fn on_failure(
        &self,
        core: &Rc<GatewayCore>,
        key: BackendKey,
        failure: ReachFailure,
    ) {
        let backends = core.fleet.borrow().members().count();
        let mut tracker = self.tracker.borrow_mut();
        let is_doubtful = tracker.on_failure(key, failure, backends, monotonic_now());
        if is_doubtful && !self.is_probing.replace(true) {
            spawn_local(run_probes(Rc::clone(core)));
        }
    }

    /// Notes that a new connection to a backend server was made.
    pub(crate) fn on_connected(&self, core: &GatewayCore) {
        self.settled.notify_waiters();
        let Some(away) = self.tracker.borrow_mut().on_connected(monotonic_now()) else {
            return;
        };
        // Failures during the cut say nothing about the backend servers.
        core.fleet.borrow_mut().reopen_all();
        let fields = RegainedFields {
            away_ms: away.as_millis_f64(),
        };
        core.log.change("backends-regained", fields);
    }

    /// Returns whether this gateway is cut off from all backend servers.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.tracker.borrow().is_cut_off()
    }

    /// Returns whether what this gateway sees of backend servers may be due to its own links.
    pub(crate) fn is_doubtful(&self, core: &GatewayCore) -> bool {
        let backends = core.fleet.borrow().members().count();
        let tracker = self.tracker.borrow();
        tracker.is_doubtful(backends, monotonic_now())
    }

    /// Waits until a doubt is settled; returns whether this gateway reaches backend servers.
    pub(crate) async fn settle(&self, core: &GatewayCore) -> bool {
        while self.is_doubtful(core) && !self.is_cut_off() {
            // A doubt also ends by itself after a while.
            let _ = timeout(Duration::from(PROBE_INTERVAL), self.settled.notified()).await;
        }
        !self.is_cut_off()
    }

    fn on_probes(&self, core: &GatewayCore, round: ProbeRound) {
        let is_new = self.tracker.borrow_mut().on_probes(round, monotonic_now());
        self.settled.notify_waiters();
        if round.reached_gateway == Some(false) && !self.is_cut_off() {
            let fields = OwnLinkFields {
                backends: DECISIVE_PROBES,
                gateways: GATEWAY_PROBES,
            };
            core.log.change("own-link-slow", fields);
        }
        if !is_new {
            return;
        }
        core.pool.borrow_mut().clear();
        let backends = core.fleet.borrow().members().count();
        core.log.change("backends-lost", LostFields { backends });
    }

    fn pick_probes(&self, core: &GatewayCore, count: usize) -> Vec<BackendKey> {
        let own_centre = &core.settings().centre;
        let tracker = self.tracker.borrow();
        let fleet = core.fleet.borrow();
        let candidates = fleet.members().map(|(key, member)| ProbeCandidate {
            key,
            is_near: member.entry.centre == *own_centre,
            has_failed: tracker.has_failed(key),
            order: core.random_number(),
        });
        pick_probes(candidates.collect(), count)
    }
}

/// Probes until a connection is made that settles the last doubt.
async fn run_probes(core: Rc<GatewayCore>) {
    while core.reach.is_doubtful(&core) {
        let round = if core.reach.is_cut_off() {
            ProbeRound {
                reached_backend: reaches_any(&core, CUT_OFF_PROBES).await,
                reached_gateway: None,
            }
        } else if reaches_any(&core, 1).await {
            continue;
        } else {
            probe_widely(&core).await
        };
        if !round.reached_backend {
            core.reach.on_probes(&core, round);
            sleep(Duration::from(PROBE_INTERVAL)).await;
        }
    }
    core.reach.is_probing.set(false);
}

/// Probes many backend servers, and at the same time other gateways.
async fn probe_widely(core: &Rc<GatewayCore>) -> ProbeRound {
    let (reached_backend, reached_gateway) =
        tokio::join!(reaches_any(core, DECISIVE_PROBES), reaches_gateway(core));
    ProbeRound {
        reached_backend,
        reached_gateway,
    }
}

/// Returns whether one of some other gateways accepts a connection where it takes relayed requests; `None`
/// if there is no other one.
async fn reaches_gateway(core: &Rc<GatewayCore>) -> Option<bool> {
    let mut picked = Vec::new();
    let mut probes = JoinSet::new();
    while picked.len() < GATEWAY_PROBES {
        let Some(gateway) = core.relays.pick(core, &picked) else {
            break;
        };
        picked.push(gateway.name);
        let core = Rc::clone(core);
        probes.spawn_local(async move { connect_gateway(&core, gateway.frontend).await.is_ok() });
    }
    let mut reached = None;
    while let Some(probe) = probes.join_next().await {
        if matches!(probe, Ok(true)) {
            return Some(true);
        }
        reached = Some(false);
    }
    reached
}

/// Returns whether one of some backend servers accepts a connection, which is kept.
async fn reaches_any(core: &Rc<GatewayCore>, count: usize) -> bool {
    let mut probes = JoinSet::new();
    for key in core.reach.pick_probes(core, count) {
        let core = Rc::clone(core);
        probes.spawn_local(async move { connects(&core, key).await });
    }
    while let Some(probe) = probes.join_next().await {
        if matches!(probe, Ok(true)) {
            return true;
        }
    }
    false
}

/// Connects to a backend server and keeps the connection; returns whether that succeeded.
async fn connects(core: &GatewayCore, key: BackendKey) -> bool {
    let Some(address) = core.backend_address(key) else {
        return false;
    };
    match connect_backend(core, address).await {
        Ok(conn) => {
            core.pool.borrow_mut().put(key, conn, None, monotonic_now());
            true
        }
        Err(_) => false,
    }
}
