//! Reservation of backend servers for short prompts.
//!
//! While a backend server reads a long prompt, each event of its other streams waits for one chunk
//! of the prompt, so that streams with tight pause limits become late. A share of a service's
//! backend servers therefore reads only short prompts, as long as the traffic mixes both kinds.
//! Their ids determine which ones, so that gateways agree without messages. The share is fixed: a
//! share that followed the load would move the homes of long prompts in a burst, when reading them
//! again costs most. Only at a service whose backend servers report their pace does it follow the mean
//! demand of short prompts, slowly (`service_pace.rs`).

use std::sync::Arc;

use oleander_decide::splitmix64;

use crate::fleet_table::BackendKey;

/// The share of a service's backend servers that is reserved for short prompts.
pub(crate) const RESERVED_SHARE: f64 = 0.125;

/// The longest prompt, in tokens, that hardly slows other streams.
const SHORT_PROMPT_TOKENS: u32 = 4_096;

/// Returns whether a prompt is so short that it hardly slows other streams.
pub(crate) fn is_short(prompt_tokens: u32) -> bool {
    prompt_tokens <= SHORT_PROMPT_TOKENS
}

/// The reserved backend servers of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReservedSet {
    keys: Arc<[BackendKey]>,
}

impl ReservedSet {
    /// Selects the `count` candidates for which [`splitmix64`] of the id's hash is lowest; each
    /// candidate is given with that hash.
    pub(crate) fn select(
        candidates: impl Iterator<Item = (BackendKey, u64)>,
        count: usize,
    ) -> Self {
        let mut scored: Vec<(u64, BackendKey)> = candidates
            .map(|(key, id_hash)| (splitmix64(id_hash), key))
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
