//! Tells other gateways which limits backend servers have named.
//!
//! Only the gateways that share a limit get answers from its backend server. The others learn from
//! these messages that there is a limit, and when it has ended.

use std::net::SocketAddr;

use oleander_balance::{FleetMember, NamedRate};
use oleander_base::monotonic_now;

use crate::core::GatewayCore;
use crate::peer_message::{PeerMessage, RateLimitRecord};
use crate::prelude::*;

/// The greatest number of limits in one message.
const MAX_LIMITS: usize = 50;

/// How long other gateways are told that a limit has ended.
const LIFTED_TOLD: Span = Span::from_secs(5);

/// Sends the limits that are known, newest first.
pub(crate) fn send_limits(core: &GatewayCore, targets: &[SocketAddr]) {
    let now = monotonic_now();
    let fleet = core.fleet.borrow();
    let records = fleet
        .members()
        .filter_map(|(_, member)| record(member, now));
    let mut records: Vec<RateLimitRecord> = records.collect();
    if records.is_empty() {
        return;
    }
    records.sort_unstable_by_key(|record| record.age_ms);
    records.truncate(MAX_LIMITS);
    core.peers.send(PeerMessage::RateLimits(records), targets);
}

fn record(member: &FleetMember, now: MonoTime) -> Option<RateLimitRecord> {
    let limit = &member.state.rate_limit;
    let lifted_at = limit.lifted_at();
    let was_lifted = lifted_at.is_some_and(|lifted| now.since(lifted) < LIFTED_TOLD);
    if limit.per_s().is_none() && !was_lifted {
        return None;
    }
    let age_ms = now.since(limit.named_at()).0 / 1_000;
    Some(RateLimitRecord {
        id_hash: member.id_hash,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        per_s: limit.per_s(),
    })
}

/// Takes over the limits that are newer than the known ones.
pub(crate) fn apply_limits(core: &GatewayCore, records: &[RateLimitRecord]) {
    let now = monotonic_now();
    for record in records {
        let age = Span::from_millis(u64::from(record.age_ms));
        let at = MonoTime(now.0.saturating_sub(age.0));
        let rate = record
            .per_s
            .map_or(NamedRate::Unlimited, NamedRate::Limited);
        let key = core.fleet.borrow().key_of_hash(record.id_hash);
        if let Some(key) = key {
            core.name_limit(key, rate, at, None);
        }
    }
}
