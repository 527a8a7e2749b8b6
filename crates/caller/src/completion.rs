//! Completion calls and the list of models.
//!
//! A body is parsed once, for the few fields that routing needs; the engine receives the bytes
//! that the caller sent. Fields that are not named here pass through unchanged.

use std::hash::Hasher;

use oleander_base::PrefixHash;
use oleander_base::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{CallerError, ErrorCode};

/// The number of bytes of prompt text that are counted as one token, as no tokenizer is used.
const BYTES_PER_TOKEN: usize = 4;
/// The number of bytes at the start of the prompt that the prefix hash covers.
const MAX_PREFIX_BYTES: usize = 1_024;
/// The answer limit of a call that states none, in tokens.
const DEFAULT_ANSWER_TOKENS: u32 = 4_096;
/// The maximum answer limit that a call may state, in tokens.
const MAX_ANSWER_TOKENS: u32 = 1_000_000;

/// The completion interface that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// Chat completions, at `/v1/chat/completions`.
    Chat,
    /// Text completions, at `/v1/completions`.
    Text,
}

impl CompletionKind {
    /// Returns the request path, which is the same at the engine.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// The properties of a completion call that routing uses.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionCall {
    /// The completion interface.
    pub kind: CompletionKind,
    /// The model's public name.
    pub model: String,
    /// Whether the caller asks for a streamed answer.
    pub stream: bool,
    /// The maximum length of the answer, in tokens.
    pub answer_limit: u32,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The hash of the prompt's prefix.
    pub prefix: PrefixHash,
    /// The adapter, if the model was named as `MODEL:ADAPTER`.
    pub adapter: Option<AdapterId>,
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl CompletionCall {
    /// Parses and checks the body of a call.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, CallerError> {
        let parsed: CompletionBody<'_> = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is not a valid call: {error}")))?;
        let prompt = match kind {
            CompletionKind::Chat => parsed
                .messages
                .ok_or_else(|| bad_request("`messages` is missing"))?,
            CompletionKind::Text => parsed
                .prompt
                .ok_or_else(|| bad_request("`prompt` is missing"))?,
        };
        let answer_limit = parsed.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if answer_limit == 0 || answer_limit > MAX_ANSWER_TOKENS {
            return Err(bad_request(format!(
                "`max_tokens` must be 1 to {MAX_ANSWER_TOKENS}"
            )));
        }
        let (model, adapter) = split_model(&parsed.model)?;
        Ok(Self {
            kind,
            model,
            stream: parsed.stream,
            answer_limit,
            prompt_tokens: (prompt.get().len() / BYTES_PER_TOKEN) as u32,
            prefix: prefix_hash(prompt.get()),
            adapter,
        })
    }
}

fn split_model(name: &str) -> Result<(String, Option<AdapterId>), CallerError> {
    if name.is_empty() {
        return Err(bad_request("`model` is empty"));
    }
    match name.split_once(':') {
        Some((model, adapter)) => Ok((model.to_owned(), Some(AdapterId::from_name(adapter)))),
        None => Ok((name.to_owned(), None)),
    }
}

fn prefix_hash(prompt: &str) -> PrefixHash {
    let first = &prompt.as_bytes()[..prompt.len().min(MAX_PREFIX_BYTES)];
    let mut hasher = FxHasher::default();
    hasher.write(first);
    PrefixHash(hasher.finish())
}

fn bad_request(message: impl Into<String>) -> CallerError {
    CallerError::not_run(ErrorCode::BadRequest, message)
}

/// The response body of `/v1/models`.
#[derive(Debug, Serialize)]
pub struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Debug, Serialize)]
struct ModelItem<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

impl<'a> ModelList<'a> {
    /// Creates the list from the models' public names.
    pub fn new(names: impl IntoIterator<Item = &'a str>) -> Self {
        let data = names
            .into_iter()
            .map(|id| ModelItem {
                id,
                object: "model",
                owned_by: "oleanderplank",
            })
            .collect();
        Self {
            object: "list",
            data,
        }
    }
}
