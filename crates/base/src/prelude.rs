//! The types that most modules of every package use.

pub use crate::dispatch::Ticket;
pub use crate::entity::{
    AdapterId, BackendId, CentreId, ClassId, CustomerId, ModelId, PoolId, Revision, Tier,
};
pub use crate::hash::{FastMap, FastSet};
pub use crate::instance::InstanceId;
pub use crate::request::RequestId;
pub use crate::request_digest::RequestDigest;
pub use crate::time::{MonoTime, Span};
pub use crate::verdict::Verdict;
