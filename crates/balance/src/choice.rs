//! The choice of a backend server for one request.
//!
//! Every candidate gets a cost in prompt tokens (`cost.rs`), and the smallest cost wins. A prompt with a
//! large shared part goes to one of the part's homes while one takes requests.
//!
//! Of a large service only the homes and a random sample are looked at: gateways that have the same
//! news would otherwise all go to the backend server that looks emptiest.

use std::fmt;

use oleander_base::prelude::*;

use crate::backend_state::REPORT_TTL;
use crate::cost::{Candidate, PrefillTokens, ServiceLoad, estimate, prefill_tokens};
use crate::fleet_table::{BackendKey, BackendPhase, FleetTable};
use crate::latency::LatencyModel;
use crate::reserve::is_short;
use crate::{HomeSet, PartId, PromptPart, ServiceTraffic};

/// The scatter of costs that keeps gateways with the same knowledge apart.
const JITTER_TOKENS: f64 = 120.0;

/// Prompt tokens that it is worth to keep a short prompt among short ones.
const SHORT_MISPLACED_TOKENS: f64 = 6_000.0;

/// Prompt tokens that it is worth to keep a long prompt away from short ones.
const LONG_MISPLACED_TOKENS: f64 = 30_000.0;

/// The smallest part, in tokens, that is not read again elsewhere while one of its homes can be used.
const HOME_FIRST_TOKENS: u32 = 1_024;

/// The share of the largest part, as a divisor, from which a later part may decide instead.
const COMPARABLE_DIVISOR: u32 = 4;

/// A service with more backend servers than this is sampled.
const SAMPLING_THRESHOLD: usize = 24;

/// How many backend servers of a sampled service are looked at, besides the homes.
const SAMPLE_SIZE: f64 = 14.0;

/// The connections that a gateway keeps.
pub trait IdleConnections: fmt::Debug {
    /// Returns whether one to this backend server is open and idle.
    fn has_idle(&self, key: BackendKey) -> bool;
}

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
    /// The request's urgency, 0 first.
    pub urgency: u8,
    /// The time within which the first event is on time.
    pub first_target: Span,
    /// The longest pause between events that is still on time.
    pub pause_limit: Option<Span>,
    /// The connections that are kept.
    pub connections: &'a dyn IdleConnections,
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

/// The chosen backend server.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The backend server.
    pub key: BackendKey,
    /// Prompt tokens that it has to read for this request.
    pub prefill: PrefillTokens,
    /// The part that decides where the prompt is at home, if it shares one.
    pub part: Option<PartId>,
    /// The rank of the chosen one among the part's homes.
    pub home_rank: Option<usize>,
    /// Whether the prompt is a short one.
    pub is_short: bool,
    /// The cost that won.
    pub cost: f64,
    /// How long its first event is expected to take.
    pub first_wait: Span,
    /// Whether its last report has requests that wait.
    pub has_queue: bool,
    /// How many candidates there were.
    pub candidates: usize,
}

/// Chooses a backend server; `random` returns numbers in 0 to 1.
pub fn choose_backend(
    fleet: &mut FleetTable,
    input: &ChoiceInput<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let backends = fleet.service_keys(input.service).len();
    let reserved_count = input.traffic.reserved_count(backends);
    let reserved = fleet.reserve_short(input.service, reserved_count);
    let home_part = home_part(backends, input);
    let homes = home_part
        .map(|part| fleet.homes(input.service, part.part.id, part.home_count))
        .unwrap_or_default();
    let scope = SearchScope {
        is_short: is_short(input.prompt_tokens) && !input.parts.is_empty(),
        has_reserved: reserved_count > 0,
        sampled_share: sampled_share(backends),
        homes_first: home_part.is_some_and(|part| part.part.tokens >= HOME_FIRST_TOKENS),
    };
    let scorer = CandidateScorer {
        input,
        load: ServiceLoad::measure(fleet, input),
        homes,
        part: home_part.map(|part| part.part.id),
        scope,
    };
    let mut best: Option<Choice> = None;
    let mut skipped = None;
    let mut candidates = 0;
    for rank in RANK_ORDER {
        let keys = match rank {
            CandidateRank::OpenHome => scorer.homes.keys(),
            _ => fleet.service_keys(input.service),
        };
        for &key in keys {
            let Some(candidate) = Candidate::find(fleet, &reserved, key) else {
                continue;
            };
            if !scorer.is_eligible(rank, &candidate) {
                continue;
            }
            if rank == CandidateRank::Open && !scorer.is_sampled(&candidate, &mut random) {
                skipped = Some(key);
                continue;
            }
            candidates += 1;
            let mut choice = scorer.score(&candidate);
            choice.cost += random() * JITTER_TOKENS;
            if best.is_none_or(|best| choice.cost < best.cost) {
                best = Some(choice);
            }
        }
        if best.is_some() || skipped.is_some() {
            break;
        }
    }
    // A sample may be empty; one that was passed over is better than one that is ejected.
    if let (None, Some(key)) = (best, skipped) {
        candidates = 1;
        best = Candidate::find(fleet, &reserved, key).map(|candidate| scorer.score(&candidate));
    }
    best.map(|choice| Choice {
        candidates,
        ..choice
    })
}

