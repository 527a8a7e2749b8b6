//! The index of backend servers that probably hold a prompt's prefix.
//!
//! An entry comes from a grant, after which the backend server computes the prefix, or from a cache
//! event. Events are delayed and may be lost, so an entry is only a hint: it expires, the number of
//! entries per backend server is bounded, and the choice of a backend server limits the influence
//! of a hint by load.

use std::collections::VecDeque;

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, PrefixHash};

/// How long a hint is valid unless it is renewed.
const HINT_SPAN: Span = Span::from_secs(120);

/// The most hints per backend server.
const HINT_BOUND: usize = 2_048;

#[derive(Debug, Default)]
struct BackendHints {
    seen: FastMap<PrefixHash, MonoTime>,
    order: VecDeque<(PrefixHash, MonoTime)>,
}

impl BackendHints {
    fn store(&mut self, prefix: PrefixHash, now: MonoTime) {
        self.seen.insert(prefix, now);
        self.order.push_back((prefix, now));
        while self.order.len() > HINT_BOUND {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((prefix, at)) = self.order.pop_front() else {
            return;
        };
        if self.seen.get(&prefix) == Some(&at) {
            self.seen.remove(&prefix);
        }
    }
}

/// The prefix hints of one pool.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    backends: FastMap<BackendId, BackendHints>,
}

impl PrefixIndex {
    /// Records that a backend server holds a prefix, or soon will.
    pub(crate) fn store(&mut self, backend: BackendId, prefix: PrefixHash, now: MonoTime) {
        self.backends.entry(backend).or_default().store(prefix, now);
    }

    /// Applies a cache event.
    pub(crate) fn event(&mut self, backend: BackendId, event: CacheEvent, now: MonoTime) {
        match event {
            CacheEvent::Stored(prefix) => self.store(backend, prefix, now),
            CacheEvent::Removed(prefix) => {
                if let Some(hints) = self.backends.get_mut(&backend) {
                    hints.seen.remove(&prefix);
                }
            }
            CacheEvent::Cleared => self.forget(backend),
        }
    }

    /// Drops all hints of a backend server.
    pub(crate) fn forget(&mut self, backend: BackendId) {
        self.backends.remove(&backend);
    }

    /// Returns whether a backend server probably holds a prefix.
    pub(crate) fn holds(&self, backend: BackendId, prefix: PrefixHash, now: MonoTime) -> bool {
        self.backends
            .get(&backend)
            .and_then(|hints| hints.seen.get(&prefix))
            .is_some_and(|at| now.since(*at) < HINT_SPAN)
    }
}
