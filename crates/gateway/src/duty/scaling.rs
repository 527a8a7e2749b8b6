//! Orders backend servers from the provider while this gateway holds the duties.
//!
//! Every gateway follows the demand, so that a new holder knows it at once; only the holder sends
//! orders. The decisions are those of [`ScalePlanner`] (docs/design/scaling.md).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::{
    OrderOutcome, ScaleInput, ScaleOrder, ScalePlan, ScalePlanner, ScaleTerms, ServerKind,
    serve_fill, view_service,
};
use oleander_base::{FastMap, FastSet, monotonic_now};
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::lease::DutyGrant;
use super::provider::{ProviderClient, ProviderError, ProviderReply};
use super::scaling_view::ViewFreshness;
use super::token::FencingToken;
use crate::core::GatewayCore;
use crate::manifest::{AutoscaleSpec, ServiceSpec};
use crate::port::ScalingOrder;
use crate::prelude::*;

/// The time between two plans.
const PLAN_INTERVAL: Span = Span::from_secs(1);

/// The share of the provider's rate that scaling orders use at most. The rest of the holder's share is for usage
/// reports, and the rest of the provider's rate is a margin.
const CALL_SHARE: f64 = 0.1;

/// The lowest rate of orders, whatever the settings name.
const MIN_ORDERS_PER_S: f64 = 0.5;

/// The least time between two log lines about orders of one service that fail with the same outcome.
const REPEAT_LINE_INTERVAL: Span = Span::from_secs(5);

/// What became of an order, with what the provider answered.
#[derive(Debug)]
struct SentOrder {
    outcome: OrderOutcome,
    status: Option<u16>,
    reason: Option<String>,
}

impl SentOrder {
    fn of(result: Result<ProviderReply, ProviderError>) -> Self {
        let (outcome, status, reason) = match result {
            Ok(reply) if reply.is_accepted() => (OrderOutcome::Accepted, Some(reply.status), None),
            Ok(reply) if reply.status == NONE_AVAILABLE => {
                (OrderOutcome::Unavailable, Some(reply.status), None)
            }
            // A server error says nothing about whether the order was carried out.
            Ok(reply) if reply.status >= 500 => (OrderOutcome::Unknown, Some(reply.status), None),
            Ok(reply) => (OrderOutcome::Refused, Some(reply.status), None),
            Err(error) => {
                let outcome = match error {
                    ProviderError::Unanswered(_) => OrderOutcome::Unknown,
                    _ => OrderOutcome::Refused,
                };
                (outcome, None, Some(error.to_string()))
            }
        };
        Self {
            outcome,
            status,
            reason,
        }
    }

    fn as_str(&self) -> &'static str {
        match self.outcome {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::Unavailable => "unavailable",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unknown",
        }
    }
}

/// The status with which the provider says that it has none available.
const NONE_AVAILABLE: u16 = 409;

#[derive(Debug, Serialize)]
struct OrderFields<'a> {
    service: &'a str,
    centre: &'a str,
    kind: &'static str,
    count: u32,
    reason: &'static str,
    outcome: &'static str,
    status: Option<u16>,
    error: Option<&'a str>,
    token: FencingToken,
    /// The figures that decided. The demand in requests: now, expected at the time at which an ordered backend
    /// server serves, and without bursts. After it, the backend servers that this demand needs.
    present: f64,
    ahead: f64,
    steady: f64,
    need_total: u32,
    need_surviving: u32,
    need_normal: u32,
    /// What was ordered before, what serves in the data centre now, and what is planned there.
    ordered: u32,
    serving_normal: u32,
    serving_preemptible: u32,
    planned: u32,
    planned_normal: u32,
}

#[derive(Debug, Serialize)]
struct HoldFields<'a> {
    service: &'a str,
    reason: Option<&'static str>,
    /// Why the view may be out of date, if it may.
    stale: Option<&'static str>,
}

