//! Which prompt parts a backend server has read lately, from this gateway's own requests.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::PartId;

/// How long after its last use a part is taken to be still in a backend server's memory.
const PART_TTL: Span = Span::from_secs(30);

/// The most parts that are remembered of one backend server.
const PART_LIMIT: usize = 2_048;

/// The parts of one backend server.
#[derive(Debug, Default)]
pub struct CachedParts {
    last_use: FastMap<PartId, MonoTime>,
}

impl CachedParts {
    /// Notes that a part was read or used now.
    pub fn touch(&mut self, part: PartId, now: MonoTime) {
        if self.last_use.len() >= PART_LIMIT {
            self.last_use.retain(|_, used| now.since(*used) < PART_TTL);
        }
        if self.last_use.len() < PART_LIMIT {
            self.last_use.insert(part, now);
        }
    }

    /// Returns whether the part is taken to be in memory.
    pub fn contains(&self, part: PartId, now: MonoTime) -> bool {
        self.last_use
            .get(&part)
            .is_some_and(|used| now.since(*used) < PART_TTL)
    }
}
