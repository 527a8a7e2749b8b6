//! Bytes without end from the store, the provider and other gateways.

mod gateway;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, start_engine, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore, read_message};
use serde_json::{Value, json};

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// The longest time to the answer of a call.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// The longest time to an answer of the readiness check.
const READINESS_TIME: Duration = Duration::from_millis(300);

/// The memory that the gateway may use: half of what its settings grant, in kilobytes.
const MEMORY_KILOBYTES: u64 = 110 * 1_024 / 2;

/// The number of gateways that flood at once.
const FLOODING_GATEWAYS: usize = 32;

/// The part of an answer that goes on without end.
#[derive(Debug, Clone, Copy)]
enum FloodPart {
    Head,
    Body,
    Chunks,
    Trailers,
}

/// All parts of an answer that can go on without end.
const FLOOD_PARTS: [FloodPart; 4] = [
    FloodPart::Head,
    FloodPart::Body,
    FloodPart::Chunks,
    FloodPart::Trailers,
];

impl FloodPart {
    fn reply(self) -> EngineReply {
        let line = "X-More: endless\r\n".repeat(256).into_bytes();
        let chunk = SeenRequest::chunk(&"endless ".repeat(512));
        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::Head => EngineReply::Flood(b"HTTP/1.1 200 OK\r\n".to_vec(), line),
            Self::Body => EngineReply::Flood(b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), line),
            Self::Chunks => EngineReply::Flood(chunked.to_vec(), chunk),
            Self::Trailers => EngineReply::Flood([&chunked[..], b"0\r\n"].concat(), line),
        }
    }
}

/// A switch that begins and ends a flood.
#[derive(Clone, Default)]
struct FloodSwitch(Arc<AtomicBool>);

impl FloodSwitch {
    fn set(&self, floods: bool) {
        self.0.store(floods, Ordering::Relaxed);
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Passes a call on to a store, and returns its answer.
fn forward(store: SocketAddr, request: &SeenRequest) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(store).ok()?;
    let message = &request.message;
    let head = format!(
        "{}\r\nHost: s\r\nContent-Length: {}\r\n\r\n",
        message.start,
        message.body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&message.body).ok()?;
    let answer = read_message(&mut BufReader::new(stream)).ok()??;
    let era = answer.header("store-era").unwrap_or("1").to_owned();
    let head = format!(
        "{}\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        answer.start,
        answer.body.len()
    );
    Some([head.as_bytes(), &answer.body].concat())
}

/// Starts a store that can flood the answers to all calls.
fn flooding_store(store: &UsersStore, part: FloodPart, switch: &FloodSwitch) -> ScriptedEngine {
    let (address, switch) = (store.address(), switch.clone());
    ScriptedEngine::spawn(move |request| match switch.is_on() {
        true => part.reply(),
        false => forward(address, request)
            .map_or(EngineReply::BytesThenClose(Vec::new()), EngineReply::Bytes),
    })
}

/// Adds the duties to the settings, with short windows.
fn with_duties(text: &mut Value, provider: SocketAddr) {
    text["provider"] = json!({"address": provider, "tasks": ["metering"], "tasks_per_s": 50.0});
    text["bounds"]["lease_ms"] = json!(1_000);
    text["bounds"]["report_window_s"] = json!(1);
    text["bounds"]["usage_delay_s"] = json!(4);
    text["platform"]["min_ttl_ms"] = json!(200);
}

/// Serves callers during a flood, and checks that they, the readiness check and the machine notice nothing.
fn assert_serves(gateway: &TestGateway, story: &str) {
    let until = Instant::now() + FLOOD_TIME;
    let mut memory = 0;
    let mut number = 0;
    while Instant::now() < until {
        let started = Instant::now();
        assert!(gateway.is_ready(), "{story}");
        let took = started.elapsed();
        assert!(took <= READINESS_TIME, "{story}: readiness took {took:?}");
        let id = format!("a{number}");
        let started = Instant::now();
        let answer = gateway.caller().call(&Call::publish(&id));
        assert_eq!(answer.status(), 200, "{story}");
        assert!(started.elapsed() <= ANSWER_TIME, "{story}");
        memory = memory.max(gateway.resident_kilobytes());
        number += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(memory <= MEMORY_KILOBYTES, "{story}: {memory} kB");
}

fn done(request: &SeenRequest) -> EngineReply {
    EngineReply::Bytes(request.answer("done"))
}

// Guards against a store in trouble whose answers fill the memory of each gateway that calls it.
#[test]
fn answers_of_the_store_without_end_cost_no_caller() {
    for part in FLOOD_PARTS {
        let store = store_with_manifest();
        let _engine = start_engine(&store, "i-1", "desk", done);
        let switch = FloodSwitch::default();
        let flooding = flooding_store(&store, part, &switch);
        let provider = ScriptedEngine::spawn(done);
        let gateway = TestGateway::spawn_changed("edge-1", flooding.address(), &[], true, |text| {
            with_duties(text, provider.address());
        });
        gateway.wait_ready();
        let calls = flooding.seen().len();
        switch.set(true);
        assert_serves(&gateway, &format!("{part:?} of the store"));
        assert!(flooding.seen().len() > calls, "no call met the flood");
        switch.set(false);
        gateway.wait_log("store-regained", |_| true);
    }
}

// Guards against a provider in trouble whose answers fill the memory of the gateway that reports to it.
#[test]
fn answers_of_the_provider_without_end_cost_no_caller() {
    for part in FLOOD_PARTS {
        let store = store_with_manifest();
        let _engine = start_engine(&store, "i-1", "desk", done);
        let provider = ScriptedEngine::spawn(move |_| part.reply());
        let gateway = TestGateway::spawn_changed("edge-1", store.address(), &[], true, |text| {
            with_duties(text, provider.address());
        });
        gateway.wait_ready();
        wait_for("the provider is called", || !provider.seen().is_empty());
        assert_serves(&gateway, &format!("{part:?} of the provider"));
    }
}

// Guards against other gateways in trouble, of which several are queried at once, whose answers fill the memory.
#[test]
fn answers_of_other_gateways_without_end_cost_no_caller() {
    for part in FLOOD_PARTS {
        let store = store_with_manifest();
        let _engine = start_engine(&store, "i-1", "desk", done);
        let provider = ScriptedEngine::spawn(done);
        let others: Vec<_> = (0..FLOODING_GATEWAYS)
            .map(|_| ScriptedEngine::spawn(move |_| part.reply()))
            .collect();
        for (number, other) in others.iter().enumerate() {
            let entry = json!({"control": other.address(), "zone": "north-b"});
            store.put(&format!("gateways/edge-0{number}"), entry.to_string());
        }
        let gateway = TestGateway::spawn_changed("edge-1", store.address(), &[], true, |text| {
            with_duties(text, provider.address());
        });
        gateway.wait_ready();
        wait_for("all other gateways are queried", || {
            others.iter().all(|other| !other.seen().is_empty())
        });
        assert_serves(&gateway, &format!("{part:?} of other gateways"));
    }
}
