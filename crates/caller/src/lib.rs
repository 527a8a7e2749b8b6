//! The interface towards callers: parsing of their calls and errors that are returned to them.
//!
//! The package parses the usual HTTP interface of language-model services into typed calls and
//! converts refusals into JSON errors that carry a [`Verdict`](oleander_base::Verdict). It opens
//! no socket; the entry VM's program mounts it. docs/INTERFACES.md lists paths, headers and
//! errors.

mod completion;
mod credential;
mod error;
mod header;

pub use completion::{CompletionCall, CompletionKind, ModelList};
pub use credential::{CallerIdentity, identify};
pub use error::{CallerError, ErrorCode};
pub use header::{
    CLASS_HEADER, EVENT_ID_HEADER, IDEMPOTENCY_HEADER, KEEP_HEADER, REQUEST_HEADER, RESUME_HEADER,
    TOKEN_HEADER, VERDICT_HEADER, header_text,
};
