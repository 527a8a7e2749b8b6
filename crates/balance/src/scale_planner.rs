//! Plans the number of a service's backend servers in each data centre.
//!
//! Backend servers are ordered at once when they are needed, and given back slowly: what one has
//! cached is lost, and a caller who is served late is worse than an idle backend server. The
//! planner decides from the registry, the load reports and the outcomes of its own orders; the driver
//! sends the orders and reports their outcomes (docs/design/scaling.md).

use std::collections::VecDeque;
use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::scale_demand::{DemandOutlook, DemandTracker};
use crate::scale_orders::{CentreOrders, OrderContext};
use crate::scale_size::{
    CentreBounds, CentreSize, FleetNeed, OwnNeed, ScaleTerms, size_centres, size_unknown,
};
use crate::scale_subject::{OrderOutcome, OrderState};
use crate::scale_view::{CentreView, ServiceView};

/// The time between two plans. A need may be noticed that much later, so orders look ahead that much further.
const PLAN_INTERVAL: Span = Span::from_secs(1);

/// The time over which the largest size counts when backend servers are given back: a whole period of a wave
/// of demand.
const HOLD_TIME: Span = Span::from_secs(15);

/// How long the demand must have been known, and the view up to date, before backend servers are given back.
/// Load reports of all backend servers that have requests have come in by then.
const MIN_HISTORY: Span = Span::from_secs(10);

/// The time for which this gateway must have held the duty before backend servers are given back.
/// Those that the last holder ordered have begun to serve by then.
const SETTLE_TIME: Span = Span::from_secs(5);

/// The time without orders for a need after which normal backend servers are replaced by preemptible
/// ones: as long as a burst may last. A replacement leaves their number as it is, so it need not wait for
/// [`HOLD_TIME`].
const CALM_TIME: Span = Span::from_secs(10);

/// The time for which no preemptible backend servers are ordered in a data centre where they were
/// taken away. It doubles with each further time.
const RECLAIM_PAUSE: Span = Span::from_secs(60);

/// The longest such time.
const MAX_RECLAIM_PAUSE: Span = Span::from_secs(600);

/// Preemptible backend servers that drain within this time were taken away together.
const RECLAIM_WINDOW: Span = Span::from_secs(10);

/// The kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerKind {
    /// It stays until it is given back.
    Normal,
    /// The operator may take it away at short notice.
    Preemptible,
}

/// Why an order is sent; the more urgent reasons come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScaleReason {
    /// More are needed.
    Need,
    /// Ordered ones have not come, or are lost.
    Missing,
    /// It is not known whether the last order was carried out.
    Unconfirmed,
    /// Preemptible ones are to replace normal ones, which cost more.
    Price,
    /// Fewer have been enough for a while.
    Surplus,
}

/// An order for a number of backend servers of one kind in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The data centre.
    pub centre: Arc<str>,
    /// The kind.
    pub kind: ServerKind,
    /// The number that is to be there, not a difference.
    pub count: u32,
    /// Why it is sent.
    pub reason: ScaleReason,
}

/// What is planned for one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct CentrePlan {
    /// The backend servers there and their load.
    pub view: CentreView,
    /// What the demand needs there now.
    pub size: CentreSize,
    /// The normal ones that are ordered.
    pub normal: u32,
    /// The preemptible ones that are ordered.
    pub preemptible: u32,
}

impl CentrePlan {
    /// Returns the number of a kind that is ordered.
    pub fn ordered(&self, kind: ServerKind) -> u32 {
        match kind {
            ServerKind::Normal => self.normal,
            ServerKind::Preemptible => self.preemptible,
        }
    }
}

