//! Tests of the engine client against the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_engine::{
    AttemptTimeouts, ClientSettings, EngineCall, EngineClient, EngineError, EngineEvent,
    EngineFailure, EngineOrder, EnginePath, EngineStream, FinishReason, OrderAnswer, ResumePoint,
};
use oleander_standin::{
    AnswerCheck, AnswerPlan, EngineFault, EngineSettings, EngineStandIn, OrderMode, answer_hint,
};
use serde_json::{Value, json};

const MODEL: &str = "model";
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn fast_settings() -> EngineSettings {
    EngineSettings {
        alone_tokens_per_second: 2_000.0,
        full_tokens_per_second: 1_000.0,
        report_interval_ms: 20,
        report_lag_ms: 20,
        event_lag_ms: 0,
        load_ms: 1,
        ..EngineSettings::default()
    }
}

async fn open_client() -> EngineClient {
    EngineClient::open(ClientSettings::default()).await.unwrap()
}

fn timeouts() -> AttemptTimeouts {
    AttemptTimeouts {
        connect: LONG_TIMEOUT,
        first_byte: LONG_TIMEOUT,
        idle: LONG_TIMEOUT,
    }
}

fn body(prompt: &str, stream: bool) -> Bytes {
    let value = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
    });
    Bytes::from(value.to_string())
}

fn call(address: SocketAddr, body: Bytes) -> EngineCall<'static> {
    EngineCall {
        address,
        path: EnginePath::Chat,
        body,
        request: "r-1",
        tier: Tier(0),
        prefix: None,
        resume: None,
        headers: &[],
        timeouts: timeouts(),
    }
}

/// What a stream delivered: its text, token count, finish reason and error.
#[derive(Debug, Default)]
struct StreamOutcome {
    text: String,
    tokens: u32,
    finish: Option<FinishReason>,
    error: Option<EngineError>,
}

impl StreamOutcome {
    fn add(&mut self, event: &EngineEvent) {
        self.tokens += event.tokens;
        self.finish = event.finish.or(self.finish);
        let value: Value = serde_json::from_slice(&event.payload).unwrap();
        let choice = &value["choices"][0];
        let text = choice["delta"]["content"].as_str();
        let text = text.or(choice["message"]["content"].as_str());
        self.text.push_str(text.unwrap_or_default());
    }
}

async fn collect(stream: &mut EngineStream) -> StreamOutcome {
    let mut outcome = StreamOutcome::default();
    while let Some(event) = stream.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => {
                outcome.error = Some(error);
                break;
            }
        };
        outcome.add(&event);
    }
    outcome
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition was not met in time");
}

#[ntex::test]
async fn streamed_answers_are_whole_and_unmixed() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    let mut tasks = Vec::new();
    for number in 0..40 {
        let (client, address) = (client.clone(), engine.address());
        tasks.push(ntex::rt::spawn(async move {
            let prompt = format!("question {number} {}", answer_hint(5 + number));
            let plan = AnswerPlan::of(MODEL, &prompt, None);
            let engine_call = call(address, body(&prompt, true));
            let mut stream = client.start(engine_call).await.unwrap();
            let outcome = collect(&mut stream).await;
            assert_eq!(AnswerCheck::of(&plan, &outcome.text), AnswerCheck::Whole);
            assert_eq!(outcome.finish, Some(FinishReason::Stop));
            assert_eq!(outcome.tokens, plan.length);
            assert!(stream.is_complete());
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(engine.totals().arrivals, 40);
    assert_eq!(engine.totals().finished, 40);
}

#[ntex::test]
async fn a_future_that_is_dropped_loses_no_event() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    for stream in [true, false] {
        let prompt = format!("question {stream} {}", answer_hint(60));
        let plan = AnswerPlan::of(MODEL, &prompt, None);
        let engine_call = call(engine.address(), body(&prompt, stream));
        let mut stream = client.start(engine_call).await.unwrap();
        let mut outcome = StreamOutcome::default();
        let mut dropped = 0;
        loop {
            let wait = Duration::from_micros(200);
            match tokio::time::timeout(wait, stream.next()).await {
                Err(_) => dropped += 1,
                Ok(None) => break,
                Ok(Some(event)) => outcome.add(&event.unwrap()),
            }
        }
        assert!(dropped > 0);
        assert_eq!(AnswerCheck::of(&plan, &outcome.text), AnswerCheck::Whole);
    }
}

#[ntex::test]
async fn an_answer_in_one_piece_is_whole() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(9));
    let plan = AnswerPlan::of(MODEL, &prompt, None);
    let engine_call = call(engine.address(), body(&prompt, false));
    let mut stream = client.start(engine_call).await.unwrap();
    let outcome = collect(&mut stream).await;
    assert_eq!(AnswerCheck::of(&plan, &outcome.text), AnswerCheck::Whole);
    assert_eq!(outcome.tokens, 9);
}

