//! Requests that are sent to find out whether a quarantined suspect crashes backend servers.
//!
//! All gateways together send one at a time. A gateway that has such a request claims the probe, waits until
//! the claims of others must have arrived, and sends the request if it still holds the claim.

use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::suspect_crashes::PeerTime;

/// How long a gateway waits with its claim before it sends: longer than a datagram takes to any other one.
pub const CLAIM_WAIT: Span = Span::from_millis(300);

/// How long a claim keeps other probes from being sent: longer than a probe takes to show a result.
const CLAIM_TIME: Span = Span::from_secs(2);

/// The number of crashes after which all gateways together may send no more than three further requests with a
/// suspect.
const KNOWN_CRASHES: usize = 5;

/// The times from the last crash to the probes of a disputed suspect, by the number of probes that crashed since
/// [`KNOWN_CRASHES`]. Once these are used up, the length of its quarantine applies.
const EARLY_DELAYS: [Span; 2] = [Span::from_secs(1), Span::from_secs(4)];

/// A claim as one gateway tells it another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The hash of the claiming gateway's name.
    pub gateway: u64,
    /// Its age in milliseconds.
    pub age_ms: u32,
}

/// The right of one gateway to send the next probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProbeClaim {
    pub(crate) gateway: u64,
    pub(crate) at: PeerTime,
}

/// The probes of one quarantined suspect.
#[derive(Debug, Default)]
pub(crate) struct SuspectProbes {
    claim: Option<ProbeClaim>,
    /// When this gateway last claimed a probe whose result it does not know yet. An echo of the claim may come
    /// back and seem to be younger than the probe.
    claimed_here: Option<PeerTime>,
    /// The number of probes that crashed a backend server since [`KNOWN_CRASHES`].
    pub(crate) crashed: u8,
}

impl SuspectProbes {
    /// Claims the next probe for this gateway, unless another one holds it.
    pub(crate) fn claim(&mut self, gateway: u64, now: MonoTime) {
        let at = PeerTime::here(now);
        if self.merge_claim(ProbeClaim { gateway, at }, now) {
            self.claimed_here = Some(at);
        }
    }

    /// Takes the claim over, unless a gateway with a smaller hash holds one; returns whether that is new.
    ///
    /// The order of the hashes decides between claims that cross, the same at each gateway.
    pub(crate) fn merge_claim(&mut self, claim: ProbeClaim, now: MonoTime) -> bool {
        if claim.at.age(now) >= CLAIM_TIME {
            return false;
        }
        let held = self.held(now);
        if held.is_some_and(|held| held.gateway <= claim.gateway) {
            return false;
        }
        self.claim = Some(claim);
        true
    }

    /// Takes over the number of probes that crashed, as another gateway knows it; returns whether that is new.
    pub(crate) fn merge_crashed(&mut self, crashed: u8) -> bool {
        let is_new = crashed > self.crashed;
        self.crashed = self.crashed.max(crashed);
        is_new
    }

    /// Returns whether a gateway still holds the claim.
    pub(crate) fn is_held_by(&self, gateway: u64, now: MonoTime) -> bool {
        self.held(now).is_some_and(|held| held.gateway == gateway)
    }

    /// Returns how long the claim keeps other probes from being sent yet.
    pub(crate) fn time_left(&self, now: MonoTime) -> Span {
        let held = self.held(now);
        held.map_or(Span::ZERO, |held| {
            CLAIM_TIME.saturating_sub(held.at.age(now))
        })
    }

    /// Notes a crash of a backend server that had the suspect, after this number of earlier ones.
    pub(crate) fn on_crash(&mut self, gateway: u64, sent_at: PeerTime, earlier: usize) {
        let is_probe = self.claimed_here.is_some_and(|claimed| sent_at >= claimed);
        if !is_probe {
            return;
        }
        if earlier >= KNOWN_CRASHES {
            self.crashed = self.crashed.saturating_add(1);
        }
        self.claimed_here = None;
        self.claim = self.claim.filter(|claim| claim.gateway != gateway);
    }

    /// Returns how long after the last crash a disputed suspect is probed.
    pub(crate) fn early_delay(&self) -> Option<Span> {
        EARLY_DELAYS.get(usize::from(self.crashed)).copied()
    }

    /// Returns the claim that keeps other probes from being sent.
    pub(crate) fn held(&self, now: MonoTime) -> Option<ProbeClaim> {
        self.claim.filter(|claim| claim.at.age(now) < CLAIM_TIME)
    }
}
