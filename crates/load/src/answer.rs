//! One model answer: its text, the arrival times of its tokens, and the check of the whole text.

use std::time::Duration;

use oleander_base::prelude::*;
use oleander_standin::{AnswerCheck, AnswerPlan};
use serde::Deserialize;
use tokio::time::Instant;

use crate::outcome::CallOutcome;

/// The fields of an answer's JSON that hold its text, streamed or whole.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct AnswerBody {
    #[serde(default)]
    choices: Vec<AnswerChoice>,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerChoice {
    #[serde(default)]
    delta: AnswerText,
    #[serde(default)]
    message: AnswerText,
}

#[derive(Debug, Default, Deserialize)]
struct AnswerText {
    #[serde(default)]
    content: Option<String>,
}

impl AnswerBody {
    /// Returns the text of a streamed chunk or of a whole answer.
    pub(crate) fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|choice| {
            let streamed = choice.delta.content.as_deref();
            streamed.or(choice.message.content.as_deref())
        });
        text.unwrap_or_default()
    }
}

/// The text and the timing of one answer while it arrives.
#[derive(Debug, Default)]
pub(crate) struct AnswerProgress {
    pub(crate) text: String,
    pub(crate) first: Option<Instant>,
    pub(crate) last_id: Option<String>,
    pub(crate) pieces: u32,
    last: Option<Instant>,
}

impl AnswerProgress {
    /// Appends text and returns the time since the previous text; empty text is ignored.
    pub(crate) fn push(&mut self, text: &str) -> Option<Duration> {
        if text.is_empty() {
            return None;
        }
        let now = Instant::now();
        let gap = self.last.map(|last| now - last);
        self.text.push_str(text);
        self.pieces += 1;
        self.first.get_or_insert(now);
        self.last = Some(now);
        gap
    }

    /// Returns the mean time between pieces of text, of which a stream has one per token.
    pub(crate) fn mean_gap(&self) -> Option<Span> {
        let length = self.last? - self.first?;
        (self.pieces > 1).then(|| Span::from(length / (self.pieces - 1)))
    }
}

/// Classifies an answer that claims to be complete.
pub(crate) fn classify_answer(plan: &AnswerPlan, text: &str) -> CallOutcome {
    match AnswerCheck::of(plan, text) {
        AnswerCheck::Whole => CallOutcome::Whole,
        AnswerCheck::Truncated { .. } => CallOutcome::Truncated,
        AnswerCheck::Mixed { .. } => CallOutcome::Mixed,
    }
}

/// Classifies an answer that ended with an error; the tokens that did arrive must still be the
/// right ones.
pub(crate) fn classify_broken_answer(plan: &AnswerPlan, text: &str) -> CallOutcome {
    match AnswerCheck::of(plan, text) {
        AnswerCheck::Mixed { .. } => CallOutcome::Mixed,
        _ => CallOutcome::Broken,
    }
}
