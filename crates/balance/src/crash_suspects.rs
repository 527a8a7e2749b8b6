//! Requests, and parts of prompts, that crash each backend server that runs them, also known as queries
//! of death.
//!
//! A crash ends all requests of a backend server, so a single one does not tell which of them caused
//! it. A part becomes a suspect when a backend server crashes before the first event of an answer
//! on it, and is cleared when any later answer on it begins. A request is a suspect from its send to the
//! end of its answer, and is cleared when an answer to it, or to a repeat, is complete. A suspect is
//! quarantined after several separate crashes without an answer in between (`suspect_crashes.rs`).
//!
//! Suspects that occur together share crashes, and one is quarantined although others are at fault if no
//! answer has told them apart (`crash_attribution.rs`). One request that lacks the others then finds out
//! within seconds.
//!
//! A quarantine is lifted by an answer that begins: one gateway sends one request with the suspect
//! when the quarantine is over, which takes twice as long with each further crash (`suspect_probe.rs`).
//! Gateways merge their tables (docs/PLATFORM.md, "Requests that crash backend servers").

use std::cmp::Reverse;

use oleander_base::FastMap;
use oleander_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::answered_parts::AnsweredParts;
use crate::crash_attribution::{
    SuspectMap, is_accounted_for, is_attributed_elsewhere, is_disputed,
};
use crate::crash_log::CrashLog;
use crate::suspect_crashes::{MIN_CRASHES, PeerTime, SuspectCrash, SuspectCrashes, is_too_old};
use crate::suspect_id::{ServiceId, SuspectId};
use crate::suspect_probe::{ClaimRecord, ProbeClaim};

/// The greatest number of suspects in a table.
const MAX_SUSPECTS: usize = 256;

/// How long others may clear a part on which answers have lately begun here. It was sound until now, and in a
/// large fleet the answers that clear it begin at other gateways.
const ANSWERED_OBSERVATION_TIME: Span = Span::from_millis(2_500);

/// How much later a suspect must have crashed a backend server than another one of the same weight, to take its
/// place in a full table. Without that, the many suspects of one moment would displace each other,
/// and each would be news again when it came back.
const DISPLACING_GAP: Span = Span::from_secs(5);

/// One crash of a [`SuspectRecord`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The hash of the backend server's incarnation; of its id, at gateways of an older version.
    pub backend: u64,
    /// Its age in milliseconds.
    pub age_ms: u32,
    /// The time since the suspect was sent there, in milliseconds.
    pub sent_age_ms: u32,
}

/// The state of a suspect, as one gateway tells it another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The suspect.
    pub id: SuspectId,
    /// The service of the backend server that crashed last.
    pub service: Option<ServiceId>,
    /// The crashes since an answer last cleared it.
    pub crashes: Vec<CrashRecord>,
    /// The backend servers of the crashes that answers have lately cleared it of, by the hashes of their ids.
    pub cleared: Vec<u64>,
    /// Whether it is quarantined.
    pub is_quarantined: bool,
    /// The gateway that is about to probe it.
    pub claim: Option<ClaimRecord>,
    /// The number of probes that crashed a backend server since enough crashes were known.
    pub crashed_probes: u8,
}

impl SuspectRecord {
    /// Returns how much the record tells: the crashes that it brings, and those that it clears.
    pub(crate) fn weight(&self) -> usize {
        self.crashes.len() + self.cleared.len()
    }

    /// Returns the greatest length of the encoded record, in bytes.
    pub fn max_bytes(&self) -> usize {
        const MAX_ID_BYTES: usize = 1 + 2 * 10;
        const MAX_SERVICE_BYTES: usize = 1 + 10;
        const MAX_BACKEND_BYTES: usize = 10;
        const MAX_CRASH_BYTES: usize = MAX_BACKEND_BYTES + 2 * 5;
        const MAX_CLAIM_BYTES: usize = 1 + 10 + 5;
        const MAX_OTHER_BYTES: usize = 9;
        MAX_ID_BYTES
            + MAX_SERVICE_BYTES
            + MAX_CLAIM_BYTES
            + MAX_OTHER_BYTES
            + self.crashes.len() * MAX_CRASH_BYTES
            + self.cleared.len() * MAX_BACKEND_BYTES
    }
}

