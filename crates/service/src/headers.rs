//! Which headers pass from one side to the other.

/// Headers that belong to one connection, or that this client writes itself.
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

/// The caller's key is for the entry VM alone.
const CALLER_ONLY_HEADERS: [&str; 1] = ["authorization"];

/// Returns whether a caller's header is passed on to the plain service.
pub fn is_forwarded_request(name: &str) -> bool {
    is_forwarded_answer(name) && !contains_name(name, &CALLER_ONLY_HEADERS)
}

/// Returns whether a plain service's header is passed on to the caller.
pub fn is_forwarded_answer(name: &str) -> bool {
    !contains_name(name, &CONNECTION_HEADERS)
}

fn contains_name(name: &str, list: &[&str]) -> bool {
    list.iter().any(|listed| name.eq_ignore_ascii_case(listed))
}