/// The planner of one service, with what was last logged about it.
#[derive(Debug, Default)]
struct ServiceScaling {
    planner: ScalePlanner,
    hold: Option<&'static str>,
    last_line: Option<(&'static str, MonoTime)>,
}

/// An order, with the plan whose figures are logged with it.
#[derive(Debug, Clone)]
struct PlannedOrder {
    service: Arc<str>,
    order: ScaleOrder,
    plan: Rc<ScalePlan>,
}

/// The scaling of all services.
#[derive(Debug)]
struct ScalingDuty {
    core: Rc<GatewayCore>,
    provider: ProviderClient,
    freshness: ViewFreshness,
    services: RefCell<FastMap<Arc<str>, ServiceScaling>>,
    /// Whether orders of the last plan are still being sent.
    is_sending: Cell<bool>,
}

/// Plans and orders for as long as the process runs.
pub(crate) async fn run_scaling(core: Rc<GatewayCore>) {
    let duty = Rc::new(ScalingDuty {
        provider: ProviderClient::open(Rc::clone(&core)),
        freshness: ViewFreshness::open(),
        services: RefCell::default(),
        is_sending: Cell::new(false),
        core,
    });
    let mut ticks = interval(Duration::from(PLAN_INTERVAL));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let orders = duty.plan();
        if !orders.is_empty() {
            duty.is_sending.set(true);
            spawn_local(send_orders(Rc::clone(&duty), orders));
        }
    }
}

/// Sends the orders of one plan, one after the other.
async fn send_orders(duty: Rc<ScalingDuty>, orders: Vec<PlannedOrder>) {
    for planned in orders {
        let Some(grant) = duty.core.duties.lease.current() else {
            break;
        };
        let outcome = duty.send(&grant, &planned).await;
        // The remaining orders would fail alike. The next plan makes them again if they are still needed.
        if matches!(outcome, OrderOutcome::Unknown | OrderOutcome::Refused) {
            break;
        }
        sleep(Duration::from(duty.order_interval())).await;
    }
    duty.is_sending.set(false);
}

impl ScalingDuty {
    /// Plans all services; returns the orders to send.
    fn plan(&self) -> Vec<PlannedOrder> {
        let settings = self.core.settings();
        let is_active = (settings.provider.as_ref()).is_some_and(|known| known.scales_backends);
        let manifest = self.core.manifest().filter(|_| is_active);
        let Some(manifest) = manifest else {
            self.services.borrow_mut().clear();
            return Vec::new();
        };
        let now = monotonic_now();
        let stale = self.freshness.check(&self.core, now);
        let is_holder = self.core.duties.lease.current().is_some();
        let scaled = |name: &str| {
            manifest
                .service(name)
                .is_some_and(|it| it.autoscale.is_some())
        };
        self.services.borrow_mut().retain(|name, _| scaled(name));
        let silent = self.silent_centres(&settings.name, now);
        let mut orders = Vec::new();
        for service in manifest.services() {
            let Some(autoscale) = &service.autoscale else {
                continue;
            };
            let terms = scale_terms(&manifest, service, autoscale);
            let mut view = view_service(&self.core.fleet.borrow(), &service.name, now);
            let busy = self.core.with_service(&service.name, |state| {
                let all = view.load();
                state.reading.observe_running(view.own_running, all, now);
                state.reading.busy_servers(now)
            });
            view.count_reading(busy);
            for centre in &mut view.centres {
                centre.is_heard |= !silent.contains(&centre.centre);
            }
            let input = ScaleInput {
                view: &view,
                terms: &terms,
                prices: &autoscale.prices,
                is_view_fresh: stale.is_none(),
                is_holder,
                now,
            };
            let plan = self.plan_service(&service.name, &input, stale);
            self.record_servers(&service.name, &plan);
            let plan = Rc::new(plan);
            orders.extend(plan.orders.iter().map(|order| PlannedOrder {
                service: Arc::clone(&service.name),
                order: order.clone(),
                plan: Rc::clone(&plan),
            }));
        }
        if self.is_sending.get() {
            return Vec::new();
        }
        orders.sort_by_key(|planned| planned.order.reason);
        orders
    }

    /// Returns the data centres that have gateways but no backend server with a fresh load report, so that their
    /// demand is unknown.
    ///
    /// A data centre without another gateway has no demand of its own: the requests at its backend servers are
    /// those of gateways elsewhere.
    fn silent_centres(&self, own: &str, now: MonoTime) -> FastSet<Arc<str>> {
        let mut silent = self.core.view.borrow().other_centres(own);
        let fleet = self.core.fleet.borrow();
        for (_, member) in fleet.members() {
            if member.state.has_report(now) {
                silent.remove(&member.entry.centre);
            }
        }
        silent
    }

    fn plan_service(
        &self,
        service: &Arc<str>,
        input: &ScaleInput<'_>,
        stale: Option<&'static str>,
    ) -> ScalePlan {
        let mut services = self.services.borrow_mut();
        let scaling = services.entry(Arc::clone(service)).or_default();
        let plan = scaling.planner.plan(input);
        if input.is_holder && scaling.hold != plan.hold {
            scaling.hold = plan.hold;
            let fields = HoldFields {
                service,
                reason: plan.hold,
                stale,
            };
            self.core.log.change("scaling-hold", fields);
        }
        plan
    }

