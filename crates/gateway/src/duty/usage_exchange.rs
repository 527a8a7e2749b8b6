//! Sends the counts of this gateway to two others, and answers the holder's queries for counts.
//!
//! A gateway that is killed loses what it counted since its last round, which is about half a second.
//! The holder names the times of a window as ages, since the wall clocks of gateways may differ by seconds. Each
//! answer has the gateway's wall clock, so that the holder can estimate true time from the clocks of all.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oleander_balance::{TrueTime, UsageCounts, UsageEvent, WindowTerms};
use oleander_base::FastMap;
use oleander_platform::boot_time;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::core::GatewayCore;
use crate::peer_message::{MAX_RECORD_BYTES, PeerMessage, UsageBatch, UsageRecord};
use crate::prelude::*;
use crate::settings::ProviderSettings;

/// The path of a gateway's counts at its control address.
pub(crate) const USAGE_PATH: &str = "/usage";

/// The time between two rounds.
const ROUND_INTERVAL: Span = Span::from_millis(500);

/// The most bytes of one event in a datagram.
const EVENT_BYTES: usize = 6;

/// The most bytes of a datagram besides names and events.
const ENVELOPE_BYTES: usize = 32;

/// The most customers that one datagram names.
const MAX_NAMES: usize = 250;

/// The longest name of a customer that is sent to replicas, in bytes. Requests of customers with longer names are known
/// to this gateway alone.
const MAX_NAME_BYTES: usize = 200;

/// The index of a customer whose name is not sent.
const UNNAMED: u8 = u8::MAX;

/// The most datagrams to one gateway in one round; what is left waits for the next one.
const MAX_DATAGRAMS: usize = 8;

/// A gateway's answer to the holder.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct UsageAnswer {
    pub(super) incarnation: u64,
    /// The wall clock, in microseconds since the start of 1970.
    pub(super) wall_us: u64,
    pub(super) counts: UsageCounts,
    /// The counts of other processes that send theirs to this gateway.
    pub(super) replicas: Vec<(u64, UsageCounts)>,
}

/// Which counts the holder asks for.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct UsageQuery {
    /// The age of the beginning of the window.
    pub(super) from: Span,
    /// The age of its end.
    pub(super) to: Span,
    /// Whether the answer includes the replicas of all processes, not only of those that have been silent for a while.
    pub(super) tells_all: bool,
}

impl UsageQuery {
    /// Reads a query from a request target. A part that is missing or malformed counts as 0.
    pub(crate) fn parse(target: &str) -> Self {
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.and_then(|(_, text)| text.parse().ok()).unwrap_or(0)
        };
        Self {
            from: Span(number("from_us")),
            to: Span(number("to_us")),
            tells_all: number("all") == 1,
        }
    }

    pub(super) fn target(self) -> String {
        let Self {
            from,
            to,
            tells_all,
        } = self;
        format!(
            "{USAGE_PATH}?from_us={}&to_us={}&all={}",
            from.0,
            to.0,
            u8::from(tells_all)
        )
    }
}

/// Returns the counts that a query asks for.
pub(super) fn own_answer(core: &GatewayCore, query: UsageQuery) -> UsageAnswer {
    let now = boot_time();
    let before = |age: Span| MonoTime(now.0.saturating_sub(age.0));
    let (from, to) = (before(query.from), before(query.to));
    let usage = &core.duties.usage;
    let replicas = usage.replica_counts(from, to, query.tells_all);
    UsageAnswer {
        incarnation: usage.incarnation(),
        wall_us: wall_clock().0,
        counts: usage.with_own(|log| log.counts(from, to)),
        replicas: replicas
            .into_iter()
            .map(|replica| (replica.incarnation, replica.counts))
            .collect(),
    }
}

/// Encodes the answer to a query of the holder.
pub(crate) fn encode_usage(core: &GatewayCore, query: UsageQuery) -> Vec<u8> {
    let answer = own_answer(core, query);
    let bytes = serde_json::to_vec(&answer).expect("counts always serialize");
    core.metrics.record_peer_bytes("usage", bytes.len());
    bytes
}

