//! What is sent, and how long each phase may take.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;

/// How long each phase of an attempt may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// From the start until the request begins to leave.
    pub connect: Duration,
    /// From the start until the head of the answer.
    pub first_byte: Duration,
    /// Between two pieces of the answer.
    pub idle: Duration,
}

impl Default for AttemptTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(30),
            idle: Duration::from_secs(15),
        }
    }
}

/// The settings of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// How long one connect may take; also bounds what waits behind it.
    pub connect: Duration,
    /// How long an unused connection is kept, in whole seconds; less than the servers keep it.
    pub keep_idle_seconds: u16,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            keep_idle_seconds: 3,
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct AttemptRequest<'a> {
    /// The method.
    pub method: Method,
    /// The server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides host and length.
    pub headers: &'a [(&'a str, &'a str)],
    /// The whole body.
    pub body: Bytes,
    /// Whether the request must go over a new connection that carries no other request.
    pub fresh: bool,
    /// How long each phase may take.
    pub timeouts: AttemptTimeouts,
}
