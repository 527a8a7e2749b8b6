//! The operators' side of an entry VM: screens, records, dumps and metrics over HTTP.
//!
//! The package knows nothing of dispatch. It shows what an [`OperatorDesk`] returns and passes
//! record changes on to it. docs/OPERATING.md is the operators' page.

mod access;
mod desk;
mod explain;
mod metrics;
mod routes;
mod screen;

pub use access::OperatorAccess;
pub use desk::{
    ChangeDone, ChangeRefusal, DeskFuture, MetricKind, MetricLabel, MetricName, MetricPoint,
    OperatorDesk, RecordChange, RecordLine,
};
pub use explain::{LogBook, UnknownRequest};
pub use metrics::MetricsPage;
pub use routes::OperatorContext;
pub use screen::{
    BackendLine, BackendStage, CentreLine, ChangeLine, ClassLine, CustomerLine, EntryLine,
    FaultLine, FleetScreen, PoolLine, StopLine, TrafficCount,
};
