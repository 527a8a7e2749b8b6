//! The decisions of an entry VM and of a pool's dispatcher, as pure code.
//!
//! The package has no clock, no socket and no random source. Its heart is [`PoolPolicy`]: the
//! dispatcher of a pool holds one policy, feeds it tickets, releases, load reports and records,
//! and sends the [`Decision`]s that come out to the entry VMs. [`TieredPool`] is the policy of the
//! product; [`FifoPool`] gives the baselines that experiments compare it with.
//!
//! What an entry VM decides alone stands beside it: which instance is a pool's dispatcher
//! ([`choose_dispatcher`]).

mod backend_set;
mod backend_state;
mod baseline;
mod config;
mod dispatch;
mod grant_table;
mod health;
mod length;
mod meter;
mod other_load;
mod policy;
mod pool_queue;
mod prefix_index;
mod queue_time;
mod rendezvous;
mod share_ledger;
mod shed;
mod slot_limit;
mod speed;
mod summary;
mod tier_queue;
mod tiered;
mod verify;
mod views;

pub use baseline::{FifoOrder, FifoPool};
pub use config::{PoolConfig, PoolKind};
pub use length::LengthEstimator;
pub use policy::{Decision, DecisionNotice, ParsePolicyError, PolicyKind, PoolPolicy, open};
pub use rendezvous::{DispatcherCandidate, choose_dispatcher};
pub use summary::{BackendSummary, ClassSummary, PoolSummary, TierSummary};
pub use tiered::TieredPool;
pub use verify::VerifyError;
pub use views::{BackendView, ClassView, CustomerView, HeldGrant, ProgressNotice};
