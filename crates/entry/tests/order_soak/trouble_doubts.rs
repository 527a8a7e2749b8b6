//! Faults after which a process is in doubt although it lives: links that lose segments, and engines that fail.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;

use super::engine_fault::EngineFault;
use super::trouble::{TroubleMaker, below, other_version};

/// The mean number of pieces from a late one to the next on a link that loses segments.
const LATE_ONE_IN: u64 = 12;

/// Returns a time of at least `shortest_ms`.
pub fn time_from(shortest_ms: u64, spread_ms: u64, random: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(shortest_ms + random.next_u64() % spread_ms)
}

impl TroubleMaker<'_> {
    pub(super) fn lose_segments(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let (Some(_busy), Some(link)) = (slot.busy.try_lock(), slot.link()) else {
            return false;
        };
        link.lose_segments(LATE_ONE_IN);
        self.fleet.goes_on_for(time_from(1_000, 2_000, random));
        link.lose_segments(0);
        true
    }

    pub(super) fn upgrade_behind_lossy_link(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let (Some(_busy), Some(link)) = (slot.busy.try_lock(), slot.link()) else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        // One of three is late: the ends of the engine's connections are what matters here.
        link.lose_segments(3);
        self.fleet.goes_on_for(time_from(50, 300, random));
        let killed = self.fleet.kill_engine(slot);
        if let Some((id, version)) = &killed {
            self.fleet.start_engine_as(slot, id, other_version(version));
        }
        self.fleet.goes_on_for(time_from(500, 1_000, random));
        link.lose_segments(0);
        killed.is_some()
    }

    pub(super) fn fail_engine(&self, faults: &[EngineFault], random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        if !slot.is_available() {
            return false;
        }
        let fault = faults[below(random, faults.len())];
        let length = time_from(200, 1_300, random);
        slot.command(&fault.command(length));
        self.fleet.goes_on_for(length);
        true
    }

    pub(super) fn upgrade_unreported(&self, fault: EngineFault, random: &mut ChaCha8Rng) -> bool {
        const UNREPORTED: Duration = Duration::from_millis(1_500);
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        let Some((id, version)) = self.fleet.kill_engine(slot) else {
            return false;
        };
        let command = fault.command(UNREPORTED);
        for version in [other_version(&version), &version] {
            self.fleet.kill_engine(slot);
            self.fleet.start_engine_with(slot, &id, version, &command);
            self.fleet.goes_on_for(time_from(500, 900, random));
        }
        true
    }
}
