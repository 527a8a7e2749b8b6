//! How a gateway handles a single call, down to the bytes on its connections.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Call, KEY, TestGateway, announce, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore};

type Script = fn(&SeenRequest) -> EngineReply;

fn desk_engine(store: &UsersStore, id: &str, script: Script) -> ScriptedEngine {
    let engine = ScriptedEngine::spawn(script);
    announce(store, id, "desk", &engine, "available");
    engine
}

fn model_engine(store: &UsersStore, id: &str, script: Script) -> ScriptedEngine {
    let engine = ScriptedEngine::spawn(script);
    announce(store, id, "engines", &engine, "available");
    engine
}

fn ok(request: &SeenRequest) -> EngineReply {
    EngineReply::Bytes(request.answer("done"))
}

/// Closes each connection after its answer, so that every call chooses an engine afresh.
fn ok_and_close(request: &SeenRequest) -> EngineReply {
    let answer = String::from_utf8(request.answer("done")).expect("an answer is text");
    let answer = answer.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    EngineReply::BytesThenClose(answer.into_bytes())
}

fn whole_stream(request: &SeenRequest, from: u64, to: u64) -> Vec<u8> {
    let mut bytes = request.stream_head();
    for id in from..=to {
        bytes.extend(SeenRequest::event(id));
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

#[test]
fn a_call_goes_through_unchanged_but_for_what_the_gateway_sets() {
    let store = store_with_manifest();
    let engine = desk_engine(&store, "i-1", ok);
    let gateway = TestGateway::start(&store);
    let call = Call {
        path: "/publish/x?y=%20z",
        headers: "X-Own: kept\r\nTenant: forged\r\nPin-Ms: 4000\r\nKv-From: 1.2.3.4:5/6\r\nConnection: x-hop\r\nX-Hop: 1\r\n",
        ..Call::publish("a1")
    };
    let answer = gateway.caller().call(&call);
    assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    assert_eq!(answer.header("server-signature"), Some("proof-a1"));
    let seen = &engine.seen()[0].message;
    assert_eq!(seen.start, "POST /publish/x?y=%20z HTTP/1.1");
    assert_eq!(seen.text(), "a notice");
    assert_eq!(seen.header("x-own"), Some("kept"));
    assert_eq!(seen.header("tenant"), Some("press"));
    assert_eq!(seen.header("target-instance"), Some("i-1"));
    for dropped in ["authorization", "pin-ms", "kv-from", "x-hop", "connection"] {
        assert_eq!(seen.header(dropped), None, "{dropped}");
    }
    let left: u64 = seen.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1_000..=1_500).contains(&left), "{left}");
}

#[test]
fn a_call_without_route_or_key_is_refused_and_the_connection_goes_on() {
    let store = store_with_manifest();
    let engine = desk_engine(&store, "i-1", ok);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    let unknown = Call {
        path: "/nowhere/",
        ..Call::lookup("a1")
    };
    assert_eq!(caller.call(&unknown).status(), 404);
    let text = Call::lookup("a2").text().replace(KEY, "another-key");
    caller.send(&text);
    assert_eq!(caller.read().unwrap().status(), 401);
    assert_eq!(caller.call(&Call::lookup("a3")).status(), 200);
    assert_eq!(engine.seen().len(), 1);
}

