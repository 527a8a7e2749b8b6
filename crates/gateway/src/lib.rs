//! The gateway between callers and backend servers, with the platform's key-value store for the
//! state that all gateways share.
//!
//! A gateway stores nothing durably, and there is no leader among gateways. It reads the manifest
//! and the registry from the store, or from another gateway that has read it. It decides each
//! request by itself with `oleander-balance` and translates through a [`PlatformPort`].
//! docs/PLATFORM.md describes the design.

mod backend_reach;
mod backpressure;
mod brittle_news;
mod caller_conn;
mod client_body;
mod client_budget;
mod client_io;
mod client_turn;
mod conn_pool;
mod core;
mod duty;
mod event_split;
mod exchange;
mod fact_sources;
mod facts_message;
mod gossip;
mod held_bytes;
pub mod http;
mod internal_server;
mod late_answers;
mod lease;
mod limit_news;
mod liveness;
mod log_line;
mod manifest;
mod memory;
mod metrics;
mod origin_exchange;
mod origin_log;
mod origin_query;
mod pace_news;
mod pacing;
mod peer_facts;
mod peer_message;
mod peer_socket;
mod platform_view;
pub mod port;
mod process;
mod process_monitor;
mod process_query;
mod quarantine;
mod read_ahead;
mod registry_contact;
mod registry_fence;
mod relay_targets;
mod request;
mod resolved_origin;
mod settings;
mod shutdown;
mod slots;
mod store_client;
mod store_version;
mod store_watch;
mod suspend;
mod version_recorder;

pub mod prelude;

pub use duty::FencingToken;
pub use manifest::{
    AutoscaleSpec, CallerLimits, CustomerSpec, EngineSpec, KeyedCustomer, Manifest, RepeatKind,
    RouteRefusal, RouteSpec, ServiceSpec, ServiceWeight,
};
pub use port::PlatformPort;
pub use process::{GatewayProcess, StartError};
pub use settings::{GatewaySettings, ProviderSettings};
pub use store_version::{StoreEra, StoreVersion};
