//! Exchanges load reports and failures between gateways, as UDP datagrams, and hands on the
//! datagrams about the origins of streams.
//!
//! An answer tells one gateway the load of one backend server. With many gateways, each one reaches
//! a given backend server so rarely that it would know nothing of the others' requests. Every
//! gateway therefore forwards the newest reports that it knows, its own or received, to a few
//! random others, so that a report reaches all of them in a few rounds. Each message is bounded, so
//! the traffic that a gateway sends does not grow with the fleet (docs/CAPACITY.md). Messages also
//! carry the backend servers that were found to be down, so that not every gateway has to spend a
//! request on detecting that. A lost message does no harm, because the next one carries newer
//! reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::LoadReport;
use oleander_base::monotonic_now;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::brittle_news::{apply_brittle, send_brittle};
use crate::core::GatewayCore;
use crate::duty::apply_batch;
use crate::limit_news::{apply_limits, send_limits};
use crate::memory::{on_memory_message, send_memory_round};
use crate::pace_news::{apply_paces, send_paces};
use crate::peer_message::{
    DownRecord, LoadMessage, LoadRecord, MAX_DATAGRAM_BYTES, PeerMessage, decode,
};
use crate::prelude::*;
use crate::slots::{on_slot_message, send_slot_round};

/// The mean time between two rounds.
const ROUND_INTERVAL: Span = Span::from_millis(333);

/// The number of gateways that a round's message is sent to.
const FANOUT: usize = 2;

/// The greatest number of load reports in one message.
const MAX_REPORTS: usize = 50;

/// The greatest number of backend servers reported down in one message.
const MAX_DOWNS: usize = 10;

/// The greatest age of a load report that is forwarded.
const MAX_REPORT_AGE: Span = Span::from_millis(1_200);

#[derive(Debug, Serialize)]
struct BackendDownFields<'a> {
    backend: &'a str,
    age_ms: u16,
}

/// Sends and receives gossip for as long as the process runs.
pub(crate) async fn run_gossip(core: Rc<GatewayCore>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let pause = Duration::from(ROUND_INTERVAL).mul_f64(0.75 + 0.5 * core.random());
        let round = sleep(pause);
        tokio::pin!(round);
        loop {
            tokio::select! {
                biased;
                () = &mut round => break,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => receive(&core, &buffer[..length], from),
                    // An unreachable gateway shows up as an error of the next read. It leaves the
                    // list of gateways when its lease expires.
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
            }
        }
        let targets = pick_targets(&core, FANOUT);
        send_news(&core, &targets);
        core.quarantine.send_round(&core, &targets);
        send_limits(&core, &targets);
        send_brittle(&core, &targets);
        send_slot_round(&core);
        send_paces(&core, &targets);
        send_memory_round(&core, &targets);
    }
}

fn send_news(core: &GatewayCore, targets: &[SocketAddr]) {
    let reports = fresh_reports(core);
    let downs = fresh_downs(core);
    if reports.is_empty() && downs.is_empty() {
        return;
    }
    let message = PeerMessage::Load(LoadMessage { reports, downs });
    core.peers.send(message, targets);
}

/// Returns the newest load reports, newest first.
fn fresh_reports(core: &GatewayCore) -> Vec<LoadRecord> {
    let now = monotonic_now();
    let fleet = core.fleet.borrow();
    let mut records: Vec<LoadRecord> = fleet
        .members()
        .filter_map(|(_, member)| {
            let (report, at) = member.state.fresh_report(MAX_REPORT_AGE, now)?;
            Some(LoadRecord {
                id_hash: member.id_hash,
                age_ms: age_ms(at, now),
                running: u16::try_from(report.running).unwrap_or(u16::MAX),
                waiting: u16::try_from(report.waiting).unwrap_or(u16::MAX),
            })
        })
        .collect();
    records.sort_unstable_by_key(|report| report.age_ms);
    records.truncate(MAX_REPORTS);
    records
}

