//! A gateway that is cut off from all engines, before other gateways whose answers are scripted.

mod gateway;

use std::time::{Duration, Instant};

use gateway::flooding::FloodKind;
use gateway::relaying::{FirstAnswer, LinkedEngines, RelayFleet, announce_gateway, deliver};
use gateway::{Call, TestGateway, store_with_manifest, wait_for};
use oleander_standin::users::{EngineReply, ScriptedEngine, SeenRequest};

/// The rest of the head of an answer without a body.
const NO_BODY: &str = "Content-Length: 0\r\n\r\n";

/// Returns an answer of a gateway itself, with the request's id and these further header lines.
fn own_answer(request: &SeenRequest, status: u16, headers: &str) -> EngineReply {
    let id = request.message.header("attempt-id").unwrap_or("");
    let head = format!("HTTP/1.1 {status} Own\r\nAttempt-Id: {id}\r\n{headers}{NO_BODY}");
    EngineReply::BytesThenClose(head.into_bytes())
}

/// Returns an answer with an engine's signature.
fn signed_answer(request: &SeenRequest, status: u16, headers: &str) -> EngineReply {
    own_answer(
        request,
        status,
        &format!("Server-Signature: s\r\n{headers}"),
    )
}

/// Returns the first bytes of a signed answer, after which the connection is reset.
fn cut_answer(request: &SeenRequest, kept: impl Fn(usize) -> usize) -> EngineReply {
    let bytes = request.answer("half of it");
    let kept = kept(bytes.len());
    EngineReply::BytesThenReset(bytes[..kept].to_vec())
}

const CUT_OFF: &str = "Gateway-Cut-Off: 1\r\n";
const NOT_RUN: &str = "Gateway-Verdict: not-run\r\n";
const MAY_HAVE_RUN: &str = "Gateway-Verdict: may-have-run\r\n";
const NOT_EXECUTED: &str = "Not-Executed: 1\r\n";

// Guards against a request that runs twice, because the first of two gateways takes an answer of the second one for
// "not run" although the request may have run there.
#[test]
fn a_request_that_may_have_run_behind_another_gateway_goes_to_no_further_one() {
    let fleet = RelayFleet::start();
    let answers: [(&str, FirstAnswer, u16); 15] = [
        (
            "502-marked",
            |request| own_answer(request, 502, CUT_OFF),
            502,
        ),
        (
            "504-marked",
            |request| own_answer(request, 504, CUT_OFF),
            502,
        ),
        ("502-plain", |request| own_answer(request, 502, ""), 502),
        ("404-plain", |request| own_answer(request, 404, ""), 502),
        (
            "404-marked",
            |request| own_answer(request, 404, CUT_OFF),
            502,
        ),
        ("301-plain", |request| own_answer(request, 301, ""), 502),
        ("200-unsigned", |request| own_answer(request, 200, ""), 502),
        (
            "502-stated",
            |request| own_answer(request, 502, MAY_HAVE_RUN),
            502,
        ),
        (
            "503-contradicted",
            |request| own_answer(request, 503, MAY_HAVE_RUN),
            502,
        ),
        (
            "500-not-executed",
            |request| signed_answer(request, 500, NOT_EXECUTED),
            502,
        ),
        ("500-signed", |request| signed_answer(request, 500, ""), 500),
        (
            "no-answer",
            |_| EngineReply::BytesThenClose(Vec::new()),
            502,
        ),
        ("reset", |_| EngineReply::BytesThenReset(Vec::new()), 502),
        ("cut-in-head", |request| cut_answer(request, |_| 30), 502),
        (
            "cut-in-body",
            |request| cut_answer(request, |len| len - 3),
            502,
        ),
    ];
    for (id, answer, status) in answers {
        fleet.check(&Call::publish(id), answer, 1, status);
    }
}

