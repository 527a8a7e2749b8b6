//! The choice of a backend server for one request.
//!
//! Every candidate gets a cost in prompt tokens (`cost.rs`), and the smallest cost wins. A prompt
//! with a large shared part goes to one of the part's homes, or of the ranks behind them, as long
//! as one of these is open.
//!
//! In a large service only the homes, the reserved backend servers (for short prompts) and a random
//! sample are considered: gateways with the same load reports would otherwise all choose the backend
//! server that looks least loaded.

use std::cell::Cell;
use std::fmt;

use oleander_base::prelude::*;

use crate::backend_state::REPORT_TTL;
use crate::cost::{Candidate, PrefillTokens, ServiceLoad, estimate, prefill_tokens};
use crate::fleet_table::{BackendKey, BackendPhase, FleetTable};
use crate::latency::LatencyModel;
use crate::outlook::PacedOutlook;
use crate::reserve::is_short;
use crate::service_pace::PaceTerms;
use crate::{HomeSet, PartId, PromptPart, ServiceTraffic, VersionId};

/// The range of the random cost, in prompt tokens, that keeps gateways with the same load reports
/// from making the same choice.
const JITTER_TOKENS: f64 = 120.0;

/// The cost, in prompt tokens, of a short prompt at a backend server that also reads long ones,
/// while some are reserved for short prompts.
const SHORT_MISPLACED_TOKENS: f64 = 6_000.0;

/// The cost, in prompt tokens, of a long prompt at a backend server reserved for short ones.
const LONG_MISPLACED_TOKENS: f64 = 30_000.0;

/// The smallest part, in tokens, for which other backend servers are considered only when neither
/// its homes nor the ranks behind them are open.
const HOME_FIRST_TOKENS: u32 = 1_024;

/// The divisor of the largest part's size that gives the smallest size at which another part can
/// decide the homes.
const COMPARABLE_DIVISOR: u32 = 4;

/// The number of backend servers above which a service is sampled.
const SAMPLING_THRESHOLD: usize = 24;

/// The expected number of backend servers of a sampled service that are considered besides the
/// homes.
const SAMPLE_SIZE: f64 = 14.0;

/// The same for a paced service, that is, one whose backend servers report their pace. Load and pace
/// change within the age of a load report, so the more backend servers each gateway compares, the more
/// gateways choose the same one.
const PACED_SAMPLE_SIZE: f64 = 8.0;

/// The least number of reserved backend servers of a paced service that are considered for a short prompt. As
/// reports are old, the best of two random ones spreads the load better than the best of all.
const MIN_RESERVED_SAMPLE: f64 = 2.0;

/// The number considered by all gateways together, if each has one short prompt. The fewer gateways compare the
/// same reports, the more backend servers each may compare.
const FLEET_RESERVED_SAMPLE: f64 = 92.0;

/// The idle connections of a gateway to backend servers.
pub trait IdleConnections: fmt::Debug {
    /// Returns whether an open connection to this backend server is idle.
    fn has_idle(&self, key: BackendKey) -> bool;
}

/// The inputs of a choice besides the fleet.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The data centre of this gateway.
    pub centre: &'a str,
    /// The prompt's parts, in order; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// The prompt's size in tokens.
    pub prompt_tokens: u32,
    /// The request's urgency; 0 is the most urgent.
    pub urgency: u8,
    /// The latency target of the first event.
    pub first_target: Span,
    /// The longest pause between two events that still meets the target.
    pub pause_limit: Option<Span>,
    /// The idle connections of this gateway.
    pub connections: &'a dyn IdleConnections,
    /// The backend servers that this request was already sent to.
    pub tried: &'a [BackendKey],
    /// Whether a backend server without a free slot may be chosen, to wait for one there.
    pub accepts_full: bool,
    /// The only software version that may be chosen, for a stream that goes on.
    pub version: Option<VersionId>,
    /// The number of gateways that share the fleet, this one included.
    pub gateways: usize,
    /// The latency of all streams of the service.
    pub service_latency: &'a LatencyModel,
    /// The recent traffic of the service.
    pub traffic: &'a ServiceTraffic,
    /// The further inputs of the choice at a paced service; `None` at other services.
    pub pace: Option<PaceTerms>,
    /// The current time.
    pub now: MonoTime,
}

