//! The duties towards the provider, which one gateway does at a time (docs/design/duties.md).
//!
//! [`DutyLease`] says whether this gateway holds them, and [`provider::ProviderClient`] makes calls only
//! while it does. The usage of customers is counted by all gateways, collected by the holder and reported once.

pub(crate) mod lease;
mod lease_task;
pub(crate) mod provider;
mod scaling;
mod scaling_view;
mod token;
mod usage_collect;
mod usage_count;
mod usage_exchange;
mod usage_intents;
mod usage_report;

use std::cell::Cell;

use oleander_platform::boot_time;

use self::lease::DutyLease;
use self::provider::ProviderPace;
use self::usage_count::UsageCounter;
use crate::prelude::*;

pub use self::token::FencingToken;

pub(crate) use self::lease_task::run_duty_lease;
pub(crate) use self::scaling::run_scaling;
pub(crate) use self::usage_exchange::{
    USAGE_PATH, UsageQuery, apply_batch, encode_usage, run_usage_exchange, send_last_counts,
};
pub(crate) use self::usage_report::run_usage_reports;

/// What operators see of the duties at this gateway.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DutyStatus {
    /// Whether this gateway holds the duties.
    pub(crate) is_holder: bool,
    /// How long it has held them.
    pub(crate) held_for: Option<Span>,
    /// The requests of this gateway that were too many to keep, and those of others whose counts did not arrive here.
    pub(crate) not_delivered: u64,
}

/// The state of the duties at this gateway.
#[derive(Debug)]
pub(crate) struct DutyState {
    pub(crate) lease: DutyLease,
    pub(crate) pace: ProviderPace,
    pub(crate) usage: UsageCounter,
    /// Whether no other gateway answered when this one last collected counts.
    was_alone: Cell<bool>,
}

impl DutyState {
    /// Creates the state of a gateway that holds no duty; `incarnation` is a random number of the process.
    pub(crate) fn open(incarnation: u64) -> Self {
        Self {
            lease: DutyLease::default(),
            pace: ProviderPace::default(),
            usage: UsageCounter::open(incarnation),
            was_alone: Cell::new(false),
        }
    }

    /// Returns what operators see.
    pub(crate) fn status(&self) -> DutyStatus {
        let held = self.lease.held();
        DutyStatus {
            is_holder: held.is_some(),
            held_for: held.map(|held| boot_time().since(held.since)),
            not_delivered: self.usage.not_delivered(),
        }
    }
}
