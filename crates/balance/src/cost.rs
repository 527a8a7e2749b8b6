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
use crate::reserve::{ReservedSet, is_light};

/// Prompt tokens that one running request is worth in the cost.
const RUNNING_TOKENS: f64 = 300.0;

/// How much more a token of a shared part counts that has to be read again than one of the request's own.
const SHARED_WEIGHT: f64 = 5.0;

/// The share of a service's slots up to which reading a shared part again is no more than a cost.
const RELAXED_SHARE: f64 = 0.4;

/// How much more shared tokens count where every slot is taken.
const PRESSED_FACTOR: f64 = 3.0;

/// Prompt tokens that a backend server of usual speed reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// Prompt tokens that a first event right at its target is worth in the cost.
const TARGET_TOKENS: f64 = 22_000.0;

/// Prompt tokens that each stream with a short prompt is worth that a long prompt disturbs.
const DISTURB_TOKENS: f64 = 800.0;

/// The most that such streams are worth together.
const DISTURB_LIMIT: f64 = 15_000.0;

/// The share of the target from which a first event is taken to be late.
const LATE_SHARE: f64 = 1.2;

/// How much less each further share of the target costs then.
const BEYOND_SLOPE: f64 = 0.25;

/// Prompt tokens that a stream with a pause beyond its limit is worth in the cost.
const LATE_TOKENS: f64 = 12_000.0;

/// Prompt tokens that another data centre is worth in the cost.
const REMOTE_TOKENS: f64 = 60.0;

/// Prompt tokens that a new connection is worth in the cost.
const CONNECT_TOKENS: f64 = 300.0;

/// The share of a plain service's slots from which another request costs more.
const BUSY_SHARE: f64 = 0.7;

/// The cost, above that share, of a request at a plain service that runs as many requests as it has slots.
const FULL_SLOTS_COST: f64 = 10_000.0;

/// Prompt tokens that a backend server has to read for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnreadTokens {
    /// Those of parts that other requests share.
    pub shared: f64,
    /// Those that only this request has.
    pub own: f64,
}

impl UnreadTokens {
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
            is_reserved: reserved.holds(key),
        })
    }
}

/// Returns the prompt tokens that a candidate is expected to read.
pub(crate) fn unread_tokens(
    candidate: &Candidate<'_>,
    homes: &HomeSet,
    input: &ChoiceInput<'_>,
) -> UnreadTokens {
    let all: u32 = input.parts.iter().map(|part| part.tokens).sum();
    // A prompt may be longer than the parts that it names.
    let mut own = f64::from(input.prompt_tokens.saturating_sub(all));
    let mut shared = 0.0;
    let guess = homes.held_chance(candidate.key);
    let mut reach = 1.0;
    for (index, part) in input.parts.iter().enumerate() {
        let is_shared = index + 1 < input.parts.len();
        let is_held = candidate.member.state.parts.holds(part.id, input.now);
        // A part helps only if all parts before it are held as well.
        reach = match (is_held, is_shared) {
            (true, _) => reach,
            (false, true) => guess.min(reach),
            (false, false) => 0.0,
        };
        let unread = f64::from(part.tokens) * (1.0 - reach);
        if is_shared {
            shared += unread;
        } else {
            own += unread;
        }
    }
    UnreadTokens { shared, own }
}

/// What this gateway's own requests say of those of the others.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Crowd {
    /// Requests that another gateway has at a backend server on average.
    running: f64,
    /// Prompt tokens still to be read for one running request on average.
    unread: f64,
    /// How much of the service's slots is taken.
    fullness: f64,
    /// The share of a queue that goes before the request.
    ahead: f64,
}

impl Crowd {
    pub(crate) fn survey(fleet: &FleetTable, input: &ChoiceInput<'_>) -> Self {
        let keys = fleet.of_service(input.service);
        let (mut own, mut unread) = (0.0, 0.0);
        let (mut taken, mut unreported, mut slots) = (0.0, 0.0, 1.0);
        for member in keys.iter().filter_map(|key| fleet.get(*key)) {
            let state = &member.state;
            own += f64::from(state.own_running);
            unread += state.own_unread;
            slots += f64::from(member.entry.slots);
            taken += state.running(0.0, input.now);
            unreported += f64::from(u8::from(!state.has_report(input.now)));
        }
        let mean = own / keys.len().max(1) as f64;
        let others = mean * input.gateways.saturating_sub(1) as f64;
        Self {
            running: mean,
            unread: unread / f64::max(own, 1.0),
            fullness: (taken + others * unreported) / slots,
            ahead: input.traffic.ahead_share(input.urgency),
        }
    }

