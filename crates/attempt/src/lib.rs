//! A single HTTP attempt with a verdict on whether the request may have run.
//!
//! The clients of engines and plain services send every request through this package. It makes
//! exactly one attempt, without retries or redirects. The error of a failed attempt states whether
//! the request may have run, which depends on what this process has sent:
//!
//! - Until the body is handed to the connection, the request has not run, because its content was
//!   not sent. This covers failures in the connect phase, in the wait for a pooled connection and
//!   on a kept-alive connection that turns out to be closed.
//! - After that it may have run, whatever the error is. The HTTP client reports the same error for
//!   a connection that closed before the send and for one that closed after it, so the error alone
//!   is not sufficient.
//!
//! For a request without a body the send cannot be observed, so only errors of the connect phase
//! give the verdict that it has not run.

mod body;
mod client;
mod error;
mod process_watch;
mod request;
mod tracked_body;
mod unframed_servers;

pub use body::AttemptBody;
pub use client::{AttemptClient, AttemptResponse};
pub use error::{AttemptError, AttemptFailure, Result};
pub use request::{AttemptRequest, AttemptSettings, AttemptTimeouts};
