//! A client of model engines.
//!
//! [`EngineClient`] starts one answer per call and yields its events as they arrive. It never
//! retries a call, and each error states whether the request may have run
//! ([`EngineError::verdict`]). Dropping an [`EngineStream`] closes its connection, which cancels
//! the engine's work. A stream that ends without the engine's end mark is an error, so that a
//! truncated answer is never taken for a complete one.
//!
//! [`ReportPoller`] reads load reports and prefix-cache events of a set of engines.

mod call;
mod client;
mod error;
mod event;
mod order;
mod poller;
mod stream;

pub use call::{EngineCall, EnginePath, ResumePoint};
pub use client::{ClientSettings, EngineClient};
pub use error::{EngineError, EngineFailure, Result};
pub use event::{EngineEvent, EventParser, FinishReason, RawEvent};
pub use oleander_attempt::AttemptTimeouts;
pub use order::{EngineOrder, OrderAnswer};
pub use poller::{CacheUpdate, EngineUpdate, PollTarget, PollerSettings, ReportPoller};
pub use stream::EngineStream;