/// The chosen backend server.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The backend server.
    pub key: BackendKey,
    /// The prompt tokens that it is expected to read for this request.
    pub prefill: PrefillTokens,
    /// The shared part that decides the prompt's homes, if it has one.
    pub part: Option<PartId>,
    /// The rank of the chosen backend server among the part's homes and the ranks behind them.
    pub home_rank: Option<usize>,
    /// Whether the prompt is short; false for a plain service.
    pub is_short: bool,
    /// The cost of the choice, in prompt tokens.
    pub cost: f64,
    /// The expected wait for the first event.
    pub first_wait: Span,
    /// Whether its last report, if still valid, shows queued requests.
    pub has_queue: bool,
    /// The outlook of the request there; `None` at a service that is not paced.
    pub outlook: Option<PacedOutlook>,
    /// The number of candidates that were scored.
    pub candidates: usize,
}

/// Chooses a backend server; `random` returns numbers from 0 to 1.
pub fn choose_backend(
    fleet: &mut FleetTable,
    input: &ChoiceInput<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Choice> {
    let backends = fleet.service_keys(input.service).len();
    let reserved_count = match input.pace {
        Some(terms) => terms.reserved,
        None => input.traffic.reserved_count(backends),
    };
    let reserved = fleet.reserve_short(input.service, reserved_count);
    let home_part = home_part(backends, input);
    let homes = home_part
        .map(|part| fleet.homes(input.service, part.part.id, part.home_count))
        .unwrap_or_default();
    let scope = SearchScope {
        is_short: is_short(input.prompt_tokens) && !input.parts.is_empty(),
        has_reserved: reserved_count > 0,
        sampled_share: sampled_share(backends, input.pace.is_some()),
        reserved_draw: input.pace.map(|terms| {
            Cell::new(ReservedDraw {
                wanted: reserved_sample(input.gateways),
                left: terms.reserved as f64,
            })
        }),
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
    // The sample may be empty. An open candidate outside the sample is better than an ejected one.
    if let (None, Some(key)) = (best, skipped) {
        candidates = 1;
        best = Candidate::find(fleet, &reserved, key).map(|candidate| scorer.score(&candidate));
    }
    best.map(|choice| Choice {
        candidates,
        ..choice
    })
}

/// Returns the expected number of reserved backend servers that are considered for a short prompt.
fn reserved_sample(gateways: usize) -> f64 {
    (FLEET_RESERVED_SAMPLE / gateways.max(1) as f64).max(MIN_RESERVED_SAMPLE)
}

/// Returns the share of a service's backend servers that is considered besides the homes.
fn sampled_share(backends: usize, is_paced: bool) -> f64 {
    let size = if is_paced {
        PACED_SAMPLE_SIZE
    } else {
        SAMPLE_SIZE
    };
    if backends > SAMPLING_THRESHOLD {
        size / backends as f64
    } else {
        1.0
    }
}

/// Draws a number of the reserved backend servers at random, one after the other, each with the same
/// probability. With a draw of each by itself there would often be none, and a short prompt would go among
/// long ones.
#[derive(Debug, Clone, Copy)]
struct ReservedDraw {
    /// How many are still to be drawn.
    wanted: f64,
    /// How many are still to come.
    left: f64,
}

impl ReservedDraw {
    /// Returns whether the next one is drawn, and the draw of the rest.
    fn draw(self, random: f64) -> (bool, Self) {
        let is_drawn = random * self.left < self.wanted;
        let rest = Self {
            wanted: self.wanted - f64::from(u8::from(is_drawn)),
            left: self.left - 1.0,
        };
        (is_drawn, rest)
    }
}

/// Limits which candidates are considered for one request.
#[derive(Debug)]
struct SearchScope {
    /// Whether the prompt is short.
    is_short: bool,
    /// Whether some backend servers are reserved for short prompts.
    has_reserved: bool,
    /// The share of backend servers that is considered besides the homes.
    sampled_share: f64,
    /// The reserved backend servers that are considered for short prompts; all if absent.
    reserved_draw: Option<Cell<ReservedDraw>>,
    /// Whether other backend servers are considered only if no home, nor rank behind them, is open.
    homes_first: bool,
}

impl SearchScope {
    /// Returns the cost of placing a short prompt among long ones, or a long one among short ones.
    fn misplacement_cost(&self, is_reserved: bool) -> f64 {
        match (self.is_short, is_reserved) {
            (true, false) if self.has_reserved => SHORT_MISPLACED_TOKENS,
            (false, true) => LONG_MISPLACED_TOKENS,
            _ => 0.0,
        }
    }
}

/// The ranks of candidates; a rank is considered only if the ranks before it have no
/// eligible candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateRank {
    /// Open homes, and ranks behind them, of a prompt whose shared part is large.
    OpenHome,
    /// All open backend servers.
    Open,
    /// Backend servers that are ejected, found to be down or at their probe limit.
    Ejected,
    /// Backend servers whose registry entry lapsed.
    Lapsed,
}

const RANK_ORDER: [CandidateRank; 4] = [
    CandidateRank::OpenHome,
    CandidateRank::Open,
    CandidateRank::Ejected,
    CandidateRank::Lapsed,
];

/// Scores the candidates of one request.
#[derive(Debug)]
struct CandidateScorer<'a> {
    input: &'a ChoiceInput<'a>,
    load: ServiceLoad,
    homes: HomeSet,
    /// The part that decides the prompt's homes.
    part: Option<PartId>,
    scope: SearchScope,
}

