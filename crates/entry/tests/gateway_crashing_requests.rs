//! Requests that crash each engine that runs them, whatever else the engine does.

mod gateway;

use std::time::Duration;

use gateway::crashing::{CrashScript, CrashingEngines, ENGINES, STABLE_TIME};
use gateway::{Call, TestGateway, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest, UsersStore, WireMessage};
use serde_json::json;

/// The last segment of the path of requests that crash engines.
const CRASHING: &str = "crashing";

/// The last segment of the path of requests that engines hold without an answer.
const HELD: &str = "held";

/// The body of requests that crash no engine, whatever their path.
const SOUND_BODY: &str = "a sound notice";

/// The number of crashes after which the gateways must know the request.
const KNOWN_AFTER: usize = 3;

/// The number of retries of the request that may reach engines after that.
const ALLOWED_LATER: usize = 3;

/// A kind of request, with its route and service.
#[derive(Clone, Copy)]
struct Kind {
    call: fn(&'static str) -> Call<'static>,
    route: &'static str,
    service: &'static str,
}

const LOOKUP: Kind = Kind {
    call: Call::lookup,
    route: "lookup",
    service: "desk",
};

const PUBLISH: Kind = Kind {
    call: Call::publish,
    route: "publish",
    service: "desk",
};

const STREAM: Kind = Kind {
    call: Call::stream,
    route: "digest",
    service: "engines",
};

impl Kind {
    fn start(self) -> CrashingEngines {
        CrashingEngines::start(CrashScript {
            service: self.service,
            answer,
            is_crashing,
        })
    }

    fn send(self, gateway: &TestGateway, id: &str, segment: &str) -> WireMessage {
        let path = format!("/{}/{segment}", self.route);
        let call = Call {
            id,
            path: &path,
            ..(self.call)("")
        };
        gateway.caller().call(&call)
    }

    fn send_crashing(self, gateway: &TestGateway, id: &str) {
        let call = Call {
            id,
            path: &format!("/{}/{CRASHING}", self.route),
            ..(self.call)("")
        };
        // The answer may be cut off.
        let mut caller = gateway.caller();
        caller.send(&call.text());
        caller.read();
    }

    /// Sends the crashing request until the gateways must know it.
    fn crash(self, engines: &mut CrashingEngines, gateways: &[&TestGateway]) {
        let send = |gateway: &TestGateway, id: &str| self.send_crashing(gateway, id);
        let send_sound = |gateway: &TestGateway, id: &str| {
            self.send(gateway, id, "sound");
        };
        engines.crash(gateways, KNOWN_AFTER, send, send_sound);
        assert!(engines.crashes() >= KNOWN_AFTER, "the request crashes");
    }