#[ntex::test]
async fn a_resumed_answer_goes_on_at_another_engine() {
    let first = EngineStandIn::bind(fast_settings()).unwrap();
    let second = EngineStandIn::bind(fast_settings()).unwrap();
    first
        .fault(EngineFault::DropAfter { tokens: Some(4) })
        .unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(12));
    let plan = AnswerPlan::of(MODEL, &prompt, None);

    let engine_call = call(first.address(), body(&prompt, true));
    let broken = collect(&mut client.start(engine_call).await.unwrap()).await;
    assert_eq!(broken.error.unwrap().verdict, Verdict::MayHaveRun);
    assert!((1..=4).contains(&broken.tokens));

    let mut engine_call = call(second.address(), body(&prompt, true));
    engine_call.resume = Some(ResumePoint {
        from_token: broken.tokens,
    });
    let rest = collect(&mut client.start(engine_call).await.unwrap()).await;
    let text = broken.text + &rest.text;
    assert_eq!(AnswerCheck::of(&plan, &text), AnswerCheck::Whole);
    assert_eq!(second.totals().resumed, 1);
}

#[ntex::test]
async fn a_crash_never_looks_like_an_end() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(4_000));
    let engine_call = call(engine.address(), body(&prompt, true));
    let mut stream = client.start(engine_call).await.unwrap();
    stream.next().await.unwrap().unwrap();
    engine.fault(EngineFault::Crash { for_ms: None }).unwrap();
    let outcome = collect(&mut stream).await;
    assert_eq!(outcome.error.unwrap().verdict, Verdict::MayHaveRun);
    assert!(!stream.is_complete());

    let refused = client.start(call(engine.address(), body(&prompt, true)));
    assert_eq!(refused.await.unwrap_err().verdict, Verdict::NotRun);

    engine.fault(EngineFault::Restore).unwrap();
    let prompt = format!("question {}", answer_hint(3));
    let engine_call = call(engine.address(), body(&prompt, true));
    let outcome = collect(&mut client.start(engine_call).await.unwrap()).await;
    assert!(outcome.error.is_none());
    assert_eq!(engine.totals().arrivals, 2);
}

#[ntex::test]
async fn a_dropped_stream_cancels_the_work() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(4_000));
    let engine_call = call(engine.address(), body(&prompt, true));
    let mut stream = client.start(engine_call).await.unwrap();
    stream.next().await.unwrap().unwrap();
    drop(stream);
    wait_until(|| engine.totals().cancelled == 1).await;
    assert!(engine.totals().tokens < 4_000);
}

#[ntex::test]
async fn a_dropped_stream_cancels_work_that_still_waits() {
    let settings = EngineSettings {
        batch_limit: 1,
        ..fast_settings()
    };
    let engine = EngineStandIn::bind(settings).unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(4_000));
    let running = client.start(call(engine.address(), body(&prompt, true)));
    let mut running = running.await.unwrap();
    running.next().await.unwrap().unwrap();
    let waiting = client.start(call(engine.address(), body(&prompt, true)));
    let waiting = waiting.await.unwrap();
    wait_until(|| engine.totals().started == 2).await;
    drop(waiting);
    wait_until(|| engine.totals().cancelled == 1).await;
    assert_eq!(engine.totals().finished, 0);
    assert!(running.next().await.unwrap().is_ok());
}

