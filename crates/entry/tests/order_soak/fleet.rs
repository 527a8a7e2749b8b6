//! The gateways, engines and the store of a soak, in the shape of a corrections log: six gateways in four data
//! centres, engines of a streaming service and of a log service.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use oleander_standin::users::{FaultyLink, StoreCopy, UsersStore};
use parking_lot::Mutex;
use serde_json::json;

use super::engine_slot::{EngineSlot, Reports};
use super::trouble::VERSIONS;
use crate::gateway::{self, TestGateway, store_with_manifest};

/// The data centre of each gateway.
const GATEWAY_CENTRES: [&str; 6] = ["a", "a", "b", "b", "c", "d"];
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];
/// The number of engines of the streaming service at the start.
const STREAM_ENGINES: usize = 8;
/// The number of places for engines of the streaming service: a release needs one more.
const STREAM_PLACES: usize = 9;
/// The number of engines of the log service.
const DESK_ENGINES: usize = 3;
/// The pause between two writes of an engine's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time after which the entry of an engine that writes no more is removed.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);

/// Which engines gateways reach through links that can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// Each second one.
    Half,
    All,
}

/// How all callers behave at times.
#[derive(Debug, Default)]
pub struct Habits {
    /// They read slowly.
    pub reads_slowly: AtomicBool,
    /// They repeat requests at once, whatever `Retry-After` says.
    pub repeats_at_once: AtomicBool,
}

/// All processes of a soak.
pub struct Fleet {
    pub store: UsersStore,
    pub gateways: Vec<Mutex<TestGateway>>,
    /// The addresses at which callers reach the gateways.
    pub frontends: Vec<SocketAddr>,
    pub slots: Vec<EngineSlot>,
    /// The link over which each gateway reaches the store.
    pub store_links: Vec<FaultyLink>,
    /// How callers behave now.
    pub habits: Habits,
    pub reports: Arc<Mutex<Reports>>,
    /// Whether the run has ended.
    pub is_over: AtomicBool,
    next_id: AtomicU64,
    manifest_version: AtomicU64,
    expiring: Mutex<Vec<(String, Instant)>>,
}

impl Fleet {
    /// Starts all processes and waits until the gateways are ready.
    pub fn start(links: Links) -> Self {
        let store = store_with_manifest();
        let slots = slots(links);
        let store_link = |_| FaultyLink::spawn(store.address());
        let store_links: Vec<_> = GATEWAY_CENTRES.iter().map(store_link).collect();
        let gateways: Vec<TestGateway> = (0..GATEWAY_CENTRES.len())
            .map(|nth| spawn_gateway(nth, store_links[nth].address()))
            .collect();
        let fleet = Self {
            frontends: gateways.iter().map(|gateway| gateway.frontend).collect(),
            gateways: gateways.into_iter().map(Mutex::new).collect(),
            store,
            slots,
            store_links,
            habits: Habits::default(),
            reports: Arc::default(),
            is_over: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            manifest_version: AtomicU64::new(1),
            expiring: Mutex::default(),
        };
        for slot in fleet.first_slots() {
            fleet.start_engine(slot, VERSIONS[0]);
        }
        for gateway in &fleet.gateways {
            gateway.lock().wait_ready();
        }
        fleet
    }

    /// Returns the places at which an engine is when the run begins.
    fn first_slots(&self) -> impl Iterator<Item = &EngineSlot> {
        let is_first = |nth: usize| !(STREAM_ENGINES..STREAM_PLACES).contains(&nth);
        let slots = self.slots.iter().enumerate();
        slots
            .filter(move |(nth, _)| is_first(*nth))
            .map(|(_, slot)| slot)
    }