/// A crash of a backend server that had a request.
#[derive(Debug, Clone, Copy)]
pub struct BackendCrash {
    /// Its service.
    pub service: ServiceId,
    /// The hash of its incarnation, so that it may crash again after it has started again under its id.
    pub backend: u64,
    /// When the request was sent there.
    pub sent_at: MonoTime,
    /// When the request's connection broke.
    pub at: MonoTime,
}

/// A quarantined suspect that blocks a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// The suspect.
    pub suspect: SuspectId,
    /// The number of backend servers that crashed.
    pub crashes: usize,
    /// How long it is until it is probed.
    pub time_left: Span,
}

/// The suspects whose quarantine began or ended.
#[derive(Debug, Default)]
pub struct QuarantineChange {
    /// Those that are quarantined now.
    pub quarantined: Vec<SuspectId>,
    /// Those that are not quarantined any longer.
    pub released: Vec<SuspectId>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// None of its suspects is at fault.
    Sound,
    /// It may probe these suspects, once this gateway has claimed that.
    Probe(Vec<SuspectId>),
    /// A suspect keeps it from being sent.
    Blocked(Quarantine),
}

/// The suspects that have crashed backend servers, as known to one gateway.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The hash of this gateway's name.
    gateway: u64,
    suspects: SuspectMap,
    /// When an answer of each service last began here.
    begun: FastMap<ServiceId, PeerTime>,
    /// The crashes of all backend servers that are known.
    crashes: CrashLog,
    answered: AnsweredParts,
}

impl SuspectTable {
    /// Creates the table of a gateway, by the hash of its name.
    pub fn new(gateway: u64) -> Self {
        Self {
            gateway,
            ..Self::default()
        }
    }

    /// Records that a backend server crashed while it had a request with these suspects, which becomes
    /// known now; returns those for which that is new.
    pub fn record_crash(
        &mut self,
        ids: &[SuspectId],
        crash: BackendCrash,
        now: MonoTime,
    ) -> Vec<SuspectId> {
        let added = SuspectCrash {
            backend: crash.backend,
            sent_at: PeerTime::here(crash.sent_at),
            at: PeerTime::here(crash.at),
        };
        self.crashes.add(added);
        let add = |id: &&SuspectId| {
            let state = self.suspects.entry(**id).or_default();
            let earlier = state.crashes.len();
            state.probes.on_crash(self.gateway, added.sent_at, earlier);
            state.add(added, Some(crash.service), now)
        };
        let changed = ids.iter().filter(add).copied().collect();
        self.limit();
        changed
    }

    /// Records that an answer of a service began, or is complete, and clears these suspects; returns those
    /// for which that is new.
    pub fn record_answer(
        &mut self,
        service: ServiceId,
        ids: &[SuspectId],
        now: MonoTime,
    ) -> Vec<SuspectId> {
        let at = PeerTime::here(now);
        self.begun.insert(service, at);
        self.answered.add(ids, now);
        let clear = |id: &&SuspectId| {
            let state = self.suspects.get_mut(id);
            state.is_some_and(|state| state.clear(at))
        };
        ids.iter().filter(clear).copied().collect()
    }

    /// Takes over what another gateway knows; returns whether anything is new.
    pub fn merge(&mut self, record: &SuspectRecord, now: MonoTime) -> bool {
        let time = |age_ms: u32| PeerTime::before(Span::from_millis(u64::from(age_ms)), now);
        if !self.takes_in(record, now) {
            return false;
        }
        let state = self.suspects.entry(record.id).or_default();
        let mut is_new = state.clear_crashes(&record.cleared, PeerTime::here(now));
        let last_age = record.crashes.iter().map(|crash| crash.age_ms).min();
        let last_age = Span::from_millis(last_age.unwrap_or(u32::MAX).into());
        // A gateway that drops crashes later than this one would bring them back.
        let told = match is_too_old(last_age, record.crashes.len()) {
            true => &[][..],
            false => &record.crashes,
        };
        for crash in told {
            let crash = SuspectCrash {
                backend: crash.backend,
                sent_at: time(crash.sent_age_ms),
                at: time(crash.age_ms),
            };
            self.crashes.add(crash);
            is_new |= state.add(crash, record.service, now);
        }
        if record.is_quarantined && self.is_taken_over(record.id, now) {
            self.state_mut(record.id).is_quarantined = true;
            is_new = true;
        }
        let state = self.state_mut(record.id);
        if state.is_quarantined {
            is_new |= state.probes.merge_crashed(record.crashed_probes);
            is_new |= record.claim.is_some_and(|claim| {
                let claim = ProbeClaim {
                    gateway: claim.gateway,
                    at: time(claim.age_ms),
                };
                state.probes.merge_claim(claim, now)
            });
        }
        self.limit();
        is_new
    }

