//! How claims reach the instance that commits them.
//!
//! One instance commits the claims of a shard in groups. Which one is soft state: two at once are
//! safe, since the store's compare-and-swap decides, and an instance without a reachable peer
//! commits by itself.

use std::fmt;

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::hash::{BodyHash, KeyHash};

/// A shard of the claim log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Returns the shard of a key among `count` shards.
    pub fn of(key: KeyHash, count: u16) -> Self {
        let head = u16::from_be_bytes([key.0[0], key.0[1]]);
        Self(head % count.max(1))
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "shard{}", self.0)
    }
}

/// One claim; the request's home owns it, and the request's id settles a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The key.
    pub key: KeyHash,
    /// The hash of the body that the key was first used with.
    pub body: BodyHash,
    /// The request that claims it.
    pub request: RequestId,
}

/// Why a claim was not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotWritten {
    /// The key-value service is away.
    StoreUnavailable,
    /// The queue or the log is full.
    Overloaded,
}

/// The log's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The log holds this claim, and it was the first for its key.
    Granted,
    /// Another request holds the key.
    Taken {
        /// That request.
        holder: RequestId,
        /// The hash of its body.
        body: BodyHash,
    },
    /// The claim is not in the log and will not be.
    NotWritten(NotWritten),
    /// The claim may be in the log, now or later.
    Unknown,
}

/// Where the claims of a shard are committed at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitLocation {
    /// Here.
    Local,
    /// At a peer.
    Peer(InstanceId),
}

/// A claim did not reach a peer, or the peer's reply did not come back.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the claim's reply did not come from {peer}: {reason}")]
pub struct RouteError {
    /// The peer.
    pub peer: InstanceId,
    /// What was seen.
    pub reason: String,
}

/// The way of claims to the instance that commits them.
pub trait ClaimRoute: Send + Sync {
    /// Returns where the claims of a shard are committed: rendezvous over the reachable peers.
    fn locate(&self, shard: ShardId) -> CommitLocation;

    /// Takes a claim to a peer, which calls `ClaimHandle::commit`, and returns its reply.
    fn forward(
        &self,
        peer: InstanceId,
        claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>>;
}

/// The route of an instance that commits everything by itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandaloneRoute;

impl ClaimRoute for StandaloneRoute {
    fn locate(&self, _shard: ShardId) -> CommitLocation {
        CommitLocation::Local
    }

    fn forward(
        &self,
        peer: InstanceId,
        _claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>> {
        let reason = "this instance has no peers".to_owned();
        Box::pin(async move { Err(RouteError { peer, reason }) })
    }
}
