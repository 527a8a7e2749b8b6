//! Detects that the memory of a backend server is scarce, and reports that to other gateways.

use std::sync::Arc;

use oleander_balance::{BackendKey, FillView, GuardSpan, OthersCount, REPORT_TTL, ReportedOthers};
use oleander_base::monotonic_now;
use serde::Serialize;

use super::hold::tell_owners;
use super::owner::open_ledger;
use super::{GuardRecord, MemoryMessage};
use crate::core::GatewayCore;
use crate::gossip::pick_targets;
use crate::log_line::LineKind;
use crate::peer_message::PeerMessage;
use crate::prelude::*;

/// The number of gateways to which a guard that is switched on is sent at once; each of them sends it to as many. With
/// three, one gateway in seventeen would learn of it only with the next round, and send without leases until then.
pub(super) const NEWS_FANOUT: usize = 5;

/// What a request needs at the backend server that is chosen for it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemoryDemand<'a> {
    pub(crate) key: BackendKey,
    pub(crate) service: &'a Arc<str>,
    /// The memory of the backend server, in tokens.
    pub(crate) capacity: u64,
    /// What the request needs at most, in tokens.
    pub(crate) tokens: u32,
    /// The tokens of its prompt.
    pub(crate) prompt_tokens: u32,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct GuardOnFields<'a> {
    backend: Option<&'a str>,
    /// `estimate` if this gateway's own estimate decided, `told` if another gateway reported the guard.
    source: &'static str,
    own_tokens: Option<u64>,
    others: Option<f64>,
    report_age_ms: Option<f64>,
    estimate: Option<f64>,
    capacity: Option<u64>,
}

/// Returns the memory of each backend server of a service, if requests there must not exceed it.
pub(crate) fn guarded_capacity(core: &GatewayCore, service: &str) -> Option<u64> {
    if !core.settings().guards_memory {
        return None;
    }
    let engine = core.manifest()?.service(service)?.engine?;
    Some(engine.memory_tokens).filter(|tokens| *tokens > 0)
}

/// Returns whether a request needs a lease on memory. Switches the guard on if the memory is scarce with it.
pub(crate) fn needs_lease(core: &GatewayCore, demand: &MemoryDemand<'_>) -> bool {
    let now = monotonic_now();
    let is_on = core.with_backend(demand.key, |state| state.memory.is_on(now));
    if is_on != Some(false) {
        return is_on.unwrap_or(false);
    }
    let sample = ServiceSample::take(core, demand.service);
    let services = core.services.borrow();
    let Some(service) = services.get(demand.service) else {
        return false;
    };
    let scarce = core.with_backend(demand.key, |state| {
        let reported = state.fresh_report(REPORT_TTL, now).map(|(_, at)| at);
        let others = match reported {
            Some(at) => {
                let report = ReportedOthers {
                    count: (state.running(0.0, now) - f64::from(state.own_running)).max(0.0),
                    age: now.since(at),
                    own_sends: service.needs.sent_since(at) as f64,
                    hold_time: Span((service.latency.slot_time_ms() * 1e3) as u64),
                };
                OthersCount::reported(&report, sample.scale)
            }
            None => OthersCount::unreported(sample.own_running, sample.scale),
        };
        let view = FillView {
            others,
            needs: &service.needs,
            capacity: demand.capacity,
        };
        let memory = &state.memory;
        memory
            .is_scarce_with(demand.tokens, &view)
            .then(|| GuardOnFields {
                backend: None,
                source: "estimate",
                own_tokens: Some(memory.own_tokens()),
                others: Some(others.mean.round()),
                report_age_ms: reported.map(|at| now.since(at).as_millis_f64()),
                estimate: Some(memory.estimate(&view).round()),
                capacity: Some(demand.capacity),
            })
    });
    drop(services);
    let Some(fields) = scarce.flatten() else {
        return false;
    };
    let span = GuardSpan {
        since: now,
        needed_at: now,
    };
    switch_on(core, demand.key, span, fields);
    true
}

/// This gateway's requests of a service as a sample, from which the requests of the other gateways are estimated.
#[derive(Debug, Clone, Copy)]
struct ServiceSample {
    /// The number of its requests at all backend servers.
    own_running: f64,
    /// The number of other gateways for each backend server.
    scale: f64,
}

impl ServiceSample {
    fn take(core: &GatewayCore, service: &str) -> Self {
        let others = core.gateway_count().saturating_sub(1);
        let fleet = core.fleet.borrow();
        let keys = fleet.service_keys(service);
        let members = keys.iter().filter_map(|key| fleet.get(*key));
        let own: u32 = members.map(|member| member.state.own_running).sum();
        Self {
            own_running: f64::from(own),
            scale: others as f64 / keys.len().max(1) as f64,
        }
    }
}

/// Switches a guard on, or prolongs it, because another gateway reports it.
pub(super) fn apply_guard(core: &GatewayCore, record: &GuardRecord) {
    let Some(key) = core.backend_key(record.backend) else {
        return;
    };
    let fields = GuardOnFields {
        backend: None,
        source: "told",
        own_tokens: core.with_backend(key, |state| state.memory.own_tokens()),
        others: None,
        report_age_ms: None,
        estimate: None,
        capacity: None,
    };
    switch_on(core, key, record.span(monotonic_now()), fields);
}

/// Notes that the guard is needed. If it was off, it is sent to other gateways at once, and this gateway reports to the
/// owners of the memory what its requests hold: the owners can lease only what they know to be free.
fn switch_on(core: &GatewayCore, key: BackendKey, span: GuardSpan, fields: GuardOnFields<'_>) {
    let now = monotonic_now();
    let was_off = core.with_backend(key, |state| state.memory.note_needed(span, now));
    if was_off != Some(true) {
        return;
    }
    let fleet = core.fleet.borrow();
    let id = fleet.get(key).map(|member| Arc::clone(&member.entry.id));
    drop(fleet);
    let fields = GuardOnFields {
        backend: id.as_deref(),
        ..fields
    };
    core.log.request(
        "memory-guard-on",
        LineKind::Normal,
        id.as_deref().unwrap_or(""),
        fields,
    );
    open_ledger(core, key);
    if let Some(record) = guard_record(core, key, now) {
        let targets = pick_targets(core, NEWS_FANOUT);
        send_guards(core, vec![record], &targets);
    }
    tell_owners(core, now, |hold| hold.key == key);
}

/// Returns what is known of the guard of a backend server, if it is on.
pub(super) fn guard_record(
    core: &GatewayCore,
    key: BackendKey,
    now: MonoTime,
) -> Option<GuardRecord> {
    let fleet = core.fleet.borrow();
    let member = fleet.get(key)?;
    let span = member.state.memory.span(now)?;
    Some(GuardRecord::new(member.id_hash, span, now))
}

pub(super) fn send_guards(
    core: &GatewayCore,
    records: Vec<GuardRecord>,
    targets: &[std::net::SocketAddr],
) {
    let message = MemoryMessage::Guards(records);
    core.peers.send(PeerMessage::Memory(message), targets);
}
