//! News of load and of failures between gateways, as datagrams.
//!
//! An answer tells one gateway the load of one backend server. With many gateways each meets a
//! backend server so rarely that it would know nothing of the others' requests, so every gateway
//! passes the freshest reports that it knows, first-hand or not, to a few others at random. News
//! spreads to all in a few rounds; each message is bounded, so what a gateway sends does not grow
//! with the fleet (docs/CAPACITY.md). Backend servers that were found to be down go with them, so that
//! not every gateway has to spend a request on finding out. A lost message costs nothing: the next
//! one has fresher news.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oleander_balance::LoadReport;
use oleander_base::monotonic_now;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::prelude::*;

/// The time between two rounds.
const ROUND_INTERVAL: Span = Span::from_millis(333);

/// How many gateways get the news of one round.
const FANOUT: usize = 2;

/// The most reports of one message.
const MAX_REPORTS: usize = 50;

/// The most backend servers of one message that were found to be down.
const MAX_DOWNS: usize = 10;

/// How old a report may be to be passed on.
const MAX_REPORT_AGE: Span = Span::from_millis(1_200);

/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// The version of the messages; others are ignored.
const MESSAGE_VERSION: u8 = 2;

#[derive(Debug, Serialize, Deserialize)]
struct GossipMessage {
    version: u8,
    reports: Vec<LoadRecord>,
    downs: Vec<DownRecord>,
}

/// A backend server that was found to be down.
#[derive(Debug, Serialize, Deserialize)]
struct DownRecord {
    /// The hash of its id.
    id_hash: u64,
    age_ms: u16,
}

/// The load of one backend server.
#[derive(Debug, Serialize, Deserialize)]
struct LoadRecord {
    /// The hash of its id.
    id_hash: u64,
    age_ms: u16,
    running: u16,
    waiting: u16,
}

#[derive(Debug, Serialize)]
struct BackendDownFields<'a> {
    backend: &'a str,
    age_ms: u16,
}

/// Sends and takes news for as long as the process lives.
pub(crate) async fn run_gossip(core: Rc<GatewayCore>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let pause = Duration::from(ROUND_INTERVAL).mul_f64(0.75 + 0.5 * core.random());
        let round = sleep(pause);
        tokio::pin!(round);
        loop {
            tokio::select! {
                biased;
                () = &mut round => break,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => receive_message(&core, &buffer[..length]),
                    // An unreachable gateway shows as an error of the next read; it leaves the list by itself.
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
            }
        }
        send_message(&core, &socket).await;
    }
}

async fn send_message(core: &GatewayCore, socket: &UdpSocket) {
    let reports = fresh_reports(core);
    let downs = fresh_downs(core);
    if reports.is_empty() && downs.is_empty() {
        return;
    }
    let targets = pick_targets(core);
    let message = GossipMessage {
        version: MESSAGE_VERSION,
        reports,
        downs,
    };
    let bytes = postcard::to_allocvec(&message).expect("news are plain data");
    for target in targets {
        // A datagram that cannot be sent is lost, as any may be.
        let _ = socket.send_to(&bytes, target).await;
    }
}

/// Returns the freshest reports, the newest first.
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

/// Returns the backend servers that were found to be down last, here or elsewhere.
fn fresh_downs(core: &GatewayCore) -> Vec<DownRecord> {
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

fn age_ms(at: MonoTime, now: MonoTime) -> u16 {
    u16::try_from(now.since(at).0 / 1_000).unwrap_or(u16::MAX)
}

/// Returns the time that lies `age_ms` back.
fn time_before(age_ms: u16, now: MonoTime) -> MonoTime {
    let age = Span::from_millis(u64::from(age_ms));
    MonoTime(now.0.saturating_sub(age.0))
}

fn pick_targets(core: &GatewayCore) -> Vec<SocketAddr> {
    let own = core.settings();
    let mut addresses = core.view.borrow().gossip_addresses(&own.name);
    let mut targets = Vec::with_capacity(FANOUT);
    while targets.len() < FANOUT && !addresses.is_empty() {
        let index = (core.random() * addresses.len() as f64) as usize;
        targets.push(addresses.swap_remove(index.min(addresses.len() - 1)));
    }
    targets
}

/// Takes over the reports that are newer than what is known.
fn receive_message(core: &GatewayCore, bytes: &[u8]) {
    // A message that cannot be read is one of another version, or not a gateway's.
    let Ok(message) = postcard::from_bytes::<GossipMessage>(bytes) else {
        return;
    };
    if message.version != MESSAGE_VERSION {
        return;
    }
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
    for record in message.downs {
        let Some(member) = fleet.by_hash_mut(record.id_hash) else {
            continue;
        };
        let was_down = member.state.down_since(now).is_some();
        member.state.found_down(time_before(record.age_ms, now));
        if !was_down && member.state.down_since(now).is_some() {
            let fields = BackendDownFields {
                backend: &member.entry.id,
                age_ms: record.age_ms,
            };
            core.log.change("backend-told-down", fields);
        }
    }
}
