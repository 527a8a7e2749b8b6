//! Types shared by all oleanderplank packages.
//!
//! The package defines entity references, the [`Verdict`] type, monotonic time and the messages of
//! dispatch, and no behaviour beyond what keeps these types consistent. Every other package
//! depends on it and it depends on none of them. docs/DESIGN.md describes how the packages fit
//! together.

mod clock;
mod dispatch;
mod entity;
mod hash;
mod instance;
mod report;
mod request;
mod request_digest;
mod time;
mod verdict;

pub mod prelude;

pub use clock::{monotonic_now, process_origin};
pub use dispatch::{
    EndKind, GrantNotice, HeldGrant, PoolHolding, PrefixHash, ProgressNotice, ReleaseNotice,
    ShedNotice, ShedReason, Ticket, WithdrawNotice,
};
pub use entity::{
    AdapterId, BackendId, CentreId, ClassId, CustomerId, ModelId, PoolId, Revision, StopId, Tier,
};
pub use hash::{FastMap, FastSet};
pub use instance::{InstanceId, ParseInstanceError};
pub use report::{CacheEvent, EngineRole, LoadReport, LoadedModel};
pub use request::{ParseRequestError, RequestId};
pub use request_digest::{RequestContent, RequestDigest};
pub use time::{MonoTime, Span};
pub use verdict::Verdict;
