//! Counters and latency histograms by `opentelemetry`, in the Prometheus text format.
//!
//! Label values are services, small enumerations and statuses, so that their number is bounded by
//! the manifest's services. docs/METRICS.md lists the names.

use std::fmt;

use oleander_balance::{ScaleOrder, ServerKind};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::duty::DutyStatus;
use crate::http::ByteBound;
use crate::memory::MemoryCounts;
use crate::prelude::*;
use crate::quarantine::QuarantineCounts;
use crate::slots::SlotCounts;
use crate::store_client::StorePurpose;

/// The name of the instrumentation scope.
const METER_NAME: &str = "oleanderplank.gateway";

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0,
];

/// How a request ended, for the metrics and the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The whole answer of a backend server was delivered.
    Answered,
    /// The gateway refused the request before it ran.
    Refused,
    /// The gateway answered with an error of its own for a request that may have run.
    Failed,
    /// The answer broke off after its start.
    Cut,
    /// The caller disconnected before the end of the answer.
    CallerLeft,
}

impl RequestEnd {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Cut => "cut",
            Self::CallerLeft => "caller-left",
        }
    }
}

/// The gauge values at the time of a scrape.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GaugeReading {
    pub(crate) manifest_version: u64,
    pub(crate) store_era: StoreEra,
    pub(crate) store_contact_age: Option<Span>,
    pub(crate) backends: usize,
    pub(crate) kept_connections: usize,
    pub(crate) in_flight: usize,
    pub(crate) caller_connections: usize,
    pub(crate) internal_connections: usize,
    /// The bytes held for callers, and of answers that are not complete.
    pub(crate) held_bytes: usize,
    pub(crate) slowed_connections: u32,
    pub(crate) quarantined: QuarantineCounts,
    pub(crate) is_cut_off: bool,
    pub(crate) slots: SlotCounts,
    pub(crate) duties: DutyStatus,
    pub(crate) memory: MemoryCounts,
    pub(crate) read_ahead_bytes: usize,
}

/// The metrics of one gateway.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    rejections: Counter<u64>,
    slot_asks: Counter<u64>,
    memory_asks: Counter<u64>,
    given_up: Counter<u64>,
    retries: Counter<u64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
    ignored_datagrams: Counter<u64>,
    connections: Counter<u64>,
    streams: Counter<u64>,
    unframed_ends: Counter<u64>,
    process_queries: Counter<u64>,
    resumes: Counter<u64>,
    backpressure: Counter<u64>,
    quarantine: Counter<u64>,
    bounds: Counter<u64>,
    relays: Counter<u64>,
    duty_calls: Counter<u64>,
    usage_windows: Counter<u64>,
    usage_counts: Counter<u64>,
    scaling_orders: Counter<u64>,
    scaled_servers: Gauge<f64>,
    paces: Counter<u64>,
    deadlines: Counter<u64>,
    evictions: Counter<u64>,
    first_time: Histogram<f64>,
    total_time: Histogram<f64>,
    gap_time: Histogram<f64>,
    gauges: Gauge<f64>,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}

