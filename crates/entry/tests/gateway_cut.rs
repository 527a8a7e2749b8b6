//! Gateways that lose their links to all engines, while their callers, the store and other gateways reach them.

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gateway::{Call, TestGateway, announce_at, manifest, wait_for};
use oleander_standin::users::{
    EngineLink, EngineReply, LinkCut, ScriptedEngine, SeenRequest, UsersStore, WireMessage,
};
use serde_json::json;

/// The number of engines of each service.
const ENGINES: usize = 4;

/// The time that a gateway has to find out that it is cut off.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(50);

/// Two gateways before the same engines, of which one reaches the engines by links that can be cut.
struct CutFleet {
    cut: TestGateway,
    other: TestGateway,
    links: Vec<EngineLink>,
    engines: Vec<ScriptedEngine>,
    _stores: [UsersStore; 2],
}

impl CutFleet {
    fn start() -> Self {
        Self::start_with(answer)
    }

    /// Starts gateways that know of each other. Each has a store of its own, with its own addresses of the
    /// engines.
    fn start_with(answer: fn(&SeenRequest) -> EngineReply) -> Self {
        let stores = [UsersStore::spawn(), UsersStore::spawn()];
        for store in &stores {
            store.put("op/config", manifest(1).to_string());
        }
        let mut links = Vec::new();
        let mut engines = Vec::new();
        for number in 0..2 * ENGINES {
            let service = ["desk", "engines"][number % 2];
            let engine = ScriptedEngine::spawn(answer);
            let link = EngineLink::spawn(engine.address());
            let id = format!("i-{number}");
            announce_at(&stores[0], &id, service, link.address());
            announce_at(&stores[1], &id, service, engine.address());
            engines.push(engine);
            links.push(link);
        }
        let cut = TestGateway::spawn("edge-1", &stores[0], &[]);
        let other = TestGateway::spawn("edge-2", &stores[1], &[]);
        tell_of(&stores[0], "edge-2", &other);
        tell_of(&stores[1], "edge-1", &cut);
        cut.wait_ready();
        other.wait_ready();
        wait_for("the gateways know each other", || {
            [&cut, &other].iter().all(|gateway| {
                let joined = gateway.log("belief").into_iter();
                joined
                    .filter(|line| line["change"] == "gateway-joined")
                    .count()
                    >= 2
            })
        });
        Self {
            cut,
            other,
            links,
            engines,
            _stores: stores,
        }
    }

    fn cut(&self, cut: LinkCut) {
        for link in &self.links {
            link.cut(cut);
        }
    }

    /// Resets all links, last that of the engine which has the request: a further try through a link that is still
    /// open would run a second time, which is as often as a route allows.
    fn reset_in_use_last(&self) {
        let is_in_use = |index: &usize| !self.engines[*index].seen().is_empty();
        let (in_use, others): (Vec<usize>, Vec<usize>) = (0..self.links.len()).partition(is_in_use);
        for index in others.into_iter().chain(in_use) {
            self.links[index].cut(LinkCut::Reset);
        }
    }

    fn heal(&self) {
        for link in &self.links {
            link.heal();
        }
    }

    /// Returns how often a request reached engines.
    fn arrivals(&self, id: &str) -> usize {
        let seen = self.engines.iter().flat_map(ScriptedEngine::seen);
        seen.filter(|request| request.message.header("attempt-id") == Some(id))
            .count()
    }

    /// Sends calls of all kinds until `until`; returns how many of how many were served.
    fn serve(&self, prefix: &str, time: Duration) -> (usize, usize) {
        let until = Instant::now() + time;
        let mut served = 0;
        let mut sent = 0;
        while Instant::now() < until {
            let id = format!("{prefix}{sent}");
            let call = [Call::lookup, Call::publish, Call::stream][sent % 3](&id);
            let mut caller = self.cut.caller();
            caller.send(&call.text());
            let is_served = caller.read().is_some_and(|answer| is_whole(&answer));
            served += usize::from(is_served);
            sent += 1;
            std::thread::sleep(PAUSE);
        }
        (served, sent)
    }
}

/// Writes the entry of a gateway that answers no queries, so that the other one reads its own store.
fn tell_of(store: &UsersStore, name: &str, gateway: &TestGateway) {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = json!({
        "control": nowhere, "gossip": gateway.gossip, "frontend": gateway.frontend,
        "zone": format!("zone-of-{name}")
    });
    store.put(&format!("gateways/{name}"), entry.to_string());
}

fn is_whole(answer: &WireMessage) -> bool {
    answer.status() == 200 && answer.is_whole && answer.header("server-signature").is_some()
}

/// Answers at once, streams with four events.
fn answer(request: &SeenRequest) -> EngineReply {
    if !request.message.start.contains("/digest/") {
        return EngineReply::Bytes(request.answer("found"));
    }
    let first = request.message.header("last-event-id");
    let first = first.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
    let mut bytes = request.stream_head();
    for id in first..=4 {
        bytes.extend(SeenRequest::event(id));
    }
    bytes.extend(b"0\r\n\r\n");
    EngineReply::Bytes(bytes)
}

/// Answers streams half, and holds them; goes on after that half where a caller has it.
fn answer_half(request: &SeenRequest) -> EngineReply {
    if request.message.header("last-event-id").is_some() {
        return answer(request);
    }
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(1));
    bytes.extend(SeenRequest::event(2));
    EngineReply::BytesThenSilence(bytes)
}

/// Answers some requests with an error, few enough that the retry budget allows for repeats.
fn answer_failing(request: &SeenRequest) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    if !id.starts_with("failing") {
        return answer(request);
    }
    let failed = String::from_utf8_lossy(&request.answer("no")).replacen("200 OK", "500 Failed", 1);
    EngineReply::Bytes(failed.into_bytes())
}

