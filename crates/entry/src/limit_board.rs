//! How the customers' limits are divided among the entry VMs.
//!
//! Every VM tells the others which limited customers it serves and how much they ask for; each
//! computes its own part from what it knows of all. Only customers with a limit and with traffic
//! appear in a message. The parts add up to the limit when all VMs know the same demand; while
//! they don't, the sum may exceed it for as long as a message takes.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_records::{CustomerRecord, RecordSet};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::limits::{LimitDesk, LimitPart, LimitUse};

/// A VM that says nothing for so long asks for nothing.
const DEMAND_LIFE: Span = Span::from_secs(3);
/// The share of a limit that is spread evenly, so that a VM without demand can begin.
const EVEN_SHARE: f64 = 0.2;

/// The demand of one customer at one entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CustomerDemand {
    /// The customer.
    pub customer: CustomerId,
    /// Requests in progress and arrivals of the last period.
    pub amount: u32,
}

#[derive(Debug, Default)]
struct BoardState {
    demand: FastMap<InstanceId, FastMap<CustomerId, u32>>,
    seen: FastMap<InstanceId, MonoTime>,
}

/// What is known of the demand at all entry VMs.
#[derive(Debug, Default)]
pub struct LimitBoard {
    state: Mutex<BoardState>,
}

impl LimitBoard {
    /// Takes in the demand at another entry VM.
    pub(crate) fn on_message(&self, from: InstanceId, bytes: &[u8]) {
        if let Ok(demand) = postcard::from_bytes::<Vec<CustomerDemand>>(bytes) {
            self.note(from, &demand);
        }
    }

    /// Returns the bytes that tell other entry VMs of the demand here.
    pub(crate) fn encode(demand: &[CustomerDemand]) -> Bytes {
        postcard::to_allocvec(demand)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Reads the demand of limited customers at this VM.
    pub(crate) fn own_demand(
        &self,
        me: InstanceId,
        uses: &[LimitUse],
        records: &RecordSet,
    ) -> Vec<CustomerDemand> {
        let is_limited =
            |customer: &CustomerId| records.customers.get(customer).is_some_and(has_limit);
        let demand: Vec<CustomerDemand> = uses
            .iter()
            .filter(|usage| is_limited(&usage.customer))
            .map(|usage| CustomerDemand {
                customer: usage.customer,
                amount: usage.running + usage.arrived,
            })
            .filter(|demand| demand.amount > 0)
            .collect();
        self.note(me, &demand);
        demand
    }

    /// Sets this VM's parts of all limits.
    pub(crate) fn divide(
        &self,
        me: InstanceId,
        live: &[InstanceId],
        records: &RecordSet,
        desk: &LimitDesk,
    ) {
        let now = monotonic_now();
        let mut state = self.state.lock();
        let BoardState { demand, seen } = &mut *state;
        seen.retain(|instance, seen| now.since(*seen) < DEMAND_LIFE && live.contains(instance));
        demand.retain(|instance, _| seen.contains_key(instance));
        for (customer, record) in records
            .customers
            .iter()
            .filter(|(_, record)| has_limit(record))
        {
            let total: u32 = demand
                .values()
                .filter_map(|demand| demand.get(customer))
                .sum();
            let own = demand
                .get(&me)
                .and_then(|demand| demand.get(customer))
                .copied()
                .unwrap_or(0);
            let part = own_part(own, total, live.len().max(1));
            desk.set_part(*customer, limit_part(record, part), now);
        }
    }

    fn note(&self, from: InstanceId, demand: &[CustomerDemand]) {
        let mut state = self.state.lock();
        let demand = demand
            .iter()
            .map(|demand| (demand.customer, demand.amount))
            .collect();
        state.demand.insert(from, demand);
        state.seen.insert(from, monotonic_now());
    }
}

fn has_limit(record: &CustomerRecord) -> bool {
    record.rate_limit.is_some() || record.concurrency_limit.is_some()
}

/// Returns this VM's share of a limit, 0 to 1.
fn own_part(own: u32, total: u32, live: usize) -> f64 {
    let even = 1.0 / live as f64;
    if total == 0 {
        return even;
    }
    EVEN_SHARE * even + (1.0 - EVEN_SHARE) * f64::from(own) / f64::from(total)
}

fn limit_part(record: &CustomerRecord, part: f64) -> LimitPart {
    LimitPart {
        rate: record.rate_limit.map(|rate| rate * part),
        concurrency: record
            .concurrency_limit
            .map(|limit| (f64::from(limit) * part).round().max(1.0) as u32),
    }
}
