//! A session: one connection to one instance, from the exchange of hellos to its close.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{Duration, Instant};

use bytes::Bytes;
use log::debug;
use oleander_base::prelude::*;
use quinn::{Connection, RecvStream, SendStream, VarInt};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::codec::{
    CodecError, DecodedMessage, FrameBuffer, Hello, MAX_FRAME_BODY, Opening, ProtocolVersion,
    decode_hello, decode_opening, encode_hello, encode_reply,
};
use crate::core::EndpointCore;
use crate::counters::add;
use crate::error::{PeerError, PeerResult};
use crate::message::PeerReply;
use crate::stream::{ActiveGuard, PeerStream, read_frame};

/// The timeout of the exchange of hellos on a new connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);

/// The maximum number of bytes that one read of the message stream returns.
const READ_SIZE: usize = 256 << 10;

/// The priority of the message stream, above the default of 0 that bulk streams of the same
/// connection have.
const MESSAGE_PRIORITY: i32 = 10;

pub(crate) const CLOSE_NORMAL: VarInt = VarInt::from_u32(0);
pub(crate) const CLOSE_VERSION: VarInt = VarInt::from_u32(2);
pub(crate) const CLOSE_MALFORMED: VarInt = VarInt::from_u32(3);
const UNSUPPORTED: VarInt = VarInt::from_u32(4);

/// A connection on which both sides have exchanged hellos.
#[derive(Debug)]
pub(crate) struct PeerSession {
    pub(crate) connection: Connection,
    pub(crate) remote: InstanceId,
    pub(crate) centre: CentreId,
    pub(crate) version: ProtocolVersion,
    /// Whether this side opened the connection.
    pub(crate) dialled: bool,
    pub(crate) since: Instant,
    pub(crate) sender: Mutex<SendStream>,
    /// The number of calls and stream directions in use.
    pub(crate) active: Arc<AtomicUsize>,
}

impl PeerSession {
    /// Returns whether the connection is still open.
    pub(crate) fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    /// Returns the instance that opened the connection.
    pub(crate) fn dialler(&self, me: InstanceId) -> InstanceId {
        if self.dialled { me } else { self.remote }
    }
}

/// Exchanges hellos on a new connection and spawns the tasks that read from it.
pub(crate) async fn establish(
    core: &Arc<EndpointCore>,
    connection: Connection,
    dialled: bool,
) -> PeerResult<Arc<PeerSession>> {
    let hellos = timeout(HELLO_TIMEOUT, exchange_hellos(core, &connection)).await;
    let (send, receive, hello, rest) = match hellos {
        Ok(Ok(parts)) => parts,
        Ok(Err(error)) => {
            close_without_session(core, &connection);
            return Err(error);
        }
        Err(_) => {
            close_without_session(core, &connection);
            return Err(unreachable(&connection, &"no hello in time"));
        }
    };
    if hello.instance == core.me {
        close_without_session(core, &connection);
        return Err(PeerError::SelfConnection {
            address: connection.remote_address(),
        });
    }
    let Some(version) = core.protocol.common(hello.protocol) else {
        add(&core.counters.refused, 1);
        connection.close(CLOSE_VERSION, b"version");
        return Err(PeerError::Version {
            address: connection.remote_address(),
        });
    };
    let session = Arc::new(PeerSession {
        connection,
        remote: hello.instance,
        centre: hello.centre,
        version,
        dialled,
        since: Instant::now(),
        sender: Mutex::new(send),
        active: Arc::new(AtomicUsize::new(0)),
    });
    core.register(&session);
    core.spawn(read_messages(
        Arc::clone(core),
        Arc::clone(&session),
        receive,
        rest,
    ));
    core.spawn(accept_streams(Arc::clone(core), Arc::clone(&session)));
    core.spawn(read_datagrams(Arc::clone(core), Arc::clone(&session)));
    Ok(session)
}

async fn exchange_hellos(
    core: &EndpointCore,
    connection: &Connection,
) -> PeerResult<(SendStream, RecvStream, Hello, Bytes)> {
    let failed = |error: &dyn std::fmt::Display| unreachable(connection, error);
    let mut send = connection.open_uni().await.map_err(|e| failed(&e))?;
    let _ = send.set_priority(MESSAGE_PRIORITY);
    let hello = encode_hello(&core.hello());
    send.write_chunk(hello).await.map_err(|e| failed(&e))?;
    let mut receive = connection.accept_uni().await.map_err(|e| failed(&e))?;
    let unknown = InstanceId {
        address: connection.remote_address(),
        incarnation: 0,
    };
    let (frame, rest) = read_frame(unknown, &mut receive)
        .await
        .map_err(|e| failed(&e))?;
    let hello = decode_hello(&frame).map_err(|e| failed(&e))?;
    Ok((send, receive, hello, rest))
}

