//! Backend servers that are kept free of long prompts.
//!
//! While a backend server reads a long prompt, each event of its other streams waits for a piece of
//! it, so streams with short pauses come late wherever long prompts are read. A share of a service's
//! backend servers therefore reads only short prompts, as long as both kinds come. Which ones follows
//! from their ids, so that gateways agree without a message. The share is fixed: one that followed
//! the load would move the homes of long prompts in a burst, when reading them again costs most.

use std::sync::Arc;

use oleander_decide::scramble;

use crate::fleet_table::BackendKey;

/// The share of a service's backend servers that reads only short prompts.
pub(crate) const RESERVED_SHARE: f64 = 0.125;

/// The longest prompt, in tokens, that hardly disturbs other streams.
const SHORT_PROMPT_TOKENS: u32 = 4_096;

/// Returns whether a prompt hardly disturbs other streams.
pub(crate) fn is_short(prompt_tokens: u32) -> bool {
    prompt_tokens <= SHORT_PROMPT_TOKENS
}

/// The reserved backend servers of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReservedSet {
    keys: Arc<[BackendKey]>,
}

impl ReservedSet {
    /// Picks the first `count` candidates, each with the hash of its id.
    pub(crate) fn select(
        candidates: impl Iterator<Item = (BackendKey, u64)>,
        count: usize,
    ) -> Self {
        let mut scored: Vec<(u64, BackendKey)> = candidates
            .map(|(key, id_hash)| (scramble(id_hash), key))
            .collect();
        scored.sort_unstable();
        scored.truncate(count);
        let mut keys: Vec<BackendKey> = scored.into_iter().map(|(_, key)| key).collect();
        keys.sort_unstable();
        Self { keys: keys.into() }
    }

    pub(crate) fn contains(&self, key: BackendKey) -> bool {
        self.keys.binary_search(&key).is_ok()
    }
}
