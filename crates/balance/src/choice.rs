//! The choice of a backend server for one request.
//!
//! Every candidate gets a cost in prompt tokens. Reading a shared part again takes capacity from every
//! stream of that backend server and is work that was done elsewhere, so its tokens count more than
//! the request's own and those that already wait there. The wait itself counts little while the first event is still
//! expected well within its target, and steeply beyond; a wait for a slot counts like one for tokens.
//! The smallest cost wins. Among plain services only the running requests count.
//!
//! Of a large service only the homes and a random sample are looked at: gateways that have the same
//! news would otherwise all go to the backend server that looks emptiest.

use oleander_base::prelude::*;

use crate::fleet_table::{BackendKey, BackendPhase, FleetMember, FleetTable};
use crate::latency::LatencyModel;
use crate::reserve::is_light;
use crate::{HomeSet, PartId, PromptPart, ServiceTraffic};

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

/// The smallest part, in tokens, that is not read again elsewhere while one of its homes can be used.
const HEAVY_TOKENS: u32 = 1_024;

/// Prompt tokens that each stream with a short prompt is worth that a long prompt disturbs.
const DISTURB_TOKENS: f64 = 800.0;

/// The most that such streams are worth together.
const DISTURB_LIMIT: f64 = 15_000.0;

/// Prompt tokens that it is worth to keep a short prompt among short ones.
const OUTSIDE_TOKENS: f64 = 6_000.0;

/// Prompt tokens that it is worth to keep a long prompt away from short ones.
const INTRUDER_TOKENS: f64 = 30_000.0;

/// The share of the target from which a first event is taken to be late.
const LATE_SHARE: f64 = 1.2;

/// How much less each further share of the target costs then.
const BEYOND_SLOPE: f64 = 0.25;

/// Prompt tokens that a stream with a pause beyond its limit is worth in the cost.
const LATE_TOKENS: f64 = 12_000.0;

/// Prompt tokens that another data centre is worth in the cost.
const REMOTE_TOKENS: f64 = 60.0;

/// The cost of a request at a plain service that runs as many requests as it has slots.
const FULL_SLOTS_COST: f64 = 10_000.0;

/// The scatter of costs that keeps gateways with the same knowledge apart.
const JITTER_TOKENS: f64 = 120.0;

/// A service with more backend servers than this is sampled.
const SAMPLED_ABOVE: usize = 24;

/// How many backend servers of a sampled service are looked at, besides the homes.
const SAMPLE_SIZE: f64 = 14.0;

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
    /// The time within which the first event is on time.
    pub first_target: Span,
    /// The longest pause between events that is still on time.
    pub pause_limit: Option<Span>,
    /// Those that this request was sent to already.
    pub tried: &'a [BackendKey],
    /// How many gateways share the fleet.
    pub gateways: usize,
    /// What the streams of the service showed on the whole.
    pub service_latency: &'a LatencyModel,
    /// What the service's traffic consists of.
    pub traffic: &'a ServiceTraffic,
    /// The time.
    pub now: MonoTime,
}

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