async fn read_messages(
    core: Arc<EndpointCore>,
    session: Arc<PeerSession>,
    mut stream: RecvStream,
    buffered: Bytes,
) {
    let mut buffer = FrameBuffer::default();
    buffer.extend(&buffered);
    loop {
        if let Err(error) = deliver_messages(&core, &session, &mut buffer) {
            debug!(
                "closing connection with {}: invalid message stream: {error}",
                session.remote
            );
            session.connection.close(CLOSE_MALFORMED, b"frame");
            break;
        }
        match stream.read_chunk(READ_SIZE, true).await {
            Ok(Some(chunk)) => buffer.extend(&chunk.bytes),
            Ok(None) | Err(_) => break,
        }
    }
    session.connection.closed().await;
    core.on_closed(&session);
}

fn deliver_messages(
    core: &EndpointCore,
    session: &PeerSession,
    buffer: &mut FrameBuffer,
) -> Result<(), CodecError> {
    loop {
        let before = buffer.len();
        match buffer.next_message() {
            Ok(Some(DecodedMessage::Known(message))) => {
                let size = before - buffer.len();
                core.counters.add_received(message.kind(), size);
                core.handler.on_message(session.remote, message);
            }
            Ok(Some(DecodedMessage::Unknown(_))) => add(&core.counters.unknown, 1),
            Ok(None) => return Ok(()),
            Err(CodecError::Malformed(_)) => add(&core.counters.malformed, 1),
            Err(error @ CodecError::TooLarge(_)) => {
                add(&core.counters.malformed, 1);
                return Err(error);
            }
        }
    }
}

async fn accept_streams(core: Arc<EndpointCore>, session: Arc<PeerSession>) {
    while let Ok((send, receive)) = session.connection.accept_bi().await {
        let guard = ActiveGuard::new(&session.active);
        let task = handle_stream(
            Arc::clone(&core),
            Arc::clone(&session),
            send,
            receive,
            guard,
        );
        core.spawn(task);
    }
}

async fn handle_stream(
    core: Arc<EndpointCore>,
    session: Arc<PeerSession>,
    mut send: SendStream,
    mut receive: RecvStream,
    guard: ActiveGuard,
) {
    let from = session.remote;
    let Ok((frame, rest)) = read_frame(from, &mut receive).await else {
        let _ = send.reset(UNSUPPORTED);
        return;
    };
    match decode_opening(&frame) {
        Ok(Opening::Call(call)) => {
            let reply = core.handler.on_call(from, call).await;
            send_reply(&mut send, &limit_reply_size(reply)).await;
        }
        Ok(Opening::Stream(open)) => {
            let stream = PeerStream::new(from, send, receive, rest, &session.active);
            core.handler.on_stream(from, open, stream);
        }
        Ok(Opening::Unknown(_)) => {
            add(&core.counters.unknown, 1);
            send_reply(&mut send, &PeerReply::Unsupported).await;
        }
        Err(_) => {
            add(&core.counters.malformed, 1);
            send_reply(&mut send, &PeerReply::Unsupported).await;
        }
    }
    drop(guard);
}

/// Replaces an answer that exceeds the frame limit, which the peer would not accept, by a refusal.
fn limit_reply_size(reply: PeerReply) -> PeerReply {
    match reply {
        PeerReply::Answer(body) if body.len() > MAX_FRAME_BODY => {
            PeerReply::Refused(format!("the answer has {} bytes", body.len()))
        }
        reply => reply,
    }
}

async fn send_reply(send: &mut SendStream, reply: &PeerReply) {
    if send.write_chunk(encode_reply(reply)).await.is_ok() {
        let _ = send.finish();
        let _ = send.stopped().await;
    }
}

async fn read_datagrams(core: Arc<EndpointCore>, session: Arc<PeerSession>) {
    while let Ok(datagram) = session.connection.read_datagram().await {
        core.on_datagram(&session, &datagram);
    }
}

fn close_without_session(core: &EndpointCore, connection: &Connection) {
    connection.close(CLOSE_NORMAL, b"hello");
    core.counters.add_closed(&connection.stats());
}

pub(crate) fn unreachable(connection: &Connection, reason: &dyn std::fmt::Display) -> PeerError {
    PeerError::Unreachable {
        address: connection.remote_address(),
        reason: reason.to_string(),
    }
}
