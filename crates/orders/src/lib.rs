//! Orders to engines: models, adapters, versions and roles.
//!
//! Per data centre the holder of one lease compares what the records want with what the engines
//! report ([`OrderPlanner`], pure) and sends orders with its fencing number ([`OrderController`]). The
//! lease is checked right before each send. Without a lease there are no orders, and serving goes
//! on (docs/ORDERS.md).

mod budget;
mod compare;
mod desk;
mod engine_sender;
mod planner;

pub use budget::OrderLimits;
pub use compare::{Difference, build_order, compare};
pub use desk::{LeaseView, OrderController, OrderCounters, OrderError, OrderSender, SendCheck};
pub use engine_sender::EngineSender;
pub use planner::{OrderPlanner, PlannedOrder};