    /// Starts an engine under a new id.
    pub fn start_engine(&self, slot: &EngineSlot, version: &str) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        self.start_engine_as(slot, &format!("i-{id}"), version);
    }

    /// Starts an engine of another service under a new id at an engine's place.
    pub fn start_engine_of(&self, slot: &EngineSlot, service: &'static str, version: &str) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        slot.start_of(
            service,
            &format!("i-{id}"),
            version,
            "",
            &self.store,
            &self.reports,
        );
    }

    /// Starts an engine under an id that may have been another's.
    pub fn start_engine_as(&self, slot: &EngineSlot, id: &str, version: &str) {
        self.start_engine_with(slot, id, version, "");
    }

    /// Starts an engine that obeys a command before it accepts connections.
    pub fn start_engine_with(&self, slot: &EngineSlot, id: &str, version: &str, command: &str) {
        self.expiring.lock().retain(|(known, _)| known != id);
        slot.start(id, version, command, &self.store, &self.reports);
    }

    /// Kills an engine, whose entry expires unless its id starts again. Returns its id and version.
    pub fn kill_engine(&self, slot: &EngineSlot) -> Option<(String, String)> {
        let (id, version) = slot.kill(&self.reports)?;
        let expires_at = Instant::now() + ENTRY_LIFE;
        self.expiring.lock().push((id.clone(), expires_at));
        Some((id, version))
    }

    /// Ends an engine that has left, and removes its entry.
    pub fn remove_engine(&self, slot: &EngineSlot) {
        if let Some((id, _)) = self.kill_engine(slot) {
            self.expiring.lock().retain(|(known, _)| *known != id);
            self.store.delete(&format!("servers/{id}"));
        }
    }

    /// Writes the manifest once more, with the same content under the next version.
    pub fn write_manifest(&self) {
        let version = 1 + self.manifest_version.fetch_add(1, Ordering::SeqCst);
        let manifest = gateway::manifest(version);
        self.store.put("op/config", manifest.to_string());
    }

    /// Has the store come back from a copy. The entries in it of engines that are gone expire.
    pub fn restore_store(&self, copy: StoreCopy) {
        self.store.restore(copy);
        let living: Vec<String> = self.slots.iter().filter_map(EngineSlot::id).collect();
        let mut expiring = self.expiring.lock();
        for key in self.store.keys("servers/") {
            let id = key.trim_start_matches("servers/").to_owned();
            let is_known = living.contains(&id) || expiring.iter().any(|(known, _)| *known == id);
            if !is_known {
                expiring.push((id, Instant::now() + ENTRY_LIFE));
            }
        }
    }

    /// Returns the number of engines of a service that take requests.
    pub fn available(&self, service: &str) -> usize {
        let slots = self.slots.iter();
        slots
            .filter(|slot| slot.service == service && slot.is_available())
            .count()
    }

    /// Writes the engines' entries again and again until the run ends, and removes those that have expired.
    pub fn keep_registry(&self) {
        while self.goes_on_for(HEARTBEAT) {
            for slot in &self.slots {
                slot.write_entry(&self.store);
            }
            let now = Instant::now();
            self.expiring.lock().retain(|(id, expires_at)| {
                let is_expired = *expires_at <= now;
                if is_expired {
                    self.store.delete(&format!("servers/{id}"));
                }
                !is_expired
            });
        }
    }

    /// Waits, and returns whether the run still goes on.
    pub fn goes_on_for(&self, pause: Duration) -> bool {
        const STEP: Duration = Duration::from_millis(20);
        let until = Instant::now() + pause;
        while !self.is_over.load(Ordering::SeqCst) && Instant::now() < until {
            thread::sleep(STEP.min(until.saturating_duration_since(Instant::now())));
        }
        !self.is_over.load(Ordering::SeqCst)
    }
}

fn slots(links: Links) -> Vec<EngineSlot> {
    let slot = |service: &'static str, nth: usize| {
        let centre = format!("north-{}", CENTRES[nth % CENTRES.len()]);
        EngineSlot::new(service, &centre, links == Links::All || nth % 2 == 1)
    };
    let streams = (0..STREAM_PLACES).map(|nth| slot("engines", nth));
    let desk = (0..DESK_ENGINES).map(|nth| slot("desk", nth));
    streams.chain(desk).collect()
}

/// Returns the program of a gateway: each second one is of the old program, if the environment names one.
fn gateway_program(nth: usize) -> OsString {
    let old = std::env::var_os("OLEANDERPLANK_OLD_PROGRAM");
    old.filter(|_| nth % 2 == 1)
        .unwrap_or_else(gateway::program)
}

fn spawn_gateway(nth: usize, store: SocketAddr) -> TestGateway {
    const MEMORY_MEGABYTES: u64 = 260;
    let name = format!("edge-{}", nth + 1);
    TestGateway::spawn_program(gateway_program(nth), &name, store, &[], true, |text| {
        text["zone"] = json!(format!("north-{}", GATEWAY_CENTRES[nth]));
        text["zones"] = CENTRES
            .iter()
            .map(|centre| (format!("north-{centre}"), json!("north")))
            .collect();
        text["limits"]["memory_mb"] = json!(MEMORY_MEGABYTES);
    })
}
