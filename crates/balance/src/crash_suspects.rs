//! Parts of prompts that crash the backend servers that begin to write an answer on them, also known
//! as queries of death.
//!
//! A crash ends all requests of a backend server, so a single one does not tell which part caused
//! it. A part becomes a suspect when a backend server crashes before the first event of an answer
//! on it, and is cleared when any later answer on it begins. It is quarantined after
//! `MIN_CRASHES` separate crashes without an answer in between, provided that other answers of the
//! service have begun meanwhile; in an outage of a whole service no answer clears any part.
//!
//! Parts that occur together share crashes. A quarantined part therefore does not block a request
//! that lacks another quarantined part to which these crashes can be attributed just as well.
//!
//! A quarantine is lifted by an answer that begins: one gateway sends one request with the part when
//! the quarantine is over, which takes twice as long with each further crash. Gateways merge their
//! tables (docs/PLATFORM.md, "Parts that crash backend servers").

use oleander_base::FastMap;
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{PartId, PromptPart};

/// The number of separate crashes after which a part is quarantined.
const MIN_CRASHES: usize = 3;

/// The least time between two separate crashes. Backend servers that end within a shorter time share
/// a cause outside the requests, such as a loss of power.
const SEPARATE_CRASH_GAP: Span = Span::from_millis(50);

/// The time from the first crash for which other answers may clear a part before it is quarantined.
const OBSERVATION_TIME: Span = Span::from_secs(1);

/// The length of a quarantine after [`MIN_CRASHES`] crashes; it doubles with each further crash.
const MIN_QUARANTINE: Span = Span::from_secs(60);

/// How many times the length of a quarantine doubles.
const MAX_DOUBLINGS: u32 = 4;

/// How long a cleared part is remembered, so that older reports do not make it a suspect again.
const CLEARED_RETENTION: Span = Span::from_secs(60);

/// The greatest number of crashes that are kept for one part; the oldest are dropped first.
const MAX_CRASHES: usize = 24;

/// The greatest number of parts in a table.
const MAX_SUSPECTS: usize = 256;

/// A part of prompts at one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspectId {
    /// The hash of the service's name.
    pub service: u64,
    /// The part.
    pub part: PartId,
}

impl SuspectId {
    /// Returns the parts of a prompt that other requests may share: all but the last one.
    pub fn shared(service: &str, parts: &[PromptPart]) -> Vec<Self> {
        let service = xxh3_64(service.as_bytes());
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let id = |part: &PromptPart| Self {
            service,
            part: part.id,
        };
        shared.iter().map(id).collect()
    }
}

/// A time on this gateway's clock, in microseconds; negative before the clock began, as for what
/// another gateway saw earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PeerTime(i64);

impl PeerTime {
    fn before(age: Span, now: MonoTime) -> Self {
        let micros = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        Self(micros(now.0).saturating_sub(micros(age.0)))
    }

    fn age(self, now: MonoTime) -> Span {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        Span(u64::try_from(now.saturating_sub(self.0)).unwrap_or(0))
    }
}

/// A crash of a backend server before the first event of an answer on a part.
#[derive(Debug, Clone, Copy)]
struct PartCrash {
    /// The hash of the backend server's id.
    backend: u64,
    at: PeerTime,
}

/// What is known of one part.
#[derive(Debug, Default)]
struct PartState {
    /// The crashes since an answer on the part last began, oldest first.
    crashes: Vec<PartCrash>,
    /// When an answer on the part last began, if that cleared it.
    cleared_at: Option<PeerTime>,
    is_quarantined: bool,
    /// When this gateway last let a request through to probe the part.
    probed_at: Option<MonoTime>,
}

