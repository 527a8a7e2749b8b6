//! The manifest: the routes, services, limits and customers' keys of one version.
//!
//! A manifest never changes once it is decoded. Each request is served by one version from its head
//! to its end.

use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::port::RoutedCall;

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream, and the request runs at most once.
    OnceStream,
    /// The answer is a stream that may be resumed at another backend server after its last event.
    ResumableStream,
}

impl RepeatKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::OnceStream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone)]
pub struct RouteSpec {
    /// The name of the route, for logs.
    pub name: Arc<str>,
    /// The host that the route serves, in lower case.
    pub host: Arc<str>,
    /// The path prefix that the route serves, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether requests may be sent again.
    pub repeat: RepeatKind,
    /// The longest time that a caller waits for an answer.
    pub timeout: Span,
    /// The time within which an answer, or its first event, is on time.
    pub latency_target: Span,
    /// The longest pause between two events that is on time.
    pub pause_limit: Option<Span>,
    /// The urgency of the route; 0 is the most urgent.
    pub urgency: u8,
    /// The greatest number of backend servers that one request may run at.
    pub max_attempts: u32,
    /// Whether the route accepts requests without a key.
    pub accepts_anonymous: bool,
    /// Whether requests carry prompts.
    pub has_prompts: bool,
    /// The services that requests go to, by weight.
    pub split: Vec<ServiceWeight>,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone)]
pub struct ServiceWeight {
    /// The name of the service.
    pub service: Arc<str>,
    /// The weight of the service relative to the others of the route.
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: Arc<str>,
    /// The greatest number of connections that each backend server accepts from all gateways
    /// together.
    pub max_connections: u32,
    /// The model engines that are its backend servers; absent for a plain service.
    pub engine: Option<EngineSpec>,
    /// How the number of its backend servers may be changed; absent if it may not.
    pub autoscale: Option<AutoscaleSpec>,
}

/// The properties that all model engines of a service share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// The number of tokens that one engine has memory for.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream.
    pub event_tokens: u32,
}

/// The bounds and prices of a service's backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct AutoscaleSpec {
    /// The least number of backend servers in one data centre.
    pub min_count: u32,
    /// The greatest number of backend servers in one data centre.
    pub max_count: u32,
    /// The time after which an ordered backend server serves.
    pub startup: Span,
    /// The price of a preemptible backend server as a share of the price of another one; absent if
    /// there are none.
    pub preemptible_price: Option<f64>,
    /// The relative price of a second of a backend server, by data centre.
    pub prices: FastMap<Arc<str>, f64>,
}

/// A customer.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// The name of the customer.
    pub name: Arc<str>,
    /// The customer's urgency, which takes precedence over that of the route.
    pub urgency: Option<u8>,
}

/// A customer and its keys.
#[derive(Debug, Clone)]
pub struct KeyedCustomer {
    /// The customer.
    pub customer: CustomerSpec,
    /// The keys of the customer.
    pub keys: Vec<Arc<str>>,
}

/// The limits on what a caller may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest time within which a head must arrive.
    pub head_time: Span,
    /// The longest time between two requests on one connection.
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Span::from_secs(5),
            idle_time: Span::from_secs(15),
        }
    }
}

/// One version of the manifest.
#[derive(Debug, Clone)]
pub struct Manifest {
    /// The version number.
    pub version: u64,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
    /// Whether callers need a key on routes that are not anonymous.
    pub needs_keys: bool,
    routes: FastMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    services: FastMap<Arc<str>, ServiceSpec>,
    keys: FastMap<Arc<str>, Arc<CustomerSpec>>,
    urgencies: UrgencyScale,
}

/// The number of urgency levels that backend servers distinguish.
const URGENCY_LEVELS: usize = 10;

