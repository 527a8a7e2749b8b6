//! A client of plain services.
//!
//! [`ServiceClient`] forwards a call to a plain service in a single attempt and returns the
//! verdict of that attempt. A call that is not idempotent uses a new connection that carries no
//! other call, because the server may close a kept-alive connection at any moment, which would
//! leave the outcome of the call unknown without need. Bodies are bounded in both directions.

mod client;
mod error;
mod headers;

pub use client::{ServiceAnswer, ServiceCall, ServiceClient, ServiceSettings};
pub use error::{Result, ServiceError, ServiceFailure};
pub use headers::{is_forwarded_answer, is_forwarded_request};
pub use oleander_attempt::AttemptTimeouts;
