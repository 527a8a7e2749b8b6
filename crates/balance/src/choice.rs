//! The choice of a backend server for one request.
//!
//! Every candidate gets a cost in prompt tokens: those that it would have to read for this request
//! and those that it has still to read for others, a share for each request that runs there, and
//! the expected loss from a late stream. The smallest cost wins. Among plain services only the
//! running requests count.

use oleander_base::prelude::*;

use crate::fleet_table::{BackendKey, BackendPhase, FleetMember, FleetTable};
use crate::latency::LatencyModel;
use crate::{HomeSet, PromptPart};

/// Prompt tokens that one running request is worth in the cost.
const RUNNING_TOKENS: f64 = 449.0;

/// Prompt tokens that a stream with a pause beyond its limit is worth in the cost.
const LATE_TOKENS: f64 = 12_000.0;

/// Prompt tokens that another data centre is worth in the cost.
const REMOTE_TOKENS: f64 = 60.0;

/// The cost of a request at a plain service that runs as many requests as it has slots.
const FULL_SLOTS_COST: f64 = 10_000.0;

/// The scatter of costs that keeps gateways with the same knowledge apart.
const JITTER_TOKENS: f64 = 120.0;

/// What the choice depends on, besides the fleet.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The service.
    pub service: &'a str,
    /// The data centre of this gateway.
    pub centre: &'a str,
    /// The prompt's parts, in order; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// The prompt's size in tokens.
    pub prompt_tokens: u32,
    /// The longest pause between events that is still on time.
    pub pause_limit: Option<Span>,
    /// Those that this request was sent to already.
    pub tried: &'a [BackendKey],
    /// How many gateways share the fleet.
    pub gateways: usize,
    /// What the streams of the service showed on the whole.
    pub service_latency: &'a LatencyModel,
    /// The time.
    pub now: MonoTime,
}

/// The chosen backend server.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The backend server.
    pub key: BackendKey,
    /// Prompt tokens that it has to read for this request.
    pub unread: f64,
    /// The cost that won.
    pub cost: f64,
    /// How many candidates there were.
    pub candidates: usize,
}

/// Chooses a backend server; `random` returns numbers in 0 to 1.
pub fn choose_backend(
    fleet: &mut FleetTable,
    input: &ChoiceInput<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let homes = largest_shared(input.parts)
        .map(|part| fleet.homes(input.service, part.id))
        .unwrap_or_default();
    let mut best: Option<Choice> = None;
    let mut candidates = 0;
    for rank in [Usability::Good, Usability::Ejected, Usability::Lapsed] {
        for &key in fleet.of_service(input.service) {
            let Some(member) = fleet.get(key) else {
                continue;
            };
            if usability(member, key, input) != Some(rank) {
                continue;
            }
            candidates += 1;
            let unread = unread_tokens(member, key, &homes, input);
            let cost = cost(member, unread, input) + random() * JITTER_TOKENS;
            if best.is_none_or(|held| cost < held.cost) {
                best = Some(Choice {
                    key,
                    unread,
                    cost,
                    candidates: 0,
                });
            }
        }
        if best.is_some() {
            break;
        }
    }
    best.map(|choice| Choice {
        candidates,
        ..choice
    })
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Usability {
    Good,
    Ejected,
    Lapsed,
}

fn usability(member: &FleetMember, key: BackendKey, input: &ChoiceInput<'_>) -> Option<Usability> {
    if member.entry.phase != BackendPhase::Serving || input.tried.contains(&key) {
        return None;
    }
    if member.lapsed_at.is_some() {
        return Some(Usability::Lapsed);
    }
    if member.state.is_open(input.now) {
        Some(Usability::Good)
    } else {
        Some(Usability::Ejected)
    }
}

/// Returns the largest part that other requests may share: any but the last one.
fn largest_shared(parts: &[PromptPart]) -> Option<PromptPart> {
    let shared = parts.split_last().map(|(_, shared)| shared)?;
    shared.iter().copied().max_by_key(|part| part.tokens)
}

fn unread_tokens(
    member: &FleetMember,
    key: BackendKey,
    homes: &HomeSet,
    input: &ChoiceInput<'_>,
) -> f64 {
    let is_home = homes.contains(key);
    let mut read = 0;
    for (index, part) in input.parts.iter().enumerate() {
        let is_shared = index + 1 < input.parts.len();
        let is_held = member.state.parts.holds(part.id, input.now) || (is_home && is_shared);
        if !is_held {
            break;
        }
        read += part.tokens;
    }
    f64::from(input.prompt_tokens.saturating_sub(read))
}

fn cost(member: &FleetMember, unread: f64, input: &ChoiceInput<'_>) -> f64 {
    let state = &member.state;
    let running = state.running(input.gateways, input.now);
    let is_remote = &*member.entry.centre != input.centre;
    let distance = if is_remote { REMOTE_TOKENS } else { 0.0 };
    if input.parts.is_empty() {
        let slots = f64::from(member.entry.slots.max(1));
        let share = running / slots;
        return share * RUNNING_TOKENS + (share - 0.7).max(0.0) * FULL_SLOTS_COST + distance;
    }
    let speed = state.latency.speed(input.service_latency);
    let backlog = state.own_unread * input.gateways as f64;
    let work = unread + backlog + RUNNING_TOKENS * running;
    let late = input.pause_limit.map_or(0.0, |limit| {
        state.latency.late_chance(input.service_latency, limit)
    });
    work / speed + late * LATE_TOKENS + distance
}
