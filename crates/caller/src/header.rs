//! Names of the HTTP headers that callers and entry VMs exchange.

use ntex::http::HeaderMap;

/// Names the request class.
pub const CLASS_HEADER: &str = "x-oleander-class";
/// Carries the request's id in responses about a request that has one.
pub const REQUEST_HEADER: &str = "x-oleander-request";
/// Carries the verdict in responses that are not streamed.
pub const VERDICT_HEADER: &str = "x-oleander-verdict";
/// Carries a bound token of a non-idempotent request.
pub const TOKEN_HEADER: &str = "x-oleander-token";
/// Carries the caller's own key of a non-idempotent request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Names the request whose answer a repeated call continues.
pub const RESUME_HEADER: &str = "x-oleander-resume";
/// Asks to keep an answer for the given number of seconds after the caller has disconnected.
pub const KEEP_HEADER: &str = "x-oleander-keep";
/// Names the last event that a reconnecting caller received.
pub const EVENT_ID_HEADER: &str = "last-event-id";

/// Returns the value of a header, or none if it is absent or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
