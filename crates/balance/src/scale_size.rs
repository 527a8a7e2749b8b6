//! How many backend servers a service needs, and in which data centres.
//!
//! The number covers the forecast demand, a burst, which cannot be forecast, and the loss of one data
//! centre. What is needed beyond each data centre's own requests goes where it is cheapest.

use oleander_base::prelude::*;

use crate::scale_demand::DemandOutlook;

/// The greatest demand of a burst as a multiple of the steady demand. A burst of 3 s is over before a new
/// backend server serves, so the capacity for it has to be there already.
const BURST_FACTOR: f64 = 2.8;

/// The share of the slots in use up to which a burst is served without queues; the rest stays free because
/// requests are spread unevenly over backend servers.
const BURST_FILL: f64 = 0.875;

/// The share of the number for bursts that may be missing before more are ordered, so that the jitter of the
/// load reports does not cause orders.
const BURST_SLACK: f64 = 0.05;

/// The share of the slots that may be in use by the steady demand of a service with routes that want their
/// first event soon, or short pauses. A prompt that is read delays the streams beside it, and with more
/// streams there are more such prompts.
const URGENT_FILL: f64 = 0.6;

/// The same for services with other routes only.
const PATIENT_FILL: f64 = 0.75;

/// The time to the first event, or the pause limit, below which a route counts as urgent.
const URGENT_TARGET: Span = Span::from_millis(500);

/// Two thirds of the backend servers of a data centre may be preemptible before the demand is known. Their
/// loss is smaller than that of the whole data centre, for which the fleet has room.
const PREEMPTIBLE_NUMERATOR: u32 = 2;
const PREEMPTIBLE_DENOMINATOR: u32 = 3;

/// The bounds, in backend servers, and prices within which a service is scaled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScaleTerms {
    /// The least number in one data centre.
    pub min_count: u32,
    /// The greatest number in one data centre.
    pub max_count: u32,
    /// The time after which an ordered backend server serves.
    pub startup: Span,
    /// The price of a preemptible backend server as a share of the price of another one; absent
    /// if there are none.
    pub preemptible_price: Option<f64>,
    /// The share of the slots that the steady demand may use without making callers wait.
    pub serve_fill: f64,
}

/// Returns the share of the slots that may be in use, by the routes' shortest time to the first
/// event and shortest limit of pauses.
pub fn serve_fill(first_target: Span, pause_limit: Option<Span>) -> f64 {
    let pause_limit = pause_limit.unwrap_or(first_target);
    if first_target.min(pause_limit) < URGENT_TARGET {
        URGENT_FILL
    } else {
        PATIENT_FILL
    }
}

/// How many backend servers a service needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetNeed {
    /// In all data centres together.
    pub total: u32,
    /// After the loss of any one data centre.
    pub surviving: u32,
    /// After the loss of all preemptible ones.
    pub normal: u32,
    /// The most preemptible ones in one data centre: their loss leaves a slot for each request of a burst.
    pub reclaimable: u32,
}

impl FleetNeed {
    /// Returns the need at a demand; `serving` backend servers take requests now.
    pub fn of(outlook: &DemandOutlook, terms: &ScaleTerms, slots: f64, serving: u32) -> Self {
        let slots = slots.max(1.0);
        let usual_burst = outlook.steady * BURST_FACTOR;
        // A forecast above a usual burst is not believed before the demand is that high.
        let ahead = outlook.ahead.min(outlook.present.max(usual_burst));
        let burst = usual_burst / BURST_FILL;
        let available = f64::from(serving) * slots;
        let has_reserve = available >= burst * (1.0 - BURST_SLACK);
        let burst = if has_reserve {
            burst.min(available)
        } else {
            burst
        };
        let lasting = servers(outlook.steady / terms.serve_fill, slots);
        let total = servers((ahead / BURST_FILL).max(burst), slots).max(lasting);
        Self {
            total,
            surviving: lasting,
            normal: lasting,
            reclaimable: total.saturating_sub(servers(usual_burst, slots)),
        }
    }
}

/// Returns how many backend servers have slots for a number of requests.
fn servers(requests: f64, slots: f64) -> u32 {
    (requests / slots).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// The backend servers that the requests of one data centre need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnNeed {
    /// Those of its steady demand.
    pub lasting: u32,
    /// Those of its present demand, which may be a burst.
    pub present: u32,
}

impl OwnNeed {
    /// Returns the need of one of `centres` data centres of a service that needs `need`.
    ///
    /// Requests follow backend servers, so a data centre that has fewer of them seems to need fewer. Half of
    /// an even share is therefore kept in each, so that it does not shrink step by step.
    pub(crate) fn of(
        outlook: &DemandOutlook,
        terms: &ScaleTerms,
        slots: f64,
        need: &FleetNeed,
        centres: usize,
    ) -> Self {
        let slots = slots.max(1.0);
        let even = need.normal / u32::try_from(centres).unwrap_or(u32::MAX).max(1);
        let lasting = servers(outlook.steady / terms.serve_fill, slots).max(even / 2);
        let present = servers(outlook.present / BURST_FILL, slots);
        Self {
            lasting,
            present: present.max(lasting),
        }
    }
}

/// What bounds the number of backend servers in one data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CentreBounds {
    /// The number that the requests which run there need.
    pub own_need: OwnNeed,
    /// The least number.
    pub min: u32,
    /// The greatest number. It is less than that of the manifest where the provider has no more available or
    /// the data centre is lost.
    pub max: u32,
    /// The greatest number of normal ones.
    pub max_normal: u32,
    /// The greatest number of preemptible ones.
    pub max_preemptible: u32,
    /// The price of a second of a backend server.
    pub price: f64,
}

