//! The decisions of an entry VM and of a pool's dispatcher, as pure code.
//!
//! The crate uses no clock, no socket and no random source. Its main interface is [`PoolPolicy`]:
//! the dispatcher of a pool owns one policy, passes it tickets, releases, load reports and records,
//! and sends the resulting [`Decision`]s to the entry VMs. [`TieredPool`] is the default policy;
//! [`FifoPool`] provides the baselines that experiments compare it with.
//!
//! The other modules contain what an entry VM decides by itself: which instance is a pool's
//! dispatcher ([`choose_dispatcher`]), whether to retry or hedge ([`RetryBudget`],
//! [`HedgePolicy`]), whether a customer is within its limits ([`RateLimiter`], [`split_rate`]), and
//! whether a ticket goes to another data centre ([`SpillPolicy`]).

mod backend_set;
mod backend_state;
mod baseline;
mod config;
mod dispatch;
mod feedback;
mod fleet_share;
mod grant_table;
mod health;
mod hedge;
mod inspect;
mod length;
mod meter;
mod other_load;
mod policy;
mod pool_queue;
mod prefix_index;
mod queue_time;
mod rate_limiter;
mod rendezvous;
mod retry_budget;
mod share_ledger;
mod shed;
mod slot_limit;
mod slot_reserve;
mod speed;
mod spill;
mod summary;
mod tier_queue;
mod tiered;
mod verify;
mod views;

pub use baseline::{FifoOrder, FifoPool};
pub use config::{PoolConfig, PoolKind};
pub use fleet_share::{InstanceDemand, InstanceShare, split_rate, split_slots};
pub use health::{BackendHealth, FailureEffect};
pub use hedge::{HedgeConfig, HedgePolicy, HedgeQuery};
pub use length::LengthEstimator;
pub use policy::{
    Decision, DecisionNotice, DeferredText, ParsePolicyError, PolicyKind, PoolPolicy, open,
};
pub use rate_limiter::{CustomerAllotment, CustomerDemand, LimitError, RateLimiter};
pub use rendezvous::{DispatcherCandidate, choose_dispatcher, splitmix64};
pub use retry_budget::{RetryBudget, RetryConfig};
pub use spill::{LocalLoad, SpillConfig, SpillOption, SpillPolicy, spill_target};
pub use summary::{BackendSummary, ClassSummary, PoolSummary, TierSummary};
pub use tiered::TieredPool;
pub use verify::VerifyError;
pub use views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};
