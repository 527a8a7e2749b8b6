//! Answers to calls that go on after the tokens that a caller already has.

use std::time::Duration;

use ntex::util::Bytes;
use oleander_base::prelude::*;
use oleander_engine::{
    AttemptTimeouts, ClientSettings, EngineCall, EngineClient, EnginePath, ResumePoint,
};
use oleander_standin::users::{EngineReply, ScriptedEngine};

const TIMEOUT: Duration = Duration::from_secs(5);

fn call(engine: &ScriptedEngine, resume: Option<ResumePoint>) -> EngineCall<'static> {
    EngineCall {
        address: engine.address(),
        path: EnginePath::Chat,
        body: Bytes::from_static(b"{}"),
        request: "r-1",
        tier: Tier(0),
        prefix: None,
        resume,
        headers: &[],
        timeouts: AttemptTimeouts {
            connect: TIMEOUT,
            first_byte: TIMEOUT,
            idle: TIMEOUT,
        },
    }
}

// Guards against the text of an error that is written into a stream that has begun, and ends it as complete.
#[ntex::test]
async fn an_answer_that_is_no_stream_goes_on_in_none() {
    let engine = ScriptedEngine::spawn(|_| {
        let body = r#"{"error":"sorry"}"#;
        let length = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        EngineReply::BytesThenClose(text.into_bytes())
    });
    let client = EngineClient::open(ClientSettings::default()).await.unwrap();
    let resume = Some(ResumePoint { from_token: 3 });
    let error = client.start(call(&engine, resume)).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    let mut whole = client.start(call(&engine, None)).await.unwrap();
    assert!(
        whole.next().await.unwrap().is_ok(),
        "an answer in one piece"
    );
    assert!(whole.is_complete());
}
