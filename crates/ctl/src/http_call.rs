//! Blocking HTTP calls.
//!
//! The ntex client is bound to the runtime of one thread. Each call runs its own runtime, so that
//! the commands are ordinary synchronous functions.

use std::net::SocketAddr;

use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::Method;
use ntex::time::Millis;
use oleander_base::prelude::*;
use thiserror::Error;

/// The largest response body, in bytes; dumps of a busy process are the largest responses.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// The time limit of a call; an entry VM resolves an unknown outcome within this time.
const ANSWER_TIMEOUT: Millis = Millis(40_000);

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallAnswer {
    /// The status code.
    pub(crate) status: u16,
    /// The body as text, with invalid UTF-8 replaced.
    pub(crate) body: String,
}

/// A call that received no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{address}: {reason}")]
pub(crate) struct CallFailure {
    /// The address that was called.
    pub(crate) address: SocketAddr,
    /// The observed cause.
    pub(crate) reason: String,
    /// Whether the call may have taken effect.
    pub(crate) verdict: Verdict,
}

/// Calls a path with the operators' key and the JSON body, if one is given.
pub(crate) fn call(
    address: SocketAddr,
    method: &Method,
    path: &str,
    key: &str,
    body: Option<String>,
) -> Result<CallAnswer, CallFailure> {
    let url = format!("http://{address}{path}");
    let authorization = format!("Bearer {key}");
    let system = ntex::rt::System::new("oleanderctl", ntex::rt::DefaultRuntime);
    let method = method.clone();
    let answer = system.block_on(async move {
        let client = Client::new().await;
        let request = client
            .request(method, url)
            .header("authorization", authorization)
            .timeout(ANSWER_TIMEOUT);
        let response = match body {
            Some(body) => {
                let request = request.content_type("application/json");
                request.send_body(body).await
            }
            None => request.send().await,
        };
        let response = response.map_err(|error| (verdict(&error), error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| (Verdict::MayHaveRun, error.to_string()))?;
        Ok(CallAnswer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    });
    answer.map_err(|(verdict, reason)| CallFailure {
        address,
        reason,
        verdict,
    })
}

/// Returns the verdict of a failed call, which was never sent if its URL is invalid or no
/// connection could be opened.
fn verdict(error: &ClientError) -> Verdict {
    match error {
        ClientError::Connect(_) | ClientError::Url(_) => Verdict::NotRun,
        _ => Verdict::MayHaveRun,
    }
}
