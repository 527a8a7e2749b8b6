//! The prompt parts that a backend server probably has cached, judged by this gateway's requests.

use oleander_base::FastMap;
use oleander_base::prelude::*;

use crate::PartId;

/// The time after its last use for which a part is assumed to stay in a backend server's cache.
const PART_TTL: Span = Span::from_secs(30);

/// The largest number of parts that are tracked for one backend server.
const PART_LIMIT: usize = 2_048;

/// The parts that one backend server probably has cached, with the time of their last use.
#[derive(Debug, Default)]
pub struct CachedParts {
    last_use: FastMap<PartId, MonoTime>,
}

impl CachedParts {
    /// Records a use of a part.
    pub fn touch(&mut self, part: PartId, now: MonoTime) {
        if self.last_use.len() >= PART_LIMIT {
            self.last_use.retain(|_, used| now.since(*used) < PART_TTL);
        }
        if self.last_use.len() < PART_LIMIT {
            self.last_use.insert(part, now);
        }
    }

    /// Returns whether the part is assumed to be cached.
    pub fn contains(&self, part: PartId, now: MonoTime) -> bool {
        self.last_use
            .get(&part)
            .is_some_and(|used| now.since(*used) < PART_TTL)
    }
}
