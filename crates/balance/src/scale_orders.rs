//! The orders that bring one data centre from what was ordered to what is planned.
//!
//! There are two kinds of backend servers, normal and preemptible ones. Each order alone keeps the sum of both
//! within the bounds, whatever became of the orders whose outcome is not known (docs/design/scaling.md).

use std::sync::Arc;

use oleander_base::prelude::*;

use crate::scale_planner::{ScaleOrder, ScaleReason, ServerKind};
use crate::scale_size::{CentreSize, OwnNeed, ScaleTerms};
use crate::scale_subject::OrderState;
use crate::scale_view::CentreView;

/// The least time between two orders that give backend servers back, so that the load reports show the
/// effect of the first one.
const SHRINK_INTERVAL: Span = Span::from_secs(4);

/// The divisor of a data centre's backend servers that gives the greatest number which one order gives back.
const SHRINK_DIVISOR: u32 = 8;

/// The divisor of the planned size that gives the smallest surplus which is given back. With less, each jitter
/// of the demand would cause an order, and what the backend servers have cached would be lost.
const SURPLUS_DIVISOR: u32 = 10;

/// The time after which missing backend servers are not expected to come back by themselves.
const LOST_AFTER: Span = Span::from_secs(30);

/// How long preemptible backend servers are expected to stay where none were taken away lately.
const EXPECTED_STAY_S: f64 = 60.0;

/// The cost of the prompts that have to be read again when a backend server is replaced, in seconds of a
/// normal backend server.
const REREAD_COST_S: f64 = 10.0;

/// What the orders for one data centre depend on.
#[derive(Debug)]
pub(crate) struct OrderContext<'a> {
    pub(crate) centre: &'a CentreView,
    pub(crate) normal: &'a OrderState,
    pub(crate) preemptible: &'a OrderState,
    pub(crate) terms: &'a ScaleTerms,
    /// The size that the demand needs now.
    pub(crate) size: CentreSize,
    /// The number that the data centre's own requests need.
    pub(crate) own_need: OwnNeed,
    /// Whether all data centres together have too few.
    pub(crate) is_short: bool,
    /// The largest size of the hold time, below which nothing is given back.
    pub(crate) held: CentreSize,
    pub(crate) may_order_preemptible: bool,
    pub(crate) may_shrink: bool,
    /// The most that may be given back here for the sake of all data centres together.
    pub(crate) spare: u32,
    /// Whether preemptible backend servers may replace normal ones now, which needs no demand to be known.
    pub(crate) may_replace: bool,
    /// The normal ones for which preemptible ones were ordered and that were not given back yet.
    pub(crate) replaced: u32,
    pub(crate) shrunk_at: MonoTime,
    /// Whether most backend servers there are lost.
    pub(crate) is_lost: bool,
    pub(crate) now: MonoTime,
}

/// The orders for one data centre, at most one of each kind.
#[derive(Debug, Default)]
pub(crate) struct CentreOrders {
    normal: Option<ScaleOrder>,
    preemptible: Option<ScaleOrder>,
}

impl CentreOrders {
    /// Returns the orders to send now: those for more come first, as a caller who waits is worse than an idle
    /// backend server, and those that only lower the price last.
    pub(crate) fn of(context: &OrderContext<'_>) -> Self {
        let grown = context.grow();
        if !grown.is_empty() {
            return context.filter_sendable(grown);
        }
        let repeated = context.repeat();
        if !repeated.is_empty() {
            return context.filter_sendable(repeated);
        }
        let shrunk = context.filter_sendable(context.shrink());
        if !shrunk.is_empty() {
            return shrunk;
        }
        context.filter_sendable(context.swap())
    }

    fn is_empty(&self) -> bool {
        self.normal.is_none() && self.preemptible.is_none()
    }

    /// Returns how many backend servers the orders give back.
    pub(crate) fn given_back(&self, context: &OrderContext<'_>) -> u32 {
        let fewer = |order: &Option<ScaleOrder>, serving: u32| {
            (order.as_ref()).map_or(0, |order| serving.saturating_sub(order.count))
        };
        let view = context.centre;
        fewer(&self.normal, view.normal.serving)
            + fewer(&self.preemptible, view.preemptible.serving)
    }

    pub(crate) fn into_orders(self) -> impl Iterator<Item = ScaleOrder> {
        self.normal.into_iter().chain(self.preemptible)
    }
}