#[test]
fn malformed_and_smuggled_heads_are_refused_with_a_close() {
    let store = store_with_manifest();
    let engine = desk_engine(&store, "i-1", ok);
    let gateway = TestGateway::start(&store);
    let head = "POST /publish/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\n";
    let key = format!("Authorization: Bearer {KEY}\r\n");
    let cases = [
        format!("{head}{key}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}{key}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
        format!("{head}{key}Content-Length: +5\r\n\r\nhello"),
        format!("{head}{key}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
        format!("{head}{key}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}{key}Content-Length: 0\n\r\n\r\n"),
        format!("{head}Host: other.example\r\n{key}Content-Length: 0\r\n\r\n"),
        format!("POST /publish/x HTTP/1.1\r\nAttempt-Id: a\r\n{key}Content-Length: 0\r\n\r\n"),
        format!("{head}{key}Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"),
    ];
    for case in &cases {
        let mut caller = gateway.caller();
        caller.send(case);
        let answer = caller.read().unwrap_or_default();
        assert_eq!(answer.status(), 400, "{case:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{case:?}");
        assert!(caller.read_rest().is_empty(), "{case:?}");
    }
    assert!(engine.seen().is_empty());
}

#[test]
fn long_heads_long_bodies_and_slow_heads_are_refused() {
    let store = store_with_manifest();
    let _engine = desk_engine(&store, "i-1", ok);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    let filler = format!("X-Filler: {}\r\n", "x".repeat(5_000));
    caller.send(
        &Call {
            headers: &filler,
            ..Call::publish("a1")
        }
        .text(),
    );
    assert_eq!(caller.read().unwrap().status(), 431);
    let mut caller = gateway.caller();
    let text = Call::publish("a2")
        .text()
        .replace("Content-Length: 8", "Content-Length: 200000");
    caller.send(&text);
    assert_eq!(caller.read().unwrap().status(), 413);
    let mut caller = gateway.caller();
    caller.send("GET /lookup/x HTTP/1.1\r\nHost: ");
    assert_eq!(caller.read().unwrap().status(), 408);
}

#[test]
fn a_call_that_may_run_once_is_not_sent_again_after_a_reset() {
    let store = store_with_manifest();
    let script: Script = |_| EngineReply::BytesThenReset(Vec::new());
    let engines = [
        desk_engine(&store, "i-1", script),
        desk_engine(&store, "i-2", script),
    ];
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.header("retry-after"), None);
    assert!(answer.text().contains("may-have-run"));
    let sends: usize = engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(sends, 1);
}

#[test]
fn a_call_that_an_engine_did_not_run_goes_to_another_one() {
    let store = store_with_manifest();
    let full: Script = |_| {
        let head =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        EngineReply::Bytes(head.as_bytes().to_vec())
    };
    let refusing = desk_engine(&store, "i-1", full);
    let serving = desk_engine(&store, "i-2", ok_and_close);
    let gateway = TestGateway::start(&store);
    let mut calls = 0;
    wait_for("one call met the full engine first", || {
        calls += 1;
        let id = format!("a{calls}");
        assert_eq!(gateway.caller().call(&Call::publish(&id)).status(), 200);
        !refusing.seen().is_empty()
    });
    assert_eq!(serving.seen().len(), calls);
}

#[test]
fn a_call_that_no_engine_ran_is_refused_with_a_retry_time() {
    let store = store_with_manifest();
    let full: Script = |_| {
        let head =
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n";
        EngineReply::Bytes(head.as_bytes().to_vec())
    };
    let engine = desk_engine(&store, "i-1", full);
    let gateway = TestGateway::start(&store);
    let started = Instant::now();
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "told at once"
    );
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0, "{after}");
    assert_eq!(engine.seen().len(), 1);
}

#[test]
fn an_idempotent_call_is_tried_at_a_second_engine() {
    let store = store_with_manifest();
    let broken: Script = |_| EngineReply::BytesThenReset(b"HTTP/1.1 200 OK\r\nConte".to_vec());
    let broken = desk_engine(&store, "i-1", broken);
    let _serving = desk_engine(&store, "i-2", ok_and_close);
    let gateway = TestGateway::start(&store);
    let mut calls = 0;
    wait_for("one call met the broken engine first", || {
        calls += 1;
        let id = format!("a{calls}");
        let answer = gateway.caller().call(&Call::lookup(&id));
        assert_eq!(answer.status(), 200, "{id}");
        !broken.seen().is_empty()
    });
}

#[test]
fn bytes_after_an_answer_belong_to_no_call() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let mut bytes = request.answer("done");
        bytes.extend(b"HTTP/1.1 200 OK\r\nServer-Signature: x\r\nContent-Length: 5\r\n\r\nstray");
        EngineReply::Bytes(bytes)
    };
    let engine = desk_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    for id in ["a1", "a2", "a3"] {
        let answer = gateway.caller().call(&Call::publish(id));
        assert_eq!((answer.status(), answer.text().as_str()), (200, "done"));
    }
    let reused = engine.seen().iter().any(|seen| seen.nth_on_connection > 0);
    assert!(!reused, "a connection with stray bytes is not used again");
}

#[test]
fn a_late_answer_to_another_call_is_skipped() {
    let store = store_with_manifest();
    let script: Script = |request| match request.nth {
        0 => EngineReply::Bytes(request.answer("first")),
        _ => {
            let mut bytes = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: x\r\nContent-Length: 5\r\n\r\nfirst".to_vec();
            bytes.extend(request.answer("second"));
            EngineReply::Bytes(bytes)
        }
    };
    let engine = desk_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    assert_eq!(caller.call(&Call::publish("a1")).text(), "first");
    assert_eq!(caller.call(&Call::publish("a2")).text(), "second");
    assert_eq!(engine.seen()[1].nth_on_connection, 1, "the same connection");
}

