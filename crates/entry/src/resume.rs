//! The body of a call that continues an answer.

use bytes::Bytes;
use serde_json::{Map, Value, json};

/// The field that tells an engine where to go on.
const RESUME_FIELD: &str = "resume";

/// Returns the call's body with the request to go on after `tokens` tokens.
///
/// The body was read as a JSON object before; should it not be one, it is returned as it is, and
/// the engine refuses it.
pub fn with_resume(body: &Bytes, tokens: u32) -> Bytes {
    let Ok(mut call) = serde_json::from_slice::<Map<String, Value>>(body) else {
        return body.clone();
    };
    call.insert(RESUME_FIELD.to_owned(), json!({ "from_token": tokens }));
    serde_json::to_vec(&call).map_or_else(|_| body.clone(), Bytes::from)
}
