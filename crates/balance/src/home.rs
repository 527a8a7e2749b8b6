//! Where a shared prompt part is read first, agreed without messages.
//!
//! Each part ranks the backend servers of its service by rendezvous hashing over their ids. Every
//! gateway that sees the same registry names the same ranks, and a backend server that comes or
//! goes moves only its own parts. A request goes to the first rank as a rule; those that have to
//! leave it, because it is slow or busy, meet again at the next rank.

use oleander_base::FastMap;
use oleander_decide::scramble;

use crate::PartId;
use crate::fleet_table::BackendKey;

/// The chance that a backend server of each rank holds a part, as far as this gateway can tell.
const HELD_CHANCE: [f64; 3] = [1.0, 0.5, 0.25];

/// The homes of one part, the first one best.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeSet {
    keys: [Option<BackendKey>; HELD_CHANCE.len()],
}

impl HomeSet {
    /// Ranks the candidates, each with the hash of its id, for a part.
    pub fn rank(part: PartId, candidates: impl Iterator<Item = (BackendKey, u64)>) -> Self {
        let mut best: [Option<(u64, BackendKey)>; HELD_CHANCE.len()] = [None; HELD_CHANCE.len()];
        for (key, id_hash) in candidates {
            let mut entry = (scramble(part.0 ^ id_hash), key);
            for slot in &mut best {
                match slot {
                    Some(held) if held.0 >= entry.0 => {}
                    Some(held) => std::mem::swap(held, &mut entry),
                    None => {
                        *slot = Some(entry);
                        break;
                    }
                }
            }
        }
        Self {
            keys: best.map(|entry| entry.map(|(_, key)| key)),
        }
    }

    /// Returns the rank of a backend server, if it is a home.
    pub fn rank_of(&self, key: BackendKey) -> Option<usize> {
        self.keys.iter().position(|held| *held == Some(key))
    }

    /// Returns the chance that a backend server holds the part without this gateway's doing.
    pub fn held_chance(&self, key: BackendKey) -> f64 {
        self.rank_of(key).map_or(0.0, |rank| HELD_CHANCE[rank])
    }
}

/// Homes that were ranked for one state of the registry.
#[derive(Debug, Default)]
pub(crate) struct HomeCache {
    generation: u64,
    ranked: FastMap<PartId, HomeSet>,
}

/// The most parts whose homes are kept ranked.
const RANKED_LIMIT: usize = 4_096;

impl HomeCache {
    /// Returns the homes of a part, ranked again only after the registry has changed.
    pub(crate) fn homes(
        &mut self,
        generation: u64,
        part: PartId,
        candidates: impl Iterator<Item = (BackendKey, u64)>,
    ) -> HomeSet {
        if self.generation != generation || self.ranked.len() >= RANKED_LIMIT {
            self.ranked.clear();
            self.generation = generation;
        }
        *self
            .ranked
            .entry(part)
            .or_insert_with(|| HomeSet::rank(part, candidates))
    }
}
