//! How gateways heed engines that leave or ask for backoff.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, announce, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, SeenRequest};

/// The backoff that an engine of these tests asks for.
const BACKOFF: Duration = Duration::from_millis(1_500);

fn ok(request: &SeenRequest) -> EngineReply {
    EngineReply::Bytes(request.answer("done"))
}

/// Returns a good answer with another header.
fn ok_with(request: &SeenRequest, header: &str) -> EngineReply {
    let answer = String::from_utf8(request.answer("done")).expect("an answer is text");
    let header = format!("\r\n{header}\r\n");
    EngineReply::Bytes(answer.replacen("\r\n", &header, 1).into_bytes())
}

/// Turns a request away with this value of `Retry-After`.
fn turn_away(after: &str) -> EngineReply {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: {after}\r\nContent-Length: 0\r\n\r\n"
    );
    EngineReply::Bytes(text.into_bytes())
}

/// Turns the first request away for [`BACKOFF`], and serves all others.
fn back_off_at_first(request: &SeenRequest) -> EngineReply {
    match request.nth {
        0 => turn_away(&BACKOFF.as_secs_f64().to_string()),
        _ => ok(request),
    }
}

fn publish(gateway: &TestGateway, id: &str) -> u16 {
    gateway.caller().call(&Call::publish(id)).status()
}

// Guards against new sends to an engine that has said in an answer that it leaves.
#[test]
fn an_engine_that_says_that_it_leaves_gets_nothing_more() {
    let store = store_with_manifest();
    let leaving = start_engine(&store, "i-leaving", "desk", |request| {
        ok_with(request, "Server-Leaving: 1")
    });
    let gateway = TestGateway::start(&store);
    assert_eq!(publish(&gateway, "a1"), 200);
    gateway.wait_log("backend-leaving", |line| line["backend"] == "i-leaving");
    assert_eq!(publish(&gateway, "a2"), 503, "there is no other engine");
    let staying = start_engine(&store, "i-staying", "desk", ok);
    wait_for("the other engine serves", || publish(&gateway, "a3") == 200);
    // The registry says again that the engine serves.
    announce(&store, "i-leaving", "desk", &leaving, "available");
    std::thread::sleep(Duration::from_millis(700));
    for number in 0..10 {
        assert_eq!(publish(&gateway, &format!("b{number}")), 200);
    }
    assert_eq!(leaving.seen().len(), 1);
    assert!(staying.seen().len() > 10);
}

// Guards against a leaving engine that is heard only where its answer is good.
#[test]
fn an_engine_says_that_it_leaves_with_any_answer() {
    let answers = [
        "HTTP/1.1 500 Internal Server Error\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 50\r\n\r\ncut",
    ];
    for answer in answers {
        let store = store_with_manifest();
        let engine = start_engine(&store, "i-1", "desk", move |_| {
            EngineReply::BytesThenClose(answer.as_bytes().to_vec())
        });
        let gateway = TestGateway::start(&store);
        publish(&gateway, "a1");
        assert_eq!(publish(&gateway, "a2"), 503, "{answer}");
        assert_eq!(engine.seen().len(), 1, "{answer}");
    }
}

// Guards against an engine that is taken for leaving because another one has its address.
#[test]
fn a_misdirected_answer_does_not_say_that_the_engine_leaves() {
    let store = store_with_manifest();
    let engine = start_engine(&store, "i-1", "desk", |request| match request.nth {
        0 => EngineReply::Bytes(
            b"HTTP/1.1 421 Misdirected Request\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
                .to_vec(),
        ),
        _ => ok(request),
    });
    let gateway = TestGateway::start(&store);
    assert_eq!(publish(&gateway, "a1"), 503);
    wait_for("the engine serves", || publish(&gateway, "a2") == 200);
    assert!(engine.seen().len() > 1);
    assert!(gateway.log("backend-leaving").is_empty());
}

// Guards against sends to an engine before the end of its backoff.
#[test]
fn an_engine_that_asks_for_backoff_gets_nothing_until_its_time_is_over() {
    let store = store_with_manifest();
    let busy = start_engine(&store, "i-busy", "desk", back_off_at_first);
    let gateway = TestGateway::start(&store);
    let started = Instant::now();
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert!(started.elapsed() < BACKOFF / 2, "told at once");
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > BACKOFF.as_secs_f64() - 0.3, "{after}");
    while started.elapsed() < BACKOFF - Duration::from_millis(200) {
        assert_eq!(publish(&gateway, "a2"), 503);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(busy.seen().len(), 1);
    wait_for("the engine serves again", || publish(&gateway, "a3") == 200);
    let line = gateway.wait_log("backend-backoff", |line| line["backend"] == "i-busy");
    let explained = TestGateway::explain(&[&gateway], "a2");
    assert!(
        explained.contains("backend-backoff backend=i-busy"),
        "{explained}"
    );
    assert_eq!(line["for_ms"], BACKOFF.as_secs_f64() * 1e3);
}

// Guards against a request that waits for the backoff of one engine while another one serves.
#[test]
fn a_request_that_is_turned_away_goes_to_another_engine_at_once() {
    let store = store_with_manifest();
    let busy = start_engine(&store, "i-busy", "desk", |_| turn_away("30"));
    // The connections close, so that every call chooses an engine afresh.
    let _serving = start_engine(&store, "i-serving", "desk", |request| {
        ok_with(request, "Connection: close")
    });
    let gateway = TestGateway::start(&store);
    wait_for("the busy engine was asked", || {
        assert_eq!(publish(&gateway, "a1"), 200);
        !busy.seen().is_empty()
    });
    for number in 0..10 {
        assert_eq!(publish(&gateway, &format!("b{number}")), 200);
    }
    assert_eq!(busy.seen().len(), 1);
}

// Guards against a value of `Retry-After` that is no time and closes an engine.
#[test]
fn a_value_that_is_no_time_closes_no_engine() {
    for value in [
        "0",
        "-3",
        "soon",
        "NaN",
        "inf",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        let store = store_with_manifest();
        let engine = start_engine(&store, "i-1", "desk", move |request| match request.nth {
            0 => turn_away(value),
            _ => ok(request),
        });
        let gateway = TestGateway::start(&store);
        assert_eq!(publish(&gateway, "a1"), 503, "{value}");
        assert_eq!(publish(&gateway, "a2"), 200, "{value}");
        assert_eq!(engine.seen().len(), 2, "{value}");
    }
}
