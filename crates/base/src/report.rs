//! What model engines report of themselves, late and with gaps.

use serde::{Deserialize, Serialize};

use crate::dispatch::PrefixHash;
use crate::entity::{AdapterId, ModelId};
use crate::time::Span;

/// The part of the work that an engine takes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prompts and answers.
    Full,
    /// Prompts only; the KV cache is exported.
    Prefill,
    /// Answers only; the KV cache is imported.
    Decode,
}

/// A model that an engine has in memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: String,
    /// The adapters in memory.
    pub adapters: Vec<AdapterId>,
}

/// A load report as it reached us.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old the report was when it was received.
    pub age: Span,
    /// Requests in the running batch, of all senders.
    pub running: u32,
    /// Requests that wait inside the engine, of all senders.
    pub waiting: u32,
    /// The largest batch that the engine runs.
    pub batch_limit: u32,
    /// Tokens generated a second over the last reporting interval.
    pub tokens_per_second: f32,
    /// The share of the KV cache in use, 0 to 1.
    pub cache_used: f32,
    /// The role in effect.
    pub role: EngineRole,
    /// The models in memory.
    pub models: Vec<LoadedModel>,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

/// A prefix-cache event of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEvent {
    /// The engine now holds this prefix.
    Stored(PrefixHash),
    /// The engine dropped this prefix.
    Removed(PrefixHash),
    /// The engine dropped everything.
    Cleared,
}