// Guards against a refusal that is true and is not tried elsewhere, and against one that goes round all gateways.
#[test]
fn a_request_that_has_not_run_behind_another_gateway_goes_to_a_further_one() {
    let fleet = RelayFleet::start();
    let answers: [(&str, FirstAnswer, usize, u16); 10] = [
        (
            "503-marked",
            |request| own_answer(request, 503, CUT_OFF),
            2,
            200,
        ),
        (
            "429-marked",
            |request| own_answer(request, 429, CUT_OFF),
            2,
            200,
        ),
        ("408-plain", |request| own_answer(request, 408, ""), 2, 200),
        ("421-plain", |request| own_answer(request, 421, ""), 2, 200),
        (
            "404-stated",
            |request| own_answer(request, 404, NOT_RUN),
            2,
            200,
        ),
        (
            "413-stated",
            |request| own_answer(request, 413, NOT_RUN),
            2,
            200,
        ),
        ("503-plain", |request| own_answer(request, 503, ""), 1, 503),
        ("429-plain", |request| own_answer(request, 429, ""), 1, 503),
        (
            "503-stated",
            |request| own_answer(request, 503, NOT_RUN),
            1,
            503,
        ),
        (
            "503-not-executed",
            |request| signed_answer(request, 503, NOT_EXECUTED),
            2,
            200,
        ),
    ];
    for (id, answer, relays, status) in answers {
        fleet.check(&Call::publish(id), answer, relays, status);
    }
}

// Guards against a stream, or a request that may be repeated, that is refused or repeated by the wrong verdict.
#[test]
fn the_verdict_behind_another_gateway_holds_for_all_kinds_of_requests() {
    let fleet = RelayFleet::start();
    let marked: FirstAnswer = |request| own_answer(request, 502, CUT_OFF);
    let refused: FirstAnswer = |request| own_answer(request, 503, CUT_OFF);
    for (letter, call) in [("l", Call::lookup("")), ("s", Call::stream(""))] {
        let [failed, elsewhere] = ["failed", "elsewhere"].map(|id| format!("{letter}-{id}"));
        let of = |id| Call { id, ..call.clone() };
        // The other gateway repeats a request as often as its route allows.
        fleet.check(&of(&failed), marked, 1, 502);
        fleet.check(&of(&elsewhere), refused, 2, 200);
    }
}

// Guards against a stream that may run once and has begun behind another gateway, and is begun again.
#[test]
fn a_stream_that_may_run_once_is_not_begun_again_behind_a_further_gateway() {
    let fleet = RelayFleet::start();
    *fleet.first_answer.lock() = |request| {
        let mut bytes = request.stream_head();
        bytes.extend(SeenRequest::event(1));
        EngineReply::BytesThenReset(bytes)
    };
    let draft = Call {
        path: "/draft/x",
        ..Call::stream("draft")
    };
    let answer = fleet.asking.caller().call(&draft);
    assert!(!answer.is_whole, "an answer that ends early looks complete");
    assert_eq!(fleet.relays("draft"), 1);
}

// Guards against a mark that older gateways take for "not run" in an answer to a request that may have run.
#[test]
fn a_gateway_that_is_cut_off_marks_only_what_has_not_run() {
    let store = store_with_manifest();
    let linked = LinkedEngines::start(&store, |request| match &*request.message.start {
        start if start.contains("/publish/") => EngineReply::BytesThenSilence(Vec::new()),
        _ => deliver(request),
    });
    let other = ScriptedEngine::spawn(deliver);
    announce_gateway(&store, "edge-2", &other);
    let gateway = TestGateway::start(&store);
    let relayed = |id| Call {
        headers: "Gateway-Relayed: 1\r\n",
        time_ms: 10_000,
        ..Call::publish(id)
    };
    let mut caller = gateway.caller();
    caller.send(&relayed("ran").text());
    let has_it = |engine: &&ScriptedEngine| !engine.seen().is_empty();
    wait_for("an engine has the request", || {
        linked.engines.iter().any(|engine| has_it(&engine))
    });
    linked.cut_off(&gateway);
    for engine in linked.engines.iter().filter(has_it) {
        engine.crash();
    }
    let answer = caller.read().expect("an answer");
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.header("gateway-cut-off"), None);
    assert_eq!(answer.header("gateway-verdict"), Some("may-have-run"));
    let refusal = gateway.caller().call(&relayed("refused"));
    assert_eq!(refusal.status(), 503);
    assert_eq!(refusal.header("gateway-cut-off"), Some("1"));
    assert_eq!(refusal.header("gateway-verdict"), Some("not-run"));
    std::thread::sleep(Duration::from_millis(50));
    assert!(
        other
            .seen()
            .iter()
            .all(|request| { request.message.header("attempt-id") == Some("meanwhile") })
    );
}

