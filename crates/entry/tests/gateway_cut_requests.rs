//! Engines that reset a connection while a gateway still writes its request.

mod gateway;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use gateway::{Call, TestGateway, announce_at, manifest, start_engine};
use oleander_standin::users::{EngineReply, SeenRequest, UsersStore};
use serde_json::json;

/// The length of a body that does not fit into the buffers of a connection.
const BODY_BYTES: usize = 900_000;
/// The numbers of bytes after which a request is reset: in its head, after it, and within its body.
const CUTS: [usize; 5] = [1, 100, 1_000, 70_000, 400_000];

/// Starts a store whose manifest allows such bodies.
fn store() -> UsersStore {
    let store = UsersStore::spawn();
    let mut manifest = manifest(1);
    manifest["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    store.put("op/config", manifest.to_string());
    store
}

/// An engine that resets each connection after some bytes of a request.
struct ResettingEngine {
    address: SocketAddr,
    /// The number of connections on which bytes came.
    begun: Arc<AtomicUsize>,
}

impl ResettingEngine {
    fn bind(bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let begun = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&begun);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let count = Arc::clone(&count);
                thread::spawn(move || reset_after(stream, bytes, &count));
            }
        });
        Self { address, begun }
    }

    fn begun(&self) -> usize {
        self.begun.load(Ordering::SeqCst)
    }
}

/// Reads some bytes and resets the connection, as the kernel does when a socket with unread bytes is closed.
fn reset_after(mut stream: TcpStream, bytes: usize, begun: &AtomicUsize) {
    let mut left = vec![0; bytes];
    let mut filled = 0;
    while filled < bytes {
        match stream.read(&mut left[filled..]) {
            Ok(0) | Err(_) => return,
            Ok(count) if filled == 0 => {
                begun.fetch_add(1, Ordering::SeqCst);
                filled += count;
            }
            Ok(count) => filled += count,
        }
    }
}

// Guards against a request that is sent again, or promised not to have run, after a reset in the middle of its write.
#[test]
fn a_request_whose_write_is_reset_may_have_run() {
    let body = "x".repeat(BODY_BYTES);
    for bytes in CUTS {
        let store = store();
        let engine = ResettingEngine::bind(bytes);
        announce_at(&store, "i-1", "desk", engine.address);
        let gateway = TestGateway::start(&store);
        let answer = gateway.caller().call(&Call {
            body: &body,
            ..Call::publish("once")
        });
        let seen = (answer.status(), engine.begun());
        assert_eq!(seen, (502, 1), "after {bytes} bytes");
    }
}

// Guards against a request that may be repeated and is not, after a reset in the middle of its write.
#[test]
fn a_request_that_may_be_repeated_is_sent_elsewhere_after_a_reset() {
    let body = "x".repeat(BODY_BYTES);
    for bytes in CUTS {
        let store = store();
        let engine = ResettingEngine::bind(bytes);
        announce_at(&store, "i-1", "desk", engine.address);
        let sound = |request: &SeenRequest| EngineReply::Bytes(request.answer("done"));
        let _sound = start_engine(&store, "i-2", "desk", sound);
        let gateway = TestGateway::start(&store);
        for nth in 0..4 {
            let answer = gateway.caller().call(&Call {
                method: "POST",
                body: &body,
                ..Call::lookup(&format!("again-{nth}"))
            });
            let seen = (answer.status(), answer.text());
            assert_eq!(seen, (200, "done".to_owned()), "after {bytes} bytes");
        }
    }
}
