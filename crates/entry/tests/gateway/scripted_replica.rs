//! Gateways that take part in the exchange of origins only, as a script says.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use oleander_balance::{StreamId, StreamOrigin, VersionId, VersionSpan};
use oleander_standin::users::UsersStore;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{TestGateway, wait_for};

/// The format of datagrams between gateways.
const FORMAT: u8 = 6;

/// The messages about streams, in the order of their kinds.
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    Load,
    Origins(Vec<StreamOrigin>),
    OriginQuery {
        nonce: u64,
        stream: StreamId,
        service: String,
    },
    OriginReply {
        nonce: u64,
        origin: Option<VersionId>,
        versions: VersionSpan,
    },
}

/// The reply of a scripted gateway to a query, and the time after which it comes.
#[derive(Debug, Clone, Copy)]
pub struct Reply {
    pub delay: Duration,
    pub origin: Option<VersionId>,
    pub versions: VersionSpan,
    /// A record of the stream that it sends as soon as it is asked.
    pub recorded: Option<VersionId>,
}

/// A gateway that takes part in the exchange of origins only, as its script says.
pub struct ScriptedReplica {
    socket: UdpSocket,
    seen: Arc<Mutex<Vec<Message>>>,
}

impl ScriptedReplica {
    /// Starts one and announces it. Without a reply it is silent.
    pub fn start(store: &UsersStore, name: &str, reply: Option<Reply>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a test may bind a port");
        let nowhere = "127.0.0.1:1";
        let entry = json!({
            "control": nowhere, "gossip": socket.local_addr().expect("it is bound"),
            "frontend": nowhere, "zone": "north-a",
        });
        store.put(&format!("gateways/{name}"), entry.to_string());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let replica = Self {
            socket: socket.try_clone().expect("a socket can be shared"),
            seen: Arc::clone(&seen),
        };
        std::thread::spawn(move || serve(&socket, reply, &seen));
        replica
    }

    /// Asks a gateway what it knows of the versions of the service.
    pub fn ask_versions(&self, gateway: &TestGateway, nonce: u64) -> VersionSpan {
        let query = Message::OriginQuery {
            nonce,
            stream: StreamId::of("unknown"),
            service: "engines".to_owned(),
        };
        send(&self.socket, &query, gateway.gossip);
        let mut found = None;
        wait_for("a reply", || {
            found = self.seen.lock().iter().find_map(|message| match message {
                Message::OriginReply {
                    nonce: known,
                    versions,
                    ..
                } if *known == nonce => Some(*versions),
                _ => None,
            });
            found.is_some()
        });
        found.expect("the wait ends with a reply")
    }

    /// Returns the number of datagrams that held a record.
    pub fn records(&self, record: StreamOrigin) -> usize {
        let seen = self.seen.lock();
        let holds = |message: &&Message| matches!(message, Message::Origins(records) if records.contains(&record));
        seen.iter().filter(holds).count()
    }
}

fn send(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    let bytes = postcard::to_allocvec(&(FORMAT, message)).expect("messages serialize");
    // A datagram may be lost.
    let _ = socket.send_to(&bytes, to);
}

/// Replies to queries and collects what comes, until the test's process ends.
fn serve(socket: &UdpSocket, reply: Option<Reply>, seen: &Mutex<Vec<Message>>) {
    let mut buffer = [0; 1_500];
    loop {
        // A gateway that has ended shows up as an error.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Ok((FORMAT, message)) = postcard::from_bytes::<(u8, Message)>(&buffer[..length]) else {
            continue;
        };
        if let (Message::OriginQuery { nonce, stream, .. }, Some(reply)) = (&message, reply) {
            if let Some(version) = reply.recorded {
                let stream = *stream;
                let record = Message::Origins(vec![StreamOrigin { stream, version }]);
                send(socket, &record, from);
            }
            std::thread::sleep(reply.delay);
            let answer = Message::OriginReply {
                nonce: *nonce,
                origin: reply.origin,
                versions: reply.versions,
            };
            send(socket, &answer, from);
        }
        seen.lock().push(message);
    }
}

/// Returns the reply of a gateway that knows only the version v1 of the service.
pub fn reply(delay_ms: u64, origin: Option<VersionId>) -> Option<Reply> {
    Some(Reply {
        delay: Duration::from_millis(delay_ms),
        origin,
        versions: VersionSpan::Single(VersionId::of("v1")),
        recorded: None,
    })
}
