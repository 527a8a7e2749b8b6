//! Deterministic answers whose tokens carry a tag.
//!
//! An answer is a pure function of the model and the prompt: token `n` consists of the answer's tag
//! and `n`. Any engine of the model can therefore continue another engine's answer, and a checker
//! that knows the prompt knows every byte to expect. The router does not know the length: it is
//! given by a hint in the prompt's text, or else drawn from the tag, which is a hash of model and
//! prompt.

use std::fmt;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The marker in a prompt that precedes the requested answer length.
const LENGTH_MARKER: &str = "answer-tokens=";

/// The mean length of an answer whose prompt holds no marker, in tokens.
const MEAN_ANSWER_TOKENS: f64 = 64.0;

/// The maximum length of an answer, in tokens.
const MAX_ANSWER_TOKENS: u32 = 4_096;

/// The tag that every token of an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AnswerTag(pub u64);

impl AnswerTag {
    /// Returns the tag of the answer to `prompt` by `model`.
    pub fn of(model: &str, prompt: &str) -> Self {
        Self(xxh3_64_with_seed(
            prompt.as_bytes(),
            xxh3_64(model.as_bytes()),
        ))
    }
}

impl fmt::Display for AnswerTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The tag and the length of an answer, which determine its whole text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPlan {
    /// The tag of the answer.
    pub tag: AnswerTag,
    /// The number of tokens.
    pub length: u32,
    /// Whether the caller's limit shortens the answer.
    pub limited: bool,
}

impl AnswerPlan {
    /// Returns the plan of the answer to `prompt` by `model`, cut to `limit` tokens but not below
    /// one.
    pub fn of(model: &str, prompt: &str, limit: Option<u32>) -> Self {
        let tag = AnswerTag::of(model, prompt);
        let unlimited_length = hinted_length(prompt).unwrap_or_else(|| drawn_length(tag));
        let unlimited_length = unlimited_length.clamp(1, MAX_ANSWER_TOKENS);
        let length = unlimited_length
            .min(limit.unwrap_or(MAX_ANSWER_TOKENS))
            .max(1);
        Self {
            tag,
            length,
            limited: length < unlimited_length,
        }
    }

    /// Returns the answer's `finish_reason` field.
    pub fn finish_reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }

    /// Returns the complete text of the answer.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for index in 0..self.length {
            text.push_str(&token_text(self.tag, index));
        }
        text
    }
}

/// Returns the prompt fragment that sets the length of the answer.
pub fn answer_hint(tokens: u32) -> String {
    format!("{LENGTH_MARKER}{tokens}")
}

/// Returns the text of one token, including the space after it.
pub fn token_text(tag: AnswerTag, index: u32) -> String {
    format!("{tag}.{index} ")
}

fn hinted_length(prompt: &str) -> Option<u32> {
    let (_, remaining) = prompt.rsplit_once(LENGTH_MARKER)?;
    let digits = remaining.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

/// Draws a length from an exponential distribution, with the tag's upper 53 bits as the random
/// number.
fn drawn_length(tag: AnswerTag) -> u32 {
    let uniform = ((tag.0 >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (-uniform.ln() * MEAN_ANSWER_TOKENS).ceil() as u32
}

/// Accumulates the text of an answer that is sent in one piece.
#[derive(Debug, Default)]
pub struct AnswerWriter {
    text: String,
}

impl AnswerWriter {
    /// Appends one token.
    pub fn push(&mut self, tag: AnswerTag, index: u32) {
        self.text.push_str(&token_text(tag, index));
    }

    /// Returns the text so far.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

/// The result of comparing a received answer with its plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCheck {
    /// Every token was received once and in order.
    Whole,
    /// The answer is a proper prefix of the planned one.
    Truncated {
        /// The number of complete tokens received.
        tokens: u32,
    },
    /// The answer holds a token of another answer, a token out of order, a duplicate or one beyond
    /// the end.
    Mixed {
        /// The position of the first wrong token.
        position: u32,
    },
}

impl AnswerCheck {
    /// Compares the text that a caller received with the plan of its answer.
    pub fn of(plan: &AnswerPlan, text: &str) -> Self {
        let mut position = 0;
        let mut remaining = text;
        while !remaining.is_empty() {
            let expected = token_text(plan.tag, position);
            if position >= plan.length {
                return Self::Mixed { position };
            }
            if let Some(after) = remaining.strip_prefix(expected.as_str()) {
                remaining = after;
                position += 1;
            } else if expected.starts_with(remaining) {
                return Self::Truncated { tokens: position };
            } else {
                return Self::Mixed { position };
            }
        }
        if position == plan.length {
            Self::Whole
        } else {
            Self::Truncated { tokens: position }
        }
    }
}
