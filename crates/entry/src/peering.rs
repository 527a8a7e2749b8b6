//! Handles all messages, calls and streams of the other entry VMs.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::future::BoxFuture;
use oleander_base::prelude::*;
use oleander_once::{ClaimEntry, ClaimHandle, OnceGuard};
use oleander_peer::{
    PeerCall, PeerEndpoint, PeerHandler, PeerMessage, PeerReply, PeerStream, StreamOpen,
};

use crate::forward::ForwardPool;
use crate::node::{EntryNode, PeerLink};
use crate::reconnect::serve_reconnect;
use crate::record_sync::RecordSync;
use crate::serve_service::known_request;
use crate::status::StatusMessage;

/// Handles what peers send to this process; its parts are set while the process starts.
#[derive(Default)]
pub(crate) struct PeerCallHandler {
    parts: OnceLock<PeerParts>,
}

/// The components of a process that serve peers.
#[derive(Clone)]
pub(crate) struct PeerParts {
    /// The shared state.
    pub node: Arc<EntryNode>,
    /// The at-most-once guard of requests that are not idempotent.
    pub guard: Arc<dyn OnceGuard>,
    /// Commits claims on behalf of the fleet.
    pub claims: ClaimHandle,
    /// Keeps the records in sync.
    pub records: Arc<RecordSync>,
    /// Runs forwarded calls.
    pub forwards: ForwardPool,
}

impl std::fmt::Debug for PeerCallHandler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerCallHandler").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for PeerParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerParts").finish_non_exhaustive()
    }
}

impl PeerCallHandler {
    /// Sets the parts. Messages that arrive earlier are dropped, and peers send them again.
    pub(crate) fn set_parts(&self, parts: PeerParts) {
        let _ = self.parts.set(parts);
    }
}

impl PeerHandler for PeerCallHandler {
    fn on_message(&self, from: InstanceId, message: PeerMessage) {
        let Some(parts) = self.parts.get() else {
            return;
        };
        match message {
            PeerMessage::Records(bytes) => parts.records.on_gossip(from, &bytes),
            PeerMessage::Status(bytes) => {
                if let Some(message) = StatusMessage::decode(&bytes) {
                    parts.node.statuses.on_message(from, message);
                }
            }
            PeerMessage::Limits(bytes) => parts.node.fleet_limits.on_message(from, &bytes),
            PeerMessage::PoolSummaries(bytes) => parts.node.remote_pools.on_message(&bytes),
            dispatch => parts.node.on_dispatch(from, dispatch),
        }
    }

    fn on_call(&self, _from: InstanceId, call: PeerCall) -> BoxFuture<'static, PeerReply> {
        let Some(parts) = self.parts.get().cloned() else {
            return Box::pin(async { PeerReply::Refused("this entry VM is starting".to_owned()) });
        };
        Box::pin(async move {
            match call {
                PeerCall::FetchRecords(after) => {
                    PeerReply::Answer(parts.records.delta_after(&after))
                }
                PeerCall::FetchSnapshot(_) => PeerReply::Answer(parts.records.snapshot()),
                PeerCall::ForwardRequest(body) => parts.forwards.run(body).await,
                PeerCall::RequestStatus(id) => request_status(&parts, id),
                PeerCall::CommitClaim(body) => commit_claim(&parts, &body).await,
            }
        })
    }

    fn on_stream(&self, _from: InstanceId, open: StreamOpen, stream: PeerStream) {
        let Some(parts) = self.parts.get().cloned() else {
            return;
        };
        match open {
            StreamOpen::Reconnect(head) => {
                tokio::spawn(serve_reconnect(parts.node, head, stream));
            }
            StreamOpen::ForwardRequest(_) => log::debug!("dropped a stream of an unsupported kind"),
        }
    }

    fn on_resumed(&self, paused: Duration) {
        if let Some(parts) = self.parts.get() {
            let what = format!("this process was paused for {:.1} s", paused.as_secs_f64());
            parts.node.drop_all_pools();
            parts.node.changes.record(
                what,
                "the monotonic clock jumped; old state is checked first",
            );
        }
    }
}

async fn commit_claim(parts: &PeerParts, body: &[u8]) -> PeerReply {
    let Ok(entry) = postcard::from_bytes::<ClaimEntry>(body) else {
        return PeerReply::Refused("the claim cannot be read".to_owned());
    };
    let reply = parts.claims.commit(entry).await;
    match postcard::to_allocvec(&reply) {
        Ok(bytes) => PeerReply::Answer(bytes.into()),
        Err(error) => PeerReply::Refused(error.to_string()),
    }
}

fn request_status(parts: &PeerParts, id: RequestId) -> PeerReply {
    let known = parts.guard.lookup(id).and_then(known_request);
    let bytes = known.and_then(|known| postcard::to_allocvec(&known).ok());
    match bytes {
        Some(bytes) => PeerReply::Answer(bytes.into()),
        None => PeerReply::Refused("the request is not known here".to_owned()),
    }
}

/// Sends messages to the other entry VMs through the peer endpoint.
#[derive(Clone)]
pub(crate) struct EndpointLink(pub PeerEndpoint);

impl std::fmt::Debug for EndpointLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EndpointLink").finish_non_exhaustive()
    }
}

impl PeerLink for EndpointLink {
    fn send(&self, to: InstanceId, message: PeerMessage) {
        self.0.send(to, &message);
    }
}