impl GatewayMetrics {
    /// Registers every instrument.
    pub(crate) fn open() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        Ok(Self {
            requests: counter(&meter, "gateway.requests", "Requests by service and end"),
            refusals: counter(&meter, "gateway.refusals", "Refused requests by reason"),
            attempts: counter(&meter, "gateway.attempts", "Sends by service and outcome"),
            rejections: counter(
                &meter,
                "gateway.rejections",
                "Requests that backend servers turned away, by why they were sent",
            ),
            slot_asks: counter(
                &meter,
                "gateway.slot.asks",
                "Requests for a slot of a brittle backend server, by outcome",
            ),
            memory_asks: counter(
                &meter,
                "gateway.memory.asks",
                "Requests for a lease on an engine's memory, by outcome",
            ),
            given_up: counter(
                &meter,
                "gateway.read.ahead.given.up",
                "Streams given up because callers read too slowly for the memory that is left",
            ),
            retries: counter(
                &meter,
                "gateway.retries",
                "Extra sends by service and outcome",
            ),
            store_calls: counter(
                &meter,
                "gateway.store.calls",
                "Calls of the store by purpose and outcome",
            ),
            peer_bytes: counter(
                &meter,
                "gateway.peer.bytes",
                "Bytes of datagrams and facts sent to other gateways, by kind",
            ),
            ignored_datagrams: counter(
                &meter,
                "gateway.peer.ignored",
                "Datagrams of another format, such as that of another version",
            ),
            connections: counter(&meter, "gateway.connections", "New connections by side"),
            resumes: counter(
                &meter,
                "gateway.resumes",
                "Streams that callers resume, by how their version was found",
            ),
            backpressure: counter(
                &meter,
                "gateway.backpressure",
                "Answers of backend servers that leave, ask for backoff, name a limit or are brittle",
            ),
            quarantine: counter(
                &meter,
                "gateway.quarantine",
                "Crashes of backend servers and what followed for requests and parts of prompts, by event",
            ),
            bounds: counter(
                &meter,
                "gateway.bounds",
                "Answers that passed a bound on their bytes, by bound",
            ),
            relays: counter(
                &meter,
                "gateway.relays",
                "Requests relayed to other gateways, by outcome",
            ),
            duty_calls: counter(
                &meter,
                "gateway.duty.calls",
                "Calls of the provider by path and outcome",
            ),
            usage_windows: counter(
                &meter,
                "gateway.usage.windows",
                "Usage windows that this gateway was to report, by outcome",
            ),
            usage_counts: counter(
                &meter,
                "gateway.usage.counts",
                "Requests in usage reports, by who told them",
            ),
            scaling_orders: counter(
                &meter,
                "gateway.scaling.orders",
                "Orders for backend servers by service, kind, reason and outcome",
            ),
            scaled_servers: meter
                .f64_gauge("gateway.scaling.servers")
                .with_description("Backend servers by service, data centre, kind and state")
                .build(),
            paces: counter(
                &meter,
                "gateway.pace",
                "Figures of backend servers about how long work takes there, by kind",
            ),
            deadlines: counter(
                &meter,
                "gateway.deadline",
                "Decisions by deadline at services whose backend servers report their pace, by outcome",
            ),
            evictions: counter(
                &meter,
                "gateway.client.evictions",
                "Connections of clients that gave way to others, by address and cause",
            ),
            streams: counter(
                &meter,
                "gateway.streams",
                "Streams of backend servers by framing and end",
            ),
            unframed_ends: counter(
                &meter,
                "gateway.unframed.ends",
                "Ends of answers without length or chunks, by what was known of the backend server's process",
            ),
            process_queries: counter(
                &meter,
                "gateway.process.queries",
                "Queries for the process behind a connection, by the process that was met",
            ),
            first_time: histogram(
                &meter,
                "gateway.first.time",
                "Time to an answer's first bytes",
            ),
            total_time: histogram(&meter, "gateway.total.time", "Time to an answer's end"),
            gap_time: histogram(&meter, "gateway.gap.time", "Longest pause within a stream"),
            gauges: meter
                .f64_gauge("gateway.state")
                .with_description("Present state by kind")
                .build(),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn record_request_end(&self, service: &str, end: RequestEnd, total: Span) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("end", end.as_str()),
        ];
        self.requests.add(1, &labels);
        self.total_time.record(total.as_secs_f64(), &labels);
    }

    /// Records the end of one attempt's stream.
    pub(crate) fn record_stream_end(&self, framing: &'static str, is_whole: bool) {
        let end = if is_whole { "whole" } else { "broken" };
        let labels = [KeyValue::new("framing", framing), KeyValue::new("end", end)];
        self.streams.add(1, &labels);
    }

    pub(crate) fn record_unframed_end(&self, evidence: &'static str) {
        let labels = [KeyValue::new("evidence", evidence)];
        self.unframed_ends.add(1, &labels);
    }

    pub(crate) fn record_process_query(&self, met: &'static str) {
        let labels = [KeyValue::new("met", met)];
        self.process_queries.add(1, &labels);
    }

    pub(crate) fn record_resume(&self, source: &'static str) {
        self.resumes.add(1, &[KeyValue::new("source", source)]);
    }

