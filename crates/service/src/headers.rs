//! Selection of the headers that are forwarded between callers and plain services.

/// Headers that apply to a single connection or that the HTTP library sets, and which are not
/// forwarded in either direction.
const CONNECTION_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request headers that are not forwarded: the caller's key is meant for the entry VM only.
const CALLER_ONLY_HEADERS: [&str; 1] = ["authorization"];

/// Returns whether a caller's header is forwarded to the plain service.
pub fn is_forwarded_request(name: &str) -> bool {
    is_forwarded_answer(name) && !contains_name(name, &CALLER_ONLY_HEADERS)
}

/// Returns whether a plain service's header is forwarded to the caller.
pub fn is_forwarded_answer(name: &str) -> bool {
    !contains_name(name, &CONNECTION_HEADERS)
}

fn contains_name(name: &str, list: &[&str]) -> bool {
    list.iter().any(|listed| name.eq_ignore_ascii_case(listed))
}
