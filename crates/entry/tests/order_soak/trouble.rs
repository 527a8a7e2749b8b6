//! Faults from outside, in an order that follows from a seed: first one after the other, then overlapping.

use std::thread::{self, Scope};
use std::time::{Duration, Instant};

use oleander_base::FastMap;
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use super::engine_fault::EngineFault;
use super::engine_slot::EngineSlot;
use super::fleet::Fleet;
use super::trouble_kind::Trouble;
use crate::gateway::TestGateway;

/// The software versions of engines.
pub const VERSIONS: [&str; 2] = ["v1", "v2"];
/// The time for which a paused process stands still.
const PAUSE: Duration = Duration::from_secs(1);
/// The least number of engines of a service that are left when one is killed.
const LEAST_ENGINES: usize = 2;

/// Plays faults against a fleet.
pub struct TroubleMaker<'a> {
    pub(super) fleet: &'a Fleet,
    seed: u64,
    choices: Vec<Trouble>,
    counts: Mutex<FastMap<Trouble, usize>>,
    /// Held by the one fault that is in progress at the store.
    pub(super) store_busy: Mutex<()>,
}

impl<'a> TroubleMaker<'a> {
    /// Creates the faults of a seed, of the given kinds.
    pub fn new(fleet: &'a Fleet, seed: u64, choices: &[Trouble]) -> Self {
        Self {
            fleet,
            seed,
            choices: choices.to_vec(),
            counts: Mutex::default(),
            store_busy: Mutex::new(()),
        }
    }

    /// Returns how often each kind of fault was played.
    pub fn counts(&self) -> Vec<(Trouble, usize)> {
        let counts = self.counts.lock();
        let mut counts: Vec<_> = counts
            .iter()
            .map(|(trouble, count)| (*trouble, *count))
            .collect();
        counts.sort_unstable();
        counts
    }

