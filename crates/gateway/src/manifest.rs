//! The manifest: routes, services, limits and customers' keys of one version.
//!
//! A manifest never changes once it is decoded. Each request is judged by one version from its
//! head to its end.

use std::sync::Arc;

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::port::RoutedCall;

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It is a stream that runs at most once.
    OnceStream,
    /// It is a stream that may go on at another backend server after its last event.
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
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that it serves, in lower case.
    pub host: Arc<str>,
    /// The path that it serves, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may be sent again.
    pub repeat: RepeatKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Span,
    /// The time within which an answer, or its first event, is on time.
    pub latency_target: Span,
    /// The longest pause between two events that is on time.
    pub pause_limit: Option<Span>,
    /// The urgency, 0 first.
    pub urgency: u8,
    /// The most backend servers that one request may run at.
    pub max_attempts: u32,
    /// Whether it takes requests without a key.
    pub accepts_anonymous: bool,
    /// Whether its requests carry prompts.
    pub has_prompts: bool,
    /// The services that its requests go to, by weight.
    pub split: Vec<ServiceWeight>,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone)]
pub struct ServiceWeight {
    /// The service.
    pub service: Arc<str>,
    /// Its weight against the others.
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The most connections that each of its backend servers accepts from all gateways.
    pub max_connections: u32,
}

/// A customer.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its own urgency, which goes before the route's.
    pub urgency: Option<u8>,
}

/// A customer with its keys.
#[derive(Debug, Clone)]
pub struct KeyedCustomer {
    /// The customer.
    pub customer: CustomerSpec,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head.
    pub head_time: Span,
    /// The longest time between two requests of one connection.
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
    /// The version.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whether callers need a key on routes that are not open.
    pub needs_keys: bool,
    routes: FastMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    services: FastMap<Arc<str>, ServiceSpec>,
    keys: FastMap<Arc<str>, Arc<CustomerSpec>>,
    urgencies: UrgencyScale,
}

/// How many urgencies backend servers tell apart.
const URGENCY_LEVELS: usize = 10;

/// The order of all urgencies of a manifest, as the few numbers that backend servers know.
///
/// A customer's own urgency goes before the route's; among requests of equal urgency the route's
/// decides, so that a less urgent kind never displaces a more urgent one of the same standing.
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
    /// No route serves the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Manifest {
    /// Builds a manifest.
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

    /// Finds the route, the service and the customer of a request; `random` is in 0 to 1.
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
            None if self.needs_keys && !route.accepts_anonymous => return Err(RouteRefusal::UnknownKey),
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

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns how many routes there are.
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
