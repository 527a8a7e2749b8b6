//! The prefix cache of an engine: least recently used prefixes in limited memory.
//!
//! Every change becomes an event with a number. Some events are lost on purpose, which leaves a
//! gap in the numbers, as the engines' own event streams have them.

use std::collections::{BTreeMap, VecDeque};

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, PrefixHash};

/// How many events are kept for late readers.
const KEPT_EVENTS: usize = 4_096;

/// One event with its number and the time it happened.
#[derive(Debug, Clone, Copy, PartialEq)]
struct NumberedEvent {
    number: u64,
    at: MonoTime,
    event: CacheEvent,
}

/// The prefixes that an engine holds.
#[derive(Debug)]
pub struct PrefixCache {
    limit_tokens: u32,
    used_tokens: u32,
    uses: u64,
    entries: FastMap<PrefixHash, CacheEntry>,
    order: BTreeMap<u64, PrefixHash>,
    events: VecDeque<NumberedEvent>,
    next_number: u64,
    lose_every: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// Returns an empty cache of `limit_tokens` that loses one event in `lose_every` (0: none).
    pub fn new(limit_tokens: u32, lose_every: u64) -> Self {
        Self {
            limit_tokens,
            used_tokens: 0,
            uses: 0,
            entries: FastMap::default(),
            order: BTreeMap::new(),
            events: VecDeque::new(),
            next_number: 1,
            lose_every,
        }
    }

    /// Returns the share of the memory in use, 0 to 1.
    pub fn used_share(&self) -> f32 {
        if self.limit_tokens == 0 {
            return 0.0;
        }
        self.used_tokens as f32 / self.limit_tokens as f32
    }

    /// Returns the size of a prefix in tokens, or none if it is not held.
    pub fn tokens_of(&self, prefix: PrefixHash) -> Option<u32> {
        self.entries.get(&prefix).map(|entry| entry.tokens)
    }

    /// Uses a prefix: returns the tokens that need no reading, and holds the prefix from now on.
    pub fn touch(&mut self, prefix: PrefixHash, tokens: u32, now: MonoTime) -> u32 {
        self.uses += 1;
        if let Some(entry) = self.entries.get_mut(&prefix) {
            self.order.remove(&entry.used);
            entry.used = self.uses;
            self.order.insert(self.uses, prefix);
            return entry.tokens.min(tokens);
        }
        self.store(prefix, tokens, now);
        0
    }

    /// Drops everything.
    pub fn clear(&mut self, now: MonoTime) {
        self.entries.clear();
        self.order.clear();
        self.used_tokens = 0;
        self.record(CacheEvent::Cleared, now);
    }

    /// Returns the numbered events after `after` that happened before `until`.
    pub fn events_after(&self, after: u64, until: MonoTime) -> Vec<(u64, CacheEvent)> {
        self.events
            .iter()
            .filter(|e| e.number > after && e.at <= until)
            .map(|e| (e.number, e.event))
            .collect()
    }

    fn store(&mut self, prefix: PrefixHash, tokens: u32, now: MonoTime) {
        if tokens > self.limit_tokens {
            return;
        }
        while self.used_tokens + tokens > self.limit_tokens {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            if let Some(entry) = self.entries.remove(&oldest) {
                self.used_tokens -= entry.tokens;
            }
            self.record(CacheEvent::Removed(oldest), now);
        }
        let used = self.uses;
        self.entries.insert(prefix, CacheEntry { tokens, used });
        self.order.insert(used, prefix);
        self.used_tokens += tokens;
        self.record(CacheEvent::Stored(prefix), now);
    }

    fn record(&mut self, event: CacheEvent, at: MonoTime) {
        let number = self.next_number;
        self.next_number += 1;
        if self.lose_every > 0 && number.is_multiple_of(self.lose_every) {
            return;
        }
        if self.events.len() == KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(NumberedEvent { number, at, event });
    }
}