    /// Plays faults one after the other for the first half of the run, and overlapping for the second.
    pub fn play<'s>(&'s self, scope: &'s Scope<'s, '_>, length: Duration) {
        const LONGEST_PAUSE_MS: u64 = 500;
        const BETWEEN: Duration = Duration::from_millis(100);
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let half = Instant::now() + length / 2;
        while self.fleet.goes_on_for(BETWEEN) {
            let trouble = self.choices[below(&mut random, self.choices.len())];
            let own = ChaCha8Rng::seed_from_u64(random.next_u64());
            if Instant::now() < half {
                self.make(trouble, own);
            } else {
                scope.spawn(move || self.make(trouble, own));
                let pause = random.next_u64() % LONGEST_PAUSE_MS;
                self.fleet.goes_on_for(Duration::from_millis(pause));
            }
        }
    }

    fn make(&self, trouble: Trouble, mut random: ChaCha8Rng) {
        let is_made = match trouble {
            Trouble::EngineRestart
            | Trouble::EngineReboot
            | Trouble::EngineUpgrade
            | Trouble::EngineLoss => self.kill_engine(trouble, &mut random),
            Trouble::EnginePause => self.pause_engine(&mut random),
            Trouble::GatewayKill => self.kill_gateways(1, &mut random),
            Trouble::GatewayHerd => {
                let count = 3 + below(&mut random, 4);
                self.kill_gateways(count, &mut random)
            }
            Trouble::GatewayPause => self.pause_gateway(&mut random),
            Trouble::GatewayStop => self.stop_gateway(&mut random),
            Trouble::LinkReset | Trouble::LinkDelay | Trouble::LinkCut => {
                self.harm_link(trouble, &mut random)
            }
            Trouble::SilentUpgrade => self.upgrade_silently(&mut random),
            Trouble::LossyLink => self.lose_segments(&mut random),
            Trouble::LossyUpgrade => self.upgrade_behind_lossy_link(&mut random),
            Trouble::EngineFailure => self.fail_engine(&EngineFault::IN_ANSWERS, &mut random),
            Trouble::ReportFailure => self.fail_engine(&EngineFault::IN_REPORTS, &mut random),
            Trouble::ReportBusyUpgrade => {
                self.upgrade_unreported(EngineFault::ReportBusy, &mut random)
            }
            Trouble::ReportMissingUpgrade => {
                self.upgrade_unreported(EngineFault::ReportMissing, &mut random)
            }
            Trouble::ReportLateUpgrade => {
                self.upgrade_unreported(EngineFault::ReportLate, &mut random)
            }
            Trouble::StoreAway
            | Trouble::StoreSlow
            | Trouble::StoreAnswersLost
            | Trouble::StoreCompacted
            | Trouble::StoreRestored => self.harm_store(trouble, &mut random),
            Trouble::StoreCut | Trouble::StoreLossy => self.harm_store_links(trouble, &mut random),
            Trouble::GatewayStutter => self.pause_gateways_in_turn(&mut random),
            Trouble::EntryAway => self.unlist_engine(&mut random),
            Trouble::EntryWithoutStart => self.write_entry_without_start(&mut random),
            Trouble::AddressReuse => self.reuse_address(&mut random),
            Trouble::ManifestChange => {
                self.fleet.write_manifest();
                true
            }
            Trouble::SlowCallers => self.change_habit(&self.fleet.habits.reads_slowly, &mut random),
            Trouble::HastyCallers => {
                self.change_habit(&self.fleet.habits.repeats_at_once, &mut random)
            }
        };
        if is_made {
            *self.counts.lock().entry(trouble).or_default() += 1;
        }
    }

    pub(super) fn choose_slot(&self, random: &mut ChaCha8Rng) -> &'a EngineSlot {
        &self.fleet.slots[below(random, self.fleet.slots.len())]
    }

    fn kill_engine(&self, trouble: Trouble, random: &mut ChaCha8Rng) -> bool {
        const SHORT_MS: u64 = 300;
        const LONG_MS: u64 = 4_000;
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
        let longest_ms = match trouble {
            Trouble::EngineLoss => LONG_MS,
            _ => SHORT_MS,
        };
        self.fleet
            .goes_on_for(Duration::from_millis(random.next_u64() % longest_ms));
        match trouble {
            Trouble::EngineReboot => self.fleet.start_engine_as(slot, &id, &version),
            Trouble::EngineUpgrade => {
                self.fleet
                    .start_engine_as(slot, &id, other_version(&version));
            }
            _ => self.fleet.start_engine(slot, &version),
        }
        true
    }

    /// Returns whether enough engines of its service are left when an engine is killed.
    pub(super) fn may_be_killed(&self, slot: &EngineSlot) -> bool {
        slot.is_available() && self.fleet.available(slot.service) > LEAST_ENGINES
    }

    /// Kills an engine and has its link fall silent at once, so that some of its connections are heard to end and others
    /// are not. The one that starts in its place ends behind the silence too.
    fn upgrade_silently(&self, random: &mut ChaCha8Rng) -> bool {
        const SHORTEST_MS: u64 = 450;
        const SPREAD_MS: u64 = 450;
        let slot = self.choose_slot(random);
        let (Some(_busy), Some(link)) = (slot.busy.try_lock(), slot.link()) else {
            return false;
        };
        if !self.may_be_killed(slot) {
            return false;
        }
        let Some((id, version)) = self.fleet.kill_engine(slot) else {
            return false;
        };
        link.hold(true);
        for version in [other_version(&version), &version] {
            self.fleet.kill_engine(slot);
            self.fleet.start_engine_as(slot, &id, version);
            let pause_ms = SHORTEST_MS + random.next_u64() % SPREAD_MS;
            self.fleet.goes_on_for(Duration::from_millis(pause_ms));
        }
        link.hold(false);
        true
    }

    fn pause_engine(&self, random: &mut ChaCha8Rng) -> bool {
        let slot = self.choose_slot(random);
        let Some(_busy) = slot.busy.try_lock() else {
            return false;
        };
        slot.signal(libc::SIGSTOP);
        self.fleet.goes_on_for(PAUSE);
        slot.signal(libc::SIGCONT);
        true
    }

    fn harm_link(&self, trouble: Trouble, random: &mut ChaCha8Rng) -> bool {
        const SHORTEST_DELAY_MS: u64 = 5;
        const DELAY_SPREAD_MS: u64 = 60;
        let slot = self.choose_slot(random);
        let (Some(_busy), Some(link)) = (slot.busy.try_lock(), slot.link()) else {
            return false;
        };
        match trouble {
            Trouble::LinkDelay => {
                link.delay(SHORTEST_DELAY_MS + random.next_u64() % DELAY_SPREAD_MS);
                self.fleet.goes_on_for(PAUSE);
                link.delay(0);
            }
            Trouble::LinkCut => {
                link.hold(true);
                self.fleet.goes_on_for(PAUSE);
                link.hold(false);
            }
            _ => link.reset_all(),
        }
        true
    }

    fn kill_gateways(&self, count: usize, random: &mut ChaCha8Rng) -> bool {
        const LONGEST_AWAY_MS: u64 = 1_500;
        let all = self.fleet.gateways.len();
        let first = below(random, all);
        let chosen = (0..count).map(|nth| &self.fleet.gateways[(first + nth) % all]);
        let mut gateways: Vec<_> = chosen.filter_map(Mutex::try_lock).collect();
        for gateway in &gateways {
            gateway.signal(libc::SIGKILL);
        }
        let has_killed = !gateways.is_empty();
        self.fleet
            .goes_on_for(Duration::from_millis(random.next_u64() % LONGEST_AWAY_MS));
        for gateway in &mut gateways {
            gateway.wait_end();
            gateway.restart();
        }
        drop(gateways);
        has_killed
    }

    pub(super) fn choose_gateway(&self, random: &mut ChaCha8Rng) -> &'a Mutex<TestGateway> {
        &self.fleet.gateways[below(random, self.fleet.gateways.len())]
    }

    fn pause_gateway(&self, random: &mut ChaCha8Rng) -> bool {
        let Some(gateway) = self.choose_gateway(random).try_lock() else {
            return false;
        };
        gateway.signal(libc::SIGSTOP);
        self.fleet.goes_on_for(PAUSE);
        gateway.signal(libc::SIGCONT);
        true
    }

    fn stop_gateway(&self, random: &mut ChaCha8Rng) -> bool {
        const GRACE: Duration = Duration::from_secs(4);
        let Some(mut gateway) = self.choose_gateway(random).try_lock() else {
            return false;
        };
        gateway.signal(libc::SIGTERM);
        if !gateway.has_ended_within(GRACE) {
            gateway.kill();
        }
        gateway.restart();
        true
    }

    /// Replaces the engines of the streaming service by those of the second software version, one after the other. The
    /// last ones stay, so that both versions serve until the run ends.
    pub fn release(&self, length: Duration) {
        /// The part of the run before the release.
        const BEFORE: u32 = 6;
        /// The part of the run between two steps.
        const STEP: u32 = 14;
        /// The number of engines that are replaced.
        const REPLACED: usize = 6;
        if !self.fleet.goes_on_for(length / BEFORE) {
            return;
        }
        let slots = self.fleet.slots.iter();
        let mut places: Vec<&EngineSlot> = slots.filter(|slot| slot.service == "engines").collect();
        places.rotate_right(1);
        for pair in places.windows(2).take(REPLACED) {
            let [free, old] = pair else {
                return;
            };
            self.replace(free, old, VERSIONS[1]);
            if !self.fleet.goes_on_for(length / STEP) {
                return;
            }
        }
    }

    /// Starts an engine at a free place and has the one at another place leave.
    fn replace(&self, free: &EngineSlot, old: &EngineSlot, version: &str) {
        /// The time for which an engine that leaves goes on serving.
        const DRAIN: Duration = Duration::from_millis(2_600);
        let _free_busy = free.busy.lock();
        self.fleet.start_engine(free, version);
        let _old_busy = old.busy.lock();
        old.leave(&self.fleet.store);
        self.fleet.goes_on_for(DRAIN);
        self.fleet.remove_engine(old);
    }
}

pub(super) fn other_version(version: &str) -> &'static str {
    let other = VERSIONS.iter().find(|other| **other != version);
    other.expect("there are two versions")
}

pub(super) fn below(random: &mut ChaCha8Rng, bound: usize) -> usize {
    let bound = u64::try_from(bound).expect("the number is small");
    usize::try_from(random.next_u64() % bound).expect("the number is small")
}

/// Ends a run after its length.
pub fn end_after(fleet: &Fleet, length: Duration) {
    thread::sleep(length);
    fleet
        .is_over
        .store(true, std::sync::atomic::Ordering::SeqCst);
}
