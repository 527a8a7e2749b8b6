//! What this gateway knows of one backend server's load.
//!
//! The gateway's own requests are known exactly. The rest is what answers reported, corrected by
//! what was sent and finished since, and forgotten when it is old.

use std::collections::VecDeque;

use oleander_base::prelude::*;
use oleander_decide::{BackendHealth, FailureEffect};

use crate::cached_parts::CachedParts;
use crate::latency::LatencyModel;

/// How long a report counts.
pub(crate) const REPORT_TTL: Span = Span::from_millis(2_500);

/// The most sends whose times are remembered, to correct a report that is a little old.
const SEND_HISTORY_LIMIT: usize = 64;

/// The first pause of an ejected backend server.
const MIN_EJECTION: Span = Span::from_millis(400);

/// The longest pause of an ejected backend server.
const MAX_EJECTION: Span = Span::from_millis(3_000);

/// How long news that a backend server is down counts without news that it is up.
const DOWN_TTL: Span = Span::from_millis(1_200);

/// The load that a backend server reports with an answer.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

#[derive(Debug, Clone, Copy)]
struct DatedReport {
    report: LoadReport,
    own_at_report: u32,
    at: MonoTime,
}

/// What one send adds to a backend server until it ends.
#[derive(Debug, Clone, Copy)]
pub struct InFlightSend {
    /// Prompt tokens that the backend server has to read first.
    pub prefill_tokens: f64,
    is_prefill_pending: bool,
    is_short: bool,
}

/// The load and health of one backend server.
#[derive(Debug)]
pub struct BackendState {
    /// Requests of this gateway that are there.
    pub own_running: u32,
    /// Prompt tokens of this gateway's requests that are still to be read there.
    pub own_prefill: f64,
    /// Those of them with short prompts.
    pub own_short: u32,
    /// What its streams showed.
    pub latency: LatencyModel,
    /// The prompt parts that it has read.
    pub parts: CachedParts,
    health: BackendHealth,
    report: Option<DatedReport>,
    /// When it was last found to be down, here or by another gateway.
    down_at: Option<MonoTime>,
    last_sends: VecDeque<MonoTime>,
}

impl BackendState {
    /// Opens the state of a backend server that was never used.
    pub fn open() -> Self {
        Self {
            own_running: 0,
            own_prefill: 0.0,
            own_short: 0,
            latency: LatencyModel::default(),
            parts: CachedParts::default(),
            health: BackendHealth::open(MIN_EJECTION, MAX_EJECTION),
            report: None,
            down_at: None,
            last_sends: VecDeque::new(),
        }
    }

    /// Notes a send that has `prefill_tokens` prompt tokens to read.
    pub fn sent(&mut self, prefill_tokens: f64, is_short: bool, now: MonoTime) -> InFlightSend {
        if self.last_sends.len() == SEND_HISTORY_LIMIT {
            self.last_sends.pop_front();
        }
        self.last_sends.push_back(now);
        self.own_running += 1;
        self.own_short += u32::from(is_short);
        self.own_prefill += prefill_tokens;
        InFlightSend {
            prefill_tokens,
            is_prefill_pending: true,
            is_short,
        }
    }

    /// Notes that the prompt of a send has been read.
    pub fn prompt_read(&mut self, send: &mut InFlightSend) {
        if std::mem::take(&mut send.is_prefill_pending) {
            self.own_prefill = (self.own_prefill - send.prefill_tokens).max(0.0);
        }
    }

    /// Notes that a send has ended, however it ended.
    pub fn ended(&mut self, mut send: InFlightSend) {
        self.prompt_read(&mut send);
        self.own_running = self.own_running.saturating_sub(1);
        self.own_short = self.own_short.saturating_sub(u32::from(send.is_short));
    }

    /// Learns the load that an answer reported, here or to another gateway.
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

    /// Returns the newest report with its time, if it is not older than `span`.
    pub fn fresh_report(&self, span: Span, now: MonoTime) -> Option<(LoadReport, MonoTime)> {
        let dated = self.report.filter(|dated| now.since(dated.at) < span)?;
        Some((dated.report, dated.at))
    }

    /// Returns whether a report is fresh enough to count.
    pub fn has_report(&self, now: MonoTime) -> bool {
        self.fresh_report(REPORT_TTL, now).is_some()
    }

    /// Returns whether the last report, if it is not older than `span`, has requests that wait.
    pub fn has_queue(&self, span: Span, now: MonoTime) -> bool {
        self.fresh_report(span, now)
            .is_some_and(|(report, _)| report.waiting > 0)
    }

    /// Returns how many requests run or wait there, where `others` is what the other gateways are
    /// taken to have there while no report is fresh.
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

    /// Returns whether another request may go there now.
    pub fn is_open(&self, now: MonoTime) -> bool {
        self.own_running < self.health.cap(now) && self.down_since(now).is_none()
    }

    /// Learns that it was found to be down, here or by another gateway.
    pub fn mark_down(&mut self, at: MonoTime) {
        self.down_at = self.down_at.max(Some(at));
    }

    /// Returns when it was found to be down, unless that is long ago or it has answered anybody since.
    ///
    /// A gateway that is cut off finds others down that are up; their answers to other gateways say so.
    pub fn down_since(&self, now: MonoTime) -> Option<MonoTime> {
        let has_answered = |at| self.report.is_some_and(|known| known.at > at);
        self.down_at
            .filter(|at| now.since(*at) < DOWN_TTL && !has_answered(*at))
    }

    /// Learns of an answer that the backend server meant to give.
    pub fn succeeded(&mut self, slots: u32, now: MonoTime) {
        self.health.succeeded(slots, now);
    }

    /// Stops sends for a while; afterwards one request at a time finds out.
    pub fn eject(&mut self, now: MonoTime) {
        self.health.eject(now);
    }

    /// Learns of a failure; returns whether the backend server was ejected for it.
    pub fn failed(&mut self, now: MonoTime) -> bool {
        if self.health.failed(now) == FailureEffect::Eject {
            self.health.eject(now);
            return true;
        }
        false
    }
}
