//! Where a shared prompt part is read first, agreed without messages.
//!
//! Each part has a few homes among the backend servers of its service, chosen by rendezvous
//! hashing over their ids. Every gateway that sees the same registry names the same homes, and a
//! backend server that comes or goes moves only its own parts.

use oleander_base::FastMap;
use oleander_decide::scramble;

use crate::PartId;
use crate::fleet_table::BackendKey;

/// How many backend servers hold a part that is asked for at the usual rate.
const USUAL_HOMES: usize = 1;

/// The homes of one part, the first one best.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeSet {
    keys: [Option<BackendKey>; USUAL_HOMES],
}

impl HomeSet {
    /// Ranks the candidates, each with the hash of its id, for a part.
    pub fn rank(part: PartId, candidates: impl Iterator<Item = (BackendKey, u64)>) -> Self {
        let mut best: [Option<(u64, BackendKey)>; USUAL_HOMES] = [None; USUAL_HOMES];
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

    /// Returns whether the backend server is one of the homes.
    pub fn contains(&self, key: BackendKey) -> bool {
        self.keys.contains(&Some(key))
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
