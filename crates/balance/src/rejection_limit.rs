//! The rejections that a brittle backend server survives, and what this gateway knows of its room.
//!
//! A brittle backend server says how many requests it can turn away in a second; with more it falls over.
//! Only a request with a lease on one of its slots is sent there (`slot_ledger.rs`). All backend servers of a
//! service become brittle together, and one that fell over is back as another process. So one that has said
//! nothing itself yet counts as brittle while others of its service are (docs/PLATFORM.md, "Brittle backend
//! servers").

use oleander_base::prelude::*;

use crate::slot_ledger::OwnerRole;

/// The time within which rejections count as the same news.
const SAME_NEWS: Span = Span::from_millis(100);

/// The rejections that a backend server survives, by its own answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Brittleness {
    /// Nothing, because the answer is not the backend server's own or cannot be read.
    #[default]
    Unknown,
    /// Any number.
    Sturdy,
    /// So many in a second from all gateways together.
    Brittle(u32),
}

impl Brittleness {
    /// Returns the rejections in a second that it survives, if it is brittle.
    pub(crate) fn threshold(self) -> Option<u32> {
        match self {
            Self::Brittle(threshold) => Some(threshold),
            Self::Unknown | Self::Sturdy => None,
        }
    }
}

/// Why a request was sent to a backend server that might turn it away.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SendGrounds {
    /// The backend server is not known to be brittle.
    #[default]
    NotBrittle,
    /// The first owner of its slots leased one.
    Lease,
    /// The standby owner leased one.
    StandbyLease,
}

impl SendGrounds {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotBrittle => "not-brittle",
            Self::Lease => "lease",
            Self::StandbyLease => "standby-lease",
        }
    }
}

impl From<OwnerRole> for SendGrounds {
    fn from(role: OwnerRole) -> Self {
        match role {
            OwnerRole::First => Self::Lease,
            OwnerRole::Standby => Self::StandbyLease,
        }
    }
}

/// The belief about a backend server's room with which a request was sent there.
#[derive(Debug, Clone, Copy)]
pub struct RoomBelief {
    /// The rejections in a second that the backend server survives, if it is brittle.
    pub threshold: Option<u32>,
    /// The requests of this gateway there that were not known to be admitted.
    pub pending: u32,
    /// The age of the last load report.
    pub report_age: Option<Span>,
    /// The time since the last rejection that was known.
    pub since_rejection: Option<Span>,
}

/// The rejections of one backend server as known here.
#[derive(Debug, Default)]
pub struct RejectionLimit {
    /// Its own last word.
    own: Brittleness,
    /// When the answer came that says so.
    named_at: MonoTime,
    /// The rejections that others of its service survive, which count until it has said something itself.
    service_threshold: Option<u32>,
    /// When it last turned a request away, here or at another gateway.
    rejected_at: Option<MonoTime>,
    /// Until when no slot is free, by the owner of its slots.
    full_until: Option<MonoTime>,
}

impl RejectionLimit {
    /// Takes over what an answer said at this time; returns whether that is a change. An older answer
    /// changes nothing.
    pub fn name(&mut self, brittleness: Brittleness, at: MonoTime) -> bool {
        if brittleness == Brittleness::Unknown || at < self.named_at {
            return false;
        }
        let known = self.threshold();
        self.own = brittleness;
        self.named_at = at;
        self.threshold() != known
    }

    /// Takes over what other backend servers of its service survive.
    pub fn inherit(&mut self, threshold: Option<u32>) {
        self.service_threshold = threshold;
    }

    /// Records that a request was turned away; returns whether that is news.
    pub fn record_rejection(&mut self, at: MonoTime) -> bool {
        let is_news = self.rejected_at.is_none_or(|known| known + SAME_NEWS < at);
        self.rejected_at = self.rejected_at.max(Some(at));
        is_news
    }

    /// Returns the rejections in a second that it survives, if it is brittle.
    pub fn threshold(&self) -> Option<u32> {
        match self.own {
            Brittleness::Unknown => self.service_threshold,
            own => own.threshold(),
        }
    }

    /// Returns the rejections that it said itself it survives.
    pub fn own_threshold(&self) -> Option<u32> {
        self.own.threshold()
    }

    /// Returns when the last answer came that said whether it is brittle.
    pub fn named_at(&self) -> MonoTime {
        self.named_at
    }

    /// Returns when it last turned a request away.
    pub fn rejected_at(&self) -> Option<MonoTime> {
        self.rejected_at
    }

    /// Records that no slot is free for a while.
    pub fn mark_full(&mut self, until: MonoTime) {
        self.full_until = Some(until);
    }

    /// Returns until when no slot is free, if it is brittle.
    pub fn full_until(&self, now: MonoTime) -> Option<MonoTime> {
        self.threshold()?;
        self.full_until.filter(|until| now < *until)
    }
}
