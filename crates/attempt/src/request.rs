//! The request of an attempt, and the timeouts of its phases.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::http::Method;
use ntex::util::Bytes;

/// Holds the timeouts of an attempt's phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// The limit from the start until the body is handed to the connection; not applied to a
    /// request without a body.
    pub connect: Duration,
    /// The limit from the start until the head of the answer has been received, also while no connection is
    /// open.
    pub first_byte: Duration,
    /// The limit between two chunks of the answer's body.
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

/// Holds the settings of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSettings {
    /// The limit of one connect, which also bounds the wait of requests queued behind it.
    pub connect: Duration,
    /// How long an idle connection is kept, in whole seconds; must be less than the servers' own
    /// limit.
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

/// Describes one request.
#[derive(Debug, Clone)]
pub struct AttemptRequest<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The address of the server.
    pub address: SocketAddr,
    /// The path and query.
    pub path: &'a str,
    /// The headers, without host and content length.
    pub headers: &'a [(&'a str, &'a str)],
    /// The whole body.
    pub body: Bytes,
    /// Whether the request must go over a new connection that carries no other request.
    pub fresh: bool,
    /// The timeouts of the phases.
    pub timeouts: AttemptTimeouts,
}