    pub(crate) fn record_backpressure(&self, kind: &'static str) {
        self.backpressure.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn record_quarantine(&self, event: &'static str) {
        self.quarantine.add(1, &[KeyValue::new("event", event)]);
    }

    pub(crate) fn record_bound(&self, bound: ByteBound) {
        let labels = [KeyValue::new("bound", bound.as_str())];
        self.bounds.add(1, &labels);
    }

    pub(crate) fn record_relay(&self, outcome: &'static str) {
        self.relays.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a call of the provider.
    pub(crate) fn record_duty_call(&self, path: &'static str, outcome: String) {
        let labels = [
            KeyValue::new("path", path),
            KeyValue::new("outcome", outcome),
        ];
        self.duty_calls.add(1, &labels);
    }

    /// Records what became of a usage window.
    pub(crate) fn record_usage_window(&self, outcome: &'static str) {
        self.usage_windows
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records requests in a usage report.
    pub(crate) fn record_usage_counts(&self, source: &'static str, count: u64) {
        self.usage_counts
            .add(count, &[KeyValue::new("source", source)]);
    }

    /// Records an order for backend servers.
    pub(crate) fn record_scaling_order(
        &self,
        service: &str,
        order: &ScaleOrder,
        outcome: &'static str,
    ) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("kind", order.kind.as_str()),
            KeyValue::new("reason", order.reason.as_str()),
            KeyValue::new("outcome", outcome),
        ];
        self.scaling_orders.add(1, &labels);
    }

    /// Records how many backend servers of a kind are wanted or present in a data centre.
    pub(crate) fn record_servers(
        &self,
        service: &str,
        centre: &str,
        kind: ServerKind,
        state: &'static str,
        count: u32,
    ) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("centre", centre.to_owned()),
            KeyValue::new("kind", kind.as_str()),
            KeyValue::new("state", state),
        ];
        self.scaled_servers.record(f64::from(count), &labels);
    }

    /// Records a figure of a backend server about its pace.
    pub(crate) fn record_pace(&self, kind: &'static str) {
        self.paces.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records a decision by deadline.
    pub(crate) fn record_deadline(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.deadlines.add(1, &labels);
    }

    /// Records a connection that gave way to others, or got no place or memory.
    pub(crate) fn record_eviction(&self, side: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("side", side), KeyValue::new("cause", cause)];
        self.evictions.add(1, &labels);
    }

    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn record_attempt(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.attempts.add(1, &labels);
    }

    /// Records how an owner answered a request for a slot.
    pub(crate) fn record_slot_ask(&self, outcome: &'static str) {
        self.slot_asks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records how an owner answered a request for memory.
    pub(crate) fn record_memory_ask(&self, outcome: &'static str) {
        self.memory_asks
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a stream was given up because its caller read too slowly.
    pub(crate) fn record_given_up(&self) {
        self.given_up.add(1, &[]);
    }

    /// Records that a backend server turned a request away.
    pub(crate) fn record_rejection(&self, service: &str, grounds: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("grounds", grounds),
        ];
        self.rejections.add(1, &labels);
    }

    pub(crate) fn record_retry(&self, service: &str, is_allowed: bool) {
        let outcome = if is_allowed { "sent" } else { "no-budget" };
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.retries.add(1, &labels);
    }

    pub(crate) fn record_store_call(&self, purpose: StorePurpose, status: Option<u16>) {
        let outcome = match status {
            Some(status) => status.to_string(),
            None => "no-answer".to_owned(),
        };
        let labels = [
            KeyValue::new("purpose", purpose.as_str()),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    pub(crate) fn record_peer_bytes(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.peer_bytes.add(bytes as u64, &labels);
    }

    pub(crate) fn record_ignored_datagram(&self) {
        self.ignored_datagrams.add(1, &[]);
    }

    pub(crate) fn record_connection(&self, side: &'static str) {
        self.connections.add(1, &[KeyValue::new("side", side)]);
    }

    pub(crate) fn record_first_bytes(&self, service: &str, time: Span) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.first_time.record(time.as_secs_f64(), &labels);
    }

    pub(crate) fn record_longest_gap(&self, service: &str, time: Span) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.gap_time.record(time.as_secs_f64(), &labels);
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn text(&self, reading: &GaugeReading) -> Result<String, String> {
        let gauge = |kind: &'static str, value: f64| {
            self.gauges.record(value, &[KeyValue::new("kind", kind)]);
        };
        gauge("manifest-version", reading.manifest_version as f64);
        gauge("backends", reading.backends as f64);
        gauge("kept-connections", reading.kept_connections as f64);
        gauge("in-flight", reading.in_flight as f64);
        gauge("caller-connections", reading.caller_connections as f64);
        gauge("internal-connections", reading.internal_connections as f64);
        gauge("held-bytes", reading.held_bytes as f64);
        gauge("slowed-connections", f64::from(reading.slowed_connections));
        gauge("quarantined-parts", reading.quarantined.parts as f64);
        gauge("quarantined-requests", reading.quarantined.requests as f64);
        gauge("cut-off", f64::from(u8::from(reading.is_cut_off)));
        gauge("slots-held", reading.slots.held as f64);
        gauge("slots-granted", reading.slots.granted as f64);
        gauge("slots-queued", reading.slots.queued as f64);
        gauge("duty-holder", f64::from(u8::from(reading.duties.is_holder)));
        if let Some(age) = reading.duties.held_for {
            gauge("duty-held-seconds", age.as_secs_f64());
        }
        gauge("usage-not-delivered", reading.duties.not_delivered as f64);
        gauge("memory-held-tokens", reading.memory.held as f64);
        gauge("memory-leased-tokens", reading.memory.leased as f64);
        gauge("memory-queued", reading.memory.queued as f64);
        gauge("read-ahead-bytes", reading.read_ahead_bytes as f64);
        gauge("store-era", reading.store_era.0 as f64);
        if let Some(age) = reading.store_contact_age {
            gauge("store-contact-age-seconds", age.as_secs_f64());
        }
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| error.to_string())
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(LATENCY_BOUNDS.to_vec())
        .build()
}
