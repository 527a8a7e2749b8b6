//! The gateway: callers on one side, backend servers on the other, and the platform's store for
//! what all gateways must agree on.
//!
//! A gateway keeps nothing and leads nothing. It reads manifest and registry from the store, or
//! from another gateway while the store is away, decides each request by itself with
//! `oleander-balance`, and translates through a [`PlatformPort`]. docs/PLATFORM.md tells the design.

mod conn_pool;
mod platform_view;
mod caller_conn;
mod core;
mod event_split;
mod exchange;
mod store_watch;
mod gossip;
pub mod http;
mod lease;
mod shutdown;
mod log_line;
mod manifest;
mod metrics;
mod peer_facts;
pub mod port;
mod process;
mod request;
mod settings;
mod internal_server;
mod store_client;
mod suspend;

pub mod prelude;

pub use manifest::{
    CallerLimits, CustomerSpec, KeyedCustomer, Manifest, RepeatKind, RouteRefusal, RouteSpec,
    ServiceSpec, ServiceWeight,
};
pub use port::PlatformPort;
pub use process::{GatewayProcess, StartError};
pub use settings::GatewaySettings;
