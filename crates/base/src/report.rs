//! Reports of model engines on their load and cache, which may arrive late or be lost.

use serde::{Deserialize, Serialize};

use crate::dispatch::PrefixHash;
use crate::entity::{AdapterId, ModelId};
use crate::time::Span;

/// The phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    Full,
    /// Prefill only; the engine exports the KV cache.
    Prefill,
    /// Decode only; the engine imports the KV cache.
    Decode,
}

/// A model that an engine has loaded into memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: String,
    /// The loaded adapters.
    pub adapters: Vec<AdapterId>,
}

/// An engine's load report, as received.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The age of the report when it was received.
    pub age: Span,
    /// The number of requests in the running batch, from all senders.
    pub running: u32,
    /// The number of requests queued inside the engine, from all senders.
    pub waiting: u32,
    /// The largest batch that the engine runs, in requests.
    pub batch_limit: u32,
    /// Tokens generated per second over the last reporting interval.
    pub tokens_per_second: f32,
    /// The share of the KV cache in use, from 0 to 1.
    pub cache_used: f32,
    /// The current role.
    pub role: EngineRole,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// Whether the engine announces that it is leaving.
    pub leaving: bool,
}

/// A prefix-cache event of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEvent {
    /// The engine cached this prefix.
    Stored(PrefixHash),
    /// The engine evicted this prefix.
    Removed(PrefixHash),
    /// The engine cleared its prefix cache.
    Cleared,
}
