//! Encodes the answers of an engine's stand-in as JSON or server-sent events.

use ntex::util::Bytes;
use serde_json::json;

use crate::answer::token_text;
use crate::batch::StepToken;
use crate::engine_loop::OpenAnswer;

/// The format of an answer: chat or completion, streamed or in one piece.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerFormat {
    pub(crate) chat: bool,
    pub(crate) stream: bool,
    pub(crate) model: String,
    pub(crate) prompt_tokens: u32,
}

impl OpenAnswer {
    /// Sends one token, or collects it if the answer is sent in one piece after its last token.
    pub(crate) fn push(&mut self, token: &StepToken, engine: &str) {
        self.sent += 1;
        let tag = self.sequence.plan.tag;
        if self.format.stream {
            let mut text = self.format_event(&token_text(tag, token.index), None, token.index + 1);
            if token.last {
                let reason = self.sequence.plan.finish_reason();
                text.push_str(&self.format_event("", Some(reason), token.index + 1));
                text.push_str("data: [DONE]\n\n");
            }
            let _ = self.body.send(Ok(Bytes::from(text)));
            return;
        }
        self.writer.push(tag, token.index);
        if token.last {
            let whole = self.format_complete(engine, token.index + 1);
            let _ = self.body.send(Ok(Bytes::from(whole)));
        }
    }

    fn format_event(&self, content: &str, reason: Option<&str>, count: u32) -> String {
        let tag = self.sequence.plan.tag;
        let model = &self.format.model;
        let object = if self.format.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let payload = if self.format.chat {
            format!("\"delta\":{{\"content\":\"{content}\"}}")
        } else {
            format!("\"text\":\"{content}\"")
        };
        let (finish, usage) = match reason {
            Some(reason) => (
                format!("\"{reason}\""),
                format!(
                    ",\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{count}}}",
                    self.format.prompt_tokens
                ),
            ),
            None => ("null".to_owned(), String::new()),
        };
        format!(
            "data: {{\"id\":\"answer-{tag}\",\"object\":\"{object}\",\"model\":{model:?},\
             \"choices\":[{{\"index\":0,{payload},\"finish_reason\":{finish}}}]{usage}}}\n\n"
        )
    }

    fn format_complete(&self, engine: &str, count: u32) -> String {
        let text = self.writer.as_str();
        let choice = if self.format.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                   "finish_reason": self.sequence.plan.finish_reason()})
        } else {
            json!({"index": 0, "text": text,
                   "finish_reason": self.sequence.plan.finish_reason()})
        };
        json!({
            "id": format!("answer-{}", self.sequence.plan.tag),
            "object": if self.format.chat { "chat.completion" } else { "text_completion" },
            "model": self.format.model,
            "engine": engine,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.format.prompt_tokens,
                "completion_tokens": count,
            },
        })
        .to_string()
    }
}
