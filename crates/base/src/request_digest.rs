//! The identity of a request over its repeats.
//!
//! A caller that repeats a request gives each attempt an id of its own, and comes to any gateway. What
//! stays the same is what it asks for: host, path, customer and body.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The content of a caller's request, which all its repeats share.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host without a port.
    pub host: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The customer who calls, if the route tells customers apart.
    pub customer: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// A request, by the hash of its content; all repeats of a request have the same.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let host = content.host.to_ascii_lowercase();
        let customer = content.customer.unwrap_or("");
        let mut hash = Xxh3::new();
        for field in [content.method, &host, content.target, customer] {
            hash.update(field.as_bytes());
            // No field holds this byte, so that it separates them.
            hash.update(b"\n");
        }
        hash.update(content.body);
        Self(hash.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
