//! Chooses the entry VM that commits the claims of a shard.
//!
//! Weighted rendezvous hashing over the live entry VMs chooses one VM for each shard, so that the
//! claims of the whole fleet share the few writes that the store allows. The choice is advisory: if
//! two VMs commit to the same shard, the log itself orders their claims.

use std::sync::{Arc, Weak};
use std::time::Duration;

use oleander_base::prelude::*;
use oleander_decide::{DispatcherCandidate, choose_dispatcher};
use oleander_once::{ClaimEntry, ClaimReply, ClaimRoute, CommitLocation, RouteError, ShardId};
use oleander_peer::{PeerCall, PeerEndpoint, PeerReply};
use oleander_platform::BoxFuture;

use crate::node::EntryNode;

/// Timeout for a peer to commit a claim.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// The model name that stands for claim shards in the keys of the rendezvous hash.
const SHARD_KEY: &str = "claim shards";

/// Routes claims to the entry VMs that commit them.
pub(crate) struct FleetClaimRoute {
    node: Weak<EntryNode>,
    peers: PeerEndpoint,
}

impl FleetClaimRoute {
    /// Creates the route of a process.
    pub(crate) fn new(node: &Arc<EntryNode>, peers: PeerEndpoint) -> Self {
        Self {
            node: Arc::downgrade(node),
            peers,
        }
    }
}

impl ClaimRoute for FleetClaimRoute {
    fn locate(&self, shard: ShardId) -> CommitLocation {
        let local = CommitLocation::Local;
        let Some(node) = self.node.upgrade() else {
            return local;
        };
        let view = node.view();
        let live = view.members.iter().filter(|member| member.takes_roles);
        let candidates: Vec<DispatcherCandidate> = live
            .map(|member| DispatcherCandidate {
                instance: member.instance,
                weight: member.weight,
            })
            .collect();
        let key = PoolId {
            centre: CentreId(u32::from(shard.0)),
            model: ModelId::from_name(SHARD_KEY),
        };
        match choose_dispatcher(key, &candidates) {
            Some(instance) if instance != node.me => CommitLocation::Peer(instance),
            _ => CommitLocation::Local,
        }
    }

    fn forward(
        &self,
        peer: InstanceId,
        claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>> {
        Box::pin(async move {
            let failed = |reason: String| RouteError { peer, reason };
            let body = postcard::to_allocvec(&claim).map_err(|error| failed(error.to_string()))?;
            let call = PeerCall::CommitClaim(body.into());
            let reply = self.peers.call(peer, call, COMMIT_TIMEOUT).await;
            match reply.map_err(|error| failed(error.to_string()))? {
                PeerReply::Answer(bytes) => {
                    postcard::from_bytes(&bytes).map_err(|error| failed(error.to_string()))
                }
                other => Err(failed(format!("{other:?}"))),
            }
        })
    }
}
