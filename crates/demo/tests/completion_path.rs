//! Tests that a completion passes from a caller through an entry VM to an engine and back.

use std::time::Duration;

use ntex::time::Millis;
use oleander_decide::PolicyKind;
use oleander_demo::{DEMO_SCENARIO, Deployment};
use oleander_load::Scenario;

#[ntex::test]
async fn completion_comes_back_whole() {
    let scenario = Scenario::parse(DEMO_SCENARIO).unwrap();
    let deployment = Deployment::spawn(&scenario, PolicyKind::Tiered).unwrap();
    assert!(deployment.wait_until_ready(Duration::from_secs(30)));
    let client = ntex::client::Client::new().await;
    for (stream, entry) in [(false, 0), (true, 1), (true, 3)] {
        let url = format!("http://{}/v1/chat/completions", deployment.callers()[entry]);
        let body = serde_json::json!({
            "model": "tatry-editor", "stream": stream, "max_tokens": 20,
            "messages": [{"role": "user", "content": "compare this story with the archive"}],
        });
        let response = client
            .post(url)
            .header("authorization", "Bearer key-radio-regina")
            .header("x-oleander-class", "correction-draft")
            .timeout(Millis(20_000))
            .send_json(&body)
            .await
            .unwrap();
        assert!(response.status().is_success(), "{}", response.status());
        let text = response.body().limit(1 << 20).await.unwrap();
        let text = String::from_utf8_lossy(&text);
        assert!((0..20).all(|n| text.contains(&format!(".{n} "))), "{text}");
        assert_eq!(text.contains("[DONE]"), stream);
    }
}
