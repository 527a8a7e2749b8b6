//! A request goes from a caller through an entry VM to an engine and back.

use oleander_demo::{Deployment, DeploymentPlan};

#[ntex::test]
async fn completion_comes_back_whole() {
    let deployment = Deployment::spawn(DeploymentPlan::demo()).unwrap();
    let client = ntex::client::Client::new().await;
    for (stream, entry) in [(false, 0), (true, 1), (true, 3)] {
        let url = format!("http://{}/v1/chat/completions", deployment.callers()[entry]);
        let body = serde_json::json!({
            "model": "editor", "stream": stream, "max_tokens": 20,
            "messages": [{"role": "user", "content": "compare this story with the archive"}],
        });
        let key = DeploymentPlan::api_key(&deployment.plan.customers[0]);
        let mut response = client
            .post(url)
            .header("x-api-key", "rozhlas-key")
            .header("x-oleander-class", "correction")
            .timeout(ntex::time::Millis(20_000))
            .send_json(&body)
            .await
            .unwrap();
        let _ = key;
        let text = response.body().limit(1 << 20).await.unwrap();
        println!("{} {}", response.status(), String::from_utf8_lossy(&text));
        assert!(response.status().is_success());
    }
}
