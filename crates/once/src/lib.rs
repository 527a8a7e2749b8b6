//! At-most-once execution of non-idempotent requests under crashes, pauses, repeats and outages.
//!
//! The request path asks one [`OnceGuard`] before it runs a non-idempotent request, and runs the
//! request only under the [`RunPermit`] that the guard returns. The guard has two mechanisms:
//!
//! - A [`BoundToken`] is bound to the instance that issued it. The [`TokenLedger`] in that
//!   instance's memory decides, so the mechanism needs no store and holds under every partition.
//! - A caller's Idempotency-Key is claimed by compare-and-swap in the platform's key-value store
//!   ([`ClaimTable`]) before the send. Ownership and its use are recorded separately:
//!   [`ShardWriter`] writes the log of which request owns a key, and [`ClaimRecords`] tracks in
//!   the owner's memory what became of the request.
//!
//! A claim never passes to another owner. All decisions are made by pure state machines; only
//! [`ClaimHandle`] and [`RequestGuard`] do I/O. docs/AT-MOST-ONCE.md describes the alternatives,
//! the guarantees and the limits.

mod answer;
mod attempt;
mod deadline;
mod guard;
mod handle;
mod hash;
mod health;
mod ledger;
mod once;
#[cfg(feature = "open-guard")]
mod open;
mod outcome;
mod parts;
mod permit;
mod repeat;
mod route;
mod segment;
mod settings;
mod shard;
mod shard_handle;
mod stats;
mod status;
mod step;
mod table;
mod token;
mod writer;

pub use answer::{KeptAnswer, KeptResult, ResultCache};
pub use attempt::{AlreadySent, Attempt, AttemptId, AttemptLog, RepeatRule};
pub use deadline::{MonoClock, PauseDetector, ProcessClock, SendDeadline, StaleSend};
pub use guard::{
    Admission, IssueError, OnceCall, OnceGuard, Refusal, RefuseReason, RepeatAnswer, RequestStatus,
    VerdictScope,
};
pub use handle::{ClaimAnswer, ClaimHandle, ClaimTable, KeyClaim};
pub use hash::{BodyHash, KeyHash};
pub use ledger::{LedgerFull, LedgerLimits, TokenDecision, TokenLedger};
pub use once::RequestGuard;
#[cfg(feature = "open-guard")]
pub use open::OpenGuard;
pub use outcome::{ClaimDecision, ClaimOutcome, TableLimits};
pub use parts::{GuardParts, GuardSettings};
pub use permit::{PermitBasis, PermitEnd, PermitSink, PermitTerms, RunPermit, SendRefused};
pub use route::{
    ClaimEntry, ClaimReply, ClaimRoute, CommitLocation, NotWritten, RouteError, ShardId,
    StandaloneRoute,
};
pub use segment::{Segment, SegmentError};
pub use settings::ClaimSettings;
pub use stats::{ClaimStats, GuardStats};
pub use status::{KnownStatus, StatusTable};
pub use step::{ListedArchive, LogError, StoreStep, WriterLimits};
pub use table::ClaimRecords;
pub use token::{BoundToken, ShortSecret, TokenError, TokenIssuer, TokenKey};
pub use writer::ShardWriter;