// Guards against an earlier refusal, written once more on a kept connection, that is taken for the answer to the
// request on it: its caller is told "not run", and it runs at a second engine.
#[test]
fn an_earlier_refusal_on_a_kept_connection_refuses_no_other_call() {
    for stale_id in ["", "Attempt-Id: a1\r\n"] {
        let store = store_with_manifest();
        let refusal = |id_line: &str| {
            format!("HTTP/1.1 503 Full\r\n{id_line}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        };
        let script = move |request: &SeenRequest| {
            if request.message.header("attempt-id") == Some("a1") {
                return EngineReply::Bytes(refusal("Attempt-Id: a1\r\n").into_bytes());
            }
            let mut bytes = refusal(stale_id).into_bytes();
            bytes.extend(request.answer("done"));
            EngineReply::Bytes(bytes)
        };
        let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "desk", script));
        let gateway = TestGateway::start(&store);
        let mut caller = gateway.caller();
        assert_eq!(caller.call(&Call::publish("a1")).status(), 503);
        let answer = caller.call(&Call::publish("a2"));
        assert_ne!(answer.status(), 503, "{stale_id:?}");
        let runs = engines.iter().flat_map(ScriptedEngine::seen);
        let runs = runs.filter(|seen| seen.message.header("attempt-id") == Some("a2"));
        let runs: Vec<SeenRequest> = runs.collect();
        assert_eq!(runs.len(), 1, "{stale_id:?}");
        assert_eq!(runs[0].nth_on_connection, 1, "the same connection");
    }
}

#[test]
fn an_answer_without_proof_or_in_an_encoding_is_not_delivered_as_a_success() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let id = request.message.header("attempt-id").unwrap_or("");
        let extra = if request.nth == 0 {
            ""
        } else {
            "Server-Signature: p\r\nContent-Encoding: gzip\r\n"
        };
        let text =
            format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{extra}Content-Length: 4\r\n\r\nwhat");
        EngineReply::Bytes(text.into_bytes())
    };
    let _engine = desk_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    assert_eq!(gateway.caller().call(&Call::publish("a1")).status(), 502);
    assert_eq!(gateway.caller().call(&Call::publish("a2")).status(), 502);
}

#[test]
fn an_answer_without_a_length_is_whole_only_if_its_connection_ends_in_order() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let id = request.message.header("attempt-id").unwrap_or("");
        let text =
            format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: p\r\n\r\nthe whole");
        match request.nth {
            0 => EngineReply::BytesThenClose(text.into_bytes()),
            _ => EngineReply::BytesThenReset(text.into_bytes()),
        }
    };
    let _engine = desk_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert_eq!(
        (answer.status(), answer.text().as_str()),
        (200, "the whole")
    );
    assert_eq!(gateway.caller().call(&Call::publish("a2")).status(), 502);
}

#[test]
fn an_engines_own_failure_is_delivered_as_it_is() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let bytes = String::from_utf8(request.answer("sorry")).unwrap();
        EngineReply::Bytes(
            bytes
                .replace("200 OK", "500 Internal Server Error")
                .into_bytes(),
        )
    };
    let engine = desk_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::publish("a1"));
    assert_eq!((answer.status(), answer.text().as_str()), (500, "sorry"));
    assert_eq!(answer.header("server-signature"), Some("proof-a1"));
    assert_eq!(engine.seen().len(), 1);
}

#[test]
fn a_stream_goes_on_after_its_last_whole_event_at_another_engine() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let from = request
            .message
            .header("last-event-id")
            .map_or(0, |id| id.parse().unwrap());
        if from == 0 {
            let mut bytes = request.stream_head();
            bytes.extend(SeenRequest::event(1));
            bytes.extend(SeenRequest::event(2));
            bytes.extend(b"20\r\nid: 3\ndata: pie");
            return EngineReply::BytesThenReset(bytes);
        }
        EngineReply::Bytes(whole_stream(request, from + 1, 4))
    };
    let engines = [
        model_engine(&store, "i-1", script),
        model_engine(&store, "i-2", script),
    ];
    let gateway = TestGateway::start(&store);
    let answer = gateway.caller().call(&Call::stream("a1"));
    assert!(answer.is_whole);
    let ids: Vec<String> = answer
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("id: ").map(str::to_owned))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4"]);
    let resumed = engines
        .iter()
        .flat_map(ScriptedEngine::seen)
        .find(|seen| seen.message.header("last-event-id").is_some());
    assert_eq!(resumed.unwrap().message.header("last-event-id"), Some("2"));
}

