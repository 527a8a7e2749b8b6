//! The backend servers of a pool, and the choice of one for each grant.
//!
//! A grant goes to the backend server with a free slot where the answer is expected to end first.
//! The estimate is the expected time to the first token plus the expected length times the time per
//! token under the current load, both from past answers. Overdue releases raise the estimate at
//! once, so that a backend server that slows down gets less work before any report shows it. A
//! probable prefix hit lowers the estimate, but only if the load there is not far above the pool's
//! mean, so that hints cannot concentrate all work on one backend server.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use oleander_base::prelude::*;

use crate::backend_state::BackendState;
use crate::config::PoolConfig;
use crate::prefix_index::PrefixIndex;
use crate::speed::ReferenceSpeed;
use crate::verify::VerifyError;
use crate::views::BackendView;

/// The fraction of the time to the first token that a prefix hit saves.
const PREFIX_SAVING: f64 = 0.7;

/// How far a backend server's occupancy may exceed the pool's mean for a prefix hint to count.
const PREFIX_LOAD_MARGIN: f64 = 0.2;

/// The number of overdue releases that is within normal variation.
const OVERDUE_TOLERANCE: f64 = 3.0;

/// The fraction by which each further overdue release raises the expected time.
const OVERDUE_PENALTY: f64 = 0.25;

/// The factor on the expected time if the load of other senders is unknown.
const UNKNOWN_PENALTY: f64 = 1.15;

/// The times, in seconds, that are assumed before any answer has been observed.
const DEFAULT_REFERENCE: ReferenceSpeed = ReferenceSpeed {
    unit_time: 0.02,
    first_token: 0.2,
};

/// The backend servers of one pool.
#[derive(Debug)]
pub(crate) struct BackendSet {
    states: BTreeMap<BackendId, BackendState>,
    prefixes: PrefixIndex,
    report_stale: Span,
    reference: ReferenceSpeed,
    capacity: Option<f64>,
    mean_occupancy: f64,
}

impl BackendSet {
    /// Creates an empty set; the load counts as unknown if its report is older than `report_stale`.
    pub(crate) fn open(report_stale: Span) -> Self {
        Self {
            states: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            report_stale,
            reference: DEFAULT_REFERENCE,
            capacity: None,
            mean_occupancy: 0.0,
        }
    }

    /// Replaces the records; a backend server without a record is kept until its last grant ends.
    pub(crate) fn set_views(&mut self, views: &[BackendView], config: &PoolConfig, now: MonoTime) {
        for state in self.states.values_mut() {
            state.listed = false;
        }
        for view in views {
            self.states
                .entry(view.backend)
                .or_insert_with(|| BackendState::open(view.clone(), config, now))
                .set_view(view);
        }
        self.drop_unlisted();
        self.probe_if_all_ejected(now);
    }

    /// Limits ejected backend servers to probes, instead of no work, if no other one can take work.
    ///
    /// This can happen after an ejection, when the remaining ones have left.
    pub(crate) fn probe_if_all_ejected(&mut self, now: MonoTime) {
        let mut usable = self.states.values().filter(|state| state.is_usable());
        if usable.any(|state| !state.health.is_ejected(now)) {
            return;
        }
        for state in self.states.values_mut().filter(|s| s.is_usable()) {
            state.health.limit_to_probes();
        }
    }

    /// Returns one backend server.
    pub(crate) fn get_mut(&mut self, backend: BackendId) -> Option<&mut BackendState> {
        self.states.get_mut(&backend)
    }

    /// Returns one backend server, and adds an unlisted entry if it has no record.
    pub(crate) fn get_or_open(
        &mut self,
        backend: BackendId,
        config: &PoolConfig,
        now: MonoTime,
    ) -> &mut BackendState {
        self.states
            .entry(backend)
            .or_insert_with(|| BackendState::open_unlisted(backend, config, now))
    }

