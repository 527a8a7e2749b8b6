//! What a request costs at one candidate, in prompt tokens.
//!
//! Reading a shared part again takes capacity from every stream of that backend server and is work
//! that was done elsewhere, so its tokens count more than the request's own and those that already
//! wait there. The wait itself counts little while the first event is still expected well within its
//! target, and steeply beyond; a wait for a slot counts like one for tokens. Among plain services only
//! the running requests count.

use crate::HomeSet;
use crate::choice::ChoiceInput;
use crate::fleet_table::{BackendKey, FleetMember, FleetTable};
use crate::reserve::{ReservedSet, is_short};

/// Prompt tokens that one running request is worth in the cost.
const RUNNING_TOKENS: f64 = 300.0;

/// How much more a token of a shared part counts that has to be read again than one of the request's own.
const SHARED_WEIGHT: f64 = 5.0;

/// The share of a service's slots up to which reading a shared part again is no more than a cost.
const LOW_UTILISATION: f64 = 0.4;

/// How much more shared tokens count where every slot is taken.
const SATURATION_FACTOR: f64 = 3.0;

/// Prompt tokens that a backend server of usual speed reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// Prompt tokens that a first event right at its target is worth in the cost.
const TARGET_TOKENS: f64 = 22_000.0;

/// Prompt tokens that each stream with a short prompt is worth that a long prompt disturbs.
const DISTURBANCE_TOKENS: f64 = 800.0;

/// The most that such streams are worth together.
const DISTURBANCE_LIMIT: f64 = 15_000.0;

/// The share of the target from which a first event is taken to be late.
const LATE_TARGET_SHARE: f64 = 1.2;

/// How much less each further share of the target costs then.
const LATE_SLOPE: f64 = 0.25;

/// Prompt tokens that a stream with a pause beyond its limit is worth in the cost.
const LATE_PAUSE_TOKENS: f64 = 12_000.0;

/// Prompt tokens that another data centre is worth in the cost.
const REMOTE_TOKENS: f64 = 60.0;

/// Prompt tokens that a new connection is worth in the cost.
const CONNECT_TOKENS: f64 = 300.0;

/// The share of a plain service's slots from which another request costs more.
const BUSY_SLOTS_SHARE: f64 = 0.7;

/// The cost, above that share, of a request at a plain service that runs as many requests as it has slots.
const BUSY_SLOPE_TOKENS: f64 = 10_000.0;

/// Prompt tokens that a backend server has to read for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillTokens {
    /// Those of parts that other requests share.
    pub shared: f64,
    /// Those that only this request has.
    pub own: f64,
}

impl PrefillTokens {
    /// Returns all of them.
    pub fn total(&self) -> f64 {
        self.shared + self.own
    }
}

/// A backend server that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) key: BackendKey,
    pub(crate) member: &'a FleetMember,
    /// Whether it reads only short prompts.
    pub(crate) is_reserved: bool,
}

impl<'a> Candidate<'a> {
    /// Finds a backend server in the table.
    pub(crate) fn find(
        fleet: &'a FleetTable,
        reserved: &ReservedSet,
        key: BackendKey,
    ) -> Option<Self> {
        Some(Self {
            key,
            member: fleet.get(key)?,
            is_reserved: reserved.contains(key),
        })
    }
}

/// Returns the prompt tokens that a candidate is expected to read.
pub(crate) fn prefill_tokens(
    candidate: &Candidate<'_>,
    homes: &HomeSet,
    input: &ChoiceInput<'_>,
) -> PrefillTokens {
    let all: u32 = input.parts.iter().map(|part| part.tokens).sum();
    // A prompt may be longer than the parts that it names.
    let mut own = f64::from(input.prompt_tokens.saturating_sub(all));
    let mut shared = 0.0;
    let held_probability = homes.held_probability(candidate.key);
    let mut prefix_probability = 1.0;
    for (index, part) in input.parts.iter().enumerate() {
        let is_shared = index + 1 < input.parts.len();
        let is_held = candidate.member.state.parts.contains(part.id, input.now);
        // A part helps only if all parts before it are held as well.
        prefix_probability = match (is_held, is_shared) {
            (true, _) => prefix_probability,
            (false, true) => held_probability.min(prefix_probability),
            (false, false) => 0.0,
        };
        let uncached = f64::from(part.tokens) * (1.0 - prefix_probability);
        if is_shared {
            shared += uncached;
        } else {
            own += uncached;
        }
    }
    PrefillTokens { shared, own }
}

/// What this gateway's own requests say of those of the others.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceLoad {
    /// Requests that another gateway has at a backend server on average.
    running: f64,
    /// Prompt tokens still to be read for one running request on average.
    prefill_per_request: f64,
    /// How much of the service's slots is taken.
    utilisation: f64,
    /// The share of a queue that goes before the request.
    ahead_share: f64,
}