/// Returns the wall clock of this machine, which may be wrong.
pub(super) fn wall_clock() -> TrueTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    TrueTime(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Returns the terms of the usage reports, if the deployment has them.
pub(super) fn window_terms(settings: &GatewaySettings) -> Option<(WindowTerms, &ProviderSettings)> {
    let provider = settings.provider.as_ref()?;
    let terms = WindowTerms {
        length: provider.usage_window,
        delay: provider.usage_delay,
    };
    provider.reports_usage.then_some((terms, provider))
}

/// Keeps counts that another gateway sent.
pub(crate) fn apply_batch(core: &GatewayCore, batch: &UsageBatch) {
    core.duties.usage.keep(batch);
}

/// Sends the counts of this gateway for as long as the process runs.
pub(crate) async fn run_usage_exchange(core: Rc<GatewayCore>) {
    let mut round = UsageRound::default();
    loop {
        let pause = Duration::from(ROUND_INTERVAL).mul_f64(0.75 + 0.5 * core.random());
        sleep(pause).await;
        let settings = core.settings();
        let Some((terms, provider)) = window_terms(&settings) else {
            continue;
        };
        core.duties
            .usage
            .prune(terms.retention(provider.lease_time));
        round.send(&core);
    }
}

/// Sends all counts once more before the process ends.
pub(crate) fn send_last_counts(core: &GatewayCore) {
    if window_terms(&core.settings()).is_some() {
        UsageRound::default().send(core);
    }
}

/// Which events were sent to which gateway. A datagram that is lost is not sent again, since the other replica most
/// likely has its events.
#[derive(Debug, Default)]
struct UsageRound {
    /// The index after the last event that was sent, by gateway.
    sent: FastMap<SocketAddr, u64>,
}

impl UsageRound {
    fn send(&mut self, core: &GatewayCore) {
        let settings = core.settings();
        let view = core.view.borrow();
        let targets = view.usage_replicas(&settings.name, &settings.centre);
        drop(view);
        self.sent.retain(|target, _| targets.contains(target));
        for target in targets {
            let next = self.sent.entry(target).or_default();
            for _ in 0..MAX_DATAGRAMS {
                let batch = next_batch(core, *next);
                *next = batch.first + batch.events.len() as u64;
                let is_last = core.duties.usage.with_own(|log| log.end()) == *next;
                core.peers.send(PeerMessage::Usage(batch), &[target]);
                if is_last {
                    break;
                }
            }
        }
    }
}

/// Returns the events from an index on that fit into one datagram. There may be none: the datagram then
/// says that this process lives.
fn next_batch(core: &GatewayCore, index: u64) -> UsageBatch {
    let now = boot_time();
    let usage = &core.duties.usage;
    usage.with_own(|log| {
        let (first, events) = log.events_from(index);
        let mut batch = UsageBatch {
            incarnation: usage.incarnation(),
            first,
            names: Vec::new(),
            events: Vec::new(),
        };
        let mut bytes = ENVELOPE_BYTES;
        for event in events {
            let Some(customer) = name_index(&mut batch.names, &mut bytes, event) else {
                break;
            };
            bytes += EVENT_BYTES;
            if bytes > MAX_RECORD_BYTES {
                break;
            }
            batch.events.push(UsageRecord {
                customer,
                age_ms: u32::try_from(now.since(event.at).0 / 1_000).unwrap_or(u32::MAX),
            });
        }
        batch
    })
}

/// Returns the index of an event's customer in the names of a datagram, to which it is added; `None` if the
/// datagram is full.
fn name_index(names: &mut Vec<String>, bytes: &mut usize, event: &UsageEvent) -> Option<u8> {
    if event.customer.len() > MAX_NAME_BYTES {
        return Some(UNNAMED);
    }
    let known = names.iter().position(|name| **name == *event.customer);
    let index = match known {
        Some(index) => index,
        None if names.len() >= MAX_NAMES => return None,
        None => {
            *bytes += event.customer.len() + 1;
            if *bytes + EVENT_BYTES > MAX_RECORD_BYTES && !names.is_empty() {
                return None;
            }
            names.push(event.customer.to_string());
            names.len() - 1
        }
    };
    u8::try_from(index).ok()
}