    /// Returns how long others may clear a suspect before it is quarantined.
    fn observation_time(&self, id: SuspectId) -> Span {
        match self.answered.contains(id) {
            true => ANSWERED_OBSERVATION_TIME,
            false => id.observation_time(),
        }
    }

    /// Returns whether a suspect that another gateway tells of is known, or finds a place.
    fn takes_in(&self, record: &SuspectRecord, now: MonoTime) -> bool {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&record.id) {
            return true;
        }
        let Some((_, least)) = self.least_important() else {
            return true;
        };
        let last_age = record.crashes.iter().map(|crash| crash.age_ms).min();
        let last_age = Span::from_millis(last_age.unwrap_or(u32::MAX).into());
        let least_age = least.changed_at().map(|at| at.age(now));
        let is_later = least_age.is_none_or(|least_age| last_age + DISPLACING_GAP <= least_age);
        !least.is_quarantined && (record.weight(), is_later) > (least.weight(), false)
    }

    /// Returns the suspect that gives way first in a table that is too large.
    fn least_important(&self) -> Option<(&SuspectId, &SuspectCrashes)> {
        self.suspects
            .iter()
            .min_by_key(|(_, state)| (state.is_quarantined, state.weight(), state.changed_at()))
    }

    /// Returns whether a quarantine that another gateway tells of holds for what is known here.
    fn is_taken_over(&self, id: SuspectId, now: MonoTime) -> bool {
        let state = self.suspects.get(&id);
        state.is_some_and(|state| {
            !state.is_quarantined
                && state.crashes.len() >= MIN_CRASHES
                && !is_accounted_for(&self.suspects, id, state, now)
        })
    }

    /// Quarantines the suspects that have caused enough crashes, and releases those for whose crashes others
    /// turn out to be at fault.
    pub fn refresh(&mut self, now: MonoTime) -> QuarantineChange {
        let is_at_fault = |(id, state): &(&SuspectId, &SuspectCrashes)| {
            let service = state.service.and_then(|service| self.begun.get(&service));
            !state.is_quarantined
                && state.needs_quarantine(self.observation_time(**id), service.copied(), now)
                && !self.crashes.has_mass_crash(&state.crashes)
                && !is_accounted_for(&self.suspects, **id, state, now)
        };
        let is_innocent = |(id, state): &(&SuspectId, &SuspectCrashes)| {
            state.is_quarantined && is_accounted_for(&self.suspects, **id, state, now)
        };
        let suspects = self.suspects.iter();
        let change = QuarantineChange {
            quarantined: suspects
                .clone()
                .filter(is_at_fault)
                .map(|(id, _)| *id)
                .collect(),
            released: suspects.filter(is_innocent).map(|(id, _)| *id).collect(),
        };
        for id in &change.quarantined {
            self.state_mut(*id).is_quarantined = true;
        }
        for id in &change.released {
            self.state_mut(*id).release();
        }
        change
    }

    /// Returns whether a request with these suspects may be sent.
    pub fn check(&self, ids: &[SuspectId], now: MonoTime) -> SuspectVerdict {
        let mut probes = Vec::new();
        for id in ids {
            let Some(state) = self.suspects.get(id).filter(|state| state.is_quarantined) else {
                continue;
            };
            if is_attributed_elsewhere(&self.suspects, state, ids) {
                continue;
            }
            let is_disputed = is_disputed(&self.suspects, state, ids, now);
            let time_left = state.time_to_probe(is_disputed, now);
            if time_left == Span::ZERO {
                probes.push(*id);
                continue;
            }
            return SuspectVerdict::Blocked(Quarantine {
                suspect: *id,
                crashes: state.crashes.len(),
                time_left,
            });
        }
        match probes.is_empty() {
            true => SuspectVerdict::Sound,
            false => SuspectVerdict::Probe(probes),
        }
    }

    /// Claims the probe of these suspects for this gateway.
    ///
    /// The request may be sent after [`CLAIM_WAIT`](crate::CLAIM_WAIT), if [`Self::holds_claim`] says so.
    pub fn claim(&mut self, ids: &[SuspectId], now: MonoTime) {
        let gateway = self.gateway;
        for id in ids {
            self.state_mut(*id).probes.claim(gateway, now);
        }
    }

    /// Returns whether this gateway still holds the claims to the probes of these suspects.
    pub fn holds_claim(&self, ids: &[SuspectId], now: MonoTime) -> bool {
        ids.iter().all(|id| {
            let state = self.suspects.get(id);
            state.is_none_or(|state| {
                !state.is_quarantined || state.probes.is_held_by(self.gateway, now)
            })
        })
    }

    fn state_mut(&mut self, id: SuspectId) -> &mut SuspectCrashes {
        self.suspects.entry(id).or_default()
    }

    /// Returns the record of a suspect for other gateways.
    pub fn record(&self, id: SuspectId, now: MonoTime) -> Option<SuspectRecord> {
        let state = self.suspects.get(&id)?;
        let age_ms = |at: PeerTime| u32::try_from(at.age(now).0 / 1_000).unwrap_or(u32::MAX);
        let crashes = state.crashes.iter().map(|crash| CrashRecord {
            backend: crash.backend,
            age_ms: age_ms(crash.at),
            sent_age_ms: age_ms(crash.sent_at),
        });
        Some(SuspectRecord {
            id,
            service: state.service,
            crashes: crashes.collect(),
            cleared: state.lately_cleared(now),
            is_quarantined: state.is_quarantined,
            claim: state.probes.held(now).map(|claim| ClaimRecord {
                gateway: claim.gateway,
                age_ms: age_ms(claim.at),
            }),
            crashed_probes: state.probes.crashed,
        })
    }

    /// Returns the quarantined suspects, and the others that changed within `span`: first those with the
    /// most crashes, and among equals the latest.
    pub fn recent(&self, span: Span, now: MonoTime) -> Vec<SuspectId> {
        let mut recent: Vec<(&SuspectId, &SuspectCrashes, Span)> = self
            .suspects
            .iter()
            .filter_map(|(id, state)| Some((id, state, state.changed_at()?.age(now))))
            .filter(|(_, state, age)| state.is_quarantined || *age < span)
            .filter(|(_, state, _)| !state.has_lapsed(now))
            .collect();
        recent.sort_unstable_by_key(|(_, state, age)| {
            let crashes = Reverse(state.crashes.len());
            (!state.is_quarantined, crashes, *age)
        });
        recent.into_iter().map(|(id, ..)| *id).collect()
    }

    /// Drops the suspects of which nothing more follows; returns those that were quarantined.
    pub fn prune(&mut self, now: MonoTime) -> Vec<SuspectId> {
        let mut released = Vec::new();
        self.suspects.retain(|id, state| {
            if state.lapse(now) {
                released.push(*id);
            }
            !state.is_expired(now)
        });
        released
    }

    /// Returns the number of crashes of a suspect that is quarantined, and otherwise 0.
    pub fn crashes_in_quarantine(&self, id: SuspectId) -> usize {
        let state = self.suspects.get(&id).filter(|state| state.is_quarantined);
        state.map_or(0, |state| state.crashes.len())
    }

    /// Returns the quarantined suspects.
    pub fn quarantined(&self) -> impl Iterator<Item = SuspectId> {
        let quarantined = self.suspects.iter();
        quarantined
            .filter(|(_, state)| state.is_quarantined)
            .map(|(id, _)| *id)
    }

    /// Returns whether the table holds no suspect.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops the least important entries of a table that is too large.
    fn limit(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let Some(id) = self.least_important().map(|(id, _)| *id) else {
                return;
            };
            self.suspects.remove(&id);
        }
    }
}
