//! Faults around the engines: entries and addresses, gateways that stop in turn, and callers.

use std::sync::atomic::{AtomicBool, Ordering};

use rand_chacha::ChaCha8Rng;

use super::checker::OTHER_SERVICE;
use super::engine_slot::EngineSlot;
use super::trouble::{TroubleMaker, below, other_version};
use super::trouble_doubts::time_from;

impl TroubleMaker<'_> {
    pub(super) fn pause_gateways_in_turn(&self, random: &mut ChaCha8Rng) -> bool {
        const MOST_PAUSES: usize = 6;
        let mut has_paused = false;
        for _ in 0..=below(random, MOST_PAUSES) {
            let Some(gateway) = self.choose_gateway(random).try_lock() else {
                continue;
            };
            gateway.signal(libc::SIGSTOP);
            self.fleet.goes_on_for(time_from(100, 900, random));
            gateway.signal(libc::SIGCONT);
            has_paused = true;
        }
        has_paused
    }

    pub(super) fn unlist_engine(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        slot.unlist(true, &self.fleet.store);
        self.fleet.goes_on_for(time_from(200, 1_500, random));
        self.upgrade_at_times(slot, random);
        slot.unlist(false, &self.fleet.store);
        true
    }

    pub(super) fn write_entry_without_start(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        slot.write_entry_without_start(&self.fleet.store);
        self.fleet.goes_on_for(time_from(20, 400, random));
        self.upgrade_at_times(slot, random);
        true
    }

    /// Has an engine start again under its id at the other software version, in half of the cases.
    fn upgrade_at_times(&self, slot: &EngineSlot, random: &mut ChaCha8Rng) {
        if below(random, 2) == 0 || !self.may_be_killed(slot) {
            return;
        }
        if let Some((id, version)) = self.fleet.kill_engine(slot) {
            self.fleet
                .start_engine_as(slot, &id, other_version(&version));
        }
    }

    /// Has an engine of the other service serve at the address of one that is killed, under an id of its own.
    pub(super) fn reuse_address(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        let Some((_, version)) = self.fleet.kill_engine(slot) else {
            return false;
        };
        let (service, mark) = OTHER_SERVICE[usize::from(slot.service == "desk")];
        self.fleet.start_engine_of(slot, service, mark);
        self.fleet.goes_on_for(time_from(500, 2_500, random));
        self.fleet.kill_engine(slot);
        self.fleet.start_engine(slot, &version);
        true
    }

    pub(super) fn change_habit(&self, habit: &AtomicBool, random: &mut ChaCha8Rng) -> bool {
        habit.store(true, Ordering::SeqCst);
        self.fleet.goes_on_for(time_from(500, 2_000, random));
        habit.store(false, Ordering::SeqCst);
        true
    }
}
