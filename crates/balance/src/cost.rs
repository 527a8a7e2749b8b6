//! The cost of a request at one candidate, in prompt tokens.
//!
//! Reading a shared part again takes capacity from every stream of that backend server and repeats
//! work done elsewhere, so its tokens count more than the request's own and those already queued
//! there. The expected wait for the first event costs little while it is well within the target,
//! and rises with the square of its share of the target until the event is late. A wait for a slot
//! counts like a wait for prompt tokens. At a plain service the load cost depends only on the
//! running requests.

use crate::HomeSet;
use crate::choice::ChoiceInput;
use crate::fleet_table::{BackendKey, FleetMember, FleetTable};
use crate::outlook::PacedOutlook;
use crate::reserve::{ReservedSet, is_short};

/// The cost of one running request, in prompt tokens; at a plain service, that of all slots in use.
const RUNNING_TOKENS: f64 = 300.0;

/// The weight of a shared part's token that has to be read again, relative to one of the request's
/// own.
const SHARED_WEIGHT: f64 = 5.0;

/// The share of a service's slots in use up to which shared tokens have only their base weight.
const LOW_UTILISATION: f64 = 0.4;

/// The relative increase of the weight of shared tokens once every slot is in use: 3 makes it four
/// times the base weight.
const SATURATION_FACTOR: f64 = 3.0;

/// The prompt tokens that a backend server of average speed reads per millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 50.0;

/// The cost, in prompt tokens, of a first event that is expected exactly at its target.
const TARGET_TOKENS: f64 = 22_000.0;

/// The cost, in prompt tokens, of each stream with a short prompt that a long prompt slows.
const DISTURBANCE_TOKENS: f64 = 800.0;

/// The largest total cost of the slowed streams, in prompt tokens.
const DISTURBANCE_LIMIT: f64 = 15_000.0;

/// The expected wait, as a share of the target, from which the first event counts as late.
const LATE_TARGET_SHARE: f64 = 1.2;

/// The cost of each further target's length of wait for a late event, as a share of
/// [`TARGET_TOKENS`].
const LATE_SLOPE: f64 = 0.25;

/// The cost, in prompt tokens, of a stream with a pause beyond its limit.
const LATE_PAUSE_TOKENS: f64 = 12_000.0;

/// The cost, in prompt tokens, of a backend server in another data centre.
const REMOTE_TOKENS: f64 = 60.0;

/// The cost of a new connection, in prompt tokens.
const CONNECT_TOKENS: f64 = 300.0;

/// The share of a plain service's slots in use above which the cost rises more steeply.
const BUSY_SLOTS_SHARE: f64 = 0.7;

/// The slope, in prompt tokens, of the cost above [`BUSY_SLOTS_SHARE`]: with every slot in use it
/// adds 3,000.
const BUSY_SLOPE_TOKENS: f64 = 10_000.0;

/// The prompt tokens that a backend server is expected to read for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillTokens {
    /// Tokens of parts that other requests may share.
    pub shared: f64,
    /// Tokens of this request only.
    pub own: f64,
}

impl PrefillTokens {
    /// Returns the sum of both.
    pub fn total(&self) -> f64 {
        self.shared + self.own
    }
}

/// A backend server that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) key: BackendKey,
    pub(crate) member: &'a FleetMember,
    /// Whether it is reserved for short prompts.
    pub(crate) is_reserved: bool,
}

impl<'a> Candidate<'a> {
    /// Returns the candidate for a backend server in the table.
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
    // A prompt may be longer than the sum of its listed parts.
    let mut own = f64::from(input.prompt_tokens.saturating_sub(all));
    let mut shared = 0.0;
    let held_probability = homes.held_probability(candidate.key);
    let mut prefix_probability = 1.0;
    for (index, part) in input.parts.iter().enumerate() {
        let is_shared = index + 1 < input.parts.len();
        let is_held = candidate.member.state.parts.contains(part.id, input.now);
        // A cached part saves work only if all parts before it are cached as well.
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

/// Estimates of a service's load, from load reports and from this gateway's own requests, which are
/// taken as a sample of those of the others.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceLoad {
    /// The mean number of requests of one gateway at one backend server.
    running: f64,
    /// The mean number of prompt tokens still to be read per running request.
    prefill_per_request: f64,
    /// The share of the service's slots in use.
    utilisation: f64,
    /// The share of a queue that is served before the request.
    ahead_share: f64,
    /// The share of the slots in use at backend servers that take requests; over 1 with queues. It is
    /// measured at paced services only.
    pub(crate) open_utilisation: f64,
}

impl ServiceLoad {
    pub(crate) fn measure(fleet: &FleetTable, input: &ChoiceInput<'_>) -> Self {
        let keys = fleet.service_keys(input.service);
        let (mut own, mut prefill) = (0.0, 0.0);
        let (mut taken, mut unreported, mut slots) = (0.0, 0.0, 1.0);
        let mut open = OpenLoad::default();
        for member in keys.iter().filter_map(|key| fleet.get(*key)) {
            let state = &member.state;
            own += f64::from(state.own_running);
            prefill += state.own_prefill;
            slots += f64::from(member.entry.slots);
            taken += state.running(0.0, input.now);
            unreported += f64::from(u8::from(!state.has_report(input.now)));
            if input.pace.is_some() {
                open.add(member, input);
            }
        }
        let mean = own / keys.len().max(1) as f64;
        let others = mean * input.gateways.saturating_sub(1) as f64;
        Self {
            running: mean,
            prefill_per_request: prefill / f64::max(own, 1.0),
            utilisation: (taken + others * unreported) / slots,
            ahead_share: input.traffic.ahead_share(input.urgency),
            open_utilisation: open.utilisation(others),
        }
    }

