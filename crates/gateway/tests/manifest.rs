//! Tests the routes, keys and urgencies of a manifest.

use std::sync::Arc;

use oleander_base::prelude::*;
use oleander_gateway::{
    CallerLimits, CustomerSpec, KeyedCustomer, Manifest, RepeatKind, RouteRefusal, RouteSpec,
    ServiceWeight,
};

fn route(prefix: &str, urgency: u8, split: &[(&str, f64)]) -> RouteSpec {
    RouteSpec {
        name: Arc::from(prefix),
        host: Arc::from("desk.example"),
        prefix: Arc::from(prefix),
        repeat: RepeatKind::Once,
        timeout: Span::from_secs(1),
        latency_target: Span::from_millis(100),
        pause_limit: None,
        urgency,
        max_attempts: 1,
        accepts_anonymous: prefix == "/open/",
        has_prompts: false,
        split: split
            .iter()
            .map(|(service, weight)| ServiceWeight {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn customer(name: &str, key: &str, urgency: Option<u8>) -> KeyedCustomer {
    KeyedCustomer {
        customer: CustomerSpec {
            name: Arc::from(name),
            urgency,
        },
        keys: vec![Arc::from(key)],
    }
}

fn manifest(routes: Vec<RouteSpec>, customers: Vec<KeyedCustomer>) -> Manifest {
    Manifest::build(
        1,
        CallerLimits::default(),
        routes,
        Vec::new(),
        Some(customers),
    )
}

fn urgency(manifest: &Manifest, path: &str, key: &str) -> u8 {
    manifest
        .route("desk.example", path, Some(key), 0.5)
        .expect("a route matches")
        .urgency
}

#[test]
fn the_longest_prefix_wins_and_hosts_ignore_case() {
    let routes = vec![
        route("/a/", 0, &[("short", 1.0)]),
        route("/a/b/", 0, &[("long", 1.0)]),
    ];
    let manifest = manifest(routes, vec![customer("press", "k", None)]);
    let find = |host, path| manifest.route(host, path, Some("k"), 0.5);
    assert_eq!(&*find("Desk.Example", "/a/b/c").unwrap().service, "long");
    assert_eq!(&*find("desk.example", "/a/bc").unwrap().service, "short");
    assert_eq!(
        find("desk.example", "/a").unwrap_err(),
        RouteRefusal::NoRoute
    );
    assert_eq!(
        find("other.example", "/a/").unwrap_err(),
        RouteRefusal::NoRoute
    );
}

#[test]
fn a_key_is_required_except_on_anonymous_routes() {
    let routes = vec![
        route("/a/", 0, &[("one", 1.0)]),
        route("/open/", 0, &[("one", 1.0)]),
    ];
    let manifest = manifest(routes, vec![customer("press", "k", None)]);
    let find = |path, key| manifest.route("desk.example", path, key, 0.5);
    assert_eq!(find("/a/", None).unwrap_err(), RouteRefusal::UnknownKey);
    assert_eq!(
        find("/a/", Some("x")).unwrap_err(),
        RouteRefusal::UnknownKey
    );
    assert_eq!(
        find("/a/", Some("k")).unwrap().customer.as_deref(),
        Some("press")
    );
    assert_eq!(find("/open/", None).unwrap().customer, None);
}

#[test]
fn a_split_follows_its_weights() {
    let routes = vec![route(
        "/a/",
        0,
        &[("most", 90.0), ("some", 10.0), ("none", 0.0)],
    )];
    let manifest = manifest(routes, vec![customer("press", "k", None)]);
    let service = |random| {
        manifest
            .route("desk.example", "/a/", Some("k"), random)
            .unwrap()
            .service
    };
    assert_eq!(&*service(0.0), "most");
    assert_eq!(&*service(0.89), "most");
    assert_eq!(&*service(0.91), "some");
    assert_eq!(&*service(0.999_999), "some");
}

/// An engine that runs out of memory preempts the least urgent requests. If the routes of customers
/// with equal urgency shared one level, it could preempt a more urgent kind of request.
#[test]
fn routes_of_equal_customers_keep_their_order() {
    let routes = vec![
        route("/first/", 0, &[("one", 1.0)]),
        route("/second/", 1, &[("one", 1.0)]),
        route("/third/", 2, &[("one", 1.0)]),
    ];
    let customers = vec![
        customer("large", "l", Some(0)),
        customer("usual", "u", Some(1)),
        customer("plain", "p", None),
    ];
    let manifest = manifest(routes, customers);
    let level = |path, key| urgency(&manifest, path, key);
    assert!(level("/first/", "u") < level("/second/", "u"));
    assert!(level("/second/", "u") < level("/third/", "u"));
    assert!(
        level("/third/", "l") < level("/first/", "u"),
        "the customer's urgency goes first"
    );
    assert!(level("/first/", "p") < level("/second/", "p"));
    assert!(level("/third/", "p") <= 9);
}

#[test]
fn more_urgencies_than_levels_keep_their_order() {
    let routes = (0..7)
        .map(|urgency| route(&format!("/{urgency}/"), urgency, &[("one", 1.0)]))
        .collect();
    let customers = (0..5)
        .map(|urgency| customer("c", &format!("k{urgency}"), Some(urgency)))
        .collect();
    let manifest = manifest(routes, customers);
    let mut last = 0;
    for key in 0..5 {
        for path in 0..7 {
            let level = urgency(&manifest, &format!("/{path}/"), &format!("k{key}"));
            assert!(level >= last && level <= 9);
            last = level;
        }
    }
}
