//! Measures the one-way latency of messages between two endpoints in this process: single messages
//! on an idle link, then a burst.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use oleander_base::prelude::*;
use oleander_peer::{
    CertificateAuthority, PeerCall, PeerEndpoint, PeerHandler, PeerMessage, PeerReply,
    PeerSettings, PeerStream, StreamOpen,
};
use parking_lot::Mutex;

const SINGLE_MESSAGES: usize = 2_000;
const BURST: usize = 200_000;

struct ClockHandler {
    origin: Instant,
    nanos: Mutex<Vec<u64>>,
}

impl PeerHandler for ClockHandler {
    fn on_message(&self, _from: InstanceId, message: PeerMessage) {
        if let PeerMessage::Status(body) = message
            && let Some(sent) = body.first_chunk::<8>()
        {
            let now = self.origin.elapsed().as_nanos() as u64;
            self.nanos.lock().push(now - u64::from_le_bytes(*sent));
        }
    }

    fn on_call(&self, _from: InstanceId, _call: PeerCall) -> BoxFuture<'static, PeerReply> {
        std::future::ready(PeerReply::Unsupported).boxed()
    }

    fn on_stream(&self, _from: InstanceId, _open: StreamOpen, _stream: PeerStream) {}
}

fn main() {
    let directory = std::env::temp_dir().join(format!("message-latency-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let authority = CertificateAuthority::generate("measurement").expect("an authority");
    let files = authority.issue("node").expect("a certificate");
    let tls = files.write_to(&directory).expect("written files");
    let origin = Instant::now();
    let handler = Arc::new(ClockHandler {
        origin,
        nanos: Mutex::default(),
    });
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = PeerSettings::new(listen, CentreId::from_name("a"), tls);
    let first = PeerEndpoint::bind(settings.clone(), handler.clone()).expect("an endpoint");
    let second = PeerEndpoint::bind(settings, handler.clone()).expect("an endpoint");
    std::fs::remove_dir_all(&directory).expect("the directory goes");

    let send = || {
        let now = origin.elapsed().as_nanos() as u64;
        let body = Bytes::copy_from_slice(&now.to_le_bytes());
        first.send(second.instance(), &PeerMessage::Status(body));
    };
    send();
    wait_count(&handler, 1);
    for _ in 0..SINGLE_MESSAGES {
        std::thread::sleep(Duration::from_millis(1));
        send();
    }
    wait_count(&handler, 1 + SINGLE_MESSAGES);
    report("idle link", &handler, 1);

    let start = Instant::now();
    for _ in 0..BURST {
        send();
    }
    wait_count(&handler, 1 + SINGLE_MESSAGES + BURST);
    let rate = BURST as f64 / start.elapsed().as_secs_f64();
    report("burst", &handler, 1 + SINGLE_MESSAGES);
    println!(
        "burst: {rate:.0} messages/s, dropped {}",
        first.counters().dropped
    );
}

fn wait_count(handler: &ClockHandler, count: usize) {
    while handler.nanos.lock().len() < count {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn report(name: &str, handler: &ClockHandler, from: usize) {
    let mut nanos = handler.nanos.lock()[from..].to_vec();
    nanos.sort_unstable();
    let at = |share: f64| nanos[((nanos.len() - 1) as f64 * share) as usize] as f64 / 1_000.0;
    println!(
        "{name}: one way p50 {:.0} us, p99 {:.0} us, largest {:.0} us",
        at(0.5),
        at(0.99),
        at(1.0)
    );
}
