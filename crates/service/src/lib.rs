//! The client of plain services.
//!
//! [`ServiceClient`] forwards one call to one plain service: one attempt, with the verdict of that
//! attempt. A call that is not idempotent goes over a new connection that carries nothing else,
//! because a kept-alive connection may be closed by the server at any moment, which would leave
//! the outcome unknown for no need. Bodies are bounded in both directions.

mod client;
mod error;
mod headers;

pub use client::{ServiceAnswer, ServiceCall, ServiceClient, ServiceSettings};
pub use error::{Result, ServiceError, ServiceFailure};
pub use headers::{is_forwarded_answer, is_forwarded_request};
pub use oleander_attempt::AttemptTimeouts;
