//! Shared helpers for tests with real endpoints on loopback.

#![allow(dead_code, unreachable_pub)]

pub mod proxy;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use oleander_base::prelude::*;
use oleander_peer::{
    CertificateAuthority, MemberState, MemberView, MembershipSettings, PeerCall, PeerEndpoint,
    PeerHandler, PeerMessage, PeerReply, PeerSettings, PeerStream, StreamOpen, TlsFiles,
};
use parking_lot::Mutex;

/// The timeout of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The certificate files of one authority and one node, which all endpoints of a test share.
pub struct TestFiles {
    pub directory: tempfile::TempDir,
    pub tls: TlsFiles,
}

impl TestFiles {
    pub fn generate() -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let authority = CertificateAuthority::generate("test authority").expect("an authority");
        let node = authority.issue("test node").expect("a certificate");
        let tls = node.write_to(directory.path()).expect("written files");
        Self { directory, tls }
    }
}

/// A handler that records messages and echoes calls and streams.
#[derive(Default)]
pub struct EchoHandler {
    pub messages: Mutex<Vec<(InstanceId, PeerMessage)>>,
    pub resume_count: Mutex<u32>,
    pub views: Mutex<u64>,
}

impl PeerHandler for EchoHandler {
    fn on_message(&self, from: InstanceId, message: PeerMessage) {
        let panics = message == status("panic");
        assert!(!panics, "the handler was asked to panic");
        self.messages.lock().push((from, message));
    }

    fn on_call(&self, _from: InstanceId, call: PeerCall) -> BoxFuture<'static, PeerReply> {
        let reply = match call {
            PeerCall::FetchRecords(body) => PeerReply::Answer(body),
            PeerCall::FetchSnapshot(_) => PeerReply::Refused("no snapshot".to_owned()),
            _ => return std::future::pending().boxed(),
        };
        std::future::ready(reply).boxed()
    }

    fn on_stream(&self, _from: InstanceId, open: StreamOpen, mut stream: PeerStream) {
        tokio::spawn(async move {
            if let StreamOpen::ForwardRequest(head) = open {
                let _ = stream.send(head).await;
            }
            while let Ok(Some(bytes)) = stream.receive().await {
                if bytes.as_ref() == b"abandon" {
                    return;
                }
                let _ = stream.send(bytes).await;
            }
            stream.finish();
        });
    }

    fn on_view(&self, view: &Arc<MemberView>) {
        *self.views.lock() = view.version;
    }

    fn on_resumed(&self, _paused: Duration) {
        *self.resume_count.lock() += 1;
    }
}

/// An endpoint and its handler.
pub struct TestNode {
    pub endpoint: PeerEndpoint,
    pub handler: Arc<EchoHandler>,
}

pub fn settings(files: &TestFiles, centre: &str) -> PeerSettings {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerSettings::new(listen, CentreId::from_name(centre), files.tls.clone())
}

pub fn bind(settings: PeerSettings) -> TestNode {
    let handler = Arc::new(EchoHandler::default());
    let endpoint = PeerEndpoint::bind(settings, handler.clone()).expect("an open endpoint");
    TestNode { endpoint, handler }
}

/// Returns settings with shortened membership periods.
pub fn fast_settings(files: &TestFiles, centre: &str, seeds: &[SocketAddr]) -> PeerSettings {
    let mut settings = settings(files, centre);
    settings.seeds = seeds.to_vec();
    settings.membership = MembershipSettings::default().faster(2);
    settings
}

impl TestNode {
    pub fn id(&self) -> InstanceId {
        self.endpoint.instance()
    }

    pub fn sees(&self, other: InstanceId) -> MemberState {
        self.endpoint.members().state(other)
    }
}

/// Waits until every node sees every node as live.
pub fn wait_all_live(nodes: &[&TestNode]) {
    wait_until("all see each other live", || {
        nodes.iter().all(|viewer| {
            let live = |node: &&TestNode| viewer.sees(node.id()) == MemberState::Live;
            nodes.iter().all(live)
        })
    });
}

/// Waits until a condition holds, and panics with `what` after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn status(text: &'static str) -> PeerMessage {
    PeerMessage::Status(Bytes::from_static(text.as_bytes()))
}