impl ServiceLoad {
    pub(crate) fn measure(fleet: &FleetTable, input: &ChoiceInput<'_>) -> Self {
        let keys = fleet.service_keys(input.service);
        let (mut own, mut prefill) = (0.0, 0.0);
        let (mut taken, mut unreported, mut slots) = (0.0, 0.0, 1.0);
        for member in keys.iter().filter_map(|key| fleet.get(*key)) {
            let state = &member.state;
            own += f64::from(state.own_running);
            prefill += state.own_prefill;
            slots += f64::from(member.entry.slots);
            taken += state.running(0.0, input.now);
            unreported += f64::from(u8::from(!state.has_report(input.now)));
        }
        let mean = own / keys.len().max(1) as f64;
        let others = mean * input.gateways.saturating_sub(1) as f64;
        Self {
            running: mean,
            prefill_per_request: prefill / f64::max(own, 1.0),
            utilisation: (taken + others * unreported) / slots,
            ahead_share: input.traffic.ahead_share(input.urgency),
        }
    }

    /// Returns how much more a token of a shared part counts: the fuller the service, the less it can
    /// spare for reading again what another backend server holds.
    fn shared_weight(&self) -> f64 {
        let saturation = (self.utilisation - LOW_UTILISATION) / (1.0 - LOW_UTILISATION);
        SHARED_WEIGHT * (1.0 + SATURATION_FACTOR * saturation.clamp(0.0, 1.0))
    }
}

/// Returns what the wait for the first event costs, by its share of the target.
///
/// Once it is late, a longer wait loses little more, so that in a general overload requests do not
/// leave their homes for backend servers that are as full.
fn lateness_cost(lateness: f64) -> f64 {
    let until_late = lateness.min(LATE_TARGET_SHARE);
    let beyond = lateness - until_late;
    (until_late * until_late + beyond * LATE_SLOPE) * TARGET_TOKENS
}

/// Returns how long a request waits for a slot where that many run or wait already.
fn slot_wait_ms(member: &FleetMember, running: f64, input: &ChoiceInput<'_>) -> f64 {
    let slots = f64::from(member.entry.slots.max(1));
    let ahead = (running + 1.0 - slots).max(0.0);
    ahead * input.service_latency.slot_time_ms() / slots
}

/// What is expected of a request at one candidate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// The cost.
    pub(crate) cost: f64,
    /// The wait for the first event, in milliseconds.
    pub(crate) first_wait_ms: f64,
}

/// Estimates a request at one candidate.
pub(crate) fn estimate(
    candidate: &Candidate<'_>,
    prefill: PrefillTokens,
    load: &ServiceLoad,
    input: &ChoiceInput<'_>,
) -> Estimate {
    let member = candidate.member;
    let others = load.running * input.gateways.saturating_sub(1) as f64;
    let running = member.state.running(others, input.now);
    let is_remote = &*member.entry.centre != input.centre;
    let distance = if is_remote { REMOTE_TOKENS } else { 0.0 };
    let mut estimate = if input.parts.is_empty() {
        plain_estimate(member, running)
    } else {
        // Where only short prompts run, none of them passes by many others.
        let ahead = if candidate.is_reserved {
            1.0
        } else {
            load.ahead_share
        };
        let slot_wait = ahead * slot_wait_ms(member, running, input);
        prompt_estimate(member, running, slot_wait, prefill, load, input)
    };
    let has_idle = input.connections.has_idle(candidate.key);
    let connect = if has_idle { 0.0 } else { CONNECT_TOKENS };
    estimate.cost += distance + connect;
    estimate
}

fn plain_estimate(member: &FleetMember, running: f64) -> Estimate {
    let share = running / f64::from(member.entry.slots.max(1));
    Estimate {
        cost: share * RUNNING_TOKENS + (share - BUSY_SLOTS_SHARE).max(0.0) * BUSY_SLOPE_TOKENS,
        first_wait_ms: 0.0,
    }
}

fn prompt_estimate(
    member: &FleetMember,
    running: f64,
    slot_wait_ms: f64,
    prefill: PrefillTokens,
    load: &ServiceLoad,
    input: &ChoiceInput<'_>,
) -> Estimate {
    let state = &member.state;
    let speed = state.latency.speed(input.service_latency);
    let own_running = f64::from(state.own_running);
    let backlog = state.own_prefill + (running - own_running).max(0.0) * load.prefill_per_request;
    let read_ms = (prefill.total() + backlog) / READ_TOKENS_PER_MS / speed;
    let first_wait_ms = read_ms + slot_wait_ms;
    let lateness = first_wait_ms / input.first_target.as_millis_f64().max(1.0);
    let late_probability = input.pause_limit.map_or(0.0, |limit| {
        state.latency.late_probability(input.service_latency, limit)
    });
    let cost = prefill.shared * load.shared_weight()
        + (prefill.own + RUNNING_TOKENS * running) / speed
        + backlog
        + lateness_cost(lateness)
        + late_probability * LATE_PAUSE_TOKENS
        + disturbance_cost(member, input);
    Estimate {
        cost,
        first_wait_ms,
    }
}

/// Returns what the streams are worth that a long prompt disturbs.
fn disturbance_cost(member: &FleetMember, input: &ChoiceInput<'_>) -> f64 {
    if is_short(input.prompt_tokens) {
        return 0.0;
    }
    let short_streams = f64::from(member.state.own_short) * input.gateways as f64;
    (short_streams * DISTURBANCE_TOKENS).min(DISTURBANCE_LIMIT)
}