impl PartState {
    fn add(&mut self, crash: PartCrash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.backend == crash.backend);
        if is_known || self.cleared_at.is_some_and(|cleared| crash.at <= cleared) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Drops the crashes up to the begin of an answer; returns whether there were any.
    fn clear(&mut self, at: PeerTime) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        if self.crashes.is_empty() {
            self.is_quarantined = false;
            self.probed_at = None;
        }
        self.cleared_at = self.cleared_at.max(Some(at));
        self.crashes.len() < count
    }

    fn separate_crashes(&self) -> usize {
        let mut count = 0;
        let mut last: Option<PeerTime> = None;
        for crash in &self.crashes {
            let gap = last.map(|last| crash.at.0 - last.0);
            if gap.is_none_or(|gap| gap >= SEPARATE_CRASH_GAP.0 as i64) {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }

    /// Returns whether the crashes suffice for a quarantine, given when any answer of the service last
    /// began.
    fn is_condemned(&self, service_begun: Option<PeerTime>, now: MonoTime) -> bool {
        let Some(first) = self.crashes.first() else {
            return false;
        };
        first.at.age(now) >= OBSERVATION_TIME
            && service_begun.is_some_and(|begun| begun > first.at)
            && self.separate_crashes() >= MIN_CRASHES
    }

    fn quarantine_time(&self) -> Span {
        let further = self.crashes.len().saturating_sub(MIN_CRASHES);
        let doublings = u32::try_from(further)
            .unwrap_or(u32::MAX)
            .min(MAX_DOUBLINGS);
        Span(MIN_QUARANTINE.0 << doublings)
    }

    /// Returns how long the quarantine lasts yet.
    fn time_left(&self, now: MonoTime) -> Span {
        let last = self.crashes.last();
        last.map_or(Span::ZERO, |last| {
            self.quarantine_time().saturating_sub(last.at.age(now))
        })
    }

    /// Returns whether nothing more follows from what is known.
    fn is_expired(&self, now: MonoTime) -> bool {
        let lasts = Span(self.quarantine_time().0 * 2);
        let is_over = |crash: &PartCrash| crash.at.age(now) >= lasts;
        let was_cleared = |at: PeerTime| at.age(now) < CLEARED_RETENTION;
        self.crashes.last().is_none_or(is_over) && !self.cleared_at.is_some_and(was_cleared)
    }

    /// Returns whether the other part can have caused this one's crashes: it has as many, and nearly
    /// all of these are among them. A few may be missing, because the gateway that saw them is gone.
    fn is_explained_by(&self, other: &Self) -> bool {
        let is_shared = |crash: &&PartCrash| {
            let mut others = other.crashes.iter();
            others.any(|known| known.backend == crash.backend)
        };
        let shared = self.crashes.iter().filter(is_shared).count();
        other.crashes.len() >= self.crashes.len() && shared * 4 >= self.crashes.len() * 3
    }

    fn may_probe(&self, now: MonoTime) -> bool {
        self.time_left(now) == Span::ZERO
            && self
                .probed_at
                .is_none_or(|probed| now.since(probed) >= MIN_QUARANTINE)
    }
}

/// One crash of a [`SuspectRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The hash of the backend server's id.
    pub backend: u64,
    /// Its age in milliseconds.
    pub age_ms: u32,
}

/// What one gateway tells another one about a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The part.
    pub id: SuspectId,
    /// The crashes since an answer on the part last began.
    pub crashes: Vec<CrashRecord>,
    /// The time since an answer on the part last began, in milliseconds, if that cleared it.
    pub cleared_age_ms: Option<u32>,
    /// Whether the part is quarantined.
    pub is_quarantined: bool,
}

impl SuspectRecord {
    /// Returns the greatest length of the encoded record, in bytes.
    pub fn max_bytes(&self) -> usize {
        const MAX_ID_BYTES: usize = 2 * 10;
        const MAX_CRASH_BYTES: usize = 10 + 5;
        const MAX_OTHER_BYTES: usize = 8;
        MAX_ID_BYTES + MAX_OTHER_BYTES + self.crashes.len() * MAX_CRASH_BYTES
    }
}

/// A quarantined part that blocks a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// The part.
    pub part: PartId,
    /// The number of backend servers that crashed.
    pub crashes: usize,
    /// How long the quarantine lasts yet.
    pub time_left: Span,
}

/// The parts that have crashed backend servers, as known to one gateway.
#[derive(Debug, Default)]
pub struct SuspectTable {
    parts: FastMap<SuspectId, PartState>,
    /// When an answer of each service last began here.
    begun: FastMap<u64, PeerTime>,
}

impl SuspectTable {
    /// Records that a backend server crashed before the first event of an answer on these parts;
    /// returns the parts for which that is new.
    pub fn record_crash(
        &mut self,
        ids: &[SuspectId],
        backend: u64,
        now: MonoTime,
    ) -> Vec<SuspectId> {
        let crash = PartCrash {
            backend,
            at: PeerTime::before(Span::ZERO, now),
        };
        let add = |id: &&SuspectId| self.parts.entry(**id).or_default().add(crash);
        let changed = ids.iter().filter(add).copied().collect();
        self.limit();
        changed
    }

    /// Records that an answer on these parts began; returns the parts that this cleared.
    pub fn record_begun(&mut self, ids: &[SuspectId], now: MonoTime) -> Vec<SuspectId> {
        let at = PeerTime::before(Span::ZERO, now);
        if let Some(id) = ids.first() {
            self.begun.insert(id.service, at);
        }
        let clear = |id: &&SuspectId| {
            let state = self.parts.get_mut(id);
            state.is_some_and(|state| state.clear(at))
        };
        ids.iter().filter(clear).copied().collect()
    }

    /// Takes over what another gateway knows; returns whether anything is new.
    pub fn merge(&mut self, record: &SuspectRecord, now: MonoTime) -> bool {
        let time = |age_ms: u32| PeerTime::before(Span::from_millis(u64::from(age_ms)), now);
        let state = self.parts.entry(record.id).or_default();
        let mut is_new = record
            .cleared_age_ms
            .is_some_and(|age| state.clear(time(age)));
        for crash in &record.crashes {
            is_new |= state.add(PartCrash {
                backend: crash.backend,
                at: time(crash.age_ms),
            });
        }
        let is_known = |crash: &CrashRecord| {
            let mut known = state.crashes.iter();
            known.any(|known| known.backend == crash.backend)
        };
        if record.is_quarantined && !state.is_quarantined && record.crashes.iter().any(is_known) {
            state.is_quarantined = true;
            is_new = true;
        }
        self.limit();
        is_new
    }

