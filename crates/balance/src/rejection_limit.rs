//! The rejections that a brittle backend server survives, divided between all gateways.
//!
//! A brittle backend server says how many requests it can turn away in a second; with more it falls over.
//! Each gateway has a quota of requests there that are not known to be admitted, and the quotas add up to
//! what the backend server survives. Free slots that a recent report shows add to that, divided between the
//! gateways. After any rejection, one that another gateway tells of included, nothing is sent for a while
//! (docs/PLATFORM.md, "Brittle backend servers").

use oleander_base::prelude::*;

use crate::GatewayRank;

/// How long nothing is sent after a rejection: longer than the second in which rejections count together, by
/// what news of one takes to reach the other gateways.
const REJECTION_HOLD: Span = Span::from_millis(1_200);

/// The time within which rejections count as the same news.
const SAME_NEWS: Span = Span::from_millis(100);

/// How soon a quota that is in use may be free again.
const QUOTA_WAIT: Span = Span::from_millis(200);

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

/// Why a request is sent to a backend server that might turn it away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendGrounds {
    /// The backend server is not known to be brittle.
    NotBrittle,
    /// The request is within this gateway's quota.
    Quota,
    /// A report shows free slots.
    FreeSlots,
}

impl SendGrounds {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotBrittle => "not-brittle",
            Self::Quota => "quota",
            Self::FreeSlots => "free-slots",
        }
    }
}

/// What this gateway believed of a backend server when it sent a request there.
#[derive(Debug, Clone, Copy)]
pub struct RoomBelief {
    /// Why it sent the request.
    pub grounds: SendGrounds,
    /// The rejections in a second that the backend server survives, if it is brittle.
    pub threshold: Option<u32>,
    /// The requests of this gateway there that were not known to be admitted.
    pub pending: u32,
    /// The free slots that a recent report showed.
    pub free_slots: u32,
    /// The age of the last load report.
    pub report_age: Option<Span>,
    /// The time since the last rejection that was known.
    pub since_rejection: Option<Span>,
}

/// The rejections of one backend server as known here, and this gateway's quota.
#[derive(Debug, Default)]
pub struct RejectionLimit {
    /// The rejections in a second that it survives, if it is brittle.
    threshold: Option<u32>,
    /// When the answer came that says so.
    named_at: MonoTime,
    /// When it last turned a request away, here or at another gateway.
    rejected_at: Option<MonoTime>,
    /// The requests of this gateway there that may be without a known admission.
    quota: u32,
    /// The number of gateways that divide it; 0 until it is divided.
    gateways: u32,
}

impl RejectionLimit {
    /// Takes over what an answer said at this time; returns whether that is a change. An older answer
    /// changes nothing.
    pub fn name(&mut self, brittleness: Brittleness, at: MonoTime) -> bool {
        let threshold = match brittleness {
            Brittleness::Unknown => return false,
            Brittleness::Sturdy => None,
            Brittleness::Brittle(threshold) => Some(threshold),
        };
        if at < self.named_at {
            return false;
        }
        self.named_at = at;
        std::mem::replace(&mut self.threshold, threshold) != threshold
    }

    /// Records that a request was turned away; returns whether that is news.
    pub fn record_rejection(&mut self, at: MonoTime) -> bool {
        let is_news = self.rejected_at.is_none_or(|known| known + SAME_NEWS < at);
        self.rejected_at = self.rejected_at.max(Some(at));
        is_news
    }

    /// Returns the rejections in a second that it survives, if it is brittle.
    pub fn threshold(&self) -> Option<u32> {
        self.threshold
    }

    /// Returns when the last answer came that said whether it is brittle.
    pub fn named_at(&self) -> MonoTime {
        self.named_at
    }

    /// Returns when it last turned a request away.
    pub fn rejected_at(&self) -> Option<MonoTime> {
        self.rejected_at
    }

    /// Divides the rejections between the gateways. The first one has a quota in any case, because only
    /// an answer shows that there is room again.
    pub fn divide(&mut self, place: GatewayRank) {
        let threshold = self.threshold.unwrap_or(0) as usize;
        let share =
            threshold / place.gateways + usize::from(place.rank < threshold % place.gateways);
        let least = usize::from(place.rank == 0);
        self.quota = u32::try_from(share.max(least)).unwrap_or(u32::MAX);
        self.gateways = u32::try_from(place.gateways).unwrap_or(u32::MAX);
    }

    /// Returns whether another request may be sent, given those of this gateway that are not known to be
    /// admitted and the free slots that a recent report shows.
    pub fn admits(&self, pending: u32, free_slots: u32, now: MonoTime) -> bool {
        self.threshold.is_none()
            || (self.hold_end(now).is_none() && pending < self.allowance(free_slots))
    }

    /// Returns how many requests of this gateway may be there without a known admission: with a free slot
    /// one in any case.
    fn allowance(&self, free_slots: u32) -> u32 {
        let least = u32::from(free_slots > 0);
        self.quota.max(least) + free_slots / self.gateways.max(1)
    }

    /// Returns why another request may be sent.
    pub fn grounds(&self, pending: u32) -> SendGrounds {
        match self.threshold {
            None => SendGrounds::NotBrittle,
            Some(_) if pending < self.quota => SendGrounds::Quota,
            Some(_) => SendGrounds::FreeSlots,
        }
    }

    /// Returns when another request may be sent, if that is not now.
    pub fn opens_at(&self, pending: u32, free_slots: u32, now: MonoTime) -> Option<MonoTime> {
        if self.admits(pending, free_slots, now) {
            return None;
        }
        Some(self.hold_end(now).unwrap_or(now + QUOTA_WAIT))
    }

    fn hold_end(&self, now: MonoTime) -> Option<MonoTime> {
        let end = self.rejected_at? + REJECTION_HOLD;
        (now < end).then_some(end)
    }
}
