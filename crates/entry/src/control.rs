//! The periodic work of an entry VM, in one background task apart from the request path.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_peer::{MemberState, MemberView, PeerEndpoint, PeerMessage};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::fleet_limits::FleetLimits;
use crate::life::LifeStage;
use crate::node::EntryNode;
use crate::record_sync::RecordSync;
use crate::remote_pools::RemotePools;
use crate::status::StatusMessage;
use crate::view::FleetMember;

/// Interval between ticks of the pools.
const POOL_PERIOD: Duration = Duration::from_millis(20);
/// Interval between checks of planned stops, of tickets to offer again and of kept answers.
const TICKET_PERIOD: Duration = Duration::from_millis(100);
/// Interval between divisions of the customers' limits, and between repeated record digests.
const LIMIT_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between pool summaries to the other entry VMs.
const SUMMARY_PERIOD: Duration = Duration::from_millis(500);
/// Interval between statuses to VMs whose screens are watched.
const STATUS_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between reconciliations of the held slots with their dispatchers.
const HOLDING_PERIOD: Duration = Duration::from_secs(5);
/// Minimum time for which an ended answer is kept for a caller that reconnects.
const ANSWER_RETENTION: Span = Span::from_secs(10);

/// Runs the periodic work until the membership channel closes.
pub(crate) async fn run_control(
    node: Arc<EntryNode>,
    records: Arc<RecordSync>,
    peers: PeerEndpoint,
) {
    let mut members = peers.watch_members();
    apply_members(&node, &peers.members());
    let mut pools = ticker(POOL_PERIOD);
    let mut tickets = ticker(TICKET_PERIOD);
    let mut limits = ticker(LIMIT_PERIOD);
    let mut summaries = ticker(SUMMARY_PERIOD);
    let mut statuses = ticker(STATUS_PERIOD);
    let mut holdings = ticker(HOLDING_PERIOD);
    loop {
        tokio::select! {
            changed = members.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = latest(&mut members);
                apply_members(&node, &view);
            }
            _ = pools.tick() => node.tick(),
            _ = tickets.tick() => {
                apply_planned_stop(&node, &peers);
                node.reoffer_tickets();
                node.answers.sweep(monotonic_now(), ANSWER_RETENTION);
            }
            _ = limits.tick() => {
                divide_limits(&node, &peers);
                records.rebroadcast_digest();
            }
            _ = summaries.tick() => send_summaries(&node, &peers),
            _ = holdings.tick() => node.reconcile(),
            _ = statuses.tick() => send_statuses(&node, &peers),
        }
    }
}

/// Leaves while a planned stop of this VM is on record, and serves again once the stop is deleted.
fn apply_planned_stop(node: &EntryNode, peers: &PeerEndpoint) {
    let stopping = node.view().is_stopping(node.me.address, node.centre);
    if stopping && node.life.begin_leaving() {
        node.changes.record(
            format!("entry VM {} is leaving", node.me),
            "a planned stop is on record",
        );
        node.stopped_by_record.store(true, Ordering::Release);
        peers.leave();
    } else if !stopping && node.stopped_by_record.swap(false, Ordering::AcqRel) {
        node.changes.record(
            format!("entry VM {} serves again", node.me),
            "its planned stop was taken back",
        );
        node.life.set_stage(LifeStage::Ready);
        peers.serve();
    }
}

fn ticker(period: Duration) -> tokio::time::Interval {
    let mut ticker = interval(period);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticker
}

fn latest(members: &mut watch::Receiver<Arc<MemberView>>) -> Arc<MemberView> {
    Arc::clone(&members.borrow_and_update())
}

/// Converts the membership to the members of the view, and records what changed.
fn apply_members(node: &EntryNode, view: &MemberView) {
    let members: Vec<FleetMember> = view
        .members
        .values()
        .filter(|member| member.state.is_reachable())
        .map(|member| FleetMember {
            instance: member.instance,
            centre: member.centre,
            weight: f64::from(member.weight),
            takes_roles: member.state.takes_work(),
        })
        .collect();
    record_member_changes(node, view);
    node.set_members(members);
}

fn record_member_changes(node: &EntryNode, view: &MemberView) {
    let mut known = node.member_states.lock();
    for member in view.members.values() {
        let before = known.insert(member.instance, member.state);
        if before == Some(member.state) || (before.is_none() && member.state == MemberState::Gone) {
            continue;
        }
        let before = before.map_or("unknown", MemberState::as_str);
        let what = format!("entry VM {} is {}", member.instance, member.state);
        node.changes
            .record(what, format!("the membership had it as {before}"));
    }
    known.retain(|instance, _| view.members.contains_key(instance));
}

fn other_members(node: &EntryNode) -> Vec<InstanceId> {
    let view = node.view();
    let others = view.members.iter().map(|member| member.instance);
    others.filter(|instance| *instance != node.me).collect()
}

fn divide_limits(node: &EntryNode, peers: &PeerEndpoint) {
    let records = Arc::clone(&node.view().records);
    let demand =
        node.fleet_limits
            .own_demand(node.me, &node.limits.take_demand(monotonic_now()), &records);
    let others = other_members(node);
    if !demand.is_empty() {
        let message = PeerMessage::Limits(FleetLimits::encode(&demand));
        for instance in &others {
            peers.send(*instance, &message);
        }
    }
    let mut live = others;
    live.push(node.me);
    node.fleet_limits
        .divide(node.me, &live, &records, &node.limits);
}

/// Sends the summaries of the pools that this VM dispatches to the other entry VMs.
fn send_summaries(node: &EntryNode, peers: &PeerEndpoint) {
    let statuses = node.dispatchers.summaries(monotonic_now());
    if statuses.is_empty() {
        return;
    }
    let summaries: Vec<_> = statuses.into_iter().map(|status| status.summary).collect();
    let message = PeerMessage::PoolSummaries(RemotePools::encode(&summaries));
    node.remote_pools.record_summaries(summaries);
    for instance in other_members(node) {
        peers.send(instance, &message);
    }
}

fn send_statuses(node: &EntryNode, peers: &PeerEndpoint) {
    if node.statuses.is_watched() {
        let message = PeerMessage::Status(StatusMessage::Subscribe.encode());
        for instance in other_members(node) {
            peers.send(instance, &message);
        }
    }
    let subscribers = node.statuses.subscribers();
    if subscribers.is_empty() {
        return;
    }
    let status = Box::new(node.own_status());
    let message = PeerMessage::Status(StatusMessage::Report(status).encode());
    for instance in subscribers {
        peers.send(instance, &message);
    }
}