/// The chosen backend server.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The backend server.
    pub key: BackendKey,
    /// Prompt tokens that it has to read for this request.
    pub unread: UnreadTokens,
    /// The part that decides where the prompt is at home, if it shares one.
    pub part: Option<PartId>,
    /// The rank of the chosen one among the part's homes.
    pub home_rank: Option<usize>,
    /// Whether the prompt is a short one.
    pub is_light: bool,
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
    let backends = fleet.of_service(input.service).len();
    let reserved = input.traffic.reserved(backends);
    fleet.reserve(input.service, reserved);
    let home_part = home_part(backends, input);
    let homes = home_part
        .map(|part| fleet.homes(input.service, part.part.id, part.width))
        .unwrap_or_default();
    let crowd = Crowd::survey(fleet, input);
    let is_light = is_light(input.prompt_tokens) && !input.parts.is_empty();
    let scope = Scope {
        is_light,
        has_reserved: reserved > 0,
        sampled: sampled_share(backends),
        stays_home: home_part.is_some_and(|part| part.part.tokens >= HEAVY_TOKENS),
    };
    let mut best: Option<Choice> = None;
    let mut passed_over = None;
    let mut candidates = 0;
    for rank in RANKS {
        for &key in fleet.of_service(input.service) {
            let Some(member) = fleet.get(key) else {
                continue;
            };
            if !rank.takes(member, key, &homes, &scope, input) {
                continue;
            }
            let is_reserved = fleet.is_reserved(input.service, key);
            let is_sampled = rank != CandidateRank::Open
                || homes.rank_of(key).is_some()
                || (is_light && is_reserved)
                || random() < scope.sampled;
            if !is_sampled {
                passed_over = Some(key);
                continue;
            }
            candidates += 1;
            let unread = unread_tokens(member, key, &homes, input);
            let misplaced = scope.misplaced(is_reserved);
            let cost = cost(member, unread, &crowd, input) + misplaced + random() * JITTER_TOKENS;
            if best.is_none_or(|held| cost < held.cost) {
                best = Some(Choice {
                    key,
                    unread,
                    part: home_part.map(|part| part.part.id),
                    home_rank: homes.rank_of(key),
                    is_light,
                    cost,
                    candidates: 0,
                });
            }
        }
        if best.is_some() || passed_over.is_some() {
            break;
        }
    }
    // A sample may be empty; one that was passed over is better than one that is ejected.
    if let (None, Some(key)) = (best, passed_over) {
        let member = fleet.get(key)?;
        let unread = unread_tokens(member, key, &homes, input);
        candidates = 1;
        best = Some(Choice {
            key,
            unread,
            part: home_part.map(|part| part.part.id),
            home_rank: None,
            is_light,
            cost: cost(member, unread, &crowd, input),
            candidates,
        });
    }
    best.map(|choice| Choice {
        candidates,
        ..choice
    })
}

/// Returns the share of a service's backend servers that is looked at.
fn sampled_share(backends: usize) -> f64 {
    if backends > SAMPLED_ABOVE {
        SAMPLE_SIZE / backends as f64
    } else {
        1.0
    }
}

/// Which candidates are looked at.
#[derive(Debug)]
struct Scope {
    /// Whether the prompt is a short one.
    is_light: bool,
    /// Whether some backend servers read only short prompts.
    has_reserved: bool,
    /// The share of those that are no home.
    sampled: f64,
    /// Whether others than homes are used only if no home can be.
    stays_home: bool,
}

impl Scope {
    /// Returns what it costs to take a short prompt among long ones, or a long one among short ones.
    fn misplaced(&self, is_reserved: bool) -> f64 {
        match (self.is_light, is_reserved) {
            (true, false) if self.has_reserved => OUTSIDE_TOKENS,
            (false, true) => INTRUDER_TOKENS,
            _ => 0.0,
        }
    }
}

/// The candidates in the order in which they are used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateRank {
    /// Homes of a prompt that is costly to read elsewhere.
    OpenHome,
    /// All that take requests.
    Open,
    /// Those that failed lately.
    Ejected,
    /// Those whose entry lapsed.
    Lapsed,
}

const RANKS: [CandidateRank; 4] = [
    CandidateRank::OpenHome,
    CandidateRank::Open,
    CandidateRank::Ejected,
    CandidateRank::Lapsed,
];

impl CandidateRank {
    fn takes(
        self,
        member: &FleetMember,
        key: BackendKey,
        homes: &HomeSet,
        scope: &Scope,
        input: &ChoiceInput<'_>,
    ) -> bool {
        if member.entry.phase != BackendPhase::Serving || input.tried.contains(&key) {
            return false;
        }
        let is_lapsed = member.lapsed_at.is_some();
        let is_open = !is_lapsed && member.state.is_open(input.now);
        match self {
            Self::OpenHome => is_open && scope.stays_home && homes.rank_of(key).is_some(),
            Self::Open => is_open,
            Self::Ejected => !is_lapsed && !is_open,
            Self::Lapsed => is_lapsed,
        }
    }
}

/// The part that decides where a prompt is at home.
#[derive(Debug, Clone, Copy)]
struct HomePart {
    part: PromptPart,
    width: usize,
}

