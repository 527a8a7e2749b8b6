//! The state of one backend server as the pool's policy knows it.

use std::collections::BTreeSet;
use std::fmt::Write as _;

use oleander_base::LoadReport;
use oleander_base::prelude::*;

use crate::config::PoolConfig;
use crate::health::BackendHealth;
use crate::other_load::OtherLoad;
use crate::slot_limit::SlotLimit;
use crate::speed::SpeedEstimate;
use crate::summary::BackendSummary;
use crate::views::BackendView;

/// The number of overdue releases from which a backend server counts as stalled. If answers end
/// independently, the probability of a false alarm is e to the power of minus this number.
const STALL_OVERDUE_RELEASES: f64 = 10.0;

/// The fraction of the grants in use that must be older than the mean duration of an answer. Grants
/// made together also end together, so a silence until then is no sign of a stall.
const STALL_OLD_GRANT_SHARE: f64 = 0.5;

/// The shortest time without progress that counts as a stall.
const STALL_FLOOR: Span = Span::from_millis(750);

/// The multiple of the typical time to the first token after which a request counts as late.
const FIRST_TOKEN_TOLERANCE: u64 = 2;

/// The additional margin for the varying length of prompts.
const FIRST_TOKEN_MARGIN: Span = Span::from_millis(100);

/// The number of late first tokens from which the load of other senders is inferred.
const LATE_FLOOR: u32 = 2;

/// How long after a progress notice further ones are expected.
const PROGRESS_WINDOW: Span = Span::from_secs(30);

/// The smallest effective speed.
const SPEED_FLOOR: f64 = 0.01;

/// The interval between probes of a stalled backend server.
const STALL_PROBE_PERIOD: Span = Span::from_secs(1);

/// The state of one backend server.
#[derive(Debug)]
pub(crate) struct BackendState {
    pub(crate) view: BackendView,
    pub(crate) listed: bool,
    running: BTreeSet<(MonoTime, RequestId)>,
    unstarted: BTreeSet<(MonoTime, RequestId)>,
    last_progress_notice: Option<MonoTime>,
    pub(crate) limit: SlotLimit,
    pub(crate) health: BackendHealth,
    pub(crate) speed: SpeedEstimate,
    pub(crate) load: OtherLoad,
    batch_limit: Option<u32>,
    reports_leaving: bool,
    models: Vec<(ModelId, Vec<AdapterId>)>,
    last_progress: MonoTime,
    last_grant: MonoTime,
}

impl BackendState {
    /// Creates the state of a backend server of which only the record is known.
    pub(crate) fn open(view: BackendView, config: &PoolConfig, now: MonoTime) -> Self {
        Self {
            limit: SlotLimit::open(view.slots),
            health: BackendHealth::open(config.ejection_pause, config.ejection_pause_limit),
            speed: SpeedEstimate::default(),
            load: OtherLoad::default(),
            listed: true,
            running: BTreeSet::new(),
            unstarted: BTreeSet::new(),
            last_progress_notice: None,
            batch_limit: None,
            reports_leaving: false,
            models: Vec::new(),
            last_progress: now,
            last_grant: now,
            view,
        }
    }

    /// Creates the state of a backend server that has grants but no record.
    pub(crate) fn open_unlisted(backend: BackendId, config: &PoolConfig, now: MonoTime) -> Self {
        let view = BackendView {
            backend,
            slots: 0,
            speed: 1.0,
            leaving: true,
            reachable: false,
        };
        let mut state = Self::open(view, config, now);
        state.listed = false;
        state
    }

    /// Applies a new view of the record.
    pub(crate) fn set_view(&mut self, view: &BackendView) {
        self.limit.set_slots(view.slots);
        self.view = view.clone();
        self.listed = true;
    }

    /// Applies a load report.
    pub(crate) fn report(&mut self, report: &LoadReport, now: MonoTime) {
        let total = report.running.saturating_add(report.waiting);
        self.load.report(total, report.age, self.outstanding(), now);
        self.batch_limit = (report.batch_limit > 0).then_some(report.batch_limit);
        self.reports_leaving = report.leaving;
        self.models = report
            .models
            .iter()
            .map(|loaded| (loaded.model, loaded.adapters.clone()))
            .collect();
    }

    /// Returns the statistics for screens.
    pub(crate) fn summary(&self, now: MonoTime) -> BackendSummary {
        BackendSummary {
            backend: self.view.backend,
            running: self.outstanding(),
            limit: self.ceiling(now),
            speed: self.speed_factor(),
            leaving: self.view.leaving || self.reports_leaving,
            ejected: self.health.is_ejected(now),
        }
    }

    /// Returns whether the backend server may take new work, ejection aside.
    pub(crate) fn is_usable(&self) -> bool {
        self.listed
            && self.view.reachable
            && !self.view.leaving
            && !self.reports_leaving
            && self.view.slots > 0
    }

    /// Returns whether the backend server has the model in memory, or has reported no models.
    pub(crate) fn has_model(&self, model: ModelId) -> bool {
        self.models.is_empty() || self.models.iter().any(|(loaded, _)| *loaded == model)
    }

    /// Returns whether the backend server has the adapter in memory, or none if it has reported no
    /// models.
    pub(crate) fn has_adapter(&self, adapter: AdapterId) -> Option<bool> {
        if self.models.is_empty() {
            return None;
        }
        let mut adapters = self.models.iter().flat_map(|(_, adapters)| adapters);
        Some(adapters.any(|loaded| *loaded == adapter))
    }

    /// Returns the most requests, of all senders, that the backend server may have now.
    pub(crate) fn ceiling(&self, now: MonoTime) -> u32 {
        if !self.is_usable() {
            return 0;
        }
        let limit = self.limit.get().min(self.health.cap(now));
        self.batch_limit
            .map_or(limit, |batch| limit.min(batch.max(1)))
    }

