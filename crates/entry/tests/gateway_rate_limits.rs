//! Request rates that overloaded engines name for all gateways together.

mod gateway;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore};

/// The requests a second that the overloaded engines name.
const LIMIT: f64 = 1.3;

/// The time that gateways have to heed a limit.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(10);

/// Returns the greatest number of requests that may reach an engine in a window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

fn ok(request: &SeenRequest) -> EngineReply {
    EngineReply::Bytes(request.answer("done"))
}

/// Returns a good answer that names the limit.
fn limited(request: &SeenRequest) -> EngineReply {
    let answer = String::from_utf8(request.answer("done")).expect("an answer is text");
    let header = format!("\r\nServer-Limit: {LIMIT}\r\n");
    EngineReply::Bytes(answer.replacen("\r\n", &header, 1).into_bytes())
}

/// Starts gateways that share one store.
fn start_gateways(store: &UsersStore, count: usize) -> Vec<TestGateway> {
    let spawn = |number| TestGateway::spawn(&format!("edge-{number}"), store, &[]);
    let gateways: Vec<TestGateway> = (1..=count).map(spawn).collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    gateways
}

/// Calls the gateways in turn for a while; returns the statuses of the answers.
fn call_for(gateways: &[TestGateway], span: Duration) -> Vec<u16> {
    let until = Instant::now() + span;
    let mut statuses = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let gateway = &gateways[number % gateways.len()];
        let id = format!("a{number}");
        statuses.push(gateway.caller().call(&Call::lookup(&id)).status());
        std::thread::sleep(PAUSE);
    }
    statuses
}

/// Returns the greatest number of requests in a window, from [`STABLE_TIME`] after the first one on.
fn busiest_window(engine: &ScriptedEngine) -> usize {
    let times: Vec<Instant> = engine.seen().iter().map(|seen| seen.at).collect();
    let from = times.first().map(|first| *first + STABLE_TIME);
    let late = times
        .iter()
        .filter(|at| from.is_some_and(|from| **at >= from));
    let late: Vec<Instant> = late.copied().collect();
    let count = |start: &Instant| {
        let inside = late
            .iter()
            .filter(|at| **at >= *start && **at < *start + WINDOW);
        inside.count()
    };
    late.iter().map(count).max().unwrap_or(0)
}

// Guards against gateways that each keep to an engine's limit, or none, and exceed it together.
#[test]
fn gateways_together_keep_to_the_limit_that_an_engine_names() {
    let store = store_with_manifest();
    let overloaded = start_engine(&store, "i-overloaded", "desk", limited);
    let sound: Vec<ScriptedEngine> = (0..3)
        .map(|number| start_engine(&store, &format!("i-{number}"), "desk", ok))
        .collect();
    let gateways = start_gateways(&store, 4);
    let statuses = call_for(&gateways, STABLE_TIME + 2 * WINDOW);
    let busiest = busiest_window(&overloaded);
    assert!(busiest <= allowed(), "{busiest} in a window");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let elsewhere: usize = sound.iter().map(|engine| engine.seen().len()).sum();
    assert!(elsewhere > statuses.len() / 2);
}

// Guards against gateways that exceed the limits of a service whose engines are all overloaded, and
// against callers who are not told when to come back.
#[test]
fn an_overloaded_service_serves_at_its_limit_and_refuses_the_rest() {
    let store = store_with_manifest();
    let engines: Vec<ScriptedEngine> = (0..3)
        .map(|number| start_engine(&store, &format!("i-{number}"), "desk", limited))
        .collect();
    let gateways = start_gateways(&store, 2);
    call_for(&gateways, STABLE_TIME);
    let before: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    let span = 2 * WINDOW;
    let statuses = call_for(&gateways, span);
    for engine in &engines {
        let busiest = busiest_window(engine);
        assert!(busiest <= allowed(), "{busiest} in a window");
    }
    let served: usize = engines
        .iter()
        .map(|engine| engine.seen().len())
        .sum::<usize>()
        - before;
    let due = LIMIT * engines.len() as f64 * span.as_secs_f64();
    assert!(served as f64 > due / 2.0, "{served} of {due}");
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    let answer = gateways[0].caller().call(&Call::lookup("last"));
    assert!(answer.status() == 200 || answer.header("retry-after").is_some());
}

// Guards against gateways that go on heeding a limit that has ended, also those that did not share it.
#[test]
fn a_limit_that_ends_is_forgotten_by_all_gateways() {
    let store = store_with_manifest();
    let is_overloaded = Arc::new(AtomicBool::new(true));
    let names_limit = Arc::clone(&is_overloaded);
    let _engine = start_engine(&store, "i-1", "desk", move |request| {
        match names_limit.load(Ordering::Relaxed) {
            true => limited(request),
            false => ok(request),
        }
    });
    let gateways = start_gateways(&store, 5);
    call_for(&gateways, STABLE_TIME);
    let line = gateways[0].wait_log("backend-limit", |line| line["backend"] == "i-1");
    assert_eq!(line["per_s"], LIMIT);
    is_overloaded.store(false, Ordering::Relaxed);
    wait_for("every gateway serves each call", || {
        let statuses = call_for(&gateways, Duration::from_millis(300));
        statuses.iter().all(|status| *status == 200)
    });
}