/// Returns the backend servers that were last found to be down, here or by other gateways, newest
/// first.
///
/// There are none while this gateway may itself be cut off from them.
fn fresh_downs(core: &GatewayCore) -> Vec<DownRecord> {
    if core.reach.is_doubtful(core) {
        return Vec::new();
    }
    let now = monotonic_now();
    let fleet = core.fleet.borrow();
    let mut downs: Vec<DownRecord> = fleet
        .members()
        .filter_map(|(_, member)| {
            let at = member.state.down_since(now)?;
            Some(DownRecord {
                id_hash: member.id_hash,
                age_ms: age_ms(at, now),
            })
        })
        .collect();
    downs.sort_unstable_by_key(|down| down.age_ms);
    downs.truncate(MAX_DOWNS);
    downs
}

pub(crate) fn age_ms(at: MonoTime, now: MonoTime) -> u16 {
    u16::try_from(now.since(at).0 / 1_000).unwrap_or(u16::MAX)
}

/// Returns the time `age_ms` milliseconds before `now`.
pub(crate) fn time_before(age_ms: u16, now: MonoTime) -> MonoTime {
    let age = Span::from_millis(u64::from(age_ms));
    MonoTime(now.0.saturating_sub(age.0))
}

/// Returns the addresses of other gateways, chosen at random.
pub(crate) fn pick_targets(core: &GatewayCore, count: usize) -> Vec<SocketAddr> {
    let settings = core.settings();
    let mut addresses = core.view.borrow().gossip_addresses(&settings.name);
    let mut targets = Vec::with_capacity(count);
    while targets.len() < count && !addresses.is_empty() {
        let index = (core.random() * addresses.len() as f64) as usize;
        targets.push(addresses.swap_remove(index.min(addresses.len() - 1)));
    }
    targets
}

/// Handles one datagram of another gateway.
fn receive(core: &GatewayCore, bytes: &[u8], from: SocketAddr) {
    let Some(message) = decode(bytes) else {
        core.metrics.record_ignored_datagram();
        return;
    };
    core.memory.mark_heard(monotonic_now());
    match message {
        PeerMessage::Load(load) => apply_load(core, load),
        PeerMessage::Origins(records) => {
            core.origins.on_records(&records);
            core.origin_log.collect(&records);
        }
        PeerMessage::OriginQuery(query) => {
            let reply = core.origins.reply(core, &query);
            core.peers.send(PeerMessage::OriginReply(reply), &[from]);
        }
        PeerMessage::OriginReply(reply) => core.origins.on_reply(&reply, from),
        PeerMessage::Suspects(records) => core.quarantine.on_records(core, &records),
        PeerMessage::RateLimits(records) => apply_limits(core, &records),
        PeerMessage::Brittle(records) => apply_brittle(core, &records),
        PeerMessage::Slots(message) => on_slot_message(core, message, from),
        PeerMessage::Usage(batch) => apply_batch(core, &batch),
        PeerMessage::Paces(records) => apply_paces(core, &records),
        PeerMessage::Memory(message) => on_memory_message(core, message, from),
    }
}

/// Applies the reports of a message that are newer than the known ones.
fn apply_load(core: &GatewayCore, message: LoadMessage) {
    let now = monotonic_now();
    let mut fleet = core.fleet.borrow_mut();
    for record in message.reports {
        let at = time_before(record.age_ms, now);
        if let Some(member) = fleet.by_hash_mut(record.id_hash) {
            let report = LoadReport {
                running: u32::from(record.running),
                waiting: u32::from(record.waiting),
            };
            member.state.reported(report, at);
        }
    }
    drop(fleet);
    for record in &message.downs {
        apply_down(core, record, now);
    }
}

/// Takes over that another gateway found a backend server to be down.
fn apply_down(core: &GatewayCore, record: &DownRecord, now: MonoTime) {
    let mut fleet = core.fleet.borrow_mut();
    let Some(key) = fleet.key_of_hash(record.id_hash) else {
        return;
    };
    let Some(member) = fleet.get_mut(key) else {
        return;
    };
    let was_down = member.state.down_since(now).is_some();
    member.state.mark_down(time_before(record.age_ms, now));
    if was_down || member.state.down_since(now).is_none() {
        return;
    }
    core.pool.borrow_mut().discard(key);
    let fields = BackendDownFields {
        backend: &member.entry.id,
        age_ms: record.age_ms,
    };
    core.log.change("backend-told-down", fields);
}