    fn send_later(
        self,
        engines: &mut CrashingEngines,
        gateways: &[&TestGateway],
        count: usize,
    ) -> usize {
        let send = |gateway: &TestGateway, id: &str| self.send_crashing(gateway, id);
        engines.send_later(gateways, count, send)
    }
}

fn is_crashing(request: &SeenRequest) -> bool {
    request.message.start.contains(CRASHING) && request.message.text() != SOUND_BODY
}

/// Answers at once; crashes in the middle of a stream, and before any other answer, if the request crashes engines.
fn answer(request: &SeenRequest) -> EngineReply {
    if request.message.start.contains(HELD) {
        return EngineReply::BytesThenSilence(Vec::new());
    }
    let is_stream = request.message.start.contains("/digest/");
    let mut bytes = match is_stream {
        true => request.stream_head(),
        false => Vec::new(),
    };
    if is_stream {
        let last = request.message.header("last-event-id");
        let last: u64 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
        bytes.extend(SeenRequest::event(last + 1));
        bytes.extend(SeenRequest::event(last + 2));
    }
    match (is_crashing(request), is_stream) {
        (true, _) => EngineReply::BytesThenCrash(bytes),
        (false, true) => {
            bytes.extend(b"0\r\n\r\n");
            EngineReply::Bytes(bytes)
        }
        (false, false) => EngineReply::Bytes(request.answer("found")),
    }
}

fn two_gateways(engines: &CrashingEngines) -> [TestGateway; 2] {
    let gateways = ["edge-1", "edge-2"].map(|name| TestGateway::spawn(name, &engines.store, &[]));
    for gateway in &gateways {
        gateway.wait_ready();
    }
    gateways
}

fn assert_reaches_no_more(kind: Kind) {
    let mut engines = kind.start();
    let [one, other] = &two_gateways(&engines);
    kind.crash(&mut engines, &[one, other]);
    std::thread::sleep(STABLE_TIME);
    let later = kind.send_later(&mut engines, &[one, other], 20);
    assert!(later <= ALLOWED_LATER, "{later} reached engines");
}

// Guards against repeats of a request that may run again, sent on to engine after engine.
#[test]
fn a_lookup_that_has_crashed_engines_reaches_no_more_of_them() {
    assert_reaches_no_more(LOOKUP);
}

// Guards against new attempts of a request that may run once, each at another engine.
#[test]
fn a_publication_that_has_crashed_engines_reaches_no_more_of_them() {
    assert_reaches_no_more(PUBLISH);
}

// Guards against a crash in the middle of a stream, whose first events show nothing about its end.
#[test]
fn a_stream_that_has_crashed_engines_after_its_first_events_reaches_no_more_of_them() {
    assert_reaches_no_more(STREAM);
}

// Guards against a gateway that learns of the request only from crashes of its own.
#[test]
fn a_gateway_that_starts_later_learns_of_the_request_from_the_others() {
    let mut engines = LOOKUP.start();
    let one = TestGateway::spawn("edge-1", &engines.store, &[]);
    one.wait_ready();
    LOOKUP.crash(&mut engines, &[&one]);
    let other = TestGateway::spawn("edge-2", &engines.store, &[]);
    other.wait_ready();
    std::thread::sleep(STABLE_TIME);
    let later = LOOKUP.send_later(&mut engines, &[&other], 10);
    assert!(later <= ALLOWED_LATER, "{later} reached engines");
}

// Guards against a quarantine that also keeps other requests of the same caller from engines, with the
// same path or the same body.
#[test]
fn other_requests_of_the_caller_are_served() {
    let mut engines = PUBLISH.start();
    let [one, other] = &two_gateways(&engines);
    PUBLISH.crash(&mut engines, &[one, other]);
    std::thread::sleep(STABLE_TIME);
    for number in 0..20 {
        let gateway = [one, other][number % 2];
        PUBLISH.send_crashing(gateway, &format!("later{number}"));
        engines.replace();
        let other_path = PUBLISH.send(gateway, &format!("path{number}"), "sound");
        assert_eq!(other_path.status(), 200, "request {number}");
        let other_body = gateway.caller().call(&Call {
            id: &format!("body{number}"),
            path: &format!("/publish/{CRASHING}"),
            body: SOUND_BODY,
            ..Call::publish("")
        });
        assert_eq!(other_body.status(), 200, "request {number}");
    }
}

// Guards against a caller that is not told whether its request ran, nor when to come back.
#[test]
fn a_quarantined_request_is_refused_as_not_run() {
    let mut engines = LOOKUP.start();
    let gateway = TestGateway::start(&engines.store);
    LOOKUP.crash(&mut engines, &[&gateway]);
    std::thread::sleep(STABLE_TIME);
    let before = engines.reached();
    let answer = LOOKUP.send(&gateway, "later", CRASHING);
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(engines.reached(), before);
    let line = gateway.wait_log("quarantined", |line| line["id"] == "later");
    let failed = &gateway.log("attempt-failed")[0];
    assert_eq!(line["digest"], failed["digest"]);
    let explained = TestGateway::explain(&[&gateway], "later");
    assert!(explained.contains("digest="), "{explained}");
    assert!(gateway.page("/metrics").contains("quarantined-requests"));
}

// Guards against an outage that is taken for the work of a request that callers repeat all the time.
#[test]
fn engines_that_end_together_quarantine_no_request() {
    let mut engines = LOOKUP.start();
    let gateway = TestGateway::start(&engines.store);
    let mut callers = Vec::new();
    for number in 0..ENGINES * 2 {
        let call = Call {
            id: &format!("held{number}"),
            path: &format!("/lookup/{HELD}"),
            ..Call::lookup("")
        };
        let mut caller = gateway.caller();
        caller.send(&call.text());
        callers.push(caller);
    }
    wait_for("the engines hold requests", || {
        engines.seen() >= ENGINES * 2
    });
    engines.crash_all(&mut callers);
    wait_for("the engines serve again", || {
        LOOKUP.send(&gateway, "sound", "sound").status() == 200
    });
    assert!(gateway.log("request-quarantined").is_empty());
}

/// Two engines that start again under their ids.
struct KeptIds {
    store: UsersStore,
    engines: Vec<ScriptedEngine>,
    starts: u64,
    reached: usize,
}

impl KeptIds {
    fn start() -> Self {
        let mut fleet = Self {
            store: store_with_manifest(),
            engines: Vec::new(),
            starts: 0,
            reached: 0,
        };
        for index in 0..2 {
            let engine = fleet.start_engine(index);
            fleet.engines.push(engine);
        }
        fleet
    }

    fn start_engine(&mut self, index: usize) -> ScriptedEngine {
        self.starts += 1;
        let engine = ScriptedEngine::spawn(answer);
        let entry = json!({
            "backend": LOOKUP.service, "address": engine.address(), "zone": "north-a", "version": "v1",
            "max_concurrency": 8, "phase": "available", "seq": 1, "born": self.starts
        });
        self.store
            .put(&format!("servers/i-{index}"), entry.to_string());
        engine
    }

    /// Sends the crashing request, and starts the engine again that it has crashed; returns whether it reached one.
    fn send(&mut self, gateway: &TestGateway, id: &str) -> bool {
        LOOKUP.send_crashing(gateway, id);
        let crashed = |engine: &ScriptedEngine| engine.has_crashed();
        let crashed: Vec<usize> = (0..2)
            .filter(|index| crashed(&self.engines[*index]))
            .collect();
        for index in &crashed {
            self.engines[*index] = self.start_engine(*index);
        }
        self.reached += crashed.len();
        wait_for("the service serves again", || {
            LOOKUP.send(gateway, "sound", "sound").status() == 200
        });
        !crashed.is_empty()
    }
}

// Guards against crashes that are not counted, because the engines start again under their ids.
#[test]
fn a_request_that_crashes_engines_which_keep_their_ids_reaches_no_more_of_them() {
    let mut fleet = KeptIds::start();
    let gateway = TestGateway::start(&fleet.store);
    for number in 0..2 * KNOWN_AFTER {
        if fleet.reached >= KNOWN_AFTER {
            break;
        }
        fleet.send(&gateway, &format!("first{number}"));
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(fleet.reached >= KNOWN_AFTER, "the request crashes");
    std::thread::sleep(STABLE_TIME);
    let later = (0..10).filter(|number| fleet.send(&gateway, &format!("later{number}")));
    let later = later.count();
    assert!(later <= ALLOWED_LATER, "{later} reached engines");
}
