//! The parts of prompts on which answers have lately begun at this gateway.

use oleander_base::FastSet;
use oleander_base::prelude::*;

use crate::suspect_id::SuspectId;

/// How long a part is remembered at least, unless there are too many.
const MEMORY_TIME: Span = Span::from_secs(60);

/// The number of parts after which the older ones are forgotten sooner.
const MAX_PARTS: usize = 1_024;

/// The parts in two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(crate) struct AnsweredParts {
    recent: FastSet<SuspectId>,
    older: FastSet<SuspectId>,
    /// When the recent generation began.
    since: MonoTime,
}

impl AnsweredParts {
    /// Adds the parts on which an answer has begun.
    pub(crate) fn add(&mut self, ids: &[SuspectId], now: MonoTime) {
        if now.since(self.since) >= MEMORY_TIME || self.recent.len() >= MAX_PARTS {
            self.older = std::mem::take(&mut self.recent);
            self.since = now;
        }
        let parts = ids.iter().filter(|id| !id.is_request());
        self.recent.extend(parts);
    }

    /// Returns whether an answer on a part has lately begun.
    pub(crate) fn contains(&self, id: SuspectId) -> bool {
        self.recent.contains(&id) || self.older.contains(&id)
    }
}
