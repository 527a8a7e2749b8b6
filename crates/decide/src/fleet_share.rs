//! The split of a customer's fleet-wide limit among the entry VMs.
//!
//! Each entry VM reports its demand. The split is max-min fair (Bertsekas and Gallager, "Data
//! Networks", section 6.5): small demands are met in full, the others share the remainder evenly,
//! and what is not demanded is spread evenly, so that an entry VM that gets its first request has a
//! share at once. The shares never sum to more than the limit.
//!
//! The split is a pure function of the list. For equal demands the order of the list does not
//! matter, except for whole slots, where the first entries get the remaining ones.

use oleander_base::prelude::*;

/// The demand of one entry VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceDemand {
    /// The entry VM.
    pub instance: InstanceId,
    /// Requests per second, or concurrent requests.
    pub demand: f64,
}

/// The share of a limit that one entry VM may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceShare {
    /// The entry VM.
    pub instance: InstanceId,
    /// Requests per second, or a whole number of concurrent requests.
    pub share: f64,
}

/// Splits a rate; the shares sum to at most the limit.
pub fn split_rate(limit: f64, demands: &[InstanceDemand]) -> Vec<InstanceShare> {
    let limit = limit.max(0.0);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].demand.total_cmp(&demands[*b].demand));
    let mut shares: Vec<InstanceShare> = demands
        .iter()
        .map(|demand| InstanceShare {
            instance: demand.instance,
            share: 0.0,
        })
        .collect();
    let mut left = limit;
    for (taken, index) in order.iter().enumerate() {
        let even = left / (order.len() - taken) as f64;
        let share = demands[*index].demand.max(0.0).min(even);
        shares[*index].share = share;
        left -= share;
    }
    let spare = left.max(0.0) / shares.len().max(1) as f64;
    for share in &mut shares {
        share.share += spare;
    }
    cap_sum(&mut shares, limit);
    shares
}

/// Splits a number of concurrent requests into whole shares, which sum to at most the limit.
pub fn split_slots(limit: u32, demands: &[InstanceDemand]) -> Vec<InstanceShare> {
    let exact = split_rate(f64::from(limit), demands);
    let mut shares: Vec<InstanceShare> = exact
        .iter()
        .map(|share| InstanceShare {
            instance: share.instance,
            share: share.share.floor(),
        })
        .collect();
    let whole: f64 = shares.iter().map(|share| share.share).sum();
    let mut remainder = (f64::from(limit) - whole).max(0.0) as usize;
    let mut order: Vec<usize> = (0..shares.len()).collect();
    let fraction = |index: &usize| exact[*index].share - shares[*index].share;
    let unmet = |index: &usize| demands[*index].demand > shares[*index].share;
    order.sort_by(|a, b| {
        let by_need = unmet(b).cmp(&unmet(a));
        by_need.then_with(|| fraction(b).total_cmp(&fraction(a)))
    });
    for index in order {
        if remainder == 0 {
            break;
        }
        shares[index].share += 1.0;
        remainder -= 1;
    }
    shares
}

/// Removes rounding errors from the last shares, so that the sum does not exceed the limit.
fn cap_sum(shares: &mut [InstanceShare], limit: f64) {
    let mut left = limit;
    for share in shares {
        share.share = share.share.min(left).max(0.0);
        left -= share.share;
    }
}