/// Maps the urgencies of a manifest to the few levels that backend servers know, keeping their
/// order.
///
/// A customer's own urgency takes precedence over that of the route. Among requests of equal
/// urgency that of the route decides, so that a less urgent kind of request never displaces a more
/// urgent one.
#[derive(Debug, Clone, Default)]
struct UrgencyScale {
    levels: Vec<UrgencyPair>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UrgencyPair {
    effective: u8,
    route: u8,
}

impl UrgencyPair {
    fn new(customer: Option<u8>, route: u8) -> Self {
        Self {
            effective: customer.unwrap_or(route),
            route,
        }
    }
}

impl UrgencyScale {
    fn build(customers: &[Option<u8>], routes: &[u8]) -> Self {
        let mut levels: Vec<UrgencyPair> = customers
            .iter()
            .chain([&None])
            .flat_map(|customer| {
                routes
                    .iter()
                    .map(|route| UrgencyPair::new(*customer, *route))
            })
            .collect();
        levels.sort_unstable();
        levels.dedup();
        Self { levels }
    }

    fn level(&self, pair: UrgencyPair) -> u8 {
        let rank = self.levels.partition_point(|level| *level < pair);
        let rank = rank * URGENCY_LEVELS / self.levels.len().max(URGENCY_LEVELS);
        u8::try_from(rank).unwrap_or(u8::MAX)
    }
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No route serves the host and the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Manifest {
    /// Builds a manifest and its lookup tables.
    pub fn build(
        version: u64,
        limits: CallerLimits,
        routes: Vec<RouteSpec>,
        services: Vec<ServiceSpec>,
        customers: Option<Vec<KeyedCustomer>>,
    ) -> Self {
        let route_urgencies: Vec<u8> = routes.iter().map(|route| route.urgency).collect();
        let mut customer_urgencies = Vec::new();
        let mut by_host: FastMap<Arc<str>, Vec<Arc<RouteSpec>>> = FastMap::default();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let needs_keys = customers.is_some();
        let mut keys = FastMap::default();
        for keyed in customers.unwrap_or_default() {
            customer_urgencies.push(keyed.customer.urgency);
            let customer = Arc::new(keyed.customer);
            for key in keyed.keys {
                keys.insert(key, Arc::clone(&customer));
            }
        }
        Self {
            version,
            limits,
            needs_keys,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (Arc::clone(&service.name), service))
                .collect(),
            keys,
            urgencies: UrgencyScale::build(&customer_urgencies, &route_urgencies),
        }
    }

    /// Finds the route, the service and the customer of a request; `random` is from 0 up to 1.
    pub fn route(
        &self,
        host: &str,
        path: &str,
        credential: Option<&str>,
        random: f64,
    ) -> Result<RoutedCall, RouteRefusal> {
        let route = self.find_route(host, path).ok_or(RouteRefusal::NoRoute)?;
        let customer = match credential.and_then(|key| self.keys.get(key)) {
            Some(customer) => Some(customer),
            None if self.needs_keys && !route.accepts_anonymous => {
                return Err(RouteRefusal::UnknownKey);
            }
            None => None,
        };
        let service = pick_service(&route.split, random).ok_or(RouteRefusal::NoRoute)?;
        Ok(RoutedCall {
            service,
            urgency: self.urgencies.level(UrgencyPair::new(
                customer.and_then(|customer| customer.urgency),
                route.urgency,
            )),
            customer: customer.map(|customer| Arc::clone(&customer.name)),
            route,
        })
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the routes that send requests to a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &RouteSpec> {
        let routes = self.routes.values().flatten().map(Arc::as_ref);
        routes.filter(move |route| route.split.iter().any(|part| &*part.service == service))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    fn find_route(&self, host: &str, path: &str) -> Option<Arc<RouteSpec>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
            .cloned()
    }
}

fn pick_service(split: &[ServiceWeight], random: f64) -> Option<Arc<str>> {
    let total: f64 = split.iter().map(|part| part.weight).sum();
    let mut left = random * total;
    for part in split {
        left -= part.weight;
        if left < 0.0 {
            return Some(Arc::clone(&part.service));
        }
    }
    split.last().map(|part| Arc::clone(&part.service))
}
