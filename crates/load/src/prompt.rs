//! The prompt of a planned call and the answer to expect for it.

use ntex::util::Bytes;
use oleander_standin::{AnswerPlan, answer_hint};
use serde_json::json;

use crate::scenario::ClassPlan;

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Fraction of a prompt that its shared prefix takes up.
const PREFIX_SHARE: f64 = 0.6;

/// The parameters that determine a prompt, together with its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PromptSeed {
    pub(crate) seed: u64,
    pub(crate) serial: u64,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) prefix: Option<u32>,
}

/// A request body and the answer that is expected for it.
#[derive(Debug, Clone)]
pub(crate) struct PreparedPrompt {
    pub(crate) body: Bytes,
    pub(crate) plan: AnswerPlan,
}

impl PreparedPrompt {
    /// Builds the prompt of one call.
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

/// Returns `start` padded with filler text to `size` bytes; a longer `start` is not cut.
fn pad_to(start: &str, size: usize) -> String {
    const FILLER: &str = " page line note";
    let mut text = start.to_owned();
    while text.len() < size {
        let left = size - text.len();
        text.push_str(&FILLER[..left.min(FILLER.len())]);
    }
    text
}
