//! The decisions of a gateway: which backend server gets a request, whether it is admitted, and
//! whether it may be retried, which software version a stream may go on at, and how many backend
//! servers there should be.
//!
//! The package does no I/O and reads no clock: the driver passes in the time and random numbers, so
//! that each decision can be tested without a socket (docs/PLATFORM.md, "Choosing").

use std::fmt;

use serde::{Deserialize, Serialize};

mod admission;
mod answer_size;
mod answered_parts;
mod backend_state;
mod cached_parts;
mod choice;
mod client_ledger;
mod cost;
mod crash_attribution;
mod crash_log;
mod crash_suspects;
mod deadline;
mod duty_candidates;
mod fact_tree;
mod fleet_table;
mod home;
mod latency;
mod median_clock;
mod memory_guard;
mod memory_ledger;
mod memory_need;
mod outlook;
mod pace;
mod process_doubt;
mod process_identity;
mod rate_limit;
mod reach_probes;
mod reach_tracker;
mod read_ahead;
mod read_meter;
mod refusal_record;
mod rejection_limit;
mod relay_outcome;
mod reserve;
mod retry_window;
mod scale_demand;
mod scale_orders;
mod scale_planner;
mod scale_size;
mod scale_subject;
mod scale_view;
mod service_pace;
mod service_traffic;
mod slot_ledger;
mod slot_owner;
mod stream_origin;
mod suspect_crashes;
mod suspect_id;
mod suspect_news;
mod suspect_probe;
mod transfer_pace;
mod unregistered;
mod usage_log;
mod usage_merge;
mod usage_schedule;
mod version_record;
mod wait_error;

pub use admission::{Admission, AdmissionQuery, admit};
pub use answer_size::{AnswerClaim, AnswerSize, AnswerSizes};
pub use backend_state::{BackendState, InFlightSend, LoadReport, REPORT_TTL};
pub use cached_parts::CachedParts;
pub use choice::{Choice, ChoiceInput, IdleConnections, choose_backend};
pub use client_ledger::{
    ClientId, ClientLedger, ClientLimits, ClientPhase, ClientVictim, FRESH_TIME, PlaceGrant,
    QUIET_BYTES, RoomGrant,
};
pub use cost::PrefillTokens;
pub use crash_suspects::{
    BackendCrash, CrashRecord, Quarantine, QuarantineChange, SuspectRecord, SuspectTable,
    SuspectVerdict,
};
pub use deadline::{DeadlineQuery, DeadlineRefusal, admit_by_deadline};
pub use duty_candidates::next_duty_check;
pub use fact_tree::{TREE_CHILDREN, TreeMember, fact_sources, passing_capacity};
pub use fleet_table::{
    BackendEntry, BackendKey, BackendPhase, EntryChange, FleetMember, FleetTable,
};
pub use home::HomeSet;
pub use latency::{LatencyModel, StreamSample};
pub use median_clock::{MedianClock, TrueTime};
pub use memory_guard::{FillView, GuardSpan, MemoryGuard, OthersCount, ReportedOthers};
pub use memory_ledger::{MemoryAsk, MemoryLedger, MemoryTerms};
pub use memory_need::{HeldCount, NeedModel, NeedQuery};
pub use outlook::PacedOutlook;
pub use pace::{BackendPace, WorkReport};
pub use process_identity::{ProcessIdentity, ProcessLink, ProcessProof};
pub use rate_limit::{GatewayRank, NamedRate, RateLimit};
pub use reach_probes::{ProbeCandidate, pick_probes};
pub use reach_tracker::{ProbeRound, ReachFailure, ReachTracker};
pub use read_ahead::{HeldStream, first_given_up};
pub use read_meter::ReadMeter;
pub use refusal_record::RefusalRecord;
pub use rejection_limit::{Brittleness, RejectionLimit, RoomBelief, SendGrounds};
pub use relay_outcome::{RelayEvidence, RelayOutcome, promises_not_run};
pub use retry_window::{RetryLimits, RetryWindow};
pub use scale_demand::{DemandOutlook, DemandTracker};
pub use scale_planner::{
    CentrePlan, ScaleInput, ScaleOrder, ScalePlan, ScalePlanner, ScaleReason, ServerKind,
};
pub use scale_size::{
    CentreBounds, CentreSize, FleetNeed, OwnNeed, ScaleTerms, serve_fill, size_centres,
};
pub use scale_subject::OrderOutcome;
pub use scale_view::{CentreView, KindCount, ServiceView, view_service};
pub use service_pace::{PaceTerms, PacedRequest, ServicePace, ShortDemand};
pub use service_traffic::{RequestTraits, ServiceTraffic};
pub use slot_ledger::{LeaseAsk, LeaseEnd, LeaseId, LeaseReply, OwnerRole, SlotLedger, SlotTerms};
pub use slot_owner::{OwnerCandidate, slot_owners};
pub use stream_origin::{
    ORIGIN_RETENTION, OriginTable, StreamId, StreamOrigin, VersionHistory, VersionId, VersionSpan,
    sole_version,
};
pub use suspect_id::{ServiceId, SuspectId, SuspectSet};
pub use suspect_news::SuspectNews;
pub use suspect_probe::{CLAIM_WAIT, ClaimRecord};
pub use transfer_pace::TransferPace;
pub use unregistered::UnregisteredProcesses;
pub use usage_log::{UsageCounts, UsageEvent, UsageLog};
pub use usage_merge::UsageCollection;
pub use usage_schedule::{CarriedWindows, UsageSchedule, WindowStep, WindowTerms};
pub use version_record::VersionRecord;
pub use wait_error::WaitError;

/// The reference of a shared prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// One part of a prompt; a model engine reads the parts in order.
#[derive(Debug, Clone, Copy)]
pub struct PromptPart {
    /// The reference of the part.
    pub id: PartId,
    /// Its size in tokens.
    pub tokens: u32,
}