#[test]
fn a_stream_that_cannot_go_on_never_looks_whole() {
    let store = store_with_manifest();
    let script: Script = |request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        EngineReply::BytesThenReset(bytes)
    };
    let engine = model_engine(&store, "i-1", script);
    let gateway = TestGateway::start(&store);
    let call = Call {
        path: "/draft/x",
        ..Call::stream("a1")
    };
    let answer = gateway.caller().call(&call);
    assert!(!answer.is_whole);
    assert_eq!(engine.seen().len(), 1);
}

#[test]
fn a_failure_that_answers_a_resumed_stream_is_not_written_into_it() {
    let store = store_with_manifest();
    let script: Script = |request| {
        if request.message.header("last-event-id").is_some() {
            let bytes = String::from_utf8(request.answer("sorry")).unwrap();
            return EngineReply::Bytes(
                bytes
                    .replace("200 OK", "500 Internal Server Error")
                    .into_bytes(),
            );
        }
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        EngineReply::BytesThenReset(bytes)
    };
    let _engines = [
        model_engine(&store, "i-1", script),
        model_engine(&store, "i-2", script),
    ];
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    caller.send(&Call::stream("a1").text());
    let bytes = String::from_utf8(caller.read_rest()).unwrap();
    assert!(bytes.contains("id: 1"), "{bytes}");
    assert!(
        !bytes.contains("500") && !bytes.ends_with("0\r\n\r\n"),
        "{bytes}"
    );
}

// Guards against the text of an error, or its whole head, in the middle of a stream that has begun, and against a stream
// that such an error ends as if it were complete.
#[test]
fn no_error_that_answers_a_resumed_stream_is_written_into_it() {
    let head = |status: &str, headers: &str| {
        format!("HTTP/1.1 {status}\r\nAttempt-Id: ID\r\n{headers}\r\n")
    };
    let signed = "Server-Signature: proof-ID\r\n";
    let text = "Content-Type: text/plain\r\n";
    let events = "Content-Type: text/event-stream\r\n";
    let errors = [
        head("500 Broken", "Transfer-Encoding: chunked\r\n") + "5\r\nsorry\r\n0\r\n\r\n",
        head("500 Broken", &format!("{signed}Connection: close\r\n")) + "sorry\n\n",
        head("404 Missing", &format!("{signed}Content-Length: 7\r\n")) + "sorry\n\n",
        head("200 OK", &format!("{signed}{text}Content-Length: 7\r\n")) + "sorry\n\n",
        head("200 OK", &format!("{signed}{text}Content-Length: 0\r\n")),
        head("200 OK", &format!("{signed}{events}Content-Length: 20\r\n"))
            + "event: error\ndata: x\n\n",
        head("204 Nothing", signed),
        "sorry, an error\r\n\r\n".to_owned(),
    ];
    for error in errors {
        let store = store_with_manifest();
        let reply = error.clone();
        let script = move |request: &SeenRequest| {
            if request.message.header("last-event-id").is_some() {
                let id = request
                    .message
                    .header("attempt-id")
                    .expect("calls have ids");
                return EngineReply::BytesThenClose(reply.replace("ID", id).into_bytes());
            }
            let mut bytes = request.stream_head();
            bytes.extend(SeenRequest::event(1));
            EngineReply::BytesThenReset(bytes)
        };
        let engines = ["i-1", "i-2"].map(|id| start_engine(&store, id, "engines", script.clone()));
        let gateway = TestGateway::start(&store);
        let mut caller = gateway.caller();
        caller.send(&Call::stream("a1").text());
        let bytes = String::from_utf8(caller.read_rest()).expect("streams are text");
        let seen = engines.iter().map(|engine| engine.seen().len());
        assert_eq!(seen.sum::<usize>(), 2, "it was resumed: {error}");
        let end = bytes.split("id: 1").nth(1).expect("the first event");
        assert!(!end.contains("HTTP/1.1"), "{error}: {bytes}");
        assert!(
            !end.contains("sorry") && !end.contains("error"),
            "{error}: {bytes}"
        );
        assert!(!bytes.ends_with("0\r\n\r\n"), "{error}: {bytes}");
    }
}