/// Answers with the status that the path of the request names, without a signature.
fn unsigned_answer(request: &SeenRequest) -> EngineReply {
    let path = request.message.start.split(' ').nth(1).unwrap_or("");
    let status = path.rsplit('/').next().and_then(|last| last.parse().ok());
    own_answer(request, status.unwrap_or(404), "")
}

// Guards against an engine's status that is passed on as the gateway's promise that the request has not run.
#[test]
fn an_unsigned_answer_is_no_promise_that_the_request_has_not_run() {
    let store = store_with_manifest();
    let _engine = gateway::start_engine(&store, "i-1", "desk", unsigned_answer);
    let gateway = TestGateway::start(&store);
    let status = |path: &str, headers: &str| {
        let call = Call {
            path,
            headers,
            ..Call::publish("unsigned")
        };
        let answer = gateway.caller().call(&call);
        let verdict = answer.header("gateway-verdict").map(str::to_owned);
        (answer.status(), verdict)
    };
    let failed = (502, Some("may-have-run".to_owned()));
    for path in ["/publish/408", "/publish/429", "/publish/503"] {
        assert_eq!(status(path, ""), failed, "{path}");
    }
    assert_eq!(status("/publish/404", "").0, 404, "an answer to a caller");
    for path in ["/publish/400", "/publish/404", "/publish/301"] {
        let relayed = status(path, "Gateway-Relayed: 1\r\n");
        assert_eq!(relayed, failed, "{path}, which another gateway relayed");
    }
}

/// The longest time to a final answer after a flood behind another gateway.
const FLOOD_ANSWER_TIME: Duration = Duration::from_secs(1);

/// The memory that the gateway may use: half of what its settings grant, in kilobytes.
const MEMORY_KILOBYTES: u64 = 110 * 1_024 / 2;

/// The number of relayed calls that are flooded at once.
const FLOODED_CALLS: usize = 16;

/// Floods the first relays of calls, all at once, and checks what the callers and the machine notice.
fn flood_relays(kind: FloodKind, first_answer: FirstAnswer, is_stream: bool) {
    let fleet = RelayFleet::start();
    *fleet.first_answer.lock() = first_answer;
    let ids: Vec<String> = (0..FLOODED_CALLS)
        .map(|number| format!("f{number}"))
        .collect();
    let mut callers: Vec<_> = ids.iter().map(|_| fleet.asking.caller()).collect();
    let started = Instant::now();
    for (caller, id) in callers.iter_mut().zip(&ids) {
        let call = match is_stream {
            true => Call::stream(id),
            false => Call::lookup(id),
        };
        caller.send(&call.text());
    }
    for (caller, id) in callers.iter_mut().zip(&ids) {
        let answer = caller.read().expect("an answer");
        assert_eq!(
            (answer.status(), answer.is_whole),
            (200, true),
            "{kind:?}: {id}"
        );
        assert_eq!(fleet.relays(id), 2, "{kind:?}: {id}");
    }
    let took = started.elapsed();
    assert!(took <= FLOOD_ANSWER_TIME, "{kind:?}: {took:?}");
    assert!(fleet.asking.is_ready(), "{kind:?}");
    let memory = fleet.asking.resident_kilobytes();
    assert!(memory <= MEMORY_KILOBYTES, "{kind:?}: {memory} kB");
}

