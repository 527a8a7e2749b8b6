//! The homes of shared prompt parts, on which gateways agree without messages.
//!
//! For each part, rendezvous hashing over their ids ranks the backend servers of the service. All
//! gateways with the same registry compute the same ranks, and a backend server that joins or
//! leaves moves only its own parts. Requests normally go to the first rank; those that avoid it,
//! because it is slow or busy, converge on the next rank.

use std::sync::Arc;

use oleander_base::FastMap;
use oleander_decide::splitmix64;

use crate::PartId;
use crate::fleet_table::BackendKey;

/// The number of backend servers that are ranked for one part.
const RANK_LIMIT: usize = 24;

/// The estimated probability that the backend server of each rank behind the homes has cached the
/// part.
const NEXT_RANK_PROBABILITY: [f64; 3] = [0.5, 0.25, 0.12];

/// The homes of one part, best first, and the ranks behind them.
#[derive(Debug, Clone)]
pub struct HomeSet {
    ranked: Arc<[BackendKey]>,
    home_count: usize,
}

impl Default for HomeSet {
    fn default() -> Self {
        Self {
            ranked: Arc::new([]),
            home_count: 1,
        }
    }
}

impl HomeSet {
    /// Returns the homes and the next ranks behind them, best first.
    pub fn keys(&self) -> &[BackendKey] {
        let limit = self.home_count + NEXT_RANK_PROBABILITY.len();
        &self.ranked[..limit.min(self.ranked.len())]
    }

    /// Returns the rank of a backend server, if it is a home or in one of the next ranks.
    pub fn rank_of(&self, key: BackendKey) -> Option<usize> {
        self.keys().iter().position(|ranked| *ranked == key)
    }

    /// Returns the probability that a backend server has cached the part because of other gateways'
    /// requests.
    pub fn held_probability(&self, key: BackendKey) -> f64 {
        match self.rank_of(key) {
            Some(rank) if rank < self.home_count => 1.0,
            Some(rank) => NEXT_RANK_PROBABILITY[rank - self.home_count],
            None => 0.0,
        }
    }
}

/// Ranks the candidates, each given with the hash of its id, for a part.
fn rank(part: PartId, candidates: impl Iterator<Item = (BackendKey, u64)>) -> Arc<[BackendKey]> {
    let mut scored: Vec<(u64, BackendKey)> = candidates
        .map(|(key, id_hash)| (splitmix64(part.0 ^ id_hash), key))
        .collect();
    if scored.len() > RANK_LIMIT {
        scored.select_nth_unstable_by(RANK_LIMIT, |a, b| b.cmp(a));
        scored.truncate(RANK_LIMIT);
    }
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, key)| key).collect()
}

/// The ranks of parts for one state of the registry.
#[derive(Debug, Default)]
pub(crate) struct RankCache {
    ranked: FastMap<PartId, Arc<[BackendKey]>>,
}

/// The number of parts at which the cached ranks are cleared.
const CACHED_PARTS_LIMIT: usize = 4_096;

impl RankCache {
    /// Returns the homes of a part, ranking the candidates if the part isn't cached.
    pub(crate) fn homes(
        &mut self,
        part: PartId,
        home_count: usize,
        candidates: impl Iterator<Item = (BackendKey, u64)>,
    ) -> HomeSet {
        if self.ranked.len() >= CACHED_PARTS_LIMIT {
            self.ranked.clear();
        }
        let ranked = self
            .ranked
            .entry(part)
            .or_insert_with(|| rank(part, candidates));
        HomeSet {
            ranked: Arc::clone(ranked),
            home_count,
        }
    }
}
