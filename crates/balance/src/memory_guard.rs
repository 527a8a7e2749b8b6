//! Decides when the memory of a model engine is scarce, so that its requests need leases.
//!
//! While an engine has plenty of memory, gateways send to it without any message to each other. Each of them estimates
//! how full the engine is. It knows what its own requests need. Of the others' requests it knows the number, by load
//! reports that are up to seconds old, and it takes its own sends since the report as a sample of theirs. The estimate
//! is an upper one. The first gateway whose estimate passes a share of the memory switches the guard on for all, by a
//! message that every gateway passes on. While the guard is on, each request needs a lease (`memory_ledger.rs`). The
//! guard ends when it has not been renewed for a while (docs/design/engine-memory.md).

use oleander_base::prelude::*;

use crate::memory_need::NeedModel;

/// The estimated fill, as a share of the memory, from which the guard is on. What is left is for requests that other
/// gateways send before they learn of it.
const GUARD_SHARE: f64 = 0.7;

/// How long the guard stays on after the last time that it was found to be needed. It is far longer than the age up to
/// which load reports count, and than the time in which gossip reaches all gateways.
const GUARD_TIME: Span = Span::from_secs(8);

/// How many standard deviations the sum of the others' needs is taken above its mean; both the number of their requests
/// and what each of these needs are uncertain. With 2, a single long prompt can switch the guard on at a tenth of the
/// memory.
const SPREAD_FACTOR: f64 = 1.5;

/// The shortest time between two renewals of a guard, because each one is gossiped to the other gateways.
const RENEWAL_INTERVAL: Span = Span::from_secs(2);

/// An estimate of the number of the other gateways' requests at a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OthersCount {
    /// Its mean.
    pub mean: f64,
    /// Its variance.
    pub variance: f64,
}

/// A load report, and what this gateway has sent since.
#[derive(Debug, Clone, Copy)]
pub struct ReportedOthers {
    /// The number of the others' requests by the report.
    pub count: f64,
    /// The age of the report.
    pub age: Span,
    /// The number of requests that this gateway has sent since to all backend servers of the service.
    pub own_sends: f64,
    /// How long a request is held.
    pub hold_time: Span,
}

impl OthersCount {
    /// Estimates the number from a report. Each other gateway is taken to have sent as many requests as this one since
    /// then; `scale` is the number of other gateways for each backend server.
    ///
    /// Requests that have ended meanwhile are subtracted from new ones only: with a hold time that is too short, more
    /// would hide requests that the report shows.
    pub fn reported(report: &ReportedOthers, scale: f64) -> Self {
        let arrivals = scale * report.own_sends;
        let held = report.hold_time.as_secs_f64().max(0.001);
        let ends = report.count * (report.age.as_secs_f64() / held).min(1.0);
        Self {
            mean: report.count + (arrivals - ends).max(0.0),
            variance: arrivals * (1.0 + scale),
        }
    }

    /// Estimates the number without a report, from the number of this gateway's requests at all backend servers of the
    /// service.
    pub fn unreported(own_running: f64, scale: f64) -> Self {
        let mean = scale * own_running;
        Self {
            mean,
            variance: mean * (1.0 + scale),
        }
    }
}

/// The requests of other gateways at a backend server, as far as a gateway knows them.
#[derive(Debug, Clone, Copy)]
pub struct FillView<'a> {
    /// Their number.
    pub others: OthersCount,
    /// What requests of the service need.
    pub needs: &'a NeedModel,
    /// The memory of the backend server, in tokens.
    pub capacity: u64,
}

/// The guard of one backend server's memory, as known to this gateway.
#[derive(Debug, Default)]
pub struct MemoryGuard {
    /// The needs of this gateway's requests there, in tokens.
    own_tokens: u64,
    /// When the guard was switched on, and last found to be needed; `None` if it was never on.
    on: Option<GuardSpan>,
    /// Until when prompts of a size get no memory there, by the last answer of the memory's owner.
    full: Option<FullMark>,
}

/// The time for which a guard has been on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardSpan {
    /// When it was switched on.
    pub since: MonoTime,
    /// When it was last found to be needed.
    pub needed_at: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct FullMark {
    until: MonoTime,
    prompt_tokens: u32,
}

impl MemoryGuard {
    /// Counts a request of this gateway.
    pub fn hold(&mut self, tokens: u32) {
        self.own_tokens += u64::from(tokens);
    }

    /// Counts a request of this gateway no longer.
    pub fn release(&mut self, tokens: u32) {
        self.own_tokens = self.own_tokens.saturating_sub(u64::from(tokens));
    }

    /// Returns the needs of this gateway's requests there.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }

    /// Returns an upper estimate of the tokens that the backend server holds, or will hold for its requests.
    pub fn estimate(&self, view: &FillView<'_>) -> f64 {
        let (mean, spread) = (view.needs.mean(), view.needs.spread());
        let OthersCount {
            mean: count,
            variance,
        } = view.others;
        let sum_variance = count * spread * spread + variance * mean * mean;
        self.own_tokens as f64 + count * mean + SPREAD_FACTOR * sum_variance.sqrt()
    }

    /// Returns whether another request of this size makes the memory scarce.
    pub fn is_scarce_with(&self, tokens: u32, view: &FillView<'_>) -> bool {
        let fill = self.estimate(view) + f64::from(tokens);
        fill >= GUARD_SHARE * view.capacity as f64
    }

    /// Records that the guard was needed at a time, here or at another gateway; returns whether this switches it on.
    pub fn note_needed(&mut self, span: GuardSpan, now: MonoTime) -> bool {
        let known = self.span(now);
        if span.needed_at + GUARD_TIME <= now {
            return false;
        }
        self.on = Some(match known {
            Some(known) => GuardSpan {
                since: known.since.min(span.since),
                needed_at: known.needed_at.max(span.needed_at),
            },
            None => span,
        });
        known.is_none()
    }

    /// Returns since when the guard is on and when it was last needed, if it is on.
    pub fn span(&self, now: MonoTime) -> Option<GuardSpan> {
        self.on.filter(|span| now < span.needed_at + GUARD_TIME)
    }

    /// Returns whether requests need a lease.
    pub fn is_on(&self, now: MonoTime) -> bool {
        self.span(now).is_some()
    }

    /// Returns whether the owner may record again that the guard is needed, which gossip then tells the others.
    pub fn is_renewal_due(&self, now: MonoTime) -> bool {
        self.span(now)
            .is_some_and(|span| now.since(span.needed_at) >= RENEWAL_INTERVAL)
    }

    /// Records that a request with a prompt of this size got no memory.
    pub fn mark_full(&mut self, prompt_tokens: u32, until: MonoTime, now: MonoTime) {
        let known = self.full.filter(|full| now < full.until);
        // Where two sizes got none, the smaller one counts until the new time: a mark lasts only for milliseconds.
        let prompt_tokens =
            known.map_or(prompt_tokens, |full| full.prompt_tokens.min(prompt_tokens));
        self.full = Some(FullMark {
            until,
            prompt_tokens,
        });
    }

    /// Returns whether a request with a prompt of this size gets no memory now, by the last answer of the memory's
    /// owner.
    pub fn is_full_for(&self, prompt_tokens: u32, now: MonoTime) -> bool {
        let is_full = |full: FullMark| now < full.until && full.prompt_tokens <= prompt_tokens;
        self.is_on(now) && self.full.is_some_and(is_full)
    }
}