    /// Returns how much more a token of a shared part counts: the fuller the service, the less it can
    /// spare for reading again what another backend server holds.
    fn shared_weight(&self) -> f64 {
        let pressed = (self.fullness - RELAXED_SHARE) / (1.0 - RELAXED_SHARE);
        SHARED_WEIGHT * (1.0 + PRESSED_FACTOR * pressed.clamp(0.0, 1.0))
    }
}

/// Returns what the wait for the first event costs, by its share of the target.
///
/// Once it is late, a longer wait loses little more, so that in a general overload requests do not
/// leave their homes for backend servers that are as full.
fn late_first_tokens(lateness: f64) -> f64 {
    let until_late = lateness.min(LATE_SHARE);
    let beyond = lateness - until_late;
    (until_late * until_late + beyond * BEYOND_SLOPE) * TARGET_TOKENS
}

/// Returns how long a request waits for a slot where that many run or wait already.
fn slot_wait_ms(member: &FleetMember, running: f64, input: &ChoiceInput<'_>) -> f64 {
    let slots = f64::from(member.entry.slots.max(1));
    let ahead = (running + 1.0 - slots).max(0.0);
    ahead * input.service_latency.held_ms() / slots
}

/// What is expected of a request at one candidate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// The cost.
    pub(crate) cost: f64,
    /// The wait for the first event, in milliseconds.
    pub(crate) first_ms: f64,
}

/// Estimates a request at one candidate.
pub(crate) fn estimate(
    candidate: &Candidate<'_>,
    unread: UnreadTokens,
    crowd: &Crowd,
    input: &ChoiceInput<'_>,
) -> Estimate {
    let member = candidate.member;
    let others = crowd.running * input.gateways.saturating_sub(1) as f64;
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
            crowd.ahead
        };
        let slot_wait = ahead * slot_wait_ms(member, running, input);
        prompt_estimate(member, running, slot_wait, unread, crowd, input)
    };
    let has_idle = input.kept.has_idle(candidate.key);
    let connect = if has_idle { 0.0 } else { CONNECT_TOKENS };
    estimate.cost += distance + connect;
    estimate
}

fn plain_estimate(member: &FleetMember, running: f64) -> Estimate {
    let share = running / f64::from(member.entry.slots.max(1));
    Estimate {
        cost: share * RUNNING_TOKENS + (share - BUSY_SHARE).max(0.0) * FULL_SLOTS_COST,
        first_ms: 0.0,
    }
}

fn prompt_estimate(
    member: &FleetMember,
    running: f64,
    slot_wait_ms: f64,
    unread: UnreadTokens,
    crowd: &Crowd,
    input: &ChoiceInput<'_>,
) -> Estimate {
    let state = &member.state;
    let speed = state.latency.speed(input.service_latency);
    let own_running = f64::from(state.own_running);
    let backlog = state.own_unread + (running - own_running).max(0.0) * crowd.unread;
    let read_ms = (unread.total() + backlog) / READ_TOKENS_PER_MS / speed;
    let first_ms = read_ms + slot_wait_ms;
    let lateness = first_ms / input.first_target.as_millis_f64().max(1.0);
    let late = input.pause_limit.map_or(0.0, |limit| {
        state.latency.late_chance(input.service_latency, limit)
    });
    let cost = unread.shared * crowd.shared_weight()
        + (unread.own + RUNNING_TOKENS * running) / speed
        + backlog
        + late_first_tokens(lateness)
        + late * LATE_TOKENS
        + company(member, input);
    Estimate { cost, first_ms }
}

/// Returns what the streams are worth that a long prompt disturbs.
fn company(member: &FleetMember, input: &ChoiceInput<'_>) -> f64 {
    if is_light(input.prompt_tokens) {
        return 0.0;
    }
    let lights = f64::from(member.state.own_light) * input.gateways as f64;
    (lights * DISTURB_TOKENS).min(DISTURB_LIMIT)
}
