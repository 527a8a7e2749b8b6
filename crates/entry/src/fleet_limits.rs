//! Divides the customers' limits among the entry VMs.
//!
//! Every VM sends the others the demand of its limited customers, and each computes the same split
//! from all the demand that it knows. A message lists only customers with a limit and with traffic.
//! The allotments sum to at most the limit while all VMs know the same members and the same demand.
//! Otherwise the sum may exceed the limit until the next message arrives, and for as long as a
//! partition lasts, since each side divides the whole limit among its own members.

use bytes::Bytes;
use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_decide::{CustomerAllotment, InstanceDemand, InstanceShare, split_rate, split_slots};
use oleander_records::{CustomerRecord, RecordSet};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::limits::{CustomerLimits, CustomerUsage};

/// Time after which the demand last received from a VM counts as zero.
const DEMAND_EXPIRY: Span = Span::from_secs(3);

/// The demand of one customer at one entry VM, as sent between VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DemandLine {
    /// The customer.
    pub customer: CustomerId,
    /// Requests per second.
    pub rate: f32,
    /// Concurrent requests.
    pub concurrency: u32,
}

#[derive(Debug)]
struct ReceivedDemand {
    lines: FastMap<CustomerId, DemandLine>,
    received: MonoTime,
}

/// The latest demand of all entry VMs.
#[derive(Debug, Default)]
pub struct FleetLimits {
    seen: Mutex<FastMap<InstanceId, ReceivedDemand>>,
}

impl FleetLimits {
    /// Stores the demand that another entry VM sent.
    pub fn on_message(&self, from: InstanceId, bytes: &[u8]) {
        if let Ok(lines) = postcard::from_bytes::<Vec<DemandLine>>(bytes) {
            self.record_demand(from, &lines);
        }
    }

    /// Encodes this VM's demand for the other entry VMs.
    pub fn encode(lines: &[DemandLine]) -> Bytes {
        postcard::to_allocvec(lines)
            .map(Bytes::from)
            .unwrap_or_default()
    }

    /// Stores the demand of limited customers at this VM, and returns it for the other VMs.
    pub fn own_demand(
        &self,
        me: InstanceId,
        usages: &[CustomerUsage],
        records: &RecordSet,
    ) -> Vec<DemandLine> {
        let limited = |usage: &&CustomerUsage| {
            let record = records.customers.get(&usage.customer);
            record.is_some_and(has_limit)
        };
        let lines: Vec<DemandLine> = usages
            .iter()
            .filter(limited)
            .map(|usage| DemandLine {
                customer: usage.customer,
                rate: usage.demand.rate as f32,
                concurrency: usage.demand.concurrency,
            })
            .filter(|line| line.rate > 0.0 || line.concurrency > 0)
            .collect();
        self.record_demand(me, &lines);
        lines
    }

    /// Sets this VM's allotment of each customer's limits.
    pub fn divide(
        &self,
        me: InstanceId,
        live: &[InstanceId],
        records: &RecordSet,
        limits: &CustomerLimits,
    ) {
        let now = monotonic_now();
        let mut seen = self.seen.lock();
        seen.retain(|instance, demand| {
            now.since(demand.received) < DEMAND_EXPIRY && live.contains(instance)
        });
        for (customer, record) in &records.customers {
            let line = |instance: &InstanceId| seen.get(instance)?.lines.get(customer).copied();
            let demands = |amount: fn(DemandLine) -> f64| -> Vec<InstanceDemand> {
                let demand = |instance: &InstanceId| InstanceDemand {
                    instance: *instance,
                    demand: line(instance).map_or(0.0, amount),
                };
                live.iter().map(demand).collect()
            };
            let rates = || demands(|line| f64::from(line.rate));
            let slots = || demands(|line| f64::from(line.concurrency));
            let allotment = CustomerAllotment {
                rate: record
                    .rate_limit
                    .map(|limit| share_of(me, &split_rate(limit, &rates()))),
                concurrency: record
                    .concurrency_limit
                    .map(|limit| share_of(me, &split_slots(limit, &slots())) as u32),
            };
            limits.set_allotment(*customer, allotment, now);
        }
    }

    fn record_demand(&self, from: InstanceId, lines: &[DemandLine]) {
        let lines = lines.iter().map(|line| (line.customer, *line)).collect();
        let demand = ReceivedDemand {
            lines,
            received: monotonic_now(),
        };
        self.seen.lock().insert(from, demand);
    }
}

fn has_limit(record: &CustomerRecord) -> bool {
    record.rate_limit.is_some() || record.concurrency_limit.is_some()
}

fn share_of(me: InstanceId, shares: &[InstanceShare]) -> f64 {
    shares
        .iter()
        .find(|share| share.instance == me)
        .map_or(0.0, |share| share.share)
}