/// How many backend servers one data centre should have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CentreSize {
    /// Normal and preemptible ones together.
    pub total: u32,
    /// Normal ones.
    pub normal: u32,
}

/// Divides the backend servers that a service needs over its data centres.
///
/// Normal ones cover the lasting demand. The rest, which only bursts and losses need, is
/// preemptible as far as possible, evenly over the data centres, since all preemptible ones of one data
/// centre may be taken away at once.
pub fn size_centres(need: &FleetNeed, centres: &[CentreBounds]) -> Vec<CentreSize> {
    let mut normals: Vec<u32> = centres.iter().map(CentreBounds::own_normal).collect();
    let limits: Vec<u32> = centres.iter().map(|bounds| bounds.max_normal).collect();
    add_cheapest(need.normal, centres, &limits, &mut normals);
    let mut totals: Vec<u32> = (centres.iter().zip(&normals))
        .map(|(bounds, normal)| bounds.own_total(*normal))
        .collect();
    let limits: Vec<u32> = (centres.iter().zip(&normals))
        .map(|(bounds, normal)| bounds.preemptible_limit(*normal, need.reclaimable))
        .collect();
    add_evenly(need.total, &normals, &limits, &mut totals);
    let limits: Vec<u32> = centres.iter().map(|bounds| bounds.max).collect();
    survive_losses(need.surviving, centres, &limits, &mut totals);
    add_cheapest(need.total, centres, &limits, &mut totals);
    for (index, bounds) in centres.iter().enumerate() {
        let limit = bounds.preemptible_limit(normals[index], need.reclaimable);
        let preemptible = totals[index].min(limit).saturating_sub(normals[index]);
        normals[index] = totals[index] - preemptible;
    }
    let sizes = totals.into_iter().zip(normals);
    sizes
        .map(|(total, normal)| CentreSize { total, normal })
        .collect()
}

/// Returns the size of a data centre whose demand is not known yet: all that is there, with as many
/// preemptible ones as may be lost at once.
pub(crate) fn size_unknown(present: u32, bounds: &CentreBounds) -> CentreSize {
    let total = present.clamp(bounds.min, bounds.max.max(bounds.min));
    let preemptible = total * PREEMPTIBLE_NUMERATOR / PREEMPTIBLE_DENOMINATOR;
    let preemptible = preemptible.min(bounds.max_preemptible);
    CentreSize {
        total,
        normal: total - preemptible,
    }
}

impl CentreBounds {
    /// Returns the number of normal backend servers that its own requests need.
    fn own_normal(&self) -> u32 {
        let least = self.min.min(1);
        self.own_need
            .lasting
            .max(least)
            .min(self.max_normal)
            .min(self.max)
    }

    /// Returns the number of both kinds that its own requests need.
    fn own_total(&self, normal: u32) -> u32 {
        self.own_need
            .present
            .max(self.min)
            .min(self.max)
            .max(normal)
    }

    /// Returns the greatest number of both kinds as long as all above `normal` are preemptible.
    fn preemptible_limit(&self, normal: u32, reclaimable: u32) -> u32 {
        let preemptible = self.max_preemptible.min(reclaimable);
        normal.saturating_add(preemptible).min(self.max)
    }
}

/// Adds backend servers until enough are left whichever data centre is lost.
///
/// Only the data centres besides the largest one count for its loss, so the cheapest of these grow.
fn survive_losses(surviving: u32, centres: &[CentreBounds], limits: &[u32], totals: &mut [u32]) {
    if centres.len() < 2 {
        return;
    }
    loop {
        let sum: u32 = totals.iter().sum();
        let Some(largest) = largest_index(totals) else {
            return;
        };
        if sum - totals[largest] >= surviving {
            return;
        }
        let Some(index) = cheapest_open(centres, limits, totals, Some(largest)) else {
            return;
        };
        totals[index] += 1;
    }
}

/// Adds backend servers where they are cheapest until there are `wanted` in all; data centres of
/// equal price grow evenly.
fn add_cheapest(wanted: u32, centres: &[CentreBounds], limits: &[u32], totals: &mut [u32]) {
    let sum: u32 = totals.iter().sum();
    for _ in sum..wanted {
        let Some(index) = cheapest_open(centres, limits, totals, None) else {
            return;
        };
        totals[index] += 1;
    }
}

/// Adds backend servers until there are `wanted` in all, so that each data centre gets as many over
/// `base` as the others.
fn add_evenly(wanted: u32, base: &[u32], limits: &[u32], totals: &mut [u32]) {
    let sum: u32 = totals.iter().sum();
    for _ in sum..wanted {
        let is_open = |index: &usize| totals[*index] < limits[*index];
        let open = (0..totals.len()).filter(is_open);
        let Some(index) = open.min_by_key(|index| totals[*index].saturating_sub(base[*index]))
        else {
            return;
        };
        totals[index] += 1;
    }
}

/// Returns the largest data centre, the first of equal ones.
fn largest_index(totals: &[u32]) -> Option<usize> {
    (0..totals.len()).max_by_key(|index| (totals[*index], usize::MAX - index))
}

/// Returns the cheapest data centre that may have more, the smallest of equal ones.
fn cheapest_open(
    centres: &[CentreBounds],
    limits: &[u32],
    totals: &[u32],
    excluded: Option<usize>,
) -> Option<usize> {
    let is_open = |index: &usize| Some(*index) != excluded && totals[*index] < limits[*index];
    (0..centres.len()).filter(is_open).min_by(|a, b| {
        let by_price = centres[*a].price.total_cmp(&centres[*b].price);
        by_price.then(totals[*a].cmp(&totals[*b]))
    })
}