/// A plan for one service, with the figures that it was decided from, for the log and the metrics.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ScalePlan {
    /// The orders to send, the most urgent first.
    pub orders: Vec<ScaleOrder>,
    /// The demand.
    pub outlook: DemandOutlook,
    /// The backend servers that it needs.
    pub need: FleetNeed,
    /// The data centres.
    pub centres: Vec<CentrePlan>,
    /// Why nothing is given back at present, if that is so.
    pub hold: Option<&'static str>,
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct ScaleInput<'a> {
    /// The service's backend servers.
    pub view: &'a ServiceView,
    /// The bounds and prices.
    pub terms: &'a ScaleTerms,
    /// The relative price of a second of a backend server, by data centre.
    pub prices: &'a FastMap<Arc<str>, f64>,
    /// Whether store, registry and load reports are believed to be up to date.
    pub is_view_fresh: bool,
    /// Whether this gateway may send orders; if not, it only learns the demand.
    pub is_holder: bool,
    /// The time.
    pub now: MonoTime,
}

/// Plans one service.
#[derive(Debug, Default)]
pub struct ScalePlanner {
    demand: DemandTracker,
    /// The data centres that have been seen, in the order of their names.
    centres: Vec<CentreState>,
    held_since: Option<MonoTime>,
    disturbed_at: Option<MonoTime>,
    /// The mean slots of a backend server by the last view that had any.
    slots: f64,
    /// When an order for a need was last sent.
    grown_at: Option<MonoTime>,
}

#[derive(Debug)]
struct CentreState {
    view: CentreView,
    demand: DemandTracker,
    sizes: VecDeque<(MonoTime, CentreSize)>,
    normal: OrderState,
    preemptible: OrderState,
    shrunk_at: MonoTime,
    reclaim: ReclaimState,
    /// The number that was there when the planner first saw it whole.
    found: Option<u32>,
    /// The normal ones for which preemptible ones were ordered and that were not given back yet.
    replaced: u32,
}

/// When preemptible backend servers were last taken away.
#[derive(Debug, Default)]
struct ReclaimState {
    last_at: Option<MonoTime>,
    count: u32,
    /// When fewer were last ordered. Those that drain after that were given back, not taken away.
    lowered_at: Option<MonoTime>,
}

impl ReclaimState {
    fn observe(&mut self, draining: u32, now: MonoTime) {
        let within = |at: Option<MonoTime>| at.is_some_and(|at| now.since(at) < RECLAIM_WINDOW);
        if draining == 0 || within(self.lowered_at) {
            return;
        }
        if !within(self.last_at) {
            self.count = self.count.saturating_add(1);
        }
        self.last_at = Some(now);
    }

    fn is_avoided(&self, now: MonoTime) -> bool {
        let doublings = self.count.saturating_sub(1).min(4);
        let pause = Span(RECLAIM_PAUSE.0 << doublings).min(MAX_RECLAIM_PAUSE);
        self.last_at.is_some_and(|at| now.since(at) < pause)
    }
}

impl CentreState {
    fn open(centre: &Arc<str>) -> Self {
        Self {
            view: CentreView::empty(Arc::clone(centre)),
            demand: DemandTracker::default(),
            sizes: VecDeque::new(),
            normal: OrderState::default(),
            preemptible: OrderState::default(),
            shrunk_at: MonoTime(0),
            reclaim: ReclaimState::default(),
            found: None,
            replaced: 0,
        }
    }

    fn observe(&mut self, input: &ScaleInput<'_>) {
        let mut views = input.view.centres.iter();
        let found = views.find(|view| view.centre == self.view.centre);
        self.view = found.map_or_else(
            || CentreView::empty(Arc::clone(&self.view.centre)),
            CentreView::clone,
        );
        self.demand.record(self.view.load, input.now);
        self.reclaim
            .observe(self.view.preemptible.draining, input.now);
        if input.is_view_fresh {
            let present = self.view.normal.present + self.view.preemptible.present;
            self.found.get_or_insert(present);
        }
        if input.is_holder {
            self.normal.observe(self.view.normal, input.now);
            self.preemptible.observe(self.view.preemptible, input.now);
        } else {
            self.normal.forget(self.view.normal, input.now);
            self.preemptible.forget(self.view.preemptible, input.now);
            self.found = None;
            self.replaced = 0;
        }
    }