    /// Quarantines the parts that have caused enough crashes; returns them.
    pub fn refresh(&mut self, now: MonoTime) -> Vec<SuspectId> {
        let begun = &self.begun;
        let mut quarantined = Vec::new();
        for (id, state) in &mut self.parts {
            let service_begun = begun.get(&id.service).copied();
            if !state.is_quarantined && state.is_condemned(service_begun, now) {
                state.is_quarantined = true;
                quarantined.push(*id);
            }
        }
        quarantined
    }

    /// Returns the quarantined part that keeps a request with these parts from being sent, if any.
    ///
    /// `is_prober` tells whether this gateway is the one that probes a part after its quarantine. The
    /// request that is let through for that is the only one for a while.
    pub fn check(
        &mut self,
        ids: &[SuspectId],
        is_prober: impl Fn(SuspectId) -> bool,
        now: MonoTime,
    ) -> Option<Quarantine> {
        for id in ids {
            let Some(state) = self.parts.get(id).filter(|state| state.is_quarantined) else {
                continue;
            };
            if self.is_attributed_elsewhere(*id, state, ids) {
                continue;
            }
            if state.may_probe(now) && is_prober(*id) {
                let state = self.parts.get_mut(id).expect("the part was found");
                state.probed_at = Some(now);
                continue;
            }
            return Some(Quarantine {
                part: id.part,
                crashes: state.crashes.len(),
                time_left: state.time_left(now),
            });
        }
        None
    }

    /// Returns whether a quarantined part that is not among `ids` can have caused a part's crashes.
    fn is_attributed_elsewhere(&self, id: SuspectId, state: &PartState, ids: &[SuspectId]) -> bool {
        self.parts.iter().any(|(other_id, other)| {
            other.is_quarantined
                && other_id.service == id.service
                && !ids.contains(other_id)
                && state.is_explained_by(other)
        })
    }

    /// Returns the record of a part for other gateways.
    pub fn record(&self, id: SuspectId, now: MonoTime) -> Option<SuspectRecord> {
        let state = self.parts.get(&id)?;
        let age_ms = |at: PeerTime| u32::try_from(at.age(now).0 / 1_000).unwrap_or(u32::MAX);
        let crashes = state.crashes.iter().map(|crash| CrashRecord {
            backend: crash.backend,
            age_ms: age_ms(crash.at),
        });
        Some(SuspectRecord {
            id,
            crashes: crashes.collect(),
            cleared_age_ms: state.cleared_at.map(age_ms),
            is_quarantined: state.is_quarantined,
        })
    }

    /// Returns the quarantined parts, and the others that changed within `span`, the most important
    /// ones first.
    pub fn recent(&self, span: Span, now: MonoTime) -> Vec<SuspectId> {
        let changed_at = |state: &PartState| {
            let crashed_at = state.crashes.last().map(|crash| crash.at);
            crashed_at.max(state.cleared_at)
        };
        let mut recent: Vec<(bool, PeerTime, SuspectId)> = self
            .parts
            .iter()
            .filter_map(|(id, state)| Some((state.is_quarantined, changed_at(state)?, *id)))
            .filter(|(is_quarantined, at, _)| *is_quarantined || at.age(now) < span)
            .collect();
        recent.sort_unstable_by_key(|(is_quarantined, at, _)| (!is_quarantined, at.age(now)));
        recent.into_iter().map(|(.., id)| id).collect()
    }

    /// Drops the parts of which nothing more follows; returns those that were quarantined.
    pub fn prune(&mut self, now: MonoTime) -> Vec<SuspectId> {
        let mut released = Vec::new();
        self.parts.retain(|id, state| {
            let is_expired = state.is_expired(now);
            if is_expired && state.is_quarantined {
                released.push(*id);
            }
            !is_expired
        });
        released
    }

    /// Returns the number of crashes of a part that is quarantined, and otherwise 0.
    pub fn crashes_in_quarantine(&self, id: SuspectId) -> usize {
        let state = self.parts.get(&id).filter(|state| state.is_quarantined);
        state.map_or(0, |state| state.crashes.len())
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        let states = self.parts.values();
        states.filter(|state| state.is_quarantined).count()
    }

    /// Returns whether the table holds no part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops the least suspicious parts of a table that is too large.
    fn limit(&mut self) {
        while self.parts.len() > MAX_SUSPECTS {
            let least = self.parts.iter().min_by_key(|(_, state)| {
                let last = state.crashes.last().map(|crash| crash.at);
                (state.is_quarantined, state.crashes.len(), last)
            });
            let Some(id) = least.map(|(id, _)| *id) else {
                return;
            };
            self.parts.remove(&id);
        }
    }
}
