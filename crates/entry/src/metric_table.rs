//! The metrics of an entry VM and the source of each value.
//!
//! Label values come from records, so their number is bounded by what operators create. Values by
//! customer and values by class are separate metrics, because their product would be thousands of
//! label sets in a large fleet. docs/METRICS.md lists the metrics.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;

use oleander_base::monotonic_now;
use oleander_base::prelude::*;
use oleander_operator::{MetricDescriptor, MetricKind, MetricLabel, MetricPoint, TrafficCount};
use oleander_peer::PeerEndpoint;

use crate::node::EntryNode;
use crate::operator_api::read_counter;

macro_rules! metric {
    ($kind:ident, $name:literal, $unit:literal, $description:literal) => {
        MetricDescriptor {
            name: $name,
            unit: $unit,
            description: $description,
            kind: MetricKind::$kind,
        }
    };
}

/// Every metric of an entry VM.
pub(crate) const METRICS: &[MetricDescriptor] = &[
    metric!(
        Counter,
        "oleander.class.requests",
        "{request}",
        "Requests by class and outcome"
    ),
    metric!(
        Counter,
        "oleander.class.on_time",
        "{request}",
        "Whole answers within the class's targets"
    ),
    metric!(
        Counter,
        "oleander.class.goodput",
        "1",
        "Completed requests by the class's weight"
    ),
    metric!(
        Counter,
        "oleander.class.tokens",
        "{token}",
        "Generated tokens by class and use"
    ),
    metric!(
        Counter,
        "oleander.customer.requests",
        "{request}",
        "Requests by customer and outcome"
    ),
    metric!(
        Gauge,
        "oleander.desk.pending",
        "{request}",
        "Requests of this entry VM that wait for a slot"
    ),
    metric!(
        Gauge,
        "oleander.desk.held",
        "{request}",
        "Requests of this entry VM at backend servers"
    ),
    metric!(
        Gauge,
        "oleander.answers.kept",
        "{answer}",
        "Answers in progress or kept for a reconnect"
    ),
    metric!(
        Gauge,
        "oleander.pool.queued",
        "{request}",
        "Tickets that wait in pools dispatched here, by tier"
    ),
    metric!(
        Gauge,
        "oleander.pool.slots",
        "{slot}",
        "Slots of pools dispatched here, by use"
    ),
    metric!(
        Gauge,
        "oleander.records.revision",
        "1",
        "The newest record revision in force"
    ),
    metric!(
        Gauge,
        "oleander.fleet.members",
        "{instance}",
        "Entry VMs by state"
    ),
    metric!(
        Counter,
        "oleander.process.events",
        "{event}",
        "Retries, resumes and other events of this process"
    ),
    metric!(
        Counter,
        "oleander.peers.bytes",
        "By",
        "Bytes between entry VMs by direction"
    ),
];

/// Returns the current data points of one metric.
pub(crate) fn metric_points(
    node: &EntryNode,
    peers: &PeerEndpoint,
    name: &str,
) -> Vec<MetricPoint> {
    match name {
        "oleander.class.requests" => by_class(node, outcomes),
        "oleander.class.on_time" => by_class(node, |count| vec![("", count.on_time as f64)]),
        "oleander.class.goodput" => by_class(node, |count| vec![("", count.goodput)]),
        "oleander.class.tokens" => by_class(node, token_uses),
        "oleander.customer.requests" => by_customer(node),
        "oleander.desk.pending" => one(node.tickets.count().pending as f64),
        "oleander.desk.held" => one(node.tickets.count().held as f64),
        "oleander.answers.kept" => one(node.answers.len() as f64),
        "oleander.pool.queued" => queued(node),
        "oleander.pool.slots" => slots(node),
        "oleander.records.revision" => one(node.view().records.revision.0 as f64),
        "oleander.fleet.members" => members(peers),
        "oleander.process.events" => process_events(node),
        "oleander.peers.bytes" => peer_bytes(peers),
        _ => Vec::new(),
    }
}

fn one(value: f64) -> Vec<MetricPoint> {
    vec![MetricPoint {
        labels: Vec::new(),
        value,
    }]
}

fn label(name: &'static str, value: impl Into<String>) -> MetricLabel {
    MetricLabel {
        name,
        value: value.into(),
    }
}

fn outcomes(count: &TrafficCount) -> Vec<(&'static str, f64)> {
    vec![
        ("accepted", count.accepted as f64),
        ("whole", count.whole as f64),
        ("shed", count.shed as f64),
        ("over-limit", count.over_limit as f64),
        ("failed", count.failed as f64),
        ("cancelled", count.cancelled as f64),
    ]
}

