//! Reads the system's own words about a call: headers and error bodies.

use oleander_attempt::AttemptResponse;
use oleander_base::prelude::*;
use serde::Deserialize;

use crate::outcome::CallOutcome;

/// The largest error body, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// The code of a call over its customer's own limit.
const CODE_OVER_LIMIT: &str = "over-limit";

/// The code of a call that was shed.
const CODE_SHED: &str = "shed";

#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: ErrorFields,
}

#[derive(Debug, Default, Deserialize)]
struct ErrorFields {
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    verdict: Option<Verdict>,
    #[serde(default)]
    request: Option<String>,
}

/// What the system said of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SystemReply {
    pub(crate) code: Option<String>,
    pub(crate) verdict: Option<Verdict>,
    pub(crate) request: Option<String>,
}

impl SystemReply {
    /// Reads the headers of an answer.
    pub(crate) fn from_headers(response: &AttemptResponse) -> Self {
        let verdict = response.header("x-oleander-verdict");
        Self {
            code: None,
            verdict: verdict.and_then(parse_verdict),
            request: response.header("x-oleander-request").map(str::to_owned),
        }
    }

    /// Adds what an error body says.
    pub(crate) fn add_error(&mut self, body: &[u8]) {
        let parsed: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
        self.code = parsed.error.code.or(self.code.take());
        self.verdict = parsed.error.verdict.or(self.verdict);
        self.request = parsed.error.request.or(self.request.take());
    }
}

/// Reads an answer that is not a success.
pub(crate) async fn read_failure(
    response: AttemptResponse,
    mut reply: SystemReply,
) -> (CallOutcome, SystemReply) {
    let status = response.status.as_u16();
    let body = response
        .body
        .read(MAX_ERROR_BYTES)
        .await
        .unwrap_or_default();
    reply.add_error(&body);
    let outcome = match reply.code.as_deref() {
        Some(CODE_OVER_LIMIT) => CallOutcome::Refused,
        Some(CODE_SHED) => CallOutcome::Shed,
        _ => CallOutcome::Failed,
    };
    reply.code = reply.code.or(Some(format!("status-{status}")));
    (outcome, reply)
}

/// Returns whether an event of a stream reports an error.
pub(crate) fn is_error_event(payload: &[u8]) -> bool {
    let start = &payload[..payload.len().min(16)];
    start.windows(8).any(|window| window == b"\"error\":")
}

fn parse_verdict(text: &str) -> Option<Verdict> {
    Verdict::ALL
        .into_iter()
        .find(|verdict| verdict.as_str() == text)
}
