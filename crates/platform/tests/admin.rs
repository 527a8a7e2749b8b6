//! Tests that the stand-in's faults can be set over HTTP, as for a stand-in in a separate process.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use common::{bind_standin, block_on, open_client};
use oleander_platform::{Expected, KeyValueStore, StoreError, VmList};
use oleander_standin::PlatformCounters;

/// Sends one request over a new connection and returns the answer's body.
fn send_request(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{answer}");
    body.to_owned()
}

#[test]
fn faults_counters_and_lists_are_reached_over_http() {
    let standin = bind_standin();
    let address = standin.address();
    let client = open_client(&standin);
    block_on(async move {
        send_request(address, "POST", "/admin/faults", r#"{"outage":"refuse"}"#);
        let refused = client.put("a", Expected::Absent, "1".into(), None).await;
        assert!(matches!(refused, Err(StoreError::Unavailable { .. })));
        send_request(
            address,
            "POST",
            "/admin/faults",
            r#"{"drop_next_answers":1}"#,
        );
        let lost = client.put("a", Expected::Absent, "1".into(), None).await;
        assert!(matches!(lost, Err(StoreError::Unknown { .. })));
        let vms = r#"[{"address":"10.0.0.1","port":null,"state":"live"}]"#;
        send_request(address, "POST", "/admin/vms", vms);
        assert_eq!(client.read().await.unwrap().len(), 1);
        send_request(address, "POST", "/admin/compact", "");
        let counters = send_request(address, "GET", "/admin/counters", "");
        let counters: PlatformCounters = serde_json::from_str(&counters).unwrap();
        assert_eq!((counters.outages, counters.dropped_answers), (1, 1));
        assert_eq!((counters.calls["/v1/put"], counters.writes), (2, 1));
        let dump = send_request(address, "GET", "/admin/dump", "");
        assert!(dump.contains("a at 1: 1 bytes"), "{dump}");
    });
}
