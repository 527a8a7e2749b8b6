//! How long a gateway waits for an engine that has not answered yet.

mod gateway;

use std::thread;
use std::time::Duration;

use gateway::{Call, TestGateway, announce, store_with_manifest};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest};

/// Longer than a resumable stream of the tests' manifest may stay silent.
const QUEUE_TIME: Duration = Duration::from_millis(3_000);

/// Interval between requests that show that the engine answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Answers at once, except to the request `slow`, and reports `waiting` queued requests.
fn stream(request: &SeenRequest, waiting: u32) -> EngineReply {
    if request.message.header("attempt-id") == Some("slow") {
        thread::sleep(QUEUE_TIME);
    }
    let head = String::from_utf8(request.stream_head()).expect("a head is text");
    let load = format!("\r\nServer-Load: 6,{waiting},6\r\n\r\n");
    let mut bytes = head.replace("\r\n\r\n", &load).into_bytes();
    bytes.extend(SeenRequest::event(1));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Returns how many engines received the request `slow` while both kept answering other requests.
fn engines_that_saw_slow(waiting: u32) -> usize {
    let store = store_with_manifest();
    let engines = ["i-1", "i-2"].map(|id| {
        let engine = ScriptedEngine::spawn(move |request: &SeenRequest| stream(request, waiting));
        announce(&store, id, "engines", &engine, "available");
        engine
    });
    let gateway = TestGateway::start(&store);
    let mut prober = gateway.caller();
    let mut caller = gateway.caller();
    let slow = thread::spawn(move || caller.call(&Call::stream("slow")).is_whole);
    for round in 0..10 {
        thread::sleep(PROBE_INTERVAL);
        for turn in 0..4 {
            let id = format!("sign-{round}-{turn}");
            assert!(prober.call(&Call::stream(&id)).is_whole);
        }
    }
    assert!(slow.join().expect("the caller ends"));
    let saw = |engine: &&ScriptedEngine| {
        let seen = engine.seen();
        let mut ids = seen.iter().map(|seen| seen.message.header("attempt-id"));
        ids.any(|id| id == Some("slow"))
    };
    engines.iter().filter(saw).count()
}

/// Guards against needless moves in a burst of long prompts, when all engines have queues: a
/// request that left its queue for another one would wait from the start again and have its
/// documents read once more.
#[test]
fn a_request_waits_on_in_the_queue_of_an_engine_that_answers_others() {
    assert_eq!(engines_that_saw_slow(4), 1);
}

/// An engine without a queue has no reason to stay silent, so the request moves to another one.
#[test]
fn a_request_leaves_an_engine_that_is_silent_without_a_queue() {
    assert_eq!(engines_that_saw_slow(0), 2);
}
