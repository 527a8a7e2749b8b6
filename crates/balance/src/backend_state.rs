//! The load and health of one backend server, as known to this gateway.
//!
//! The gateway's own requests are known exactly. The load of others comes from the reports in
//! answers, corrected by this gateway's sends and ends since, and expires.

use std::collections::VecDeque;

use oleander_base::prelude::*;
use oleander_decide::{BackendHealth, FailureEffect};

use crate::cached_parts::CachedParts;
use crate::latency::LatencyModel;
use crate::memory_guard::MemoryGuard;
use crate::pace::BackendPace;
use crate::process_identity::ProcessIdentity;
use crate::rate_limit::RateLimit;
use crate::rejection_limit::{RejectionLimit, RoomBelief};
use crate::wait_error::{PendingSends, WaitError};

/// The time for which a load report is valid.
pub const REPORT_TTL: Span = Span::from_millis(2_500);

/// The number of recent sends whose times are kept, to correct a load report by the sends since.
const SEND_HISTORY_LIMIT: usize = 64;

/// The duration of a backend server's first ejection.
const MIN_EJECTION: Span = Span::from_millis(400);

/// The longest duration of an ejection.
const MAX_EJECTION: Span = Span::from_millis(3_000);

/// The time for which a backend server that was found to be down counts as down, unless it answers.
const DOWN_TTL: Span = Span::from_millis(1_200);

/// The shortest time between two probes of a backend server after its backoff, until one of them
/// succeeds.
const TRICKLE_INTERVAL: Span = Span::from_millis(150);

/// The load that a backend server reports with its answers.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

#[derive(Debug, Clone, Copy)]
struct DatedReport {
    report: LoadReport,
    own_at_report: u32,
    at: MonoTime,
}

/// The load that one send adds to a backend server until it ends.
#[derive(Debug, Clone, Copy)]
pub struct InFlightSend {
    /// Prompt tokens that the backend server has to read for it.
    pub prefill_tokens: f64,
    is_prefill_pending: bool,
    is_short: bool,
    sent_at: MonoTime,
}

/// The load and health of one backend server.
#[derive(Debug)]
pub struct BackendState {
    /// The number of this gateway's requests there.
    pub own_running: u32,
    /// Prompt tokens of this gateway's requests that are still to be read there.
    pub own_prefill: f64,
    /// The number of this gateway's requests there with short prompts.
    pub own_short: u32,
    /// The latency of its streams.
    pub latency: LatencyModel,
    /// By how much work there takes longer than usual now.
    pub pace: BackendPace,
    /// By how much waits for first events there differ from what was expected.
    pub wait_error: WaitError,
    /// The prompt parts that it probably has cached.
    pub parts: CachedParts,
    /// The request rate that it has named.
    pub rate_limit: RateLimit,
    /// The rejections that it has said it survives.
    pub rejection_limit: RejectionLimit,
    /// The state that decides whether requests need leases on its memory.
    pub memory: MemoryGuard,
    /// The identity of the process that its registry entry describes.
    pub process: ProcessIdentity,
    /// The number of its slots, by its registry entry.
    pub slots: u32,
    /// The number of its slots by its own answers.
    reported_slots: Option<u32>,
    /// The number of this gateway's requests there whose answers have not begun.
    own_pending: u32,
    /// The send times of those of them that have long prompts.
    pending: PendingSends,
    health: BackendHealth,
    report: Option<DatedReport>,
    /// When it was last found to be down, here or by another gateway.
    down_at: Option<MonoTime>,
    /// Whether it has said that it leaves, which this incarnation never takes back.
    is_leaving: bool,
    /// The end of the backoff that it asked for; kept until it has served a request after that.
    backoff_until: Option<MonoTime>,
    last_sends: VecDeque<MonoTime>,
}

