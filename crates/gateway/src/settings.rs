//! The settings of a gateway, independent of the format of the settings file.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_balance::RetryLimits;
use oleander_base::prelude::*;

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The name of this machine.
    pub name: Arc<str>,
    /// The data centre of this machine.
    pub centre: Arc<str>,
    /// The address that callers connect to.
    pub frontend: SocketAddr,
    /// The address at which the load balancer in front of the gateways checks readiness.
    pub readiness: SocketAddr,
    /// The address that other gateways connect to.
    pub control: SocketAddr,
    /// The UDP address that other gateways send gossip to.
    pub gossip: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The addresses of gateways that may be running when this one starts.
    pub seeds: Vec<SocketAddr>,
    /// The address of the key-value store.
    pub store: SocketAddr,
    /// The shortest time to live that the store grants for a lease.
    pub store_min_ttl: Span,
    /// The time within which a draining backend server must get no more requests.
    pub drain_time: Span,
    /// The time within which a new manifest must be in force.
    pub apply_time: Span,
    /// The time between the stop signal and the kill.
    pub grace_time: Span,
    /// The longest time for which the registry keeps the entry of a backend server that has ended.
    pub entry_lifetime: Span,
    /// The limits of the retry budget.
    pub retry: RetryLimits,
    /// The memory that this process may use, in bytes, if that is limited.
    pub memory_bytes: Option<u64>,
    /// The processor time that this process may use, in cores, if that is limited.
    pub cores: Option<f64>,
    /// The rate of this machine's link, in Mbit/s, if it is known.
    pub link_mbps: Option<f64>,
    /// The file descriptors that this process may have open, if that is limited.
    pub descriptors: Option<u32>,
    /// The provider and the duties towards it, if the deployment has any.
    pub provider: Option<ProviderSettings>,
    /// Whether a backend server fails when its requests exceed its memory.
    pub guards_memory: bool,
}

/// The provider, which bills customers and runs backend servers, and the duties towards it.
///
/// A duty is done by one gateway at a time (docs/design/duties.md; requirements in docs/design/hard-load.md, "Part A").
#[derive(Debug, Clone, PartialEq)]
pub struct ProviderSettings {
    /// The provider's address.
    pub address: SocketAddr,
    /// The number of calls a second that the provider accepts from all gateways together.
    pub calls_per_s: f64,
    /// Whether the usage of customers is reported.
    pub reports_usage: bool,
    /// Whether backend servers are ordered and given back.
    pub scales_backends: bool,
    /// The time that must pass before another gateway acts as the holder of a duty.
    pub lease_time: Span,
    /// The length of a window of the usage reports.
    pub usage_window: Span,
    /// The time after the end of a window at which its report is due.
    pub usage_delay: Span,
}

/// How often the view of the platform is brought up to date. All times are fractions of the shortest time
/// in which a change must be in force (docs/PLATFORM.md, "How late a change may be").
#[derive(Debug, Clone, Copy)]
pub(crate) struct ViewPace {
    /// The time between two calls of the store, and how long it may hold a watch.
    pub(crate) store_interval: Span,
    /// How long another gateway may hold a query for which it has no news.
    pub(crate) query_hold: Span,
    /// The age of the contact with the store beyond which another gateway's facts are not enough.
    pub(crate) max_contact_age: Span,
    /// The age of the contact with the store at which the view of a service's software versions does not
    /// count as complete any longer. It is above the age that facts from another gateway may have.
    pub(crate) max_version_age: Span,
}

impl GatewaySettings {
    /// Returns how often the view is brought up to date.
    pub(crate) fn view_pace(&self) -> ViewPace {
        let bound = self.drain_time.min(self.apply_time).0;
        ViewPace {
            store_interval: Span(bound / 4),
            query_hold: Span(bound / 8),
            max_contact_age: Span(bound / 4 * 3),
            max_version_age: Span(bound / 4 * 5),
        }
    }
}
