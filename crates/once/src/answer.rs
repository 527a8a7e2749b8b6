//! A cache of request results for repeats, in bounded memory.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use oleander_base::prelude::*;

use crate::hash::BodyHash;

/// The size that is counted for a kept result without its answer's body, in bytes.
const RESULT_OVERHEAD_BYTES: usize = 160;

/// Holds a complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the backend server sent one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Holds the result of a request that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeptResult {
    /// The request that ended.
    pub request: RequestId,
    /// The hash of its body.
    pub body: BodyHash,
    /// Its verdict over all attempts.
    pub verdict: Verdict,
    /// Its answer, if there is one and it is within the size limit.
    pub answer: Option<KeptAnswer>,
}

impl KeptResult {
    fn size(&self) -> usize {
        let answer = self.answer.as_ref();
        RESULT_OVERHEAD_BYTES + answer.map_or(0, |kept| kept.body.len())
    }
}

/// Caches results by key and evicts the oldest when they exceed the size limit.
#[derive(Debug, Clone, Hash)]
pub struct ResultCache<K> {
    limit: usize,
    answer_limit: usize,
    used: usize,
    order: VecDeque<K>,
    results: BTreeMap<K, KeptResult>,
}

impl<K: Ord + Copy> ResultCache<K> {
    /// Returns an empty cache of `limit` bytes for answers of at most `answer_limit` bytes.
    pub fn new(limit: usize, answer_limit: usize) -> Self {
        Self {
            limit,
            answer_limit,
            used: 0,
            order: VecDeque::new(),
            results: BTreeMap::new(),
        }
    }

    /// Adds a result, without its answer if that is too large.
    pub fn keep(&mut self, key: K, mut result: KeptResult) {
        self.remove(&key);
        if result.size() > self.answer_limit + RESULT_OVERHEAD_BYTES {
            result.answer = None;
        }
        self.used += result.size();
        self.results.insert(key, result);
        self.order.push_back(key);
        while self.used > self.limit {
            let Some(oldest) = self.order.front().copied() else {
                break;
            };
            self.remove(&oldest);
        }
    }

    /// Returns the result of a key, if it is still cached.
    pub fn get(&self, key: &K) -> Option<&KeptResult> {
        self.results.get(key)
    }

    /// Returns the counted size of all results, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Removes the result of a key.
    pub fn remove(&mut self, key: &K) {
        if let Some(result) = self.results.remove(key) {
            self.used -= result.size();
            if self.order.front() == Some(key) {
                self.order.pop_front();
            } else {
                self.order.retain(|other| other != key);
            }
        }
    }

    /// Checks that the counted size is that of the cached results and within the limit.
    pub fn verify(&self) -> Result<(), String> {
        let sum: usize = self.results.values().map(KeptResult::size).sum();
        if sum != self.used || self.order.len() != self.results.len() {
            return Err(format!("shelf counts {} bytes but holds {sum}", self.used));
        }
        if self.used > self.limit {
            return Err(format!("shelf holds {sum} bytes over {}", self.limit));
        }
        Ok(())
    }
}