#[test]
fn an_engine_stops_when_its_caller_leaves() {
    let store = store_with_manifest();
    let silent: Script = |request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        EngineReply::BytesThenSilence(bytes)
    };
    let engine = model_engine(&store, "i-1", silent);
    let gateway = TestGateway::start(&store);
    // The caller leaves in the middle of the stream, and below while it waits for the first byte.
    let mut caller = gateway.caller();
    caller.send(&Call::stream("a1").text());
    caller.read_until("id: 1");
    drop(caller);
    wait_for("the engine's connection closes", || {
        engine.closed_early() == 1
    });
    let no_reply: Script = |_| EngineReply::BytesThenSilence(Vec::new());
    let second_engine = desk_engine(&store, "i-2", no_reply);
    let mut caller = gateway.caller();
    wait_for("the call arrives", || {
        caller.send(&Call::publish("a2").text());
        std::thread::sleep(Duration::from_millis(100));
        !second_engine.seen().is_empty()
    });
    drop(caller);
    wait_for("the engine's connection closes", || {
        second_engine.closed_early() >= 1
    });
}

#[test]
fn a_call_without_an_answer_ends_at_its_deadline() {
    let store = store_with_manifest();
    let no_reply: Script = |_| EngineReply::BytesThenSilence(Vec::new());
    let _engine = desk_engine(&store, "i-1", no_reply);
    let gateway = TestGateway::start(&store);
    let call = Call {
        time_ms: 400,
        ..Call::publish("a1")
    };
    let started = Instant::now();
    let answer = gateway.caller().call(&call);
    assert_eq!(answer.status(), 504);
    assert!(
        started.elapsed() < Duration::from_millis(650),
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn a_chunked_body_is_forwarded_after_100_continue() {
    let store = store_with_manifest();
    let engine = desk_engine(&store, "i-1", ok);
    let gateway = TestGateway::start(&store);
    let mut caller = gateway.caller();
    let head = Call::publish("a1").text().replace(
        "Content-Length: 8\r\n\r\na notice",
        "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n",
    );
    caller.send(&head);
    assert!(caller.read_until("\r\n\r\n").contains("100 Continue"));
    caller.send("4\r\na no\r\n4;x=y\r\ntice\r\n0\r\n\r\n");
    assert_eq!(caller.read().unwrap().status(), 200);
    let seen = &engine.seen()[0].message;
    assert_eq!(seen.text(), "a notice");
    assert_eq!(seen.header("expect"), None);
}

/// Guards against late delivery of a request that was given up: if a link is cut while the request
/// is in transit, a close would let the system deliver it once the link recovers, long after the
/// caller was told that it failed. Only a reset discards it.
#[test]
fn a_request_that_was_given_up_is_aborted_by_a_reset() {
    let store = store_with_manifest();
    let no_reply: Script = |_| EngineReply::BytesThenSilence(Vec::new());
    let engine = desk_engine(&store, "i-1", no_reply);
    let gateway = TestGateway::start(&store);
    let call = Call {
        time_ms: 300,
        ..Call::publish("a1")
    };
    assert_eq!(gateway.caller().call(&call).status(), 504);
    wait_for("the connection ends", || engine.closed_early() == 1);
    assert_eq!(engine.resets(), 1);
}

// Guards against a request on a kept connection that is measured by the limits of the manifest before.
#[test]
fn a_connection_that_was_idle_over_a_change_of_the_limits_has_the_new_ones() {
    let store = UsersStore::spawn();
    let limited = |version: u64, body_bytes: u64| {
        let mut text = gateway::manifest(version);
        text["limits"]["max_body_bytes"] = body_bytes.into();
        text.to_string()
    };
    store.put("op/config", limited(1, 1_000));
    let _engine = start_engine(&store, "i-1", "desk", |request| {
        EngineReply::Bytes(request.answer("done"))
    });
    let gateway = TestGateway::start(&store);
    let mut kept = gateway.caller();
    assert_eq!(kept.call(&Call::publish("a1")).status(), 200);
    store.put("op/config", limited(2, 20_000));
    gateway.wait_log("belief", |line| {
        line["change"] == "manifest" && line["version"] == 2
    });
    let body = "x".repeat(10_000);
    let long = Call {
        body: &body,
        ..Call::publish("a2")
    };
    assert_eq!(kept.call(&long).status(), 200);
}