/// Returns the share of a service's backend servers that is looked at.
fn sampled_share(backends: usize) -> f64 {
    if backends > SAMPLING_THRESHOLD {
        SAMPLE_SIZE / backends as f64
    } else {
        1.0
    }
}

/// Which candidates are looked at.
#[derive(Debug)]
struct SearchScope {
    /// Whether the prompt is a short one.
    is_short: bool,
    /// Whether some backend servers read only short prompts.
    has_reserved: bool,
    /// The share of those that are no home.
    sampled_share: f64,
    /// Whether others than homes are used only if no home can be.
    homes_first: bool,
}

impl SearchScope {
    /// Returns what it costs to take a short prompt among long ones, or a long one among short ones.
    fn misplacement_cost(&self, is_reserved: bool) -> f64 {
        match (self.is_short, is_reserved) {
            (true, false) if self.has_reserved => SHORT_MISPLACED_TOKENS,
            (false, true) => LONG_MISPLACED_TOKENS,
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

const RANK_ORDER: [CandidateRank; 4] = [
    CandidateRank::OpenHome,
    CandidateRank::Open,
    CandidateRank::Ejected,
    CandidateRank::Lapsed,
];

/// Weighs the candidates of one request.
#[derive(Debug)]
struct CandidateScorer<'a> {
    input: &'a ChoiceInput<'a>,
    load: ServiceLoad,
    homes: HomeSet,
    /// The part that decides where the prompt is at home.
    part: Option<PartId>,
    scope: SearchScope,
}

impl CandidateScorer<'_> {
    /// Returns whether a candidate may be used at a rank.
    fn is_eligible(&self, rank: CandidateRank, candidate: &Candidate<'_>) -> bool {
        let member = candidate.member;
        let is_serving = member.entry.phase == BackendPhase::Serving;
        if !is_serving || self.input.tried.contains(&candidate.key) {
            return false;
        }
        let is_lapsed = member.lapsed_at.is_some();
        let is_open = !is_lapsed && member.state.is_open(self.input.now);
        match rank {
            CandidateRank::OpenHome => is_open && self.scope.homes_first,
            CandidateRank::Open => is_open,
            CandidateRank::Ejected => !is_lapsed && !is_open,
            CandidateRank::Lapsed => is_lapsed,
        }
    }

    /// Returns whether an open candidate is looked at: the homes always, of others a sample.
    fn is_sampled(&self, candidate: &Candidate<'_>, random: &mut impl FnMut() -> f64) -> bool {
        self.homes.rank_of(candidate.key).is_some()
            || (self.scope.is_short && candidate.is_reserved)
            || random() < self.scope.sampled_share
    }

    /// Returns the choice of a candidate.
    fn score(&self, candidate: &Candidate<'_>) -> Choice {
        let prefill = prefill_tokens(candidate, &self.homes, self.input);
        let estimate = estimate(candidate, prefill, &self.load, self.input);
        Choice {
            key: candidate.key,
            prefill,
            part: self.part,
            home_rank: self.homes.rank_of(candidate.key),
            is_short: self.scope.is_short,
            cost: estimate.cost + self.scope.misplacement_cost(candidate.is_reserved),
            first_wait: Span((estimate.first_wait_ms * 1e3) as u64),
            has_queue: candidate.member.state.has_queue(REPORT_TTL, self.input.now),
            candidates: 0,
        }
    }
}

/// The part that decides where a prompt is at home.
#[derive(Debug, Clone, Copy)]
struct HomePart {
    part: PromptPart,
    home_count: usize,
}

/// Returns the part that decides where a prompt is at home, among those that other requests may share:
/// any but the last one.
///
/// A part that is at home in many places does not tell where the others are, and of parts of about
/// the same size the later one tells more, as fewer requests share it.
fn home_part(backends: usize, input: &ChoiceInput<'_>) -> Option<HomePart> {
    let shared = input.parts.split_last().map(|(_, shared)| shared)?;
    let largest = shared.iter().map(|part| part.tokens).max()?;
    let comparable = shared
        .iter()
        .rev()
        .filter(|part| part.tokens >= largest / COMPARABLE_DIVISOR);
    let homes = comparable.map(|part| HomePart {
        part: *part,
        home_count: input.traffic.home_count(part.id, backends),
    });
    homes.min_by_key(|home| home.home_count)
}
