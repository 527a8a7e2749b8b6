//! The prefix cache of an engine, which evicts the least recently used prefixes.
//!
//! Every change is recorded as a numbered event. Some events are dropped on purpose, which leaves
//! gaps in the numbers, as in the event streams of real engines.

use std::collections::{BTreeMap, VecDeque};

use oleander_base::prelude::*;
use oleander_base::{CacheEvent, PrefixHash};

/// The maximum number of stored events, which readers fetch later.
const MAX_EVENTS: usize = 4_096;

/// A cache event with its number and time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct NumberedEvent {
    number: u64,
    at: MonoTime,
    event: CacheEvent,
}

/// An LRU cache of prompt prefixes with a log of its changes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_tokens: u32,
    used_tokens: u32,
    use_count: u64,
    entries: FastMap<PrefixHash, CacheEntry>,
    by_last_use: BTreeMap<u64, PrefixHash>,
    events: VecDeque<NumberedEvent>,
    next_number: u64,
    lose_every: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Returns an empty cache of `capacity_tokens` that drops every `lose_every`-th event (0:
    /// none).
    pub fn new(capacity_tokens: u32, lose_every: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            use_count: 0,
            entries: FastMap::default(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_number: 1,
            lose_every,
        }
    }

    /// Returns the share of the capacity in use, from 0 to 1.
    pub fn used_share(&self) -> f32 {
        if self.capacity_tokens == 0 {
            return 0.0;
        }
        self.used_tokens as f32 / self.capacity_tokens as f32
    }

    /// Returns the size of a prefix in tokens, or `None` if it is not cached.
    pub fn tokens_of(&self, prefix: PrefixHash) -> Option<u32> {
        self.entries.get(&prefix).map(|entry| entry.tokens)
    }

    /// Marks a prefix as used and returns how many of its tokens need no prefill. A prefix that is
    /// not cached is inserted if it fits into the capacity.
    pub fn touch(&mut self, prefix: PrefixHash, tokens: u32, now: MonoTime) -> u32 {
        self.use_count += 1;
        if let Some(entry) = self.entries.get_mut(&prefix) {
            self.by_last_use.remove(&entry.last_use);
            entry.last_use = self.use_count;
            self.by_last_use.insert(self.use_count, prefix);
            return entry.tokens.min(tokens);
        }
        self.insert(prefix, tokens, now);
        0
    }

    /// Removes all prefixes.
    pub fn clear(&mut self, now: MonoTime) {
        self.entries.clear();
        self.by_last_use.clear();
        self.used_tokens = 0;
        self.record_event(CacheEvent::Cleared, now);
    }

    /// Returns the events with numbers above `after` that happened at `until` or earlier.
    pub fn events_after(&self, after: u64, until: MonoTime) -> Vec<(u64, CacheEvent)> {
        self.events
            .iter()
            .filter(|e| e.number > after && e.at <= until)
            .map(|e| (e.number, e.event))
            .collect()
    }

    fn insert(&mut self, prefix: PrefixHash, tokens: u32, now: MonoTime) {
        if tokens > self.capacity_tokens {
            return;
        }
        while self.used_tokens + tokens > self.capacity_tokens {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                break;
            };
            if let Some(entry) = self.entries.remove(&oldest) {
                self.used_tokens -= entry.tokens;
            }
            self.record_event(CacheEvent::Removed(oldest), now);
        }
        let last_use = self.use_count;
        self.entries.insert(prefix, CacheEntry { tokens, last_use });
        self.by_last_use.insert(last_use, prefix);
        self.used_tokens += tokens;
        self.record_event(CacheEvent::Stored(prefix), now);
    }

    fn record_event(&mut self, event: CacheEvent, at: MonoTime) {
        let number = self.next_number;
        self.next_number += 1;
        if self.lose_every > 0 && number.is_multiple_of(self.lose_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(NumberedEvent { number, at, event });
    }
}
