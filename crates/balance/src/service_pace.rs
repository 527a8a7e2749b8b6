//! What is known of a service whose backend servers report their pace: the time between events now,
//! the size of answers, the time for which a prompt's stream holds a slot, and the slots that short
//! prompts need.
//!
//! A service becomes paced with the first valid figure of one of its backend servers, and stays so
//! for a while after the last one. At other services the choice and the admission are the same as
//! without this module (docs/design/uneven-engines.md).

use oleander_base::prelude::*;

use crate::answer_size::{AnswerClaim, AnswerSize, AnswerSizes};
use crate::fleet_table::FleetTable;
use crate::latency::LatencyModel;
use crate::pace::decay;
use crate::refusal_record::RefusalRecord;
use crate::reserve::is_short;
use crate::wait_error::WaitError;

/// The time after the last figure for which a service counts as paced. Every answer brings a figure, so
/// this time passes only when the service idles or its software was replaced.
const PACED_TTL: Span = Span::from_secs(30);

/// The time over which gaps between events are averaged: long enough for the mix of backend servers
/// and short enough to follow the start and end of an overload.
const GAP_MEMORY: Span = Span::from_secs(1);

/// The time over which the number of short prompts in progress is averaged. A gateway of a large
/// fleet has only one or two at a time, and a reservation that follows faster would move the homes of
/// long prompts, which would then be read again.
const SHORT_MEMORY: Span = Span::from_secs(15);

/// The reserved slots for each slot that short prompts take on average. Most have to stay free: each prompt
/// that is read delays the streams beside it, at a slow engine beyond their pause limit.
const RESERVED_PER_SHORT: f64 = 3.0;

/// The largest share of a service's backend servers that is reserved for short prompts. With more,
/// what the long prompts lose in an overload exceeds what the short ones gain.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// The change of the reserved share that is not followed, so that gateways with slightly different
/// samples agree most of the time.
const RESERVED_HYSTERESIS: f64 = 0.04;

/// The shortest time between two log lines about invalid figures of one service.
const INVALID_LOG_INTERVAL: Span = Span::from_secs(10);

/// A moving average whose samples lose weight with time, whatever their number.
#[derive(Debug, Clone, Copy, Default)]
struct TimedMean {
    sum: f64,
    weight: f64,
    at: MonoTime,
}

impl TimedMean {
    fn observe(&mut self, value: f64, memory: Span, now: MonoTime) {
        let kept = decay(now.since(self.at), memory);
        self.sum = self.sum * kept + value;
        self.weight = self.weight * kept + 1.0;
        self.at = now;
    }

    fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// What is known of the pace of one service.
#[derive(Debug, Default)]
pub struct ServicePace {
    reported_at: Option<MonoTime>,
    invalid_at: Option<MonoTime>,
    /// The times between events of streams with long prompts, and with short ones.
    gaps: [TimedMean; 2],
    short_running: TimedMean,
    reserved: usize,
    /// The sizes of its answers.
    pub sizes: AnswerSizes,
    /// What was admitted and refused lately.
    pub refusals: RefusalRecord,
    /// By how much waits for first events differ from what was expected.
    pub wait_error: WaitError,
}

/// What the choice of a backend server takes into account at a paced service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceTerms {
    /// The remaining time of the request.
    pub time_left: Span,
    /// The expected size of the answer, if it is a stream and enough is known.
    pub answer: Option<AnswerSize>,
    /// The mean time between two events of the service's streams with prompts like this one now, in
    /// milliseconds.
    pub gap_ms: Option<f64>,
    /// The logarithm of the factor by which waits for first events are longer than expected.
    pub wait_ln: f64,
    /// The number of backend servers that are reserved for short prompts.
    pub reserved: usize,
}

impl ServicePace {
    /// Records that a backend server of the service has reported its pace; returns whether the
    /// service was not paced before.
    pub fn on_report(&mut self, now: MonoTime) -> bool {
        let is_new = !self.is_paced(now);
        self.reported_at = Some(now);
        is_new
    }

    /// Records an invalid figure; returns whether it should be logged.
    pub fn on_invalid(&mut self, now: MonoTime) -> bool {
        let is_due = |at: MonoTime| now.since(at) >= INVALID_LOG_INTERVAL;
        let is_logged = self.invalid_at.is_none_or(is_due);
        if is_logged {
            self.invalid_at = Some(now);
        }
        is_logged
    }

