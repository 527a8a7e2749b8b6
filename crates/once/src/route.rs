//! The route of claims to the instance that commits them.
//!
//! One instance commits the claims of a shard in groups. Which one is soft state: two committers
//! at once are safe, since the store's compare-and-swap decides between them, and an instance
//! without a reachable peer commits locally.

use std::fmt;

use oleander_base::prelude::*;
use oleander_platform::BoxFuture;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::hash::{BodyHash, KeyHash};

/// Identifies a shard of the claim log.
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

/// Holds one claim.
///
/// The instance that accepted the request owns the claim. After a lost reply, the request's id in
/// the log shows whether the claim was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The key.
    pub key: KeyHash,
    /// The hash of the claiming request's body.
    pub body: BodyHash,
    /// The request that claims the key.
    pub request: RequestId,
}

/// Lists the reasons why a claim was not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotWritten {
    /// The key-value store is unavailable, or its log cannot be used.
    StoreUnavailable,
    /// The queue or the log is full, the store's call budget is spent, or the claim took too long.
    Overloaded,
}

/// Holds the log's reply to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The log holds this claim, the first for its key.
    Granted,
    /// Another request holds the key.
    Taken {
        /// The request that holds the key.
        holder: RequestId,
        /// The hash of its body.
        body: BodyHash,
    },
    /// The claim is not in the log and will not be.
    NotWritten(NotWritten),
    /// The claim may be in the log, or may still be written.
    Unknown,
}

/// Names the instance that currently commits the claims of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitLocation {
    /// This instance.
    Local,
    /// A peer.
    Peer(InstanceId),
}

/// Reports that a claim did not reach a peer or that the peer's reply was lost.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no reply to the claim from {peer}: {reason}")]
pub struct RouteError {
    /// The peer that the claim was forwarded to.
    pub peer: InstanceId,
    /// A description of the failure.
    pub reason: String,
}

/// Routes claims to the instance that commits them.
pub trait ClaimRoute: Send + Sync {
    /// Returns where the claims of a shard are committed, by rendezvous hashing over the reachable
    /// peers.
    fn locate(&self, shard: ShardId) -> CommitLocation;

    /// Forwards a claim to a peer, which calls `ClaimHandle::commit`, and returns the peer's reply.
    fn forward(
        &self,
        peer: InstanceId,
        claim: ClaimEntry,
    ) -> BoxFuture<'_, Result<ClaimReply, RouteError>>;
}

/// Routes every claim of an instance to that instance itself.
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