impl OrderContext<'_> {
    /// Returns the orders for more backend servers.
    ///
    /// Those that are missing are ordered in addition, since it is not known whether the provider
    /// counts them.
    fn grow(&self) -> CentreOrders {
        let preemptible = self.usable_preemptible();
        let normal = self.usable_normal();
        let is_small = normal + preemptible < self.size.total;
        let needs_total =
            is_small && (self.is_short || normal + preemptible < self.own_need.present);
        // A plan that is one larger may come from rounding alone.
        let needs_normal = normal + 1 < self.size.normal;
        if !needs_total && !needs_normal {
            return CentreOrders::default();
        }
        let rest = self.size.total.saturating_sub(preemptible);
        let wanted = normal.max(self.size.normal);
        let may_add_preemptible = self.may_order_preemptible && self.normal.is_confirmed();
        let wanted = if may_add_preemptible {
            wanted
        } else {
            wanted.max(rest)
        };
        let missing = self.normal.least().saturating_sub(normal);
        let new_normal = wanted + missing;
        let max_count = self.terms.max_count;
        let room = max_count.saturating_sub(self.preemptible.greatest());
        if new_normal > room && self.preemptible.least() > preemptible {
            // Preemptible ones that were taken away count towards the bound until fewer are ordered.
            return CentreOrders {
                normal: None,
                preemptible: Some(self.preemptible_order(preemptible, ScaleReason::Need)),
            };
        }
        let new_normal = new_normal.min(room);
        let normal_bound = new_normal.max(self.normal.greatest());
        let missing = self.preemptible.least().saturating_sub(preemptible);
        let new_preemptible = (self.size.total.saturating_sub(wanted) + missing)
            .min(max_count.saturating_sub(normal_bound));
        let adds_normal = wanted > normal && new_normal > self.normal.least();
        let adds_preemptible = may_add_preemptible
            && new_preemptible > self.preemptible.least()
            && self.size.total > wanted + preemptible;
        CentreOrders {
            normal: adds_normal.then(|| self.normal_order(new_normal, ScaleReason::Need)),
            preemptible: adds_preemptible
                .then(|| self.preemptible_order(new_preemptible, ScaleReason::Need)),
        }
    }

    /// Returns the orders that are sent again, because their outcome is not known or they had no effect.
    fn repeat(&self) -> CentreOrders {
        let (normal, preemptible) = (self.normal, self.preemptible);
        let view = self.centre;
        let max_count = self.terms.max_count;
        let limit = max_count.saturating_sub(preemptible.greatest());
        let repeated = self.repeated(normal, view.normal.serving);
        let normal_order = repeated.map(|(count, reason)| (count.min(limit), reason));
        let limit = max_count.saturating_sub(normal.greatest());
        let repeated = self.repeated(preemptible, view.preemptible.serving);
        let repeated = repeated.filter(|(_, reason)| {
            *reason == ScaleReason::Unconfirmed || self.may_order_preemptible
        });
        let preemptible_order = repeated.map(|(count, reason)| (count.min(limit), reason));
        CentreOrders {
            normal: normal_order.map(|(count, reason)| self.normal_order(count, reason)),
            preemptible: preemptible_order
                .map(|(count, reason)| self.preemptible_order(count, reason)),
        }
    }

    /// Returns the number of the order for one kind that is to be repeated, and why. A repeated order for fewer
    /// gives back no more than a new one would, since more backend servers may serve by now.
    fn repeated(&self, state: &OrderState, serving: u32) -> Option<(u32, ScaleReason)> {
        if let Some(count) = state.unconfirmed() {
            let is_lower = count < state.greatest();
            let step = serving.div_ceil(SHRINK_DIVISOR).min(self.spare);
            let count = count.max(serving.saturating_sub(step));
            return (self.may_shrink || !is_lower).then_some((count, ScaleReason::Unconfirmed));
        }
        let is_due = state.is_repeat_due(self.terms.startup, self.now);
        (is_due && self.is_lost).then_some((state.least(), ScaleReason::Missing))
    }

    /// Returns the order that gives backend servers back.
    ///
    /// The provider chooses which ones. If it counts those that are missing, it may take away only ones that serve,
    /// so as many as are missing are kept in addition.
    fn shrink(&self) -> CentreOrders {
        let is_due = self.now.since(self.shrunk_at) >= SHRINK_INTERVAL;
        let is_settled = self.normal.unconfirmed().is_none();
        let replaced = if self.may_replace { self.replaced } else { 0 };
        let may_shrink = (self.may_shrink && is_due) || replaced > 0;
        if !may_shrink || !is_settled {
            return CentreOrders::default();
        }
        let normal = self.centre.normal.serving;
        let preemptible = self.centre.preemptible.serving;
        let surplus = (normal + preemptible).saturating_sub(self.held.total);
        if surplus < least_surplus(self.held.total) {
            return CentreOrders::default();
        }
        let usual_step = match self.may_shrink && is_due {
            true => (normal + preemptible)
                .div_ceil(SHRINK_DIVISOR)
                .min(self.spare),
            false => 0,
        };
        let step = surplus.min(usual_step.max(replaced));
        let planned = self.held.total.saturating_sub(preemptible);
        let bound = (self.terms.min_count).saturating_sub(self.preemptible.least());
        let new_normal = normal
            .saturating_sub(step)
            .max(planned.max(self.held.normal) + self.returning_normal())
            .max(bound);
        let room = (self.terms.max_count).saturating_sub(self.preemptible.greatest());
        if new_normal < normal && new_normal <= room {
            return CentreOrders {
                normal: Some(self.normal_order(new_normal, ScaleReason::Surplus)),
                preemptible: None,
            };
        }
        if !self.may_shrink {
            return CentreOrders::default();
        }
        self.shrink_preemptible(step)
    }

    fn shrink_preemptible(&self, step: u32) -> CentreOrders {
        let ordered = self.preemptible.least();
        let is_settled = self.preemptible.unconfirmed().is_none();
        let bound = (self.terms.min_count).saturating_sub(self.normal.least());
        let count = ordered.saturating_sub(step).max(bound);
        CentreOrders {
            normal: None,
            preemptible: (is_settled && count < ordered)
                .then(|| self.preemptible_order(count, ScaleReason::Surplus)),
        }
    }

    /// Returns the order for preemptible backend servers that are to replace normal ones, if they save more than
    /// the replacement costs.
    ///
    /// Both kinds serve until the new ones do; after that the normal ones are a surplus.
    fn swap(&self) -> CentreOrders {
        let Some(share) = self.terms.preemptible_price else {
            return CentreOrders::default();
        };
        let overlap = self.terms.startup + SHRINK_INTERVAL;
        let cost = overlap.as_secs_f64() * share + REREAD_COST_S;
        let pays = EXPECTED_STAY_S * (1.0 - share) > cost;
        let present = self.usable_preemptible();
        let is_settled =
            self.preemptible.unconfirmed().is_none() && self.centre.preemptible.serving >= present;
        let replaceable = self.normal.least().saturating_sub(self.held.normal);
        if !self.may_replace || !self.may_order_preemptible || !pays || !is_settled {
            return CentreOrders::default();
        }
        let planned = self.size.total.saturating_sub(self.size.normal);
        let bound = (self.terms.max_count).saturating_sub(self.normal.greatest());
        let count = planned.min(present + replaceable).min(bound);
        let is_worth = count >= present + least_surplus(self.held.total);
        if is_worth && !self.normal.is_confirmed() {
            // The bounds hold for both kinds together. The provider may count normal ones that cannot be reached
            // now, so their number is ordered first.
            let normal = self.normal.least();
            return CentreOrders {
                normal: Some(self.normal_order(normal, ScaleReason::Price)),
                preemptible: None,
            };
        }
        CentreOrders {
            normal: None,
            preemptible: is_worth.then(|| self.preemptible_order(count, ScaleReason::Price)),
        }
    }

    /// Returns the backend servers that take requests.
    pub(crate) fn serving(&self) -> u32 {
        self.centre.normal.serving + self.centre.preemptible.serving
    }

    /// Returns the backend servers that serve or are expected to.
    pub(crate) fn usable(&self) -> u32 {
        self.usable_normal() + self.usable_preemptible()
    }

    /// Returns the preemptible backend servers that serve or are expected to.
    fn usable_preemptible(&self) -> u32 {
        let ordered = self.preemptible.least();
        let missing = self.preemptible.missing_for(self.terms.startup, self.now);
        let is_draining = self.centre.preemptible.draining > 0;
        if missing.is_some() || is_draining || !self.may_order_preemptible {
            self.centre.preemptible.serving.min(ordered)
        } else {
            ordered
        }
    }

    /// Returns the normal backend servers that do not serve and are expected to come back.
    fn returning_normal(&self) -> u32 {
        let missing = self.normal.missing_for(self.terms.startup, self.now);
        if missing.is_some_and(|missing| missing >= LOST_AFTER) {
            return 0;
        }
        (self.normal.least()).saturating_sub(self.centre.normal.serving)
    }

    /// Returns the normal backend servers that serve or are expected to.
    fn usable_normal(&self) -> u32 {
        let ordered = self.normal.least();
        let missing = self.normal.missing_for(self.terms.startup, self.now);
        if missing.is_some() {
            self.centre.normal.serving.min(ordered)
        } else {
            ordered
        }
    }

    fn filter_sendable(&self, orders: CentreOrders) -> CentreOrders {
        CentreOrders {
            normal: orders.normal.filter(|_| self.normal.may_send(self.now)),
            preemptible: orders
                .preemptible
                .filter(|_| self.preemptible.may_send(self.now)),
        }
    }

    fn normal_order(&self, count: u32, reason: ScaleReason) -> ScaleOrder {
        self.order(ServerKind::Normal, count, reason)
    }

    fn preemptible_order(&self, count: u32, reason: ScaleReason) -> ScaleOrder {
        self.order(ServerKind::Preemptible, count, reason)
    }

    fn order(&self, kind: ServerKind, count: u32, reason: ScaleReason) -> ScaleOrder {
        ScaleOrder {
            centre: Arc::clone(&self.centre.centre),
            kind,
            count,
            reason,
        }
    }
}

/// Returns the smallest surplus over a planned size that is given back. A surplus of one is kept unless the
/// size is very small, since rounding alone may make it needed again.
fn least_surplus(planned: u32) -> u32 {
    let least = if planned < 3 { 1 } else { 2 };
    planned.div_ceil(SURPLUS_DIVISOR).max(least)
}
