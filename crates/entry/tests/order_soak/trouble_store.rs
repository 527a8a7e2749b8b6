//! Faults of the store, and of the links over which gateways reach it.

use std::time::Duration;

use oleander_standin::users::StoreMode;
use rand_chacha::ChaCha8Rng;

use super::trouble::{TroubleMaker, below};
use super::trouble_doubts::time_from;
use super::trouble_kind::Trouble;

impl TroubleMaker<'_> {
    /// Harms the store, unless another fault does so.
    pub(super) fn harm_store(&self, trouble: Trouble, random: &mut ChaCha8Rng) -> bool {
        let Some(_busy) = self.store_busy.try_lock() else {
            return false;
        };
        let length = time_from(500, 3_000, random);
        match trouble {
            Trouble::StoreAway => {
                let modes = [StoreMode::Busy, StoreMode::Silent, StoreMode::Closing];
                self.set_store_mode(modes[below(random, modes.len())], length);
            }
            Trouble::StoreSlow => self.delay_store(length, random),
            Trouble::StoreAnswersLost => self.lose_store_answers(random),
            Trouble::StoreCompacted => {
                self.fleet.store.compact();
                self.set_store_mode(StoreMode::HistoryGone, length / 2);
            }
            _ => {
                let copy = self.fleet.store.copy();
                self.fleet.goes_on_for(2 * length);
                self.fleet.restore_store(copy);
            }
        }
        true
    }

    fn set_store_mode(&self, mode: StoreMode, length: Duration) {
        self.fleet.store.set_mode(mode);
        self.fleet.goes_on_for(length);
        self.fleet.store.set_mode(StoreMode::Serving);
    }

    fn delay_store(&self, length: Duration, random: &mut ChaCha8Rng) {
        const SHORTEST_MS: usize = 50;
        const SPREAD_MS: usize = 400;
        let delay_ms = (SHORTEST_MS + below(random, SPREAD_MS)) as u64;
        for link in &self.fleet.store_links {
            link.delay(delay_ms);
        }
        self.fleet.goes_on_for(length);
        for link in &self.fleet.store_links {
            link.delay(0);
        }
    }

    fn lose_store_answers(&self, random: &mut ChaCha8Rng) {
        const MOST_WRITES: usize = 12;
        let writes = 1 + below(random, MOST_WRITES);
        self.fleet
            .store
            .lose_answers(writes, time_from(50, 1_000, random));
    }

    /// Harms the links of one to three gateways to the store, unless another fault does so.
    pub(super) fn harm_store_links(&self, trouble: Trouble, random: &mut ChaCha8Rng) -> bool {
        const MOST_LINKS: usize = 3;
        const LATE_ONE_IN: u64 = 5;
        let Some(_busy) = self.store_busy.try_lock() else {
            return false;
        };
        let all = &self.fleet.store_links;
        let first = below(random, all.len());
        let count = 1 + below(random, MOST_LINKS);
        let links = || (0..count).map(|nth| &all[(first + nth) % all.len()]);
        for link in links() {
            match trouble {
                Trouble::StoreLossy => link.lose_segments(LATE_ONE_IN),
                _ => link.hold(true),
            }
        }
        self.fleet.goes_on_for(time_from(500, 3_000, random));
        for link in links() {
            link.lose_segments(0);
            link.hold(false);
        }
        true
    }
}