    fn may_order_preemptible(&self, terms: &ScaleTerms, now: MonoTime) -> bool {
        terms.preemptible_price.is_some()
            && !self.reclaim.is_avoided(now)
            && !self.preemptible.is_unavailable(now)
    }

    /// Returns whether most backend servers of the data centre are missing, so that other data centres must
    /// make up for them.
    fn is_lost(&self, terms: &ScaleTerms, now: MonoTime) -> bool {
        let is_missing = |state: &OrderState| state.missing_for(terms.startup, now).is_some();
        let serving = self.view.normal.serving + self.view.preemptible.serving;
        let ordered = self.normal.least() + self.preemptible.least();
        (is_missing(&self.normal) || is_missing(&self.preemptible)) && serving * 2 < ordered
    }

    fn bounds(&self, input: &ScaleInput<'_>, own_need: OwnNeed) -> CentreBounds {
        let terms = input.terms;
        let is_lost = self.is_lost(terms, input.now);
        let max_normal = if is_lost || self.normal.is_unavailable(input.now) {
            self.view.normal.serving
        } else {
            terms.max_count
        };
        let max_preemptible = if is_lost || !self.may_order_preemptible(terms, input.now) {
            self.view.preemptible.serving
        } else {
            terms.max_count
        };
        let max = max_normal
            .saturating_add(max_preemptible)
            .min(terms.max_count);
        CentreBounds {
            own_need,
            min: terms.min_count.min(max),
            max,
            max_normal,
            max_preemptible,
            price: input.prices.get(&self.view.centre).copied().unwrap_or(1.0),
        }
    }

    /// Records a size; returns the largest one of the hold time.
    fn hold(&mut self, size: CentreSize, now: MonoTime) -> CentreSize {
        self.sizes.push_back((now, size));
        while let Some((at, _)) = self.sizes.front() {
            if now.since(*at) <= HOLD_TIME {
                break;
            }
            self.sizes.pop_front();
        }
        let sizes = self.sizes.iter().map(|(_, size)| *size);
        sizes.fold(size, |largest, size| CentreSize {
            total: largest.total.max(size.total),
            normal: largest.normal.max(size.normal),
        })
    }

    fn orders_mut(&mut self, kind: ServerKind) -> &mut OrderState {
        match kind {
            ServerKind::Normal => &mut self.normal,
            ServerKind::Preemptible => &mut self.preemptible,
        }
    }
}

impl ScalePlanner {
    /// Records what is there, and returns the orders to send if this gateway may send any.
    pub fn plan(&mut self, input: &ScaleInput<'_>) -> ScalePlan {
        self.observe(input);
        let outlook = self.demand.outlook(lead_time(input.terms), input.now);
        let serving = self.centres.iter();
        let serving: u32 = serving
            .map(|state| state.view.normal.serving + state.view.preemptible.serving)
            .sum();
        let need = FleetNeed::of(&outlook, input.terms, self.slots, serving);
        let sizes = self.sizes(input, &need);
        let hold = self.hold_reason(input);
        let settling = self.settling_reason(input);
        let held = self.hold_sizes(&sizes, input.now);
        // An order is a number: one for more, counted from a view that lacks entries, may give some back.
        let may_order = input.is_holder && input.is_view_fresh && self.slots > 0.0;
        let orders = if may_order {
            let permits = OrderPermits {
                shrink: hold.is_none(),
                replace: settling.is_none(),
            };
            self.orders(input, &need, &sizes, &held, permits)
        } else {
            Vec::new()
        };
        let centres = self.centres.iter().zip(&sizes);
        ScalePlan {
            orders,
            outlook,
            need,
            centres: centres
                .map(|(state, size)| CentrePlan {
                    view: state.view.clone(),
                    size: *size,
                    normal: state.normal.least(),
                    preemptible: state.preemptible.least(),
                })
                .collect(),
            hold,
        }
    }