/// Returns the largest part that other requests may share, any but the last one, among those with the
/// fewest homes: a part that is at home in many places does not tell where the others are.
fn home_part(backends: usize, input: &ChoiceInput<'_>) -> Option<HomePart> {
    let shared = input.parts.split_last().map(|(_, shared)| shared)?;
    let wide = shared.iter().map(|part| HomePart {
        part: *part,
        width: input.traffic.width(part.id, backends),
    });
    wide.min_by_key(|home| (home.width, std::cmp::Reverse(home.part.tokens)))
}

fn unread_tokens(
    member: &FleetMember,
    key: BackendKey,
    homes: &HomeSet,
    input: &ChoiceInput<'_>,
) -> UnreadTokens {
    let all: u32 = input.parts.iter().map(|part| part.tokens).sum();
    // A prompt may be longer than the parts that it names.
    let mut own = f64::from(input.prompt_tokens.saturating_sub(all));
    let mut shared = 0.0;
    let guess = homes.held_chance(key);
    let mut reach = 1.0;
    for (index, part) in input.parts.iter().enumerate() {
        let is_shared = index + 1 < input.parts.len();
        let is_held = member.state.parts.holds(part.id, input.now);
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
struct Crowd {
    /// Requests that another gateway has at a backend server on average.
    running: f64,
    /// Prompt tokens still to be read for one running request on average.
    unread: f64,
    /// How much of the service's slots is taken.
    fullness: f64,
}

impl Crowd {
    fn survey(fleet: &FleetTable, input: &ChoiceInput<'_>) -> Self {
        let keys = fleet.of_service(input.service);
        let (mut running, mut unread) = (0.0, 0.0);
        for member in keys.iter().filter_map(|key| fleet.get(*key)) {
            running += f64::from(member.state.own_running);
            unread += member.state.own_unread;
        }
        let mean = running / keys.len().max(1) as f64;
        let others = mean * input.gateways.saturating_sub(1) as f64;
        let members = keys.iter().filter_map(|key| fleet.get(*key));
        let (taken, slots) = members.fold((0.0, 1.0), |sum, member| {
            let taken = member.state.running(others, input.now);
            (sum.0 + taken, sum.1 + f64::from(member.entry.slots))
        });
        Self {
            running: mean,
            unread: unread / f64::max(running, 1.0),
            fullness: taken / slots,
        }
    }
}

impl Crowd {
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

fn cost(member: &FleetMember, unread: UnreadTokens, crowd: &Crowd, input: &ChoiceInput<'_>) -> f64 {
    let state = &member.state;
    let others = crowd.running * input.gateways.saturating_sub(1) as f64;
    let running = state.running(others, input.now);
    let is_remote = &*member.entry.centre != input.centre;
    let distance = if is_remote { REMOTE_TOKENS } else { 0.0 };
    if input.parts.is_empty() {
        let slots = f64::from(member.entry.slots.max(1));
        let share = running / slots;
        return share * RUNNING_TOKENS + (share - 0.7).max(0.0) * FULL_SLOTS_COST + distance;
    }
    let speed = state.latency.speed(input.service_latency);
    let own_running = f64::from(state.own_running);
    let backlog = state.own_unread + (running - own_running).max(0.0) * crowd.unread;
    let read_ms = (unread.total() + backlog) / READ_TOKENS_PER_MS / speed;
    let first_ms = read_ms + slot_wait_ms(member, running, input);
    let lateness = first_ms / input.first_target.as_millis_f64().max(1.0);
    let late = input.pause_limit.map_or(0.0, |limit| {
        state.latency.late_chance(input.service_latency, limit)
    });
    let company = if !is_light(input.prompt_tokens) {
        let lights = f64::from(state.own_light) * input.gateways as f64;
        (lights * DISTURB_TOKENS).min(DISTURB_LIMIT)
    } else {
        0.0
    };
    unread.shared * crowd.shared_weight()
        + (unread.own + RUNNING_TOKENS * running) / speed
        + backlog
        + late_first_tokens(lateness)
        + late * LATE_TOKENS
        + company
        + distance
}
