//! Metrics by `opentelemetry`, exported in the Prometheus text format.
//!
//! Every instrument is observable: it reads the process's own counters when the metrics are
//! collected, so that the request path does not have to update a second registry.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::api::{MetricDescriptor, MetricKind, MetricPoint, OperatorApi};

/// The name of the instrumentation scope.
const METER_NAME: &str = "oleanderplank";

/// Exports the metrics of one process.
#[derive(Debug)]
pub struct MetricsExporter {
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl MetricsExporter {
    /// Registers every metric of the API, or returns the text of the library's error.
    pub fn open(api: &Arc<dyn OperatorApi>) -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        for metric in api.metric_descriptors() {
            register(&meter, metric, Arc::clone(api));
        }
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn text(&self) -> Result<String, String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| error.to_string())
    }
}

fn register(
    meter: &opentelemetry::metrics::Meter,
    metric: &'static MetricDescriptor,
    api: Arc<dyn OperatorApi>,
) {
    match metric.kind {
        MetricKind::Counter => {
            let builder = meter.f64_observable_counter(metric.name);
            builder
                .with_unit(metric.unit)
                .with_description(metric.description)
                .with_callback(move |observer| {
                    for point in api.metric_points(metric.name) {
                        observer.observe(point.value, &labels(&point));
                    }
                })
                .build();
        }
        MetricKind::Gauge => {
            let builder = meter.f64_observable_gauge(metric.name);
            builder
                .with_unit(metric.unit)
                .with_description(metric.description)
                .with_callback(move |observer| {
                    for point in api.metric_points(metric.name) {
                        observer.observe(point.value, &labels(&point));
                    }
                })
                .build();
        }
    }
}

fn labels(point: &MetricPoint) -> Vec<KeyValue> {
    point
        .labels
        .iter()
        .map(|label| KeyValue::new(label.name, label.value.clone()))
        .collect()
}
