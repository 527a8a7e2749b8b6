//! Keeps how long work takes at each backend server, by its reports and by the gateway's own streams there.
//!
//! A service is paced as soon as one of its backend servers reports a figure. Nothing changes at the other
//! services (docs/design/uneven-engines.md).

use std::sync::Arc;

use oleander_balance::{BackendKey, PaceTerms, ShortDemand, WorkReport};
use oleander_base::monotonic_now;
use serde::Serialize;

use crate::core::{ChoiceQuery, GatewayCore};
use crate::prelude::*;

/// The expected form of the figure, for the log.
const FIGURE_FORM: &str = "a number from 1 to 10000, in percent of the usual time";

#[derive(Debug, Serialize)]
struct InvalidPaceFields<'a> {
    request: &'a str,
    backend: &'a str,
    service: &'a str,
    expected: &'static str,
}

#[derive(Debug, Serialize)]
struct PacedFields<'a> {
    service: &'a str,
    backend: &'a str,
}

impl GatewayCore {
    /// Takes over what a backend server reports of its pace with the answer to `request`.
    pub(crate) fn record_work(&self, key: BackendKey, work: WorkReport, request: &str) {
        match work {
            WorkReport::Missing => {}
            WorkReport::Invalid => self.ignore_figure(key, request),
            WorkReport::Percent(percent) => {
                self.metrics.record_pace("reported");
                self.take_over_pace(key, percent, monotonic_now());
            }
        }
    }

    /// Takes over the pace that a backend server reported at a time, to this gateway or another one.
    pub(crate) fn take_over_pace(&self, key: BackendKey, percent: f64, at: MonoTime) {
        if let WorkReport::Percent(percent) = WorkReport::of_percent(percent) {
            self.with_backend(key, |state| state.pace.report(percent, at));
            self.mark_paced(key);
        }
    }

    fn mark_paced(&self, key: BackendKey) {
        let Some(service) = self.service_of(key) else {
            return;
        };
        let is_new = self.with_service(&service, |state| state.pace.on_report(monotonic_now()));
        if !is_new {
            return;
        }
        let fleet = self.fleet.borrow();
        if let Some(member) = fleet.get(key) {
            let fields = PacedFields {
                service: &service,
                backend: &member.entry.id,
            };
            self.log.change("service-paced", fields);
        }
    }

    fn ignore_figure(&self, key: BackendKey, request: &str) {
        self.metrics.record_pace("invalid");
        let Some(service) = self.service_of(key) else {
            return;
        };
        let is_logged = self.with_service(&service, |state| state.pace.on_invalid(monotonic_now()));
        let fleet = self.fleet.borrow();
        let Some(member) = fleet.get(key).filter(|_| is_logged) else {
            return;
        };
        let fields = InvalidPaceFields {
            request,
            backend: &member.entry.id,
            service: &service,
            expected: FIGURE_FORM,
        };
        self.log.change("backend-pace-invalid", fields);
    }

    fn service_of(&self, key: BackendKey) -> Option<Arc<str>> {
        let fleet = self.fleet.borrow();
        fleet
            .get(key)
            .map(|member| Arc::clone(&member.entry.service))
    }

    /// Returns what the choice takes into account at a paced service; `None` at others.
    pub(crate) fn pace_terms(&self, query: &ChoiceQuery<'_>, gateways: usize) -> Option<PaceTerms> {
        let now = monotonic_now();
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(query.service)?;
        if !state.pace.is_paced(now) {
            return None;
        }
        let fleet = self.fleet.borrow();
        let keys = fleet.service_keys(query.service);
        let base = state.traffic.reserved_count(keys.len());
        let demand = ShortDemand::measure(&fleet, query.service, gateways, base, now);
        state.pace.reserve(demand, now);
        Some(state.pace.terms(&query.paced, &state.latency, now))
    }
}