    /// Returns the number of requests, of all senders, at the backend server.
    pub(crate) fn in_use(&self, now: MonoTime) -> u32 {
        self.outstanding().saturating_add(self.load.others(now))
    }

    /// Returns the number of requests that may be granted to the backend server now.
    pub(crate) fn free_slots(&self, now: MonoTime) -> u32 {
        let free = self.ceiling(now).saturating_sub(self.in_use(now));
        if free > 0 && self.is_stalled(now) {
            return u32::from(now.since(self.last_grant) >= STALL_PROBE_PERIOD);
        }
        free
    }

    /// Returns the speed of the record, raised to a positive minimum.
    pub(crate) fn speed_factor(&self) -> f64 {
        self.view.speed.max(SPEED_FLOOR)
    }

    /// Returns the fraction of the limit that is in use. It can exceed 1 after the limit was
    /// lowered, or if other senders exceed it.
    pub(crate) fn occupancy(&self, now: MonoTime) -> f64 {
        f64::from(self.in_use(now)) / f64::from(self.limit.get().max(1))
    }

    /// Returns the expected number of releases since the last progress; near 0 or 1 for a backend
    /// server that works normally.
    pub(crate) fn overdue(&self, now: MonoTime) -> f64 {
        let Some(hold) = self.speed.hold_time() else {
            return 0.0;
        };
        let silence = now.since(self.last_progress).as_secs_f64();
        silence * f64::from(self.outstanding()) / hold.max(1e-3)
    }

    /// Returns whether the backend server has made no progress for too long.
    pub(crate) fn is_stalled(&self, now: MonoTime) -> bool {
        now.since(self.last_progress) > STALL_FLOOR
            && self.overdue(now) > STALL_OVERDUE_RELEASES
            && self.old_grant_share(now) >= STALL_OLD_GRANT_SHARE
    }

    /// Returns the number of grants in use.
    pub(crate) fn outstanding(&self) -> u32 {
        self.running.len() as u32
    }

    /// Records a grant that was made at `at`.
    pub(crate) fn on_grant(&mut self, request: RequestId, at: MonoTime, now: MonoTime) {
        if self.running.is_empty() {
            self.last_progress = now;
        }
        self.running.insert((at, request));
        self.unstarted.insert((at, request));
        self.last_grant = now;
        self.load.on_grant(now);
    }

    /// Records the end of a grant that was made at `at`.
    pub(crate) fn on_end(&mut self, request: RequestId, at: MonoTime, now: MonoTime) {
        self.unstarted.remove(&(at, request));
        if self.running.remove(&(at, request)) {
            self.load.on_release(now);
        }
    }

    /// Records that a request granted at `at` got its first token.
    pub(crate) fn on_first_token(&mut self, request: RequestId, at: MonoTime, now: MonoTime) {
        self.unstarted.remove(&(at, request));
        self.last_progress_notice = Some(now);
        self.on_progress(now);
    }

    /// Infers the load of other senders from own requests that wait too long for their first token.
    ///
    /// This needs the entry VMs' progress notices; without them every request looks unstarted.
    pub(crate) fn infer_load(&mut self, typical_first_token: Span, now: MonoTime) {
        let has_progress_notices = self
            .last_progress_notice
            .is_some_and(|seen| now.since(seen) < PROGRESS_WINDOW);
        let first = self.speed.first_token().unwrap_or(0.0);
        let first = Span((first * 1e6) as u64).max(typical_first_token);
        let bound = Span(first.0 * FIRST_TOKEN_TOLERANCE) + FIRST_TOKEN_MARGIN;
        let late = self.unstarted.iter();
        let late = late.take_while(|(at, _)| now.since(*at) > bound).count() as u32;
        if has_progress_notices && late >= LATE_FLOOR {
            let taken = self.ceiling(now).saturating_sub(self.outstanding() - late);
            self.load.infer(taken, now);
        }
    }

    /// Returns the fraction of the grants in use that are older than the mean duration of an
    /// answer.
    fn old_grant_share(&self, now: MonoTime) -> f64 {
        let hold = Span((self.speed.hold_time().unwrap_or(0.0) * 1e6) as u64);
        let old = self
            .running
            .iter()
            .take_while(|(at, _)| now.since(*at) > hold);
        old.count() as f64 / self.running.len().max(1) as f64
    }

    /// Records that the backend server made progress.
    pub(crate) fn on_progress(&mut self, now: MonoTime) {
        self.last_progress = self.last_progress.max(now);
    }

    /// Writes one line of the dump.
    pub(crate) fn dump(&self, stale: Span, now: MonoTime, text: &mut String) {
        let _ = write!(
            text,
            "  {} {}/{} others {} slots {} {}",
            self.view.backend,
            self.outstanding(),
            self.ceiling(now),
            self.load.others(now),
            self.view.slots,
            self.health,
        );
        let marks = [
            (!self.listed, " unlisted"),
            (self.view.leaving || self.reports_leaving, " leaving"),
            (!self.view.reachable, " unreachable"),
            (self.is_stalled(now), " stalled"),
            (self.load.is_unknown(stale, now), " load unknown"),
        ];
        for (_, mark) in marks.iter().filter(|(set, _)| *set) {
            text.push_str(mark);
        }
        if let Some(unit) = self.speed.unit_time() {
            let _ = write!(text, " unit {:.3}ms", unit * 1e3);
        }
        if let Some(hold) = self.speed.hold_time() {
            let _ = write!(text, " hold {hold:.3}s");
        }
        text.push('\n');
    }
}
