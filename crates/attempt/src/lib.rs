//! One HTTP attempt whose verdict is known.
//!
//! The clients of engines and plain services send every request through this package. It makes
//! exactly one attempt: no retry, no redirect. When the attempt fails it says whether the request
//! may have run, judged by what had left this process:
//!
//! - Before the body is handed to the connection the request has not run, because its content
//!   never left. The connect phase, the wait for a pooled connection and a kept-alive connection
//!   that turns out to be closed all end here.
//! - After that it may have run, whatever the error says. The HTTP client reports the same error
//!   for a connection that closed before the send and for one that closed after it, so the error
//!   alone is not trusted.
//!
//! A request without a body leaves no such trace; only errors of the connect phase clear it.

mod body;
mod client;
mod error;
mod request;
mod tracked_body;

pub use body::AttemptBody;
pub use client::{AttemptClient, AttemptResponse};
pub use error::{AttemptError, AttemptFailure, Result};
pub use request::{AttemptRequest, AttemptSettings, AttemptTimeouts};
