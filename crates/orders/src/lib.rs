//! Sends orders to engines: which models, adapters and versions to load, and which role to take.
//!
//! In each data centre, the holder of one lease compares the wanted state in the records with the
//! engines' reports ([`OrderPlanner`], without I/O) and sends orders with its fencing number
//! ([`OrderController`]). The lease is checked right before each send. While the lease is not held,
//! no orders are sent, and requests are served as before (docs/ORDERS.md).

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