    /// Records what became of an order.
    pub fn on_outcome(&mut self, order: &ScaleOrder, outcome: OrderOutcome, now: MonoTime) {
        let mut centres = self.centres.iter_mut();
        let Some(state) = centres.find(|state| state.view.centre == order.centre) else {
            return;
        };
        let orders = state.orders_mut(order.kind);
        let is_lower = order.count < orders.greatest();
        let more = order.count.saturating_sub(orders.least());
        let fewer = orders.least().saturating_sub(order.count);
        orders.on_outcome(order.count, outcome, now);
        let may_be_done = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Unknown);
        if !may_be_done {
            return;
        }
        if order.reason == ScaleReason::Need {
            self.grown_at = Some(now);
        }
        match (order.kind, order.reason) {
            (ServerKind::Preemptible, ScaleReason::Price) => state.replaced += more,
            (ServerKind::Normal, _) => state.replaced = state.replaced.saturating_sub(fewer),
            _ => {}
        }
        if is_lower {
            state.shrunk_at = now;
        }
        if is_lower && order.kind == ServerKind::Preemptible {
            state.reclaim.lowered_at = Some(now);
        }
    }

    fn observe(&mut self, input: &ScaleInput<'_>) {
        for view in &input.view.centres {
            let search =
                (self.centres).binary_search_by(|state| state.view.centre.cmp(&view.centre));
            if let Err(index) = search {
                self.centres.insert(index, CentreState::open(&view.centre));
            }
        }
        for state in &mut self.centres {
            state.observe(input);
        }
        let load = input.view.centres.iter().map(|view| view.load);
        self.demand.record(load.sum(), input.now);
        let held_since = self.held_since.unwrap_or(input.now);
        self.held_since = input.is_holder.then_some(held_since);
        if input.view.slots > 0.0 {
            self.slots = input.view.slots;
        }
        if !input.is_view_fresh {
            self.disturbed_at = Some(input.now);
        }
    }

    /// Returns why the number may not be lowered now, if that is so.
    fn hold_reason(&self, input: &ScaleInput<'_>) -> Option<&'static str> {
        self.held_since?;
        if !self.is_demand_known(input.now) {
            return Some("the demand is not known for long enough");
        }
        self.settling_reason(input)
    }

    fn is_demand_known(&self, now: MonoTime) -> bool {
        self.demand.history(now) >= MIN_HISTORY
    }

    /// Returns why nothing may be given back now, not even what preemptible ones replace, if that is so.
    fn settling_reason(&self, input: &ScaleInput<'_>) -> Option<&'static str> {
        let since = |at: MonoTime| input.now.since(at);
        let held_since = self.held_since?;
        if since(held_since) < SETTLE_TIME {
            return Some("the duty is new");
        }
        if self.disturbed_at.is_some_and(|at| since(at) < MIN_HISTORY) {
            return Some("the view is stale, or was lately");
        }
        None
    }

    fn sizes(&self, input: &ScaleInput<'_>, need: &FleetNeed) -> Vec<CentreSize> {
        let centres = self.centres.iter();
        let bounds: Vec<CentreBounds> = centres
            .map(|state| state.bounds(input, self.own_need(state, input, need)))
            .collect();
        let sizes = size_centres(need, &bounds);
        if self.is_demand_known(input.now) {
            return sizes;
        }
        let centres = self.centres.iter().zip(&bounds).zip(&sizes);
        centres
            .map(|((state, bounds), size)| {
                let found = size_unknown(state.found.unwrap_or(0), bounds);
                CentreSize {
                    total: found.total.max(size.total),
                    normal: found.normal.max(size.normal),
                }
            })
            .collect()
    }

    fn own_need(&self, state: &CentreState, input: &ScaleInput<'_>, need: &FleetNeed) -> OwnNeed {
        let outlook = state.demand.outlook(lead_time(input.terms), input.now);
        OwnNeed::of(&outlook, input.terms, self.slots, need, self.centres.len())
    }

    fn hold_sizes(&mut self, sizes: &[CentreSize], now: MonoTime) -> Vec<CentreSize> {
        let centres = self.centres.iter_mut().zip(sizes);
        centres
            .map(|(state, size)| state.hold(*size, now))
            .collect()
    }

    fn orders(
        &self,
        input: &ScaleInput<'_>,
        need: &FleetNeed,
        sizes: &[CentreSize],
        held: &[CentreSize],
        permits: OrderPermits,
    ) -> Vec<ScaleOrder> {
        let now = input.now;
        let is_calm = self.grown_at.is_none_or(|at| now.since(at) >= CALM_TIME);
        let centres = self.centres.iter().zip(sizes).zip(held);
        let mut contexts: Vec<OrderContext<'_>> = centres
            .map(|((state, size), held)| OrderContext {
                centre: &state.view,
                normal: &state.normal,
                preemptible: &state.preemptible,
                terms: input.terms,
                size: *size,
                held: *held,
                own_need: self.own_need(state, input, need),
                is_short: false,
                may_order_preemptible: state.may_order_preemptible(input.terms, now),
                may_shrink: permits.shrink && state.view.is_heard,
                spare: 0,
                may_replace: permits.replace && is_calm,
                replaced: state.replaced,
                shrunk_at: state.shrunk_at,
                is_lost: state.is_lost(input.terms, now),
                now,
            })
            .collect();
        let is_short = is_short(&contexts, need);
        let spares: Vec<u32> = (0..contexts.len())
            .map(|index| spare(&contexts, index, need))
            .collect();
        let mut given_back = 0;
        let mut orders = Vec::new();
        for (context, spare) in contexts.iter_mut().zip(spares) {
            context.is_short = is_short;
            context.spare = spare.saturating_sub(given_back);
            let centre = CentreOrders::of(context);
            given_back += centre.given_back(context);
            orders.extend(centre.into_orders());
        }
        orders.sort_by_key(|order| order.reason);
        orders
    }
}

/// Which orders for fewer backend servers may be given.
#[derive(Debug, Clone, Copy)]
struct OrderPermits {
    /// Whether the number may be lowered.
    shrink: bool,
    /// Whether normal ones may be replaced by as many preemptible ones.
    replace: bool,
}

/// Returns the time after which a backend server serves that the next plan orders.
fn lead_time(terms: &ScaleTerms) -> Span {
    terms.startup + PLAN_INTERVAL
}

/// Returns whether all data centres together have too few, or would after the loss of one.
///
/// As long as they have enough, nothing is ordered when the plan only moves from one data centre to another.
fn is_short(contexts: &[OrderContext<'_>], need: &FleetNeed) -> bool {
    let usable = contexts.iter().map(OrderContext::usable);
    let total: u32 = usable.clone().sum();
    let largest = usable.max().unwrap_or(0);
    let survives = contexts.len() < 2 || total - largest >= need.surviving;
    total < need.total || !survives
}

/// Returns how many backend servers one data centre may give back, so that all together have as many as were
/// needed lately, and enough after the loss of any other one.
fn spare(contexts: &[OrderContext<'_>], index: usize, need: &FleetNeed) -> u32 {
    let serving: u32 = contexts.iter().map(OrderContext::serving).sum();
    let held: u32 = contexts.iter().map(|context| context.held.total).sum();
    let others = contexts
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index);
    let after_loss = others.map(|(_, context)| serving - context.serving());
    let least_left = after_loss.min().unwrap_or(u32::MAX);
    serving
        .saturating_sub(held)
        .min(least_left.saturating_sub(need.surviving))
}

impl ScaleReason {
    /// Returns the reason as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Need => "need",
            Self::Surplus => "surplus",
            Self::Price => "price",
            Self::Missing => "missing",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

impl ServerKind {
    /// Returns the kind as it is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Preemptible => "preemptible",
        }
    }
}