impl CandidateScorer<'_> {
    /// Returns whether a candidate belongs to a rank and may be chosen.
    fn is_eligible(&self, rank: CandidateRank, candidate: &Candidate<'_>) -> bool {
        let member = candidate.member;
        let is_serving = member.entry.phase == BackendPhase::Serving;
        if !is_serving || self.input.tried.contains(&candidate.key) {
            return false;
        }
        let now = self.input.now;
        let has_no_memory = member
            .state
            .memory
            .is_full_for(self.input.prompt_tokens, now);
        let is_full = member.state.is_full(now) || has_no_memory;
        if member.state.is_closed(now) || (is_full && !self.input.accepts_full) {
            return false;
        }
        let is_bound_elsewhere =
            |version| version != member.version || !member.state.process.takes_resumes();
        if self.input.version.is_some_and(is_bound_elsewhere) {
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

    /// Returns whether an open candidate is considered: always if it is a home, or reserved and the
    /// prompt short, and otherwise at random. At a paced service the reserved ones are sampled too.
    fn is_sampled(&self, candidate: &Candidate<'_>, random: &mut impl FnMut() -> f64) -> bool {
        if self.homes.rank_of(candidate.key).is_some() {
            return true;
        }
        let is_reserved = self.scope.is_short && candidate.is_reserved;
        match &self.scope.reserved_draw {
            Some(draw) if is_reserved => {
                let (is_drawn, rest) = draw.get().draw(random());
                draw.set(rest);
                is_drawn
            }
            _ => is_reserved || random() < self.scope.sampled_share,
        }
    }

    /// Returns the choice of a candidate with its cost.
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
            outlook: estimate.outlook,
            candidates: 0,
        }
    }
}

/// The part that decides a prompt's homes, and the number of its homes.
#[derive(Debug, Clone, Copy)]
struct HomePart {
    part: PromptPart,
    home_count: usize,
}

/// Returns the part that decides a prompt's homes, among those that other requests may share: all
/// but the last one.
///
/// Parts of at least a quarter of the largest one's size are compared. The one with the fewest
/// homes is chosen, because a part with many homes says little about where the other parts are
/// cached; among equals the last one is chosen, because fewer requests share it.
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
