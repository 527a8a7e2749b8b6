//! Notes what the end of an attempt says about its backend server, the request, and this gateway's links.

use oleander_balance::ReachFailure;
use oleander_base::monotonic_now;
use serde::Serialize;

use super::RequestRun;
use super::attempt::SendTarget;
use crate::exchange::Exchange;
use crate::prelude::*;

#[derive(Debug, Serialize)]
struct UnreachableFields<'a> {
    backend: &'a str,
    ejected: usize,
}

impl RequestRun<'_> {
    /// Notes that a backend server was not reached, which may be due to this gateway's own links.
    pub(super) fn record_out_of_reach(&self, target: &SendTarget, failure: ReachFailure) {
        // Requests that a stop ends say nothing of their backend servers.
        if let Some(key) = target.key.filter(|_| !self.core.shutdown.ends_requests()) {
            self.core.reach.on_failure(self.core, key, failure);
        }
    }

    pub(super) fn mark_unreachable(&self, target: &SendTarget) {
        let Some(key) = target.key else {
            return;
        };
        let now = monotonic_now();
        let settings = self.core.settings();
        self.with_target(target, |state| state.process.raise_doubt(now));
        let mut fleet = self.core.fleet.borrow_mut();
        let ejected = fleet.mark_unreachable(key, &settings.centre, now);
        drop(fleet);
        // A path that is cut may deliver bytes of an old connection after their caller has left. A new
        // connection shows that the path works before anything is sent.
        let mut pool = self.core.pool.borrow_mut();
        for key in &ejected {
            pool.discard(*key);
        }
        drop(pool);
        if ejected.len() > 1 {
            let fields = UnreachableFields {
                backend: &target.id,
                ejected: ejected.len(),
            };
            self.core.log.change("data-centre-suspected", fields);
        }
    }

    /// Notes that an attempt's answer began, which clears the parts of the prompt.
    pub(super) fn record_begun(&self) {
        let suspects = &self.suspects;
        let quarantine = &self.core.quarantine;
        quarantine.on_answer(self.core, suspects.service, suspects.parts());
    }

    /// Notes that an attempt's answer is complete, which clears the request.
    pub(super) fn record_complete(&self) {
        let suspects = &self.suspects;
        let quarantine = &self.core.quarantine;
        quarantine.on_answer(self.core, suspects.service, suspects.request());
    }

    /// Notes that an attempt broke off, as it does when the request crashes the backend server.
    pub(super) fn record_broken(&self, target: &SendTarget, has_begun: bool, sent_at: MonoTime) {
        let Some(key) = target.key else {
            return;
        };
        self.with_target(target, |state| state.process.on_break(monotonic_now()));
        let suspects = match has_begun {
            true => self.suspects.request(),
            false => self.suspects.all(),
        };
        let quarantine = &self.core.quarantine;
        quarantine.on_broken(self.core, key, suspects, sent_at);
    }

    /// Notes that bytes of an answer arrived, which may show that the backend server's process still runs.
    pub(super) fn record_bytes(&self, target: &SendTarget, answer: &Exchange) {
        self.with_target(target, |state| {
            state
                .process
                .on_bytes(answer.made_at(), answer.arrived_at());
        });
    }
}
