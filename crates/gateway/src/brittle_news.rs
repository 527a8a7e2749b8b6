//! Tells other gateways which backend servers are brittle, and when one has turned a request away.
//!
//! A gateway that has had no answer of a brittle backend server would send to it as to any other. Rejections
//! are told at once and passed on, because all gateways hold back together.

use std::net::SocketAddr;

use oleander_balance::{BackendKey, Brittleness, FleetMember};
use oleander_base::monotonic_now;

use crate::core::GatewayCore;
use crate::gossip::pick_targets;
use crate::peer_message::{BrittleRecord, PeerMessage};
use crate::prelude::*;
use crate::slots::count_rejection;

/// The greatest number of backend servers in one message.
const MAX_RECORDS: usize = 50;

/// The number of gateways that a rejection is told to at once.
const NEWS_FANOUT: usize = 3;

/// Sends what is known of brittle backend servers, the newest first.
pub(crate) fn send_brittle(core: &GatewayCore, targets: &[SocketAddr]) {
    let now = monotonic_now();
    let fleet = core.fleet.borrow();
    let records = fleet
        .members()
        .filter_map(|(_, member)| record(member, now));
    let mut records: Vec<BrittleRecord> = records.collect();
    if records.is_empty() {
        return;
    }
    records.sort_unstable_by_key(|record| record.age_ms);
    records.truncate(MAX_RECORDS);
    core.peers.send(PeerMessage::Brittle(records), targets);
}

/// Records that a backend server turned a request away, and tells other gateways if it is brittle; returns
/// whether it is news.
pub(crate) fn on_rejected(core: &GatewayCore, key: BackendKey, at: MonoTime) -> bool {
    let is_news = core.with_backend(key, |state| state.rejection_limit.record_rejection(at));
    if is_news != Some(true) {
        return false;
    }
    let fleet = core.fleet.borrow();
    let record = fleet
        .get(key)
        .and_then(|member| record(member, monotonic_now()));
    if let Some(record) = record {
        let targets = pick_targets(core, NEWS_FANOUT);
        core.peers
            .send(PeerMessage::Brittle(vec![record]), &targets);
    }
    true
}

fn record(member: &FleetMember, now: MonoTime) -> Option<BrittleRecord> {
    let limit = &member.state.rejection_limit;
    let age_ms = |at: MonoTime| u32::try_from(now.since(at).0 / 1_000).unwrap_or(u32::MAX);
    Some(BrittleRecord {
        id_hash: member.id_hash,
        threshold: limit.own_threshold()?,
        age_ms: age_ms(limit.named_at()),
        rejected_age_ms: limit.rejected_at().map(age_ms),
    })
}

/// Takes over what is newer than what is known.
pub(crate) fn apply_brittle(core: &GatewayCore, records: &[BrittleRecord]) {
    let now = monotonic_now();
    let at = |age_ms: u32| {
        let age = Span::from_millis(u64::from(age_ms));
        MonoTime(now.0.saturating_sub(age.0))
    };
    for record in records {
        let key = core.fleet.borrow().key_of_hash(record.id_hash);
        let Some(key) = key else {
            continue;
        };
        let brittleness = Brittleness::Brittle(record.threshold);
        core.name_brittleness(key, brittleness, at(record.age_ms), None);
        if let Some(age_ms) = record.rejected_age_ms
            && on_rejected(core, key, at(age_ms))
        {
            count_rejection(core, key);
        }
    }
}
