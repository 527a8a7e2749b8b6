//! A gateway that is cut off from all engines, and other gateways whose answers are scripted.

use std::sync::Arc;

use oleander_standin::users::{
    EngineLink, EngineReply, LinkCut, ScriptedEngine, SeenRequest, UsersStore,
};
use parking_lot::Mutex;
use serde_json::json;

use super::{Call, TestGateway, announce_at, store_with_manifest, wait_for};

/// The number of engines of each service.
const ENGINES: usize = 4;

/// The names of the scripted gateways.
const OTHERS: [&str; 2] = ["edge-2", "edge-3"];

/// Links to engines, and the engines behind them.
pub struct LinkedEngines {
    pub links: Vec<EngineLink>,
    pub engines: Vec<ScriptedEngine>,
}

impl LinkedEngines {
    pub fn start(store: &UsersStore, script: fn(&SeenRequest) -> EngineReply) -> Self {
        let engines: Vec<_> = (0..2 * ENGINES)
            .map(|_| ScriptedEngine::spawn(script))
            .collect();
        let links: Vec<_> = engines
            .iter()
            .map(|engine| EngineLink::spawn(engine.address()))
            .collect();
        for (number, link) in links.iter().enumerate() {
            let service = ["desk", "engines"][number % 2];
            announce_at(store, &format!("i-{number}"), service, link.address());
        }
        Self { links, engines }
    }

    /// Refuses new connections to all engines until the gateway has noticed that it is cut off.
    pub fn cut_off(&self, gateway: &TestGateway) {
        for link in &self.links {
            link.cut(LinkCut::Refuse);
        }
        wait_for("the gateway is cut off", || {
            gateway.caller().call(&Call::lookup("meanwhile"));
            !gateway.log("backends-lost").is_empty()
        });
    }
}

/// Announces a scripted gateway, which answers no queries.
pub fn announce_gateway(store: &UsersStore, name: &str, gateway: &ScriptedEngine) {
    let nowhere = "127.0.0.1:1";
    let entry = json!({"control": nowhere, "frontend": gateway.address(), "zone": "north-b"});
    store.put(&format!("gateways/{name}"), entry.to_string());
}

/// The answer of the first gateway that a request is relayed to.
pub type FirstAnswer = fn(&SeenRequest) -> EngineReply;

/// A gateway that is cut off from engines, before two others.
pub struct RelayFleet {
    pub asking: TestGateway,
    pub others: Vec<ScriptedEngine>,
    /// The present script for first relays.
    pub first_answer: Arc<Mutex<FirstAnswer>>,
    _engines: LinkedEngines,
    _store: UsersStore,
}

impl RelayFleet {
    pub fn start() -> Self {
        let store = store_with_manifest();
        let engines = LinkedEngines::start(&store, deliver);
        let first_answer: Arc<Mutex<FirstAnswer>> = Arc::new(Mutex::new(deliver));
        let relayed = Arc::new(Mutex::new(Vec::new()));
        let others: Vec<_> = OTHERS
            .iter()
            .map(|name| {
                let first_answer = Arc::clone(&first_answer);
                let relayed = Arc::clone(&relayed);
                let other = ScriptedEngine::spawn(move |request| {
                    let id = request
                        .message
                        .header("attempt-id")
                        .unwrap_or("")
                        .to_owned();
                    let is_first = !relayed.lock().contains(&id);
                    relayed.lock().push(id);
                    match is_first {
                        true => first_answer.lock()(request),
                        false => deliver(request),
                    }
                });
                announce_gateway(&store, name, &other);
                other
            })
            .collect();
        let asking = TestGateway::start(&store);
        engines.cut_off(&asking);
        Self {
            asking,
            others,
            first_answer,
            _engines: engines,
            _store: store,
        }
    }

    /// Returns how many gateways a request was relayed to.
    pub fn relays(&self, id: &str) -> usize {
        let seen = self.others.iter().flat_map(ScriptedEngine::seen);
        seen.filter(|request| request.message.header("attempt-id") == Some(id))
            .count()
    }

    /// Sends a call whose first relay gets an answer, and checks the number of relays and the status that the
    /// caller gets.
    pub fn check(&self, call: &Call<'_>, first_answer: FirstAnswer, relays: usize, status: u16) {
        *self.first_answer.lock() = first_answer;
        let answer = self.asking.caller().call(call);
        let seen = (self.relays(call.id), answer.status());
        assert_eq!(seen, (relays, status), "{}", call.id);
        let promises = [408, 421, 429, 503].contains(&status);
        let stated = answer.header("gateway-verdict");
        assert!(
            stated.is_none() || (stated == Some("not-run")) == promises,
            "{}: {stated:?}",
            call.id
        );
    }
}

/// Answers as an engine would behind a gateway. A stream has one event, or goes on with one.
pub fn deliver(request: &SeenRequest) -> EngineReply {
    if request.message.start.contains("/publish/") || request.message.start.contains("/lookup/") {
        return EngineReply::BytesThenClose(request.answer("done"));
    }
    let resumed = request.message.header("last-event-id");
    let last: u64 = resumed.map_or(0, |id| id.parse().expect("an event id is a number"));
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(last + 1));
    bytes.extend(b"0\r\n\r\n");
    EngineReply::BytesThenClose(bytes)
}