fn token_uses(count: &TrafficCount) -> Vec<(&'static str, f64)> {
    vec![
        ("useful", count.useful_tokens as f64),
        ("wasted", count.wasted_tokens as f64),
    ]
}

fn by_class(
    node: &EntryNode,
    figures: impl Fn(&TrafficCount) -> Vec<(&'static str, f64)>,
) -> Vec<MetricPoint> {
    let mut totals: BTreeMap<ClassId, TrafficCount> = BTreeMap::new();
    for line in node.counters.lines() {
        totals.entry(line.key.class).or_default().add(&line.count);
    }
    let view = node.view();
    let name = |class: &ClassId| {
        view.records
            .classes
            .get(class)
            .map(|record| record.name.clone())
    };
    let mut points = Vec::new();
    for (class, count) in &totals {
        let class = name(class).unwrap_or_else(|| class.to_string());
        for (kind, value) in figures(count) {
            let mut labels = vec![label("class", class.clone())];
            if !kind.is_empty() {
                labels.push(label("kind", kind));
            }
            points.push(MetricPoint { labels, value });
        }
    }
    points
}

fn by_customer(node: &EntryNode) -> Vec<MetricPoint> {
    let mut totals: BTreeMap<CustomerId, TrafficCount> = BTreeMap::new();
    for line in node.counters.lines() {
        totals
            .entry(line.key.customer)
            .or_default()
            .add(&line.count);
    }
    let view = node.view();
    let mut points = Vec::new();
    for (customer, count) in &totals {
        let record = view.records.customers.get(customer);
        let name = record.map_or_else(|| customer.to_string(), |record| record.name.clone());
        for (kind, value) in outcomes(count) {
            let labels = vec![label("customer", name.clone()), label("kind", kind)];
            points.push(MetricPoint { labels, value });
        }
    }
    points
}

fn queued(node: &EntryNode) -> Vec<MetricPoint> {
    let mut points = Vec::new();
    for status in node.dispatchers.summaries(monotonic_now()) {
        for tier in &status.summary.tiers {
            let labels = vec![
                label("pool", status.id.to_string()),
                label("tier", tier.tier.to_string()),
            ];
            points.push(MetricPoint {
                labels,
                value: f64::from(tier.queued),
            });
        }
    }
    points
}

fn slots(node: &EntryNode) -> Vec<MetricPoint> {
    let mut points = Vec::new();
    for status in node.dispatchers.summaries(monotonic_now()) {
        let uses = [
            ("used", status.summary.slots_used),
            ("total", status.summary.slots_total),
        ];
        for (kind, value) in uses {
            let labels = vec![label("pool", status.id.to_string()), label("kind", kind)];
            points.push(MetricPoint {
                labels,
                value: f64::from(value),
            });
        }
    }
    points
}

fn members(peers: &PeerEndpoint) -> Vec<MetricPoint> {
    let mut states: BTreeMap<&'static str, u32> = BTreeMap::new();
    for member in peers.members().members.values() {
        *states.entry(member.state.as_str()).or_default() += 1;
    }
    let point = |(state, count): (&&'static str, &u32)| MetricPoint {
        labels: vec![label("state", *state)],
        value: f64::from(*count),
    };
    states.iter().map(point).collect()
}

fn process_events(node: &EntryNode) -> Vec<MetricPoint> {
    let process = &node.counters.process;
    let events: [(&str, &AtomicU64); 7] = [
        ("unwanted-grant", &process.unwanted_grants),
        ("retry", &process.retries),
        ("resume", &process.resumes),
        ("spill", &process.spilled),
        ("repoint", &process.repointed),
        ("bad-request", &process.bad_requests),
        ("forward", &process.forwarded),
    ];
    let point = |(kind, counter): (&str, &AtomicU64)| MetricPoint {
        labels: vec![label("kind", kind)],
        value: read_counter(counter),
    };
    events.into_iter().map(point).collect()
}

fn peer_bytes(peers: &PeerEndpoint) -> Vec<MetricPoint> {
    let counters = peers.counters();
    let directions = [
        ("sent", counters.traffic.sent_bytes),
        ("received", counters.traffic.received_bytes),
    ];
    let point = |(direction, bytes): (&str, u64)| MetricPoint {
        labels: vec![label("direction", direction)],
        value: bytes as f64,
    };
    directions.into_iter().map(point).collect()
}