fn assert_serves_while_cut(cut: LinkCut) {
    let fleet = CutFleet::start();
    if cut != LinkCut::Refuse {
        let (served, sent) = fleet.serve("before", Duration::from_millis(500));
        assert_eq!(served, sent, "before the cut");
    }
    fleet.cut(cut);
    fleet.serve("meanwhile", STABLE_TIME);
    let (served, sent) = fleet.serve("cut", Duration::from_secs(2));
    assert_eq!(served, sent, "while it is cut off");
    for number in (1..sent).step_by(3) {
        let arrivals = fleet.arrivals(&format!("cut{number}"));
        assert_eq!(arrivals, 1, "a request that runs once");
    }
}

// Guards against a gateway that refuses all callers while other gateways reach the engines.
#[test]
fn a_gateway_whose_connections_to_engines_hang_serves_its_callers() {
    assert_serves_while_cut(LinkCut::Hang);
}

// Guards against the same where the connections to engines are reset.
#[test]
fn a_gateway_whose_connections_to_engines_are_reset_serves_its_callers() {
    assert_serves_while_cut(LinkCut::Reset);
}

// Guards against the same where no new connections to engines come about.
#[test]
fn a_gateway_that_gets_no_new_connections_to_engines_serves_its_callers() {
    assert_serves_while_cut(LinkCut::Refuse);
}

// Guards against a stream that is lost with the link, although another gateway can go on with it.
#[test]
fn a_stream_goes_on_through_another_gateway_after_a_cut() {
    let fleet = CutFleet::start_with(answer_half);
    let mut caller = fleet.cut.caller();
    caller.send(&Call::stream("half").text());
    caller.read_until("piece 2");
    fleet.reset_in_use_last();
    let rest = caller.read_until("0\r\n\r\n");
    assert!(
        rest.contains("piece 3") && rest.contains("piece 4"),
        "{rest}"
    );
    assert!(!rest.contains("piece 2"), "an event came twice: {rest}");
    assert_eq!(fleet.arrivals("half"), 2);
}

// Guards against a request that goes from gateway to gateway while none of them reaches an engine.
#[test]
fn a_request_that_no_gateway_can_send_is_refused_soon() {
    let fleet = CutFleet::start();
    fleet.cut(LinkCut::Reset);
    for engine in &fleet.engines {
        engine.crash();
    }
    fleet.serve("meanwhile", STABLE_TIME);
    let started = Instant::now();
    let answer = fleet.cut.caller().call(&Call::publish("nowhere"));
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_millis(500));
}

// Guards against requests that take the longer way for ever.
#[test]
fn a_gateway_sends_to_engines_itself_once_its_links_are_back() {
    let fleet = CutFleet::start();
    fleet.cut(LinkCut::Reset);
    fleet.serve("cut", STABLE_TIME);
    fleet.cut.wait_log("backends-lost", |_| true);
    fleet.heal();
    fleet.cut.wait_log("backends-regained", |_| true);
    let (served, sent) = fleet.serve("healed", Duration::from_secs(1));
    assert_eq!(served, sent);
    let id = |line: &serde_json::Value| line["id"].as_str().unwrap_or("").to_owned();
    let relayed = fleet.cut.log("relayed");
    assert!(relayed.iter().any(|line| id(line).starts_with("cut")));
    assert!(!relayed.iter().any(|line| id(line).starts_with("healed")));
}

// Guards against a gateway with a link of its own that is too slow, or cut, which takes itself for cut off from
// the engines and fills that link with relayed requests.
#[test]
fn a_gateway_that_reaches_no_other_gateway_either_relays_nothing() {
    let mut fleet = CutFleet::start();
    fleet.other.kill();
    fleet.cut(LinkCut::Refuse);
    fleet.serve("cut", STABLE_TIME);
    assert!(fleet.cut.log("backends-lost").is_empty());
    assert!(fleet.cut.log("relayed").is_empty());
    fleet.cut.wait_log("own-link-slow", |_| true);
    fleet.heal();
    wait_for("it serves again", || {
        fleet.cut.caller().call(&Call::lookup("healed")).status() == 200
    });
}

// Guards against sound engines that no gateway uses, because one that is cut off says they are down.
#[test]
fn what_a_cut_gateway_sees_of_engines_is_not_believed_by_others() {
    for cut in [LinkCut::Reset, LinkCut::Refuse] {
        let fleet = CutFleet::start();
        fleet.cut(cut);
        fleet.serve("cut", STABLE_TIME);
        assert!(fleet.cut.log("backend-crashed").is_empty(), "{cut:?}");
        let told = fleet.other.log("backend-told-down");
        assert!(told.is_empty(), "{cut:?}: {told:?}");
    }
}

// Guards against a request that runs as often as its route allows behind each of several gateways.
#[test]
fn a_request_that_failed_behind_another_gateway_goes_to_no_further_one() {
    let fleet = CutFleet::start_with(answer_failing);
    let [own_store, other_store] = &fleet._stores;
    let third = TestGateway::spawn("edge-3", other_store, &[]);
    tell_of(own_store, "edge-3", &third);
    fleet.cut.wait_log("belief", |line| {
        line["change"] == "gateway-joined" && line["gateway"] == "edge-3"
    });
    fleet.cut(LinkCut::Reset);
    fleet.serve("meanwhile", STABLE_TIME);
    fleet.cut.wait_log("backends-lost", |_| true);
    for number in 0..3 {
        let id = format!("failing{number}");
        let answer = fleet.cut.caller().call(&Call::lookup(&id));
        assert_eq!(answer.status(), 500, "the engine's answer");
        assert!(fleet.arrivals(&id) <= 2, "{} runs", fleet.arrivals(&id));
    }
}
