//! Reports to other gateways which backend servers are slow now.
//!
//! A slow phase is over after some hundred milliseconds, and a gateway of a large fleet sends to a given
//! backend server less often than that. Only slow ones are reported, since gateways assume the usual pace
//! without a report, and only figures that are still fresh (docs/design/uneven-engines.md).

use std::net::SocketAddr;

use oleander_balance::FleetMember;
use oleander_base::monotonic_now;

use crate::core::GatewayCore;
use crate::gossip::{age_ms, time_before};
use crate::peer_message::{PaceRecord, PeerMessage};
use crate::prelude::*;

/// The greatest number of backend servers in one message, which then has some 250 bytes.
const MAX_PACES: usize = 16;

/// The smallest figure, in percent of the usual time, that is sent.
const MIN_SLOW_PERCENT: f64 = 130.0;

/// The greatest age of a figure that is sent; an older one may describe a slow phase that is over.
const MAX_TOLD_AGE: Span = Span::from_millis(400);

/// Sends the pace of the backend servers that are slow, newest figures first.
pub(crate) fn send_paces(core: &GatewayCore, targets: &[SocketAddr]) {
    let now = monotonic_now();
    let fleet = core.fleet.borrow();
    let records = fleet
        .members()
        .filter_map(|(_, member)| record(member, now));
    let mut records: Vec<PaceRecord> = records.collect();
    if records.is_empty() {
        return;
    }
    records.sort_unstable_by_key(|record| record.age_ms);
    records.truncate(MAX_PACES);
    core.peers.send(PeerMessage::Paces(records), targets);
}

fn record(member: &FleetMember, now: MonoTime) -> Option<PaceRecord> {
    let (percent, at) = member.state.pace.fresh_report(MAX_TOLD_AGE, now)?;
    (percent >= MIN_SLOW_PERCENT).then(|| PaceRecord {
        id_hash: member.id_hash,
        age_ms: age_ms(at, now),
        percent: percent.min(f64::from(u16::MAX)) as u16,
    })
}

/// Takes over the figures that are newer than the known ones.
pub(crate) fn apply_paces(core: &GatewayCore, records: &[PaceRecord]) {
    let now = monotonic_now();
    for record in records {
        let key = core.fleet.borrow().key_of_hash(record.id_hash);
        if let Some(key) = key {
            let at = time_before(record.age_ms, now);
            core.take_over_pace(key, f64::from(record.percent), at);
        }
    }
}