    /// Returns every backend server, ordered by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &BackendState> + '_ {
        self.states.values()
    }

    /// Returns the index of prefix hints.
    pub(crate) fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns whether any backend server can take work, now or after an ejection ends.
    pub(crate) fn has_usable(&self) -> bool {
        self.states.values().any(BackendState::is_usable)
    }

    /// Returns the number of free slots.
    pub(crate) fn free_slots(&self, now: MonoTime) -> u32 {
        self.states
            .values()
            .map(|state| state.free_slots(now))
            .sum()
    }

    /// Returns the number of slots that may be in use at the same time.
    pub(crate) fn ceiling(&self, now: MonoTime) -> u32 {
        self.states.values().map(|state| state.ceiling(now)).sum()
    }

    /// Returns the work per second that the pool does with all slots in use, once it is known.
    pub(crate) fn capacity(&self) -> Option<f64> {
        self.capacity
    }

    /// Returns the typical time to the first token in the pool.
    pub(crate) fn typical_first_token(&self) -> Span {
        Span((self.reference.first_token * 1e6) as u64)
    }

    /// Returns the backend server for a ticket, if one that can serve it has a free slot.
    pub(crate) fn choose(&self, ticket: &Ticket, work: u32, now: MonoTime) -> Option<BackendId> {
        let adapter = ticket
            .adapter
            .filter(|adapter| self.any_has_adapter(*adapter));
        let avoid = ticket
            .avoid
            .filter(|backend| self.has_other_usable(*backend));
        self.states
            .values()
            .filter(|state| Some(state.view.backend) != avoid)
            .filter(|state| adapter.is_none_or(|a| state.has_adapter(a) != Some(false)))
            .filter(|state| state.free_slots(now) > 0 && state.has_model(ticket.pool.model))
            .map(|state| (self.expected_finish(state, ticket, work, now), state))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, state)| state.view.backend)
    }

    /// Ejects a failing backend server, or only limits it to probes.
    ///
    /// It is limited to probes if otherwise more than the fraction `share` of the usable backend
    /// servers, or all of them, would be ejected.
    pub(crate) fn eject(&mut self, backend: BackendId, share: f64, now: MonoTime) {
        let usable = self.states.values().filter(|s| s.is_usable());
        let usable = usable.count();
        let ejected = self.states.values().filter(|state| {
            state.is_usable() && state.view.backend != backend && state.health.is_ejected(now)
        });
        let ejected = ejected.count();
        let bound = ((usable as f64 * share).floor() as usize).min(usable.saturating_sub(1));
        if let Some(state) = self.states.get_mut(&backend) {
            if ejected < bound {
                state.health.eject(now);
            } else {
                state.health.limit_to_probes();
            }
        }
        self.prefixes.forget(backend);
    }

    /// Updates the health of the backend servers and the statistics of the whole pool.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        let typical_first_token = self.typical_first_token();
        for state in self.states.values_mut() {
            state.health.tick(now);
            state.infer_load(typical_first_token, now);
        }
        self.drop_unlisted();
        self.probe_if_all_ejected(now);
        self.update_reference();
        self.update_capacity(now);
    }

    /// Checks that each limit is within its bounds and that not all usable backend servers are
    /// ejected.
    pub(crate) fn verify(&self, now: MonoTime) -> Result<(), VerifyError> {
        for state in self.states.values() {
            let limit = state.limit.get();
            let bounds = u32::from(state.view.slots > 0)..=state.view.slots;
            if !bounds.contains(&limit) {
                return Err(VerifyError::LimitBounds {
                    backend: state.view.backend,
                    limit,
                    slots: state.view.slots,
                });
            }
        }
        let usable = self.states.values().filter(|s| s.is_usable());
        let usable = usable.count();
        let all_ejected = self
            .states
            .values()
            .filter(|state| state.is_usable())
            .all(|state| state.health.is_ejected(now));
        if usable > 0 && all_ejected {
            return Err(VerifyError::PoolEmptied(usable));
        }
        Ok(())
    }

    /// Writes the pool's capacity and one line for each backend server.
    pub(crate) fn dump(&self, now: MonoTime, text: &mut String) {
        if let Some(capacity) = self.capacity {
            let _ = writeln!(text, "  capacity {capacity:.1}/s");
        }
        for state in self.states.values() {
            state.dump(self.report_stale, now, text);
        }
    }

    fn expected_finish(
        &self,
        state: &BackendState,
        ticket: &Ticket,
        work: u32,
        now: MonoTime,
    ) -> f64 {
        let limit = f64::from(state.limit.get().max(1));
        let load = f64::from(state.in_use(now) + 1) / limit;
        let speed = state.speed_factor();
        let work = f64::from(work);
        let mut seconds = state
            .speed
            .expected_time(work, load, speed, &self.reference);
        let is_near_mean = state.occupancy(now) <= self.mean_occupancy + PREFIX_LOAD_MARGIN;
        if let Some(prefix) = ticket.prefix
            && is_near_mean
            && self.prefixes.holds(state.view.backend, prefix, now)
        {
            let first = state
                .speed
                .first_token()
                .unwrap_or(self.reference.first_token / speed);
            seconds -= PREFIX_SAVING * first;
        }
        if state.load.is_unknown(self.report_stale, now) {
            seconds *= UNKNOWN_PENALTY;
        }
        let overdue = (state.overdue(now) - OVERDUE_TOLERANCE).max(0.0);
        seconds * (1.0 + OVERDUE_PENALTY * overdue)
    }

    fn any_has_adapter(&self, adapter: AdapterId) -> bool {
        let usable = self.states.values().filter(|state| state.is_usable());
        usable
            .into_iter()
            .any(|state| state.has_adapter(adapter) == Some(true))
    }

    fn has_other_usable(&self, backend: BackendId) -> bool {
        let mut usable = self.states.values().filter(|state| state.is_usable());
        usable.any(|state| state.view.backend != backend)
    }

    fn drop_unlisted(&mut self) {
        let prefixes = &mut self.prefixes;
        self.states.retain(|backend, state| {
            let keep = state.listed || state.outstanding() > 0;
            if !keep {
                prefixes.forget(*backend);
            }
            keep
        });
    }

    fn update_reference(&mut self) {
        let listed = || self.states.values().filter(|state| state.listed);
        let units = listed().filter_map(|s| Some(s.speed.unit_time()? * s.speed_factor()));
        let firsts = listed().filter_map(|s| Some(s.speed.first_token()? * s.speed_factor()));
        let reference = ReferenceSpeed {
            unit_time: mean(units).unwrap_or(self.reference.unit_time),
            first_token: mean(firsts).unwrap_or(self.reference.first_token),
        };
        self.reference = reference;
    }

    fn update_capacity(&mut self, now: MonoTime) {
        let usable = || self.states.values().filter(|state| state.ceiling(now) > 0);
        let rates = usable().filter_map(|s| Some(s.speed.slot_rate()? / s.speed_factor()));
        let Some(typical_rate) = mean(rates) else {
            return;
        };
        let capacities = usable().map(|state| {
            let rate = state.speed.slot_rate();
            let slots = state.ceiling(now).saturating_sub(state.load.others(now));
            f64::from(slots) * rate.unwrap_or(typical_rate * state.speed_factor())
        });
        self.capacity = Some(capacities.sum());
        let occupancy = usable().map(|state| state.occupancy(now));
        self.mean_occupancy = mean(occupancy).unwrap_or(0.0);
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0u32), |(sum, count), v| (sum + v, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}