impl BackendState {
    /// Returns the state of a backend server that was never used.
    pub fn open(slots: u32) -> Self {
        Self {
            own_running: 0,
            own_prefill: 0.0,
            own_short: 0,
            latency: LatencyModel::default(),
            pace: BackendPace::default(),
            wait_error: WaitError::default(),
            pending: PendingSends::default(),
            parts: CachedParts::default(),
            rate_limit: RateLimit::default(),
            rejection_limit: RejectionLimit::default(),
            memory: MemoryGuard::default(),
            process: ProcessIdentity::default(),
            slots,
            reported_slots: None,
            own_pending: 0,
            health: BackendHealth::open(MIN_EJECTION, MAX_EJECTION),
            report: None,
            down_at: None,
            is_leaving: false,
            backoff_until: None,
            last_sends: VecDeque::new(),
        }
    }

    /// Records a send for which the backend server has to read `prefill_tokens` prompt tokens.
    pub fn sent(&mut self, prefill_tokens: f64, is_short: bool, now: MonoTime) -> InFlightSend {
        if self.last_sends.len() == SEND_HISTORY_LIMIT {
            self.last_sends.pop_front();
        }
        self.last_sends.push_back(now);
        self.rate_limit.take(now);
        self.own_running += 1;
        self.own_pending += 1;
        self.own_short += u32::from(is_short);
        self.own_prefill += prefill_tokens;
        if !is_short {
            self.pending.add(now);
        }
        InFlightSend {
            prefill_tokens,
            is_prefill_pending: true,
            is_short,
            sent_at: now,
        }
    }

    /// Records that the prompt of a send has been read.
    pub fn prompt_read(&mut self, send: &mut InFlightSend) {
        if std::mem::take(&mut send.is_prefill_pending) {
            self.own_pending = self.own_pending.saturating_sub(1);
            if !send.is_short {
                self.pending.remove(send.sent_at);
            }
            self.own_prefill = (self.own_prefill - send.prefill_tokens).max(0.0);
        }
    }

    /// Records that a send has ended, with any outcome.
    pub fn ended(&mut self, mut send: InFlightSend) {
        self.prompt_read(&mut send);
        self.own_running = self.own_running.saturating_sub(1);
        self.own_short = self.own_short.saturating_sub(u32::from(send.is_short));
    }

    /// Returns for how long this gateway's oldest request with a long prompt there has waited for its
    /// first event.
    pub fn longest_pending(&self, now: MonoTime) -> Span {
        self.pending.longest(now)
    }

    /// Records the load that an answer reported to this gateway or to another one, unless a report
    /// at least as recent is known.
    pub fn reported(&mut self, report: LoadReport, at: MonoTime) {
        if self.report.is_some_and(|known| known.at >= at) {
            return;
        }
        let sends = self.last_sends.iter().rev();
        let sent_since = sends.take_while(|sent| **sent > at).count();
        let sent_since = u32::try_from(sent_since).unwrap_or(u32::MAX);
        self.report = Some(DatedReport {
            report,
            own_at_report: self.own_running.saturating_sub(sent_since),
            at,
        });
    }

    /// Takes over the number of slots that its answers tell, here or at another gateway.
    pub fn set_reported_slots(&mut self, slots: u32) {
        self.reported_slots = Some(slots);
    }

    /// Returns how many requests it runs at once; of two numbers the smaller one.
    pub fn usable_slots(&self) -> u32 {
        self.reported_slots
            .map_or(self.slots, |reported| reported.min(self.slots))
    }

    /// Returns the newest report with its time, if it is not older than `span`.
    pub fn fresh_report(&self, span: Span, now: MonoTime) -> Option<(LoadReport, MonoTime)> {
        let dated = self.report.filter(|dated| now.since(dated.at) < span)?;
        Some((dated.report, dated.at))
    }

    /// Returns whether a load report is valid.
    pub fn has_report(&self, now: MonoTime) -> bool {
        self.fresh_report(REPORT_TTL, now).is_some()
    }

    /// Returns whether the last report is not older than `span` and shows queued requests.
    pub fn has_queue(&self, span: Span, now: MonoTime) -> bool {
        self.fresh_report(span, now)
            .is_some_and(|(report, _)| report.waiting > 0)
    }

    /// Returns how many requests run or wait there; `others` is the assumed number of other
    /// gateways' requests there while no report is valid.
    pub fn running(&self, others: f64, now: MonoTime) -> f64 {
        let own = f64::from(self.own_running);
        match self.report {
            Some(dated) if now.since(dated.at) < REPORT_TTL => {
                let reported = f64::from(dated.report.running + dated.report.waiting);
                (reported + own - f64::from(dated.own_at_report)).max(own)
            }
            _ => own + others,
        }
    }

