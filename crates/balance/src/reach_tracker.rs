//! Whether this gateway reaches backend servers at all.
//!
//! A gateway that has lost its own links sees the same as if all backend servers had failed. A connection
//! that fails, or silence of several backend servers, therefore raises a doubt about the gateway itself,
//! which probes of others settle: one new connection shows that it reaches them, and if none can be made
//! it is cut off. What it sees while in doubt says nothing about backend servers yet.
//!
//! A gateway whose own link is full, or that gets too little processor time, makes no connection in time either.
//! It makes none to other gateways at that moment, which one that is cut off from backend servers does. It
//! is not cut off, and relaying its requests through that link would only fill it further.

use oleander_base::prelude::*;

use crate::BackendKey;

/// The time within which failures count together.
const FAILURE_WINDOW: Span = Span::from_millis(1_500);

/// The number of backend servers whose silence raises a doubt, if there are as many.
const DOUBTFUL_SILENCES: usize = 2;

/// How a send failed to reach a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachFailure {
    /// No connection could be made, or it broke.
    Connection,
    /// Nothing came on an open connection.
    Silence,
}

#[derive(Debug, Clone, Copy)]
struct DatedFailure {
    key: BackendKey,
    failure: ReachFailure,
    at: MonoTime,
}

/// The result of a round of probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeRound {
    /// Whether a connection to a backend server was made in time.
    pub reached_backend: bool,
    /// Whether one to another gateway was made in the same time; absent if there is no other gateway.
    pub reached_gateway: Option<bool>,
}

/// The evidence on whether backend servers are in reach.
#[derive(Debug, Default)]
pub struct ReachTracker {
    /// The last failure at each backend server since a connection was last made.
    failures: Vec<DatedFailure>,
    cut_since: Option<MonoTime>,
}

impl ReachTracker {
    /// Records that a send to one of `backends` backend servers failed; returns whether that raises a
    /// doubt.
    pub fn on_failure(
        &mut self,
        key: BackendKey,
        failure: ReachFailure,
        backends: usize,
        now: MonoTime,
    ) -> bool {
        let was_doubtful = self.is_doubtful(backends, now);
        self.failures
            .retain(|known| known.key != key && now.since(known.at) < FAILURE_WINDOW);
        self.failures.push(DatedFailure {
            key,
            failure,
            at: now,
        });
        !was_doubtful && self.is_doubtful(backends, now)
    }

    /// Records that a new connection was made; returns how long the gateway was cut off, if it was.
    pub fn on_connected(&mut self, now: MonoTime) -> Option<Span> {
        self.failures.clear();
        let since = self.cut_since.take()?;
        Some(now.since(since))
    }

    /// Records a round of probes; returns whether that shows that the gateway is cut off, which was not known.
    pub fn on_probes(&mut self, round: ProbeRound, now: MonoTime) -> bool {
        let is_own_link = round.reached_gateway == Some(false);
        if round.reached_backend || is_own_link || self.is_cut_off() {
            return false;
        }
        self.cut_since = Some(now);
        true
    }

    /// Returns whether what this gateway sees of backend servers may be due to its own links.
    pub fn is_doubtful(&self, backends: usize, now: MonoTime) -> bool {
        let is_recent = |known: &&DatedFailure| now.since(known.at) < FAILURE_WINDOW;
        let recent = || self.failures.iter().filter(is_recent);
        self.is_cut_off()
            || recent().any(|known| known.failure == ReachFailure::Connection)
            || recent().count() >= DOUBTFUL_SILENCES.min(backends.max(1))
    }

    /// Returns whether the gateway is cut off from all backend servers.
    pub fn is_cut_off(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns whether a backend server has failed lately.
    pub fn has_failed(&self, key: BackendKey) -> bool {
        self.failures.iter().any(|failure| failure.key == key)
    }
}