    /// Returns whether backend servers of the service report their pace.
    pub fn is_paced(&self, now: MonoTime) -> bool {
        self.reported_at
            .is_some_and(|reported| now.since(reported) < PACED_TTL)
    }

    /// Records the time between two events of a stream whose prompt has this size.
    pub fn observe_gap(&mut self, gap: Span, prompt_tokens: u32, now: MonoTime) {
        let mean = &mut self.gaps[usize::from(is_short(prompt_tokens))];
        mean.observe(gap.as_millis_f64(), GAP_MEMORY, now);
    }

    /// Returns the mean time between two events now, in milliseconds, or that of the last streams
    /// while there is no recent event.
    ///
    /// Long prompts are read beside each other and short ones elsewhere, so their streams differ.
    pub fn gap_ms(&self, prompt_tokens: u32, latency: &LatencyModel, now: MonoTime) -> Option<f64> {
        let mean = &self.gaps[usize::from(is_short(prompt_tokens))];
        let recent = mean.get().filter(|_| now.since(mean.at) < GAP_MEMORY);
        recent.or(latency.mean_gap_ms())
    }

    /// Records how many short prompts of this gateway are in progress, and decides how many backend
    /// servers are reserved for the short prompts of all gateways.
    ///
    /// Slots are held longer where work takes longer, so the number follows the pace as well.
    pub fn reserve(&mut self, demand: ShortDemand, now: MonoTime) -> usize {
        self.short_running
            .observe(f64::from(demand.running), SHORT_MEMORY, now);
        if demand.base == 0 || demand.backends == 0 {
            self.reserved = demand.base;
            return self.reserved;
        }
        let mean_running = self.short_running.get().unwrap_or_default();
        let needed = mean_running * demand.gateways as f64 * RESERVED_PER_SHORT;
        let slots_each = f64::from(demand.slots.max(1)) / demand.backends as f64;
        let wanted = (needed / slots_each).ceil();
        let largest = demand.backends as f64 * MAX_RESERVED_SHARE;
        let wanted = wanted.min(largest).max(demand.base as f64);
        let tolerance = (demand.backends as f64 * RESERVED_HYSTERESIS).max(1.0);
        if (wanted - self.reserved as f64).abs() >= tolerance || self.reserved > largest as usize {
            self.reserved = wanted as usize;
        }
        self.reserved = self.reserved.max(demand.base);
        self.reserved
    }

    /// Returns what the choice for a request takes into account.
    pub fn terms(
        &self,
        request: &PacedRequest,
        latency: &LatencyModel,
        now: MonoTime,
    ) -> PaceTerms {
        let answer = request
            .claim
            .and_then(|claim| self.sizes.expect(&claim, request.received));
        PaceTerms {
            time_left: request.time_left,
            answer,
            gap_ms: self.gap_ms(request.prompt_tokens, latency, now),
            wait_ln: self.wait_error.ln_factor(0.0, now),
            reserved: self.reserved,
        }
    }
}

/// The inputs of a reservation for short prompts.
#[derive(Debug, Clone, Copy)]
pub struct ShortDemand {
    /// The number of this gateway's short prompts in progress.
    pub running: u32,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of the service's backend servers that may be reserved. Those that are known to be down
    /// count too, as gateways may differ about which ones are.
    pub backends: usize,
    /// The slots of those that are not known to be down.
    pub slots: u32,
    /// The number that is reserved whatever the demand; 0 while prompts are not mixed.
    pub base: usize,
}

impl ShortDemand {
    /// Returns the demand of this gateway's requests in a service.
    pub fn measure(
        fleet: &FleetTable,
        service: &str,
        gateways: usize,
        base: usize,
        now: MonoTime,
    ) -> Self {
        let mut demand = Self {
            running: 0,
            gateways,
            backends: 0,
            slots: 0,
            base,
        };
        let keys = fleet.service_keys(service).iter();
        for member in keys.filter_map(|key| fleet.get(*key)) {
            demand.running += member.state.own_short;
            if member.is_serving() {
                let is_down = member.state.down_since(now).is_some();
                demand.backends += 1;
                demand.slots += if is_down { 0 } else { member.entry.slots };
            }
        }
        demand
    }
}

/// The properties of a request that count at a paced service.
#[derive(Debug, Clone, Copy)]
pub struct PacedRequest {
    /// What the caller says about the answer; `None` if it is not a stream.
    pub claim: Option<AnswerClaim>,
    /// The size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The number of events that the caller has already.
    pub received: usize,
    /// The remaining time.
    pub time_left: Span,
}
