//! Leases a slot for a send to a brittle backend server.
//!
//! Where the chosen backend server has no free slot, another one is chosen, a few times. Then the request
//! waits a while for a slot, and is refused if it gets none.

use oleander_balance::Choice;

use super::wait::WaitOutcome;
use super::{MIN_SEND_TIME, RequestRun};
use crate::prelude::*;
use crate::slots::{SlotLease, SlotOutcome, SlotWish, take_slot};

/// How many backend servers are asked for a free slot before the request waits for one.
const MAX_FULL_REPLIES: u32 = 4;

/// The longest wait for a slot; a shorter latency target makes it half of that, as the request would be late
/// anyway.
const MAX_SLOT_WAIT: Span = Span::from_millis(500);

/// The longest time for asking the owners of a backend server's slots, besides the wait.
pub(super) const MAX_ASK_TIME: Span = Span::from_millis(400);

/// The step that follows the choice of a backend server.
pub(super) enum SlotStep {
    /// The request is sent, with a lease if the backend server is brittle.
    Send(Option<SlotLease>),
    /// No slot is free there.
    Elsewhere,
    /// The request waited in vain.
    NoneInTime,
    CallerLeft,
}

impl RequestRun<'_> {
    /// Returns whether another backend server is asked for a free slot.
    pub(super) fn asks_further(&self) -> bool {
        self.full_replies < MAX_FULL_REPLIES
    }

    /// Leases a slot, if the chosen backend server is brittle.
    pub(super) async fn take_slot(&mut self, choice: &Choice) -> SlotStep {
        let is_brittle = self.core.with_backend(choice.key, |state| {
            state.rejection_limit.threshold().is_some()
        });
        if is_brittle != Some(true) {
            return SlotStep::Send(None);
        }
        let wish = SlotWish {
            key: choice.key,
            urgency: self.job.routed.urgency,
            wait: self.slot_wait(),
        };
        let limit = (wish.wait + MAX_ASK_TIME).min(self.time_left());
        match self.wait_or_stop(limit, take_slot(self.core, wish)).await {
            WaitOutcome::Completed(SlotOutcome::Leased(slot)) => SlotStep::Send(Some(slot)),
            WaitOutcome::CallerLeft => SlotStep::CallerLeft,
            _ if self.waits_for_slot => {
                self.admission_delay = self.core.first_opening(&self.job.routed.service);
                self.log_no_slot(self.full_replies, wish.wait);
                SlotStep::NoneInTime
            }
            _ => {
                self.full_replies += 1;
                SlotStep::Elsewhere
            }
        }
    }

    /// Returns how long the request may wait for a slot, or for memory, at the chosen backend server.
    pub(super) fn slot_wait(&self) -> Span {
        if !self.waits_for_slot {
            return Span::ZERO;
        }
        let target = Span(self.job.routed.route.latency_target.0 / 2);
        let left = self.time_left().saturating_sub(MIN_SEND_TIME);
        target.min(MAX_SLOT_WAIT).min(left)
    }
}
