//! The prompt of a planned call, and with it the answer to expect.

use ntex::util::Bytes;
use oleander_standin::{AnswerPlan, answer_hint};
use serde_json::json;

use crate::scenario::ClassPlan;

/// How many bytes of a prompt one token stands for.
const BYTES_PER_TOKEN: usize = 4;

/// The part of a prompt that its shared beginning takes.
const PREFIX_SHARE: f64 = 0.6;

/// What decides a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PromptSeed {
    pub(crate) seed: u64,
    pub(crate) serial: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: Option<u32>,
}

/// A request body and the answer that belongs to it.
#[derive(Debug, Clone)]
pub(crate) struct PreparedPrompt {
    pub(crate) body: Bytes,
    pub(crate) plan: AnswerPlan,
}

impl PreparedPrompt {
    /// Writes the prompt of one call.
    pub(crate) fn new(class: &ClassPlan, seed: &PromptSeed) -> Self {
        let size = seed.prompt_tokens as usize * BYTES_PER_TOKEN;
        let shared = match seed.prefix {
            Some(prefix) => pad_to(
                &format!("{} guide {prefix}:", class.name),
                (size as f64 * PREFIX_SHARE) as usize,
            ),
            None => String::new(),
        };
        let hint = answer_hint(seed.answer_tokens);
        let question = format!("Question {}-{} {hint}.", seed.seed, seed.serial);
        let question = pad_to(&question, size.saturating_sub(shared.len()));
        let prompt = format!("{shared}\n{question}");
        let plan = AnswerPlan::of(&class.model, &prompt, Some(class.answer.limit));
        let body = json!({
            "model": class.model,
            "messages": [
                {"role": "system", "content": shared},
                {"role": "user", "content": question},
            ],
            "max_tokens": class.answer.limit,
            "stream": class.stream,
        });
        Self {
            body: Bytes::from(body.to_string()),
            plan,
        }
    }
}

/// Returns `start` with filler up to a size.
fn pad_to(start: &str, size: usize) -> String {
    const FILLER: &str = " page line note";
    let mut text = start.to_owned();
    while text.len() < size {
        let left = size - text.len();
        text.push_str(&FILLER[..left.min(FILLER.len())]);
    }
    text
}
