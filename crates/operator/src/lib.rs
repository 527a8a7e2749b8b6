//! The operators' HTTP interface of an entry VM: screens, records, dumps and metrics.
//!
//! This crate does not depend on dispatch. It serves what an [`OperatorApi`] returns and passes
//! record changes to it. docs/OPERATING.md describes the interface for operators.

mod access;
mod api;
mod explain;
mod metrics;
mod routes;
mod screen;

pub use access::OperatorAccess;
pub use api::{
    ApiFuture, ChangeDone, ChangeRefusal, MetricDescriptor, MetricKind, MetricLabel, MetricPoint,
    OperatorApi, RecordChange, RecordLine,
};
pub use explain::{GatewayLogs, UnknownRequest};
pub use metrics::MetricsExporter;
pub use routes::OperatorContext;
pub use screen::{
    BackendLine, BackendStage, CentreLine, ChangeLine, ClassLine, CustomerLine, EntryLine,
    FaultLine, FleetScreen, PoolLine, StopLine, TrafficCount,
};