// Guards against answers without end that another gateway passes on, or sends itself, and that fill the memory of the
// gateway that relays.
#[test]
fn relayed_answers_without_end_cost_one_relay() {
    flood_relays(
        FloodKind::Event,
        |request| FloodKind::Event.reply(request),
        true,
    );
    flood_relays(
        FloodKind::Comments,
        |request| FloodKind::Comments.reply(request),
        true,
    );
    flood_relays(
        FloodKind::Trailers,
        |request| FloodKind::Trailers.reply(request),
        true,
    );
    flood_relays(
        FloodKind::InterimAnswers,
        |request| FloodKind::InterimAnswers.reply(request),
        false,
    );
    flood_relays(
        FloodKind::Head,
        |request| FloodKind::Head.reply(request),
        false,
    );
    flood_relays(
        FloodKind::Body,
        |request| FloodKind::Body.reply(request),
        false,
    );
    flood_relays(
        FloodKind::LateAnswers,
        |request| FloodKind::LateAnswers.reply(request),
        false,
    );
}

/// Returns a signed answer in chunks with a trailer.
fn chunked_answer(request: &SeenRequest) -> Vec<u8> {
    let id = request.message.header("attempt-id").unwrap_or("");
    let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: s\r\n");
    format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum: 4\r\n\r\n")
        .into_bytes()
}

/// Returns a whole stream of one event.
fn short_stream(request: &SeenRequest) -> Vec<u8> {
    let mut bytes = request.stream_head();
    bytes.extend(SeenRequest::event(1));
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Stops within the answer after as many bytes as the end of the request's path names.
fn stop_within(request: &SeenRequest, whole: &[u8]) -> EngineReply {
    let path = request.message.start.split(' ').nth(1).unwrap_or("");
    let kept: usize = path
        .rsplit('/')
        .next()
        .and_then(|last| last.parse().ok())
        .expect("a number");
    EngineReply::BytesThenClose(whole[..kept.min(whole.len())].to_vec())
}

// Guards against an answer that stops in its head, its body or its trailers behind another gateway, and reaches the
// caller as a whole one or as the promise that the request has not run.
#[test]
fn a_relayed_answer_that_stops_is_never_whole() {
    /// More than the length of each answer, whose ids have one length.
    const LONGEST: usize = 400;
    let fleet = RelayFleet::start();
    let answers: [(&str, FirstAnswer); 3] = [
        ("publish", |request| {
            stop_within(request, &request.answer("done"))
        }),
        ("publish", |request| {
            stop_within(request, &chunked_answer(request))
        }),
        ("draft", |request| {
            stop_within(request, &short_stream(request))
        }),
    ];
    for (number, (route, first_answer)) in answers.into_iter().enumerate() {
        *fleet.first_answer.lock() = first_answer;
        let mut whole = 0;
        for kept in 0..LONGEST {
            let (id, path) = (
                format!("cut-{number}-{kept:03}"),
                format!("/{route}/{kept}"),
            );
            let call = match route {
                "draft" => Call::stream(&id),
                _ => Call::publish(&id),
            };
            let answer = fleet.asking.caller().call(&Call {
                path: &path,
                ..call
            });
            assert_eq!(fleet.relays(&id), 1, "{id}");
            if answer.status() == 200 && answer.is_whole {
                whole += 1;
                let text = answer.text();
                assert!(
                    text == "done" || text == SeenRequest::event_text(1),
                    "{id}: {text}"
                );
            } else {
                assert_eq!(whole, 0, "{id}: a longer part is no whole answer");
                assert!([200, 502].contains(&answer.status()), "{id}");
            }
        }
        assert!(
            (1..LONGEST).contains(&whole),
            "{route}: {whole} whole answers"
        );
    }
}
