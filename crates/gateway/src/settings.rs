//! The settings of a gateway, whatever the format of the file that they came from.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_balance::RetryLimits;
use oleander_base::prelude::*;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The name of this machine.
    pub name: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Where callers connect.
    pub frontend: SocketAddr,
    /// Where the balancer asks whether this gateway is ready.
    pub readiness: SocketAddr,
    /// Where other gateways connect.
    pub control: SocketAddr,
    /// Where other gateways send news of load, as datagrams.
    pub gossip: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Other gateways that may be up at the start.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The shortest lease that the store grants.
    pub store_min_ttl: Span,
    /// How soon a leaving backend server must get no more requests.
    pub drain_time: Span,
    /// How soon a manifest must be in force.
    pub apply_time: Span,
    /// The time between the stop signal and the kill.
    pub grace_time: Span,
    /// The bounds of the retry budget.
    pub retry: RetryLimits,
}
