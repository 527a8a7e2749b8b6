//! Serves a caller that reconnects at another entry VM than the one that holds its answer.
//!
//! The VM at which the caller reconnects opens a stream to the request's origin and passes the
//! bytes on. The origin sends the same text as it would send to the caller directly.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use oleander_base::prelude::*;
use oleander_caller::{CallerError, ErrorCode};
use oleander_peer::{PeerEndpoint, PeerReceiver, PeerStream, StreamOpen};
use serde::{Deserialize, Serialize};

use crate::answer::{AnswerReader, EventsDropped};
use crate::node::EntryNode;
use crate::sse::{EventBody, EventPosition};

/// The head of a stream: the reader's customer and the position that it continues from.
#[derive(Debug, Serialize, Deserialize)]
struct ReconnectHead {
    request: RequestId,
    customer: CustomerId,
    number: u64,
    tokens: u32,
}

/// The first byte of the origin's reply if it holds the answer.
const FOUND: u8 = 1;
/// The first byte of the origin's reply if it does not hold the answer.
const NOT_KEPT: u8 = 0;

/// Adds a reader to an answer that this VM holds.
pub(crate) fn local_reader(
    node: &EntryNode,
    customer: CustomerId,
    request: RequestId,
    position: EventPosition,
) -> Result<AnswerReader, CallerError> {
    let buffer = Some(request)
        .filter(|request| request.origin == node.me)
        .and_then(|request| node.answers.get(request.serial))
        .filter(|buffer| buffer.customer == customer)
        .ok_or_else(|| answer_not_kept(request))?;
    buffer
        .reader(position.number)
        .map_err(|EventsDropped| answer_not_kept(request))
}

fn answer_not_kept(request: RequestId) -> CallerError {
    let message = "this answer is not kept any more; send the request again with last-event-id";
    CallerError::not_run(ErrorCode::NotFound, message)
        .of(request)
        .with_verdict(Verdict::MayHaveRun)
}

/// Opens the rest of an answer at its origin; the stream ends with an error unless the answer is
/// whole.
pub(crate) async fn remote_events(
    peers: &PeerEndpoint,
    customer: CustomerId,
    request: RequestId,
    position: EventPosition,
) -> Result<impl Stream<Item = Result<ntex::util::Bytes, CallerError>> + use<>, CallerError> {
    let head = ReconnectHead {
        request,
        customer,
        number: position.number,
        tokens: position.tokens,
    };
    let head = postcard::to_allocvec(&head).map_err(|_| answer_not_kept(request))?;
    let opened = peers
        .open_stream(request.origin, StreamOpen::Reconnect(head.into()))
        .await;
    let mut opened = opened.map_err(|_| answer_not_kept(request))?;
    let first = match opened.receive().await {
        Ok(Some(bytes)) if bytes[0] == FOUND => bytes.slice(1..),
        _ => return Err(answer_not_kept(request)),
    };
    let (sender, receiver) = opened.split();
    let state = RemoteEvents {
        receiver,
        _sender: sender,
        first: Some(first),
        request,
    };
    Ok(stream::unfold(Some(state), |state| async move { state?.next().await }).boxed_local())
}

struct RemoteEvents {
    receiver: PeerReceiver,
    /// Dropping the sender signals to the origin that the caller disconnected.
    _sender: oleander_peer::PeerSender,
    first: Option<Bytes>,
    request: RequestId,
}

type EventItem = (Result<ntex::util::Bytes, CallerError>, Option<RemoteEvents>);

impl RemoteEvents {
    async fn next(mut self) -> Option<EventItem> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Some((Ok(copy(&first)), Some(self)));
        }
        match self.receiver.receive().await {
            Ok(Some(bytes)) => Some((Ok(copy(&bytes)), Some(self))),
            Ok(None) => None,
            Err(error) => {
                let broken = CallerError::not_run(ErrorCode::BackendFailed, error.to_string())
                    .of(self.request)
                    .with_verdict(Verdict::MayHaveRun);
                Some((Err(broken), None))
            }
        }
    }
}

fn copy(bytes: &Bytes) -> ntex::util::Bytes {
    ntex::util::Bytes::copy_from_slice(bytes)
}

/// Serves a caller that reconnected at another entry VM.
pub(crate) async fn serve_reconnect(node: Arc<EntryNode>, head: Bytes, mut stream: PeerStream) {
    let reader = postcard::from_bytes::<ReconnectHead>(&head)
        .ok()
        .and_then(|head| {
            let position = EventPosition {
                number: head.number,
                tokens: head.tokens,
            };
            local_reader(&node, head.customer, head.request, position).ok()
        });
    let Some(reader) = reader else {
        if stream.send(Bytes::from_static(&[NOT_KEPT])).await.is_ok() {
            stream.finish();
        }
        return;
    };
    let (mut sender, _receiver) = stream.split();
    if sender.send(Bytes::from_static(&[FOUND])).await.is_err() {
        return;
    }
    let mut events = EventBody::new(reader);
    while let Some(event) = events.next().await {
        let Ok(text) = event else { return };
        if sender.send(Bytes::copy_from_slice(&text)).await.is_err() {
            return;
        }
    }
    sender.finish();
    sender.stopped().await;
}