    /// Returns the weight of a shared part's token. It grows with utilisation, because a busy
    /// service has less capacity for reading again what another backend server has cached.
    fn shared_weight(&self) -> f64 {
        let saturation = (self.utilisation - LOW_UTILISATION) / (1.0 - LOW_UTILISATION);
        SHARED_WEIGHT * (1.0 + SATURATION_FACTOR * saturation.clamp(0.0, 1.0))
    }
}

/// The load of the backend servers that take requests.
#[derive(Debug, Default)]
struct OpenLoad {
    taken: f64,
    unreported: f64,
    slots: f64,
}

impl OpenLoad {
    fn add(&mut self, member: &FleetMember, input: &ChoiceInput<'_>) {
        let state = &member.state;
        let is_up = member.lapsed_at.is_none() && state.down_since(input.now).is_none();
        if !is_up || !member.is_serving() || state.is_closed(input.now) {
            return;
        }
        self.taken += state.running(0.0, input.now);
        self.unreported += f64::from(u8::from(!state.has_report(input.now)));
        self.slots += f64::from(member.entry.slots);
    }

    /// Returns the share of slots in use; `others` is the assumed number of other gateways' requests
    /// at a backend server without a report.
    fn utilisation(&self, others: f64) -> f64 {
        (self.taken + others * self.unreported) / self.slots.max(1.0)
    }
}

/// Returns the cost of the wait for the first event; `lateness` is the wait as a share of the
/// target.
///
/// Once the event is late, a longer wait costs little more, so that in a general overload requests
/// do not leave their homes for backend servers that are equally full.
fn lateness_cost(lateness: f64) -> f64 {
    let until_late = lateness.min(LATE_TARGET_SHARE);
    let beyond = lateness - until_late;
    (until_late * until_late + beyond * LATE_SLOPE) * TARGET_TOKENS
}

/// Returns the expected wait for a slot where `running` requests already run or wait, in
/// milliseconds.
fn slot_wait_ms(member: &FleetMember, running: f64, input: &ChoiceInput<'_>) -> f64 {
    let slots = f64::from(member.entry.slots.max(1));
    let ahead = (running + 1.0 - slots).max(0.0);
    let service = input.service_latency;
    let slot_time_ms = match input.pace {
        Some(_) => member.state.latency.slot_time_over(service),
        None => service.slot_time_ms(),
    };
    ahead * slot_time_ms / slots
}

/// The expected cost and latency of a request at one candidate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// The cost, in prompt tokens.
    pub(crate) cost: f64,
    /// The expected wait for the first event, in milliseconds.
    pub(crate) first_wait_ms: f64,
    /// The outlook of the request; `None` at a service that is not paced.
    pub(crate) outlook: Option<PacedOutlook>,
}

/// Estimates the cost and latency of a request at one candidate.
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
        // Among short prompts alone, a more urgent request overtakes few others.
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
        outlook: None,
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
    let slowness = match input.pace {
        Some(_) => state.pace.slowness(input.now),
        None => 1.0,
    };
    let speed = state.latency.speed(input.service_latency) / slowness;
    let own_running = f64::from(state.own_running);
    let backlog = state.own_prefill + (running - own_running).max(0.0) * load.prefill_per_request;
    let read_ms = (prefill.total() + backlog) / READ_TOKENS_PER_MS / speed;
    let base_wait_ms = read_ms + slot_wait_ms;
    let first_wait_ms = match input.pace {
        Some(terms) if !is_short(input.prompt_tokens) => {
            terms.corrected_wait(state, base_wait_ms, input.now)
        }
        _ => base_wait_ms,
    };
    let lateness = first_wait_ms / input.first_target.as_millis_f64().max(1.0);
    let outlook = input.pace.map(|terms| PacedOutlook {
        chance: terms.end_chance(first_wait_ms, state.latency.mean_gap_ms(), slowness),
        base_wait_ms,
        utilisation: load.open_utilisation,
        slowness,
    });
    let late_probability = input.pause_limit.map_or(0.0, |limit| {
        state.latency.late_probability(input.service_latency, limit)
    });
    let cost = prefill.shared * load.shared_weight()
        + (prefill.own + RUNNING_TOKENS * running) / speed
        + backlog
        + lateness_cost(lateness)
        + late_probability * LATE_PAUSE_TOKENS
        + disturbance_cost(member, input)
        + outlook.map_or(0.0, |outlook| outlook.cost_tokens());
    Estimate {
        cost,
        first_wait_ms,
        outlook,
    }
}

/// Returns the cost of slowing the candidate's streams with short prompts; it is zero for a short
/// prompt.
fn disturbance_cost(member: &FleetMember, input: &ChoiceInput<'_>) -> f64 {
    if is_short(input.prompt_tokens) {
        return 0.0;
    }
    let short_streams = f64::from(member.state.own_short) * input.gateways as f64;
    (short_streams * DISTURBANCE_TOKENS).min(DISTURBANCE_LIMIT)
}