    /// Sends one order; returns what became of it.
    async fn send(&self, grant: &DutyGrant, planned: &PlannedOrder) -> OrderOutcome {
        let order = &planned.order;
        let request = self.core.port.scaling_request(&ScalingOrder {
            service: &planned.service,
            centre: &order.centre,
            count: order.count,
            is_preemptible: order.kind == ServerKind::Preemptible,
        });
        let sent = SentOrder::of(self.provider.call(grant, &request).await);
        let now = monotonic_now();
        let metrics = &self.core.metrics;
        metrics.record_scaling_order(&planned.service, order, sent.as_str());
        let mut services = self.services.borrow_mut();
        if let Some(scaling) = services.get_mut(&planned.service) {
            scaling.planner.on_outcome(order, sent.outcome, now);
            if scaling.admits_line(sent.as_str(), now) {
                self.log_order(grant, planned, &sent);
            }
        }
        sent.outcome
    }

    fn log_order(&self, grant: &DutyGrant, planned: &PlannedOrder, sent: &SentOrder) {
        let PlannedOrder {
            service,
            order,
            plan,
        } = planned;
        let mut centres = plan.centres.iter();
        let Some(centre) = centres.find(|known| known.view.centre == order.centre) else {
            return;
        };
        let fields = OrderFields {
            service,
            centre: &order.centre,
            kind: order.kind.as_str(),
            count: order.count,
            reason: order.reason.as_str(),
            outcome: sent.as_str(),
            status: sent.status,
            error: sent.reason.as_deref(),
            token: grant.token(),
            present: plan.outlook.present.round(),
            ahead: plan.outlook.ahead.round(),
            steady: plan.outlook.steady.round(),
            need_total: plan.need.total,
            need_surviving: plan.need.surviving,
            need_normal: plan.need.normal,
            ordered: centre.ordered(order.kind),
            serving_normal: centre.view.normal.serving,
            serving_preemptible: centre.view.preemptible.serving,
            planned: centre.size.total,
            planned_normal: centre.size.normal,
        };
        self.core.log.change("scaling-order", fields);
    }

    fn record_servers(&self, service: &str, plan: &ScalePlan) {
        let metrics = &self.core.metrics;
        for centre in &plan.centres {
            let planned_preemptible = centre.size.total - centre.size.normal;
            let kinds = [
                (ServerKind::Normal, centre.view.normal, centre.size.normal),
                (
                    ServerKind::Preemptible,
                    centre.view.preemptible,
                    planned_preemptible,
                ),
            ];
            for (kind, count, planned) in kinds {
                let record = |state, value: u32| {
                    let name = &centre.view.centre;
                    metrics.record_servers(service, name, kind, state, value);
                };
                record("wanted", planned);
                record("present", count.present);
            }
        }
    }

    fn order_interval(&self) -> Span {
        let settings = self.core.settings();
        let provider = settings.provider.as_ref();
        let per_s = provider.map_or(0.0, |provider| provider.calls_per_s * CALL_SHARE);
        Span((Span::from_secs(1).0 as f64 / per_s.max(MIN_ORDERS_PER_S)) as u64)
    }
}

impl ServiceScaling {
    /// Returns whether a log line is written about an order. Repeated failures get one line in
    /// [`REPEAT_LINE_INTERVAL`].
    fn admits_line(&mut self, outcome: &'static str, now: MonoTime) -> bool {
        let is_repeat = self
            .last_line
            .is_some_and(|(last, at)| last == outcome && now.since(at) < REPEAT_LINE_INTERVAL);
        if is_repeat && outcome != "accepted" {
            return false;
        }
        self.last_line = Some((outcome, now));
        true
    }
}

/// Returns the terms of a service, with the fill that its most urgent route allows.
fn scale_terms(
    manifest: &Manifest,
    service: &ServiceSpec,
    autoscale: &AutoscaleSpec,
) -> ScaleTerms {
    let routes = manifest.routes_to(&service.name);
    let fill = routes.map(|route| serve_fill(route.latency_target, route.pause_limit));
    ScaleTerms {
        min_count: autoscale.min_count,
        max_count: autoscale.max_count,
        startup: autoscale.startup,
        preemptible_price: autoscale.preemptible_price,
        serve_fill: fill.fold(serve_fill(Span(u64::MAX), None), f64::min),
    }
}
