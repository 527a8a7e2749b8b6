//! Reads the error code, verdict and request id of a call from response headers and error bodies.

use oleander_attempt::AttemptResponse;
use oleander_base::prelude::*;
use serde::Deserialize;

use crate::outcome::CallOutcome;

/// Maximum size of an error body, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Error code of a call that exceeds the limit of its customer.
const CODE_OVER_LIMIT: &str = "over-limit";

/// Error code of a call that was shed.
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

/// The error code, verdict and request id that the system returned for a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct SystemReply {
    pub(crate) code: Option<String>,
    pub(crate) verdict: Option<Verdict>,
    pub(crate) request: Option<String>,
}

impl SystemReply {
    /// Reads the verdict and the request id from the headers of a response.
    pub(crate) fn from_headers(response: &AttemptResponse) -> Self {
        let verdict = response.header("x-oleander-verdict");
        Self {
            code: None,
            verdict: verdict.and_then(parse_verdict),
            request: response.header("x-oleander-request").map(str::to_owned),
        }
    }

    /// Replaces the fields that an error body contains.
    pub(crate) fn add_error(&mut self, body: &[u8]) {
        let parsed: ErrorBody = serde_json::from_slice(body).unwrap_or_default();
        self.code = parsed.error.code.or(self.code.take());
        self.verdict = parsed.error.verdict.or(self.verdict);
        self.request = parsed.error.request.or(self.request.take());
    }
}

/// Reads the body of a response with an error status and classifies the failure.
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

/// Returns whether a stream event reports an error: its first 16 bytes contain the key `error`.
pub(crate) fn is_error_event(payload: &[u8]) -> bool {
    let start = &payload[..payload.len().min(16)];
    start.windows(8).any(|window| window == b"\"error\":")
}

fn parse_verdict(text: &str) -> Option<Verdict> {
    Verdict::ALL
        .into_iter()
        .find(|verdict| verdict.as_str() == text)
}