#[ntex::test]
async fn a_cancel_by_name_ends_the_answer_with_an_error() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    let client = open_client().await;
    let prompt = format!("question {}", answer_hint(4_000));
    let engine_call = call(engine.address(), body(&prompt, true));
    let mut stream = client.start(engine_call).await.unwrap();
    let cancelled = client.cancel(engine.address(), "r-1", timeouts()).await;
    assert!(cancelled.unwrap());
    assert!(collect(&mut stream).await.error.is_some());
    assert_eq!(engine.totals().cancelled, 1);
}

#[ntex::test]
async fn a_refusal_is_not_run_and_is_not_repeated() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    engine.fault(EngineFault::Refuse { on: true }).unwrap();
    let client = open_client().await;
    let engine_call = call(engine.address(), body("question", true));
    let error = client.start(engine_call).await.unwrap_err();
    assert!(error.is_refusal());
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(engine.totals().arrivals, 1);
    assert_eq!(engine.totals().started, 0);
}

#[ntex::test]
async fn a_frozen_engine_runs_into_the_timeout_and_may_have_run() {
    let engine = EngineStandIn::bind(fast_settings()).unwrap();
    engine.fault(EngineFault::Freeze { on: true }).unwrap();
    let client = open_client().await;
    let mut engine_call = call(engine.address(), body("question", true));
    engine_call.timeouts.connect = Duration::from_millis(20);
    engine_call.timeouts.first_byte = Duration::from_millis(60);
    let error = client.start(engine_call).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    engine.fault(EngineFault::Heal).unwrap();

    let prompt = format!("question {}", answer_hint(4_000));
    let mut engine_call = call(engine.address(), body(&prompt, true));
    engine_call.timeouts.idle = Duration::from_millis(50);
    let mut stream = client.start(engine_call).await.unwrap();
    stream.next().await.unwrap().unwrap();
    engine.fault(EngineFault::Freeze { on: true }).unwrap();
    let error = collect(&mut stream).await.error.unwrap();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    assert!(matches!(error.failure, EngineFailure::Attempt(_)));
}

#[ntex::test]
async fn reports_cache_events_and_orders_go_through() {
    let settings = EngineSettings {
        lose_event_every: 2,
        ..fast_settings()
    };
    let engine = EngineStandIn::bind(settings).unwrap();
    let client = open_client().await;
    for number in 0..4 {
        let prompt = format!("question {number} {}", answer_hint(2));
        let engine_call = call(engine.address(), body(&prompt, true));
        collect(&mut client.start(engine_call).await.unwrap()).await;
    }
    let update = client.read_cache_events(engine.address(), 0, timeouts());
    let update = update.await.unwrap();
    assert_eq!((update.events.len(), update.missed), (2, 1));

    let order = |fencing, model: &str| EngineOrder {
        fencing,
        models: vec![model.to_owned()],
        version: "2".to_owned(),
        adapters: vec!["tone".to_owned()],
        role: oleander_base::EngineRole::Full,
    };
    let address = engine.address();
    let (newer, older) = (order(7, "other"), order(6, "old"));
    let accepted = client.send_order(address, &newer, timeouts());
    assert_eq!(accepted.await.unwrap(), OrderAnswer::Accepted);
    let old = client.send_order(address, &older, timeouts());
    let refused = OrderAnswer::StaleFencing { newest: 7 };
    assert_eq!(old.await.unwrap(), refused);
    for _ in 0..2_000 {
        let report = client.read_report(address, timeouts()).await.unwrap();
        if report.models[0].model == ModelId::from_name("other") {
            assert_eq!(report.models[0].version, "2");
            assert!(report.age >= Span::from_millis(20));
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the order was not carried out");
}

#[ntex::test]
async fn an_engine_that_ignores_fencing_takes_an_old_order() {
    let settings = EngineSettings {
        orders: OrderMode::Ignores,
        ..fast_settings()
    };
    let engine = EngineStandIn::bind(settings).unwrap();
    let client = open_client().await;
    for fencing in [9, 3] {
        let order = EngineOrder {
            fencing,
            models: vec![MODEL.to_owned()],
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: oleander_base::EngineRole::Full,
        };
        let accepted = client.send_order(engine.address(), &order, timeouts());
        assert_eq!(accepted.await.unwrap(), OrderAnswer::Accepted);
    }
}