    /// Returns whether another request may be sent there now.
    pub fn is_open(&self, now: MonoTime) -> bool {
        self.own_running < self.health.cap(now)
            && self.down_since(now).is_none()
            && !self.trickles(now)
    }

    /// Returns whether no further request may be chosen for it, even if no other backend server is
    /// left.
    pub fn is_closed(&self, now: MonoTime) -> bool {
        self.refuses_sends(now) || !self.rate_limit.admits(now)
    }

    /// Returns whether no slot is free there, by the owner of its slots.
    pub fn is_full(&self, now: MonoTime) -> bool {
        self.rejection_limit.full_until(now).is_some()
    }

    /// Returns what is believed of its room for another request.
    pub fn room_belief(&self, now: MonoTime) -> RoomBelief {
        let limit = &self.rejection_limit;
        RoomBelief {
            threshold: limit.threshold(),
            pending: self.own_pending,
            report_age: self.report.map(|dated| now.since(dated.at)),
            since_rejection: limit.rejected_at().map(|at| now.since(at)),
        }
    }

    /// Returns whether nothing may be sent there, not even a request that was already chosen for it.
    pub fn refuses_sends(&self, now: MonoTime) -> bool {
        self.is_leaving || self.backoff_until.is_some_and(|until| now < until)
    }

    /// Records that it says that it leaves; returns whether that is new.
    pub fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Returns whether it has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that it asked this gateway to back off for a while. A longer request stands.
    pub fn back_off(&mut self, span: Span, now: MonoTime) {
        self.backoff_until = self.backoff_until.max(Some(now + span));
    }

    /// Returns when it takes requests again, if it backs off, is at the limit that it named or is full.
    pub fn opens_at(&self, now: MonoTime) -> Option<MonoTime> {
        if self.is_leaving {
            return None;
        }
        let backoff = self.backoff_until.filter(|until| now < *until);
        let full = self.rejection_limit.full_until(now);
        backoff.max(self.rate_limit.opens_at(now)).max(full)
    }

    /// Returns whether it is probed after a backoff, and the last probe was just sent.
    fn trickles(&self, now: MonoTime) -> bool {
        let last = self.last_sends.back();
        self.backoff_until.is_some() && last.is_some_and(|last| now.since(*last) < TRICKLE_INTERVAL)
    }

    /// Records that this gateway or another one found it to be down.
    pub fn mark_down(&mut self, at: MonoTime) {
        self.down_at = self.down_at.max(Some(at));
    }

    /// Returns when it was found to be down, unless that is `DOWN_TTL` or more ago or a gateway has
    /// had an answer from it since.
    ///
    /// A partitioned gateway takes backend servers to be down that are up, which their answers to
    /// other gateways disprove.
    pub fn down_since(&self, now: MonoTime) -> Option<MonoTime> {
        let has_answered = |at| self.report.is_some_and(|known| known.at > at);
        self.down_at
            .filter(|at| now.since(*at) < DOWN_TTL && !has_answered(*at))
    }

    /// Records an answer that the backend server gave deliberately, which counts as a success.
    pub fn succeeded(&mut self, slots: u32, now: MonoTime) {
        self.backoff_until = self.backoff_until.filter(|until| now < *until);
        self.health.succeeded(slots, now);
    }

    /// Forgets failures, of which the backend server was not the cause.
    pub fn reopen(&mut self) {
        self.health = BackendHealth::open(MIN_EJECTION, MAX_EJECTION);
        self.down_at = None;
        self.process.forget_signs();
    }

    /// Stops sends for a while; afterwards one request at a time probes the backend server, until a
    /// success raises the limit.
    pub fn eject(&mut self, now: MonoTime) {
        self.health.eject(now);
    }

    /// Records a failure; returns whether it ejected the backend server.
    pub fn failed(&mut self, now: MonoTime) -> bool {
        if self.health.failed(now) == FailureEffect::Eject {
            self.health.eject(now);
            return true;
        }
        false
    }
}
